//! Messages between instances. Any of them may be lost, duplicated, delayed or reordered.
//!
//! Structs are encoded by field order and enum variants by name; both are part of the wire format.

use std::{sync::Arc, time::Duration};

use rudder_ledger::{
    Answer, Attempt, Command, Delta, Document, Evacuations, Patch, QuarantineNews, Releases, Software, packing,
};
use rudder_model::{EndpointId, EndpointTag, HallId, InstanceId, ModelId, Refusal, RequestId, Start};
use rudder_replica::{Envelope, Members, ReplicaId};
pub use rudder_route::admission::LEVELS;
use rudder_route::{GrantOutcome, HeldGrant, SlotRequest, admission::Demand, shares::WorkReport};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    delta_map::{MapDelta, Version},
    limits::LimitReport,
    origins::{StreamOrigin, StreamTag},
    permits::{LoanReturn, PermitAnswer, PermitRequest},
    registry::{Registration, RegistryDelta},
    subset::Scope,
    transfer::Transfer,
    usage::{UsageAck, UsageUpdate},
};

/// An entry of the directory of live instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Its name.
    pub name: InstanceId,
    /// Its hall.
    pub hall: HallId,
    /// Address for callers; `None` if it accepts none.
    pub address: Option<String>,
    /// Number of its current start.
    pub start: Start,
    /// A planned stop is in progress.
    pub stopping: bool,
    /// Its replica id, if it has a disk.
    pub replica: Option<ReplicaId>,
}

impl Listing {
    /// Returns whether callers may be directed to it.
    pub fn takes_callers(&self) -> bool {
        self.address.is_some() && !self.stopping
    }
}

/// Asks the leader, or a relay that queries the leader itself, for updates, and carries the sender's own reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Sequence number of the sender's requests.
    pub round: u64,
    /// The sender.
    pub listing: Listing,
    /// Configuration index held by the sender.
    pub index: u64,
    /// Directory version held by the sender.
    pub directory: Version,
    /// Version of the configuration document held by the sender; 0 for none.
    pub document: u64,
    /// Registry version held by the sender.
    pub registry: Version,
    /// Log index of the quarantine state held by the sender.
    pub quarantine: u64,
    /// Log index of the evacuation state held by the sender.
    pub evacuations: u64,
    /// Log index of the sender's state of versions of endpoints' software.
    pub releases: u64,
    /// Endpoint heartbeats received by the sender and not yet confirmed by a reply.
    pub heartbeats: Vec<Registration>,
    /// Non-empty loads of the sender and of its watchers. `None` if the request bypasses the relay that the sender
    /// reports its loads to, or if they were reported recently.
    pub loads: Option<Vec<Load>>,
    /// Rate limits that endpoints reported to the sender and to its watchers; sent together with the loads.
    pub limits: Vec<LimitReport>,
    /// The sender's watchers, if it is a relay.
    pub group: Option<RelayGroup>,
    /// The sender's time of day; a relay sends the median of its own clock and its watchers' clocks.
    pub clock: Duration,
    /// Work by organisation of the sender and of its watchers, for services whose capacity is short; sent together with
    /// the loads.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<WorkReport>,
}

/// The watchers of a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayGroup {
    /// Changes whenever a member is added, removed or modified.
    pub version: u64,
    /// The members; `None` if the receiver has reported that it holds this version.
    pub members: Option<Vec<Listing>>,
}

/// The reply of a leader with a valid lease, or of a relay from its copy of the leader's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The round of the request.
    pub round: u64,
    /// The leader.
    pub leader: InstanceId,
    /// Age of the replier's own freshness proof at the time of the reply; zero for the leader.
    pub age: Duration,
    /// Configuration index in the request.
    pub requested_index: u64,
    /// Configuration index reached by applying the deltas.
    pub index: u64,
    /// The deltas reach the current configuration; otherwise more remain to be fetched.
    pub complete: bool,
    /// Objects changed since the requested index.
    pub deltas: Vec<Delta>,
    /// Directory changes since the watcher's version.
    pub directory: Option<DirectoryDelta>,
    /// Version of the current configuration document. A watcher that does not hold it has no freshness proof.
    pub latest_document: u64,
    /// The configuration document, if the watcher's is older, none was sent recently and it is small. Otherwise a
    /// [`PeerMessage::Document`] follows.
    pub document: Option<DocumentUpdate>,
    /// Registry changes since the watcher's version.
    pub registry: Option<RegistryDelta>,
    /// This reply omits some registry changes, which are in flight or follow in the next one. The watcher may be
    /// missing the departure of an endpoint, so this reply is no freshness proof.
    pub pending: bool,
    /// The part of the registry that is withheld from the watcher's hall; `None` if it receives everything.
    pub scope: Option<Scope>,
    /// Quarantine changes since the watcher's index.
    pub quarantine: Option<QuarantineNews>,
    /// All halls that are or were evacuated, if the watcher's state is older.
    pub evacuations: Option<Evacuations>,
    /// Versions of endpoints' software in service, if the watcher's state is older.
    pub releases: Option<Releases>,
    /// Loads of all instances except the watcher and its own watchers; `None` if the request carried no loads.
    pub loads: Option<Vec<Load>>,
    /// Rate limits reported by endpoints; sent together with the loads.
    pub limits: Vec<LimitReport>,
    /// Version of the watcher's group held by the replier; 0 for none.
    pub group: u64,
    /// The agreed time of day, if the replier knows it.
    pub time: Option<Duration>,
    /// Work by organisation of all instances except the watcher and its own watchers; sent together with the loads.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<WorkReport>,
}

