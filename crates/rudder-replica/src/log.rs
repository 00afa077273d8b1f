//! The log in memory: a snapshot's position and the entries after it.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::Members;

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// A command of the state machine, encoded.
    Command(ByteBuf),
    /// The membership from here on.
    Members(Members),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Returns the bytes of its command.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Command(bytes) => bytes.len(),
            Payload::Noop | Payload::Members(_) => 0,
        }
    }
}

/// The state machine at one position of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Membership at that index.
    pub members: Members,
    /// The state, encoded; shared, because it may be large.
    pub data: Arc<ByteBuf>,
}

/// Entries after a base position.
#[derive(Clone, Debug, Default)]
pub struct Log {
    base_index: u64,
    base_term: u64,
    base_members: Members,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log that starts after `snapshot`.
    pub fn after(snapshot: &Snapshot) -> Log {
        Log {
            base_index: snapshot.index,
            base_term: snapshot.term,
            base_members: snapshot.members.clone(),
            entries: VecDeque::new(),
        }
    }

    /// The position before the first entry.
    pub fn base(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Term at `index`, or `None` where the log does not reach.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// At most `limit` entries from `index` on, and at most `bytes` in their commands; a larger one is alone.
    pub fn slice(&self, index: u64, limit: usize, bytes: usize) -> Vec<Entry> {
        let Some(offset) = index.checked_sub(self.base_index + 1) else { return Vec::new() };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            let is_first = size == 0;
            size += entry.size().max(1);
            is_first || size <= bytes
        };
        self.entries.iter().skip(offset as usize).take(limit).take_while(fits).cloned().collect()
    }

    /// Appends an entry that follows the last one.
    ///
    /// # Panics
    /// When the entry leaves a gap: that is a defect of the caller.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "an entry must follow the last one");
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Drops entries up to `index`, which becomes the base.
    pub fn compact(&mut self, index: u64) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else { return };
            self.base_index = entry.index;
            self.base_term = entry.term;
            if let Payload::Members(members) = entry.payload {
                self.base_members = members;
            }
        }
    }

    /// The membership in force at `index`, and where it was appended.
    pub fn members_at(&self, index: u64) -> (u64, &Members) {
        for entry in self.entries.iter().rev() {
            if entry.index > index {
                continue;
            }
            if let Payload::Members(members) = &entry.payload {
                return (entry.index, members);
            }
        }
        (self.base_index, &self.base_members)
    }
}
