//! The candidate endpoints of one service, divided into lanes.
//!
//! Filtering and dividing the endpoints takes time linear in their number, so the result is cached for a moment instead
//! of computed for each request.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Phase, Registration};
use rudder_model::id;
use rudder_route::admission::Usage;

use super::{Inputs, SpeedClasses};
use crate::{
    lanes::{self, LaneKind, Lanes},
    roster::Roster,
    slow_start::Allowance,
};

/// Longest time that candidates are cached: the division into lanes depends on in-flight work, which changes with each
/// request.
const MAX_AGE: Duration = Duration::from_millis(200);

/// A set of endpoints to choose from.
#[derive(Debug, Default)]
pub struct Lane {
    /// Which lane this is.
    pub kind: LaneKind,
    /// The endpoints, in the order of their rank.
    pub endpoints: Vec<Arc<Registration>>,
    /// The endpoints in this instance's own hall.
    pub local: Vec<Arc<Registration>>,
    /// The endpoints in slow start that this instance may send to. They are sampled separately, as a sample of all
    /// endpoints would rarely include them.
    pub warming: Vec<Arc<Registration>>,
    /// Number of endpoints that are not slow; they come first. Only set for [`Candidates::bulk`], whose fast engines are
    /// preferred by quick streams; 0 for the others.
    pub fast: usize,
    /// Rendezvous hash key of each endpoint.
    keys: Vec<u64>,
}

impl Lane {
    fn new(kind: LaneKind, endpoints: Vec<Arc<Registration>>, fast: usize, inputs: &Inputs) -> Lane {
        let local = endpoints.iter().filter(|endpoint| endpoint.hall == *inputs.hall).cloned().collect();
        let is_warming = |endpoint: &&Arc<Registration>| inputs.allowance(endpoint) != Allowance::Unlimited;
        let warming = endpoints.iter().filter(is_warming).cloned().collect();
        let keys = endpoints.iter().map(|registration| id::node_key(&registration.endpoint)).collect();
        Lane { kind, endpoints, local, warming, fast, keys }
    }

    /// The `COUNT` endpoints with the largest rendezvous weights for `key`, in descending order, without those that
    /// `skip` selects.
    pub fn top_ranked<const COUNT: usize>(
        &self,
        key: u64,
        skip: impl Fn(&Registration) -> bool,
    ) -> Vec<Arc<Registration>> {
        let key = id::number_key(key);
        let mut best: [Option<(u64, usize)>; COUNT] = [None; COUNT];
        let mut min_weight = 0;
        for (index, node) in self.keys.iter().enumerate() {
            let weight = id::rendezvous_key(key, *node);
            // The cheap comparison comes first: it rejects nearly all endpoints.
            if weight < min_weight || skip(&self.endpoints[index]) {
                continue;
            }
            let mut entry = Some((weight, index));
            for slot in &mut best {
                if entry > *slot {
                    std::mem::swap(slot, &mut entry);
                }
            }
            min_weight = best[COUNT - 1].map_or(0, |(weight, _)| weight);
        }
        best.into_iter().flatten().map(|(_, index)| self.endpoints[index].clone()).collect()
    }
}

/// The candidate endpoints of one service.
#[derive(Debug, Default)]
pub struct Candidates {
    /// Healthy endpoints reserved for quick streams; empty if the service has no quick lane.
    pub quick: Lane,
    /// All other healthy endpoints.
    pub bulk: Lane,
    /// Silent and ejected endpoints, used only if there are no others.
    pub fallback: Lane,
    /// Work at the healthy endpoints of a service that uses the admission to contended services.
    pub usage: Usage,
    expires: Option<Moment>,
}

impl Candidates {
    /// Computes the candidates of `service` from its endpoints, without knowledge of their earlier speed classes.
    pub fn new(endpoints: &[Arc<Registration>], service: &str, inputs: &Inputs) -> Candidates {
        Candidates::with_classes(endpoints, service, inputs, &mut SpeedClasses::default())
    }

