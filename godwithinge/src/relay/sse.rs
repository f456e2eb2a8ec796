//! Reading of a target's stream of server-sent events.

use super::dialect::EventId;
use crate::http::{Framing, Response};
use bytes::{Bytes, BytesMut};
use std::time::Instant;
use strum::IntoStaticStr;
use tokio::time;

/// Maximum size of an event in bytes; events of the sites have a few hundred.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Length in bytes of the longest sequence that ends an event.
const MAX_END_LEN: usize = b"\r\n\r\n".len();

/// Why a stream did not reach its end; the name is a label value.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Interruption {
    /// The connection failed before the end of the body.
    Broken,
    /// The body ended inside an event, or without a declared end before the first event.
    CutOff,
    /// No event was completed in time.
    Silent,
    /// An event exceeds [`MAX_EVENT_BYTES`].
    LongEvent,
    /// The body contains something other than events in order.
    Foreign,
}

/// Reads complete events from the response of a target.
#[derive(Debug)]
pub(super) struct Reader {
    response: Response,
    /// Bytes after the last complete event.
    partial: BytesMut,
    last_id: Option<EventId>,
    has_events: bool,
}

impl Reader {
    /// Creates a reader of a response of which no part of the body has been read, and whose events
    /// follow the event `last_id`, if given.
    pub fn new(response: Response, last_id: Option<EventId>) -> Self {
        Self {
            response,
            partial: BytesMut::new(),
            last_id,
            has_events: false,
        }
    }

    /// Returns the response, of which only the head may be used.
    pub fn response(&self) -> &Response {
        &self.response
    }

    /// Returns the identifier of the last event that was read, or that the stream follows.
    pub fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Waits for the next complete events; `None` at the end of a complete stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream is interrupted, and if no event is complete by the deadline, however many
    /// bytes arrive.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>, Interruption> {
        loop {
            let chunk = time::timeout_at(deadline.into(), self.response.chunk()).await;
            match chunk {
                Ok(Ok(Some(chunk))) => {
                    let events = self.push(&chunk)?;
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
    fn push(&mut self, bytes: &Bytes) -> Result<Bytes, Interruption> {
        let searched = self.partial.len().saturating_sub(MAX_END_LEN);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial[searched..]) else {
            return Ok(Bytes::new());
        };
        let events = self.partial.split_to(searched + end).freeze();
        self.last_id = last_event_id(&events, self.last_id)?;
        self.has_events = true;
        Ok(events)
    }

    /// Returns whether the target broke the stream off, judged at the end of the body.
    ///
    /// The end of a connection is not a declared end. It is taken for one only after an event.
    fn is_cut_off(&self) -> bool {
        let is_undeclared = self.response.framing() == Framing::Close;
        !self.partial.is_empty() || is_undeclared && !self.has_events
    }
}

/// Returns the offset of the end of the last complete event, if there is one.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let mut ends = (1..=bytes.len()).rev();
    ends.find(|&end| bytes[..end].ends_with(b"\n\n") || bytes[..end].ends_with(b"\r\n\r\n"))
}

/// Returns the identifier of the last of the complete events that follow the event `last`.
///
/// # Errors
///
/// Fails if an event has no identifier, or none that is greater than that of the event before.
fn last_event_id(
    events: &[u8],
    mut last: Option<EventId>,
) -> Result<Option<EventId>, Interruption> {
    let mut has_fields = false;
    let mut has_id = false;
    for line in events.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if has_fields && !has_id {
                return Err(Interruption::Foreign);
            }
            (has_fields, has_id) = (false, false);
        } else if let Some(id) = line.strip_prefix(b"id:") {
            let id = parse_id(id).ok_or(Interruption::Foreign)?;
            if last.is_some_and(|last| id <= last) {
                return Err(Interruption::Foreign);
            }
            last = Some(id);
            has_id = true;
        } else if !line.starts_with(b":") {
            has_fields = true;
        }
    }
    Ok(last)
}

fn parse_id(text: &[u8]) -> Option<EventId> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
