//! The disk thread: saves in order, many with one sync, and reports what is durable.

use std::{thread, time::Duration};

use crossbeam_channel::{Receiver, Sender};
use rudder_core::Event;
use rudder_replica::{Record, Snapshot};
use rudder_store::{Store, write};

use crate::Input;

/// A full disk is tried again after this long.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Something to save.
#[derive(Debug)]
pub(crate) enum Job {
    /// Append records.
    Append(u64, Vec<Record>),
    /// Start the file anew.
    Replace(u64, Snapshot, Vec<Record>),
}

/// Saves until the control thread is gone.
///
/// A failed sync ends the process: what the system holds of the file is not known any more, and a
/// voter that went on could acknowledge what it would forget.
pub(crate) fn run(mut store: Store, jobs: &Receiver<Job>, inputs: &Sender<Input>) {
    while let Ok(first) = jobs.recv() {
        let mut saved = 0;
        for job in std::iter::once(first).chain(jobs.try_iter()) {
            saved = until_done(&mut store, &job, inputs);
        }
        if let Err(error) = store.sync() {
            die(&error);
        }
        if inputs.send(Input::Event(Event::Saved { number: saved })).is_err() {
            return;
        }
    }
}

/// Tries a job until the disk takes it.
fn until_done(store: &mut Store, job: &Job, inputs: &Sender<Input>) -> u64 {
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
                    let _ = inputs.send(Input::Event(Event::DiskFull));
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
