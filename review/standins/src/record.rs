//! What was sent, answered and run, in the order of time.

use std::{
    fmt::Display,
    fs,
    path::Path,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

static START: OnceLock<Instant> = OnceLock::new();
static LINES: Mutex<Vec<(Duration, String)>> = Mutex::new(Vec::new());

/// Time since the start of the script.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Adds a line.
pub fn note(text: impl Display) {
    let at = now();
    LINES.lock().expect("lines").push((at, text.to_string()));
}

/// Writes all lines to `record.txt` in `folder`, and the last `verdict` lines also to standard output.
pub fn write(folder: &Path, verdict: &[String]) {
    let lines = LINES.lock().expect("lines");
    let mut text = String::new();
    for (at, line) in lines.iter() {
        text.push_str(&format!("{:8.3} {line}\n", at.as_secs_f64()));
    }
    for line in verdict {
        text.push_str(&format!("verdict  {line}\n"));
        println!("{line}");
    }
    fs::write(folder.join("record.txt"), text).expect("the record can be written");
}
