//! Fake of a plain service, whose calls have effects that are counted.

mod api;
mod settings;

pub use self::{
    api::Effect,
    settings::{Counters, Settings},
};

use self::api::Service;
use crate::{
    control::Controllable,
    http::{Listener, ServerHandle},
    run::Run,
};
use serde_json::{Value, json};
use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

/// Running fake of a plain service.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    service: Arc<Service>,
}

/// Starts a fake of a plain service.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub async fn start(settings: Settings) -> io::Result<Server> {
    let bound = Listener::bind(settings.port).await?;
    let service = Arc::new(Service::new(settings, Arc::clone(bound.server_handle())));
    let listener = bound.serve(Arc::clone(&service));
    Ok(Server { listener, service })
}

impl Server {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Ends the server as if its process had died.
    pub async fn stop(&self) {
        self.listener.server_handle().stop().await;
    }

    /// Returns the switch of the server's connections.
    pub fn server_handle(&self) -> &Arc<ServerHandle> {
        self.listener.server_handle()
    }

    /// Returns the settings as they are now.
    pub fn settings(&self) -> Settings {
        self.service.settings()
    }

    /// Changes settings and faults.
    pub fn control(&self, change: impl FnOnce(&mut Settings)) {
        let settings = self.service.change(change);
        settings.faults.apply_to(self.server_handle());
        if settings.faults.silent {
            self.service
                .change(|settings| settings.faults.silent = false);
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.service.counters()
    }

    /// Takes out what each call that has ended since the last time has cost.
    pub fn take_runs(&self) -> Vec<Run> {
        self.service.take_runs()
    }

    /// Returns the effects by idempotency token.
    pub fn effects(&self) -> BTreeMap<String, Effect> {
        self.service.effects()
    }
}

impl Controllable for Server {
    fn status(&self) -> Value {
        json!({
            "settings": self.settings(),
            "counters": self.counters(),
            "effects": self.effects().len(),
        })
    }

    fn patch(&self, bytes: &[u8]) -> Result<(), serde_json::Error> {
        let settings = crate::patch::apply(&self.settings(), bytes)?;
        self.control(|known| *known = settings);
        Ok(())
    }
}
