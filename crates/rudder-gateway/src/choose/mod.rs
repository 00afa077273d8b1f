//! Choice of the endpoint for one request.
//!
//! Plain services: [`plain`]. Engines: [`engine`]. Both choose from [`candidates`], in time that does not grow with the number
//! of endpoints but for the hash of a session.

mod candidates;
mod engine;
mod plain;

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::Registration;
use rudder_model::{Born, EndpointId, HallId, RegionId};

pub use self::candidates::{CandidateCache, Candidates, Lane};
use self::engine::Request;
use crate::{
    Plan, Policy,
    backoff::Backoff,
    dialect::Prompt,
    health::Health,
    limits::RateLimits,
    loads::EndpointLoads,
    placement::Placement,
    plan::Route,
    prefill::PrefillSpeeds,
    slow_start::{Allowance, SlowStartState},
};

/// What a choice rests on.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// Work under way.
    pub loads: &'a EndpointLoads,
    /// How old the others' part of it is.
    pub work_age: Duration,
    /// Outcomes.
    pub health: &'a Health,
    /// Endpoints that want nothing.
    pub backoff: &'a Backoff,
    /// How fast engines read.
    pub prefill: &'a PrefillSpeeds,
    /// Where requests may go.
    pub placement: &'a Placement,
    /// Endpoints that are warming up.
    pub slow_start: &'a SlowStartState,
    /// Rate limits of endpoints.
    pub limits: &'a RateLimits,
    /// This instance's hall.
    pub hall: &'a HallId,
    /// The configuration.
    pub plan: &'a Plan,
    /// Settings of the decisions.
    pub policy: &'a Policy,
    /// Now.
    pub now: Moment,
}

impl Inputs<'_> {
    /// How an endpoint may be used from here while it warms up.
    pub fn allowance(&self, held: &Registration) -> Allowance {
        let warm_up = self.plan.services.get(&held.service).and_then(|service| service.warm_up);
        self.slow_start.allowance(held, warm_up, &self.policy.slow_start, self.now)
    }
}

/// Which endpoints one request may go to, of those that any may.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eligibility<'a> {
    /// Endpoints that it must not go to again.
    pub tried: &'a [EndpointId],
    /// The regions that it is bound to; `None` where it is not.
    pub residency: Option<&'a [RegionId]>,
    /// It may go to endpoints without a rate limit alone.
    pub unlimited: bool,
}

impl Eligibility<'_> {
    /// True where the request may go to `held` now.
    pub fn allows(&self, inputs: &Inputs, held: &Registration) -> bool {
        !self.tried.contains(&held.endpoint)
            && inputs.placement.allows(self.residency, &held.hall)
            && !(self.unlimited && inputs.limits.rate(&held.endpoint).is_some())
            && inputs.slow_start.has_room(&held.endpoint, inputs.allowance(held), inputs.now)
    }
}

/// An endpoint that keeps a copy of a running request's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backup {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it is.
    pub address: Arc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// When its life began, where it tells that.
    pub born: Option<Born>,
}

/// A choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When its life began, where it tells that.
    pub born: Option<Born>,
    /// Where it is.
    pub address: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Requests known to be there.
    pub calls: u32,
    /// Prompt tokens known to be unread there.
    pub ahead: u32,
    /// Prompt tokens that it will have to read for this request.
    pub unread: u32,
    /// Who shall keep a copy of the request's memory.
    pub backup: Option<Backup>,
    /// Address of the engine from which it takes what that keeps of the prompt.
    pub fetch_from: Option<Arc<str>>,
}

/// The service that a request goes to first, by weight; `draw` is uniform over all values.
pub fn pick_service(route: &Route, draw: u64) -> Option<&Arc<str>> {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut left = draw % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    None
}

/// Picks an endpoint of `service` from its `candidates` for a request of `route`, as far as it is eligible.
pub fn choose(
    inputs: &Inputs,
    route: &Route,
    service: &str,
    candidates: &Candidates,
    prompt: Option<&Prompt>,
    eligible: Eligibility,
) -> Option<Choice> {
    let engine = inputs.plan.services.get(service).and_then(|service| service.engine);
    match (engine, prompt) {
        (Some(engine), Some(prompt)) => {
            let request = Request::new(inputs, route, service, engine, prompt, eligible);
            request
                .choose(&candidates.quick, &candidates.bulk)
                .or_else(|| request.choose(&candidates.fallback, &candidates.fallback))
        }
        _ => [&candidates.bulk, &candidates.quick, &candidates.fallback]
            .into_iter()
            .find_map(|lane| plain::choose(inputs, lane, eligible)),
    }
}

fn to_choice(inputs: &Inputs, chosen: &Registration, unread: u32) -> Choice {
    let work = inputs.loads.at(&chosen.endpoint);
    Choice {
        endpoint: chosen.endpoint.clone(),
        born: chosen.born,
        address: chosen.address.clone(),
        service: chosen.service.clone(),
        calls: work.calls,
        ahead: work.unread,
        unread,
        backup: None,
        fetch_from: None,
    }
}
