//! Lines on their way to a reader that may be slow.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Most bytes that wait for the reader.
const MAX_BYTES: usize = 1 << 20; // some thousand lines, under a hundredth of the smallest memory
/// Time for which lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(100);

/// Writer that never waits; lines beyond a bound are dropped and counted.
#[derive(Clone, Debug)]
pub struct Ring(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<Lines>,
    filled: Condvar,
}

#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Ring {
    /// Starts a thread that writes the lines to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> Self {
        let ring = Self(Arc::default());
        let shared = Arc::clone(&ring.0);
        thread::spawn(move || drain(&shared, sink));
        ring
    }
}

impl Write for Ring {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.bytes.len() + buf.len() > MAX_BYTES {
            lines.dropped += 1;
        } else {
            if lines.bytes.is_empty() {
                self.0.filled.notify_one();
            }
            lines.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(shared: &Shared, mut sink: impl Write) {
    loop {
        let mut lines = shared.lines.lock().unwrap_or_else(PoisonError::into_inner);
        while lines.bytes.is_empty() {
            lines = shared
                .filled
                .wait(lines)
                .unwrap_or_else(PoisonError::into_inner);
        }
        drop(lines);
        thread::sleep(GATHER);
        let mut lines = shared.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = std::mem::take(&mut lines.bytes);
        let dropped = std::mem::take(&mut lines.dropped);
        drop(lines);
        let note = match dropped {
            0 => String::new(),
            _ => format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            ),
        };
        let written = sink.write_all(&bytes);
        let written = written.and_then(|()| sink.write_all(note.as_bytes()));
        if written.and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
