//! Decoder for server-sent events.

/// Incremental decoder for a stream of server-sent events.
///
/// Only events that are terminated by two line feeds (`\n\n`) are recognized.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

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
    /// Creates a decoder for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the body, which need not end at an event boundary.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event; comments and events without data are skipped.
    ///
    /// `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let text: Vec<u8> = self.buffer.drain(..end + 2).collect();
            if let Some(event) = parse(&String::from_utf8_lossy(&text)) {
                return Some(event);
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
