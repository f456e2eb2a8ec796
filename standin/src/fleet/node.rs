//! One target of a fleet, which may die and come back.

use crate::{engine, service};
use policy::host::Host;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// One target of a fleet with all the fakes that have run in its place.
#[derive(Debug)]
pub struct Node<S> {
    host: Host,
    servers: Mutex<Vec<Arc<S>>>,
}

impl<S> Node<S> {
    pub(super) fn new(mut host: Host, address: SocketAddr, server: S) -> Self {
        host.address = address.to_string().into();
        Self {
            host,
            servers: Mutex::new(vec![Arc::new(server)]),
        }
    }

    /// Returns the target's entry on the host list.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Returns the fake that runs now.
    ///
    /// # Panics
    ///
    /// Never: a node starts with one fake and none is removed.
    pub fn server(&self) -> Arc<S> {
        let servers = self.servers();
        let newest = servers.last().map(Arc::clone);
        newest.unwrap_or_else(|| unreachable!("a node has a fake from its start"))
    }

    /// Returns all fakes that have run, the newest last.
    pub fn history(&self) -> Vec<Arc<S>> {
        self.servers().clone()
    }

    fn servers(&self) -> MutexGuard<'_, Vec<Arc<S>>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Node<engine::Server> {
    /// Starts a cold engine without faults at the same address in place of a dead one.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        let old = self.server();
        old.stop().await;
        let mut settings = old.settings();
        settings.port = old.address().port();
        settings.faults = crate::fault::Faults::default();
        let server = engine::start(settings).await?;
        self.servers().push(Arc::new(server));
        Ok(())
    }
}

impl Node<service::Server> {
    /// Starts a service without faults at the same address in place of a dead one.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        let old = self.server();
        old.stop().await;
        let mut settings = old.settings();
        settings.port = old.address().port();
        settings.faults = crate::fault::Faults::default();
        let server = service::start(settings).await?;
        self.servers().push(Arc::new(server));
        Ok(())
    }
}
