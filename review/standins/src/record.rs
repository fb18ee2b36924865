//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines of `record.txt`, each with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins the record in a case's folder.
    pub fn begin(folder: &Path) -> io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Writes one line.
    pub fn write(&self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.began.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no thread panics with the lock");
        // Without the record the case is still decided.
        let _ = file.write_all(line.as_bytes());
    }
}
