//! Permits to send to endpoints that name a limit, of requests or of rejections.
//!
//! The limit applies to all instances together, so one of them, the holder, grants the permits. A permit for an endpoint
//! that bears few rejections is a loan of the room for one request, which the request returns at its end.
//!
//! Rendezvous hashing selects the holder among the instances of the endpoint's hall, which are reached over the same links.
//! The state is soft. A holder grants only while the others list it as live, and a new one starts without permits, so that
//! both together stay within the limit. Two holders grant at the same time only after an instance has joined, until all
//! instances list it. Without an answer of the holder nothing is sent.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{EndpointTag, HallId, InstanceId, Start, id};
use rudder_route::{
    concurrency_limit::ConcurrencyLimiter,
    rate_limit::{RateLimiter, Tier},
};
use serde::{Deserialize, Serialize};

use crate::{
    Effect, Me, Options, PeerMessage,
    delta_map::Version,
    limits::{LimitKind, LimitReport},
    view::View,
};

/// How long to wait for the holder's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before the next request for the endpoint if no answer came.
const RETRY_AFTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next request if the receiver isn't the holder; the instance lists agree after about this time.
const RETRY_AFTER_NOT_HOLDER: Duration = Duration::from_millis(100);
/// How long the limiter of an endpoint is kept after the last request for it.
const RETENTION: Duration = Duration::from_secs(60);

/// Asks the holder whether requests may be sent to an endpoint that has a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The limit as known to the requester.
    pub limit: LimitReport,
    /// The endpoint's hall.
    pub hall: HallId,
    /// Priority of the request; 0 is the highest.
    pub tier: Tier,
    /// Number of permits wanted: the requests that the requester recently sent to the endpoint, at least one. A loan is
    /// for one request.
    pub wanted: u32,
    /// Longest time until a loan is returned; zero for permits, which are not.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub span: Duration,
}

impl PermitRequest {
    /// The return of the loan that is asked for with `ticket`.
    pub fn to_return(&self, ticket: u64) -> LoanReturn {
        LoanReturn { ticket: Some(ticket), endpoint: self.limit.endpoint, hall: self.hall.clone(), rejected: false }
    }
}

/// Returns a loan, or reports a rejection by an endpoint that bears few.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The ticket of the permit request; `None` for a request that was sent before the limit was known.
    pub ticket: Option<u64>,
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// The endpoint's hall.
    pub hall: HallId,
    /// The endpoint rejected the request.
    pub rejected: bool,
}

/// Identifies a loan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LoanId {
    /// The borrower.
    pub(crate) borrower: InstanceId,
    /// Number of its start.
    pub(crate) start: Start,
    /// Ticket of its permit request.
    pub(crate) ticket: u64,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// This many requests may be sent now.
    Granted(u32),
    /// None may be sent for this long.
    Denied(Duration),
}

/// The permits of one endpoint, at its holder.
#[derive(Debug, Default)]
struct EndpointLimiter {
    rate: RateLimiter,
    loans: ConcurrencyLimiter<LoanId>,
    last_request: Duration,
}

/// A request to a holder that was not answered yet.
#[derive(Debug)]
struct Pending {
    deadline: Duration,
    /// Takes the loan back if the answer comes too late.
    loan: Option<LoanReturn>,
}

/// Permits requested and granted by one instance.
#[derive(Debug, Default)]
pub struct Permits {
    /// Requests in flight by ticket.
    pending: BTreeMap<u64, Pending>,
    limiters: BTreeMap<EndpointTag, EndpointLimiter>,
    /// Cached holders by endpoint.
    holders: BTreeMap<EndpointTag, InstanceId>,
    /// Directory version of the cached holders.
    holders_version: Version,
}

impl Permits {
    /// Requests permits from the holder.
    pub(crate) fn ask(
        &mut self,
        now: Duration,
        me: &Me,
        view: &View,
        (ticket, request): (u64, PermitRequest),
        out: &mut Vec<Effect>,
    ) {
        let LimitReport { endpoint, kind, .. } = request.limit;
        let Some(holder) = self.holder(view, endpoint, &request.hall) else {
            out.push(Effect::Permitted { ticket, answer: PermitAnswer::Denied(RETRY_AFTER_TIMEOUT) });
            return;
        };
        let loan = (kind == LimitKind::Rejections).then(|| request.to_return(ticket));
        self.pending.insert(ticket, Pending { deadline: now + ANSWER_TIMEOUT, loan });
        let message = PeerMessage::AskPermit { ticket, start: me.start, request };
        out.push(Effect::Send { to: holder, message });
    }

