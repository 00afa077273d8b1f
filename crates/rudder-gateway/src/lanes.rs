//! Lanes: the engines of a service are divided between quick streams and all other requests.
//!
//! The prefill of a long prompt delays the output of all other requests in the batch, so streams with short pause targets
//! get engines of their own. All instances rank the engines by the same hash and see about the same load, so they agree
//! on the division without coordination.

use std::{collections::BTreeMap, ops::Deref, time::Duration};

use rudder_core::Registration;
use rudder_model::{HallId, id};
use rudder_route::engine_cost::SpeedClass;

use crate::{Plan, Route, loads::EndpointLoads, policy::LanePolicy, prefill::PrefillSpeeds};

/// Prompt tokens that an engine processes between two tokens of its streams (chunked prefill): the usual chunk size.
pub const PREFILL_CHUNK_TOKENS: u32 = 2_048;
/// Number of engines from which the quick lane has at least two, so that it survives the loss of one.
const MIN_ENGINES_FOR_TWO: usize = 6;

/// The longest pause target of a service's quick routes; `None` if it has no quick routes. Routes are quick if their target
/// is far below the longest one of the service, or if it is the shortest one and an engine under constant prefill would
/// about miss it: it processes a chunk of a prompt between two tokens, and an event has several tokens.
pub fn quick_bound(policy: &LanePolicy, plan: &Plan, service: &str, prefill: &PrefillSpeeds) -> Option<Duration> {
    let pauses = plan.pauses(service)?;
    let max_quick = pauses.longest.mul_f64(policy.quick);
    let engine = plan.services.get(service)?.engine?;
    let prefill_pause = prefill.time_for(service, PREFILL_CHUNK_TOKENS.saturating_mul(engine.event_tokens));
    let bound = if pauses.shortest < pauses.longest && prefill_pause >= pauses.shortest.mul_f64(policy.crowded) {
        max_quick.max(pauses.shortest)
    } else {
        max_quick
    };
    (pauses.shortest <= bound).then_some(bound)
}

/// Whether a route's streams belong to the quick lane of a service.
pub fn is_quick(policy: &LanePolicy, plan: &Plan, route: &Route, service: &str, prefill: &PrefillSpeeds) -> bool {
    let bound = quick_bound(policy, plan, service, prefill);
    route.pause.is_some_and(|pause| bound.is_some_and(|bound| pause <= bound))
}

/// The lanes of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LaneKind {
    /// For streams with short pause targets.
    Quick,
    /// For all other requests, and for those of plain services.
    #[default]
    Bulk,
}

/// The engines of a service by lane, in the order of their rank.
#[derive(Debug)]
pub struct Lanes<E> {
    /// For streams with short pause targets.
    pub quick: Vec<E>,
    /// For all other requests.
    pub bulk: Vec<E>,
    /// Number of engines of `bulk` that are not slow; they come first.
    pub fast: usize,
}

/// Divides the engines of `service` into lanes without regard to their speeds.
pub fn divide<E>(policy: &LanePolicy, engines: Vec<E>, service: &str, loads: &EndpointLoads) -> Lanes<E>
where
    E: Clone + Deref<Target = Registration>,
{
    divide_by_speed(policy, engines, service, loads, |_| SpeedClass::Fast)
}

/// Divides the engines of `service` into lanes. The quick lane has slow engines only if its smallest share exceeds the
/// number of the others.
pub fn divide_by_speed<E>(
    policy: &LanePolicy,
    mut engines: Vec<E>,
    service: &str,
    loads: &EndpointLoads,
    class: impl Fn(&Registration) -> SpeedClass,
) -> Lanes<E>
where
    E: Clone + Deref<Target = Registration>,
{
    if engines.len() < 2 {
        let fast = engines.len();
        return Lanes { quick: engines.clone(), bulk: engines, fast };
    }
    engines.sort_by_cached_key(|engine| id::rendezvous(service, &engine.endpoint));
    let (mut ranked, mut slow): (Vec<_>, Vec<_>) =
        engines.into_iter().partition(|engine| class(engine) == SpeedClass::Fast);
    interleave_halls(&mut ranked);
    interleave_halls(&mut slow);
    let fast = ranked.len();
    ranked.append(&mut slow);
    let bulk = ranked.split_off(quick_count(policy, &ranked, fast, loads));
    let fast = fast.saturating_sub(ranked.len());
    Lanes { quick: ranked, bulk, fast }
}

/// Ranks the first engine of each hall before the second of any, so that the quick lane is spread evenly over the halls.
fn interleave_halls<E: Deref<Target = Registration>>(ranked: &mut Vec<E>) {
    let mut counts: BTreeMap<HallId, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, E)> = Vec::with_capacity(ranked.len());
    for engine in ranked.drain(..) {
        let count = counts.entry(engine.hall.clone()).or_default();
        *count += 1;
        rounds.push((*count, engine));
    }
    // The sort is stable, so that the rank by hash decides within a round.
    rounds.sort_by_key(|(round, _)| *round);
    ranked.extend(rounds.into_iter().map(|(_, engine)| engine));
}

/// Number of the ranked engines that form the quick lane. It doesn't grow past the `fast` ones, which come first.
fn quick_count<E: Deref<Target = Registration>>(
    policy: &LanePolicy,
    ranked: &[E],
    fast: usize,
    loads: &EndpointLoads,
) -> usize {
    let max = ((ranked.len() as f64 * policy.largest) as usize).max(1).min(fast);
    let min = if ranked.len() >= MIN_ENGINES_FOR_TWO { 2 } else { 1 };
    let mut count = ((ranked.len() as f64 * policy.smallest).round() as usize).max(min);
    let mut calls: u32 = ranked[..count].iter().map(|engine| loads.at(&engine.endpoint).calls).sum();
    let mut slots: u32 = ranked[..count].iter().map(|engine| engine.slots).sum();
    while count < max && f64::from(calls) > f64::from(slots) * policy.fill {
        calls += loads.at(&ranked[count].endpoint).calls;
        slots += ranked[count].slots;
        count += 1;
    }
    count
}
