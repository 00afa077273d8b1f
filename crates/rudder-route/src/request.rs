//! Inputs and decisions of a pool.

use std::{sync::Arc, time::Duration};

use rudder_model::{ClassId, EndpointId, InstanceId, Limits, ModelId, OrgId, Refusal, RequestId};
use serde::{Deserialize, Serialize};

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Id of the caller's request.
    pub id: RequestId,
    /// The entry: the instance that holds the caller's connection.
    pub entry: InstanceId,
    /// Class of the request.
    pub class: ClassId,
    /// Tier of the class; 0 is the highest.
    pub tier: u8,
    /// Organisation of the caller.
    pub org: OrgId,
    /// Model or plain service that is called.
    pub model: ModelId,
    /// Limits of the organisation within the class.
    pub limits: Limits,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// The request must not be sent more than once, so it is never preempted or retried after it was sent.
    pub once: bool,
    /// The answer can be interrupted and resumed, so the request may be preempted.
    pub resumable: bool,
    /// Time left to meet the first-token target; zero once it is missed.
    pub slack: Duration,
    /// Longest time the request may wait from now.
    pub patience: Duration,
    /// Endpoints that the class and the organisation may use.
    pub reach: Arc<[EndpointId]>,
}

/// A decision of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may be sent to an endpoint.
    Grant {
        /// The granted request.
        request: RequestId,
        /// Entry of the request.
        entry: InstanceId,
        /// Endpoint that serves the request.
        endpoint: EndpointId,
        /// Time the request waited.
        waited: Duration,
    },
    /// The request is refused.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// Entry of the request.
        entry: InstanceId,
        /// Reason, and when to retry.
        refusal: Refusal,
    },
    /// The entry must stop the request on its engine and report it as preempted.
    Recall {
        /// The request to preempt.
        request: RequestId,
        /// Entry of the request.
        entry: InstanceId,
        /// The request that needs the slot.
        cause: RequestId,
    },
    /// An endpoint gets no requests for some time.
    Eject {
        /// The ejected endpoint.
        endpoint: EndpointId,
        /// Reason of the ejection.
        why: &'static str,
        /// Length of the ejection.
        pause: Duration,
    },
    /// An ejected endpoint passed its probe and gets requests again.
    Restore {
        /// The restored endpoint.
        endpoint: EndpointId,
    },
}

/// How a granted request ended, as reported by its entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The whole answer was sent to the caller.
    Done {
        /// Tokens generated.
        tokens: u32,
        /// Time from dispatch to the first token or answer.
        first: Duration,
        /// Time from dispatch to the end.
        total: Duration,
    },
    /// The endpoint failed.
    Failed {
        /// The request may be sent again: it is known not to have run, or it is repeatable and the answer can be
        /// continued where the caller's copy ends.
        retryable: bool,
        /// The connection failed, so nothing was sent.
        unsent: bool,
        /// The endpoint rejected the request and asked for no others for this long.
        #[serde(default)]
        retry_after: Option<Duration>,
    },
    /// Stopped on the engine because the pool recalled it.
    Preempted,
    /// The caller disconnected, or the entry returned the grant unused.
    Dropped,
}

/// A grant that an entry holds, as reported periodically to the instance that manages the pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The granted request.
    pub request: SlotRequest,
    /// Endpoint that serves the request.
    pub endpoint: EndpointId,
}
