//! Permits to send to endpoints that name a rate limit.
//!
//! The limit holds over all instances, so one of them, the holder, grants each request: among the instances of the endpoint's
//! own hall, which are reached over the same links as it, the one that a hash names. The state is soft. A holder grants only
//! while the others list it as live, and a new one starts with nothing to grant, so that what both grant adds up to no more than
//! the limit. Only where an instance is new do two grant at once, until all have it on their lists. Where the holder does not
//! answer, nothing is sent.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{EndpointTag, HallId, InstanceId, id};
use rudder_route::rate_limit::{RateLimiter, Tier};
use serde::{Deserialize, Serialize};

use crate::{Effect, Me, Options, PeerMessage, delta_map::Version, limits::LimitReport, view::View};

/// The holder's answer is waited for this long.
const ANSWER: Duration = Duration::from_millis(150);
/// Where it did not come, the endpoint is asked for again after this long.
const NO_ANSWER: Duration = Duration::from_millis(500);
/// Where the one asked does not hold the endpoint by its own list of instances, the lists agree after about this long.
const NOT_HELD: Duration = Duration::from_millis(100);
/// What an endpoint was granted is forgotten when nobody has asked for it for this long.
const KEEP: Duration = Duration::from_secs(60);

/// Asks the holder whether requests may be sent to an endpoint that has a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// What the asker knows of the limit.
    pub limit: LimitReport,
    /// The endpoint's hall.
    pub hall: HallId,
    /// How urgent the request is; 0 is the most urgent.
    pub tier: Tier,
    /// Requests that the asker sent to the endpoint of late, and one at least: about what it will send while permits hold.
    pub wanted: u32,
}

/// The answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// So many requests may be sent now.
    Granted(u32),
    /// None may be sent before this time has passed.
    Denied(Duration),
}

/// What a holder has granted of one endpoint.
#[derive(Debug, Default)]
struct Held {
    limiter: RateLimiter,
    asked: Duration,
}

/// Permits wanted and granted by one instance.
#[derive(Debug, Default)]
pub struct Permits {
    /// Until when answers are waited for, by ticket.
    waiting: BTreeMap<u64, Duration>,
    held: BTreeMap<EndpointTag, Held>,
    /// Holders by endpoint, as of a version of the list of instances.
    holders: BTreeMap<EndpointTag, InstanceId>,
    listed: Version,
}

impl Permits {
    /// Asks the holder for a permit.
    pub(crate) fn ask(
        &mut self,
        now: Duration,
        me: &Me,
        view: &View,
        (ticket, request): (u64, PermitRequest),
        out: &mut Vec<Effect>,
    ) {
        let Some(holder) = self.holder(view, &request) else {
            out.push(Effect::Permitted { ticket, answer: PermitAnswer::Denied(NO_ANSWER) });
            return;
        };
        self.waiting.insert(ticket, now + ANSWER);
        let message = PeerMessage::AskPermit { ticket, start: me.start, request };
        out.push(Effect::Send { to: holder, message });
    }

    /// Answers as the holder.
    pub(crate) fn answer(
        &mut self,
        now: Duration,
        me: &Me,
        view: &View,
        options: &Options,
        request: &PermitRequest,
    ) -> PermitAnswer {
        let is_holder = self.holder(view, request).is_some_and(|holder| holder == me.name);
        // Once the others may have dropped this instance from their lists, another one is the holder.
        if !is_holder || !view.is_listed(now, options.liveness_timeout) {
            return PermitAnswer::Denied(NOT_HELD);
        }
        let wanted = request.wanted.max(1);
        let Some(rate) = view.limits.rate(request.limit.endpoint) else { return PermitAnswer::Granted(wanted) };
        let held = self.held.entry(request.limit.endpoint).or_default();
        held.asked = now;
        match held.limiter.try_take(now, rate, request.tier, wanted) {
            Ok(count) => PermitAnswer::Granted(count),
            Err(retry) => PermitAnswer::Denied(retry),
        }
    }

    /// Records the holder's answer. One that nobody waits for any more is dropped.
    pub(crate) fn on_answer(&mut self, ticket: u64, answer: PermitAnswer, out: &mut Vec<Effect>) {
        if self.waiting.remove(&ticket).is_some() {
            out.push(Effect::Permitted { ticket, answer });
        }
    }

    /// Denies what the holder did not answer in time; forgets endpoints that nobody asks for.
    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.held.retain(|_, held| now < held.asked + KEEP);
        self.waiting.retain(|ticket, until| {
            let waits = now < *until;
            if !waits {
                out.push(Effect::Permitted { ticket: *ticket, answer: PermitAnswer::Denied(NO_ANSWER) });
            }
            waits
        });
    }

    fn holder(&mut self, view: &View, request: &PermitRequest) -> Option<InstanceId> {
        let listed = view.directory.version();
        if self.listed != listed {
            self.holders.clear();
            self.listed = listed;
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
    let senders = || view.directory.values().filter(|listing| listing.takes_callers());
    let near = senders().filter(|listing| listing.hall == *hall);
    let weight = |name: &InstanceId| id::rendezvous_key(key, id::node_key(name));
    let holder = near.max_by_key(|listing| weight(&listing.name));
    let holder = holder.or_else(|| senders().max_by_key(|listing| weight(&listing.name)));
    holder.map(|listing| listing.name.clone())
}
