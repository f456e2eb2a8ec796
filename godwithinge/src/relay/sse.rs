//! Reading of a target's stream of server-sent events.

use crate::http::{Framing, Response};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use std::time::{Duration, Instant};
use strum::IntoStaticStr;
use tokio::time;

/// Maximum size of an event in bytes; events of the sites have a few hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream did not reach its end; the name is a label value.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Interruption {
    /// The connection failed before the end of the body.
    Broken,
    /// The body ended inside an event, or without a declared end before the first event.
    CutOff,
    /// Nothing arrived in time.
    Silent,
    /// An event exceeds [`MAX_EVENT_BYTES`].
    LongEvent,
}

/// Time limit for the next bytes of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeout {
    /// Latest arrival of all events.
    pub deadline: Instant,
    /// Maximum time between two parts of the body, if limited.
    pub gap: Option<Duration>,
}

/// Reads complete events from the response of a target.
#[derive(Debug)]
pub(super) struct Reader {
    response: Response,
    /// Bytes after the last complete event.
    partial: BytesMut,
    last_id: Option<CompactString>,
}

impl Reader {
    /// Creates a reader of a response of which no part of the body has been read.
    pub fn new(response: Response) -> Self {
        Self {
            response,
            partial: BytesMut::new(),
            last_id: None,
        }
    }

    /// Returns the response, of which only the head may be used.
    pub fn response(&self) -> &Response {
        &self.response
    }

    /// Returns the identifier of the last event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Waits for the next complete events; `None` at the end of a complete stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream is interrupted or `timeout` expires.
    pub async fn next(&mut self, timeout: Timeout) -> Result<Option<Bytes>, Interruption> {
        loop {
            let deadline = timeout.gap.map_or(timeout.deadline, |gap| {
                timeout.deadline.min(Instant::now() + gap)
            });
            let chunk = time::timeout_at(deadline.into(), self.response.chunk()).await;
            match chunk {
                Ok(Ok(Some(chunk))) => {
                    let events = self.push(&chunk);
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                    if self.partial.len() > MAX_EVENT_BYTES {
                        return Err(Interruption::LongEvent);
                    }
                }
                Ok(Ok(None)) if self.is_cut_off() => return Err(Interruption::CutOff),
                Ok(Ok(None)) => return Ok(None),
                Ok(Err(_)) => return Err(Interruption::Broken),
                Err(_elapsed) => return Err(Interruption::Silent),
            }
        }
    }

    /// Appends bytes and returns all events that are complete.
    fn push(&mut self, bytes: &Bytes) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = end_of_events(&self.partial);
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_event_id(&events) {
            self.last_id = Some(id);
        }
        events
    }

    /// Returns whether the target broke the stream off, judged at the end of the body.
    ///
    /// The end of a connection is not a declared end. It is taken for one only after an event.
    fn is_cut_off(&self) -> bool {
        let is_undeclared = self.response.framing() == Framing::Close;
        !self.partial.is_empty() || is_undeclared && self.last_id.is_none()
    }
}

/// Returns the offset of the end of the last complete event, or 0.
fn end_of_events(bytes: &[u8]) -> usize {
    let ends = (0..bytes.len()).rev().find(|&index| {
        let rest = &bytes[..=index];
        rest.ends_with(b"\n\n") || rest.ends_with(b"\r\n\r\n")
    });
    ends.map_or(0, |index| index + 1)
}

/// Returns the identifier of the last event that has one.
fn last_event_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|&byte| byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().into())
}
