//! Messages between replicas and what a replica asks of its surroundings.

use std::time::Duration;

use rudder_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{Entry, ReplicaId, Snapshot};

/// A message with its two ends; a replica passes over what is addressed to another id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender's id.
    pub from: ReplicaId,
    /// Sender's name, for the answer.
    pub name: InstanceId,
    /// Receiver's id.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
}

/// Messages between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote.
    Ballot {
        /// Term of the election.
        term: u64,
        /// Last index of the candidate's log.
        index: u64,
        /// Term of that index.
        last_term: u64,
        /// Asks only whether a vote would be given.
        pre: bool,
    },
    /// Answers a ballot.
    Vote {
        /// Term voted in.
        term: u64,
        /// Whether the vote was given.
        granted: bool,
        /// Answers a pre-vote.
        pre: bool,
    },
    /// Entries, or a heartbeat where there are none.
    Append {
        /// Leader's term.
        term: u64,
        /// Position before the first entry.
        prev: u64,
        /// Term of that position.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// When the leader sent this, by its own clock.
        round: Duration,
    },
    /// Answers an append or an install, once it is saved.
    Appended {
        /// Follower's term.
        term: u64,
        /// Whether the entries fitted.
        fits: bool,
        /// Last index that matches, or where the leader should try next.
        index: u64,
        /// Round of the message answered.
        round: Duration,
    },
    /// A snapshot, for a follower that the log no longer reaches.
    Install {
        /// Leader's term.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// When the leader sent this, by its own clock.
        round: Duration,
    },
}

impl Message {
    /// Returns the bytes of its entries or its snapshot.
    pub fn bulk_size(&self) -> usize {
        match self {
            Message::Append { entries, .. } => entries.iter().map(Entry::size).sum(),
            Message::Install { snapshot, .. } => snapshot.data.len(),
            Message::Ballot { .. } | Message::Vote { .. } | Message::Appended { .. } => 0,
        }
    }
}

/// One durable record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Term and vote.
    Hard {
        /// Current term.
        term: u64,
        /// Who got this term's vote.
        vote: Option<ReplicaId>,
    },
    /// An entry; it replaces any entry of its index and all after it.
    Entry(Entry),
    /// The instances that were to found the log, until there is one.
    Founders(Vec<InstanceId>),
}

/// What a replica asks of its surroundings, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Save these records, then report `number` as saved.
    Save {
        /// Counts the saves.
        number: u64,
        /// What to append.
        records: Vec<Record>,
    },
    /// Save this snapshot, start the log file anew with `records`, then report `number` as saved.
    SaveSnapshot {
        /// Counts the saves.
        number: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Term, vote and the entries after the snapshot.
        records: Vec<Record>,
    },
    /// Send a message; losing it is allowed.
    Send {
        /// Receiver's name.
        to: InstanceId,
        /// The message.
        envelope: Envelope,
    },
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine by this snapshot.
    Restore(Snapshot),
}
