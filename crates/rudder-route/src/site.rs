//! One endpoint as a pool sees it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::{EndpointId, RequestId};

use crate::{ask::SlotRequest, health::Health};

/// Prefixes remembered for each endpoint.
const PREFIXES: usize = 512;

/// A request at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) ask: SlotRequest,
    pub(crate) since: Duration,
    pub(crate) arrived: Duration,
    pub(crate) preempted: u8,
    /// When it was last recalled, and for which request.
    pub(crate) recalled: Option<(Duration, RequestId)>,
    pub(crate) first: bool,
    pub(crate) charged: f64,
}

/// One endpoint as configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Its name.
    pub id: EndpointId,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// It streams tokens, so work on it can be preempted and resumed.
    pub engine: bool,
    /// Gets no new work.
    pub leaving: bool,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Gets no new work: marked leaving or stopping.
    pub leaving: bool,
    /// It streams tokens, so work on it can be preempted and resumed.
    pub engine: bool,
    pub(crate) running: BTreeMap<RequestId, Running>,
    pub(crate) reported: u32,
    pub(crate) health: Health,
    /// It has asked to be sent nothing until then.
    rests: Duration,
    prefixes: VecDeque<u64>,
}

impl EndpointState {
    /// An endpoint with nothing running.
    pub fn new(slots: u32, engine: bool) -> EndpointState {
        EndpointState {
            slots,
            leaving: false,
            engine,
            running: BTreeMap::new(),
            reported: 0,
            health: Health::default(),
            rests: Duration::ZERO,
            prefixes: VecDeque::new(),
        }
    }

    /// Requests that this pool has running there.
    pub fn inflight(&self) -> u32 {
        self.running.len() as u32
    }

    /// True where it may be sent requests now, be it only to probe it.
    pub(crate) fn is_open(&self, now: Duration) -> bool {
        !self.leaving && self.rests <= now && (self.health.is_well() || self.health.wants_probe(now))
    }

    /// Records that it wants nothing for `rest`. An earlier wish for a longer one stands.
    pub(crate) fn note_rest(&mut self, now: Duration, rest: Duration) {
        self.rests = self.rests.max(now.saturating_add(rest));
    }

    /// Requests there, by own count or, where pools share the endpoint, by its report if that is more.
    pub(crate) fn load(&self, reports: bool) -> u32 {
        if reports { self.inflight().max(self.reported) } else { self.inflight() }
    }

    pub(crate) fn holds_prefix(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains(&prefix)
    }

    /// Remembers that the endpoint has seen `prefix`.
    pub(crate) fn note_prefix(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.prefixes.retain(|held| *held != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Forgets prefixes: `evicted` where the endpoint named them, all of them after a gap in its events.
    pub(crate) fn forget_prefixes(&mut self, evicted: Option<&[u64]>) {
        match evicted {
            Some(evicted) => self.prefixes.retain(|held| !evicted.contains(held)),
            None => self.prefixes.clear(),
        }
    }
}
