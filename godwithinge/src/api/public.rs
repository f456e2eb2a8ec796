//! Unauthenticated endpoints: directory, readiness and metrics.

use super::{Context, ErrorCode, wire};
use dropshot::{Body, HttpError, Query, RequestContext, endpoint};
use http::{Response, header};
use serde::Serialize;

/// Returns the entries that a caller may use, in order of preference.
#[endpoint {
    method = GET,
    path = "/v1/entries",
}]
pub(super) async fn entries(
    context: RequestContext<Context>,
    query: Query<wire::EntriesQuery>,
) -> Result<Response<Body>, HttpError> {
    let query = query.into_inner();
    let domain = query.domain.map(Into::into);
    let answer = context
        .context()
        .directory(&query.workspace.into(), domain.as_ref());
    json_response(&wire::Entries::from(answer))
}

/// Readiness check; responds with 503 unless the daemon accepts requests.
#[endpoint {
    method = GET,
    path = "/ready",
}]
pub(super) async fn ready(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    if !context.context().is_ready() {
        return Err(ErrorCode::NotReady.into());
    }
    Ok(Response::new(Body::with_content("ready\n")))
}

/// Returns all metrics in the Prometheus text format.
#[endpoint {
    method = GET,
    path = "/metrics",
}]
pub(super) async fn metrics(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let text = context.context().metrics().to_text();
    let text = text.map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let response = Response::builder().header(header::CONTENT_TYPE, "text/plain; version=0.0.4");
    Ok(response.body(text.into())?)
}

/// Builds a response with a JSON body.
pub(super) fn json_response(message: &impl Serialize) -> Result<Response<Body>, HttpError> {
    let body = serde_json::to_vec(message)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let response = Response::builder().header(header::CONTENT_TYPE, "application/json");
    Ok(response.body(body.into())?)
}
