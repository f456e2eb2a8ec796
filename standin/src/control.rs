//! HTTP endpoint by which another process reads and sets a fake's settings. It has a port of its
//! own and also answers while the fake's other connections are silent or closed.

use crate::http::{ConnectionClosed, Handler, Listener, Reply, reply};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde_json::Value;
use std::{io, sync::Arc};

/// Fake whose settings and faults can be changed at run time.
pub trait Controllable: Send + Sync + 'static {
    /// Returns the current settings and counters as a JSON object.
    fn status(&self) -> Value;

    /// Replaces the settings that the JSON object in `bytes` names; the others stay as they are.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` isn't a JSON object, or if it contains an unknown member or an invalid
    /// value.
    fn patch(&self, bytes: &[u8]) -> Result<(), serde_json::Error>;
}

struct ControlHandler<T> {
    server: Arc<T>,
}

/// Serves `/control` for `server` on `port` of 127.0.0.1, or on a free port if it is 0: GET returns
/// the status, POST changes settings.
///
/// # Errors
///
/// Fails if the port can't be bound.
pub async fn start<T: Controllable>(port: u16, server: Arc<T>) -> io::Result<Listener> {
    let listener = Listener::bind(port).await?;
    Ok(listener.serve(Arc::new(ControlHandler { server })))
}

impl<T: Controllable> Handler for ControlHandler<T> {
    async fn handle(self: Arc<Self>, request: Request<Bytes>) -> Result<Reply, ConnectionClosed> {
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
