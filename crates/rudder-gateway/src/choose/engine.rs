//! Choice among engines: the one with the least to read before the request's first output, all else counted as tokens.
//!
//! A prompt's shared parts are taken to be kept at one engine, which the hash of its session names. Quick streams and
//! the others have lanes of their own; a quick stream goes to the others where its own engines are crowded.

use std::cmp::Reverse;

use rand::seq::IndexedRandom as _;
use rudder_core::Registration;
use rudder_model::{EndpointId, id};

use super::{Choice, Inputs, Keeper, to_choice};
use crate::{
    Route,
    balance::Work,
    dialect::Prompt,
    lanes::{self, Lanes},
    plan::Engine,
    policy::{ChoicePolicy, LanePolicy},
};

/// Engines drawn by lot to keep a copy, the one with fewer requests of which does.
const KEEPERS_DRAWN: usize = 2;
/// Part of a session's tokens that its first engines by hash are taken to lack; all others lack them whole.
const MISSING: [f64; 2] = [0.0, 0.5];

/// One request that wants an engine.
pub(super) struct Request<'a> {
    inputs: &'a Inputs<'a>,
    route: &'a Route,
    service: &'a str,
    engine: Engine,
    prompt: &'a Prompt,
    /// It suffers from long prompts beside it.
    quick: bool,
}

/// The engines most likely to keep the parts of a request's session.
struct Session<'a> {
    /// The likeliest first.
    homes: Vec<EndpointId>,
    /// Those that others take the session's part from, where that is quicker than reading it again.
    sources: Vec<&'a Registration>,
}