impl WatchReply {
    fn weight(&self) -> usize {
        let document = match &self.document {
            Some(DocumentUpdate::Whole(document)) => document.body.len() / 100,
            _ => 0,
        };
        let directory = self.directory.as_ref().map_or(0, |delta| delta.entries.len());
        let registry = self.registry.as_ref().map_or(0, |delta| delta.entries.len());
        1 + document
            + directory
            + registry
            + self.loads.as_ref().map_or(0, Vec::len)
            + self.limits.len()
            + self.work.len()
    }
}

/// An update to a document that the receiver does not hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DocumentUpdate {
    /// The complete document.
    Whole(Document),
    /// The difference from the document that the receiver holds.
    Patch(Patch),
}

impl DocumentUpdate {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        match self {
            DocumentUpdate::Whole(document) => document.body.len(),
            DocumentUpdate::Patch(patch) => patch.size(),
        }
    }

    /// Returns the new document given the `held` one; `None` if this is a patch for a different document.
    pub fn to_document(&self, held: Option<&Document>) -> Option<Document> {
        match self {
            DocumentUpdate::Whole(document) => Some(document.clone()),
            DocumentUpdate::Patch(patch) => patch.apply(held?),
        }
    }
}

/// An encoded [`DocumentUpdate`], shared by all that need the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedUpdate(pub Arc<ByteBuf>);

impl PackedUpdate {
    /// Encodes an update.
    ///
    /// # Panics
    /// Panics if the update cannot be encoded, which its type rules out.
    pub fn new(update: &DocumentUpdate) -> PackedUpdate {
        let encoded = rmp_serde::to_vec(update).expect("updates hold only plain data");
        PackedUpdate(Arc::new(ByteBuf::from(packing::pack(&encoded).unwrap_or(encoded))))
    }

    /// Decodes the update; `None` if it is damaged.
    pub fn to_update(&self) -> Option<DocumentUpdate> {
        if !packing::is_packed(&self.0) {
            return rmp_serde::from_slice(&self.0).ok();
        }
        rmp_serde::from_slice(&packing::unpack(&self.0).ok()?).ok()
    }
}

/// Changes of the directory since the version that the receiver holds.
pub type DirectoryDelta = MapDelta<InstanceId, Listing>;

/// Tokens processed and the time that it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenTime {
    /// Tokens.
    pub tokens: u32,
    /// Time in milliseconds.
    pub millis: u32,
}

/// A sum of relative processing times that an endpoint has reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSum {
    /// Sum of the reported times, in percent of the usual one.
    pub percent: u32,
    /// Number of reports.
    pub reports: u32,
}

/// Figures of an endpoint that are exchanged for contended services only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDetail {
    /// Requests in flight by priority level, the most urgent first.
    pub levels: [u32; LEVELS],
    /// Output generated recently: tokens after the first event of each stream.
    pub output: TokenTime,
    /// Prompts processed recently.
    pub prefill: TokenTime,
    /// Paces that the endpoint has reported recently.
    pub pace: PaceSum,
    /// Recent demand, in the entry of a service, which is tagged as an endpoint of its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Demand>,
}

impl LoadDetail {
    /// Combines two details field by field.
    fn combine(self, other: LoadDetail, by: impl Fn(u32, u32) -> u32) -> LoadDetail {
        let time =
            |a: TokenTime, b: TokenTime| TokenTime { tokens: by(a.tokens, b.tokens), millis: by(a.millis, b.millis) };
        let mut levels = self.levels;
        for (level, other) in levels.iter_mut().zip(other.levels) {
            *level = by(*level, other);
        }
        let demand = self.demand.unwrap_or_default().combine(other.demand.unwrap_or_default(), &by);
        LoadDetail {
            levels,
            output: time(self.output, other.output),
            prefill: time(self.prefill, other.prefill),
            pace: PaceSum {
                percent: by(self.pace.percent, other.pace.percent),
                reports: by(self.pace.reports, other.pace.reports),
            },
            demand: (demand != Demand::default()).then_some(demand),
        }
    }
}

