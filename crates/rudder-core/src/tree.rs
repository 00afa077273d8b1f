//! Whom an instance asks for news: the leader, or a relay of its hall that asks the leader.
//!
//! Every instance works the relays out from its own copy of the directory, by the same hash, so no word is spent on
//! choosing them and a new leader finds the same ones. Copies that differ for a moment do no harm: a relay is only an
//! instance that asks the leader itself, and any such instance answers. With relays the leader is asked by a number
//! of instances that grows with the fleet by one in [`FAN_OUT`], and by no more than that.

use std::cmp::Reverse;

use rudder_model::{InstanceId, id};

use crate::{Listing, Me, spread::Spread};

/// Live instances up to which all ask the leader: it bears about as many (docs/CAPACITY.md).
pub const DIRECT_MOST: usize = 24;
/// Instances of a hall for each of its relays. A relay on a link of 10 Mbit/s spends a fifth of it on 20 that ask four
/// times a second for the loads of 200 endpoints.
pub const FAN_OUT: usize = 20;
/// Relays of a hall at least, so that the loss of one leaves one.
pub const RELAYS_LEAST: usize = 2;

/// The directory of live instances.
pub type Directory = Spread<InstanceId, Listing>;

/// The relays that `me` asks, the one to start with first. Empty where it asks the leader: in a small fleet, and at
/// a relay.
pub fn relays_for(me: &Me, directory: &Directory) -> Vec<InstanceId> {
    if directory.len() <= DIRECT_MOST {
        return Vec::new();
    }
    let mut relays = relays_of(&me.hall, directory);
    if relays.contains(&me.name) {
        return Vec::new();
    }
    // Each begins with another one, so that a hall's instances divide themselves among its relays.
    relays.sort_by_cached_key(|relay| Reverse(id::rendezvous(&me.name, relay)));
    relays
}

/// The relays of `hall`.
fn relays_of(hall: &str, directory: &Directory) -> Vec<InstanceId> {
    let here = directory.values().filter(|listing| *listing.hall == *hall && !listing.stopping);
    let mut ranked: Vec<InstanceId> = here.map(|listing| listing.name.clone()).collect();
    let count = ranked.len().div_ceil(FAN_OUT).max(RELAYS_LEAST);
    ranked.sort_by_cached_key(|name| Reverse(id::rendezvous(hall, name)));
    ranked.truncate(count);
    ranked
}
