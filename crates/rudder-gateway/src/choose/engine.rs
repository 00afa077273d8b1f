//! Choice among engines: the one with the least to read before the request's first output, all else counted as tokens.
//!
//! A prompt's shared parts are taken to be kept at one engine, which the hash of its session names. Quick streams and
//! the others have lanes of their own; a quick stream goes to the others where its own engines are crowded.

use std::sync::Arc;

use rand::seq::IndexedRandom as _;
use rudder_core::Registration;

use super::{Backup, Choice, Eligibility, Inputs, Lane, to_choice};
use crate::{
    Route,
    dialect::Prompt,
    lanes,
    loads::Work,
    plan::Engine,
    policy::{ChoicePolicy, LanePolicy},
};

/// Engines drawn by lot to keep a copy, the one with fewer requests of which does.
const BACKUPS_DRAWN: usize = 2;
/// Where engines of a lane are crowded, so many times the usual number are drawn to find free ones.
const CROWDED_DRAWN: usize = 4;
/// Part of a session's tokens that its first engines by hash are taken to lack; all others lack them whole.
const MISSING: [f64; 2] = [0.0, 0.5];

/// One request that wants an engine.
pub(super) struct Request<'a> {
    inputs: &'a Inputs<'a>,
    route: &'a Route,
    service: &'a str,
    engine: Engine,
    prompt: &'a Prompt,
    /// Where it may go.
    eligible: Eligibility<'a>,
    /// It suffers from long prompts beside it.
    quick: bool,
}

/// The engines most likely to keep the parts of a request's session, the likeliest first.
struct Session {
    homes: Vec<Arc<Registration>>,
    /// Others take the session's part from them, as that is quicker than reading it again.
    fetches: bool,
}