/// In-flight requests and recent failures at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Short tag of the endpoint.
    pub endpoint: EndpointTag,
    /// Requests sent that have not ended.
    pub calls: u32,
    /// Prompt tokens of requests that have not produced output yet.
    pub unread: u32,
    /// Memory in tokens that its requests may need for prompts and outputs.
    pub held: u32,
    /// Requests that ended recently.
    pub ended: u32,
    /// Recently ended requests that the endpoint failed.
    pub failed: u32,
    /// Further figures of endpoints of contended services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<Box<LoadDetail>>,
}

impl Load {
    /// Returns an empty load of `endpoint`.
    pub fn none(endpoint: EndpointTag) -> Load {
        Load { endpoint, calls: 0, unread: 0, held: 0, ended: 0, failed: 0, detail: None }
    }

    /// Returns the entry of a service.
    pub fn of_service(service: EndpointTag, demand: Demand) -> Load {
        let detail = LoadDetail { demand: Some(demand), ..LoadDetail::default() };
        Load { detail: Some(Box::new(detail)), ..Load::none(service) }
    }

    /// Returns whether this is the entry of a service, which all halls receive.
    pub fn is_of_service(&self) -> bool {
        self.detail.as_ref().is_some_and(|detail| detail.demand.is_some())
    }

    /// Returns whether there is nothing to report.
    pub fn is_none(&self) -> bool {
        self.calls == 0 && self.ended == 0 && self.detail.is_none()
    }

    /// Adds another load of the same endpoint.
    pub fn add(&mut self, other: &Load) {
        self.combine(other, u32::saturating_add);
    }

    /// Subtracts a load that is part of this one.
    pub fn subtract(&mut self, part: &Load) {
        self.combine(part, u32::saturating_sub);
    }

