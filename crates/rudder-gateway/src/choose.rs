//! Choice of the endpoint for one request.

use std::{sync::Arc, time::Instant};

use rudder_core::{Phase, Registration};
use rudder_model::{EndpointId, HallId, id};

use crate::{balance::Balance, dialect::Prompt, health::Health, plan::Route};

/// Requests that an endpoint may have more than the least loaded and still be preferred for the prompt
/// parts that it keeps.
const AFFINITY_SLACK: u32 = 1;

/// What a choice rests on.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// All endpoints known.
    pub endpoints: &'a [Registration],
    /// Work under way.
    pub balance: &'a Balance,
    /// Outcomes.
    pub health: &'a Health,
    /// This instance's hall.
    pub hall: &'a HallId,
    /// Now.
    pub now: Instant,
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

/// Picks an endpoint of `service` that is not among `tried`.
pub fn choose(inputs: &Inputs, service: &str, prompt: Option<&Prompt>, tried: &[EndpointId]) -> Option<Choice> {
    let fits = |endpoint: &&Registration| *endpoint.service == *service && !tried.contains(&endpoint.endpoint);
    let of_service: Vec<&Registration> = inputs.endpoints.iter().filter(fits).collect();
    let well = |endpoint: &&Registration| {
        endpoint.phase == Phase::Ready && !inputs.health.is_ejected(&endpoint.endpoint, inputs.now)
    };
    let mut candidates: Vec<&Registration> = of_service.iter().copied().filter(well).collect();
    if candidates.is_empty() {
        // None is known to be well: one that has only gone quiet, or failed of late, may still serve.
        let usable = |endpoint: &&Registration| endpoint.phase <= Phase::Silent;
        candidates = of_service.into_iter().filter(usable).collect();
    }
    let calls = |endpoint: &Registration| inputs.balance.at(&endpoint.endpoint).calls;
    let least = candidates.iter().map(|endpoint| calls(endpoint)).min()?;
    let chosen = if let Some(part) = prompt.and_then(|prompt| prompt.parts.last()) {
        let key = part.id.to_string();
        let near = candidates.into_iter().filter(|endpoint| calls(endpoint) <= least + AFFINITY_SLACK);
        near.max_by_key(|endpoint| id::rendezvous(&key, &endpoint.endpoint))
    } else {
        let far = |endpoint: &Registration| endpoint.hall != *inputs.hall;
        candidates.into_iter().min_by_key(|endpoint| (calls(endpoint), far(endpoint), rand::random::<u32>()))
    }?;
    Some(Choice {
        endpoint: chosen.endpoint.clone(),
        address: chosen.address.clone(),
        service: chosen.service.clone(),
        calls: calls(chosen),
    })
}
