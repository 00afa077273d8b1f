//! Choice of the endpoint for one request.
//!
//! Plain services: [`plain`]. Engines: [`engine`].

mod engine;
mod plain;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rudder_core::{Phase, Registration};
use rudder_model::{EndpointId, HallId};

use self::engine::Request;
use crate::{
    Plan, Policy,
    balance::Balance,
    dialect::Prompt,
    health::Health,
    lanes::{self, Lanes},
    plan::Route,
    reading::Reading,
};

/// What a choice rests on.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// All endpoints known.
    pub endpoints: &'a [Registration],
    /// Work under way.
    pub balance: &'a Balance,
    /// How old the others' part of it is.
    pub work_age: Duration,
    /// Outcomes.
    pub health: &'a Health,
    /// How fast engines read.
    pub reading: &'a Reading,
    /// This instance's hall.
    pub hall: &'a HallId,
    /// The configuration.
    pub plan: &'a Plan,
    /// Settings of the decisions.
    pub policy: &'a Policy,
    /// Now.
    pub now: Instant,
}

/// An endpoint that keeps a copy of a running request's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keeper {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it is.
    pub address: Arc<str>,
    /// Requests it works on at once.
    pub slots: u32,
}

/// A choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
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
    pub keeper: Option<Keeper>,
    /// Address of the engine from which it takes what that keeps of the prompt.
    pub fetch_from: Option<Arc<str>>,
}

/// The service that a request goes to first, by weight; `draw` is uniform over all values.
pub fn service_of(route: &Route, draw: u64) -> Option<&Arc<str>> {
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

/// Picks an endpoint of `service` for a request of `route` that is not among `tried`.
pub fn choose(
    inputs: &Inputs,
    route: &Route,
    service: &str,
    prompt: Option<&Prompt>,
    tried: &[EndpointId],
) -> Option<Choice> {
    let candidates = to_candidates(inputs, service, tried);
    let engine = inputs.plan.services.get(service).and_then(|service| service.engine);
    match (engine, prompt) {
        (Some(engine), Some(prompt)) => {
            let lanes = to_lanes(inputs, service, candidates);
            Request::new(inputs, route, service, engine, prompt).choose(&lanes)
        }
        _ => plain::choose(inputs, &candidates),
    }
}

/// Endpoints that are known to be well; where none is, those that have only gone quiet or failed of late.
fn to_candidates<'a>(inputs: &Inputs<'a>, service: &str, tried: &[EndpointId]) -> Vec<&'a Registration> {
    let fits = |endpoint: &&Registration| *endpoint.service == *service && !tried.contains(&endpoint.endpoint);
    let of_service: Vec<&Registration> = inputs.endpoints.iter().filter(fits).collect();
    let well = |endpoint: &&Registration| {
        endpoint.phase == Phase::Ready && !inputs.health.is_ejected(&endpoint.endpoint, inputs.now)
    };
    let candidates: Vec<&Registration> = of_service.iter().copied().filter(well).collect();
    if !candidates.is_empty() {
        return candidates;
    }
    of_service.into_iter().filter(|endpoint| endpoint.phase <= Phase::Silent).collect()
}

/// The engines that a request may go to, divided where the service has quick routes beside others.
fn to_lanes<'a>(inputs: &Inputs<'a>, service: &str, candidates: Vec<&'a Registration>) -> Lanes<'a> {
    let policy = &inputs.policy.lanes;
    if !policy.enabled || lanes::quick_bound(policy, inputs.plan, service, inputs.reading).is_none() {
        return Lanes { quick: Vec::new(), bulk: candidates };
    }
    lanes::divide(policy, candidates, service, inputs.balance)
}

fn to_choice(inputs: &Inputs, chosen: &Registration, unread: u32) -> Choice {
    let work = inputs.balance.at(&chosen.endpoint);
    Choice {
        endpoint: chosen.endpoint.clone(),
        address: chosen.address.clone(),
        service: chosen.service.clone(),
        calls: work.calls,
        ahead: work.unread,
        unread,
        keeper: None,
        fetch_from: None,
    }
}
