//! Lines on their way to a reader that may be slow.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};
use tracing::Metadata;
use tracing_subscriber::fmt::MakeWriter;

/// Target of the lines of ordinary events, which are dropped before others.
pub const ORDINARY: &str = "ordinary";
/// Most bytes that wait for the reader.
const MAX_BYTES: usize = 1 << 20; // some thousand lines, under a hundredth of the smallest memory
/// Most bytes that wait for the reader when an ordinary line comes.
const MAX_ORDINARY_BYTES: usize = MAX_BYTES / 2; // leaves room for as many lines of failures
/// Time for which lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(100);

/// Writer that never waits; lines beyond a bound are dropped and counted.
#[derive(Clone, Debug)]
pub struct Ring(Arc<Shared>);

/// Writer of one line.
#[derive(Debug)]
pub struct Entry<'a> {
    ring: &'a Ring,
    is_ordinary: bool,
}

#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<Lines>,
    filled: Condvar,
}

#[derive(Debug, Default)]
struct Lines {
    bytes: Vec<u8>,
    dropped: u64,
    /// Ordinary lines among those dropped.
    dropped_ordinary: u64,
}

impl Ring {
    /// Starts a thread that writes the lines to `sink`.
    pub fn start(sink: impl Write + Send + 'static) -> Self {
        let ring = Self(Arc::default());
        let shared = Arc::clone(&ring.0);
        thread::spawn(move || drain(&shared, sink));
        ring
    }

    /// Returns a writer of one line.
    pub fn entry(&self, is_ordinary: bool) -> Entry<'_> {
        Entry {
            ring: self,
            is_ordinary,
        }
    }
}

impl<'a> MakeWriter<'a> for Ring {
    type Writer = Entry<'a>;

    fn make_writer(&'a self) -> Entry<'a> {
        self.entry(false)
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Entry<'a> {
        self.entry(meta.target() == ORDINARY)
    }
}

impl Write for Entry<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let Shared { lines, filled } = &*self.ring.0;
        let mut lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
        let most = if self.is_ordinary {
            MAX_ORDINARY_BYTES
        } else {
            MAX_BYTES
        };
        if lines.bytes.len() + buf.len() > most {
            lines.dropped += 1;
            lines.dropped_ordinary += u64::from(self.is_ordinary);
        } else {
            if lines.bytes.is_empty() {
                filled.notify_one();
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
        let Lines {
            bytes,
            dropped,
            dropped_ordinary,
        } = std::mem::take(&mut *lines);
        drop(lines);
        let note = match dropped {
            0 => String::new(),
            _ => format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped},\
                 \"ordinary\":{dropped_ordinary}}}\n"
            ),
        };
        let written = sink.write_all(&bytes);
        let written = written.and_then(|()| sink.write_all(note.as_bytes()));
        if written.and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
