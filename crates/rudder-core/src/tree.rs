//! Whom an instance asks for news: the leader, or a relay of its hall that asks the leader.
//!
//! Every instance works the relays out from its own copy of the directory, by the same hash, so no word is spent on
//! choosing them and a new leader finds the same ones. Copies that differ for a moment do no harm: a relay is only an
//! instance that asks the leader itself, and any such instance answers. With relays the leader is asked by a number
//! of instances that grows with the fleet by one for each [`Tree::askers`], and by no more than that.

use std::cmp::Reverse;

use rudder_model::{InstanceId, id};
use serde::Deserialize;

use crate::{Listing, Me, delta_map::DeltaMap};

/// Settings of the tree. All instances must have the same.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tree {
    /// Live instances up to which all ask the leader: it bears about as many (docs/CAPACITY.md).
    pub direct: usize,
    /// Instances of a hall for each of its relays. A relay on a link of 10 Mbit/s spends a fifth of it on 20 that ask
    /// five times a second for the loads of 200 endpoints.
    pub askers: usize,
    /// Relays of a hall at least, so that the loss of one leaves one.
    pub least: usize,
    /// Periods of questions to the leader in one of questions to a relay, which has as many askers but a smaller link.
    pub periods: u32,
}

impl Default for Tree {
    fn default() -> Self {
        Tree { direct: 24, askers: 20, least: 2, periods: 2 }
    }
}

/// The directory of live instances.
pub type Directory = DeltaMap<InstanceId, Listing>;

impl Tree {
    /// True where relays stand between the leader and most instances.
    pub fn has_relays(&self, directory: &Directory) -> bool {
        directory.len() > self.direct
    }

    /// The relays that `me` asks, the one to start with first. Empty where it asks the leader: in a small fleet, and at
    /// a relay.
    pub fn relays_for(&self, me: &Me, directory: &Directory) -> Vec<InstanceId> {
        if !self.has_relays(directory) {
            return Vec::new();
        }
        let mut relays = self.relays_of(&me.hall, directory);
        if relays.contains(&me.name) {
            return Vec::new();
        }
        // Each begins with another one, so that a hall's instances divide themselves among its relays.
        relays.sort_by_cached_key(|relay| Reverse(id::rendezvous(&me.name, relay)));
        relays
    }

    /// The relays of `hall`.
    fn relays_of(&self, hall: &str, directory: &Directory) -> Vec<InstanceId> {
        let here = directory.values().filter(|listing| *listing.hall == *hall && !listing.stopping);
        let mut ranked: Vec<InstanceId> = here.map(|listing| listing.name.clone()).collect();
        let count = ranked.len().div_ceil(self.askers).max(self.least);
        ranked.sort_by_cached_key(|name| Reverse(id::rendezvous(hall, name)));
        ranked.truncate(count);
        ranked
    }
}
