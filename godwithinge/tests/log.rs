//! Lines of a process whose reader is slow.

use godwithinge::log::Ring;
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

/// Bytes of a line; some thousand of them are more than waits for a reader.
const LINE: usize = 512;
/// Lines of each kind that are written while the reader stands still.
const LINES: usize = 4_000;
/// Bound on the wait for the reader.
const PATIENCE: Duration = Duration::from_secs(10);

/// Reader that hands on what it reads, and waits before each read until it may.
struct Slow {
    may_read: Receiver<()>,
    read: Sender<Vec<u8>>,
}

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let broken = |_closed| io::Error::from(io::ErrorKind::BrokenPipe);
        self.may_read.recv().map_err(broken)?;
        self.read
            .send(buf.to_vec())
            .map_err(|_closed| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(kind: &str) -> Vec<u8> {
    let mut line = vec![b' '; LINE];
    line[..kind.len()].copy_from_slice(kind.as_bytes());
    line[LINE - 1] = b'\n';
    line
}

/// Ordinary lines that came first do not take the room of lines about failures, and all that were
/// dropped are counted.
#[test]
fn lines_of_failures_are_kept_before_ordinary_ones() {
    let (allow, may_read) = channel();
    let (read, lines) = channel();
    let ring = Ring::start(Slow { may_read, read });
    let write = |kind: &str, is_ordinary: bool| {
        let written = ring.entry(is_ordinary).write_all(&line(kind));
        written.expect("the ring takes or drops each line");
    };
    (0..LINES).for_each(|_| write("ordinary", true));
    (0..LINES / 4).for_each(|_| write("failure", false));
    let mut text = String::new();
    while !text.contains("log lines dropped") {
        allow.send(()).expect("the ring reads");
        let bytes = lines
            .recv_timeout(PATIENCE)
            .expect("lines within the bound");
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    assert_eq!(text.matches("failure").count(), LINES / 4);
    let kept = text.matches("ordinary ").count();
    assert!(kept > 0 && kept < LINES, "{kept} ordinary lines");
    let dropped = LINES - kept;
    assert!(
        text.contains(&format!("\"lines\":{dropped},\"ordinary\":{dropped}")),
        "{}",
        text.lines().last().unwrap_or_default()
    );
}
