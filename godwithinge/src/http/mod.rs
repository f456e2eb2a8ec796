//! HTTP/1.1 client with a connection pool in which reuse can be disabled per connection.

mod connection;
mod error;
mod framing;
mod received;
mod response;
mod tracked;

pub(crate) use self::connection::connect;
pub use self::{
    connection::Connection, error::Error, framing::Framing, received::Received, response::Response,
};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderValue, Request as HttpRequest, header};
use http_body_util::Full;
use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// HTTP request whose body is held in memory.
pub type Request = HttpRequest<Full<Bytes>>;

/// Maximum number of idle connections kept per key; further ones are closed.
const MAX_IDLE_PER_KEY: usize = 32;

/// Connection pool for any number of servers, each under a key of its own: its address, unless the
/// caller gives another one.
///
/// A connection serves one request at a time. It returns to the pool once the response body has
/// been read to the end, and is closed if the [`Response`] is dropped before that. Clones share
/// the same connections.
#[derive(Clone, Debug)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<CompactString, IdleConnections>>>,
    connect_timeout: Duration,
    /// Whether connections that another host forwards are kept for reuse.
    keeps_forwarded: Arc<AtomicBool>,
    /// Hosts whose forwarded connections are not kept for reuse.
    closed_hosts: Arc<Mutex<HashSet<CompactString>>>,
}

/// Idle connections under one key, ordered from least to most recently used.
#[derive(Debug, Default)]
struct IdleConnections {
    connections: Vec<Connection>,
    /// When a request under the key last timed out.
    last_timeout: Option<Instant>,
}

/// Which pooled connection a request may reuse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// The most recently used idle connection, or a new one if there is none. After a timeout,
    /// connections that have not responded since are skipped, because they may be unresponsive
    /// too; [`Oldest`](Self::Oldest) still uses them.
    Newest,
    /// The least recently used idle connection, or a new one if there is none. Repeated requests
    /// of this kind cycle through the pool and so detect unresponsive connections.
    Oldest,
    /// Always a new connection.
    Never,
}

