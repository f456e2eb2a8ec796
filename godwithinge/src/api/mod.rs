//! HTTP API for callers and operators.

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

/// State shared by all endpoint handlers.
pub(crate) type Context = Daemon;

/// Running HTTP server of a daemon.
pub struct Server {
    server: HttpServer<Context>,
}

/// Starts the HTTP server of a daemon on the configured address.
///
/// # Errors
///
/// Fails if the server can't listen on the address.
pub fn start(daemon: &Daemon) -> Result<Server, BuildError> {
    let config = ConfigDropshot {
        bind_address: daemon.settings().daemon.listen,
        // `submit` enforces the configured limit while it reads the body as a stream.
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
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Shuts the server down after it has responded to the requests in progress.
    ///
    /// A failure is only logged.
    pub async fn close(self) {
        if let Err(error) = self.server.close().await {
            tracing::warn!(error, "HTTP server did not shut down cleanly");
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

/// Registers all endpoints.
///
/// # Panics
///
/// Panics if two endpoints share a method and path.
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
        result.expect("method and path of each endpoint are unique");
    }
    api
}
