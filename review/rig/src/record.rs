//! The record of a case: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line to the record.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:9.3} {text}", self.elapsed().as_secs_f64()).ok();
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.elapsed().as_secs_f64());
    }
}
