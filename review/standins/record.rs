//! Record of a run: what was sent, answered and run, with milliseconds since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Open record.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn add(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>7} {text}", self.now_ms());
        }
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        self.add(text);
        println!("{:>7} {text}", self.now_ms());
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}
