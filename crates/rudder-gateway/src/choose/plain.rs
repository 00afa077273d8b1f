//! Choice among the endpoints of a plain service: the one with the fewest requests in flight, as far as known.
//!
//! Load reports from other instances are up to some hundred milliseconds old. If all instances acted on small
//! differences between them, they would all send to the same endpoint. Counts that differ by less than the arrivals
//! since the last report are therefore ties, and ties go to the instance's own hall.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rudder_core::Registration;

use super::{Choice, Eligibility, Inputs, Lane, to_choice};
use crate::recent::SPAN;

/// Largest difference between tied counts, as a share of an endpoint's slots: a nearly full endpoint must not tie with
/// an idle one.
const MAX_TIE_SHARE: f64 = 0.5;

/// Lanes of up to this many endpoints are compared as a whole. Of larger ones, half as many endpoints are sampled from
/// the instance's own hall, and half as many from the whole lane.
const MAX_COMPARED: usize = 24;

/// Picks one of the eligible endpoints.
pub(super) fn choose(inputs: &Inputs, lane: &Lane, eligible: Eligibility) -> Option<Choice> {
    let candidates = sample(inputs, lane, eligible);
    let calls = |registration: &Registration| inputs.loads.at(&registration.endpoint).calls;
    let min_calls = candidates.iter().map(|registration| calls(registration)).min()?;
    let arrivals = arrivals_since_report(inputs, &candidates);
    let is_tied = |registration: &&&Registration| {
        let bound = arrivals.min(f64::from(registration.slots) * MAX_TIE_SHARE);
        f64::from(calls(registration) - min_calls) <= bound
    };
    let is_remote = |registration: &Registration| registration.hall != *inputs.hall;
    let chosen = candidates
        .iter()
        .filter(is_tied)
        .min_by_key(|registration| (is_remote(registration), rand::random::<u32>()))?;
    Some(to_choice(inputs, chosen, lane, 0))
}

/// The eligible endpoints to compare.
fn sample<'a>(inputs: &Inputs, lane: &'a Lane, eligible: Eligibility) -> Vec<&'a Registration> {
    let is_eligible = |registration: &&Registration| eligible.allows(inputs, registration);
    let all = || lane.endpoints.iter().map(|registration| &**registration).filter(is_eligible);
    if lane.endpoints.len() <= MAX_COMPARED {
        return all().collect();
    }
    let half = MAX_COMPARED / 2;
    let local = lane.local.sample(&mut rand::rng(), half);
    let sample = local.chain(lane.endpoints.sample(&mut rand::rng(), half));
    let sample = sample.chain(lane.warming.sample(&mut rand::rng(), half));
    let mut sample: Vec<&Registration> = sample.map(|registration| &**registration).filter(is_eligible).collect();
    // If no sampled endpoint is eligible, take the first eligible one of the lane.
    if sample.is_empty() {
        sample.extend(all().next());
    }
    sample
}

/// Estimated mean number of requests that arrived at an endpoint since the last load reports.
fn arrivals_since_report(inputs: &Inputs, candidates: &[&Registration]) -> f64 {
    let ended: u32 =
        candidates.iter().map(|registration| inputs.loads.tally(&registration.endpoint, inputs.now).ended).sum();
    let rate = f64::from(ended) / Duration::from_secs(SPAN).as_secs_f64();
    rate * inputs.work_age.as_secs_f64() / candidates.len().max(1) as f64
}
