//! Fake of a model engine that batches continuously.

mod api;
mod cache;
mod completion;
mod order;
mod settings;
pub mod text;

pub use self::{
    cache::{BLOCK, blocks},
    settings::{Counters, Settings},
};

use self::api::Engine;
use crate::{
    control::Controllable,
    http::{Listener, ServerHandle},
    run::Run,
};
use compact_str::CompactString;
use serde_json::{Value, json};
use std::{io, net::SocketAddr, sync::Arc};

/// Running fake of an engine.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    engine: Arc<Engine>,
}

/// Starts a fake of an engine.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub async fn start(settings: Settings) -> io::Result<Server> {
    let bound = Listener::bind(settings.port).await?;
    let engine = Arc::new(Engine::new(settings, Arc::clone(bound.server_handle())));
    let listener = bound.serve(Arc::clone(&engine));
    Ok(Server { listener, engine })
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
        self.engine.settings()
    }

    /// Changes settings and faults.
    pub fn control(&self, change: impl FnOnce(&mut Settings)) {
        let settings = self.engine.change(change);
        settings.faults.apply_to(self.server_handle());
        if settings.faults.silent {
            self.engine
                .change(|settings| settings.faults.silent = false);
        }
    }

    /// Empties the prefix cache, as a restart does.
    pub fn chill(&self) {
        self.engine.chill();
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.engine.counters()
    }

    /// Takes out what each stream that has ended since the last call has cost.
    pub fn take_runs(&self) -> Vec<Run> {
        self.engine.take_runs()
    }

    /// Returns the models that are warm.
    pub fn models(&self) -> Vec<CompactString> {
        self.engine.warm()
    }
}

impl Controllable for Server {
    fn status(&self) -> Value {
        json!({
            "settings": self.settings(),
            "counters": self.counters(),
            "models": self.models(),
        })
    }

    fn patch(&self, bytes: &[u8]) -> Result<(), serde_json::Error> {
        let settings = crate::patch::apply(&self.settings(), bytes)?;
        self.control(|known| *known = settings);
        Ok(())
    }
}