impl Pool {
    /// Creates an empty pool; opening a connection fails after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Arc::default(),
            connect_timeout,
            keeps_forwarded: Arc::default(),
            closed_hosts: Arc::default(),
        }
    }

    /// Sends a request and waits for the response head.
    ///
    /// Only opening the connection has a timeout; the caller limits the rest. Dropping the future
    /// closes the connection. If an idle connection was closed by the server before any byte of
    /// the request was written, the request is sent over another connection.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if no connection could be opened, so that no byte of the
    /// request was sent, and with [`Error::Broken`] if the connection failed later.
    pub async fn send(
        &self,
        address: &str,
        request: Request,
        reuse: Reuse,
    ) -> Result<Response, Error> {
        let open = || Connection::open(address, self.connect_timeout);
        self.send_over(address, address, request, reuse, open, || true)
            .await
    }

    /// Like [`send`](Self::send), but idle connections are kept under `key`, which tells processes at
    /// the same address apart, new connections are opened by `open`, and `may_write` is called before
    /// the request is written to a connection.
    ///
    /// # Errors
    ///
    /// Fails like [`send`](Self::send), if `open` does, and with [`Error::Withdrawn`] if `may_write`
    /// returns false.
    pub async fn send_over<F>(
        &self,
        key: &str,
        address: &str,
        mut request: Request,
        reuse: Reuse,
        open: impl Fn() -> F,
        may_write: impl Fn() -> bool,
    ) -> Result<Response, Error>
    where
        F: Future<Output = Result<Connection, Error>>,
    {
        set_host(&mut request, address);
        loop {
            let mut connection = match self.take(key, reuse) {
                Some(connection) => connection,
                None => open().await?,
            };
            if !may_write() {
                return Err(Error::Withdrawn);
            }
            match connection.send(request).await {
                Ok(response) => {
                    return Ok(Response::new(response, connection, self.clone(), key));
                }
                Err(failure) => match failure.unsent {
                    // The idle connection was closed before the request was written; retry.
                    Some(unsent) if connection.is_reused() => request = unsent,
                    _ => return Err(failure.error),
                },
            }
        }
    }

    /// Returns the number of idle connections under `key` that are not known to be closed.
    pub fn idle_count(&self, key: &str) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(key).map_or(0, |idle| {
            let open = idle.connections.iter().filter(|idle| idle.is_open());
            open.count()
        })
    }

    /// Records that a request under `key` timed out.
    ///
    /// [`Reuse::Newest`] then skips idle connections that have not responded since.
    pub fn record_timeout(&self, key: &str) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = idle.entry(key.into()).or_default();
        idle.last_timeout = Some(Instant::now());
    }

    /// Closes the idle connections under each key for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|key, _| keep(key));
    }

    /// Closes the idle connections that are direct, or those that another host forwards, and sets
    /// whether connections of the latter kind are kept for reuse from now on.
    pub fn prefer_forwarded(&self, is_forwarded: bool) {
        self.keeps_forwarded.store(is_forwarded, Ordering::Relaxed);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for idle in idle.values_mut() {
            let connections = &mut idle.connections;
            connections.retain(|connection| connection.via().is_some() == is_forwarded);
        }
    }

    /// Closes the idle connections that `host` forwards, and keeps none for reuse until
    /// [`keep_forwarded_by`](Self::keep_forwarded_by) is called.
    pub fn close_forwarded_by(&self, host: &str) {
        let closed_hosts = self.closed_hosts.lock();
        let mut closed_hosts = closed_hosts.unwrap_or_else(PoisonError::into_inner);
        closed_hosts.insert(host.into());
        drop(closed_hosts);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for idle in idle.values_mut() {
            let connections = &mut idle.connections;
            connections.retain(|connection| connection.via() != Some(host));
        }
    }

    fn take(&self, key: &str, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let IdleConnections {
            connections,
            last_timeout,
        } = idle.get_mut(key)?;
        connections.retain(Connection::is_usable);
        match reuse {
            Reuse::Newest => connections.pop_if(|last| last.responded_since(*last_timeout)),
            Reuse::Oldest if connections.is_empty() => None,
            Reuse::Oldest => Some(connections.remove(0)),
            Reuse::Never => None,
        }
    }

    /// Keeps connections that `host` forwards for reuse.
    pub fn keep_forwarded_by(&self, host: &str) {
        let closed_hosts = self.closed_hosts.lock();
        let mut closed_hosts = closed_hosts.unwrap_or_else(PoisonError::into_inner);
        closed_hosts.remove(host);
    }

    /// Returns whether connections that are forwarded like this one are not kept.
    fn is_closed(&self, connection: &Connection) -> bool {
        let Some(host) = connection.via() else {
            return false;
        };
        let closed_hosts = self.closed_hosts.lock();
        let closed_hosts = closed_hosts.unwrap_or_else(PoisonError::into_inner);
        closed_hosts.contains(host)
    }

    fn put(&self, key: &str, mut connection: Connection) {
        if connection.via().is_some() && !self.keeps_forwarded.load(Ordering::Relaxed) {
            return;
        }
        if self.is_closed(&connection) {
            return;
        }
        connection.record_response();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = &mut idle.entry(key.into()).or_default().connections;
        if connections.len() < MAX_IDLE_PER_KEY {
            connections.push(connection);
        }
    }
}

/// Returns the length in bytes of a request head whose only header is `host`.
pub fn request_head_len(path: &str, address: &str) -> usize {
    REQUEST_HEAD_OVERHEAD + path.len() + address.len()
}

/// Length in bytes of a request head without its path and host; methods other than GET are longer.
const REQUEST_HEAD_OVERHEAD: usize = "GET  HTTP/1.1\r\nhost: \r\n\r\n".len();

fn set_host(request: &mut Request, address: &str) {
    if request.headers().contains_key(header::HOST) {
        return;
    }
    if let Ok(host) = HeaderValue::from_str(address) {
        request.headers_mut().insert(header::HOST, host);
    }
}
