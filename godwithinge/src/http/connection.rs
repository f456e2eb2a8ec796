//! One connection.

use super::{Error, Request};
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use std::{
    io,
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, task::AbortHandle, time};

/// Time before the other side closes an idle connection at which it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500); // the limit is in whole seconds

/// One connection, closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    requests: u64,
    last_response: Option<Instant>,
    /// How long the other side keeps the connection open while it is idle.
    idle_timeout: Option<Duration>,
}

/// Failed sending of a request.
#[derive(Debug)]
pub(super) struct SendError {
    /// What went wrong.
    pub(super) error: Error,
    /// The request, if no byte of it was written.
    pub(super) unsent: Option<Request>,
}

impl Connection {
    /// Opens a connection.
    pub(super) async fn open(address: &str, timeout: Duration) -> Result<Self, Error> {
        let stream = time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| Error::Connect(io::ErrorKind::TimedOut.into()))?
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| Error::Connect(io::Error::other(cause)))?;
        let driver = tokio::spawn(async move {
            // The sender is told of a failure too, and reports it.
            drop(connection.await);
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            requests: 0,
            last_response: None,
            idle_timeout: None,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub(super) async fn send(&mut self, request: Request) -> Result<Response<Incoming>, SendError> {
        self.requests += 1;
        if let Err(cause) = self.sender.ready().await {
            return Err(SendError {
                error: Error::Broken(cause),
                unsent: Some(request),
            });
        }
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut failure| SendError {
                unsent: failure.take_message(),
                error: Error::Broken(failure.into_error()),
            })
    }

    /// Returns whether the connection has served a request before the latest one.
    pub(super) fn is_reused(&self) -> bool {
        self.requests > 1
    }

    /// Notes that a response was read to its end.
    pub(super) fn record_response(&mut self) {
        self.last_response = Some(Instant::now());
    }

    /// Notes how long the other side keeps the connection open while it is idle.
    pub(super) fn set_idle_timeout(&mut self, limit: Duration) {
        self.idle_timeout = Some(limit);
    }

    /// Returns whether the connection is open and the other side has no reason to close it.
    pub(super) fn is_usable(&self) -> bool {
        let is_expired = match (self.idle_timeout, self.last_response) {
            (Some(limit), Some(last_response)) => last_response.elapsed() + IDLE_MARGIN >= limit,
            _ => false,
        };
        self.is_open() && !is_expired
    }

    /// Returns whether the connection has answered since `time`.
    pub(super) fn responded_since(&self, time: Option<Instant>) -> bool {
        time.is_none_or(|time| self.last_response > Some(time))
    }

    /// Returns whether neither side is known to have closed the connection.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
