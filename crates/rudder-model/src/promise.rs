//! Counters for the promises of the product, checked where they could break.

use serde::{Deserialize, Serialize};

/// The promises, numbered as in `docs/ARCHITECTURE.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Promise {
    /// A higher tier is never shed or preempted for a lower one.
    TierOrder,
    /// Every class is eventually served.
    EveryClass,
    /// Each caller receives the whole answer to its own request.
    WholeAnswer,
    /// "Not run" is true.
    NotRun,
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    Leaving,
    /// A planned stop cuts off nothing in flight.
    PlannedStop,
    /// An accepted configuration never reverts.
    NoRevert,
}

impl Promise {
    /// Every promise, P1 to P8.
    pub const ALL: [Promise; 8] = [
        Promise::TierOrder,
        Promise::EveryClass,
        Promise::WholeAnswer,
        Promise::NotRun,
        Promise::AtMostOnce,
        Promise::Leaving,
        Promise::PlannedStop,
        Promise::NoRevert,
    ];

    /// One line for tables.
    pub fn text(self) -> &'static str {
        match self {
            Promise::TierOrder => "P1 higher tier never shed or preempted for a lower one",
            Promise::EveryClass => "P2 every class is eventually served",
            Promise::WholeAnswer => "P3 each caller gets the whole answer to its own request",
            Promise::NotRun => "P4 \"not run\" is true",
            Promise::AtMostOnce => "P5 what may not be repeated runs at most once",
            Promise::Leaving => "P6 a leaving endpoint gets no new work",
            Promise::PlannedStop => "P7 a planned stop cuts nothing off",
            Promise::NoRevert => "P8 accepted configuration in force, never reverts",
        }
    }
}

/// How often each promise was tested and how often it broke.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promises {
    tested: [u64; 8],
    broken: [u64; 8],
}

impl Promises {
    /// Counts one test of `promise`; `held` says how it went. Returns `held`.
    pub fn check(&mut self, promise: Promise, held: bool) -> bool {
        self.tested[promise as usize] += 1;
        if !held {
            self.broken[promise as usize] += 1;
        }
        held
    }

    /// Times `promise` was tested.
    pub fn tested(&self, promise: Promise) -> u64 {
        self.tested[promise as usize]
    }

    /// Times `promise` broke.
    pub fn broken(&self, promise: Promise) -> u64 {
        self.broken[promise as usize]
    }

    /// True when no promise broke.
    pub fn all_held(&self) -> bool {
        self.broken.iter().all(|count| *count == 0)
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Promises) {
        for index in 0..self.tested.len() {
            self.tested[index] += other.tested[index];
            self.broken[index] += other.broken[index];
        }
    }
}
