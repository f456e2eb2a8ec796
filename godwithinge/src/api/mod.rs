//! Interface for callers and operators.

mod error;
mod operator;
mod public;
mod stream;
mod submit;
mod wire;

pub use self::error::ErrorCode;

use crate::{entry::Daemon, log};
use dropshot::{
    ApiDescription, BuildError, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder,
};
use std::{fmt, net::SocketAddr};

/// Context of all endpoints.
pub(crate) type Context = Daemon;

/// A running interface.
pub struct Server {
    server: HttpServer<Context>,
}

/// Opens the interface of a daemon.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub fn start(daemon: &Daemon) -> Result<Server, BuildError> {
    let config = ConfigDropshot {
        bind_address: daemon.settings().daemon.listen,
        // Bodies are read part by part under the limit of the settings.
        default_request_body_max_bytes: usize::MAX / 2,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api_description(), daemon.clone(), log::logger())
        .config(config)
        .start()?;
    Ok(Server { server })
}

impl Server {
    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Answers what has begun and closes the interface.
    pub async fn close(self) {
        if let Err(error) = self.server.close().await {
            tracing::warn!(error, "interface was not closed");
        }
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

/// Returns the description of all endpoints.
///
/// # Panics
///
/// Panics if two endpoints have one path.
fn api_description() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    let results = [
        api.register(submit::submit),
        api.register(public::entries),
        api.register(public::ready),
        api.register(public::metrics),
        api.register(operator::decisions),
        api.register(operator::status),
        api.register(operator::drain),
    ];
    for result in results {
        result.expect("endpoints have paths of their own");
    }
    api
}
