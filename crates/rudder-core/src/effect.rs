//! Effects: all that an instance does, as data.

use std::time::Duration;

use rudder_events::What;
use rudder_ledger::Changed;
use rudder_model::{EndpointId, InstanceId, Refusal, RequestId};
use rudder_replica::{Record, Snapshot};

use crate::{DutyCall, PeerMessage, duties::Fence, permits::PermitAnswer};

/// Something to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message to another instance; losing it is allowed.
    Send {
        /// Who gets it.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Append records to the data folder and report when they are durable.
    Save {
        /// Counts the saves.
        number: u64,
        /// What to append.
        records: Vec<Record>,
    },
    /// Replace the data folder's content and report when it is durable.
    SaveSnapshot {
        /// Counts the saves.
        number: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// The records after it.
        records: Vec<Record>,
    },
    /// Tell the thread that holds the caller what to do.
    Verdict {
        /// The request.
        request: RequestId,
        /// What to do.
        verdict: Verdict,
    },
    /// Answer an operator.
    Admin {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The answer; `None` when the outcome is unknown and the change must be sent again.
        answer: Option<Changed>,
    },
    /// Answer the operator who sent a document.
    Documented {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The version held now; `None` when the outcome is unknown.
        version: Option<u64>,
    },
    /// Answer the operator who ordered an evacuation or its end.
    Evacuated {
        /// Identifies the waiting connection.
        ticket: u64,
        /// The log holds the order; otherwise the outcome is unknown and it must be sent again.
        decided: bool,
    },
    /// Answer an endpoint's heartbeat.
    Registered {
        /// Identifies the waiting connection.
        ticket: u64,
        /// Taken in, and where it says that the endpoint leaves, known to the leader.
        accepted: bool,
    },
    /// Answer a request that is to be sent to an endpoint with a rate limit.
    Permitted {
        /// Identifies the request.
        ticket: u64,
        /// The answer.
        answer: PermitAnswer,
    },
    /// Look at an endpoint's load and cache events.
    Poll {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it is.
        address: String,
        /// Number of the first cache event not yet seen.
        after: u64,
    },
    /// Order an endpoint to load something.
    Order {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it is.
        address: String,
        /// What to load.
        load: String,
        /// Term and count: an endpoint that checks takes no lower one.
        fence: (u64, u64),
        /// Not to be sent after this time.
        until: Duration,
    },
    /// Make a call that only the holder of a duty makes: not without looking at the lease once more right before it is
    /// sent.
    Call {
        /// Identifies the call.
        ticket: u64,
        /// Its fence.
        fence: Fence,
        /// How long ago that happened which it tells.
        age: Duration,
        /// The call.
        call: DutyCall,
    },
    /// Write an event.
    Log(What),
    /// End the process: a planned stop is complete.
    Exit,
}

/// What the thread that holds a caller does next.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Refuse it.
    Refuse(Refusal),
    /// Answer with what was stored.
    Stored(Stored),
    /// Stop it on the engine and report how far it came; another verdict follows.
    Recall,
    /// Pass the held end of the answer on.
    Release,
}

/// Where and how to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it is.
    pub address: String,
    /// The class's tier, for the engine's own priorities.
    pub tier: u8,
    /// Output events the caller already has; the engine goes on after them.
    pub resume: u32,
    /// It may not be repeated: use a connection of its own.
    pub once: bool,
}

/// An answer kept for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Body.
    pub body: Vec<u8>,
}
