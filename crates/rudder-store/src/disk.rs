//! The disk thread: executes save jobs in order with group commit and reports durable progress.

use std::{thread, time::Duration};

use crossbeam_channel::Receiver;
use rudder_replica::{Record, Snapshot};

use crate::{Store, write};

/// Delay between retries while the disk is full.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A status report of the disk thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// All jobs up to and including this number are durable.
    Saved(u64),
    /// The disk is full; the current job is being retried.
    Full,
}

/// A save job with its sequence number.
#[derive(Debug)]
pub enum Job {
    /// Appends records to the current file.
    Append(u64, Vec<Record>),
    /// Replaces the current file by a snapshot and the records after it.
    Replace(u64, Snapshot, Vec<Record>),
}

/// Executes jobs until the job channel is disconnected or `report` returns `false`.
///
/// Any error other than a full disk exits the process. After a failed sync the durable state is
/// unknown, and a voter that continued could acknowledge records that a crash would lose.
pub fn run(mut store: Store, jobs: &Receiver<Job>, report: impl Fn(Report) -> bool) {
    while let Ok(first) = jobs.recv() {
        let mut saved = 0;
        for job in std::iter::once(first).chain(jobs.try_iter()) {
            saved = run_with_retry(&mut store, &job, &report);
        }
        if let Err(error) = store.sync() {
            exit_process(&error);
        }
        if !report(Report::Saved(saved)) {
            return;
        }
    }
}

/// Executes a job, retrying while the disk is full, and returns its number.
fn run_with_retry(store: &mut Store, job: &Job, report: impl Fn(Report) -> bool) -> u64 {
    let mut full_reported = false;
    loop {
        let (number, result) = match job {
            Job::Append(number, records) => (*number, store.append(records)),
            Job::Replace(number, snapshot, records) => (*number, store.replace(snapshot, records)),
        };
        match result {
            Ok(()) => return number,
            Err(write::Error::Full { .. }) => {
                if !full_reported {
                    full_reported = true;
                    report(Report::Full);
                }
                thread::sleep(DISK_FULL_RETRY_DELAY);
            }
            Err(error) => exit_process(&error),
        }
    }
}

fn exit_process(error: &write::Error) -> ! {
    spdlog::critical!("{error}; exiting because the durable state is unknown");
    std::process::exit(3);
}
