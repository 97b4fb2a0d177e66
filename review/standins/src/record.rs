//! The record of a run: what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap();
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {}", self.seconds(), text.as_ref());
    }

    /// Writes a line that is also shown on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.4} {}", self.seconds(), text.as_ref());
        self.line(text);
    }
}
