//! State of one endpoint in a pool.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::{EndpointId, RequestId};

use crate::{health::Health, request::SlotRequest};

/// Prefixes remembered for each endpoint.
const MAX_PREFIXES: usize = 512;

/// A request that runs at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) request: SlotRequest,
    pub(crate) started: Duration,
    pub(crate) arrived: Duration,
    pub(crate) preemptions: u8,
    /// When it was last recalled, and for which request.
    pub(crate) recalled: Option<(Duration, RequestId)>,
    pub(crate) first_token_seen: bool,
    pub(crate) charged_tokens: f64,
}

/// Configuration of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Requests it serves concurrently.
    pub slots: u32,
    /// It streams tokens, so its requests can be preempted and resumed.
    pub engine: bool,
    /// It gets no new requests.
    pub leaving: bool,
}

/// One endpoint and the requests that run there.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// Requests it serves concurrently.
    pub slots: u32,
    /// It gets no new requests, as it is marked leaving or stopping.
    pub leaving: bool,
    /// It streams tokens, so its requests can be preempted and resumed.
    pub engine: bool,
    pub(crate) running: BTreeMap<RequestId, Running>,
    pub(crate) reported_load: u32,
    pub(crate) health: Health,
    /// The endpoint asked to get no requests before this time.
    backoff_until: Duration,
    /// Prefixes in the endpoint's cache, least recently used first.
    prefixes: VecDeque<u64>,
}

impl EndpointState {
    /// An idle endpoint.
    pub fn new(slots: u32, engine: bool) -> EndpointState {
        EndpointState {
            slots,
            leaving: false,
            engine,
            running: BTreeMap::new(),
            reported_load: 0,
            health: Health::default(),
            backoff_until: Duration::ZERO,
            prefixes: VecDeque::new(),
        }
    }

    /// Requests of this pool that run at the endpoint.
    pub fn inflight(&self) -> u32 {
        self.running.len() as u32
    }

    /// True if requests may be sent to the endpoint now, if only as a probe.
    pub(crate) fn is_available(&self, now: Duration) -> bool {
        !self.leaving && self.backoff_until <= now && (self.health.is_healthy() || self.health.is_probe_due(now))
    }

    /// Records that the endpoint asked for no requests for `retry_after`. A longer backoff already in effect stays.
    pub(crate) fn note_backoff(&mut self, now: Duration, retry_after: Duration) {
        self.backoff_until = self.backoff_until.max(now.saturating_add(retry_after));
    }

    /// Requests at the endpoint: this pool's own count or, with `use_reports`, the reported load if that is higher.
    pub(crate) fn load(&self, use_reports: bool) -> u32 {
        if use_reports { self.inflight().max(self.reported_load) } else { self.inflight() }
    }

    pub(crate) fn caches_prefix(&self, prefix: u64) -> bool {
        prefix != 0 && self.prefixes.contains(&prefix)
    }

    /// Records that the endpoint has processed `prefix`.
    pub(crate) fn note_prefix(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.prefixes.retain(|cached| *cached != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.pop_front();
        }
    }

    /// Removes the `evicted` prefixes, or all of them with `None`, after a gap in the endpoint's events.
    pub(crate) fn evict_prefixes(&mut self, evicted: Option<&[u64]>) {
        match evicted {
            Some(evicted) => self.prefixes.retain(|cached| !evicted.contains(cached)),
            None => self.prefixes.clear(),
        }
    }
}
