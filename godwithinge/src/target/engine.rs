//! Calls to engines.

use super::{Client, Decoder, json_request, wire, with_idle_timeout};
use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderName;
use policy::{command::Call, fault::Fault, id::Payload, pool::Pool};

/// Data of the last event of a stream.
const DONE_MARKER: &str = "[DONE]";
/// Maximum size of an event in bytes; an event holds the text of one token.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Header that contains the call's idempotency key.
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Runs a call and passes the text of each streamed chunk to `progress`.
///
/// The text streamed by an earlier attempt is sent along, so that the engine resumes after it, and
/// is part of the result.
pub(super) async fn run(
    client: &Client,
    call: &Call,
    pool: &Pool,
    mut progress: impl FnMut(&str) + Send,
) -> Result<Payload, Fault> {
    let body = body(call, pool)?;
    let request = || {
        json_request(
            "/v1/completions",
            &body,
            (IDEMPOTENCY_KEY_HEADER, &call.idempotency_key),
        )
    };
    let mut response = client.send(call, pool.idempotent, request).await?;
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
    let mut text = CompactString::from(&*call.streamed_text);
    loop {
        let bytes = with_idle_timeout(call.idle_timeout, response.chunk()).await?;
        decoder.push(&bytes.ok_or(Fault::Broken)?);
        while let Some(event) = decoder.next_event().map_err(|_too_long| Fault::Error)? {
            let data = event.data;
            if data == DONE_MARKER {
                // The connection can be reused only if the body is read to its end.
                let _ = with_idle_timeout(call.idle_timeout, response.chunk()).await;
                return to_result(text);
            }
            let delta = parse_chunk(&data)?;
            progress(&delta);
            text.push_str(&delta);
        }
    }
}

fn body(call: &Call, pool: &Pool) -> Result<Bytes, Fault> {
    let completion = wire::Completion {
        model: &pool.model,
        prompt: &call.input,
        max_tokens: pool.max_tokens,
        stream: true,
        priority: call.priority,
        user: &call.key.workspace,
        resume: &call.streamed_text,
    };
    match serde_json::to_vec(&completion) {
        Ok(body) => Ok(body.into()),
        Err(_cause) => Err(Fault::Rejected),
    }
}

fn parse_chunk(data: &str) -> Result<String, Fault> {
    let Ok(chunk) = serde_json::from_str::<wire::CompletionChunk>(data) else {
        return Err(Fault::Error);
    };
    let texts = chunk.choices.into_iter().map(|choice| choice.text);
    Ok(texts.collect())
}

fn to_result(text: CompactString) -> Result<Payload, Fault> {
    match serde_json::to_string(&wire::StreamedResult { text }) {
        Ok(result) => Ok(result.into()),
        Err(_cause) => Err(Fault::Error),
    }
}
