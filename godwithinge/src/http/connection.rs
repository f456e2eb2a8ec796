//! HTTP/1.1 connection to one address.

use super::{
    Error, Request,
    tracked::{EndedEarly, TrackedStream},
};
use bytes::Bytes;
use compact_str::CompactString;
use http::Response;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{
    collections::VecDeque,
    hash::{DefaultHasher, Hash, Hasher},
    io,
    net::SocketAddr,
    ops::RangeInclusive,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream, lookup_host},
    task::AbortHandle,
    time,
};

/// How long before the server's idle timeout a connection is no longer reused, so that a request
/// does not race with the close. The server announces the timeout in whole seconds only.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Size of the read buffer in bytes, which also limits the size of a response head.
const READ_BUFFER_BYTES: usize = 64 << 10; // usual heads have less than one KiB

/// Size of the send buffer in bytes, which Linux doubles. That is the throughput of 1 Gbit/s over 2 ms, and
/// links to targets have up to 200 Mbit/s.
const SEND_BUFFER_BYTES: u32 = 128 << 10;

/// Number of bodies that a connection remembers. A second response follows the first one closely.
const MAX_DELIVERED: usize = 32;

/// Status codes of final responses. hyper fails on those below 100 and skips interim responses, but returns
/// 101, which no request asks for, and codes up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// HTTP/1.1 connection, closed on drop.
#[derive(Debug)]
pub struct Connection {
    /// Name of the host that forwards its bytes; absent if it is direct.
    via: Option<CompactString>,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    ended_early: EndedEarly,
    requests: u64,
    /// When a response body was last read to its end.
    last_response: Option<Instant>,
    /// How long the server keeps the connection open while it is idle, if announced.
    idle_timeout: Option<Duration>,
    /// Hashes of the latest bodies that were recorded.
    delivered: VecDeque<u64>,
}

/// Failure to send a request or to receive the response head.
#[derive(Debug)]
pub(super) struct SendError {
    pub(super) error: Error,
    /// The request, if no byte of it was written; it is then safe to resend.
    pub(super) unsent: Option<Request>,
}

impl Connection {
    /// Opens a TCP connection to `address` and starts the task that drives it.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if this is not done within `timeout`.
    pub async fn open(address: &str, timeout: Duration) -> Result<Self, Error> {
        let stream = time::timeout(timeout, connect(address))
            .await
            .map_err(|_elapsed| Error::Connect(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        Self::over(stream, None).await
    }

    /// Starts the task that drives a connection over `stream`, whose bytes the host `via` forwards,
    /// if given.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] if the stream fails.
    pub async fn over<S>(stream: S, via: Option<CompactString>) -> Result<Self, Error>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let stream = TrackedStream::new(stream);
        let ended_early = stream.ended_early();
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake
            .await
            .map_err(|cause| Error::Connect(io::Error::other(cause)))?;
        let driver = tokio::spawn(async move {
            // A failure is also returned by the request sender, so it is not handled here.
            drop(connection.await);
        });
        Ok(Self {
            via,
            sender,
            driver: driver.abort_handle(),
            ended_early,
            requests: 0,
            last_response: None,
            idle_timeout: None,
            delivered: VecDeque::new(),
        })
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(&mut self, request: Request) -> Result<Response<Incoming>, SendError> {
        self.requests += 1;
        if let Err(cause) = self.sender.ready().await {
            return Err(SendError {
                error: Error::Broken(cause),
                unsent: Some(request),
            });
        }
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut failure| SendError {
            unsent: failure.take_message(),
            error: Error::Broken(failure.into_error()),
        })?;
        let status = response.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(SendError {
                error: Error::Status(status),
                unsent: None,
            });
        }
        Ok(response)
    }

    /// Returns the name of the host that forwards its bytes; `None` if it is direct.
    pub fn via(&self) -> Option<&str> {
        self.via.as_deref()
    }

    /// Returns whether the server ended its side before the latest request was written, which changes with
    /// time.
    pub(super) fn ended_early(&self) -> EndedEarly {
        EndedEarly::clone(&self.ended_early)
    }

    /// Returns whether a request was sent over the connection before the latest one.
    pub(super) fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Records that a response body was read to its end just now.
    pub(super) fn record_response(&mut self) {
        self.last_response = Some(Instant::now());
    }

    /// Remembers a body for [`has_delivered`](Self::has_delivered).
    pub(super) fn record_delivery(&mut self, body: &[u8]) {
        if self.delivered.len() == MAX_DELIVERED {
            self.delivered.pop_front();
        }
        self.delivered.push_back(hash(body));
    }

    /// Returns whether an equal body was recorded, other than an empty one.
    pub(super) fn has_delivered(&self, body: &[u8]) -> bool {
        !body.is_empty() && self.delivered.contains(&hash(body))
    }

    /// Sets how long the server keeps the connection open while it is idle.
    pub(super) fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = Some(timeout);
    }

    /// Returns whether the connection is open and not about to reach the server's idle timeout.
    pub(super) fn is_usable(&self) -> bool {
        let is_expired = match (self.idle_timeout, self.last_response) {
            (Some(timeout), Some(response)) => response.elapsed() + IDLE_MARGIN >= timeout,
            _ => false,
        };
        self.is_open() && !is_expired
    }

    /// Returns whether a response was received after `time`; true if `time` is `None`.
    pub(super) fn responded_since(&self, time: Option<Instant>) -> bool {
        time.is_none_or(|time| self.last_response > Some(time))
    }

    /// Returns whether the connection is not known to be closed by either side.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Opens a TCP connection whose host buffers little of what is sent, so that a request that a server does
/// not read is not taken for written.
pub(crate) async fn connect(address: &str) -> io::Result<TcpStream> {
    let mut failure = io::ErrorKind::AddrNotAvailable.into();
    for address in lookup_host(address).await? {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        match socket.connect(address).await {
            Ok(stream) => return Ok(stream),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn hash(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}
