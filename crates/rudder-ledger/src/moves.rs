//! Recent moves of routes: the services that routes for streams have joined or left. A stream that began before a move
//! goes on at its service or not at all, also at instances that start later and know only the newest document.

use std::collections::BTreeMap;

use rudder_model::ShareTag;
use serde::{Deserialize, Serialize};

use crate::patch::difference;

/// Maximum number of moves. Beyond it any service may have begun a stream.
const MAX_MOVES: usize = 512;

/// Shares of routes that were added or removed by recent documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moves {
    /// Log index of the last move, by share.
    shares: BTreeMap<ShareTag, u64>,
    /// Log index of the last moves that were too many to be held.
    excess: Option<u64>,
}

impl Moves {
    /// Records the difference between the shares of two documents, both in ascending order. Returns whether there is one.
    pub(crate) fn record(&mut self, index: u64, before: &[ShareTag], after: &[ShareTag]) -> bool {
        let mut changed = false;
        for share in difference(before, after).chain(difference(after, before)) {
            changed = true;
            if self.shares.len() >= MAX_MOVES && !self.shares.contains_key(&share) {
                self.excess = Some(index);
                continue;
            }
            self.shares.insert(share, index);
        }
        changed
    }

    /// Drops the moves up to log index `until`. Returns whether there were any.
    pub(crate) fn forget(&mut self, until: u64) -> bool {
        let before = (self.shares.len(), self.excess);
        self.shares.retain(|_, index| *index > until);
        self.excess = self.excess.filter(|index| *index > until);
        before != (self.shares.len(), self.excess)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty() && self.excess.is_none()
    }

    /// Returns the number of moves held.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether there were more moves than are held.
    pub fn has_excess(&self) -> bool {
        self.excess.is_some()
    }

    /// Returns whether a share was added or removed, as far as is held.
    pub fn contains(&self, share: ShareTag) -> bool {
        self.shares.contains_key(&share)
    }

    /// Returns the log indexes of the moves held, with repetitions.
    pub fn indexes(&self) -> impl Iterator<Item = u64> {
        self.shares.values().copied().chain(self.excess)
    }
}
