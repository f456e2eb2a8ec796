//! Endpoint that accepts requests from callers.

use super::{Context, ErrorCode, stream, wire};
use crate::entry::{Daemon, Phase, Submission};
use dropshot::{Body, HttpError, Path, RequestContext, StreamingBody, endpoint};
use futures::{StreamExt, pin_mut};
use http::{HeaderMap, Response, StatusCode, header, response::Builder};
use policy::{
    Outcome,
    id::{Key, RequestId},
};
use std::time::Duration;

/// Maximum length of a request identifier.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// Maximum deadline; longer ones are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);
/// Header with the number of the last part that the caller received before it reconnected.
const LAST_EVENT_ID: &str = "last-event-id";

/// Accepts a request and responds with its outcome, or with a stream of its answer.
#[endpoint {
    method = POST,
    path = "/v1/pipelines/{pipeline}/requests",
}]
pub(super) async fn submit(
    context: RequestContext<Context>,
    path: Path<wire::PipelinePath>,
    body: StreamingBody,
) -> Result<Response<Body>, HttpError> {
    let daemon = context.context();
    let limit = daemon.settings().entry.body_limit;
    let after = parse_last_event_id(context.request.headers())?;
    let body = read_body(body, limit).await?;
    let request: wire::Request = serde_json::from_slice(&body).map_err(|error| {
        ErrorCode::MalformedBody.with_message(format!("body is malformed: {error}"))
    })?;
    validate(&request)?;
    let (id, is_streamed) = (request.id.clone(), request.stream);
    let submission = to_submission(path.into_inner().pipeline, request, after);
    let mut subscription = daemon.submit(submission).map_err(ErrorCode::from)?;
    if is_streamed {
        return with_connection_header(daemon, Response::builder())
            .header(header::CONTENT_TYPE, "text/event-stream")
            .body(stream::event_stream(id, subscription))
            .map_err(Into::into);
    }
    let outcome = subscription.outcome().await;
    drop(subscription);
    outcome_response(daemon, id, outcome)
}

/// Reads the body, and fails as soon as it exceeds `limit` bytes.
async fn read_body(body: StreamingBody, limit: usize) -> Result<Vec<u8>, HttpError> {
    let parts = body.into_stream();
    pin_mut!(parts);
    let mut buffer = Vec::new();
    while let Some(part) = parts.next().await {
        let part = part?;
        if buffer.len() + part.len() > limit {
            return Err(
                ErrorCode::BodyTooLarge.with_message(format!("body is larger than {limit} bytes"))
            );
        }
        buffer.extend_from_slice(&part);
    }
    Ok(buffer)
}

/// Returns the number of parts that the caller has already received.
fn parse_last_event_id(headers: &HeaderMap) -> Result<usize, ErrorCode> {
    let Some(value) = headers.get(LAST_EVENT_ID) else {
        return Ok(0);
    };
    let last: Option<usize> = value.to_str().ok().and_then(|text| text.parse().ok());
    last.and_then(|last| last.checked_add(1))
        .ok_or(ErrorCode::LastEventIdInvalid)
}

fn validate(request: &wire::Request) -> Result<(), ErrorCode> {
    let id = &request.id;
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || id.chars().any(char::is_control) {
        return Err(ErrorCode::RequestIdInvalid);
    }
    if request.deadline_ms == 0 {
        return Err(ErrorCode::DeadlineZero);
    }
    Ok(())
}

fn to_submission(pipeline: String, request: wire::Request, after: usize) -> Submission {
    Submission {
        key: Key::new(request.workspace, pipeline, request.id),
        deadline: Duration::from_millis(request.deadline_ms).min(MAX_DEADLINE),
        retry: request.retry,
        payload: request.payload.get().into(),
        received_chunks: after,
    }
}

/// Builds the response for a final outcome.
fn outcome_response(
    daemon: &Daemon,
    id: RequestId,
    outcome: Outcome,
) -> Result<Response<Body>, HttpError> {
    let retry_after = match &outcome {
        Outcome::NotRun { retry_after, .. } => Some(*retry_after),
        Outcome::Failed { retry_after, .. } => *retry_after,
        Outcome::Answered { .. } | Outcome::Unknown { .. } => None,
    };
    let status = status_code(&outcome);
    let body = serde_json::to_vec(&wire::OutcomeBody::new(id, outcome))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let mut response = with_connection_header(daemon, Response::builder())
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.as_secs_f64().ceil() as u64;
        response = response.header(header::RETRY_AFTER, seconds);
    }
    Ok(response.body(body.into())?)
}

/// Adds `connection: close` if the daemon is shutting down.
fn with_connection_header(daemon: &Daemon, response: Builder) -> Builder {
    if *daemon.phase().borrow() == Phase::Serving {
        response
    } else {
        response.header(header::CONNECTION, "close")
    }
}

fn status_code(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Answered { .. } => StatusCode::OK,
        Outcome::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Failed { .. } => StatusCode::BAD_GATEWAY,
        Outcome::Unknown { .. } => StatusCode::CONFLICT,
    }
}
