//! Events: all that can happen to an instance.

use std::time::Duration;

use rudder_ledger::{Change, Document, Findings};
use rudder_model::{ClassId, Digest, EndpointId, HallId, InstanceId, ModelId, RequestId};

use crate::{
    CallOutcome, PeerMessage, Stored, duties::scaling::ServiceState, limits::LimitReport, peer::Load,
    permits::PermitRequest, registry::Registration, usage::StartedRequest,
};

/// Anything that happens to an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; comes at least ten times a second.
    Tick,
    /// A message from another instance.
    Peer {
        /// Who sent it.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// All saves up to this number are durable.
    Saved {
        /// The number.
        number: u64,
    },
    /// The disk refuses writes; saves go on being tried.
    DiskFull,
    /// A caller's request.
    Arrive(Box<Arrival>),
    /// The first token or byte of an answer came.
    FirstOutput {
        /// The request.
        request: RequestId,
        /// Time since its dispatch.
        after: Duration,
    },
    /// A dispatched request ended at its endpoint.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        ended: Ended,
    },
    /// An operator's change.
    Admin {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The change.
        change: Change,
    },
    /// An endpoint answered a look at its load and cache events, or did not.
    Polled {
        /// The endpoint.
        endpoint: EndpointId,
        /// What it said; `None` for no answer.
        report: Option<Report>,
    },
    /// An endpoint answered an order.
    Ordered {
        /// The endpoint.
        endpoint: EndpointId,
        /// It took the order.
        accepted: bool,
    },
    /// A whole configuration, checked, from an operator.
    PutDocument {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The document.
        document: Document,
    },
    /// An operator's order that the endpoints of a hall get nothing more, or that they may again.
    Evacuate {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The hall.
        hall: HallId,
        /// It is to be evacuated; otherwise, an evacuation ends.
        begins: bool,
    },
    /// An endpoint's heartbeat or its word that it ends.
    Register {
        /// Identifies the waiting connection.
        ticket: u64,
        /// What it said.
        registration: Registration,
    },
    /// The work that this instance has under way at endpoints.
    Loads(Vec<Load>),
    /// What an endpoint said of its rate limit in an answer to this instance.
    Limit(LimitReport),
    /// A request is to be sent to an endpoint that has a rate limit; [`crate::Effect::Permitted`] answers.
    AskPermit {
        /// Identifies the request.
        ticket: u64,
        /// What is asked.
        request: PermitRequest,
    },
    /// How services stand whose engines are ordered; comes a few times a second at the leader.
    Services(Vec<ServiceState>),
    /// Requests that began to run at endpoints.
    RequestsStarted(Vec<StartedRequest>),
    /// What became of contents under which endpoints ended.
    Findings(Findings),
    /// This instance's clock has stepped: the time of day at which its own time was zero, by that clock.
    ClockStepped(Duration),
    /// A call of [`crate::Effect::Call`] ended.
    CallEnded {
        /// Which one.
        ticket: u64,
        /// How.
        outcome: CallOutcome,
    },
    /// Somebody waits for a proof of freshness: ask the leader now.
    ProveFreshness,
    /// The settings name other instances to start from.
    Seeds(Vec<InstanceId>),
    /// A planned stop was asked for.
    Stop,
}

/// What an endpoint says of itself; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests it works on or holds.
    pub load: u32,
    /// What it has loaded.
    pub loaded: String,
    /// Number of the first event below.
    pub first_event: u64,
    /// Prefixes evicted, in order of events.
    pub evicted: Vec<u64>,
}

/// Key of work that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The caller's `Idempotency-Key`.
    pub name: String,
    /// Digest of method, path and body.
    pub digest: Digest,
}

/// A caller's request, read and parsed.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Digest of the bearer key, in hexadecimal.
    pub bearer: String,
    /// The class named by the caller.
    pub class: Option<ClassId>,
    /// The model, or the service with its prefix.
    pub model: ModelId,
    /// Key of work that may not be repeated.
    pub key: Option<Key>,
    /// Hash of the prompt's beginning; 0 for none.
    pub prefix: u64,
    /// The answer is streamed and can go on where it stopped.
    pub resumable: bool,
    /// The caller asked not to wait longer than this.
    pub patience: Option<Duration>,
}

/// How a dispatched request ended at its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The whole answer is here; for keyed requests it waits for [`crate::Verdict::Release`].
    Done {
        /// Tokens generated, 0 for plain services.
        tokens: u32,
        /// From dispatch to the first token or byte.
        first: Duration,
        /// From dispatch to the end.
        total: Duration,
        /// The answer, for keyed requests.
        stored: Option<Stored>,
    },
    /// It failed.
    Failed {
        /// Something was written to the endpoint.
        sent: bool,
        /// The endpoint itself refused it.
        refused: bool,
        /// It wants nothing for this long.
        retry_after: Option<Duration>,
        /// Output events the caller already has.
        produced: u32,
    },
    /// Stopped after [`crate::Verdict::Recall`].
    Recalled {
        /// Output events the caller already has.
        produced: u32,
    },
    /// The caller left.
    Left,
}
