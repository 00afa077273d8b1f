//! Choice of the endpoint for one request.

use std::{cmp::Reverse, sync::Arc, time::Instant};

use rand::seq::IndexedRandom as _;
use rudder_core::{Phase, Registration};
use rudder_model::{EndpointId, HallId, id};

use crate::{
    Plan, Policy,
    balance::Balance,
    dialect::Prompt,
    health::Health,
    lanes::{self, Lanes, Pace},
    plan::{Engine, Route},
    reading::Reading,
};

/// Engines of the quick lane drawn by lot for a guest, the better of which takes it.
const GUEST_DRAWN: usize = 2;
/// Part of a session's tokens that its first engines by hash are taken to lack; all others lack them whole.
const MISSING: [f64; 2] = [0.0, 0.5];

/// What a choice rests on.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// All endpoints known.
    pub endpoints: &'a [Registration],
    /// Work under way.
    pub balance: &'a Balance,
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
            choose_engine(inputs, route, service, engine, prompt, &lanes)
        }
        _ => choose_plain(inputs, candidates),
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

/// The endpoint with the fewest requests; in this hall, where several have as few.
fn choose_plain(inputs: &Inputs, candidates: Vec<&Registration>) -> Option<Choice> {
    let calls = |endpoint: &Registration| inputs.balance.at(&endpoint.endpoint).calls;
    let far = |endpoint: &Registration| endpoint.hall != *inputs.hall;
    let chosen =
        candidates.into_iter().min_by_key(|endpoint| (calls(endpoint), far(endpoint), rand::random::<u32>()))?;
    Some(to_choice(inputs, chosen, 0))
}

/// The engine that has the least to read before this request's first output. A prompt's shared parts
/// are taken to be kept at one engine, which the hash of its last shared part names.
fn choose_engine(
    inputs: &Inputs,
    route: &Route,
    service: &str,
    engine: Engine,
    prompt: &Prompt,
    lanes: &Lanes,
) -> Option<Choice> {
    let policy = &inputs.policy.choice;
    let pace = lanes::pace(&inputs.policy.lanes, inputs.plan, route, service, inputs.reading);
    let (own, other) = if pace == Pace::Quick { (&lanes.quick, &lanes.bulk) } else { (&lanes.bulk, &lanes.quick) };
    let engines = if own.is_empty() { other } else { own };
    if pace == Pace::Brisk
        && let Some(guest) = choose_guest(inputs, prompt, &lanes.quick)
    {
        return Some(guest);
    }
    let homes = if policy.sessions { to_homes(prompt, engines) } else { Vec::new() };
    let source = to_source(inputs, service, engine, prompt, &homes);
    let fetches = |held: &Registration| source.is_some_and(|source| source.endpoint != held.endpoint);
    let lacked = |held: &Registration| {
        let rank = homes.iter().position(|home| *home == held.endpoint);
        let missing = rank.map_or(1.0, |rank| MISSING[rank]);
        (f64::from(prompt.session_tokens()) * missing) as u32
    };
    let stray_most = inputs.reading.tokens_in(service, route.target.mul_f64(policy.again_most));
    let cost = |held: &Registration| {
        let work = inputs.balance.at(&held.endpoint);
        let full = work.held + prompt.tokens > engine.memory;
        let ahead = u64::from(work.unread) + u64::from(work.calls) * u64::from(policy.call_cost);
        let weight = if fetches(held) { policy.fetched } else { policy.read_again };
        let again = (u64::from(lacked(held)) * u64::from(weight)).min(stray_most);
        let far = pace == Pace::Quick && held.hall != *inputs.hall;
        let extra = if full { policy.memory_cost } else { 0 } + if far { policy.far_cost } else { 0 };
        ahead + again + u64::from(extra)
    };
    let near = if pace == Pace::Quick { in_hall(inputs, engines) } else { Vec::new() };
    let drawn = draw(engines, &homes, policy.drawn).into_iter().chain(draw(&near, &[], policy.drawn));
    let chosen = drawn.min_by_key(|held| (cost(held), rand::random::<u32>()))?;
    let keepers = if engines.len() > 1 { engines } else { &lanes.bulk };
    let long = policy.copied > 0 && prompt.expected_answer() >= policy.copied;
    let copied = engine.copies && pace == Pace::Quick && long;
    let keeper = if copied { draw_keeper(keepers, chosen) } else { None };
    let fetch_from = source.filter(|_| fetches(chosen)).map(|source| source.address.clone());
    let unread = prompt.own_tokens() + if fetch_from.is_some() { 0 } else { lacked(chosen) };
    Some(Choice { keeper, fetch_from, ..to_choice(inputs, chosen, unread) })
}

