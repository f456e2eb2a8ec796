//! Interface for operators, who send a token.

use super::{Code, Context, public::json, wire};
use crate::entry::Daemon;
use dropshot::{Body, HttpError, Path, RequestContext, endpoint};
use http::{Response, header};
use policy::id::Key;

/// Gives the decisions about a request.
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
    json(&daemon.decisions(&key))
}

/// Gives the state of the daemon.
#[endpoint {
    method = GET,
    path = "/v1/status",
}]
pub(super) async fn status(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let daemon = authorize(&context)?;
    json(&wire::Status {
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

/// Begins to drain the daemon; again, logs what is in flight.
#[endpoint {
    method = POST,
    path = "/v1/drain",
}]
pub(super) async fn drain(context: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let daemon = authorize(&context)?;
    daemon.drain();
    Ok(Response::new(Body::with_content("draining\n")))
}

/// Returns the daemon if the operator's token is right.
fn authorize(context: &RequestContext<Context>) -> Result<&Daemon, Code> {
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
        Err(Code::Unauthorized)
    }
}
