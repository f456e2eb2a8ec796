//! What was sent, answered and run, in the file `record.txt` of the case.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").expect("RECORD");
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record is created"))),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock");
        let _written = writeln!(file, "{at:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
