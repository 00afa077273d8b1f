//! Outcomes at endpoints over the last seconds, and the endpoints that stand out by them.
//!
//! One of many instances sends few requests to one endpoint and would learn slowly that it fails, each by its own
//! lost requests. Outcomes are therefore told with the work under way, and judged together.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// Seconds that count, the current one included.
pub const SPAN: u64 = 5;
/// Failures that make an endpoint suspect, at least.
const LEAST: u32 = 3;
/// Share of failures that makes it suspect, at least.
const FAILING: f64 = 0.25;
/// The share must be this many times that of the endpoints that are not suspect.
const TIMES: f64 = 3.0;
/// Part of a service's endpoints that may be suspect: were more left out, the rest would not bear the load.
const MOST: f64 = 0.4;

/// Requests that ended at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All of them.
    pub ended: u32,
    /// Those that failed by the endpoint.
    pub failed: u32,
}

impl Tally {
    /// Share of failures.
    pub fn share(self) -> f64 {
        f64::from(self.failed) / f64::from(self.ended.max(1))
    }

    /// Adds another tally.
    pub fn add(&mut self, other: Tally) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    second: u64,
    tally: Tally,
}

/// This instance's outcomes at all endpoints.
#[derive(Debug)]
pub struct Recent {
    began: Moment,
    slots: HashMap<EndpointId, [Slot; SPAN as usize]>,
}

impl Default for Recent {
    fn default() -> Self {
        Recent { began: Moment::now(), slots: HashMap::new() }
    }
}

impl Recent {
    /// Records the end of a request.
    pub fn note(&mut self, endpoint: &EndpointId, failed: bool, now: Moment) {
        let second = self.second(now);
        let slots = self.slots.entry(endpoint.clone()).or_default();
        let slot = &mut slots[(second % SPAN) as usize];
        if slot.second != second {
            *slot = Slot { second, tally: Tally::default() };
        }
        slot.tally.add(Tally { ended: 1, failed: u32::from(failed) });
    }

    /// What ended at `endpoint` of late.
    pub fn at(&self, endpoint: &str, now: Moment) -> Tally {
        let oldest = self.second(now).saturating_sub(SPAN - 1);
        let mut sum = Tally::default();
        for slot in self.slots.get(endpoint).into_iter().flatten() {
            if slot.second >= oldest {
                sum.add(slot.tally);
            }
        }
        sum
    }

    /// Endpoints at which anything ended of late.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.slots.keys()
    }

    /// Drops endpoints at which nothing has ended of late.
    pub fn age(&mut self, now: Moment) {
        let oldest = self.second(now).saturating_sub(SPAN - 1);
        self.slots.retain(|_, slots| slots.iter().any(|slot| slot.tally.ended > 0 && slot.second >= oldest));
    }

    fn second(&self, now: Moment) -> u64 {
        // The first second counts as 1, so that an empty slot belongs to none.
        now.saturating_duration_since(self.began).as_secs() + 1
    }
}

/// The endpoints of one service that fail far more than the others do. Where most fail, it is the requests or this
/// side, and none is suspect.
pub fn suspects(tallies: &[(EndpointId, Tally)]) -> HashSet<EndpointId> {
    let used: Vec<&(EndpointId, Tally)> = tallies.iter().filter(|(_, tally)| tally.ended > 0).collect();
    let fails = |tally: &Tally| tally.failed >= LEAST && tally.share() >= FAILING;
    let mut others = Tally::default();
    for (_, tally) in used.iter().filter(|(_, tally)| !fails(tally)) {
        others.add(*tally);
    }
    let bound = FAILING.max(others.share() * TIMES);
    let mut failing: Vec<&&(EndpointId, Tally)> =
        used.iter().filter(|(_, tally)| fails(tally) && tally.share() >= bound).collect();
    if failing.len() * 2 > used.len() {
        return HashSet::new();
    }
    failing.sort_by_key(|(endpoint, tally)| (std::cmp::Reverse(tally.failed), Arc::clone(endpoint)));
    failing.truncate((tallies.len() as f64 * MOST) as usize);
    failing.into_iter().map(|(endpoint, _)| endpoint.clone()).collect()
}
