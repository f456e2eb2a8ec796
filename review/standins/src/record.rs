//! Record of what was sent, answered and run.

use crate::lock;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// File with one line for each event, with the time since the start of the case.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn new(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{now:10.1} {text}");
    }

    /// Writes one line also to standard output.
    pub fn say(&self, text: &str) {
        // Whoever reads the output may have closed it.
        let _ = writeln!(io::stdout(), "{text}");
        self.line(text);
        let _ = lock(&self.file).flush();
    }
}
