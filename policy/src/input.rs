//! Construction of stage inputs.

use crate::id::{Payload, PoolId};
use serde_json::Value;

/// Returns the JSON input for a service.
///
/// `payload` is the JSON payload of the request; `stages` and `results` are the pools and results
/// of the earlier stages, in the same order.
pub fn call(payload: &str, stages: &[PoolId], results: &[Payload]) -> Payload {
    format!(
        "{{\"payload\":{payload},\"results\":{}}}",
        object(stages, results)
    )
    .into()
}

/// Returns the prompt for an engine.
///
/// The prompt begins with the payload's `prompt` member, or with the whole payload if it has none,
/// so that requests with a common prompt prefix share blocks of the prefix cache.
pub fn prompt(payload: &str, stages: &[PoolId], results: &[Payload]) -> Payload {
    let member = serde_json::from_str::<Value>(payload)
        .ok()
        .and_then(|value| {
            value
                .get("prompt")
                .and_then(Value::as_str)
                .map(str::to_owned)
        });
    let begin = member.unwrap_or_else(|| payload.to_owned());
    if results.is_empty() {
        return begin.into();
    }
    format!("{begin}\n{}", object(stages, results)).into()
}

fn object(stages: &[PoolId], results: &[Payload]) -> String {
    let members: Vec<_> = stages
        .iter()
        .zip(results)
        .map(|(pool, result)| format!("{}:{result}", Value::from(pool.as_str())))
        .collect();
    format!("{{{}}}", members.join(","))
}
