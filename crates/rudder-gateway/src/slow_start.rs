//! Endpoints that are warming up, and what this instance may still send to them ([`rudder_route::slow_start`]).
//!
//! An endpoint says in its heartbeats that it is cold, up to two seconds after it has become so. What is known to make many
//! cold at once, the end of their hall's evacuation, bounds them without their word.

use std::{collections::HashMap, time::Duration};

use rudder_clock::Moment;
use rudder_core::Registration;
use rudder_model::{EndpointId, HallId, InstanceId};
use rudder_route::slow_start::{SendHistory, Share, SlowStart};

use crate::plan::WarmUp;

/// An instance sends nothing to cold endpoints for this long after it first knew the others: where all start at once, the
/// list of live instances is short at first, and too many would take themselves for the few that send.
const SETTLE: Duration = Duration::from_secs(2);
/// Times of requests are kept for this long after the last of them.
const KEEP: Duration = Duration::from_secs(60);

/// How an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Without a bound.
    Unlimited,
    /// Within this instance's share of what it bears.
    Within(Share),
    /// Not from here, while it is cold.
    Barred,
}

/// What this instance knows of cold endpoints.
#[derive(Debug)]
pub struct SlowStartState {
    me: InstanceId,
    started: Moment,
    settled: Option<Moment>,
    /// Live instances that send to endpoints.
    senders: Vec<InstanceId>,
    /// When it was learned that the evacuation of a hall has ended.
    returned: HashMap<HallId, Moment>,
    sent: HashMap<EndpointId, SendHistory>,
}

impl SlowStartState {
    /// Nothing is known yet to the instance `me`.
    pub fn new(me: InstanceId, started: Moment) -> SlowStartState {
        SlowStartState {
            me,
            started,
            settled: None,
            senders: Vec::new(),
            returned: HashMap::new(),
            sent: HashMap::new(),
        }
    }

    /// Records the live instances that send to endpoints.
    pub fn set_senders(&mut self, senders: Vec<InstanceId>, now: Moment) {
        if !senders.is_empty() {
            self.settled.get_or_insert(now + SETTLE);
        }
        self.senders = senders;
    }

    /// Records that the evacuation of `hall` has ended.
    pub fn record_hall_return(&mut self, hall: &HallId, now: Moment) {
        self.returned.insert(hall.clone(), now);
    }

    /// How an endpoint of a service that warms up as `warm_up` says may be used.
    pub fn allowance(
        &self,
        held: &Registration,
        warm_up: Option<WarmUp>,
        policy: &SlowStart,
        now: Moment,
    ) -> Allowance {
        let Some(warm_up) = warm_up.filter(|warm_up| self.is_cold(held, *warm_up, now)) else {
            return Allowance::Unlimited;
        };
        if self.settled.is_none_or(|settled| now < settled) {
            return Allowance::Barred;
        }
        let senders = self.senders.iter().map(|name| &**name);
        policy.share(&held.endpoint, warm_up.rate, &self.me, senders).map_or(Allowance::Barred, Allowance::Within)
    }

    fn is_cold(&self, held: &Registration, warm_up: WarmUp, now: Moment) -> bool {
        held.warming || self.returned.get(&held.hall).is_some_and(|returned| now < *returned + warm_up.span)
    }

    /// True where this instance may send one more request to `endpoint` now.
    pub fn has_room(&self, endpoint: &EndpointId, allowed: Allowance, now: Moment) -> bool {
        let at = self.time_of(now);
        match allowed {
            Allowance::Unlimited => true,
            Allowance::Within(share) => self.sent.get(endpoint).is_none_or(|sent| sent.has_room(at, share)),
            Allowance::Barred => false,
        }
    }

    /// Takes the right to send one more request to `endpoint` now.
    pub fn try_take(&mut self, endpoint: &EndpointId, allowed: Allowance, now: Moment) -> bool {
        if !self.has_room(endpoint, allowed, now) {
            return false;
        }
        if let Allowance::Within(share) = allowed {
            let at = self.time_of(now);
            self.sent.entry(endpoint.clone()).or_default().note(at, share);
        }
        true
    }

    /// Forgets what was sent long ago.
    pub fn age(&mut self, now: Moment) {
        let at = self.time_of(now);
        self.sent.retain(|_, sent| sent.last().is_some_and(|last| at < last + KEEP));
    }

    fn time_of(&self, now: Moment) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
