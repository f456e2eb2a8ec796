//! Writer that buffers log lines for a sink that may be slow.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};
use tracing::Metadata;
use tracing_subscriber::fmt::MakeWriter;

/// Target of events about normal operation. Their lines are the first to be dropped when the buffer
/// fills up.
pub const ORDINARY_TARGET: &str = "ordinary";
/// Capacity of the buffer: some thousand lines, less than a hundredth of the smallest memory that a
/// daemon runs with.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Fill level above which ordinary lines are dropped; reserves half of the buffer for lines about
/// failures.
const MAX_BUFFERED_BYTES_ORDINARY: usize = MAX_BUFFERED_BYTES / 2;
/// Time for which lines accumulate before each write to the sink.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Writer that never blocks on its sink; lines that exceed the buffer are dropped and counted.
#[derive(Clone, Debug)]
pub struct NonBlockingWriter(Arc<Shared>);

/// Writer that adds one line to the buffer; each call of `write` must pass a whole line.
#[derive(Debug)]
pub struct LineWriter<'a> {
    writer: &'a NonBlockingWriter,
    is_ordinary: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    /// Number of ordinary lines among `dropped`.
    dropped_ordinary: u64,
}

impl NonBlockingWriter {
    /// Starts a thread that writes buffered lines to `sink`. The thread exits when a write fails;
    /// from then on, lines are dropped once the buffer is full.
    pub fn start(sink: impl Write + Send + 'static) -> Self {
        let writer = Self(Arc::default());
        let shared = Arc::clone(&writer.0);
        thread::spawn(move || write_loop(&shared, sink));
        writer
    }

    /// Returns a writer for one line; ordinary lines are dropped before others.
    pub fn line_writer(&self, is_ordinary: bool) -> LineWriter<'_> {
        LineWriter {
            writer: self,
            is_ordinary,
        }
    }
}

impl<'a> MakeWriter<'a> for NonBlockingWriter {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> LineWriter<'a> {
        self.line_writer(false)
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> LineWriter<'a> {
        self.line_writer(meta.target() == ORDINARY_TARGET)
    }
}

impl Write for LineWriter<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let Shared { buffer, not_empty } = &*self.writer.0;
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let max_bytes = if self.is_ordinary {
            MAX_BUFFERED_BYTES_ORDINARY
        } else {
            MAX_BUFFERED_BYTES
        };
        if buffer.bytes.len() + buf.len() > max_bytes {
            buffer.dropped += 1;
            buffer.dropped_ordinary += u64::from(self.is_ordinary);
        } else {
            if buffer.bytes.is_empty() {
                not_empty.notify_one();
            }
            buffer.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_loop(shared: &Shared, mut sink: impl Write) {
    loop {
        let mut buffer = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.bytes.is_empty() {
            buffer = shared
                .not_empty
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
        drop(buffer);
        thread::sleep(FLUSH_INTERVAL);
        let mut buffer = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let Buffer {
            bytes,
            dropped,
            dropped_ordinary,
        } = std::mem::take(&mut *buffer);
        drop(buffer);
        let dropped_line = match dropped {
            0 => String::new(),
            _ => format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped},\
                 \"ordinary\":{dropped_ordinary}}}\n"
            ),
        };
        let written = sink.write_all(&bytes);
        let written = written.and_then(|()| sink.write_all(dropped_line.as_bytes()));
        if written.and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
