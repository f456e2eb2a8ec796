//! HTTP client for targets: streaming completions for engines, plain calls for services.

mod engine;
mod error;
mod service;
mod sse;
mod wire;

pub use self::{
    error::Error,
    sse::{Decoder, Event, EventTooLong},
    wire::CacheChanges,
};

use crate::{
    http::{Error as HttpError, Pool as Connections, Request, Response, Reuse, request_head_len},
    platform::percent_encode,
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::Full;
use policy::{
    command::Call,
    fault::Fault,
    host::Report,
    id::Payload,
    pool::{Kind, Pool},
};
use std::{fmt::Write as _, time::Duration};
use tokio::time;

/// Time limit of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Client for all targets.
///
/// Each non-idempotent call uses a new connection, so that the target is known to be reachable
/// before any byte is sent. Idempotent calls use pooled connections; if a pooled connection is
/// silent, only that connection is closed and the call is retried once over a new one.
#[derive(Clone, Debug)]
pub struct Client {
    connections: Connections,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            connections: Connections::new(CONNECT_TIMEOUT),
        }
    }

    /// Runs a call to a target of `pool` and returns its result as JSON text on a single line.
    ///
    /// `progress` is called with the text of each streamed chunk. Dropping the future closes the
    /// connection, which makes the target stop.
    ///
    /// # Errors
    ///
    /// Fails with [`Fault::Unsent`] only if no byte of the call was sent.
    pub async fn run(
        &self,
        call: &Call,
        pool: &Pool,
        progress: impl FnMut(&str) + Send,
    ) -> Result<Payload, Fault> {
        let attempt = async {
            match pool.kind {
                Kind::Engine => engine::run(self, call, pool, progress).await,
                Kind::Service => service::run(self, call, pool).await,
            }
        };
        time::timeout(call.timeout, attempt)
            .await
            .unwrap_or(Err(Fault::Silent))
    }

    /// Asks a target for the result of an earlier call.
    ///
    /// Returns `None` if the request fails or the target does not confirm that the call took
    /// effect.
    pub async fn look_up_effect(
        &self,
        address: &str,
        idempotency_key: &str,
        timeout: Duration,
    ) -> Option<Payload> {
        let path = format!(
            "/effects/{}",
            percent_encode(&encode_header_value(idempotency_key))
        );
        let read = self.get(address, &path, Reuse::Never, timeout).await;
        let (body, _) = read.ok()?;
        let effect: wire::Effect = serde_json::from_slice(&body).ok()?;
        Some(one_line(effect.result.get()))
    }

    /// Reads a target's load report and returns it with the number of bytes sent and received.
    ///
    /// Uses the connection that has been idle longest, so that silent connections are detected.
    ///
    /// # Errors
    ///
    /// Fails if the target cannot be reached, does not answer within `timeout`, or answers with an
    /// error status or a malformed report.
    pub async fn read_load(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<(Report, usize), Error> {
        let (body, bytes) = self.get(address, "/load", Reuse::Oldest, timeout).await?;
        let load: wire::LoadReport = serde_json::from_slice(&body).map_err(Error::Malformed)?;
        Ok((load.into(), bytes))
    }

    /// Reads the changes of an engine's prefix cache after sequence number `after` and returns them
    /// with the number of bytes sent and received.
    ///
    /// # Errors
    ///
    /// Fails as [`read_load`](Self::read_load) does.
    pub async fn read_cache(
        &self,
        address: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<(CacheChanges, usize), Error> {
        let path = format!("/cache?after={after}");
        let (body, bytes) = self.get(address, &path, Reuse::Oldest, timeout).await?;
        let changes = serde_json::from_slice(&body).map_err(Error::Malformed)?;
        Ok((changes, bytes))
    }

    /// Closes the idle connections to all addresses for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.connections.retain(keep);
    }

    async fn get(
        &self,
        address: &str,
        path: &str,
        reuse: Reuse,
        timeout: Duration,
    ) -> Result<(Bytes, usize), Error> {
        let exchange = async {
            let request = request(Method::GET, path, Bytes::new());
            let response = self.connections.send(address, request, reuse).await?;
            if !response.status().is_success() {
                return Err(Error::Status(response.status()));
            }
            let head = response.head_len();
            let body = response.bytes(MAX_BODY_BYTES).await?;
            let bytes = request_head_len(path, address) + head + body.len();
            Ok((body, bytes))
        };
        match time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_elapsed) => {
                self.note_silence(address);
                Err(HttpError::Timeout.into())
            }
        }
    }

    /// Records and logs that a connection to `address` was silent.
    fn note_silence(&self, address: &str) {
        self.connections.record_timeout(address);
        tracing::warn!(%address, "silent connection was closed");
    }

    /// Sends a call and waits for the head of the response.
    ///
    /// A silent pooled connection counts as closed, not as a failure of the call.
    async fn send(
        &self,
        call: &Call,
        idempotent: bool,
        request: impl Fn() -> Request,
    ) -> Result<Response, Fault> {
        let address = call.address.as_str();
        if idempotent && self.connections.idle_count(address) > 0 {
            let pooled = self.connections.send(address, request(), Reuse::Newest);
            match time::timeout(call.idle_timeout, pooled).await {
                Ok(reply) => return check_status(reply.map_err(|error| to_fault(&error))?).await,
                Err(_elapsed) => self.note_silence(address),
            }
        }
        let fresh = self.connections.send(address, request(), Reuse::Never);
        check_status(with_idle_timeout(call.idle_timeout, fresh).await?).await
    }
}

