//! Lanes: the engines of one service divided between quick streams and all others.
//!
//! All tokens that run beside a long prompt are held up by it, so streams that allow only short pauses
//! get engines of their own. Every instance ranks the engines by the same hash and sees about the same
//! load, so all draw the same line without a word between them.

use std::{collections::BTreeMap, ops::Deref, time::Duration};

use rudder_core::Registration;
use rudder_model::{HallId, id};

use crate::{Plan, Route, loads::EndpointLoads, policy::LanePolicy, prefill::PrefillSpeeds};

/// Tokens of a prompt that an engine reads between two tokens of its streams: the usual size of such pieces, and the
/// one that the pauses seen on the platform fit.
const PIECE: u32 = 2_048;
/// Engines from which on the quick lane has two, so that the loss of one leaves one.
const TWO_FROM: usize = 6;

/// The longest pause of a service's quick routes; `None` where it has none beside others. Quick are pauses far shorter
/// than the longest, and the shortest where an engine that reads all the time makes about as long ones: between
/// two tokens it reads a piece of a prompt, and an event waits for several tokens.
pub fn quick_bound(policy: &LanePolicy, plan: &Plan, service: &str, prefill: &PrefillSpeeds) -> Option<Duration> {
    let pauses = plan.pauses(service)?;
    let far_shorter = pauses.longest.mul_f64(policy.quick);
    let engine = plan.services.get(service)?.engine?;
    let crowded = prefill.time_for(service, PIECE.saturating_mul(engine.event_tokens));
    let bound = if pauses.shortest < pauses.longest && crowded >= pauses.shortest.mul_f64(policy.crowded) {
        far_shorter.max(pauses.shortest)
    } else {
        far_shorter
    };
    (pauses.shortest <= bound).then_some(bound)
}

/// True where a route's streams at one of its services suffer from long prompts beside them.
pub fn is_quick(policy: &LanePolicy, plan: &Plan, route: &Route, service: &str, prefill: &PrefillSpeeds) -> bool {
    let bound = quick_bound(policy, plan, service, prefill);
    route.pause.is_some_and(|pause| bound.is_some_and(|bound| pause <= bound))
}

/// The engines of one service, in the order of their rank.
#[derive(Debug)]
pub struct Lanes<E> {
    /// For streams with short pauses.
    pub quick: Vec<E>,
    /// For the others.
    pub bulk: Vec<E>,
}

/// Divides the engines of `service`.
pub fn divide<E>(policy: &LanePolicy, mut engines: Vec<E>, service: &str, loads: &EndpointLoads) -> Lanes<E>
where
    E: Clone + Deref<Target = Registration>,
{
    if engines.len() < 2 {
        return Lanes { quick: engines.clone(), bulk: engines };
    }
    engines.sort_by_cached_key(|engine| id::rendezvous(service, &engine.endpoint));
    take_halls_in_turn(&mut engines);
    let bulk = engines.split_off(quick_count(policy, &engines, loads));
    Lanes { quick: engines, bulk }
}

/// Ranks the first of each hall before the second of any, so that the quick lane has as many engines in each.
fn take_halls_in_turn<E: Deref<Target = Registration>>(ranked: &mut Vec<E>) {
    let mut counts: BTreeMap<HallId, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, E)> = Vec::with_capacity(ranked.len());
    for engine in ranked.drain(..) {
        let count = counts.entry(engine.hall.clone()).or_default();
        *count += 1;
        turns.push((*count, engine));
    }
    // The sort is stable: within a turn the hash decides.
    turns.sort_by_key(|(turn, _)| *turn);
    ranked.extend(turns.into_iter().map(|(_, engine)| engine));
}

/// How many of the ranked engines the quick lane has.
fn quick_count<E: Deref<Target = Registration>>(policy: &LanePolicy, ranked: &[E], loads: &EndpointLoads) -> usize {
    let largest = ((ranked.len() as f64 * policy.largest) as usize).max(1);
    let least = if ranked.len() >= TWO_FROM { 2 } else { 1 };
    let mut count = ((ranked.len() as f64 * policy.smallest).round() as usize).max(least);
    let mut calls: u32 = ranked[..count].iter().map(|engine| loads.at(&engine.endpoint).calls).sum();
    let mut slots: u32 = ranked[..count].iter().map(|engine| engine.slots).sum();
    while count < largest && f64::from(calls) > f64::from(slots) * policy.fill {
        calls += loads.at(&ranked[count].endpoint).calls;
        slots += ranked[count].slots;
        count += 1;
    }
    count
}
