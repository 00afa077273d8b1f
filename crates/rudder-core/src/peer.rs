//! Messages between instances. Any of them may be lost, doubled, late or out of order.

use std::time::Duration;

use rudder_ledger::{Answer, Attempt, Command, Delta, Document};
use rudder_model::{EndpointId, HallId, InstanceId, ModelId, Refusal, RequestId, Start};
use rudder_replica::{Envelope, Members, ReplicaId};
use rudder_route::{Ask, Ending, Holding};
use serde::{Deserialize, Serialize};

use crate::registry::{Registration, RegistryNews};

/// A live instance, as the leader lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its name.
    pub name: InstanceId,
    /// Its hall.
    pub hall: HallId,
    /// Where callers reach it; `None` where it takes none.
    pub address: Option<String>,
    /// Number of its start.
    pub start: Start,
    /// It is in a planned stop.
    pub stopping: bool,
    /// Its replica's id, where it has a disk.
    pub replica: Option<ReplicaId>,
}

impl Listing {
    /// True while callers may be sent to it.
    pub fn takes_callers(&self) -> bool {
        self.address.is_some() && !self.stopping
    }
}

/// A question to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Counts the sender's questions.
    pub round: u64,
    /// Who asks.
    pub listing: Listing,
    /// Configuration index it holds.
    pub index: u64,
    /// Directory version it holds.
    pub directory: u64,
    /// Version of the configuration document it holds; 0 for none.
    pub document: u64,
    /// Registry version it holds.
    pub registry: u64,
    /// Heartbeats of endpoints that it heard and the leader has not yet confirmed.
    pub heard: Vec<Registration>,
    /// Work it has under way at endpoints, where it is not nothing.
    pub loads: Vec<Load>,
}

/// The answer of a leader with a valid lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watched {
    /// The round answered.
    pub round: u64,
    /// Configuration index in the question.
    pub asked: u64,
    /// Configuration index that the deltas lead to.
    pub index: u64,
    /// The deltas lead to all there is.
    pub complete: bool,
    /// Objects changed since.
    pub deltas: Vec<Delta>,
    /// The directory with its version, where it is a newer one.
    pub directory: Option<(u64, Vec<Listing>)>,
    /// Version of the newest configuration document. An asker that does not hold it has no proof.
    pub newest: u64,
    /// The configuration document, where it is a newer one and not on its way already.
    pub document: Option<Document>,
    /// What the asker lacks of the registry.
    pub registry: Option<RegistryNews>,
    /// Work under way at endpoints by all other instances together.
    pub loads: Vec<Load>,
}

/// Work under way at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests sent and not yet ended.
    pub calls: u32,
    /// Prompt tokens sent whose first output has not come.
    pub unread: u32,
    /// Tokens of memory that its requests may need, prompts and answers together.
    pub held: u32,
    /// Requests that ended of late.
    pub ended: u32,
    /// Of these, requests that failed by the endpoint.
    pub failed: u32,
}

impl Load {
    /// No work at `endpoint`.
    pub fn none(endpoint: EndpointId) -> Load {
        Load { endpoint, calls: 0, unread: 0, held: 0, ended: 0, failed: 0 }
    }

    /// True where there is nothing to tell.
    pub fn is_none(&self) -> bool {
        self.calls == 0 && self.ended == 0
    }
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between replicas.
    Replica(Envelope),
    /// Asks whether the receiver knows a log already founded.
    Founding {
        /// The sender's replica id.
        replica: ReplicaId,
        /// The founding members, where the sender knows them.
        members: Option<Members>,
        /// The sender wants an answer.
        ask: bool,
    },
    /// Reports that the sender lives, and asks for newer configuration.
    Watch(Box<Watch>),
    /// Answers [`PeerMessage::Watch`], from a leader with a valid lease.
    Watched(Box<Watched>),
    /// From the leader: there is news, ask now rather than at the next turn.
    Nudge,
    /// Answers a question or proposal that only the leader can answer.
    Elsewhere {
        /// The leader, where one is known.
        leader: Option<InstanceId>,
    },
    /// Proposes a command.
    Propose {
        /// Counts the sender's proposals.
        ticket: u64,
        /// The sender's start.
        start: Start,
        /// The command.
        command: Command,
    },
    /// Answers a proposal, once it is committed and applied.
    Proposed {
        /// The ticket.
        ticket: u64,
        /// The start of the proposer.
        start: Start,
        /// The answer.
        answer: Answer,
    },
    /// Asks whether an attempt that holds a claim still lives.
    Attempt {
        /// The key claimed.
        key: String,
        /// The attempt.
        attempt: Attempt,
    },
    /// To the home of a pool.
    ToPool {
        /// The pool's hall.
        hall: HallId,
        /// The pool's model or service.
        model: ModelId,
        /// The message.
        message: ToPool,
    },
    /// From the home of a pool to an entry whose digest does not fit: send all that is held.
    Resync {
        /// The pool's hall.
        hall: HallId,
        /// The pool's model or service.
        model: ModelId,
    },
    /// From the home of a pool to the entry of a request.
    FromPool {
        /// The request.
        request: RequestId,
        /// The message.
        message: FromPool,
    },
}

/// From an entry to the home of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPool {
    /// Wants a slot.
    Ask(Ask),
    /// The caller left, or another pool serves the request.
    Withdraw(RequestId),
    /// The first token came.
    First(RequestId, Duration),
    /// A grant ended.
    End(RequestId, Ending),
    /// Digest of the grants that the entry holds in this pool: sixteen bytes a second instead of all.
    Digest(u64),
    /// All grants that the entry holds in this pool.
    Sync(Vec<Holding>),
}

/// From the home of a pool to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPool {
    /// A slot at this endpoint.
    Grant(EndpointId, Duration),
    /// Refused.
    Refuse(Refusal),
    /// Stop it, to make room for this request.
    Recall(RequestId),
}
