//! Inputs of stages.

use crate::id::{Payload, PoolId};
use serde_json::Value;

/// Returns the JSON input of a plain service.
///
/// `payload` is what the caller sent, `stages` and `results` are the earlier stages.
pub fn call(payload: &str, stages: &[PoolId], results: &[Payload]) -> Payload {
    format!(
        "{{\"payload\":{payload},\"results\":{}}}",
        object(stages, results)
    )
    .into()
}

/// Returns the prompt of an engine.
///
/// It begins with the payload's `prompt` member, or with the payload's text if there is none, so
/// that requests that share the beginning of their prompt share blocks of a prefix cache.
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
