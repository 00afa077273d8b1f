//! The disk thread: saves in order, many with one sync, and reports what is durable.

use std::{thread, time::Duration};

use crossbeam_channel::Receiver;
use rudder_replica::{Record, Snapshot};

use crate::{Store, write};

/// A full disk is tried again after this long.
const FULL_RETRY: Duration = Duration::from_millis(250);

/// What the disk thread reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// All saves up to this number are durable.
    Saved(u64),
    /// The disk refuses writes; the save goes on being tried.
    Full,
}

/// Something to save.
#[derive(Debug)]
pub enum Job {
    /// Append records.
    Append(u64, Vec<Record>),
    /// Start the file anew.
    Replace(u64, Snapshot, Vec<Record>),
}

/// Saves until the sender of jobs is gone or nobody wants its reports any more.
///
/// A failed sync ends the process: what the system holds of the file is not known any more, and a
/// voter that went on could acknowledge what it would forget.
pub fn run(mut store: Store, jobs: &Receiver<Job>, report: impl Fn(Report) -> bool) {
    while let Ok(first) = jobs.recv() {
        let mut saved = 0;
        for job in std::iter::once(first).chain(jobs.try_iter()) {
            saved = until_done(&mut store, &job, &report);
        }
        if let Err(error) = store.sync() {
            die(&error);
        }
        if !report(Report::Saved(saved)) {
            return;
        }
    }
}

/// Tries a job until the disk takes it.
fn until_done(store: &mut Store, job: &Job, report: impl Fn(Report) -> bool) -> u64 {
    let mut told = false;
    loop {
        let (number, result) = match job {
            Job::Append(number, records) => (*number, store.append(records)),
            Job::Replace(number, snapshot, records) => (*number, store.replace(snapshot, records)),
        };
        match result {
            Ok(()) => return number,
            Err(write::Error::Full { .. }) => {
                if !told {
                    told = true;
                    report(Report::Full);
                }
                thread::sleep(FULL_RETRY);
            }
            Err(error) => die(&error),
        }
    }
}

fn die(error: &write::Error) -> ! {
    spdlog::critical!("{error}; ending, because what is durable is not known");
    std::process::exit(3);
}
