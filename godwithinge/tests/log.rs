//! Tests of the log writer with a slow sink.

use godwithinge::log::NonBlockingWriter;
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

/// Length of a line; [`ORDINARY_LINES`] lines exceed the capacity of the buffer.
const LINE_BYTES: usize = 512;
/// Number of ordinary lines that are written while the sink is blocked.
const ORDINARY_LINES: usize = 4_000;
/// Maximum wait for the next write to the sink.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Sink that forwards each write to a channel, and blocks before it until a permit arrives.
struct GatedSink {
    permits: Receiver<()>,
    chunks: Sender<Vec<u8>>,
}

impl Write for GatedSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let broken = |_closed| io::Error::from(io::ErrorKind::BrokenPipe);
        self.permits.recv().map_err(broken)?;
        self.chunks
            .send(buf.to_vec())
            .map_err(|_closed| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(kind: &str) -> Vec<u8> {
    let mut line = vec![b' '; LINE_BYTES];
    line[..kind.len()].copy_from_slice(kind.as_bytes());
    line[LINE_BYTES - 1] = b'\n';
    line
}

/// Ordinary lines must not use up the buffer space reserved for lines about failures, even if they
/// were written first, and every dropped line must be counted.
#[test]
fn ordinary_lines_are_dropped_before_failure_lines() {
    let (allow, permits) = channel();
    let (chunks, received) = channel();
    let writer = NonBlockingWriter::start(GatedSink { permits, chunks });
    let write = |kind: &str, is_ordinary: bool| {
        let written = writer.line_writer(is_ordinary).write_all(&line(kind));
        written.expect("writer never returns an error");
    };
    (0..ORDINARY_LINES).for_each(|_| write("ordinary", true));
    (0..ORDINARY_LINES / 4).for_each(|_| write("failure", false));
    let mut text = String::new();
    while !text.contains("log lines dropped") {
        allow.send(()).expect("writer thread is running");
        let bytes = received
            .recv_timeout(READ_TIMEOUT)
            .expect("write to the sink before the timeout");
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    assert_eq!(text.matches("failure").count(), ORDINARY_LINES / 4);
    let kept = text.matches("ordinary ").count();
    assert!(kept > 0 && kept < ORDINARY_LINES, "{kept} ordinary lines");
    let dropped = ORDINARY_LINES - kept;
    assert!(
        text.contains(&format!("\"lines\":{dropped},\"ordinary\":{dropped}")),
        "{}",
        text.lines().last().unwrap_or_default()
    );
}
