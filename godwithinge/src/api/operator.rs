//! Endpoints for operators, authenticated by a bearer token.

use super::{Context, ErrorCode, public::json_response, wire};
use crate::entry::Daemon;
use dropshot::{Body, HttpError, Path, RequestContext, endpoint};
use http::{Response, header};
use policy::id::Key;

/// Returns the routing decisions about a request that are still kept in memory.
#[endpoint {
    method = GET,
    path = "/v1/requests/{pipeline}/{workspace}/{request}/decisions",
}]
pub(super) async fn decisions(
    context: RequestContext<Context>,
    path: Path<wire::RequestPath>,
) -> Result<Response<Body>, HttpError> {
    let daemon = authorize(&context)?;
    let path = path.into_inner();
    let key = Key::new(path.workspace, path.pipeline, path.request);
    json_response(&daemon.decisions(&key))
}

/// Returns the status of the daemon.
#[endpoint {
    method = GET,
    path = "/v1/status",
}]
pub(super) async fn status(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let daemon = authorize(&context)?;
    json_response(&wire::EntryStatus {
        host: daemon.settings().daemon.host.clone(),
        incarnation: daemon.incarnation(),
        phase: (*daemon.phase().borrow()).into(),
        ready: daemon.is_ready(),
        revision: daemon.table().map(|table| table.revision),
        in_flight: daemon.in_flight(),
        unsettled: daemon.unsettled(),
        members: daemon.links().members(),
        linked: daemon.links().linked(),
        targets: daemon.hosts(),
    })
}

/// Starts draining the daemon; if it is already draining, logs the requests in flight.
#[endpoint {
    method = POST,
    path = "/v1/drain",
}]
pub(super) async fn drain(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let daemon = authorize(&context)?;
    daemon.drain();
    Ok(Response::new(Body::with_content("draining\n")))
}

/// Returns the daemon if the request carries the operator token.
fn authorize(context: &RequestContext<Context>) -> Result<&Daemon, ErrorCode> {
    let daemon = context.context();
    let header = context.request.headers().get(header::AUTHORIZATION);
    let token = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    if daemon
        .settings()
        .daemon
        .operator_token
        .constant_time_eq(token)
    {
        Ok(daemon)
    } else {
        Err(ErrorCode::Unauthorized)
    }
}
