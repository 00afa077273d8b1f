//! Lanes: the engines of one service divided between quick streams and all others.
//!
//! All tokens that run beside a long prompt are held up by it, so streams that allow only short pauses
//! get engines of their own. Every instance ranks the engines by the same hash and sees about the same
//! load, so all draw the same line without a word between them.

use std::collections::BTreeMap;

use rudder_core::Registration;
use rudder_model::id;

use crate::balance::Balance;

/// Part of the quick lane's slots that is used before the lane grows.
const FILL: f64 = 0.3;
/// The quick lane never takes more than this part of the engines.
const LARGEST: f64 = 0.5;
/// Part of the engines that the quick lane has at least: the loss of one must not take a large part of
/// the quick streams with it.
const SMALLEST: f64 = 0.2;
/// Engines from which on the quick lane has two, so that the loss of one leaves one.
const TWO_FROM: usize = 6;

/// The engines of one service, in the order of their rank.
#[derive(Debug)]
pub struct Lanes<'a> {
    /// For streams with short pauses.
    pub quick: Vec<&'a Registration>,
    /// For the others.
    pub bulk: Vec<&'a Registration>,
}

/// Divides the engines of `service`.
pub fn divide<'a>(mut engines: Vec<&'a Registration>, service: &str, balance: &Balance) -> Lanes<'a> {
    if engines.len() < 2 {
        return Lanes { quick: engines.clone(), bulk: engines };
    }
    engines.sort_by_cached_key(|engine| id::rendezvous(service, &engine.endpoint));
    take_halls_in_turn(&mut engines);
    let bulk = engines.split_off(quick_count(&engines, balance));
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
fn quick_count(ranked: &[&Registration], balance: &Balance) -> usize {
    let largest = ((ranked.len() as f64 * LARGEST) as usize).max(1);
    let least = if ranked.len() >= TWO_FROM { 2 } else { 1 };
    let mut count = ((ranked.len() as f64 * SMALLEST).round() as usize).max(least);
    while count < largest {
        let calls: u32 = ranked[..count].iter().map(|engine| balance.at(&engine.endpoint).calls).sum();
        let slots: u32 = ranked[..count].iter().map(|engine| engine.slots).sum();
        if f64::from(calls) <= f64::from(slots) * FILL {
            break;
        }
        count += 1;
    }
    count
}
