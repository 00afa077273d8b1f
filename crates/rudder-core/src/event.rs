//! Events: the inputs of the reducer.

use std::{sync::Arc, time::Duration};

use rudder_ledger::{Change, Document, Findings};
use rudder_model::{ClassId, Digest, EndpointId, HallId, InstanceId, ModelId, RequestId};
use rudder_route::shares::WorkReport;

use crate::{
    CallOutcome, PeerMessage, Stored,
    duties::scaling::ServiceState,
    limits::LimitReport,
    origins::{StreamOrigin, StreamRoute, StreamTag},
    peer::Load,
    permits::{LoanReturn, PermitRequest},
    registry::Registration,
    usage::StartedRequest,
};

/// An input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at least ten times per second.
    Tick,
    /// A message from another instance.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// All saves up to and including this number are durable.
    Saved {
        /// The number.
        number: u64,
    },
    /// The disk is full; saves keep being retried.
    DiskFull,
    /// A caller's request arrived.
    Arrive(Box<Arrival>),
    /// The first token or byte of an answer arrived.
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
        /// How it ended.
        ended: Ended,
    },
    /// An operator submitted a change.
    Admin {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The change.
        change: Change,
    },
    /// A poll of an endpoint's load and cache events completed.
    Polled {
        /// The endpoint.
        endpoint: EndpointId,
        /// The endpoint's report; `None` if it did not answer.
        report: Option<Report>,
    },
    /// An endpoint answered an order.
    Ordered {
        /// The endpoint.
        endpoint: EndpointId,
        /// The endpoint accepted the order.
        accepted: bool,
    },
    /// An operator submitted a validated configuration document.
    PutDocument {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The document.
        document: Document,
    },
    /// An operator ordered the evacuation of a hall, whose endpoints then receive no requests, or its end.
    Evacuate {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The hall.
        hall: HallId,
        /// The evacuation begins; otherwise it ends.
        begins: bool,
    },
    /// An endpoint sent a heartbeat or announced its departure.
    Register {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The heartbeat's content.
        registration: Registration,
    },
    /// In-flight requests of this instance at endpoints.
    Loads(Vec<Load>),
    /// Recent work of this instance by organisation, for services whose capacity is short.
    Work(Vec<WorkReport>),
    /// An endpoint reported a limit in an answer to this instance.
    Limit(LimitReport),
    /// The first event of a stream that may be resumed was passed on to its caller.
    StreamBegun {
        /// What began it.
        origin: StreamOrigin,
        /// Its route.
        route: Arc<StreamRoute>,
        /// The life of the endpoint that began it, if the endpoint was asked by this instance.
        endpoint: Option<EndpointId>,
    },
    /// What began streams, as noted before this start.
    OriginsNoted(Vec<StreamOrigin>),
    /// Notes could not be written, or can be again.
    NotesLost {
        /// Number of notes lost.
        count: u64,
        /// They can be written again.
        resumed: bool,
    },
    /// Asks which version began a stream.
    AskOrigin {
        /// Identifies the question in the effect that answers it.
        ticket: u64,
        /// The stream.
        stream: StreamTag,
        /// Its route.
        route: Arc<StreamRoute>,
    },
    /// A request needs a permit for an endpoint with a limit; answered by [`crate::Effect::Permitted`].
    AskPermit {
        /// Identifies the request.
        ticket: u64,
        /// The permit request.
        request: PermitRequest,
    },
    /// A request to an endpoint that bears few rejections has ended, or such an endpoint rejected one.
    ReturnLoan(LoanReturn),
    /// State of the services that are scaled; sent a few times per second at the leader.
    Services(Vec<ServiceState>),
    /// Requests started to run at endpoints.
    RequestsStarted(Vec<StartedRequest>),
    /// Findings about contents that were being processed when endpoints failed.
    Findings(Findings),
    /// The local clock has stepped. Holds the time of day at which the instance's own time was zero, by that clock.
    ClockStepped(Duration),
    /// A call of [`crate::Effect::Call`] ended.
    CallEnded {
        /// Identifies the call.
        ticket: u64,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// A freshness proof is needed immediately.
    ProveFreshness,
    /// The settings name different instances to contact first.
    Seeds(Vec<InstanceId>),
    /// A planned stop was requested.
    Stop,
}

impl Event {
    /// Its name in logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Event::Tick => "tick",
            Event::Peer { message, .. } => message.kind(),
            Event::Saved { .. } => "saved",
            Event::Register { .. } => "heartbeat",
            _ => "other",
        }
    }
}

/// An endpoint's report of its own state, which lags behind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of requests running or queued.
    pub load: u32,
    /// What is loaded.
    pub loaded: String,
    /// Number of the first event below.
    pub first_event: u64,
    /// Evicted prefixes, in order of events.
    pub evicted: Vec<u64>,
}

/// Key of a request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The caller's `Idempotency-Key`.
    pub name: String,
    /// Digest of method, path and body.
    pub digest: Digest,
}

/// A parsed request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Hexadecimal digest of the bearer key.
    pub bearer: String,
    /// The class named by the caller.
    pub class: Option<ClassId>,
    /// The model, or the service with its prefix.
    pub model: ModelId,
    /// Idempotency key, if the request must not be repeated.
    pub key: Option<Key>,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// The answer is streamed and can be resumed where it stopped.
    pub resumable: bool,
    /// Maximum waiting time requested by the caller.
    pub patience: Option<Duration>,
}

/// How a dispatched request ended at its endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The answer is complete; with an idempotency key it is held until [`crate::Verdict::Release`].
    Done {
        /// Number of tokens generated; 0 for plain services.
        tokens: u32,
        /// Time from dispatch to the first token or byte.
        first: Duration,
        /// Time from dispatch to the end.
        total: Duration,
        /// The answer, for requests with an idempotency key.
        stored: Option<Stored>,
    },
    /// The request failed.
    Failed {
        /// At least part of the request was written to the endpoint.
        sent: bool,
        /// The endpoint refused the request.
        refused: bool,
        /// Time for which the endpoint asked for no further requests.
        retry_after: Option<Duration>,
        /// Number of output events that the caller has already received.
        produced: u32,
    },
    /// The request was stopped after [`crate::Verdict::Recall`].
    Recalled {
        /// Number of output events that the caller has already received.
        produced: u32,
    },
    /// The caller disconnected.
    Left,
}
