//! Whether this instance reaches endpoints at all.
//!
//! One endpoint out of reach may have terminated. Several in a row, with none reached in between, suggest that the links of
//! this instance are at fault. Other endpoints are then probed, and the instance counts as isolated until one of them accepts
//! a connection that stays open.

use std::{collections::HashMap, time::Duration};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// Endpoints lost in a row from which on the links are probed; all of them, if there are fewer.
pub const MIN_LOST: usize = 3;
/// How long the loss of an endpoint counts.
const MAX_LOST_AGE: Duration = Duration::from_secs(5);
/// Silence of all endpoints with requests in flight after which the links are probed. Engines that generate are never
/// silent for as long.
const MAX_SILENCE: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Connected,
    /// The links are being probed.
    Suspected,
    /// No endpoint can be reached since then.
    Isolated(Moment),
}

/// What this instance knows of its links to endpoints.
#[derive(Debug)]
pub struct Reachability {
    state: State,
    /// When each endpoint was lost, since the last time that any was reached.
    lost: HashMap<EndpointId, Moment>,
    /// When an endpoint was last heard of, or, if later, the first request in flight was sent.
    heard: Moment,
    /// When a new connection last worked.
    reached: Option<Moment>,
}

impl Reachability {
    /// The state of an instance that has just started.
    pub fn new(now: Moment) -> Reachability {
        Reachability { state: State::Connected, lost: HashMap::new(), heard: now, reached: None }
    }

    /// Whether no endpoint can be reached.
    pub fn is_isolated(&self) -> bool {
        matches!(self.state, State::Isolated(_))
    }

    /// Whether nothing speaks against the links.
    pub fn is_connected(&self) -> bool {
        self.state == State::Connected
    }

    /// Whether the links are being probed after they were in use.
    pub fn is_suspected(&self) -> bool {
        self.state == State::Suspected
    }

    /// Whether `endpoint` has been lost since any was last reached.
    pub fn is_lost(&self, endpoint: &EndpointId) -> bool {
        self.lost.contains_key(endpoint)
    }

    /// Whether a new connection has worked since `at`.
    pub fn has_reached_since(&self, at: Moment) -> bool {
        self.reached.is_some_and(|reached| reached >= at)
    }

    /// Records a sign of life of any endpoint, also over a connection that was opened long ago.
    pub fn record_heard(&mut self, now: Moment) {
        self.heard = now;
    }

    /// Records that a new connection works. Returns how long the instance was isolated, if it was.
    pub fn record_reached(&mut self, now: Moment) -> Option<Duration> {
        self.heard = now;
        self.reached = Some(now);
        self.lost.clear();
        match std::mem::take(&mut self.state) {
            State::Isolated(since) => Some(now.saturating_duration_since(since)),
            State::Connected | State::Suspected => None,
        }
    }

    /// Records that `endpoint`, one of `known`, could not be reached. Returns true if the links are to be probed.
    pub fn record_lost(&mut self, endpoint: &EndpointId, known: usize, now: Moment) -> bool {
        self.lost.retain(|_, at| now.saturating_duration_since(*at) < MAX_LOST_AGE);
        self.lost.insert(endpoint.clone(), now);
        self.lost.len() >= MIN_LOST.min(known) && self.suspect()
    }

    /// Checks for silence of all endpoints while this instance has requests in flight. Returns true if the links are to be
    /// probed.
    pub fn check_silence(&mut self, in_flight: bool, now: Moment) -> bool {
        if !in_flight {
            self.heard = now;
        }
        now.saturating_duration_since(self.heard) >= MAX_SILENCE && self.suspect()
    }

    /// Records that no probe reached an endpoint. Returns the number of endpoints lost before if the instance counts as
    /// isolated from now on.
    pub fn record_unreached(&mut self, now: Moment) -> Option<usize> {
        if self.is_isolated() {
            return None;
        }
        self.state = State::Isolated(now);
        Some(self.lost.len())
    }

    fn suspect(&mut self) -> bool {
        let is_new = self.state == State::Connected;
        if is_new {
            self.state = State::Suspected;
        }
        is_new
    }
}
