//! HTTP response with a streamed body.

use super::{Connection, Error, Framing, Pool, Received, tracked::EndedEarly};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{HeaderMap, StatusCode, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time;

/// Length in bytes of the status line `HTTP/1.1 200 OK` and of the empty line that ends the head.
/// Other reason phrases differ in length, so the length of a head is approximate.
const RESPONSE_HEAD_OVERHEAD: usize = 19;
/// Length in bytes of the separators `: ` and CRLF of a header field.
const FIELD_OVERHEAD: usize = 4;

/// HTTP response whose body is read in chunks.
///
/// Reading the body to its end returns the connection to the pool; dropping the response earlier
/// closes it.
#[derive(Debug)]
pub struct Response {
    head: Parts,
    body: Incoming,
    framing: Framing,
    ended_early: EndedEarly,
    connection: Option<Connection>,
    pool: Pool,
    key: CompactString,
    reused: bool,
    reuse_disabled: bool,
    idle_timeout: Option<Duration>,
}

impl Response {
    pub(super) fn new(
        response: http::Response<Incoming>,
        connection: Connection,
        pool: Pool,
        key: &str,
    ) -> Self {
        let (head, body) = response.into_parts();
        let mut connection = connection;
        if let Some(timeout) = idle_timeout(&head.headers) {
            connection.set_idle_timeout(timeout);
        }
        Self {
            framing: Framing::new(&head.headers, &body),
            ended_early: connection.ended_early(),
            head,
            body,
            reused: connection.is_reused(),
            connection: Some(connection),
            pool,
            key: key.into(),
            reuse_disabled: false,
            idle_timeout: None,
        }
    }

    /// Returns the status code; codes of failure are not turned into an [`Error`].
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the header fields, without trailers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the approximate length of the response head in bytes.
    pub fn head_len(&self) -> usize {
        let fields = self.headers().iter();
        let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD);
        RESPONSE_HEAD_OVERHEAD + fields.sum::<usize>()
    }

    /// Returns whether the request was sent over a connection that had served another before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the name of the host that forwards the connection; `None` if it is direct, or was
    /// returned to the pool.
    pub fn via(&self) -> Option<&str> {
        self.connection.as_ref().and_then(Connection::via)
    }

    /// Makes the connection close instead of returning to the pool once the body has been read.
    pub fn disable_reuse(&mut self) {
        self.reuse_disabled = true;
    }

    /// Returns the delay of the header `retry-after`; `None` if it is absent or not a whole number
    /// of seconds.
    pub fn retry_after(&self) -> Option<Duration> {
        let value = self.headers().get(header::RETRY_AFTER)?;
        let seconds = value.to_str().ok()?.parse().ok()?;
        Some(Duration::from_secs(seconds))
    }

    /// Limits the time until the next part of the body arrives, without limiting the total time.
    #[must_use]
    pub fn with_idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = Some(timeout);
        self
    }

    /// Reads the next chunk of the body; `None` at its end. Trailers are skipped.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Broken`] if the connection fails before the end of the body, with
    /// [`Error::Early`] if it ends the body before the request was written, and with [`Error::Timeout`] if nothing arrives within the idle timeout.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            let frame = self.body.frame();
            let frame = match self.idle_timeout {
                Some(timeout) => time::timeout(timeout, frame)
                    .await
                    .map_err(|_elapsed| Error::Timeout)?,
                None => frame.await,
            };
            match frame {
                None if self.is_early() => return Err(Error::Early),
                None => {
                    self.finish();
                    return Ok(None);
                }
                Some(Err(cause)) => return Err(Error::Broken(cause)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails like [`chunk`](Self::chunk), and with [`Error::TooLong`] if the body is longer than
    /// `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Bytes, Error> {
        self.read(limit).await
    }

    /// Reads the whole body, but returns the connection to the pool only if that is asked for.
    ///
    /// # Errors
    ///
    /// Fails like [`bytes`](Self::bytes).
    pub async fn receive(mut self, limit: usize) -> Result<Received, Error> {
        // Without it, the end of the body returns nothing to the pool.
        let connection = self.connection.take();
        let body = self.read(limit).await?;
        Ok(Received {
            head: self.head,
            body,
            connection,
            pool: self.pool,
            key: self.key,
        })
    }

    async fn read(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(Error::TooLong);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Returns whether a body that ends here may be incomplete, since its server has neither declared the
    /// end nor read the request. One in trouble closes connections in order as well, and what is written to
    /// them later fails after that.
    fn is_early(&self) -> bool {
        !self.framing.is_end_declared() && self.ended_early.load(Ordering::Relaxed)
    }

    /// Returns the connection to the pool, or closes it if its reuse is disabled.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take()
            && !self.reuse_disabled
        {
            self.pool.put(&self.key, connection);
        }
    }
}

/// Returns how long the server keeps an idle connection open, from the header `keep-alive`, which
/// gives whole seconds.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
