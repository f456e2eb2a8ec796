//! Decoder of server-sent events.

/// Decoder of a stream of server-sent events, fed with the parts of a body.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Creates a decoder at the begin of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part of the body.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// Returns the data of the next whole event.
    ///
    /// Comments and fields other than `data` are skipped.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            if let Some(data) = data(&event) {
                return Some(data);
            }
        }
    }
}

/// Joins the data lines of an event; `None` if it has none.
fn data(event: &[u8]) -> Option<String> {
    let event = String::from_utf8_lossy(event);
    let lines = event
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|line| line.strip_prefix(' ').unwrap_or(line));
    let lines: Vec<_> = lines.collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}
