//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write as _,
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// The record of a run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Begins the record at `path`, in place of an earlier one.
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Writes a line as of now.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line as of `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{seconds:9.3} s  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
