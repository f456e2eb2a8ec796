//! Client of the platform's store.

use super::{
    dialect::{self, Call, Rows, Table},
    state::Relay,
};
use crate::http::{self as pool, Pool, Reuse};
use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use std::{error, fmt, time::Duration};
use tokio::time;

/// Longest time of opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800); // under the second that a call may take
/// Longest time of a call beside the time that it waits for changes.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(900); // a healthy store answers within 10 ms
/// Longest answer in bytes; the store's pages end at 1 MB, in base64 with names.
const MAX_ANSWER: usize = 4 << 20;

/// Failure of a call of the store.
#[derive(Debug)]
pub(super) enum Error {
    /// The exchange failed.
    Exchange(pool::Error),
    /// The store answered with a failure.
    Status(StatusCode),
    /// The answer can't be read.
    Body(dialect::Error),
    /// The history that was asked for is gone.
    Compacted,
}

/// Client of the platform's store.
#[derive(Clone, Debug)]
pub(super) struct Store {
    pool: Pool,
}

impl Store {
    /// Creates a client.
    pub fn new() -> Self {
        Self {
            pool: Pool::new(CONNECT_TIMEOUT),
        }
    }

    /// Makes a call that may take `timeout`.
    async fn call(&self, relay: &Relay, call: Call, timeout: Duration) -> Result<Bytes, Error> {
        let mut request = http::Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call
            .path
            .parse()
            .map_err(|_malformed| Error::Body(dialect::Error::Field("path")))?;
        let address = relay.settings().store_address.clone();
        let exchange = async {
            let response = self.pool.send(&address, request, Reuse::Newest).await?;
            let status = response.status();
            Ok((status, response.bytes(MAX_ANSWER).await?))
        };
        let exchange = time::timeout(timeout, exchange).await;
        let (status, body) = exchange
            .unwrap_or(Err(pool::Error::Timeout))
            .map_err(Error::Exchange)?;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(Error::Compacted),
            status => Err(Error::Status(status)),
        }
    }

    /// Reads a whole table.
    ///
    /// # Errors
    ///
    /// Fails if a call fails.
    pub async fn table(&self, relay: &Relay, table: Table) -> Result<Rows, Error> {
        let mut whole = Rows::default();
        let mut from: Option<String> = None;
        loop {
            let call = relay.dialect.read_table_call(table, from.as_deref());
            let body = self.call(relay, call, CALL_TIMEOUT).await?;
            let page = relay.dialect.parse_rows(&body).map_err(Error::Body)?;
            // Changes after the first page are read from the feed.
            if from.is_none() {
                whole.version = page.version;
            }
            whole.rows.extend(page.rows);
            let last = whole.rows.last();
            match last {
                // The smallest key after the last one.
                Some(last) if page.has_more => from = Some(format!("{}\0", last.key)),
                _ => return Ok(whole),
            }
        }
    }

    /// Waits for changes of a table after a version.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or with [`Error::Compacted`] if the changes are forgotten.
    pub async fn changes(
        &self,
        relay: &Relay,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<Rows, Error> {
        let call = relay.dialect.watch_table_call(table, after, wait);
        let body = self.call(relay, call, wait + CALL_TIMEOUT).await?;
        relay.dialect.parse_rows(&body).map_err(Error::Body)
    }

    /// Writes, or deletes, this daemon's row.
    ///
    /// # Errors
    ///
    /// Fails if the call fails; the row may have been written all the same.
    pub async fn put_daemon(
        &self,
        relay: &Relay,
        name: &str,
        value: Option<&[u8]>,
    ) -> Result<(), Error> {
        let call = relay.dialect.write_daemon_call(name, value);
        self.call(relay, call, CALL_TIMEOUT).await.map(drop)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exchange(cause) => write!(f, "store: {cause}"),
            Self::Status(status) => write!(f, "store answered {status}"),
            Self::Body(cause) => write!(f, "answer of the store: {cause}"),
            Self::Compacted => f.write_str("history of the store is gone"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Exchange(cause) => Some(cause),
            Self::Body(cause) => Some(cause),
            Self::Status(_) | Self::Compacted => None,
        }
    }
}