    /// Answers a request, as the holder.
    pub(crate) fn answer(
        &mut self,
        now: Duration,
        me: &Me,
        (view, options): (&View, &Options),
        loan: LoanId,
        request: &PermitRequest,
    ) -> PermitAnswer {
        let LimitReport { endpoint: tag, kind, .. } = request.limit;
        let is_holder = self.holder(view, tag, &request.hall).is_some_and(|holder| holder == me.name);
        // Others may have dropped this instance from their lists and use another holder.
        if !is_holder || !view.is_listed(now, options.liveness_timeout) {
            return PermitAnswer::Denied(RETRY_AFTER_NOT_HOLDER);
        }
        let wanted = request.wanted.max(1);
        let Some(rate) = view.limits.rate(tag, kind) else { return PermitAnswer::Granted(wanted) };
        let endpoint = self.limiters.entry(tag).or_default();
        endpoint.last_request = now;
        let granted = match kind {
            LimitKind::Requests => endpoint.rate.try_take(now, rate, request.tier, wanted),
            LimitKind::Rejections => endpoint.loans.try_lend(now, rate, (loan, request.span), request.tier).map(|()| 1),
        };
        granted.map_or_else(PermitAnswer::Denied, PermitAnswer::Granted)
    }

    /// Sends the end of a loan to the holder.
    pub(crate) fn return_loan(&mut self, me: &Me, view: &View, loan: LoanReturn, out: &mut Vec<Effect>) {
        let Some(holder) = self.holder(view, loan.endpoint, &loan.hall) else { return };
        out.push(Effect::Send { to: holder, message: PeerMessage::ReturnLoan { start: me.start, loan } });
    }

    /// Takes back a loan of `from`, as the holder.
    pub(crate) fn on_return(
        &mut self,
        now: Duration,
        view: &View,
        (from, start): (InstanceId, Start),
        loan: &LoanReturn,
    ) {
        let key = loan.ticket.map(|ticket| LoanId { borrower: from, start, ticket });
        let rejections = view.limits.rate(loan.endpoint, LimitKind::Rejections);
        match (rejections, &key) {
            (Some(rejections), _) if loan.rejected => {
                let endpoint = self.limiters.entry(loan.endpoint).or_default();
                endpoint.last_request = now;
                endpoint.loans.record_rejection(now, rejections, key.as_ref());
            }
            (_, Some(key)) => {
                if let Some(endpoint) = self.limiters.get_mut(&loan.endpoint) {
                    endpoint.loans.end(now, key);
                }
            }
            (_, None) => {}
        }
    }

    /// Records the holder's answer. An answer after the timeout is dropped.
    pub(crate) fn on_answer(&mut self, ticket: u64, answer: PermitAnswer, out: &mut Vec<Effect>) {
        if self.pending.remove(&ticket).is_some() {
            out.push(Effect::Permitted { ticket, answer });
        }
    }

    /// Denies requests that the holder didn't answer in time, and drops unused limiters.
    pub(crate) fn tick(&mut self, now: Duration, me: &Me, view: &View, out: &mut Vec<Effect>) {
        self.limiters.retain(|_, endpoint| now < endpoint.last_request + RETENTION);
        let mut loans = Vec::new();
        self.pending.retain(|ticket, pending| {
            let is_pending = now < pending.deadline;
            if !is_pending {
                out.push(Effect::Permitted { ticket: *ticket, answer: PermitAnswer::Denied(RETRY_AFTER_TIMEOUT) });
                loans.extend(pending.loan.take());
            }
            is_pending
        });
        for loan in loans {
            self.return_loan(me, view, loan, out);
        }
    }

    fn holder(&mut self, view: &View, endpoint: EndpointTag, hall: &HallId) -> Option<InstanceId> {
        let version = view.directory.version();
        if self.holders_version != version {
            self.holders.clear();
            self.holders_version = version;
        }
        if let Some(holder) = self.holders.get(&endpoint) {
            return Some(holder.clone());
        }
        let holder = find_holder(view, endpoint, hall)?;
        self.holders.insert(endpoint, holder.clone());
        Some(holder)
    }
}

fn find_holder(view: &View, endpoint: EndpointTag, hall: &HallId) -> Option<InstanceId> {
    let key = id::number_key(u64::from(endpoint));
    let candidates = || view.directory.values().filter(|listing| listing.takes_callers());
    let in_hall = candidates().filter(|listing| listing.hall == *hall);
    let weight = |name: &InstanceId| id::rendezvous_key(key, id::node_key(name));
    let holder = in_hall.max_by_key(|listing| weight(&listing.name));
    let holder = holder.or_else(|| candidates().max_by_key(|listing| weight(&listing.name)));
    holder.map(|listing| listing.name.clone())
}
