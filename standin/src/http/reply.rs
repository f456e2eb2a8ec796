//! HTTP responses of the fakes.

use super::ConnectionClosed;
use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::Frame,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use std::time::Duration;

/// Body of a reply: complete, or a stream that may fail with [`ConnectionClosed`].
pub type Body = UnsyncBoxBody<Bytes, ConnectionClosed>;

/// HTTP response to one request.
pub type Reply = Response<Body>;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error_code: &'a str,
    message: &'a str,
}

/// Returns a reply with raw bytes and no `content-type` header.
pub fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut reply = Response::new(body.boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// Returns a reply with a JSON body, or an empty 500 reply if `value` can't be serialized.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let Ok(text) = serde_json::to_vec(value) else {
        return bytes(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    };
    let mut reply = bytes(status, text);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Returns a 200 reply with a JSON body.
pub fn ok(value: &impl Serialize) -> Reply {
    json(StatusCode::OK, value)
}

/// Returns a reply with a JSON body that holds `error_code` and `message`.
pub fn error(status: StatusCode, code: &str, message: &str) -> Reply {
    let body = ErrorBody {
        error_code: code,
        message,
    };
    json(status, &body)
}

/// Returns a 429 reply whose `retry-after` header is `wait`, rounded up to whole seconds.
pub fn too_many_requests(wait: Duration) -> Reply {
    let mut reply = error(StatusCode::TOO_MANY_REQUESTS, "busy", "too many requests");
    let seconds = wait.as_secs_f64().ceil() as u64;
    reply
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    reply
}

/// Returns a 404 reply with the error code `not_found`.
pub fn not_found() -> Reply {
    error(StatusCode::NOT_FOUND, "not_found", "no such thing here")
}

/// Returns a 200 reply that streams server-sent events. Each item is sent as one frame and must be
/// in the wire format already; an error closes the connection.
pub fn event_stream<S>(events: S) -> Reply
where
    S: Stream<Item = Result<Bytes, ConnectionClosed>> + Send + 'static,
{
    use futures::StreamExt;
    let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
    let mut reply = Response::new(BodyExt::boxed_unsync(body));
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}
