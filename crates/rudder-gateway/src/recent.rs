//! Outcomes at endpoints over the last seconds, and the detection of outliers.
//!
//! Each of many instances sends few requests to an endpoint and would detect its failure late. Outcomes are therefore
//! exchanged with the load reports and evaluated together.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// Window over which outcomes are counted, in seconds, including the current one.
pub const SPAN: u64 = 5;
/// Minimum number of failures of a suspect.
const MIN_FAILURES: u32 = 3;
/// Minimum failure rate of a suspect.
const MIN_FAILURE_RATE: f64 = 0.25;
/// Minimum ratio of the failure rate of a suspect to that of the other endpoints.
const MIN_RATIO: f64 = 3.0;
/// Maximum share of a service's endpoints that may be suspect, so that the others are not overloaded.
const MAX_SUSPECT_SHARE: f64 = 0.4;

/// Counts of requests that ended at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All of them.
    pub ended: u32,
    /// Those that failed due to the endpoint.
    pub failed: u32,
}

impl Tally {
    /// Failure rate.
    pub fn failure_rate(self) -> f64 {
        f64::from(self.failed) / f64::from(self.ended.max(1))
    }

    /// Adds another tally.
    pub fn add(&mut self, other: Tally) {
        self.ended = self.ended.saturating_add(other.ended);
        self.failed = self.failed.saturating_add(other.failed);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    tally: Tally,
}

/// Counts over the last [`SPAN`] seconds, in buckets of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    buckets: [Bucket; SPAN as usize],
}

impl Window {
    /// Adds to the bucket of `second`, the current one.
    pub fn add(&mut self, tally: Tally, second: u64) {
        let bucket = &mut self.buckets[(second % SPAN) as usize];
        if bucket.second != second {
            *bucket = Bucket { second, tally: Tally::default() };
        }
        bucket.tally.add(tally);
    }

    /// The sum up to `second`, the current one.
    pub fn sum(&self, second: u64) -> Tally {
        let oldest = second.saturating_sub(SPAN - 1);
        let mut sum = Tally::default();
        for bucket in self.buckets.iter().filter(|bucket| bucket.second >= oldest) {
            sum.add(bucket.tally);
        }
        sum
    }
}

/// Recent outcomes of this instance at all endpoints.
#[derive(Debug)]
pub struct RecentOutcomes {
    started: Moment,
    windows: HashMap<EndpointId, Window>,
}

impl Default for RecentOutcomes {
    fn default() -> Self {
        RecentOutcomes { started: Moment::now(), windows: HashMap::new() }
    }
}

impl RecentOutcomes {
    /// Records the end of a request.
    pub fn note(&mut self, endpoint: &EndpointId, failed: bool, now: Moment) {
        let second = self.second(now);
        let window = self.windows.entry(endpoint.clone()).or_default();
        window.add(Tally { ended: 1, failed: u32::from(failed) }, second);
    }

    /// Requests that recently ended at `endpoint`.
    pub fn at(&self, endpoint: &str, now: Moment) -> Tally {
        self.windows.get(endpoint).map_or(Tally::default(), |window| window.sum(self.second(now)))
    }

    /// Endpoints with recent outcomes, or with outcomes not yet dropped by [`RecentOutcomes::age`].
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.windows.keys()
    }

    /// Forgets all outcomes.
    pub fn clear(&mut self) {
        self.windows.clear();
    }

    /// Drops endpoints without recent outcomes.
    pub fn age(&mut self, now: Moment) {
        let second = self.second(now);
        self.windows.retain(|_, window| window.sum(second).ended > 0);
    }

    fn second(&self, now: Moment) -> u64 {
        now.saturating_duration_since(self.started).as_secs()
    }
}

/// Finds the endpoints of a service that fail far more often than the others. If most of them fail, the cause is
/// likely the requests or this side, and none is suspect.
pub fn suspects(tallies: &[(EndpointId, Tally)]) -> HashSet<EndpointId> {
    let used: Vec<&(EndpointId, Tally)> = tallies.iter().filter(|(_, tally)| tally.ended > 0).collect();
    let is_failing = |tally: &Tally| tally.failed >= MIN_FAILURES && tally.failure_rate() >= MIN_FAILURE_RATE;
    let mut others = Tally::default();
    for (_, tally) in used.iter().filter(|(_, tally)| !is_failing(tally)) {
        others.add(*tally);
    }
    let min_rate = MIN_FAILURE_RATE.max(others.failure_rate() * MIN_RATIO);
    let mut failing: Vec<&&(EndpointId, Tally)> =
        used.iter().filter(|(_, tally)| is_failing(tally) && tally.failure_rate() >= min_rate).collect();
    if failing.len() * 2 > used.len() {
        return HashSet::new();
    }
    failing.sort_by_key(|(endpoint, tally)| (std::cmp::Reverse(tally.failed), Arc::clone(endpoint)));
    failing.truncate((tallies.len() as f64 * MAX_SUSPECT_SHARE) as usize);
    failing.into_iter().map(|(endpoint, _)| endpoint.clone()).collect()
}
