//! Slow start: how many requests this instance may send to endpoints that warm up ([`rudder_route::slow_start`]).
//!
//! An endpoint reports in its heartbeats that it is cold, up to two seconds late. All endpoints of a hall are considered
//! cold when its evacuation ends, without waiting for their heartbeats.

use std::{collections::HashMap, time::Duration};

use rudder_clock::Moment;
use rudder_core::Registration;
use rudder_model::{EndpointId, HallId, InstanceId};
use rudder_route::slow_start::{SendHistory, Share, SlowStart};

use crate::plan::WarmUp;

/// Time after the first list of live instances for which this instance sends nothing to cold endpoints. When all instances
/// start at once, early lists are incomplete, and too many instances would consider themselves senders.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time that the request times of an endpoint are kept after its last request.
const RETENTION: Duration = Duration::from_secs(60);

/// How many requests this instance may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Any number: the endpoint is warm.
    Unlimited,
    /// At most this instance's share of the endpoint's slow start rate.
    Limited(Share),
    /// None: other instances send to it while it is cold.
    Denied,
}

/// The state of slow start at this instance.
#[derive(Debug)]
pub struct SlowStartState {
    me: InstanceId,
    started: Moment,
    /// When the list of live instances is considered complete.
    settled: Option<Moment>,
    /// Live instances that send to endpoints.
    senders: Vec<InstanceId>,
    /// When this instance learned that the evacuation of a hall had ended.
    halls_returned: HashMap<HallId, Moment>,
    /// Recent requests by endpoint.
    sent: HashMap<EndpointId, SendHistory>,
}

impl SlowStartState {
    /// The initial state of the instance `me`.
    pub fn new(me: InstanceId, started: Moment) -> SlowStartState {
        SlowStartState {
            me,
            started,
            settled: None,
            senders: Vec::new(),
            halls_returned: HashMap::new(),
            sent: HashMap::new(),
        }
    }

    /// Records the live instances that send to endpoints.
    pub fn set_senders(&mut self, senders: Vec<InstanceId>, now: Moment) {
        if !senders.is_empty() {
            self.settled.get_or_insert(now + SETTLE_TIME);
        }
        self.senders = senders;
    }

    /// Records that the evacuation of `hall` has ended.
    pub fn record_hall_return(&mut self, hall: &HallId, now: Moment) {
        self.halls_returned.insert(hall.clone(), now);
    }

    /// How many requests this instance may send to an endpoint whose service has the slow start settings `warm_up`.
    pub fn allowance(
        &self,
        registration: &Registration,
        warm_up: Option<WarmUp>,
        policy: &SlowStart,
        now: Moment,
    ) -> Allowance {
        let Some(warm_up) = warm_up.filter(|warm_up| self.is_cold(registration, *warm_up, now)) else {
            return Allowance::Unlimited;
        };
        if self.settled.is_none_or(|settled| now < settled) {
            return Allowance::Denied;
        }
        let senders = self.senders.iter().map(|name| &**name);
        policy
            .share(&registration.endpoint, warm_up.rate, &self.me, senders)
            .map_or(Allowance::Denied, Allowance::Limited)
    }

    fn is_cold(&self, registration: &Registration, warm_up: WarmUp, now: Moment) -> bool {
        registration.warming
            || self.halls_returned.get(&registration.hall).is_some_and(|returned| now < *returned + warm_up.span)
    }

    /// Whether the allowance permits one more request to `endpoint` now.
    pub fn has_room(&self, endpoint: &EndpointId, allowance: Allowance, now: Moment) -> bool {
        let elapsed = self.elapsed(now);
        match allowance {
            Allowance::Unlimited => true,
            Allowance::Limited(share) => self.sent.get(endpoint).is_none_or(|sent| sent.has_room(elapsed, share)),
            Allowance::Denied => false,
        }
    }

    /// Counts one more request to `endpoint` if the allowance permits it.
    pub fn try_take(&mut self, endpoint: &EndpointId, allowance: Allowance, now: Moment) -> bool {
        if !self.has_room(endpoint, allowance, now) {
            return false;
        }
        if let Allowance::Limited(share) = allowance {
            let elapsed = self.elapsed(now);
            self.sent.entry(endpoint.clone()).or_default().note(elapsed, share);
        }
        true
    }

    /// Drops outdated request times.
    pub fn age(&mut self, now: Moment) {
        let elapsed = self.elapsed(now);
        self.sent.retain(|_, sent| sent.last().is_some_and(|last| elapsed < last + RETENTION));
    }

    fn elapsed(&self, now: Moment) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
