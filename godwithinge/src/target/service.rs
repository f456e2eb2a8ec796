//! Calls to services that do not stream.

use super::{Client, MAX_BODY_BYTES, json_request, one_line, wire, with_idle_timeout};
use bytes::Bytes;
use http::{HeaderName, HeaderValue};
use policy::{command::Call, fault::Fault, id::Payload, pool::Pool};
use serde_json::value::RawValue;

/// Header that contains the call's idempotency key.
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that contains the call's priority.
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");

/// Runs a call and returns the response body, which must be valid JSON.
pub(super) async fn run(client: &Client, call: &Call, pool: &Pool) -> Result<Payload, Fault> {
    let body = body(call, pool)?;
    let request = || {
        let mut request = json_request(
            "/call",
            &body,
            (IDEMPOTENCY_KEY_HEADER, &call.idempotency_key),
        );
        let priority = HeaderValue::from(call.priority);
        request.headers_mut().insert(PRIORITY_HEADER, priority);
        request
    };
    let response = client.send(call, pool.idempotent, request).await?;
    let body = with_idle_timeout(call.idle_timeout, response.bytes(MAX_BODY_BYTES)).await?;
    match serde_json::from_slice::<&RawValue>(&body) {
        Ok(result) => Ok(one_line(result.get())),
        Err(_cause) => Err(Fault::Error),
    }
}

fn body(call: &Call, pool: &Pool) -> Result<Bytes, Fault> {
    let Ok(input) = serde_json::from_str(&call.input) else {
        return Err(Fault::Rejected);
    };
    let body = wire::ServiceCall {
        request: &call.key.request,
        workspace: &call.key.workspace,
        stage: &pool.name,
        input,
    };
    match serde_json::to_vec(&body) {
        Ok(body) => Ok(body.into()),
        Err(_cause) => Err(Fault::Rejected),
    }
}
