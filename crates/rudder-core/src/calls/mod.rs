//! Calls: the requests whose callers are connected to this instance.
//!
//! A call is admitted, claims its idempotency key if it has one, asks the homes of its pools in turn for a slot, runs, and
//! ends. Whether a refused call is reported as "not run" is decided here, from what was sent.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_ledger::Attempt;
use rudder_model::{Class, ClassId, EndpointId, InstanceId, OrgId, Promises, Ran, RequestId};
use rudder_route::SlotRequest;

pub mod admit;
mod end;
mod slots;

pub use admit::reachable_models;

use crate::{
    Arrival, Effect, Me, Options, PeerMessage, Verdict, idempotency,
    peer::ToPool,
    propose::{Proposals, Purpose},
    reach::{self, PoolId},
    view::View,
};

/// State of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the commit of its claim, or for another attempt with its key.
    Claiming { next: Duration },
    /// Waits for a slot from the pool's home.
    Asking { home: InstanceId, sent: Duration },
    /// Runs at an endpoint.
    Running { endpoint: EndpointId, since: Duration },
    /// Holds back its answer until its end is recorded in the log.
    Finishing,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) arrival: Arrival,
    pub(crate) class_id: ClassId,
    pub(crate) class: Class,
    pub(crate) org: OrgId,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) phase: Phase,
    pub(crate) attempt: Option<Attempt>,
    /// Pools to try, in order.
    pools: Vec<PoolId>,
    /// Index of the pool in use.
    pool_index: usize,
    dispatches: u32,
    /// Tokens that the caller already has.
    produced: u32,
    /// Time from arrival to the first token or byte.
    first_output: Option<Duration>,
    /// Whether any dispatch so far may have run.
    pub(crate) ran: Ran,
    recalled: bool,
}

/// All calls of this instance.
#[derive(Debug, Default)]
pub struct Calls {
    pub(crate) open: BTreeMap<RequestId, Call>,
    pub(crate) attempts: u64,
    /// When each pool was last used.
    last_used: BTreeMap<PoolId, Duration>,
    last_sync: Duration,
}

/// The parts of the instance that calls use.
pub(crate) struct Context<'a> {
    pub(crate) now: Duration,
    pub(crate) me: &'a Me,
    pub(crate) options: &'a Options,
    pub(crate) view: &'a View,
    pub(crate) proposals: &'a mut Proposals,
    pub(crate) promises: &'a mut Promises,
    pub(crate) out: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(crate) fn is_fresh(&self) -> bool {
        self.view.is_fresh(self.now, self.options.max_proof_age)
    }

    pub(crate) fn log(&mut self, what: What) {
        self.out.push(Effect::Log(what));
    }

    pub(crate) fn verdict(&mut self, request: RequestId, verdict: Verdict) {
        self.out.push(Effect::Verdict { request, verdict });
    }

    fn send_pool(&mut self, home: InstanceId, pool: &PoolId, message: ToPool) {
        let (hall, model) = pool.clone();
        self.out.push(Effect::Send { to: home, message: PeerMessage::ToPool { hall, model, message } });
    }
}

/// A request id in hexadecimal, as in answers and events.
pub fn to_hex(request: RequestId) -> String {
    format!("{request:032x}")
}

impl Call {
    fn pool(&self) -> Option<&PoolId> {
        self.pools.get(self.pool_index)
    }

    fn to_ask(&self, context: &Context) -> Option<SlotRequest> {
        let pool = self.pool()?;
        let reach = reach::in_pool(&context.view.config, &self.class_id, &self.org, &self.arrival.model, pool);
        Some(SlotRequest {
            id: self.arrival.request,
            entry: context.me.name.clone(),
            class: self.class_id.clone(),
            tier: self.class.tier,
            org: self.org.clone(),
            model: self.arrival.model.clone(),
            limits: self.class.limits,
            prefix: self.arrival.prefix,
            once: self.class.once || self.attempt.is_some(),
            resumable: self.arrival.resumable,
            slack: (self.arrived + self.class.target).saturating_sub(context.now),
            patience: self.deadline.saturating_sub(context.now),
            reach,
        })
    }
}

impl Calls {
    /// Number of open calls.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True while `request` is open.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }

    /// True if no call is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Handles a caller's request.
    pub(crate) fn arrive(&mut self, context: &mut Context, arrival: Arrival) {
        let request = arrival.request;
        match admit::admit(context, arrival) {
            Ok(call) => {
                let (class, org, model) = (call.class_id.clone(), call.org.clone(), call.arrival.model.clone());
                context.log(What::Arrived { request: to_hex(request), class, org, model });
                let keyed = call.arrival.key.is_some();
                self.open.insert(request, call);
                if keyed {
                    idempotency::claim(self, context, request);
                } else {
                    self.ask(context, request);
                }
            }
            Err(refusal) => end::send_refusal(context, request, refusal),
        }
    }

    /// Handles the answer to a proposal: a claim, or the record of a call's end.
    pub(crate) fn on_answer(
        &mut self,
        context: &mut Context,
        purpose: &Purpose,
        standing: Option<rudder_ledger::Standing>,
    ) {
        match purpose {
            Purpose::Claim(request) => idempotency::on_claimed(self, context, *request, standing),
            Purpose::Finish(request) => {
                if self.open.remove(request).is_some() {
                    context.verdict(*request, Verdict::Release);
                }
            }
            Purpose::Admin(_)
            | Purpose::Document(_)
            | Purpose::Evacuation(_)
            | Purpose::Departure(_)
            | Purpose::Record => {}
        }
    }
}
