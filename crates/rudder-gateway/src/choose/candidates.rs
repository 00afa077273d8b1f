//! The endpoints of one service that requests may go to, as they stand for the moment.
//!
//! Ranking and dividing all endpoints costs time in proportion to them, so that is done when something of them has
//! changed, a few times a second, and not for each request. A choice then looks at a few of them.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Phase, Registration};
use rudder_model::id;

use super::Inputs;
use crate::{
    lanes::{self, Lanes},
    roster::Roster,
    slow_start::Allowance,
};

/// Candidates are recomputed after this long at the latest: the work of this instance, by which the lanes are divided,
/// changes with each request.
const KEEP: Duration = Duration::from_millis(200);

/// Endpoints that a request is chosen from.
#[derive(Debug, Default)]
pub struct Lane {
    /// The endpoints, by rank.
    pub endpoints: Vec<Arc<Registration>>,
    /// Those of the instance's own hall.
    pub near: Vec<Arc<Registration>>,
    /// Those that warm up and get some of their requests from here: few of many, so that draws would seldom find them,
    /// while they stand idle.
    pub warming: Vec<Arc<Registration>>,
    /// Hash of each endpoint's name.
    keys: Vec<u64>,
}

impl Lane {
    fn new(endpoints: Vec<Arc<Registration>>, inputs: &Inputs) -> Lane {
        let near = endpoints.iter().filter(|held| held.hall == *inputs.hall).cloned().collect();
        let warming = endpoints.iter().filter(|held| inputs.allowance(held) != Allowance::Unlimited).cloned().collect();
        let keys = endpoints.iter().map(|held| id::node_key(&held.endpoint)).collect();
        Lane { endpoints, near, warming, keys }
    }

    /// The endpoints with the largest rendezvous weights for `key`, the largest first, without those that `skips` names.
    pub fn homes<const COUNT: usize>(&self, key: u64, skips: impl Fn(&Registration) -> bool) -> Vec<Arc<Registration>> {
        let key = id::number_key(key);
        let mut best: [Option<(u64, usize)>; COUNT] = [None; COUNT];
        let mut least = 0;
        for (at, node) in self.keys.iter().enumerate() {
            let weight = id::rendezvous_key(key, *node);
            // Nearly all end here, so that this loop is a few instructions for each endpoint.
            if weight < least || skips(&self.endpoints[at]) {
                continue;
            }
            let mut entry = Some((weight, at));
            for place in &mut best {
                if entry > *place {
                    std::mem::swap(place, &mut entry);
                }
            }
            least = best[COUNT - 1].map_or(0, |(weight, _)| weight);
        }
        best.into_iter().flatten().map(|(_, at)| self.endpoints[at].clone()).collect()
    }
}

/// The endpoints of one service.
#[derive(Debug, Default)]
pub struct Candidates {
    /// Those known to be well that serve quick streams; none where the service has no such lane.
    pub quick: Lane,
    /// All others that are known to be well.
    pub bulk: Lane,
    /// Those that have gone quiet or failed of late: better than none.
    pub fallback: Lane,
    expires: Option<Moment>,
}

impl Candidates {
    /// The candidates of `service` with these endpoints.
    pub fn new(endpoints: &[Arc<Registration>], service: &str, inputs: &Inputs) -> Candidates {
        let is_out = |held: &Registration| inputs.health.is_ejected(&held.endpoint, inputs.now);
        let is_well = |held: &Arc<Registration>| held.phase == Phase::Ready && !is_out(held);
        // What may not be used from here at all is in no lane.
        let is_usable = |held: &&Arc<Registration>| {
            inputs.placement.is_open(&held.hall)
                && inputs.allowance(held) != Allowance::Barred
                && !inputs.backoff.is_blocked(&held.endpoint, inputs.now)
                && inputs.limits.retry_at(&held.endpoint, inputs.now).is_none()
        };
        let usable = endpoints.iter().filter(is_usable).cloned();
        let (well, rest): (Vec<_>, Vec<_>) = usable.partition(is_well);
        let fallback = rest.into_iter().filter(|held| held.phase <= Phase::Silent).collect();
        let lanes = to_lanes(inputs, service, well);
        let returns = |held: &Arc<Registration>| {
            let ends = [
                inputs.health.returns_at(&held.endpoint, inputs.now),
                inputs.backoff.retry_at(&held.endpoint, inputs.now),
                inputs.limits.retry_at(&held.endpoint, inputs.now),
            ];
            ends.into_iter().flatten().min()
        };
        let back = endpoints.iter().filter_map(returns).min();
        Candidates {
            quick: Lane::new(lanes.quick, inputs),
            bulk: Lane::new(lanes.bulk, inputs),
            fallback: Lane::new(fallback, inputs),
            expires: Some(back.unwrap_or(inputs.now + KEEP).min(inputs.now + KEEP)),
        }
    }
}

/// The engines that a request may go to, divided where the service has quick routes beside others.
fn to_lanes(inputs: &Inputs, service: &str, well: Vec<Arc<Registration>>) -> Lanes<Arc<Registration>> {
    let policy = &inputs.policy.lanes;
    if !policy.enabled || lanes::quick_bound(policy, inputs.plan, service, inputs.prefill).is_none() {
        return Lanes { quick: Vec::new(), bulk: well };
    }
    lanes::divide(policy, well, service, inputs.loads)
}

/// Recently computed candidates by service.
#[derive(Debug, Default)]
pub struct CandidateCache {
    held: HashMap<Arc<str>, Rc<Candidates>>,
}

impl CandidateCache {
    /// Forgets all: something that they rest on has changed.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// The candidates of a service.
    pub fn of(&mut self, service: &Arc<str>, roster: &Roster, inputs: &Inputs) -> Rc<Candidates> {
        let held =
            self.held.get(service).filter(|candidates| candidates.expires.is_some_and(|expires| inputs.now < expires));
        if let Some(candidates) = held {
            return candidates.clone();
        }
        let candidates = Rc::new(Candidates::new(roster.of(service), service, inputs));
        self.held.insert(service.clone(), candidates.clone());
        candidates
    }
}
