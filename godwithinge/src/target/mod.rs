//! Client of the targets: engines by streaming completions, plain services by calls.

mod engine;
mod error;
mod service;
mod sse;
mod wire;

pub use self::{
    error::Error,
    sse::{Decoder, Event},
    wire::Events,
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

/// Longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest body that is read from a target, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Client of all targets.
///
/// Calls that may not be repeated go over a new connection each, which proves that the target can
/// be reached before a byte leaves. Other calls use pooled connections; when one of these is
/// silent, it alone is closed and the call is tried once over a new one.
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
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self {
            connections: Connections::new(CONNECT_TIMEOUT),
        }
    }

    /// Runs a call to a target of `pool` and returns its result, which is JSON text on one line.
    ///
    /// `progress` gets the text of each streamed part. Dropping the future closes the connection,
    /// so that the target stops.
    ///
    /// # Errors
    ///
    /// Fails with [`Fault::Unsent`] only if no byte of the call left.
    pub async fn run(
        &self,
        call: &Call,
        pool: &Pool,
        progress: impl FnMut(&str) + Send,
    ) -> Result<Payload, Fault> {
        let whole = async {
            match pool.kind {
                Kind::Engine => engine::run(self, call, pool, progress).await,
                Kind::Service => service::run(self, call, pool).await,
            }
        };
        time::timeout(call.timeout, whole)
            .await
            .unwrap_or(Err(Fault::Silent))
    }

    /// Asks a target what became of a call; `None` if it can't say that the call took effect.
    pub async fn look_up(&self, address: &str, token: &str, timeout: Duration) -> Option<Payload> {
        let path = format!("/effects/{}", percent_encode(&visible(token)));
        let read = self.get(address, &path, Reuse::Never, timeout).await;
        let (body, _) = read.ok()?;
        let effect: wire::Effect = serde_json::from_slice(&body).ok()?;
        Some(one_line(effect.result.get()))
    }

    /// Reads a target's load report and returns it with the bytes of the exchange.
    ///
    /// Goes over the connection that has been idle longest, which finds silent ones.
    ///
    /// # Errors
    ///
    /// Fails if the target doesn't answer within `timeout` or its answer is malformed.
    pub async fn load(&self, address: &str, timeout: Duration) -> Result<(Report, usize), Error> {
        let (body, bytes) = self.get(address, "/load", Reuse::Oldest, timeout).await?;
        let load: wire::Load = serde_json::from_slice(&body).map_err(Error::Malformed)?;
        Ok((load.into(), bytes))
    }

    /// Reads the changes of an engine's prefix cache after number `after`, with the bytes of the
    /// exchange.
    ///
    /// # Errors
    ///
    /// Fails as [`load`](Self::load) does.
    pub async fn cache(
        &self,
        address: &str,
        after: u64,
        timeout: Duration,
    ) -> Result<(Events, usize), Error> {
        let path = format!("/cache?after={after}");
        let (body, bytes) = self.get(address, &path, Reuse::Oldest, timeout).await?;
        let events = serde_json::from_slice(&body).map_err(Error::Malformed)?;
        Ok((events, bytes))
    }

    /// Closes the idle connections to all addresses for which `keep` is false.
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
            let body = response.bytes(MAX_BODY).await?;
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

    fn note_silence(&self, address: &str) {
        self.connections.record_timeout(address);
        tracing::warn!(%address, "silent connection was closed");
    }

    /// Sends a call and waits for the head of the response.
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
                Ok(reply) => return accept(reply.map_err(|error| to_fault(&error))?).await,
                Err(_elapsed) => self.note_silence(address),
            }
        }
        let fresh = self.connections.send(address, request(), Reuse::Never);
        accept(within(call.idle_timeout, fresh).await?).await
    }
}

/// Waits for progress on a connection.
async fn within<T>(
    silence: Duration,
    step: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, Fault> {
    match time::timeout(silence, step).await {
        Ok(done) => done.map_err(|error| to_fault(&error)),
        Err(_elapsed) => Err(Fault::Silent),
    }
}

/// Turns a response that carries no result into its fault.
async fn accept(response: Response) -> Result<Response, Fault> {
    let fault = match response.status() {
        status if status.is_success() => return Ok(response),
        StatusCode::TOO_MANY_REQUESTS => Fault::Busy {
            retry_after: response.retry_after(),
        },
        // A model that is not warm is not run either.
        StatusCode::NOT_FOUND => Fault::Busy { retry_after: None },
        status if status.is_client_error() => Fault::Rejected,
        _ => Fault::Error,
    };
    // Reading the body to its end keeps the connection.
    let _ = time::timeout(CONNECT_TIMEOUT, response.bytes(MAX_BODY)).await;
    Err(fault)
}

fn to_fault(error: &HttpError) -> Fault {
    match error {
        HttpError::Connect(_) => Fault::Unsent,
        HttpError::Broken(_) => Fault::Broken,
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

/// Creates a request with a JSON body and a header that holds the call's idempotency key.
fn json_request(path: &str, body: &Bytes, token: (HeaderName, &str)) -> Request {
    let mut request = request(Method::POST, path, body.clone());
    let headers = request.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let (name, token) = token;
    if let Ok(value) = HeaderValue::from_str(&visible(token)) {
        headers.insert(name, value);
    }
    request
}

/// Escapes the bytes of a token that a header can't hold.
fn visible(token: &str) -> String {
    let mut visible = String::with_capacity(token.len());
    for byte in token.bytes() {
        if byte.is_ascii_graphic() {
            visible.push(char::from(byte));
        } else {
            let _ = write!(visible, "%{byte:02X}");
        }
    }
    visible
}

/// Removes the line breaks of JSON text; those within strings are escaped already.
fn one_line(json: &str) -> Payload {
    if json.contains(['\n', '\r']) {
        json.replace(['\n', '\r'], " ").into()
    } else {
        json.into()
    }
}