impl<'a> Request<'a> {
    pub(super) fn new(
        inputs: &'a Inputs<'a>,
        route: &'a Route,
        service: &'a str,
        engine: Engine,
        prompt: &'a Prompt,
        eligible: Eligibility<'a>,
    ) -> Request<'a> {
        let quick = lanes::is_quick(&inputs.policy.lanes, inputs.plan, route, service, inputs.prefill);
        Request { inputs, route, service, engine, prompt, eligible, quick }
    }

    /// Picks one of the engines.
    pub(super) fn choose(&self, quick: &Lane, bulk: &Lane) -> Option<Choice> {
        let (own, other) = if self.quick { (quick, bulk) } else { (bulk, quick) };
        self.choose_in(own, other, bulk).or_else(|| self.choose_in(other, own, bulk))
    }

    fn choose_in(&self, own: &Lane, other: &Lane, bulk: &Lane) -> Option<Choice> {
        let session = self.to_session(own);
        let best = self.cheapest(self.draw(own, &session), &session)?;
        let elsewhere = self.elsewhere(best, other, &session);
        let chosen = elsewhere.unwrap_or(best);
        let fetch_from = session.source_for(chosen).map(|source| source.address.clone());
        let unread = self.unread_at(chosen, &session);
        let backups = if own.endpoints.len() > 1 { own } else { bulk };
        let backup = if self.is_copied() { self.draw_backup(backups, chosen) } else { None };
        Some(Choice { backup, fetch_from, ..to_choice(self.inputs, chosen, unread) })
    }

    fn policy(&self) -> &'a ChoicePolicy {
        &self.inputs.policy.choice
    }

    fn lanes(&self) -> &'a LanePolicy {
        &self.inputs.policy.lanes
    }

    fn work(&self, held: &Registration) -> Work {
        self.inputs.loads.at(&held.endpoint)
    }

    fn is_copied(&self) -> bool {
        let ChoicePolicy { copied, copy_speed, .. } = *self.policy();
        let cheap = self.engine.move_speed >= self.inputs.prefill.speed(self.service) * copy_speed;
        let long = copied > 0 && self.prompt.expected_answer() >= copied;
        self.engine.copies && cheap && self.quick && long
    }

    /// The engines that are weighed: those of the session and a few drawn by lot. Were all weighed, all instances,
    /// whose counts of each other's work are some hundred milliseconds old, would send to the same one.
    fn draw<'e>(&self, lane: &'e Lane, session: &'e Session) -> Vec<&'e Registration> {
        let count = self.policy().drawn + self.eligible.tried.len();
        let mut drawn: Vec<&Registration> = session.homes.iter().map(|home| &**home).collect();
        drawn.extend(lane.endpoints.sample(&mut rand::rng(), count).map(|held| &**held));
        drawn.extend(lane.warming.sample(&mut rand::rng(), count).map(|held| &**held));
        if self.quick {
            drawn.extend(lane.near.sample(&mut rand::rng(), count).map(|held| &**held));
        }
        drawn.retain(|held| self.may_take(held));
        drawn
    }

    fn may_take(&self, held: &Registration) -> bool {
        self.eligible.allows(self.inputs, held)
    }

    fn cheapest<'e>(&self, drawn: Vec<&'e Registration>, session: &Session) -> Option<&'e Registration> {
        drawn.into_iter().min_by_key(|held| (self.cost(held, session), rand::random::<u32>()))
    }

    /// What stands before the first output at an engine, and what the request does there to others, in prompt tokens.
    fn cost(&self, held: &Registration, session: &Session) -> u64 {
        let policy = self.policy();
        let work = self.work(held);
        let ahead = u64::from(work.unread) + u64::from(work.calls) * u64::from(policy.call_cost);
        let stray_most = self.inputs.prefill.tokens_in(self.service, self.route.target.mul_f64(policy.again_most));
        let again = (u64::from(self.lacked(held, session)) * u64::from(policy.read_again)).min(stray_most);
        let far = self.quick && held.hall != *self.inputs.hall;
        let full = work.held + self.prompt.tokens > self.engine.memory;
        let extra = if full { policy.memory_cost } else { 0 } + if far { policy.far_cost } else { 0 };
        ahead + again + u64::from(extra)
    }

    /// Tokens of the session's part that an engine is taken to lack.
    fn lacked(&self, held: &Registration, session: &Session) -> u32 {
        let rank = session.homes.iter().position(|home| home.endpoint == held.endpoint);
        let missing = rank.map_or(1.0, |rank| MISSING[rank]);
        (f64::from(self.prompt.session_tokens()) * missing) as u32
    }

    /// Prompt tokens that an engine will have to read for the request.
    fn unread_at(&self, held: &Registration, session: &Session) -> u32 {
        let again = if session.source_for(held).is_some() { 0 } else { self.lacked(held, session) };
        self.prompt.own_tokens() + again
    }

    /// An engine of the other lane, for a quick stream that may have to wait for a slot in its own.
    fn elsewhere<'e>(&self, best: &Registration, other: &'e Lane, session: &Session) -> Option<&'e Registration> {
        if !self.quick || !self.is_crowded(best) {
            return None;
        }
        let count = self.policy().drawn;
        let is_free = |held: &&Registration| !self.is_crowded(held) && self.may_take(held);
        let draw = |engines: &'e [Arc<Registration>]| {
            let drawn = engines.sample(&mut rand::rng(), count * CROWDED_DRAWN).map(|held| &**held);
            drawn.filter(is_free).take(count).collect::<Vec<_>>()
        };
        let mut free = draw(&other.endpoints);
        free.extend(draw(&other.near));
        if free.is_empty() {
            free.extend(other.endpoints.iter().map(|held| &**held).find(is_free));
        }
        self.cheapest(free, session)
    }

    /// True where so many slots are in use that a request may have to wait for one.
    fn is_crowded(&self, held: &Registration) -> bool {
        let overflow = self.lanes().overflow;
        overflow > 0.0 && f64::from(self.work(held).calls) >= f64::from(held.slots) * overflow
    }

    /// Another engine than the chosen one: of two drawn by lot, the one with fewer requests.
    fn draw_backup(&self, lane: &Lane, chosen: &Registration) -> Option<Backup> {
        let drawn = lane.endpoints.sample(&mut rand::rng(), BACKUPS_DRAWN + 1);
        let may_keep = |held: &&Arc<Registration>| held.endpoint != chosen.endpoint && self.may_take(held);
        let others = drawn.filter(may_keep).take(BACKUPS_DRAWN);
        let backup = others.min_by_key(|held| self.work(held).calls)?;
        Some(Backup {
            endpoint: backup.endpoint.clone(),
            address: backup.address.clone(),
            slots: backup.slots,
            born: backup.born,
        })
    }

    fn to_session(&self, lane: &Lane) -> Session {
        let least = self.policy().fetch_least;
        let quicker = self.engine.move_speed > self.inputs.prefill.speed(self.service);
        let fetches = least > 0 && self.prompt.session_tokens() >= least && quicker;
        let session = self.prompt.session().filter(|_| self.policy().sessions);
        let skips = |held: &Registration| !self.may_take(held);
        let homes = session.map(|part| lane.homes::<{ MISSING.len() }>(part.id, skips)).unwrap_or_default();
        Session { homes, fetches }
    }
}

impl Session {
    /// The engine that another one takes the session's part from: the likeliest to keep it. That one itself takes what it
    /// lacks from the next, which kept the session before engines came or left.
    fn source_for(&self, held: &Registration) -> Option<&Registration> {
        let others = self.homes.iter().map(|home| &**home).filter(|home| home.endpoint != held.endpoint);
        others.into_iter().find(|_| self.fetches)
    }
}
