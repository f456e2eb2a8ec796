//! Client of the platform's store.

use super::{
    dialect::{self, Call, Rows, Table},
    state::Relay,
};
use crate::http::{self as client, Pool, Received, Reuse};
use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use policy::relay::history::{Era, Version};
use std::{error, fmt, time::Duration};
use tokio::{sync::watch, time};

/// Connect timeout for the store; below the second that a call may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a call until its response begins, in addition to the time for which it waits for
/// changes, and then for each further part of the response. A healthy store answers within 10 ms.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for receiving a response, whose size is limited by [`MAX_RESPONSE_BYTES`].
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5); // 4 MB at 10 Mbit/s take 3.4 s
/// Maximum size of a response. The store limits pages to 1 MB, to which base64 and field names add.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Failure of a call to the store.
#[derive(Debug)]
pub(super) enum Error {
    /// The HTTP exchange failed or timed out.
    Transport(client::Error),
    /// The store returned an error status.
    Status(StatusCode),
    /// The response body is invalid.
    Body(dialect::Error),
    /// The store has dropped the requested part of its history.
    Compacted,
    /// The store came back from an older copy, so that its earlier versions have lost their meaning.
    Restored,
    /// The response was sent before the store came back from an older copy.
    Outdated,
}

/// Client of the platform's store.
#[derive(Debug)]
pub(super) struct Store {
    pool: Pool,
    /// Latest known era of the store; `None` before it was first stated.
    era: watch::Sender<Option<Era>>,
}

impl Store {
    pub fn new() -> Self {
        Self {
            pool: Pool::new(CONNECT_TIMEOUT),
            era: watch::Sender::new(None),
        }
    }

    /// Returns the latest known era of the store; 0 if it was never stated.
    pub fn era(&self) -> Era {
        self.era.borrow().unwrap_or_default()
    }

    /// Waits until the store is in a later era than `era`.
    pub async fn wait_for_era_after(&self, era: Era) {
        let mut changes = self.era.subscribe();
        let is_later = |latest: &Option<Era>| latest.is_some_and(|latest| latest > era);
        // The sender is a field of this store, so it is not dropped while the wait lasts.
        drop(changes.wait_for(is_later).await);
    }

    /// Records an era that the store or a peer stated. Returns `false` if it is outdated.
    pub fn record_era(&self, era: Era) -> bool {
        let latest = *self.era.borrow();
        if latest.is_some_and(|latest| latest > era) {
            return false;
        }
        if latest != Some(era) {
            if let Some(latest) = latest {
                tracing::warn!(era, latest, "store came back from an older copy");
            }
            self.era.send_replace(Some(era));
        }
        true
    }

    /// Makes a call to the store, with a timeout until the response begins. Returns the body of the
    /// response and the era in which it was sent.
    async fn call(
        &self,
        relay: &Relay,
        call: Call,
        timeout: Duration,
    ) -> Result<(Bytes, Era), Error> {
        let mut response = self.send(relay, &call, timeout, Reuse::Newest).await?;
        // Responses state the time of the store, so that none equals an earlier one.
        if response.is_repeated() {
            tracing::warn!(path = %call.path, "store sent a response twice; calling again");
            response = self.send(relay, &call, timeout, Reuse::Never).await?;
        }
        let status = response.status();
        let era = relay.dialect.parse_store_era(response.headers());
        let era = era.unwrap_or_else(|| self.era());
        if !self.record_era(era) {
            return Err(Error::Outdated);
        }
        match status {
            StatusCode::OK => {
                let body = response.body().clone();
                response.keep();
                Ok((body, era))
            }
            StatusCode::GONE => Err(Error::Compacted),
            status => Err(Error::Status(status)),
        }
    }

    /// Sends a call and receives the response.
    async fn send(
        &self,
        relay: &Relay,
        call: &Call,
        timeout: Duration,
        reuse: Reuse,
    ) -> Result<Received, Error> {
        let mut request = http::Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call
            .path
            .parse()
            .map_err(|_malformed| Error::Body(dialect::Error::Field("path")))?;
        let address = relay.settings().store_address.clone();
        let response = within(timeout, self.pool.send(&address, request, reuse)).await?;
        let response = response
            .with_idle_timeout(CALL_TIMEOUT)
            .receive(MAX_RESPONSE_BYTES);
        within(TRANSFER_TIMEOUT, response).await
    }

    /// Reads a whole table page by page. Its version is that of the first page, so that a feed from
    /// there includes all changes made while it is read.
    ///
    /// # Errors
    ///
    /// Fails if a call fails.
    pub async fn read_table(&self, relay: &Relay, table: Table) -> Result<Rows, Error> {
        let mut rows = Rows::default();
        let mut next_key: Option<String> = None;
        loop {
            let call = relay.dialect.read_table_call(table, next_key.as_deref());
            let (body, era) = self.call(relay, call, CALL_TIMEOUT).await?;
            let page = relay.dialect.parse_rows(&body, era).map_err(Error::Body)?;
            // Changes made after the first page was read are taken from the feed.
            if next_key.is_none() {
                rows.version = page.version;
            } else if rows.version.era != page.version.era {
                return Err(Error::Restored);
            }
            rows.rows.extend(page.rows);
            let last = rows.rows.last();
            match last {
                // The smallest key greater than the last one.
                Some(last) if page.has_more => next_key = Some(format!("{}\0", last.key)),
                _ => return Ok(rows),
            }
        }
    }

    /// Returns the changes of a table after a version, and waits up to `wait` for them.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, with [`Error::Compacted`] if the store has dropped the changes, or
    /// with [`Error::Restored`] if it is no longer in the era of `after`.
    pub async fn poll_changes(
        &self,
        relay: &Relay,
        table: Table,
        after: Version,
        wait: Duration,
    ) -> Result<Rows, Error> {
        let call = relay.dialect.watch_table_call(table, after.number, wait);
        let (body, era) = self.call(relay, call, wait + CALL_TIMEOUT).await?;
        if era != after.era {
            return Err(Error::Restored);
        }
        relay.dialect.parse_rows(&body, era).map_err(Error::Body)
    }

    /// Writes a row of the daemons' own tables, or deletes it if `value` is `None`. Returns the era in
    /// which the store confirmed it.
    ///
    /// # Errors
    ///
    /// Fails if the call fails; the row may have been written nevertheless.
    pub async fn put_row(
        &self,
        relay: &Relay,
        table: Table,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<Era, Error> {
        let call = relay.dialect.write_row_call(table, key, value);
        let (_, era) = self.call(relay, call, CALL_TIMEOUT).await?;
        Ok(era)
    }
}

/// Limits the duration of a part of an exchange.
async fn within<T>(
    timeout: Duration,
    exchange: impl Future<Output = Result<T, client::Error>>,
) -> Result<T, Error> {
    let result = time::timeout(timeout, exchange).await;
    result
        .unwrap_or(Err(client::Error::Timeout))
        .map_err(Error::Transport)
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Transport(cause) => write!(f, "call to the store failed: {cause}"),
            Self::Status(status) => write!(f, "store returned status {status}"),
            Self::Body(cause) => write!(f, "invalid response from the store: {cause}"),
            Self::Compacted => f.write_str("store has dropped the requested history"),
            Self::Restored => f.write_str("store came back from an older copy"),
            Self::Outdated => f.write_str("response of the store is from an earlier era"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Self::Transport(cause) => Some(cause),
            Self::Body(cause) => Some(cause),
            Self::Status(_) | Self::Compacted | Self::Restored | Self::Outdated => None,
        }
    }
}