impl<'a> Request<'a> {
    pub(super) fn new(
        inputs: &'a Inputs<'a>,
        route: &'a Route,
        service: &'a str,
        engine: Engine,
        prompt: &'a Prompt,
    ) -> Request<'a> {
        let quick = lanes::is_quick(&inputs.policy.lanes, inputs.plan, route, service, inputs.reading);
        Request { inputs, route, service, engine, prompt, quick }
    }

    /// Picks one of the engines.
    pub(super) fn choose(&self, lanes: &Lanes) -> Option<Choice> {
        let (own, other) = if self.quick { (&lanes.quick, &lanes.bulk) } else { (&lanes.bulk, &lanes.quick) };
        let engines = if own.is_empty() { other } else { own };
        let session = self.to_session(engines);
        let best = self.cheapest(engines, &session)?;
        let chosen = self.elsewhere(best, other, &session).unwrap_or(best);
        let fetch_from = session.source_for(chosen).map(|source| source.address.clone());
        let unread = self.unread_at(chosen, &session);
        let keepers = if engines.len() > 1 { engines } else { &lanes.bulk };
        let keeper = if self.is_copied() { self.draw_keeper(keepers, chosen) } else { None };
        Some(Choice { keeper, fetch_from, ..to_choice(self.inputs, chosen, unread) })
    }

    fn policy(&self) -> &'a ChoicePolicy {
        &self.inputs.policy.choice
    }

    fn lanes(&self) -> &'a LanePolicy {
        &self.inputs.policy.lanes
    }

    fn work(&self, held: &Registration) -> Work {
        self.inputs.balance.at(&held.endpoint)
    }

    fn is_copied(&self) -> bool {
        let ChoicePolicy { copied, copy_speed, .. } = *self.policy();
        let cheap = self.engine.move_speed >= self.inputs.reading.speed(self.service) * copy_speed;
        let long = copied > 0 && self.prompt.expected_answer() >= copied;
        self.engine.copies && cheap && self.quick && long
    }

    /// The engine that costs the least among those of the session and a few drawn by lot. Were all weighed, all
    /// instances, whose counts of each other's work are some hundred milliseconds old, would send to the same one.
    fn cheapest<'e>(&self, engines: &[&'e Registration], session: &Session) -> Option<&'e Registration> {
        let count = self.policy().drawn;
        let near = if self.quick { self.in_hall(engines) } else { Vec::new() };
        let homes = engines.iter().copied().filter(|held| session.homes.contains(&held.endpoint));
        let mut drawn: Vec<&Registration> = homes.collect();
        drawn.extend(engines.sample(&mut rand::rng(), count));
        drawn.extend(near.sample(&mut rand::rng(), count));
        drawn.into_iter().min_by_key(|held| (self.cost(held, session), rand::random::<u32>()))
    }

    fn in_hall<'e>(&self, engines: &[&'e Registration]) -> Vec<&'e Registration> {
        engines.iter().copied().filter(|held| held.hall == *self.inputs.hall).collect()
    }

    /// What stands before the first output at an engine, and what the request does there to others, in prompt tokens.
    fn cost(&self, held: &Registration, session: &Session) -> u64 {
        let policy = self.policy();
        let work = self.work(held);
        let ahead = u64::from(work.unread) + u64::from(work.calls) * u64::from(policy.call_cost);
        let stray_most = self.inputs.reading.tokens_in(self.service, self.route.target.mul_f64(policy.again_most));
        let again = (u64::from(self.lacked(held, session)) * u64::from(policy.read_again)).min(stray_most);
        let far = self.quick && held.hall != *self.inputs.hall;
        let full = work.held + self.prompt.tokens > self.engine.memory;
        let extra = if full { policy.memory_cost } else { 0 } + if far { policy.far_cost } else { 0 };
        ahead + again + u64::from(extra)
    }

    /// Tokens of the session's part that an engine is taken to lack.
    fn lacked(&self, held: &Registration, session: &Session) -> u32 {
        let rank = session.homes.iter().position(|home| *home == held.endpoint);
        let missing = rank.map_or(1.0, |rank| MISSING[rank]);
        (f64::from(self.prompt.session_tokens()) * missing) as u32
    }

    /// Prompt tokens that an engine will have to read for the request.
    fn unread_at(&self, held: &Registration, session: &Session) -> u32 {
        let again = if session.source_for(held).is_some() { 0 } else { self.lacked(held, session) };
        self.prompt.own_tokens() + again
    }

    /// An engine of the other lane, for a quick stream that may have to wait for a slot in its own.
    fn elsewhere<'e>(
        &self,
        best: &Registration,
        other: &[&'e Registration],
        session: &Session,
    ) -> Option<&'e Registration> {
        if !self.quick || !self.is_crowded(best) {
            return None;
        }
        let free: Vec<&Registration> = other.iter().copied().filter(|held| !self.is_crowded(held)).collect();
        self.cheapest(&free, session)
    }

    /// True where so many slots are in use that a request may have to wait for one.
    fn is_crowded(&self, held: &Registration) -> bool {
        let overflow = self.lanes().overflow;
        overflow > 0.0 && f64::from(self.work(held).calls) >= f64::from(held.slots) * overflow
    }

    /// Another engine than the chosen one: of two drawn by lot, the one with fewer requests.
    fn draw_keeper(&self, engines: &[&Registration], chosen: &Registration) -> Option<Keeper> {
        let others: Vec<&Registration> =
            engines.iter().copied().filter(|held| held.endpoint != chosen.endpoint).collect();
        let drawn = others.sample(&mut rand::rng(), KEEPERS_DRAWN);
        let keeper = drawn.min_by_key(|held| self.work(held).calls)?;
        Some(Keeper { endpoint: keeper.endpoint.clone(), address: keeper.address.clone(), slots: keeper.slots })
    }

    fn to_session(&self, engines: &[&'a Registration]) -> Session<'a> {
        let homes = if self.policy().sessions { to_homes(self.prompt, engines) } else { Vec::new() };
        let least = self.policy().fetch_least;
        let quicker = self.engine.move_speed > self.inputs.reading.speed(self.service);
        let fetches = least > 0 && self.prompt.session_tokens() >= least && quicker;
        let find = |home: &EndpointId| engines.iter().copied().find(|held| held.endpoint == *home);
        let sources = homes.iter().filter(|_| fetches).filter_map(find).collect();
        Session { homes, sources }
    }
}

impl<'a> Session<'a> {
    /// The engine that another one takes the session's part from: the likeliest to keep it. That one itself takes what it
    /// lacks from the next, which kept the session before engines came or left.
    fn source_for(&self, held: &Registration) -> Option<&'a Registration> {
        self.sources.iter().copied().find(|source| source.endpoint != held.endpoint)
    }
}

/// The engines most likely to keep the parts of this prompt's session, the likeliest first.
fn to_homes(prompt: &Prompt, engines: &[&Registration]) -> Vec<EndpointId> {
    let Some(session) = prompt.session() else { return Vec::new() };
    let key = session.id.to_string();
    let mut ranked: Vec<&Registration> = engines.to_vec();
    ranked.sort_by_cached_key(|held| Reverse(id::rendezvous(&key, &held.endpoint)));
    ranked.into_iter().take(MISSING.len()).map(|held| held.endpoint.clone()).collect()
}
