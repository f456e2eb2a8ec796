//! HTTP client of the platform: table rows, transactions, objects, the host list and model weights.

mod error;
mod wire;

pub use self::{
    error::Error,
    wire::{Check, Conflict, Hosts, Range, Row, Rows, Transaction, Write},
};

use crate::http::{Error as HttpError, Pool, Request, Response, Reuse, request_head_len};
use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, StatusCode};
use http_body::Body;
use http_body_util::Full;
use policy::claim::Version;
use prometheus::IntCounterVec;
use serde::{Deserialize, de::DeserializeOwned};
use std::{
    fmt::Write as _,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time;

/// Maximum length in bytes of a response body that is read from the platform.
const MAX_BODY_BYTES: usize = 256 << 20;

/// HTTP client of the platform.
///
/// A read without a response, because its connection failed or timed out, is retried once over a
/// new connection. A write is never retried: it fails with [`Error::NoResponse`], and the caller
/// has to read the current state. Clones share connections and the cached list of hosts.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    address: CompactString,
    timeout: Duration,
    byte_counter: Option<IntCounterVec>,
    cached_hosts: Arc<Mutex<Option<Hosts>>>,
}

impl Client {
    /// Creates a client of the platform at `address`.
    ///
    /// Each HTTP exchange fails after `timeout`, so a read that is retried can take twice as long.
    pub fn new(address: impl Into<CompactString>, timeout: Duration) -> Self {
        Self {
            pool: Pool::new(timeout),
            address: address.into(),
            timeout,
            byte_counter: None,
            cached_hosts: Arc::default(),
        }
    }

    /// Counts the bytes sent and received in `counter`, by kind.
    ///
    /// The kind is `platform_` and the first part of the path after `/v1/`, as in
    /// `platform_objects`. Exchanges that fail or exceed the rate limit are not counted.
    #[must_use]
    pub fn with_byte_counter(mut self, counter: IntCounterVec) -> Self {
        self.byte_counter = Some(counter);
        self
    }

    /// Returns the address as it was passed to [`new`](Self::new).
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Reads a row of a table; `None` if the platform answers that it is not found.
    ///
    /// # Errors
    ///
    /// Fails if no response is received, or if it is an error or malformed.
    pub async fn row(&self, table: &str, key: &str) -> Result<Option<Row>, Error> {
        let path = format!("/v1/tables/{table}/row?key={}", percent_encode(key));
        none_if_not_found(self.get_json::<Row>(&path).await)
    }

    /// Reads the rows in `range` as of one commit, in order of their keys.
    ///
    /// # Errors
    ///
    /// Fails as [`row`](Self::row) does.
    pub async fn rows(&self, table: &str, range: &Range) -> Result<Rows, Error> {
        let path = format!("/v1/tables/{table}/rows?{}", range.to_query());
        self.get_json(&path).await
    }

