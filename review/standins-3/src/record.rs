//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A file with a line for each event, in the order of their times.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Begins an empty record.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Adds an event with its time.
    pub fn add(&self, event: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{seconds:8.3} s  {event}");
    }
}
