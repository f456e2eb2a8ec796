//! Decoder for server-sent events.

use std::{error, fmt};

/// Incremental decoder for a stream of server-sent events.
///
/// Only events that are terminated by two line feeds (`\n\n`) are recognized.
#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    /// Number of bytes in the buffer that contain no end of an event.
    searched: usize,
    max_event_bytes: usize,
}

/// An event is longer than the decoder's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("event exceeds the length limit")
    }
}

impl error::Error for EventTooLong {}

/// Server-sent event with data.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Event type from the `event` field; empty if absent.
    pub name: String,
    /// Event identifier from the `id` field; empty if absent.
    pub id: String,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

impl Decoder {
    /// Creates a decoder for a new stream whose events have at most `max_event_bytes` bytes.
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            buffer: Vec::new(),
            searched: 0,
            max_event_bytes,
        }
    }

    /// Appends bytes of the body, which need not end at an event boundary.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event; comments and events without data are skipped.
    ///
    /// `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if an incomplete event is already too long.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        loop {
            let mut pairs = self.buffer[self.searched..].windows(2);
            let Some(end) = pairs.position(|pair| pair == b"\n\n") else {
                self.searched = self.buffer.len().saturating_sub(1);
                let is_too_long = self.buffer.len() > self.max_event_bytes;
                return if is_too_long {
                    Err(EventTooLong)
                } else {
                    Ok(None)
                };
            };
            let text: Vec<u8> = self.buffer.drain(..self.searched + end + 2).collect();
            self.searched = 0;
            if let Some(event) = parse(&String::from_utf8_lossy(&text)) {
                return Ok(Some(event));
            }
        }
    }
}

/// Parses the fields of an event; `None` if it has no data.
fn parse(text: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut data = Vec::new();
    for (field, value) in text.lines().filter_map(|line| line.split_once(':')) {
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => event.name = value.into(),
            "id" => event.id = value.into(),
            "data" => data.push(value),
            _ => {}
        }
    }
    event.data = data.join("\n");
    (!data.is_empty()).then_some(event)
}
