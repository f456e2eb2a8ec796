//! Decoder of server-sent events.

/// Decoder of a stream of server-sent events, fed with the parts of a body.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

/// One event with data.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Name of the event; empty if it has none.
    pub name: String,
    /// Identifier of the event; empty if it has none.
    pub id: String,
    /// Data of the event.
    pub data: String,
}

impl Decoder {
    /// Creates a decoder at the begin of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event; comments and events without data are skipped.
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

/// Reads the fields of an event; `None` if it has no data.
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
