//! Effects: the outputs of the reducer, carried out by its caller.

use std::time::Duration;

use rudder_events::What;
use rudder_ledger::Changed;
use rudder_model::{EndpointId, InstanceId, Refusal, RequestId};
use rudder_replica::{Record, Snapshot};

use crate::{
    DutyCall, PeerMessage,
    duties::Fence,
    origins::{Evidence, Origin, StreamOrigin},
    permits::PermitAnswer,
};

/// An output of the reducer.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another instance; it may be lost.
    Send {
        /// The recipient.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Append records to the data folder; answered by [`crate::Event::Saved`] once they are durable.
    Save {
        /// Sequence number of the save.
        number: u64,
        /// The records to append.
        records: Vec<Record>,
    },
    /// Replace the content of the data folder; answered by [`crate::Event::Saved`] once it is durable.
    SaveSnapshot {
        /// Sequence number of the save.
        number: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// The records after it.
        records: Vec<Record>,
    },
    /// Instruct the thread that serves the caller.
    Verdict {
        /// The request.
        request: RequestId,
        /// The instruction.
        verdict: Verdict,
    },
    /// Answer an operator.
    Admin {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The answer; `None` if the outcome is unknown and the change must be submitted again.
        answer: Option<Changed>,
    },
    /// Answer the operator who submitted a document.
    Documented {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The version in force; `None` if the outcome is unknown.
        version: Option<u64>,
    },
    /// Answer the operator who ordered an evacuation or its end.
    Evacuated {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The order is committed; otherwise the outcome is unknown and it must be submitted again.
        decided: bool,
    },
    /// Answer an endpoint's heartbeat.
    Registered {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The heartbeat was recorded and, if it announces a departure, that is committed.
        accepted: bool,
    },
    /// Answers [`Event::AskOrigin`](crate::Event::AskOrigin).
    OriginFound {
        /// The ticket of the question.
        ticket: u64,
        /// What began the stream.
        origin: Origin,
        /// What the answer rests on.
        evidence: Evidence,
    },
    /// Append what began streams to the data folder. Nothing waits for it, and it need not be synced.
    NoteOrigins(Vec<StreamOrigin>),
    /// Answer a permit request for an endpoint with a rate limit.
    Permitted {
        /// Identifies the request.
        ticket: u64,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Poll an endpoint's load and cache events.
    Poll {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: String,
        /// Number of the first cache event not seen yet.
        after: u64,
    },
    /// Order an endpoint to load something.
    Order {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: String,
        /// What to load.
        load: String,
        /// Term and counter; an endpoint that checks fences rejects a lower one.
        fence: (u64, u64),
        /// Time after which the order must not be sent.
        until: Duration,
    },
    /// Make a call on behalf of a duty. The lease must be checked again right before sending.
    Call {
        /// Identifies the call.
        ticket: u64,
        /// Its fence.
        fence: Fence,
        /// Age of the reported information.
        age: Duration,
        /// The call.
        call: DutyCall,
    },
    /// Write a log event.
    Log(What),
    /// End the process: a planned stop is complete.
    Exit,
}

/// Instruction for the thread that serves a caller.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Refuse the request.
    Refuse(Refusal),
    /// Answer with a stored answer.
    Stored(Stored),
    /// Stop the request at the engine and report its progress; another verdict follows.
    Recall,
    /// Release the held end of the answer to the caller.
    Release,
}

/// Where and how to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: String,
    /// Tier of the class, for the engine's own priorities.
    pub tier: u8,
    /// Number of output events that the caller has already received; the engine resumes after them.
    pub resume: u32,
    /// The request must not be repeated, so it needs a new connection.
    pub once: bool,
}

/// An answer stored for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Body.
    pub body: Vec<u8>,
}
