//! Permits to send to endpoints that name a rate limit.
//!
//! The limit applies to all instances together, so one of them, the holder, grants the permits. Rendezvous hashing selects
//! it among the instances of the endpoint's hall, which are reached over the same links. The state is soft. A holder grants
//! only while the others list it as live, and a new one starts without permits, so that both together stay within the
//! limit. Two holders grant at the same time only after an instance has joined, until all instances list it. Without an
//! answer of the holder nothing is sent.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{EndpointTag, HallId, InstanceId, id};
use rudder_route::rate_limit::{RateLimiter, Tier};
use serde::{Deserialize, Serialize};

use crate::{Effect, Me, Options, PeerMessage, delta_map::Version, limits::LimitReport, view::View};

/// How long to wait for the holder's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before the next request for the endpoint if no answer came.
const RETRY_AFTER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next request if the receiver isn't the holder; the instance lists agree after about this time.
const RETRY_AFTER_NOT_HOLDER: Duration = Duration::from_millis(100);
/// How long the limiter of an endpoint is kept after the last request for it.
const RETENTION: Duration = Duration::from_secs(60);

/// Asks the holder whether requests may be sent to an endpoint that has a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The limit as known to the requester.
    pub limit: LimitReport,
    /// The endpoint's hall.
    pub hall: HallId,
    /// Priority of the request; 0 is the highest.
    pub tier: Tier,
    /// Number of permits wanted: the requests that the requester recently sent to the endpoint, at least one.
    pub wanted: u32,
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
    limiter: RateLimiter,
    last_request: Duration,
}

/// Permits requested and granted by one instance.
#[derive(Debug, Default)]
pub struct Permits {
    /// Deadlines of the requests in flight, by ticket.
    pending: BTreeMap<u64, Duration>,
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
        let Some(holder) = self.holder(view, &request) else {
            out.push(Effect::Permitted { ticket, answer: PermitAnswer::Denied(RETRY_AFTER_TIMEOUT) });
            return;
        };
        self.pending.insert(ticket, now + ANSWER_TIMEOUT);
        let message = PeerMessage::AskPermit { ticket, start: me.start, request };
        out.push(Effect::Send { to: holder, message });
    }

    /// Answers a request, as the holder.
    pub(crate) fn answer(
        &mut self,
        now: Duration,
        me: &Me,
        view: &View,
        options: &Options,
        request: &PermitRequest,
    ) -> PermitAnswer {
        let is_holder = self.holder(view, request).is_some_and(|holder| holder == me.name);
        // Others may have dropped this instance from their lists and use another holder.
        if !is_holder || !view.is_listed(now, options.liveness_timeout) {
            return PermitAnswer::Denied(RETRY_AFTER_NOT_HOLDER);
        }
        let wanted = request.wanted.max(1);
        let Some(rate) = view.limits.rate(request.limit.endpoint) else { return PermitAnswer::Granted(wanted) };
        let endpoint = self.limiters.entry(request.limit.endpoint).or_default();
        endpoint.last_request = now;
        match endpoint.limiter.try_take(now, rate, request.tier, wanted) {
            Ok(count) => PermitAnswer::Granted(count),
            Err(retry) => PermitAnswer::Denied(retry),
        }
    }

    /// Records the holder's answer. An answer after the timeout is dropped.
    pub(crate) fn on_answer(&mut self, ticket: u64, answer: PermitAnswer, out: &mut Vec<Effect>) {
        if self.pending.remove(&ticket).is_some() {
            out.push(Effect::Permitted { ticket, answer });
        }
    }

    /// Denies requests that the holder didn't answer in time, and drops unused limiters.
    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.limiters.retain(|_, endpoint| now < endpoint.last_request + RETENTION);
        self.pending.retain(|ticket, deadline| {
            let is_pending = now < *deadline;
            if !is_pending {
                out.push(Effect::Permitted { ticket: *ticket, answer: PermitAnswer::Denied(RETRY_AFTER_TIMEOUT) });
            }
            is_pending
        });
    }

    fn holder(&mut self, view: &View, request: &PermitRequest) -> Option<InstanceId> {
        let version = view.directory.version();
        if self.holders_version != version {
            self.holders.clear();
            self.holders_version = version;
        }
        let endpoint = request.limit.endpoint;
        if let Some(holder) = self.holders.get(&endpoint) {
            return Some(holder.clone());
        }
        let holder = find_holder(view, endpoint, &request.hall)?;
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
