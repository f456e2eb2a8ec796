//! HTTP response that was received whole.

use super::{Connection, Pool};
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, StatusCode, response::Parts};

/// HTTP response that was received whole, with its connection.
///
/// HTTP/1.1 has nothing that ties a response to its request but their order, which a second response
/// shifts. The connection is therefore closed on drop; [`keep`](Self::keep) returns it to the pool
/// once the response is known to belong to its request.
#[derive(Debug)]
pub struct Received {
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) connection: Option<Connection>,
    pub(super) pool: Pool,
    pub(super) key: CompactString,
}

impl Received {
    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the header fields, without trailers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns the body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Returns the name of the host that forwards the connection; `None` if it is direct.
    pub fn via(&self) -> Option<&str> {
        self.connection.as_ref().and_then(Connection::via)
    }

    /// Returns whether an equal body was received over the connection before, as of a server that
    /// sends a response twice.
    pub fn is_repeated(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.has_delivered(&self.body))
    }

    /// Returns the connection to the pool, and remembers the body.
    pub fn keep(self) {
        if let Some(mut connection) = self.connection {
            connection.record_delivery(&self.body);
            self.pool.put(&self.key, connection);
        }
    }
}
