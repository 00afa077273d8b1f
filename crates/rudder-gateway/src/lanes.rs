//! Lanes: the engines of one service divided between quick streams and all others.
//!
//! All tokens that run beside a long prompt are held up by it, so streams that allow only short pauses
//! get engines of their own. Every instance ranks the engines by the same hash and sees about the same
//! load, so all draw the same line without a word between them.

use std::{collections::BTreeMap, time::Duration};

use rudder_core::Registration;
use rudder_model::id;

use crate::{Plan, Route, balance::Balance, policy::LanePolicy, reading::Reading};

/// Tokens of a prompt that an engine reads between two tokens of its streams: the usual size of such pieces, and the
/// one that the pauses seen on the platform fit.
const PIECE: u32 = 2_048;
/// Engines from which on the quick lane has two, so that the loss of one leaves one.
const TWO_FROM: usize = 6;

/// The longest pause of a service's quick routes; `None` where it has none beside others. Quick are pauses far shorter
/// than the longest, and the shortest where an engine that reads all the time makes about as long ones: between
/// two tokens it reads a piece of a prompt, and an event waits for several tokens.
pub fn quick_bound(policy: &LanePolicy, plan: &Plan, service: &str, reading: &Reading) -> Option<Duration> {
    let pauses = plan.pauses(service)?;
    let far_shorter = pauses.longest.mul_f64(policy.quick);
    let engine = plan.services.get(service)?.engine?;
    let crowded = reading.time_for(service, PIECE.saturating_mul(engine.event_tokens));
    let bound = if pauses.shortest < pauses.longest && crowded >= pauses.shortest.mul_f64(policy.crowded) {
        far_shorter.max(pauses.shortest)
    } else {
        far_shorter
    };
    (pauses.shortest <= bound).then_some(bound)
}

/// True where a route's streams at one of its services suffer from long prompts beside them.
pub fn is_quick(policy: &LanePolicy, plan: &Plan, route: &Route, service: &str, reading: &Reading) -> bool {
    let bound = quick_bound(policy, plan, service, reading);
    route.pause.is_some_and(|pause| bound.is_some_and(|bound| pause <= bound))
}

/// The engines of one service, in the order of their rank.
#[derive(Debug)]
pub struct Lanes<'a> {
    /// For streams with short pauses.
    pub quick: Vec<&'a Registration>,
    /// For the others.
    pub bulk: Vec<&'a Registration>,
}

/// Divides the engines of `service`.
pub fn divide<'a>(
    policy: &LanePolicy,
    mut engines: Vec<&'a Registration>,
    service: &str,
    balance: &Balance,
) -> Lanes<'a> {
    if engines.len() < 2 {
        return Lanes { quick: engines.clone(), bulk: engines };
    }
    engines.sort_by_cached_key(|engine| id::rendezvous(service, &engine.endpoint));
    take_halls_in_turn(&mut engines);
    let bulk = engines.split_off(quick_count(policy, &engines, balance));
    Lanes { quick: engines, bulk }
}

/// Ranks the first of each hall before the second of any, so that the quick lane has as many engines in each.
fn take_halls_in_turn(ranked: &mut Vec<&Registration>) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut turns: Vec<(usize, &Registration)> = Vec::with_capacity(ranked.len());
    for engine in ranked.drain(..) {
        let count = counts.entry(&engine.hall).or_default();
        *count += 1;
        turns.push((*count, engine));
    }
    // The sort is stable: within a turn the hash decides.
    turns.sort_by_key(|(turn, _)| *turn);
    ranked.extend(turns.into_iter().map(|(_, engine)| engine));
}

/// How many of the ranked engines the quick lane has.
fn quick_count(policy: &LanePolicy, ranked: &[&Registration], balance: &Balance) -> usize {
    let largest = ((ranked.len() as f64 * policy.largest) as usize).max(1);
    let least = if ranked.len() >= TWO_FROM { 2 } else { 1 };
    let mut count = ((ranked.len() as f64 * policy.smallest).round() as usize).max(least);
    while count < largest {
        let calls: u32 = ranked[..count].iter().map(|engine| balance.at(&engine.endpoint).calls).sum();
        let slots: u32 = ranked[..count].iter().map(|engine| engine.slots).sum();
        if f64::from(calls) <= f64::from(slots) * policy.fill {
            break;
        }
        count += 1;
    }
    count
}