    /// Commits a transaction and returns its commit number.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Conflict`] if a check failed. For other errors,
    /// [`Error::is_outcome_unknown`] tells whether the transaction may have been committed.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Version, Error> {
        #[derive(Deserialize)]
        struct CommitResponse {
            version: Version,
        }
        #[derive(Deserialize)]
        struct ConflictResponse {
            conflicts: Vec<Conflict>,
        }
        let body = serde_json::to_vec(transaction).map_err(Error::Malformed)?;
        let request = request(Method::POST, "/v1/transactions", body.into());
        let (status, body) = self.exchange(request, Reuse::Newest).await?;
        if status == StatusCode::CONFLICT {
            return Err(Error::Conflict(
                parse_json::<ConflictResponse>(&body)?.conflicts,
            ));
        }
        ensure_success(status)?;
        Ok(parse_json::<CommitResponse>(&body)?.version)
    }

    /// Stores an object and replaces any object under the same key.
    ///
    /// # Errors
    ///
    /// Fails as [`commit`](Self::commit) does, but never with [`Error::Conflict`].
    pub async fn put_object(&self, key: &str, object: Bytes) -> Result<(), Error> {
        let request = request(Method::PUT, &object_path(key), object);
        ensure_success(self.exchange(request, Reuse::Newest).await?.0)
    }

    /// Reads an object; `None` if there is none under `key`.
    ///
    /// # Errors
    ///
    /// Fails as [`row`](Self::row) does.
    pub async fn object(&self, key: &str) -> Result<Option<Bytes>, Error> {
        none_if_not_found(self.get(&object_path(key), Reuse::Newest).await)
    }

    /// Deletes an object; succeeds if there is none under `key`.
    ///
    /// # Errors
    ///
    /// Fails as [`put_object`](Self::put_object) does.
    pub async fn delete_object(&self, key: &str) -> Result<(), Error> {
        let request = request(Method::DELETE, &object_path(key), Bytes::new());
        let (status, _) = self.exchange(request, Reuse::Newest).await?;
        none_if_not_found(ensure_success(status)).map(|_| ())
    }

    /// Reads the list of hosts; the platform does not send it again if it is unchanged.
    ///
    /// Uses the least recently used connection. The list is read periodically, so these reads
    /// detect unresponsive connections in the pool.
    ///
    /// # Errors
    ///
    /// Fails as [`row`](Self::row) does.
    pub async fn hosts(&self) -> Result<Hosts, Error> {
        let cached = self.cached_hosts();
        let path = match &cached {
            Some(cached) => format!("/v1/hosts?after={}", cached.version),
            None => "/v1/hosts".to_owned(),
        };
        match (self.get(&path, Reuse::Oldest).await, cached) {
            (Err(Error::Status(StatusCode::NOT_MODIFIED)), Some(cached)) => Ok(cached),
            (Ok(body), _) => {
                let hosts: Hosts = parse_json(&body)?;
                let mut last = self
                    .cached_hosts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *last = Some(hosts.clone());
                Ok(hosts)
            }
            (Err(error), _) => Err(error),
        }
    }

    fn cached_hosts(&self) -> Option<Hosts> {
        let last = self
            .cached_hosts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last.clone()
    }

    /// Reads the weights of `model`.
    ///
    /// # Errors
    ///
    /// Fails as [`row`](Self::row) does, and with [`Error::RateLimited`] if the rate limit of the
    /// weight store is exceeded.
    pub async fn weights(&self, model: &str) -> Result<Bytes, Error> {
        self.get(
            &format!("/v1/weights/{}", percent_encode(model)),
            Reuse::Newest,
        )
        .await
    }

    fn count_bytes(&self, path: &str, bytes: u64) {
        if let Some(counter) = &self.byte_counter {
            let part = path.split(['/', '?']).nth(2).unwrap_or_default();
            let kind = format!("platform_{part}");
            counter.with_label_values(&[kind.as_str()]).inc_by(bytes);
        }
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        parse_json(&self.get(path, Reuse::Newest).await?)
    }

    async fn get(&self, path: &str, reuse: Reuse) -> Result<Bytes, Error> {
        let new_request = || request(Method::GET, path, Bytes::new());
        let (status, body) = match self.exchange(new_request(), reuse).await {
            Err(Error::NoResponse(_)) => self.exchange(new_request(), Reuse::Never).await?,
            reply => reply?,
        };
        ensure_success(status)?;
        Ok(body)
    }

    async fn exchange(&self, request: Request, reuse: Reuse) -> Result<(StatusCode, Bytes), Error> {
        let exchange = async {
            let (path, sent) = (
                request.uri().to_string(),
                request.body().size_hint().lower(),
            );
            let response = self.pool.send(&self.address, request, reuse).await?;
            let status = response.status();
            if status == StatusCode::TOO_MANY_REQUESTS {
                return rate_limited(response).await;
            }
            let head = request_head_len(&path, &self.address) + response.head_len();
            let body = response.bytes(MAX_BODY_BYTES).await?;
            self.count_bytes(&path, sent + (head + body.len()) as u64);
            Ok((status, body))
        };
        match time::timeout(self.timeout, exchange).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                self.pool.record_timeout(&self.address);
                Err(Error::NoResponse(HttpError::Timeout))
            }
        }
    }
}

async fn rate_limited(response: Response) -> Result<(StatusCode, Bytes), Error> {
    let retry_after = response.retry_after();
    response.bytes(MAX_BODY_BYTES).await?;
    Err(Error::RateLimited { retry_after })
}

fn ensure_success(status: StatusCode) -> Result<(), Error> {
    if status.is_success() {
        Ok(())
    } else {
        Err(Error::Status(status))
    }
}

fn none_if_not_found<T>(result: Result<T, Error>) -> Result<Option<T>, Error> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(Error::Status(StatusCode::NOT_FOUND)) => Ok(None),
        Err(error) => Err(error),
    }
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(Error::Malformed)
}

fn request(method: Method, path: &str, body: Bytes) -> Request {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{}", percent_encode(key))
}

/// Percent-encodes text for use as a path segment or query value.
///
/// All bytes except the unreserved characters of RFC 3986 are encoded.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            // Writing to a `String` never fails.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
