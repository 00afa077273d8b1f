//! Writing the event log, away from the control thread.

use std::{
    fs::{File, OpenOptions},
    io::{BufWriter, Write as _},
    path::Path,
    thread,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam_channel::{Receiver, Sender, bounded};
use rudder_events::{Line, What};
use rudder_model::InstanceId;

/// Events that wait to be written; past it, events of single requests are dropped and counted.
const WAITING: usize = 16_384;

/// The event log of this instance.
pub(crate) struct Log {
    instance: InstanceId,
    started: Instant,
    lines: Option<Sender<Line>>,
}

impl Log {
    /// Opens the file at `path`, or a log that writes nothing.
    pub(crate) fn open(instance: InstanceId, path: Option<&Path>) -> std::io::Result<Log> {
        let started = Instant::now();
        let Some(path) = path else { return Ok(Log { instance, started, lines: None }) };
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder)?;
        }
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (sender, receiver) = bounded(WAITING);
        thread::spawn(move || run(file, &receiver));
        Ok(Log { instance, started, lines: Some(sender) })
    }

    /// Writes an event; changes of state also go to the program's log.
    pub(crate) fn write(&self, what: What) {
        if what.request().is_none() {
            spdlog::info!("{}: {what:?}", self.instance);
        }
        let Some(lines) = &self.lines else { return };
        let uptime = self.started.elapsed().as_micros() as u64;
        let line = Line { at: wall_micros(), instance: self.instance.clone(), uptime, what };
        let _ = lines.try_send(line);
    }
}

fn run(file: File, lines: &Receiver<Line>) {
    let mut writer = BufWriter::new(file);
    while let Ok(first) = lines.recv() {
        for line in std::iter::once(first).chain(lines.try_iter()) {
            if serde_json::to_writer(&mut writer, &line).is_err() || writer.write_all(b"\n").is_err() {
                spdlog::warn!("an event could not be written");
            }
        }
        let _ = writer.flush();
    }
}

fn wall_micros() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
