//! Response whose body is read part by part.

use super::{Connection, Error, Pool};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{HeaderMap, StatusCode, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Bytes of a status line and of the line that ends the head.
const RESPONSE_HEAD_OVERHEAD: usize = 19;
/// Bytes of a header field beside its name and value.
const FIELD_OVERHEAD: usize = 4;

/// Response whose body is read part by part.
#[derive(Debug)]
pub struct Response {
    head: Parts,
    body: Incoming,
    connection: Option<Connection>,
    pool: Pool,
    address: CompactString,
    reused: bool,
    reuse_disabled: bool,
}

impl Response {
    pub(super) fn new(
        response: http::Response<Incoming>,
        connection: Connection,
        pool: Pool,
        address: &str,
    ) -> Self {
        let (head, body) = response.into_parts();
        let mut connection = connection;
        if let Some(limit) = idle_timeout(&head.headers) {
            connection.set_idle_timeout(limit);
        }
        Self {
            head,
            body,
            reused: connection.is_reused(),
            connection: Some(connection),
            pool,
            address: address.into(),
            reuse_disabled: false,
        }
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns the length of the head in bytes.
    pub fn head_len(&self) -> usize {
        let fields = self.headers().iter();
        let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD);
        RESPONSE_HEAD_OVERHEAD + fields.sum::<usize>()
    }

    /// Returns whether the connection had served a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Lets the connection close once the response has been read.
    pub fn disable_reuse(&mut self) {
        self.reuse_disabled = true;
    }

    /// Returns the time of the header `retry-after`, which is in whole seconds.
    pub fn retry_after(&self) -> Option<Duration> {
        let value = self.headers().get(header::RETRY_AFTER)?;
        let seconds = value.to_str().ok()?.parse().ok()?;
        Some(Duration::from_secs(seconds))
    }

    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
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
    /// Fails if the connection breaks or the body is longer than `limit` bytes.
    pub async fn bytes(mut self, limit: usize) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(part) = self.chunk().await? {
            if whole.len() + part.len() > limit {
                return Err(Error::TooLong);
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole.freeze())
    }

    /// Returns the connection to the pool.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take()
            && !self.reuse_disabled
        {
            self.pool.put(&self.address, connection);
        }
    }
}

/// Returns the time for which the other side keeps an idle connection, which is in whole seconds.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
