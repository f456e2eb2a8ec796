//! Pooled HTTP connections that can be condemned one by one.

mod connection;
mod error;
mod response;

pub use self::{error::Error, response::Response};

use self::connection::Connection;
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderValue, Request as HttpRequest, header};
use http_body_util::Full;
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Request with a body that is sent as a whole.
pub type Request = HttpRequest<Full<Bytes>>;

/// Most idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Connections to any number of addresses.
///
/// A connection serves one request at a time. It returns to the pool once its response has been
/// read to the end; one that is dropped before is closed.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<CompactString, IdleConnections>>>,
    connect_timeout: Duration,
}

/// Idle connections to one address, the one that was used last at the end.
#[derive(Debug, Default)]
struct IdleConnections {
    connections: Vec<Connection>,
    /// When a connection to the address was last found silent.
    last_timeout: Option<Instant>,
}

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// The connection that was used last, or a new one. After a silence, connections that have
    /// not answered since are left to [`Oldest`](Self::Oldest).
    Newest,
    /// The connection that has been idle longest, or a new one; this finds silent connections.
    Oldest,
    /// A new connection.
    Never,
}

impl Pool {
    /// Creates a pool that gives up opening a connection after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Arc::default(),
            connect_timeout,
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Sets no time limit beyond that of opening a connection; dropping the future closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if no byte left for the address.
    pub async fn send(
        &self,
        address: &str,
        mut request: Request,
        reuse: Reuse,
    ) -> Result<Response, Error> {
        set_host(&mut request, address);
        loop {
            let mut connection = match self.take(address, reuse) {
                Some(connection) => connection,
                None => Connection::open(address, self.connect_timeout).await?,
            };
            match connection.send(request).await {
                Ok(response) => {
                    return Ok(Response::new(response, connection, self.clone(), address));
                }
                Err(failure) => match failure.unsent {
                    // An idle connection was closed before the request was written to it.
                    Some(unsent) if connection.is_reused() => request = unsent,
                    _ => return Err(failure.error),
                },
            }
        }
    }

    /// Returns how many open idle connections are kept for `address`.
    pub fn idle_count(&self, address: &str) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(address).map_or(0, |idle| {
            let open = idle.connections.iter().filter(|idle| idle.is_open());
            open.count()
        })
    }

    /// Notes that a connection to `address` was found silent.
    pub fn record_timeout(&self, address: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.entry(address.into()).or_default();
        idle.last_timeout = Some(Instant::now());
    }

    /// Closes the idle connections of all addresses for which `keep` is false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, _| keep(address));
    }

    fn take(&self, address: &str, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let IdleConnections {
            connections,
            last_timeout,
        } = idle.get_mut(address)?;
        connections.retain(Connection::is_usable);
        match reuse {
            Reuse::Newest => connections.pop_if(|last| last.responded_since(*last_timeout)),
            Reuse::Oldest if connections.is_empty() => None,
            Reuse::Oldest => Some(connections.remove(0)),
            Reuse::Never => None,
        }
    }

    fn put(&self, address: &str, mut connection: Connection) {
        connection.record_response();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = &mut idle.entry(address.into()).or_default().connections;
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }
}

/// Returns the length of the head of a request without other fields, in bytes.
pub fn request_head_len(path: &str, address: &str) -> usize {
    REQUEST_HEAD_OVERHEAD + path.len() + address.len()
}

/// Bytes of a request's head beside the path and the host.
const REQUEST_HEAD_OVERHEAD: usize = "GET  HTTP/1.1\r\nhost: \r\n\r\n".len();

fn set_host(request: &mut Request, address: &str) {
    if request.headers().contains_key(header::HOST) {
        return;
    }
    if let Ok(host) = HeaderValue::from_str(address) {
        request.headers_mut().insert(header::HOST, host);
    }
}