    fn combine(&mut self, other: &Load, by: impl Fn(u32, u32) -> u32) {
        self.calls = by(self.calls, other.calls);
        self.unread = by(self.unread, other.unread);
        self.held = by(self.held, other.held);
        self.ended = by(self.ended, other.ended);
        self.failed = by(self.failed, other.failed);
        let Some(other) = other.detail.as_deref() else { return };
        let detail = self.detail.as_deref().copied().unwrap_or_default().combine(*other, by);
        self.detail = (detail != LoadDetail::default()).then(|| Box::new(detail));
    }
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Carries a message between replicas.
    Replica(Envelope),
    /// Asks whether the receiver knows of a log that has already been founded.
    Founding {
        /// The sender's replica id.
        replica: ReplicaId,
        /// The founding members, if the sender knows them.
        members: Option<Members>,
        /// The sender expects an answer.
        ask: bool,
    },
    /// Reports that the sender is alive and asks for updates.
    #[serde(rename = "Watch")]
    WatchRequest(Box<WatchRequest>),
    /// Answers [`PeerMessage::WatchRequest`].
    #[serde(rename = "Watched")]
    WatchReply(Box<WatchReply>),
    /// Tells a holder what began streams.
    StreamsBegun(Vec<StreamOrigin>),
    /// Asks a holder what began a stream.
    AskOrigin {
        /// Sequence number of the sender's questions.
        ticket: u64,
        /// Number of the sender's start.
        start: Start,
        /// The stream.
        stream: StreamTag,
    },
    /// Answers [`PeerMessage::AskOrigin`].
    Origin {
        /// Ticket of the question.
        ticket: u64,
        /// Number of the questioner's start.
        start: Start,
        /// What began the stream, if the holder knows it.
        software: Option<Software>,
    },
    /// A document update that is too large for a reply, in packed form.
    Document(PackedUpdate),
    /// Part of the transfer of a large message.
    Transfer(Transfer),
    /// Sent to watchers: updates are available, so send the next watch request now.
    Notify,
    /// Answers a request or proposal that only the leader can answer.
    #[serde(rename = "Elsewhere")]
    Redirect {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// Answers a request of an instance that the leader cannot serve yet, as many others start at the same time.
    Defer {
        /// Time after which the instance is to ask again.
        after: Duration,
    },
    /// Proposes a command.
    Propose {
        /// Sequence number of the sender's proposals.
        ticket: u64,
        /// Number of the sender's start.
        start: Start,
        /// The command.
        command: Command,
    },
    /// Answers a proposal, once it is committed and applied.
    Proposed {
        /// Ticket of the proposal.
        ticket: u64,
        /// Number of the proposer's start.
        start: Start,
        /// The answer.
        answer: Answer,
    },
    /// Asks whether an attempt that holds a claim is still running.
    Attempt {
        /// The key claimed.
        key: String,
        /// The attempt.
        attempt: Attempt,
    },
    /// Sent to the home of a pool.
    ToPool {
        /// The pool's hall.
        hall: HallId,
        /// The pool's model or service.
        model: ModelId,
        /// The message.
        message: ToPool,
    },
    /// Sent by the home of a pool to an entry whose digest does not match: the entry sends all its grants.
    Resync {
        /// The pool's hall.
        hall: HallId,
        /// The pool's model or service.
        model: ModelId,
    },
    /// Sent by the home of a pool to the entry of a request.
    FromPool {
        /// The request.
        request: RequestId,
        /// The message.
        message: FromPool,
    },
    /// Reports requests started at the sender to the leader.
    Usage(Box<UsageUpdate>),
    /// Answers [`PeerMessage::Usage`] once the counts are committed.
    #[serde(rename = "UsageTaken")]
    UsageAck(UsageAck),
    /// Asks the holder of an endpoint's limit for a permit to send to the endpoint.
    AskPermit {
        /// Sequence number of the sender's permit requests.
        ticket: u64,
        /// Number of the sender's start.
        start: Start,
        /// The permit request.
        request: PermitRequest,
    },
    /// Answers [`PeerMessage::AskPermit`].
    Permit {
        /// Ticket of the permit request.
        ticket: u64,
        /// Number of the requester's start.
        start: Start,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Returns a loan to the holder of an endpoint that bears few rejections, or reports a rejection.
    ReturnLoan {
        /// Number of the sender's start.
        start: Start,
        /// The loan.
        loan: LoanReturn,
    },
}

impl PeerMessage {
    /// Approximate cost of queueing the message, in entries and hundreds of bytes.
    pub fn weight(&self) -> usize {
        match self {
            PeerMessage::WatchReply(reply) => reply.weight(),
            PeerMessage::WatchRequest(request) => {
                request.heartbeats.len()
                    + request.loads.as_ref().map_or(0, Vec::len)
                    + request.limits.len()
                    + request.work.len()
            }
            PeerMessage::Transfer(Transfer::Piece { bytes, .. }) => 1 + bytes.len() / 100,
            _ => 1,
        }
    }

    /// Returns the bytes of its content if that can be large: a document, log entries or a snapshot.
    pub fn bulk_size(&self) -> usize {
        match self {
            PeerMessage::Document(update) => update.0.len(),
            PeerMessage::Propose { command: Command::Document(document), .. } => document.body.encoded().len(),
            PeerMessage::Propose { command: Command::DocumentPatch(patch), .. } => patch.size(),
            PeerMessage::Replica(envelope) => envelope.message.bulk_size(),
            _ => 0,
        }
    }

    /// Its name in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Replica(_) => "replica",
            PeerMessage::Founding { .. } => "founding",
            PeerMessage::WatchRequest(_) => "watch",
            PeerMessage::WatchReply(_) => "watched",
            PeerMessage::StreamsBegun(_) => "streams_begun",
            PeerMessage::AskOrigin { .. } => "ask_origin",
            PeerMessage::Origin { .. } => "origin",
            PeerMessage::Document(_) => "document",
            PeerMessage::Transfer(Transfer::Piece { .. }) => "piece",
            PeerMessage::Transfer(_) => "transfer",
            PeerMessage::Notify => "notify",
            PeerMessage::Redirect { .. } => "elsewhere",
            PeerMessage::Defer { .. } => "defer",
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
            PeerMessage::ReturnLoan { .. } => "return_loan",
        }
    }
}

/// A message from an entry to the home of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPool {
    /// Requests a slot.
    Ask(SlotRequest),
    /// Withdraws a slot request: the caller disconnected, or another pool serves it.
    Withdraw(RequestId),
    /// The first token arrived this long after dispatch.
    First(RequestId, Duration),
    /// A grant ended.
    End(RequestId, GrantOutcome),
    /// Digest of the grants that the entry holds in this pool, sent instead of the full list.
    Digest(u64),
    /// All grants that the entry holds in this pool.
    Sync(Vec<HeldGrant>),
}

/// A message from the home of a pool to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromPool {
    /// Grants a slot at this endpoint after this long in the queue.
    Grant(EndpointId, Duration),
    /// Refuses the request.
    Refuse(Refusal),
    /// Preempts the request, to make room for the one named.
    Recall(RequestId),
}
