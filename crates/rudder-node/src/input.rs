//! What traffic threads hand to the control thread.

use std::{sync::Arc, time::Duration};

use crossbeam_channel::Sender;
use rudder_core::{Event, Listing, PeerMessage, Verdict};
use rudder_ledger::{Changed, Held};
use rudder_model::{HallId, InstanceId, Kind, ModelId, Promises, RequestId};

/// Something for the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event that nobody waits for.
    Event(Event),
    /// Messages of another instance, and where the answers to it go that are ready at once.
    Peer(InstanceId, Vec<PeerMessage>, Sender<Vec<PeerMessage>>),
    /// A caller's request, and where its verdicts go.
    Call(RequestId, Event, Sender<Verdict>),
    /// An operator's change, and where its answer goes.
    Change(rudder_ledger::Change, Sender<Option<Changed>>),
    /// An operator's order to evacuate a hall, or that its evacuation ends, and where the answer goes: the log holds it.
    Evacuate {
        /// The hall.
        hall: HallId,
        /// It is to be evacuated.
        begins: bool,
        /// Where the answer goes.
        answer: Sender<bool>,
    },
    /// A question about the state.
    Query(Query, Sender<QueryReply>),
    /// End the thread; the instance stops without a plan.
    Halt,
}

/// A question about the state.
#[derive(Clone, Debug)]
pub enum Query {
    /// Entries for callers.
    Entries,
    /// Models that the key's organisation may see.
    Models {
        /// Digest of the bearer key.
        bearer: String,
    },
    /// One object, or all of a kind.
    Objects(Kind, Option<String>),
    /// How the instance is.
    Status,
    /// How a request of this instance stands.
    Outcome(RequestId),
}

/// The answer to a [`Query`].
#[derive(Debug)]
pub enum QueryReply {
    /// Entries, and how long to keep them.
    Entries(Vec<Listing>, Duration),
    /// Models; `None` for a wrong key.
    Models(Option<Vec<ModelId>>),
    /// Objects by name, and the index of the configuration they are from.
    Objects(Vec<(String, Held)>, u64),
    /// How the instance is.
    Status(Box<Status>),
    /// How the request stands, in a word; `None` where it is not known.
    Outcome(Option<Arc<str>>),
}

/// How an instance is.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// It may start new work.
    pub ready: bool,
    /// It leads.
    pub leads: bool,
    /// Term of its replica; 0 without a disk.
    pub term: u64,
    /// Configuration index in force.
    pub index: u64,
    /// Names of the voters it knows.
    pub voters: Vec<String>,
    /// Requests of its callers under way.
    pub calls: usize,
    /// Requests waiting in the pools it decides for.
    pub waiting: usize,
    /// Requests running in the pools it decides for.
    pub running: usize,
    /// Keys held by the state machine here.
    pub keys: usize,
    /// Promises checked.
    pub promises: Promises,
}
