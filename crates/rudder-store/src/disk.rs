//! The disk thread: executes save jobs in order with group commit and reports durable progress.

use std::{collections::VecDeque, mem, thread, time::Duration};

use crossbeam_channel::Receiver;
use rudder_replica::{Record, Snapshot};

use crate::{Medium, Notes, Store, notes, write};

/// Delay between retries while the disk is full.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Largest number of notes for which a save waits.
const NOTES_PER_BATCH: usize = 64;

/// A status report of the disk thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// All jobs up to and including this number are durable.
    Saved(u64),
    /// The disk is full; the current job is being retried.
    Full,
    /// Notes cannot be written, and this number of notes is lost so far. Sent once until [`Report::NotesResumed`].
    NotesLost(u64),
    /// Notes are written again; this number of notes was lost since [`Report::NotesLost`].
    NotesResumed(u64),
}

/// A job of the disk thread.
#[derive(Debug)]
pub enum Job {
    /// Appends records to the current file.
    Append(u64, Vec<Record>),
    /// Replaces the current file by a snapshot and the records after it.
    Replace(u64, Snapshot, Vec<Record>),
    /// Appends a note, which has no number and is never reported as saved.
    Note(Vec<u8>),
}

/// Executes jobs until the job channel is disconnected or `report` returns `false`.
///
/// Of the jobs that are waiting, saves are executed and synced before notes are written. Notes keep their order.
///
/// Any error of a save other than a full disk exits the process. After a failed sync the durable state is unknown, and
/// a voter that continued could acknowledge records that a crash would lose. Errors of notes are logged and reported.
/// While a save waits for space, all notes are removed and new ones are lost, so that they neither take the space of the
/// log nor queue up.
pub fn run<M: Medium, N: Medium>(
    store: Store<M>,
    notes: Notes<N>,
    jobs: &Receiver<Job>,
    report: impl Fn(Report) -> bool,
) {
    let mut worker =
        Worker { store, notes, jobs, postponed: Vec::new(), unwritten: VecDeque::new(), lost: None, report };
    while let Some(batch) = worker.next_batch() {
        if !worker.execute(batch) {
            return;
        }
    }
}

struct Worker<'a, M, N, F> {
    store: Store<M>,
    notes: Notes<N>,
    jobs: &'a Receiver<Job>,
    /// Saves that arrived while another one waited for space.
    postponed: Vec<Job>,
    /// Notes that wait for the saves before them.
    unwritten: VecDeque<Vec<u8>>,
    /// While notes cannot be written, the number of notes lost since the last report.
    lost: Option<u64>,
    report: F,
}

impl<M: Medium, N: Medium, F: Fn(Report) -> bool> Worker<'_, M, N, F> {
    /// Waits for a job unless there are unwritten notes, and returns it with those that are waiting by then; `None` once
    /// the channel is disconnected.
    fn next_batch(&mut self) -> Option<Vec<Job>> {
        let mut batch = mem::take(&mut self.postponed);
        if batch.is_empty() && self.unwritten.is_empty() {
            batch.push(self.jobs.recv().ok()?);
        }
        // Jobs that arrive from here on would delay the sync.
        batch.extend(self.jobs.try_iter().take(self.jobs.len()));
        Some(batch)
    }

    /// Executes saves and some of the unwritten notes, and returns whether to go on.
    fn execute(&mut self, batch: Vec<Job>) -> bool {
        let mut saved = None;
        for job in batch {
            match job {
                Job::Append(number, records) => {
                    self.save_with_retry(|store| store.append(&records));
                    saved = Some(number);
                }
                Job::Replace(number, snapshot, records) => {
                    self.save_with_retry(|store| store.replace(&snapshot, &records));
                    saved = Some(number);
                }
                Job::Note(note) => self.unwritten.push_back(note),
            }
        }
        if let Some(number) = saved {
            if let Err(error) = self.store.sync() {
                exit_process(&error);
            }
            if !(self.report)(Report::Saved(number)) {
                return false;
            }
        }
        for _ in 0..NOTES_PER_BATCH {
            let Some(note) = self.unwritten.pop_front() else { break };
            if !self.append_note(&note) {
                return false;
            }
        }
        true
    }

    /// Executes a save, retrying while the disk is full.
    fn save_with_retry(&mut self, save: impl Fn(&mut Store<M>) -> Result<(), write::Error>) {
        let mut full_reported = false;
        loop {
            match save(&mut self.store) {
                Ok(()) => return,
                Err(write::Error::Full { .. }) => {
                    if !full_reported {
                        full_reported = true;
                        (self.report)(Report::Full);
                        self.clear_notes();
                    }
                    thread::sleep(DISK_FULL_RETRY_DELAY);
                    self.postpone_saves();
                }
                Err(error) => exit_process(&error),
            }
        }
    }

    /// Receives the jobs that are waiting, and keeps the saves only.
    fn postpone_saves(&mut self) {
        let mut lost = 0;
        for job in self.jobs.try_iter().take(self.jobs.len()) {
            match job {
                Job::Note(_) => lost += 1,
                save => self.postponed.push(save),
            }
        }
        self.lose_notes(lost);
    }

    /// Appends a note and returns whether to go on.
    fn append_note(&mut self, note: &[u8]) -> bool {
        if let Err(error) = self.notes.append(notes::wall_clock(), note) {
            if self.lost.is_none() {
                spdlog::error!("{error}; notes are lost until one is written");
            }
            return self.lose_notes(1);
        }
        self.lost.take().is_none_or(|lost| (self.report)(Report::NotesResumed(lost)))
    }

    /// Makes room for a save.
    fn clear_notes(&mut self) {
        let count = self.notes.count();
        if let Err(error) = self.notes.clear() {
            spdlog::error!("{error}; notes keep space on a full disk");
        }
        self.lose_notes(count);
    }

    /// Counts lost notes, reports the first ones, and returns whether to go on.
    fn lose_notes(&mut self, count: u64) -> bool {
        match &mut self.lost {
            Some(lost) => *lost += count,
            None if count > 0 => {
                self.lost = Some(0);
                return (self.report)(Report::NotesLost(count));
            }
            None => {}
        }
        true
    }
}

fn exit_process(error: &write::Error) -> ! {
    spdlog::critical!("{error}; exiting because the durable state is unknown");
    std::process::exit(3);
}
