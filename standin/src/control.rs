//! Second listener by which another process sets a fake's faults.

use crate::http::{Handler, Hangup, Listener, Reply, reply};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use std::{io, sync::Arc};

/// Fake whose faults another process may set.
pub trait Controllable: Send + Sync + 'static {
    /// Returns the settings and counters.
    fn status(&self) -> Value;

    /// Sets the settings that a JSON object names.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is no JSON object, or if it names an unknown member or an invalid value.
    fn patch(&self, bytes: &[u8]) -> Result<(), serde_json::Error>;
}

struct ControlHandler<T> {
    server: Arc<T>,
}

/// Listens on a port of 127.0.0.1 for `/control` requests about `server`.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub async fn start<T: Controllable>(port: u16, server: Arc<T>) -> io::Result<Listener> {
    let listener = Listener::bind(port).await?;
    Ok(listener.serve(Arc::new(ControlHandler { server })))
}

impl<T: Controllable> Handler for ControlHandler<T> {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, Hangup> {
        let reply = match (request.method(), request.uri().path()) {
            (&Method::GET, "/control") => reply::ok(&self.server.status()),
            (&Method::POST, "/control") => self.patch(request.body()),
            _ => reply::not_found(),
        };
        Ok(reply)
    }
}

impl<T: Controllable> ControlHandler<T> {
    fn patch(&self, bytes: &[u8]) -> Reply {
        match self.server.patch(bytes) {
            Ok(()) => reply::ok(&self.server.status()),
            Err(error) => reply::error(StatusCode::BAD_REQUEST, "malformed", &error.to_string()),
        }
    }
}
