//! Departures of endpoints on their way into the log, at the leader. Those proposed while a record is being committed share
//! the next one, so that many departures at once take few records.

use std::time::Duration;

use rudder_ledger::{Departure, Departures, Forgotten};
use rudder_model::EndpointId;

use crate::{control::PendingProposal, registry::Registration};

/// Interval between searches for departures to forget, which take time in proportion to all departures held.
const FORGET_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of departures forgotten in one record: some 20 KB.
const MAX_FORGOTTEN: usize = 1_000;

/// Departures that wait to be recorded, and the records being committed.
#[derive(Debug, Default)]
pub(crate) struct DepartureQueue {
    queued: Vec<Departure>,
    /// Proposers of the queued departures.
    proposers: Vec<PendingProposal>,
    /// Log index of the record of departures being committed.
    recording: Option<u64>,
    /// Log index of the record of forgotten departures being committed.
    forgetting: Option<u64>,
    /// Time of the last search for departures to forget.
    searched_at: Option<Duration>,
}

/// Departures for one record, and the proposers that wait for it.
pub(crate) struct Batch {
    pub(crate) proposers: Vec<PendingProposal>,
    pub(crate) departures: Vec<Departure>,
}

impl DepartureQueue {
    /// Returns whether `departure` needs no record: one is committed and is not being forgotten.
    pub(crate) fn is_recorded(&self, departure: &Departure, held: &Departures) -> bool {
        self.forgetting.is_none() && held.covers(departure)
    }

    pub(crate) fn push(&mut self, proposer: PendingProposal, departures: Vec<Departure>) {
        self.proposers.push(proposer);
        self.queued.extend(departures);
    }

    /// Returns the departures for the next record; `None` while one is being committed or if there are none.
    pub(crate) fn next_batch(&mut self) -> Option<Batch> {
        if self.recording.is_some() || self.queued.is_empty() {
            return None;
        }
        Some(Batch { proposers: std::mem::take(&mut self.proposers), departures: std::mem::take(&mut self.queued) })
    }

    pub(crate) fn set_recording(&mut self, index: u64) {
        self.recording = Some(index);
    }

    /// Returns the departures to forget, those for which `is_known` is false, if a search for them is due.
    pub(crate) fn find_forgotten(
        &mut self,
        now: Duration,
        held: &Departures,
        as_of: u64,
        is_known: impl Fn(&EndpointId) -> bool,
    ) -> Option<Forgotten> {
        let is_recent = self.searched_at.is_some_and(|at| now < at + FORGET_INTERVAL);
        if is_recent || self.forgetting.is_some() {
            return None;
        }
        self.searched_at = Some(now);
        let unknown = held.iter().map(|departure| &departure.endpoint).filter(|endpoint| !is_known(endpoint));
        let endpoints: Vec<EndpointId> = unknown.take(MAX_FORGOTTEN).cloned().collect();
        (!endpoints.is_empty()).then_some(Forgotten { endpoints, as_of })
    }

    pub(crate) fn set_forgetting(&mut self, index: Option<u64>) {
        self.forgetting = index;
    }

    /// Records that the entry at `index` is applied.
    pub(crate) fn on_applied(&mut self, index: u64) {
        for record in [&mut self.recording, &mut self.forgetting] {
            if record.is_some_and(|record| record <= index) {
                *record = None;
            }
        }
    }
}

/// Returns the departure in the heartbeat of an endpoint that drains or has ended.
pub(crate) fn departure_of(heartbeat: &Registration) -> Departure {
    Departure {
        endpoint: heartbeat.endpoint.clone(),
        born: heartbeat.born,
        hall: heartbeat.hall.clone(),
        ended: heartbeat.has_ended(),
        sequence: heartbeat.sequence,
    }
}
