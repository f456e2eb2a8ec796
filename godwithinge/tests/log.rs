//! Lines of a process whose reader is slow.

use godwithinge::log::NonBlockingWriter;
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

/// Bytes of a line; some thousand of them are more than waits for a reader.
const LINE_BYTES: usize = 512;
/// Lines of each kind that are written while the reader stands still.
const LINES_PER_KIND: usize = 4_000;
/// Bound on the wait for the reader.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Reader that hands on what it reads, and waits before each read until it may.
struct GatedSink {
    permits: Receiver<()>,
    writes: Sender<Vec<u8>>,
}

impl Write for GatedSink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let broken = |_closed| io::Error::from(io::ErrorKind::BrokenPipe);
        self.permits.recv().map_err(broken)?;
        self.writes
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

/// Ordinary lines that came first do not take the room of lines about failures, and all that were
/// dropped are counted.
#[test]
fn ordinary_lines_are_dropped_before_failure_lines() {
    let (allow, permits) = channel();
    let (writes, written) = channel();
    let writer = NonBlockingWriter::start(GatedSink { permits, writes });
    let write = |kind: &str, is_ordinary: bool| {
        let written = writer.line_writer(is_ordinary).write_all(&line(kind));
        written.expect("the ring takes or drops each line");
    };
    (0..LINES_PER_KIND).for_each(|_| write("ordinary", true));
    (0..LINES_PER_KIND / 4).for_each(|_| write("failure", false));
    let mut text = String::new();
    while !text.contains("log lines dropped") {
        allow.send(()).expect("the ring reads");
        let bytes = written
            .recv_timeout(READ_TIMEOUT)
            .expect("lines within the bound");
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    assert_eq!(text.matches("failure").count(), LINES_PER_KIND / 4);
    let kept = text.matches("ordinary ").count();
    assert!(kept > 0 && kept < LINES_PER_KIND, "{kept} ordinary lines");
    let dropped = LINES_PER_KIND - kept;
    assert!(
        text.contains(&format!("\"lines\":{dropped},\"ordinary\":{dropped}")),
        "{}",
        text.lines().last().unwrap_or_default()
    );
}