/// The engines that a request may go to, divided where the service has quick routes beside others.
fn to_lanes<'a>(inputs: &Inputs<'a>, service: &str, candidates: Vec<&'a Registration>) -> Lanes<'a> {
    let policy = &inputs.policy.lanes;
    if !policy.enabled || lanes::quick_bound(policy, inputs.plan, service, inputs.reading).is_none() {
        return Lanes { quick: Vec::new(), bulk: candidates };
    }
    lanes::divide(policy, candidates, service, inputs.balance)
}

/// The engine from which another takes over the part of this prompt's session rather than read it again: the likeliest
/// to keep it.
fn to_source<'a>(
    inputs: &Inputs<'a>,
    service: &str,
    engine: Engine,
    prompt: &Prompt,
    homes: &[EndpointId],
) -> Option<&'a Registration> {
    let least = inputs.policy.choice.fetch_least;
    let quicker = engine.move_speed > inputs.reading.speed(service);
    if least == 0 || prompt.session_tokens() < least || !quicker {
        return None;
    }
    let home = homes.first()?;
    inputs.endpoints.iter().find(|held| held.endpoint == *home)
}

/// The engines that a request is weighed for: those of its session, and a few by lot. Were all weighed, all
/// instances, whose counts of each other's work are some hundred milliseconds old, would send to the same one.
fn draw<'a>(engines: &[&'a Registration], homes: &[EndpointId], count: usize) -> Vec<&'a Registration> {
    let mut drawn: Vec<&Registration> = engines.iter().copied().filter(|held| homes.contains(&held.endpoint)).collect();
    drawn.extend(engines.sample(&mut rand::rng(), count));
    drawn
}

fn in_hall<'a>(inputs: &Inputs, engines: &[&'a Registration]) -> Vec<&'a Registration> {
    engines.iter().copied().filter(|held| held.hall == *inputs.hall).collect()
}

/// Another engine than the chosen one, by lot.
fn draw_keeper(engines: &[&Registration], chosen: &Registration) -> Option<Keeper> {
    let others: Vec<&&Registration> = engines.iter().filter(|held| held.endpoint != chosen.endpoint).collect();
    let drawn = others.choose(&mut rand::rng())?;
    Some(Keeper { endpoint: drawn.endpoint.clone(), address: drawn.address.clone() })
}

/// A quick engine that has next to nothing to read, for a short prompt of a brisk route.
fn choose_guest(inputs: &Inputs, prompt: &Prompt, quick: &[&Registration]) -> Option<Choice> {
    let ahead = |held: &Registration| inputs.balance.at(&held.endpoint).unread;
    let drawn = quick.sample(&mut rand::rng(), GUEST_DRAWN).copied();
    let free = drawn.filter(|held| ahead(held) + prompt.tokens <= inputs.policy.lanes.guest_tokens);
    let chosen = free.min_by_key(|held| (ahead(held), rand::random::<u32>()))?;
    Some(to_choice(inputs, chosen, prompt.tokens))
}

/// The engines most likely to keep the parts of this prompt's session, the likeliest first.
fn to_homes(prompt: &Prompt, engines: &[&Registration]) -> Vec<EndpointId> {
    let Some(session) = prompt.session() else { return Vec::new() };
    let key = session.id.to_string();
    let mut ranked: Vec<&Registration> = engines.to_vec();
    ranked.sort_by_cached_key(|held| Reverse(id::rendezvous(&key, &held.endpoint)));
    ranked.into_iter().take(MISSING.len()).map(|held| held.endpoint.clone()).collect()
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
