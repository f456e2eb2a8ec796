//! Second listener by which another process sets a fake's faults.

use crate::http::{Handler, Hangup, Listener, Reply, reply};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use std::{io, sync::Arc};

/// Fake whose faults another process may set.
pub trait Controlled: Send + Sync + 'static {
    /// Returns the settings and counters.
    fn show(&self) -> Value;

    /// Sets the settings that a JSON object names.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is no JSON object, or if it names an unknown member or an invalid value.
    fn patch(&self, bytes: &[u8]) -> Result<(), serde_json::Error>;
}

struct Control<T> {
    server: Arc<T>,
}

/// Listens on a port of 127.0.0.1 for `/control` requests about `server`.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub async fn start<T: Controlled>(port: u16, server: Arc<T>) -> io::Result<Listener> {
    let bound = Listener::bind(port).await?;
    Ok(bound.serve(Arc::new(Control { server })))
}

impl<T: Controlled> Handler for Control<T> {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, Hangup> {
        let reply = match (request.method(), request.uri().path()) {
            (&Method::GET, "/control") => reply::ok(&self.server.show()),
            (&Method::POST, "/control") => self.patch(request.body()),
            _ => reply::not_found(),
        };
        Ok(reply)
    }
}

impl<T: Controlled> Control<T> {
    fn patch(&self, bytes: &[u8]) -> Reply {
        match self.server.patch(bytes) {
            Ok(()) => reply::ok(&self.server.show()),
            Err(error) => reply::error(StatusCode::BAD_REQUEST, "malformed", &error.to_string()),
        }
    }
}
