//! Admission to contended services at this instance: recent demand, recent sends to engines, and engines known to be full.
//!
//! The decisions themselves are those of [`rudder_route::admission`].

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::peer::Load;
use rudder_model::{EndpointId, id};
use rudder_route::admission::{
    Admission, AdmissionOptions, DEMAND_SPAN, Demand, EngineRoom, Level, Reason, RecentSends, Request,
};

use crate::policy::GuardPolicy;

/// Range of the time for which an engine that rejected a request as full counts as full: until a report arrives that is
/// not older than the rejection.
const FULL_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));

#[derive(Debug, Default)]
struct EngineState {
    sends: RecentSends,
    /// It counts as full until then.
    full_until: Duration,
}

/// Admission to all contended services.
#[derive(Debug)]
pub struct Admissions {
    /// Settings.
    pub options: AdmissionOptions,
    started: Moment,
    services: HashMap<Arc<str>, Admission>,
    engines: HashMap<EndpointId, EngineState>,
    /// The time as of which the other instances' loads hold.
    others_at: Option<Moment>,
    /// Number of instances that send.
    senders: usize,
    /// Selects the engines at which this instance's shares of the room are rounded up.
    seed: u64,
    seeded: Moment,
}

impl Admissions {
    /// The state of an instance that has just started.
    pub fn new(guard: &GuardPolicy, seed: u64, started: Moment) -> Admissions {
        Admissions {
            options: AdmissionOptions { full: guard.full, headroom: guard.headroom, ..AdmissionOptions::default() },
            started,
            services: HashMap::new(),
            engines: HashMap::new(),
            others_at: None,
            senders: 0,
            seed,
            seeded: started,
        }
    }

    /// Number of instances that send requests.
    pub fn senders(&self) -> usize {
        self.senders
    }

    /// Records the number of instances that send requests.
    pub fn set_senders(&mut self, senders: usize) {
        self.senders = senders;
    }

    /// Records a report of the other instances' loads as of `at`. `seed` is a random number; it is used once the previous
    /// one is as old as the reports are.
    pub fn record_report(&mut self, at: Moment, seed: u64, now: Moment) {
        self.others_at = Some(at);
        if now.saturating_duration_since(self.seeded) >= self.unreported_span(now) {
            (self.seed, self.seeded) = (seed, now);
        }
    }

    /// Age of the leader's state of the other instances' loads; `None` without any.
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.others_at.map(|at| now.saturating_duration_since(at))
    }

    /// Time within which requests may have been sent that the reports do not contain: these take about as long to the
    /// leader as its answer takes back.
    pub fn unreported_span(&self, now: Moment) -> Duration {
        self.report_age(now).unwrap_or_default() * 2
    }

    /// Whether the other instances' reports are too old, or there are none.
    pub fn is_stale(&self, now: Moment) -> bool {
        self.report_age(now).is_none_or(|age| age > self.options.max_age)
    }

    /// Whether an engine is known to be full by its own answer.
    pub fn is_full(&self, endpoint: &str, now: Moment) -> bool {
        self.engines.get(endpoint).is_some_and(|state| self.elapsed(now) < state.full_until)
    }

    /// Whether an engine has room for one more request of `level`. `room` holds the slots, the requests and the expected
    /// arrivals; the rest is filled in.
    pub fn has_room(&self, endpoint: &str, level: Level, room: EngineRoom, now: Moment) -> bool {
        if self.is_full(endpoint, now) {
            return false;
        }
        let state = self.engines.get(endpoint);
        let hash = id::rendezvous_key(id::number_key(self.seed), id::node_key(endpoint));
        let room = EngineRoom {
            recent: state.map_or(0, |state| state.sends.within(self.unreported_span(now), self.elapsed(now))),
            age: self.report_age(now),
            senders: self.senders,
            draw: (hash >> 11) as f64 / (1_u64 << 53) as f64,
            ..room
        };
        room.has_room(level, &self.options)
    }

    /// Records a request sent to an engine, for the `first` time or again.
    pub fn record_sent(&mut self, service: &Arc<str>, endpoint: &EndpointId, level: Level, first: bool, now: Moment) {
        let elapsed = self.elapsed(now);
        self.engines.entry(endpoint.clone()).or_default().sends.record(elapsed);
        if first {
            self.services.entry(service.clone()).or_default().record_admitted(level, elapsed);
        }
    }

    /// Records a refused request.
    pub fn record_refused(&mut self, service: &Arc<str>, level: Level, reason: Reason, now: Moment) {
        let elapsed = self.elapsed(now);
        self.services.entry(service.clone()).or_default().record_refused(level, reason, elapsed);
    }

    /// Records that an engine rejected a request as full.
    pub fn record_full(&mut self, endpoint: &EndpointId, now: Moment) {
        let (min, max) = FULL_RANGE;
        let until = self.elapsed(now) + self.unreported_span(now).clamp(min, max);
        self.engines.entry(endpoint.clone()).or_default().full_until = until;
    }

    /// This instance's recent demand for a service.
    pub fn demand(&self, service: &str, now: Moment) -> Demand {
        self.services.get(service).map(|admission| admission.demand(self.elapsed(now))).unwrap_or_default()
    }

    /// Updates the shares of the requests that yield to more urgent ones. `others` is the recent demand of the other
    /// instances for a service.
    pub fn update_yielding(&mut self, others: impl Fn(&str) -> Demand, now: Moment) {
        let elapsed = self.elapsed(now);
        for (service, admission) in &mut self.services {
            admission.update_yielding(others(service), elapsed, &self.options);
        }
    }

    /// Whether a request with this uniform draw from 0 to 1 yields to more urgent ones of its service.
    pub fn yields(&self, service: &str, level: Level, draw: f64) -> bool {
        self.services.get(service).is_some_and(|admission| admission.yields(level, draw))
    }

    /// Decides on a request that does not yield to more urgent ones, and for which an engine has room.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn decide(&mut self, service: &Arc<str>, request: &Request, now: Moment) -> Result<(), Reason> {
        let elapsed = self.elapsed(now);
        let admission = self.services.entry(service.clone()).or_default();
        admission.decide(request, elapsed, &self.options)
    }

    /// The recent demand of this instance, to be reported to the other instances.
    pub fn to_loads(&self, now: Moment) -> impl Iterator<Item = Load> {
        let demands = self.services.keys().map(move |service| (service, self.demand(service, now)));
        let recent = demands.filter(|(_, demand)| *demand != Demand::default());
        recent.map(|(service, demand)| Load::of_service(id::endpoint_tag(service), demand))
    }

    /// Drops engines without recent sends that do not count as full, and services that are unknown.
    pub fn age_out(&mut self, now: Moment, is_known: impl Fn(&str) -> bool) {
        let (elapsed, span) = (self.elapsed(now), self.options.max_age.max(DEMAND_SPAN));
        self.engines.retain(|_, state| elapsed < state.full_until || state.sends.within(span, elapsed) > 0);
        self.services.retain(|service, _| is_known(service));
    }

    fn elapsed(&self, now: Moment) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
