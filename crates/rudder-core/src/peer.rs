//! Messages between instances. Any of them may be lost, doubled, late or out of order.

use std::time::Duration;

use rudder_ledger::{Answer, Attempt, Command, Delta, Document, Evacuations, Patch, QuarantineNews};
use rudder_model::{EndpointId, EndpointTag, HallId, InstanceId, ModelId, Refusal, RequestId, Start};
use rudder_replica::{Envelope, Members, ReplicaId};
use rudder_route::{GrantOutcome, HeldGrant, SlotRequest};
use serde::{Deserialize, Serialize};

use crate::{
    delta_map::{MapDelta, Version},
    limits::LimitReport,
    permits::{PermitAnswer, PermitRequest},
    registry::{Registration, RegistryDelta},
    subset::Scope,
    usage::{UsageAck, UsageUpdate},
};

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

/// A question to the leader, or to a relay that asks the leader itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Counts the sender's questions.
    pub round: u64,
    /// Who asks.
    pub listing: Listing,
    /// Configuration index it holds.
    pub index: u64,
    /// Directory version it holds.
    pub directory: Version,
    /// Version of the configuration document it holds; 0 for none.
    pub document: u64,
    /// Registry version it holds.
    pub registry: Version,
    /// Log index as of which it knows the contents in quarantine.
    pub quarantine: u64,
    /// Log index as of which it knows the halls that are evacuated.
    pub evacuations: u64,
    /// Heartbeats of endpoints that it heard and nobody has yet confirmed.
    pub heard: Vec<Registration>,
    /// Work under way at endpoints, its own and that of those who ask it, where it is not nothing. `None` in a
    /// question past the relay that the asker tells its work to, and where it was told shortly before.
    pub loads: Option<Vec<Load>>,
    /// What endpoints said of their rate limits to the sender and to those who ask it; told with the loads.
    pub limits: Vec<LimitReport>,
    /// Those who ask the sender, where it is a relay.
    pub group: Option<Group>,
    /// Time of day by the sender's clock; by the median of its own and its askers', where it is a relay.
    pub clock: Duration,
}

/// The instances that ask a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Changes with the members or with what they are.
    pub version: u64,
    /// The members; `None` where the receiver has said that it holds this version.
    pub members: Option<Vec<Listing>>,
}

/// The answer of a leader with a valid lease, or of a relay from what it learned of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Watched {
    /// The round answered.
    pub round: u64,
    /// Who leads.
    pub leader: InstanceId,
    /// How old the answerer's own proof was when it answered; nothing for the leader.
    pub age: Duration,
    /// Configuration index in the question.
    pub asked: u64,
    /// Configuration index that the deltas lead to.
    pub index: u64,
    /// The deltas lead to all there is.
    pub complete: bool,
    /// Objects changed since.
    pub deltas: Vec<Delta>,
    /// What the asker lacks of the directory.
    pub directory: Option<DirectoryNews>,
    /// Version of the newest configuration document. An asker that does not hold it has no proof.
    pub newest: u64,
    /// The configuration document, where it is a newer one and not on its way already.
    pub document: Option<DocumentNews>,
    /// What the asker lacks of the registry.
    pub registry: Option<RegistryDelta>,
    /// Some of what the asker lacks of the registry is not in this answer: it is on its way, or comes with the next. An asker
    /// that may lack the leave of an endpoint has no proof.
    pub pending: bool,
    /// What of the registry the asker's hall is not told of; `None` where it is told everything.
    pub scope: Option<Scope>,
    /// What the asker lacks of the contents in quarantine.
    pub quarantine: Option<QuarantineNews>,
    /// All halls that are or were evacuated, where the asker holds an older state.
    pub evacuations: Option<Evacuations>,
    /// Work under way at endpoints by all instances but the asker and those who ask it; `None` where the question told
    /// none.
    pub loads: Option<Vec<Load>>,
    /// What endpoints said of their rate limits; told with the loads.
    pub limits: Vec<LimitReport>,
    /// Version of the asker's group that the answerer holds; 0 for none.
    pub group: u64,
    /// The agreed time of day, where the answerer knows it.
    pub time: Option<Duration>,
}