    /// Computes the candidates of `service` from its endpoints, and updates their speed classes.
    pub fn with_classes(
        endpoints: &[Arc<Registration>],
        service: &str,
        inputs: &Inputs,
        classes: &mut SpeedClasses,
    ) -> Candidates {
        let is_ejected = |registration: &Registration| inputs.health.is_ejected(&registration.endpoint, inputs.now);
        let is_healthy =
            |registration: &Arc<Registration>| registration.phase == Phase::Ready && !is_ejected(registration);
        // Endpoints that this instance must not use are in no lane.
        let is_usable = |registration: &&Arc<Registration>| {
            inputs.placement.is_open(&registration.hall)
                && inputs.allowance(registration) != Allowance::Denied
                && !inputs.backoff.is_blocked(&registration.endpoint, inputs.now)
                && inputs.limits.retry_at(&registration.endpoint, inputs.now).is_none()
        };
        let usable = endpoints.iter().filter(is_usable).cloned();
        let (healthy, unhealthy): (Vec<_>, Vec<_>) = usable.partition(is_healthy);
        let is_fallback = |registration: &Arc<Registration>| registration.phase <= Phase::Silent;
        let fallback: Vec<_> = unhealthy.into_iter().filter(is_fallback).collect();
        let usage = if inputs.uses_admission(service) { usage_of(&healthy, inputs) } else { Usage::default() };
        classes.update(endpoints, service, inputs);
        let lanes = to_lanes(inputs, service, healthy, classes);
        let retry_at = |registration: &Arc<Registration>| {
            let times = [
                inputs.health.retry_at(&registration.endpoint, inputs.now),
                inputs.backoff.retry_at(&registration.endpoint, inputs.now),
                inputs.limits.retry_at(&registration.endpoint, inputs.now),
            ];
            times.into_iter().flatten().min()
        };
        let earliest_retry = endpoints.iter().filter_map(retry_at).min();
        let max_expiry = inputs.now + MAX_AGE;
        Candidates {
            quick: Lane::new(LaneKind::Quick, lanes.quick, 0, inputs),
            bulk: Lane::new(LaneKind::Bulk, lanes.bulk, lanes.fast, inputs),
            fallback: Lane::new(LaneKind::Bulk, fallback, 0, inputs),
            usage,
            expires: Some(earliest_retry.unwrap_or(max_expiry).min(max_expiry)),
        }
    }
}

/// Work at the endpoints whose slots bound what they take: one with a limit may take no more while slots are free.
fn usage_of(endpoints: &[Arc<Registration>], inputs: &Inputs) -> Usage {
    let mut usage = Usage::default();
    for registration in endpoints {
        if inputs.limits.is_limited(&registration.endpoint) {
            continue;
        }
        let calls = inputs.loads.at(&registration.endpoint).calls;
        let is_full = inputs.admission.is_full(&registration.endpoint, inputs.now);
        usage.add(registration.slots, if is_full { calls.max(registration.slots) } else { calls });
    }
    usage
}

/// Divides the healthy endpoints if the service has both quick and other routes.
fn to_lanes(
    inputs: &Inputs,
    service: &str,
    healthy: Vec<Arc<Registration>>,
    classes: &SpeedClasses,
) -> Lanes<Arc<Registration>> {
    let policy = &inputs.policy.lanes;
    if !policy.enabled || lanes::quick_bound(policy, inputs.plan, service, inputs.prefill).is_none() {
        let fast = healthy.len();
        return Lanes { quick: Vec::new(), bulk: healthy, fast };
    }
    lanes::divide_by_speed(policy, healthy, service, inputs.loads, |engine| classes.of(&engine.endpoint))
}

/// Recently computed candidates by service.
#[derive(Debug, Default)]
pub struct CandidateCache {
    cached: HashMap<Arc<str>, Rc<Candidates>>,
    /// Speed classes by service. They outlive the entries, as a class depends on the one before.
    classes: HashMap<Arc<str>, SpeedClasses>,
}

impl CandidateCache {
    /// Drops all entries, after a change of the state that they depend on.
    pub fn clear(&mut self) {
        self.cached.clear();
    }

    /// Work at the endpoints of a service, as of the last choice.
    pub fn usage(&self, service: &str) -> Usage {
        self.cached.get(service).map(|candidates| candidates.usage).unwrap_or_default()
    }

    /// The candidates of a service, computed if there is no valid entry.
    pub fn of(&mut self, service: &Arc<str>, roster: &Roster, inputs: &Inputs) -> Rc<Candidates> {
        let is_valid = |candidates: &&Rc<Candidates>| candidates.expires.is_some_and(|expires| inputs.now < expires);
        if let Some(candidates) = self.cached.get(service).filter(is_valid) {
            return candidates.clone();
        }
        let classes = self.classes.entry(service.clone()).or_default();
        let candidates = Rc::new(Candidates::with_classes(roster.of(service), service, inputs, classes));
        self.cached.insert(service.clone(), candidates.clone());
        candidates
    }
}