/// Waits for an I/O operation; [`Fault::Silent`] if it takes longer than `idle_timeout`.
async fn with_idle_timeout<T>(
    idle_timeout: Duration,
    operation: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, Fault> {
    match time::timeout(idle_timeout, operation).await {
        Ok(done) => done.map_err(|error| to_fault(&error)),
        Err(_elapsed) => Err(Fault::Silent),
    }
}

/// Returns a successful response, or the fault for any other status.
async fn check_status(response: Response) -> Result<Response, Fault> {
    let fault = match response.status() {
        status if status.is_success() => return Ok(response),
        StatusCode::TOO_MANY_REQUESTS => Fault::Busy {
            retry_after: response.retry_after(),
        },
        // The model is not loaded, so the call did not run.
        StatusCode::NOT_FOUND => Fault::Busy { retry_after: None },
        status if status.is_client_error() => Fault::Rejected,
        _ => Fault::Error,
    };
    // The connection can be reused only if the body is read to its end.
    let _ = time::timeout(CONNECT_TIMEOUT, response.bytes(MAX_BODY_BYTES)).await;
    Err(fault)
}

fn to_fault(error: &HttpError) -> Fault {
    match error {
        HttpError::Connect(_) | HttpError::Withdrawn => Fault::Unsent,
        HttpError::Broken(_) | HttpError::Early | HttpError::Status(_) => Fault::Broken,
        HttpError::Timeout => Fault::Silent,
        HttpError::TooLong => Fault::Error,
    }
}

fn request(method: Method, path: &str, body: Bytes) -> Request {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

/// Creates a request with a JSON body and the call's idempotency key in the given header.
fn json_request(path: &str, body: &Bytes, idempotency_key: (HeaderName, &str)) -> Request {
    let mut request = request(Method::POST, path, body.clone());
    let headers = request.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let (name, idempotency_key) = idempotency_key;
    if let Ok(value) = HeaderValue::from_str(&encode_header_value(idempotency_key)) {
        headers.insert(name, value);
    }
    request
}

/// Percent-encodes the bytes of an idempotency key that are not visible ASCII characters.
///
/// A literal `%` is not encoded.
fn encode_header_value(idempotency_key: &str) -> String {
    let mut encoded = String::with_capacity(idempotency_key.len());
    for byte in idempotency_key.bytes() {
        if byte.is_ascii_graphic() {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Replaces line breaks in JSON text by spaces; line breaks within JSON strings are escaped.
fn one_line(json: &str) -> Payload {
    if json.contains(['\n', '\r']) {
        json.replace(['\n', '\r'], " ").into()
    } else {
        json.into()
    }
}
