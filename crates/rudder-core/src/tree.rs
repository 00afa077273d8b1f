//! The relay tree: selects the instances that query the leader, and the relays of all others.
//!
//! Every instance derives the relays of its hall from its own copy of the directory by rendezvous hashing, without any
//! coordination. Copies that differ for a moment do no harm: a relay is just an instance that queries the leader
//! itself, and any such instance replies. The leader then serves about one watcher for every [`Tree::askers`]
//! instances.

use std::cmp::Reverse;

use rudder_model::{InstanceId, id};
use serde::Deserialize;

use crate::{Listing, Me, delta_map::DeltaMap};

/// Settings of the relay tree, which must be the same at all instances.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tree {
    /// Maximum number of live instances without relays (see docs/CAPACITY.md).
    pub direct: usize,
    /// Number of instances of a hall for each of its relays.
    pub askers: usize,
    /// Minimum number of relays of a hall.
    pub least: usize,
    /// Interval of requests to a relay, as a multiple of the interval of requests to the leader.
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
    /// Returns whether the number of instances requires relays.
    pub fn has_relays(&self, directory: &Directory) -> bool {
        directory.len() > self.direct
    }

    /// Returns the relays of `me` in order of preference; empty if it queries the leader, because there are no relays
    /// or it is one.
    pub fn relays_for(&self, me: &Me, directory: &Directory) -> Vec<InstanceId> {
        if !self.has_relays(directory) {
            return Vec::new();
        }
        let relays = self.relays_of(&me.hall, directory);
        rank_for(&me.name, relays)
    }

    /// Returns the relays of `hall`.
    pub(crate) fn relays_of(&self, hall: &str, directory: &Directory) -> Vec<InstanceId> {
        let here = directory.values().filter(|listing| *listing.hall == *hall && !listing.stopping);
        let mut ranked: Vec<InstanceId> = here.map(|listing| listing.name.clone()).collect();
        let count = ranked.len().div_ceil(self.askers).max(self.least);
        ranked.sort_by_cached_key(|name| Reverse(id::rendezvous(hall, name)));
        ranked.truncate(count);
        ranked
    }
}

/// Orders the relays of a hall by the preference of its instance `name`; empty if that is one of them.
pub(crate) fn rank_for(name: &InstanceId, mut relays: Vec<InstanceId>) -> Vec<InstanceId> {
    if relays.contains(name) {
        return Vec::new();
    }
    // Ranking by the instance's own name spreads the instances of a hall over its relays.
    relays.sort_by_cached_key(|relay| Reverse(id::rendezvous(name, relay)));
    relays
}
