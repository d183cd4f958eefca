//! What was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>7} {}", self.now_ms(), text.as_ref());
    }
}
