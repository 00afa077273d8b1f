//! Departures of endpoints that were acknowledged. The registry of endpoints is soft state, which an endpoint rebuilds with
//! its next heartbeat; one that has departed sends none, so its departure has to outlast the instance that heard of it.
//!
//! An entry lasts as long as the registry of the leader remembers the endpoint as departed.

use std::collections::BTreeMap;

use rudder_model::{Born, EndpointId, HallId};
use serde::{Deserialize, Serialize};

/// Maximum number of departures held, twice the supported number of endpoints. The oldest are dropped first.
const MAX_DEPARTURES: usize = 24_000;

/// The departure of one life of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The life.
    pub endpoint: EndpointId,
    /// When that life began, if the endpoint reports it.
    pub born: Option<Born>,
    /// Its hall.
    pub hall: HallId,
    /// It has ended; otherwise it drains.
    pub ended: bool,
    /// Sequence number of the heartbeat that reported it; 0 if it came without one.
    pub sequence: u64,
}

impl Departure {
    /// Returns whether this covers `other`, a departure of the same life.
    fn covers(&self, other: &Departure) -> bool {
        self.ended || !other.ended
    }
}

/// Departures to drop, because their endpoints are no longer remembered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forgotten {
    /// The lives.
    pub endpoints: Vec<EndpointId>,
    /// Log index as of which they are to be dropped; a later departure of the same life is kept.
    pub as_of: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    departure: Departure,
    /// Log index of the last record of it.
    changed: u64,
}

/// All departures held.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    lives: BTreeMap<EndpointId, Held>,
}

impl Departures {
    /// Returns all departures.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.lives.values().map(|held| &held.departure)
    }

    /// Returns the number of departures.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Returns whether `departure` is held, or a later one of the same life.
    pub fn covers(&self, departure: &Departure) -> bool {
        self.lives.get(&departure.endpoint).is_some_and(|held| held.departure.covers(departure))
    }

    /// Adds departures at log index `index`. Returns whether any of them was not held.
    pub fn apply(&mut self, index: u64, departures: Vec<Departure>) -> bool {
        let mut changed = false;
        for departure in departures {
            if self.covers(&departure) {
                if let Some(held) = self.lives.get_mut(&departure.endpoint) {
                    held.changed = index;
                }
                continue;
            }
            changed = true;
            self.lives.insert(departure.endpoint.clone(), Held { departure, changed: index });
        }
        self.prune();
        changed
    }

    /// Drops departures. Returns whether any was held.
    pub fn forget(&mut self, forgotten: &Forgotten) -> bool {
        let before = self.lives.len();
        for endpoint in &forgotten.endpoints {
            if self.lives.get(endpoint).is_some_and(|held| held.changed <= forgotten.as_of) {
                self.lives.remove(endpoint);
            }
        }
        self.lives.len() < before
    }

    fn prune(&mut self) {
        let Some(excess) = self.lives.len().checked_sub(MAX_DEPARTURES).filter(|excess| *excess > 0) else { return };
        let mut oldest: Vec<(u64, EndpointId)> =
            self.lives.iter().map(|(endpoint, held)| (held.changed, endpoint.clone())).collect();
        oldest.sort_unstable();
        for (_, endpoint) in oldest.into_iter().take(excess) {
            self.lives.remove(&endpoint);
        }
    }
}