impl Watched {
    fn weight(&self) -> usize {
        let document = match &self.document {
            Some(DocumentNews::Whole(document)) => document.body.len() / 100,
            _ => 0,
        };
        let directory = self.directory.as_ref().map_or(0, |news| news.entries.len());
        let registry = self.registry.as_ref().map_or(0, |news| news.entries.len());
        1 + document + directory + registry + self.loads.as_ref().map_or(0, Vec::len) + self.limits.len()
    }
}

/// A document that the receiver does not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentNews {
    /// All of it.
    Whole(Document),
    /// What differs from the one that the receiver holds.
    Patch(Patch),
}

impl DocumentNews {
    /// The document, for the holder of `held`; `None` where this is a patch of another one.
    pub fn to_document(&self, held: Option<&Document>) -> Option<Document> {
        match self {
            DocumentNews::Whole(document) => Some(document.clone()),
            DocumentNews::Patch(patch) => patch.apply(held?),
        }
    }
}

/// What an instance lacks of the directory of live instances.
pub type DirectoryNews = MapDelta<InstanceId, Listing>;

/// Work under way at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint, in short.
    pub endpoint: EndpointTag,
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
    pub fn none(endpoint: EndpointTag) -> Load {
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
    /// From whom the receiver asks: there is news, ask now rather than at the next turn.
    Notify,
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
    /// To the leader: requests that began at the sender.
    Usage(Box<UsageUpdate>),
    /// Answers [`PeerMessage::Usage`], once the log holds it.
    #[serde(rename = "UsageTaken")]
    UsageAck(UsageAck),
    /// To the holder of an endpoint's rate limit: the sender wants to send to the endpoint.
    AskPermit {
        /// Counts the sender's questions.
        ticket: u64,
        /// The sender's start.
        start: Start,
        /// What is asked.
        request: PermitRequest,
    },
    /// Answers [`PeerMessage::AskPermit`].
    Permit {
        /// The ticket.
        ticket: u64,
        /// The start of the asker.
        start: Start,
        /// The answer.
        answer: PermitAnswer,
    },
}

impl PeerMessage {
    /// Entries and hundreds of bytes that it carries: about what it costs to hold until it is sent.
    pub fn weight(&self) -> usize {
        match self {
            PeerMessage::Watched(watched) => watched.weight(),
            PeerMessage::Watch(watch) => {
                watch.heard.len() + watch.loads.as_ref().map_or(0, Vec::len) + watch.limits.len()
            }
            _ => 1,
        }
    }

    /// What it is called in figures.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Replica(_) => "replica",
            PeerMessage::Founding { .. } => "founding",
            PeerMessage::Watch(_) => "watch",
            PeerMessage::Watched(_) => "watched",
            PeerMessage::Notify => "notify",
            PeerMessage::Elsewhere { .. } => "elsewhere",
            PeerMessage::Propose { .. } => "propose",
            PeerMessage::Proposed { .. } => "proposed",
            PeerMessage::Attempt { .. } => "attempt",
            PeerMessage::ToPool { .. } => "to_pool",
            PeerMessage::Resync { .. } => "resync",
            PeerMessage::FromPool { .. } => "from_pool",
            PeerMessage::Usage(_) => "usage",
            PeerMessage::UsageAck(_) => "usage_taken",
            PeerMessage::AskPermit { .. } => "ask_permit",
            PeerMessage::Permit { .. } => "permit",
        }
    }
}

/// From an entry to the home of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPool {
    /// Wants a slot.
    Ask(SlotRequest),
    /// The caller left, or another pool serves the request.
    Withdraw(RequestId),
    /// The first token came.
    First(RequestId, Duration),
    /// A grant ended.
    End(RequestId, GrantOutcome),
    /// Digest of the grants that the entry holds in this pool: sixteen bytes a second instead of all.
    Digest(u64),
    /// All grants that the entry holds in this pool.
    Sync(Vec<HeldGrant>),
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
