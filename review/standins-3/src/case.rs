//! Record of a case, and its outcome.

use crate::fleet;
use std::{
    fmt::Display,
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Time after which a case is ended; a script may run for 120 s.
const MAX_TIME: Duration = Duration::from_secs(112);

/// Record of what was sent, answered and run, in `record.txt` of the folder of a case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record of a case in this folder of the review, and ends the case if it takes too long.
    pub fn create(folder: impl Display) -> Self {
        thread::spawn(|| {
            thread::sleep(MAX_TIME);
            fleet::kill_all();
            fleet::unable("it took too long");
        });
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../{folder}/record.txt"));
        match File::create(&path) {
            Ok(file) => Self {
                started: Instant::now(),
                file: Mutex::new(file),
            },
            Err(fault) => fleet::unable(&format!("record.txt can't be written: {fault}")),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line about something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{seconds:8.3} {}", text.as_ref()));
    }
}

/// Returns whether the disruption is to be made.
pub fn has_trouble() -> bool {
    !std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Prints the outcome, adds it to the record and ends the process: with 1 if the rule was broken, with 0
/// if it held.
pub fn finish(record: &Record, is_broken: bool, summary: &str) -> ! {
    let word = if is_broken { "BROKEN" } else { "held" };
    record.line(format!("{word}: {summary}"));
    println!("{word}: {summary}");
    std::process::exit(i32::from(is_broken));
}

/// Numbers drawn from a seed.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 16) % bound
    }

    /// Returns an identifier of 16 hexadecimal digits.
    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}
