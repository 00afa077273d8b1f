//! Cost of notes, and of a save while notes are written. The files lie on the disk of the target folder.

use std::{
    path::Path,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crossbeam_channel::unbounded;
use divan::{Bencher, counter::ItemsCount};
use rudder_replica::Record;
use rudder_store::{
    disk::{self, Job, Report},
    notes::{self, Options},
    open,
};
use tempfile::TempDir;

/// Length of a note in bytes.
const NOTE_LENGTH: usize = 60;
const NOTES: usize = 1000;

fn main() {
    divan::main();
}

fn temporary_folder() -> TempDir {
    tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a temporary folder")
}

fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970")
}

fn open_notes(folder: &Path) -> notes::Outcome {
    notes::open(folder, Options::default(), wall_clock())
}

#[divan::bench]
fn append(bencher: Bencher) {
    let folder = temporary_folder();
    let mut notes = open_notes(folder.path()).notes;
    bencher.counter(ItemsCount::new(NOTES)).bench_local(|| {
        for _ in 0..NOTES {
            notes.append(wall_clock(), &[7; NOTE_LENGTH]).expect("append");
        }
    });
}

/// Opens two full generations.
#[divan::bench]
fn recover(bencher: Bencher) {
    let folder = temporary_folder();
    let mut notes = open_notes(folder.path()).notes;
    let bytes = 2 * Options::default().max_bytes as usize;
    for _ in 0..bytes / NOTE_LENGTH {
        notes.append(wall_clock(), &[7; NOTE_LENGTH]).expect("append");
    }
    bencher.counter(ItemsCount::new(notes.count())).bench_local(|| open_notes(folder.path()));
}

/// Saves a record behind a number of notes.
#[divan::bench(args = [0, 100, 1000, 10_000], sample_count = 50, sample_size = 1)]
fn save(bencher: Bencher, notes: usize) {
    let folder = temporary_folder();
    let outcome = open(folder.path(), "node", 7).expect("a fresh folder");
    let (sender, jobs) = unbounded();
    let (reporter, reports) = unbounded();
    let run = move || disk::run(outcome.store, outcome.notes.notes, &jobs, |report| reporter.send(report).is_ok());
    let disk_thread = thread::spawn(run);
    bencher.bench_local(|| {
        for _ in 0..notes {
            sender.send(Job::Note(vec![7; NOTE_LENGTH])).expect("a receiver");
        }
        sender.send(Job::Append(1, vec![Record::Hard { term: 1, vote: None }])).expect("a receiver");
        assert_eq!(reports.recv(), Ok(Report::Saved(1)));
    });
    drop(sender);
    disk_thread.join().expect("the disk thread ends");
}
