//! Halls that operators have evacuated: their endpoints get nothing until that is taken back.
//!
//! An order to begin or to end an evacuation has no number of its own, and comes again while its sender has no answer, at
//! any instance. A copy that was held up must not undo what was ordered after it. So each order names the log index as of
//! which its instance knew all evacuations when it came, and counts for nothing where its hall has changed since: it then
//! stands before that change, with which it was under way at the same time.

use std::collections::BTreeMap;

use rudder_model::HallId;
use serde::{Deserialize, Serialize};

/// Halls remembered: far more than any deployment has. Those that are not evacuated and longest unchanged give way.
const HELD_MOST: usize = 256;

/// An operator's order on one hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The hall.
    pub hall: HallId,
    /// It is to be evacuated; otherwise, its endpoints may get work again.
    pub begins: bool,
    /// Log index as of which all evacuations were known where the order came.
    pub as_of: u64,
}

/// How one hall stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Standing {
    evacuated: bool,
    /// Log index of the last change.
    changed: u64,
}

/// All halls that are or were evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    halls: BTreeMap<HallId, Standing>,
    /// Log index of the last change.
    index: u64,
}

impl Evacuations {
    /// Log index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// True while `hall` is evacuated.
    pub fn is_evacuated(&self, hall: &str) -> bool {
        self.halls.get(hall).is_some_and(|standing| standing.evacuated)
    }

    /// Halls that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &HallId> {
        self.halls.iter().filter(|(_, standing)| standing.evacuated).map(|(hall, _)| hall)
    }

    /// Halls whose evacuation was taken back.
    pub fn returned(&self) -> impl Iterator<Item = &HallId> {
        self.halls.iter().filter(|(_, standing)| !standing.evacuated).map(|(hall, _)| hall)
    }

    /// Applies an order at log index `index`. Returns whether it changed anything.
    pub fn apply(&mut self, index: u64, order: Evacuation) -> bool {
        let standing = self.halls.get(&order.hall).copied().unwrap_or(Standing { evacuated: false, changed: 0 });
        if standing.evacuated == order.begins || standing.changed > order.as_of {
            return false;
        }
        self.halls.insert(order.hall, Standing { evacuated: order.begins, changed: index });
        self.index = index;
        self.prune();
        true
    }

    fn prune(&mut self) {
        while self.halls.len() > HELD_MOST {
            let oldest = self.halls.iter().min_by_key(|(_, standing)| (standing.evacuated, standing.changed));
            let Some(hall) = oldest.map(|(hall, _)| hall.clone()) else { return };
            self.halls.remove(&hall);
        }
    }

    /// What the holder of the state as of `held` lacks: all of it, as it is small, or nothing.
    pub fn news_after(&self, held: u64) -> Option<Evacuations> {
        (held < self.index).then(|| self.clone())
    }

    /// Applies news, unless they are older than what is held. Returns whether they are newer.
    pub fn take(&mut self, news: Evacuations) -> bool {
        if news.index <= self.index {
            return false;
        }
        *self = news;
        true
    }
}
