//! Judgement of a target's stream of server-sent events.
//!
//! A target in trouble ends its stream early or sends other bytes, at times without end. Only complete
//! events in order are forwarded, and only an end after such an event is the end of the stream.

use strum::IntoStaticStr;

/// Maximum size of an event in bytes; usual ones hold the text of a few tokens.
pub const MAX_EVENT_BYTES: usize = 64 << 10;
/// Sequences that end an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
/// Names of the fields of an event. Targets may begin an event with others, as with the version of the
/// model that they serve.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Length in bytes of the longest of [`EVENT_ENDS`].
const MAX_END_LEN: usize = 4;

/// Identifier of an event; identifiers increase within a stream.
pub type EventId = u64;

/// Why the bytes of a stream are not accepted; the name is a label value.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    LongEvent,
    /// An event has no identifier, or none that is greater than that of the event before, or contains
    /// something other than fields of an event, such as the head of another response.
    Foreign,
}

/// Splits a stream into events and checks their order.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    /// Bytes after the last complete event or comment.
    partial: Vec<u8>,
    /// Comments after the last complete event. They are no progress, and are returned with the next one.
    comments: Vec<u8>,
    last_id: Option<EventId>,
    /// Identifier of the first event that was accepted.
    first_id: Option<EventId>,
    /// Whether lines end with CRLF, which is the same for all lines of a stream; absent before the first.
    has_crlf: Option<bool>,
}

impl Parser {
    /// Creates a parser of a stream whose events follow the event `last_id`, if given.
    pub fn new(last_id: Option<EventId>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the identifier of the last event that was accepted, or that the stream follows.
    pub fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Returns the identifier of the first event that was accepted.
    pub fn first_id(&self) -> Option<EventId> {
        self.first_id
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.comments.len() + self.partial.len()
    }

    /// Removes and returns the comments after the last complete event.
    pub fn take_comments(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.comments)
    }

    /// Appends bytes and returns all events that are complete, with the comments before them.
    ///
    /// # Errors
    ///
    /// Fails if an event is too long or not in order. The parser must not be used afterwards.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Fault> {
        let searched = self.partial.len().saturating_sub(MAX_END_LEN);
        self.partial.extend_from_slice(bytes);
        let end = end_of_events(&self.partial[searched..]).map_or(0, |end| searched + end);
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return Err(Fault::LongEvent);
        }
        if end == 0 {
            return Ok(Vec::new());
        }
        let rest = self.partial.split_off(end);
        let events = std::mem::replace(&mut self.partial, rest);
        self.check_line_ends(&events)?;
        let (first_id, last_id) = event_ids(&events, self.last_id)?;
        self.first_id = self.first_id.or(first_id);
        self.last_id = last_id;
        if first_id.is_some() && self.comments.is_empty() {
            return Ok(events);
        }
        self.comments.extend(events);
        match first_id {
            Some(_) => Ok(self.take_comments()),
            None if self.comments.len() > MAX_EVENT_BYTES => Err(Fault::LongEvent),
            None => Ok(Vec::new()),
        }
    }

    /// Fails unless all lines end like those before. The head of a response that follows a broken-off
    /// event differs from the stream in that.
    fn check_line_ends(&mut self, events: &[u8]) -> Result<(), Fault> {
        let lines = events.strip_suffix(b"\n").unwrap_or(events);
        for line in lines.split(|&byte| byte == b'\n') {
            let has_crlf = line.ends_with(b"\r");
            if *self.has_crlf.get_or_insert(has_crlf) != has_crlf {
                return Err(Fault::Foreign);
            }
        }
        Ok(())
    }

    /// Returns whether a stream that ends here is complete.
    ///
    /// `is_declared` states whether the target declared the end, by a length or a last chunk. The end
    /// of the connection alone is taken for the end of the stream only after an event.
    pub fn is_complete(&self, is_declared: bool) -> bool {
        self.partial.is_empty() && (is_declared || self.first_id.is_some())
    }
}

/// Returns the offset of the end of the last complete event, if there is one.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let mut offsets = (1..=bytes.len()).rev();
    offsets.find(|&offset| EVENT_ENDS.iter().any(|end| bytes[..offset].ends_with(end)))
}

/// Returns the identifiers of the first and the last of the complete events that follow the event
/// `last`; the last one is `last` if there are none.
fn event_ids(
    events: &[u8],
    mut last: Option<EventId>,
) -> Result<(Option<EventId>, Option<EventId>), Fault> {
    let mut first = None;
    let mut has_extensions = false;
    let mut has_fields = false;
    let mut has_id = false;
    for line in events.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|&byte| byte == b':').next().unwrap_or_default();
        if line.is_empty() {
            if (has_fields || has_extensions) && !has_id {
                return Err(Fault::Foreign);
            }
            (has_extensions, has_fields, has_id) = (false, false, false);
        } else if let Some(id) = line.strip_prefix(b"id:") {
            let id = parse_id(id).ok_or(Fault::Foreign)?;
            if last.is_some_and(|last| id <= last) {
                return Err(Fault::Foreign);
            }
            first.get_or_insert(id);
            last = Some(id);
            has_id = true;
        } else if FIELDS.contains(&name) {
            has_fields = true;
        } else if !line.starts_with(b":") {
            if has_fields || has_id || name == line || !is_extension(name) {
                return Err(Fault::Foreign);
            }
            has_extensions = true;
        }
    }
    Ok((first, last))
}

/// Returns whether a field that is not among [`FIELDS`] may have this name.
fn is_extension(name: &[u8]) -> bool {
    let is_allowed =
        |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
    !name.is_empty() && name.iter().all(is_allowed)
}

fn parse_id(text: &[u8]) -> Option<EventId> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
