//! Replies of an entry, whole or as server-sent events.

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// Body of a reply: an outcome, or an error from before a request existed.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Final {
    pub(super) outcome: Option<CompactString>,
    pub(super) answer: Option<Value>,
    pub(super) reason: Option<CompactString>,
    pub(super) effects: Option<CompactString>,
    pub(super) retry_after_ms: Option<u64>,
    pub(super) error_code: Option<CompactString>,
}

impl Final {
    /// Returns whether the caller is asked to send again later.
    pub(super) fn is_refusal(&self) -> bool {
        match self.outcome.as_deref() {
            Some("not_run") => true,
            Some("failed") => self.retry_after_ms.is_some(),
            _ => false,
        }
    }
}

/// Parts that have come so far, also over earlier connections.
#[derive(Clone, Debug, Default)]
pub(super) struct Parts {
    pub(super) text: String,
    pub(super) last: Option<u64>,
    pub(super) first_at: Option<Instant>,
    pub(super) last_at: Option<Instant>,
    pub(super) gaps: Vec<Duration>,
}

#[derive(Deserialize)]
struct Part {
    text: String,
}

impl Parts {
    fn add(&mut self, number: Option<u64>, text: &str) {
        let now = Instant::now();
        if let Some(last) = self.last_at {
            self.gaps.push(now - last);
        }
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.last = number.or(self.last);
        self.text.push_str(text);
    }
}

/// Reads a reply to its outcome; `None` if the connection breaks before.
pub(super) async fn read(mut response: Response<Incoming>, parts: &mut Parts) -> Option<Final> {
    let kind = response.headers().get("content-type");
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    if !kind.starts_with("text/event-stream") {
        let body = response.into_body().collect().await.ok()?.to_bytes();
        return serde_json::from_slice(&body).ok();
    }
    let mut buffer = Vec::new();
    loop {
        let frame = response.frame().await?.ok()?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&bytes);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<_> = buffer.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            if let Some(outcome) = take(&event, parts) {
                return Some(outcome);
            }
        }
    }
}

/// Takes in one event and returns the outcome if the event tells it.
fn take(event: &str, parts: &mut Parts) -> Option<Final> {
    let data = field(event, "data")?;
    if field(event, "event") == Some("outcome") {
        return serde_json::from_str(data).ok();
    }
    let part: Part = serde_json::from_str(data).ok()?;
    let number = field(event, "id").and_then(|id| id.parse().ok());
    parts.add(number, &part.text);
    None
}

fn field<'a>(event: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = event.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
