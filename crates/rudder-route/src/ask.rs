//! What goes into a pool and what comes out of it.

use std::{sync::Arc, time::Duration};

use rudder_model::{ClassId, EndpointId, InstanceId, Limits, ModelId, OrgId, Refusal, RequestId};
use serde::{Deserialize, Serialize};

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The request.
    pub id: RequestId,
    /// The entry instance that holds the caller.
    pub entry: InstanceId,
    /// Its class.
    pub class: ClassId,
    /// The class's tier; 0 is the highest.
    pub tier: u8,
    /// Its organisation.
    pub org: OrgId,
    /// What it calls.
    pub model: ModelId,
    /// Bounds of the organisation within the class.
    pub limits: Limits,
    /// Hash of the prompt's beginning; 0 for none.
    pub prefix: u64,
    /// Once sent it may not be sent again, so it is never preempted or retried.
    pub once: bool,
    /// Its answer can be stopped and go on later, so it may be preempted.
    pub resumable: bool,
    /// How much longer it may wait and still get its first token in time; zero once it is late.
    pub slack: Duration,
    /// How much longer it may wait.
    pub patience: Duration,
    /// Endpoints that its class and organisation reach.
    pub reach: Arc<[EndpointId]>,
}

/// What a pool decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The request may go to this endpoint.
    Grant {
        /// The request.
        request: RequestId,
        /// Who holds its caller.
        entry: InstanceId,
        /// Where it goes.
        endpoint: EndpointId,
        /// How long it waited.
        waited: Duration,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        request: RequestId,
        /// Who holds its caller.
        entry: InstanceId,
        /// Why.
        refusal: Refusal,
    },
    /// The entry should stop the request on its engine and report it as preempted.
    Recall {
        /// The request that makes room.
        request: RequestId,
        /// Who holds its caller.
        entry: InstanceId,
        /// The request it makes room for.
        cause: RequestId,
    },
    /// An endpoint gets no work for a while.
    Eject {
        /// Which.
        endpoint: EndpointId,
        /// Why.
        why: &'static str,
        /// How long.
        pause: Duration,
    },
    /// An ejected endpoint answered its probe well and is back.
    Restore {
        /// Which.
        endpoint: EndpointId,
    },
}

/// How a granted request ended, as its entry reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The whole answer went to the caller.
    Done {
        /// Tokens generated.
        tokens: u32,
        /// From dispatch to the first token or answer.
        first: Duration,
        /// From dispatch to the end.
        total: Duration,
    },
    /// The endpoint failed.
    Failed {
        /// The request may be sent again: it is known not to have run, or may be repeated and the
        /// caller has seen nothing that cannot be continued.
        retryable: bool,
        /// No connection could be made, so nothing was sent.
        unsent: bool,
        /// The endpoint turned it away and wants nothing for this long.
        #[serde(default)]
        retry_after: Option<Duration>,
    },
    /// Stopped on the engine because the pool recalled it.
    Preempted,
    /// The caller left, or the entry would not use the grant.
    Dropped,
}

/// One grant that an entry holds, as it tells a pool's home in regular reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// What was asked.
    pub request: SlotRequest,
    /// Where it runs.
    pub endpoint: EndpointId,
}
