//! Choice among the endpoints of a plain service: the one with the fewest requests, as far as that is known.
//!
//! The counts of the others' requests are some hundred milliseconds old. Where more requests come in that time than the
//! counts differ by, all instances would send to the one that looked best, and fill it. So counts that differ by less
//! than what may have come since are taken for equal, and the nearest endpoint for the best of equals.

use std::time::Duration;

use rand::seq::IndexedRandom as _;
use rudder_core::Registration;

use super::{Choice, Eligibility, Inputs, Lane, to_choice};
use crate::recent::SPAN;

/// Part of an endpoint's slots at most by which counts may differ and yet be taken for equal: one that is nearly full is
/// never as good as an idle one.
const EQUAL_MOST: f64 = 0.5;

/// Up to so many endpoints, all are weighed; of more, half as many are drawn by lot from the instance's own hall and half
/// from all.
const WEIGHED_MOST: usize = 24;

/// Picks one of the eligible endpoints.
pub(super) fn choose(inputs: &Inputs, lane: &Lane, eligible: Eligibility) -> Option<Choice> {
    let candidates = draw(inputs, lane, eligible);
    let calls = |held: &Registration| inputs.loads.at(&held.endpoint).calls;
    let least = candidates.iter().map(|held| calls(held)).min()?;
    let come = come_since(inputs, &candidates);
    let equal = |held: &&&Registration| {
        let bound = come.min(f64::from(held.slots) * EQUAL_MOST);
        f64::from(calls(held) - least) <= bound
    };
    let far = |held: &Registration| held.hall != *inputs.hall;
    let chosen = candidates.iter().filter(equal).min_by_key(|held| (far(held), rand::random::<u32>()))?;
    Some(to_choice(inputs, chosen, 0))
}

/// The endpoints that are weighed.
fn draw<'a>(inputs: &Inputs, lane: &'a Lane, eligible: Eligibility) -> Vec<&'a Registration> {
    let may_take = |held: &&Registration| eligible.allows(inputs, held);
    let all = || lane.endpoints.iter().map(|held| &**held).filter(may_take);
    if lane.endpoints.len() <= WEIGHED_MOST {
        return all().collect();
    }
    let half = WEIGHED_MOST / 2;
    let near = lane.near.sample(&mut rand::rng(), half);
    let drawn = near.chain(lane.endpoints.sample(&mut rand::rng(), half));
    let drawn = drawn.chain(lane.warming.sample(&mut rand::rng(), half));
    let mut drawn: Vec<&Registration> = drawn.map(|held| &**held).filter(may_take).collect();
    // A request that may go to none of those takes the first other one that it may go to.
    if drawn.is_empty() {
        drawn.extend(all().next());
    }
    drawn
}

/// Requests that came to one of the endpoints, in the mean, since the others' counts were taken.
fn come_since(inputs: &Inputs, candidates: &[&Registration]) -> f64 {
    let ended: u32 = candidates.iter().map(|held| inputs.loads.tally(&held.endpoint, inputs.now).ended).sum();
    let rate = f64::from(ended) / Duration::from_secs(SPAN).as_secs_f64();
    rate * inputs.work_age.as_secs_f64() / candidates.len().max(1) as f64
}
