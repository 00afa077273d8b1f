//! Choice among engines: the one with the lowest cost, in prompt tokens to process before the request's first output.
//!
//! The shared prompt parts of a session are assumed to be cached at the engines that a hash of the session selects.
//! Quick streams have a lane of their own and overflow to the other lane when it is crowded.

use std::{sync::Arc, time::Duration};

use rand::seq::IndexedRandom as _;
use rudder_core::Registration;
use rudder_route::admission::{Demand, EngineRoom, Usage};

use super::{Backup, Candidates, Choice, Eligibility, Inputs, Lane, Unavailable, to_choice};
use crate::{
    Route,
    dialect::Prompt,
    lanes,
    loads::Work,
    plan::Engine,
    policy::{ChoicePolicy, LanePolicy},
};

/// Number of sampled engines from which the least loaded becomes the backup.
const BACKUP_SAMPLES: usize = 2;
/// Factor by which the sample of a lane grows when its crowded engines are to be skipped.
const OVERFLOW_SAMPLE_FACTOR: usize = 4;
/// Largest number of requests of all priorities at an engine, as a multiple of its room: its queue is short.
const MAX_CROWDING: f64 = 2.0;
/// Engines examined for room if a sample has none, so that a refusal costs the same in a lane of thousands.
const MAX_EXAMINED: usize = 128;
/// Arrivals at an engine that are not known: they may exceed any number of free slots.
const UNBOUNDED: f64 = f64::INFINITY;
/// Share of a session's tokens assumed missing from the caches of its top-ranked engines. All other engines are assumed
/// to lack them all.
const MISSING_SHARES: [f64; 2] = [0.0, 0.5];

/// A request for an engine.
pub(super) struct Request<'a> {
    pub(super) inputs: &'a Inputs<'a>,
    pub(super) route: &'a Route,
    pub(super) service: &'a str,
    pub(super) engine: Engine,
    pub(super) prompt: &'a Prompt,
    eligible: Eligibility<'a>,
    /// Number of priorities of the service above its own.
    pub(super) level: usize,
    /// Whether the stream is sensitive to the prefill of long prompts on the same engine.
    pub(super) quick: bool,
    /// Whether engines are compared by predicted times.
    timed: bool,
    /// Its service, if that is contended and uses admission.
    contended: Option<Contended>,
}

/// A contended service.
#[derive(Clone, Copy)]
struct Contended {
    /// Slots of its engines.
    slots: u32,
    /// Its engines have capacity for all requests.
    idle: bool,
    /// Recent requests of all instances.
    demand: Demand,
}

/// The engines that a session has affinity to.
pub(super) struct Affinity {
    /// Engines most likely to have the session's prompt parts cached, the likeliest first.
    pub(super) engines: Vec<Arc<Registration>>,
    /// Whether other engines fetch those parts from them, as that is faster than prefill.
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
        let level = inputs.plan.level(route, service);
        let timed = inputs.is_timed(service);
        Request { inputs, route, service, engine, prompt, eligible, level, quick, timed, contended: None }
    }

    /// Applies the admission to contended services, if the service uses it. `usage` is the work at its engines.
    pub(super) fn with_usage(mut self, usage: Usage) -> Request<'a> {
        let Inputs { loads, admission, now, .. } = *self.inputs;
        self.contended = self.inputs.uses_admission(self.service).then(|| Contended {
            slots: usage.slots,
            idle: usage.is_idle() && !admission.is_stale(now),
            demand: admission.demand(self.service, now).combine(loads.others_demand(self.service), u32::saturating_add),
        });
        self
    }

    /// Whether the service is contended and this request yields to more urgent ones, which all instances together refuse.
    pub(super) fn must_yield(&self) -> bool {
        let yields = || self.inputs.admission.yields(self.service, self.level, self.eligible.yield_draw);
        self.contended.is_some_and(|service| !service.idle && yields())
    }

    /// Whether the service is contended and this is the highest of its priorities.
    fn is_highest(&self) -> bool {
        self.contended.is_some() && self.inputs.plan.is_highest(self.route, self.service)
    }

    /// Picks an engine with room from the request's own lane, or else from the other one.
    pub(super) fn choose(&self, quick: &Lane, bulk: &Lane) -> Result<Choice, Unavailable> {
        let (own, other) = if self.quick { (quick, bulk) } else { (bulk, quick) };
        let choice = self.choose_in(own, other, bulk).or_else(|| {
            // A full lane lends its requests to the other one only if they are quick streams: long prompts would
            // delay those that the quick lane is for.
            // In a contended service, no request is refused while the other lane admits less urgent ones.
            let lends = self.quick
                || !self.has_eligible(own)
                || self.is_highest()
                || self.contended.is_some_and(|service| service.idle);
            lends.then(|| self.choose_in(other, own, bulk)).flatten()
        });
        let choice = choice.or_else(|| self.choose_between_steps(other));
        choice.ok_or_else(|| {
            let exists = self.has_eligible(own) || self.has_eligible(other);
            if exists { Unavailable::Full } else { Unavailable::Absent }
        })
    }

    /// Picks an engine of the other lane for a request that its own lane has no room for, unless it is of the lowest
    /// priority. One that processes the prompt within a single step hardly delays its streams.
    fn choose_between_steps(&self, other: &Lane) -> Option<Choice> {
        if !self.inputs.plan.has_lower(self.route, self.service) {
            return None;
        }
        let affinity = self.to_affinity(other);
        let is_free = |engine: &&Registration| {
            let unread = self.work(engine).unread.saturating_add(self.tokens_to_prefill(engine, &affinity));
            unread <= lanes::PREFILL_CHUNK_TOKENS && self.is_eligible(engine) && self.has_room(engine)
        };
        let free: Vec<_> = examined(&other.endpoints, MAX_EXAMINED).filter(is_free).take(self.policy().drawn).collect();
        let chosen = self.cheapest(free, &affinity)?;
        Some(self.complete_choice(chosen, None, &affinity, (other, other)))
    }

    fn choose_in(&self, own: &Lane, other: &Lane, bulk: &Lane) -> Option<Choice> {
        let affinity = self.to_affinity(own);
        let backups = if own.endpoints.len() > 1 { own } else { bulk };
        if self.timed {
            let estimate = self.choose_timed(own, other, &affinity)?;
            return Some(self.complete_choice(estimate.engine, Some(estimate.first), &affinity, (own, backups)));
        }
        let (chosen, lane) = self.choose_by_tokens(own, other, &affinity)?;
        Some(self.complete_choice(chosen, None, &affinity, (lane, backups)))
    }

    /// Adds to an engine chosen from `lane` what depends on the prompt: what it processes, fetches and copies.
    fn complete_choice(
        &self,
        chosen: &Registration,
        predicted: Option<Duration>,
        affinity: &Affinity,
        (lane, backups): (&Lane, &Lane),
    ) -> Choice {
        let fetch_from = affinity.source_for(chosen).map(|source| source.address.clone());
        let unread = self.tokens_to_prefill(chosen, affinity);
        let backup = if self.needs_backup() { self.sample_backup(backups, chosen) } else { None };
        let queued = self.inputs.loads.unread_at_or_above(self.level, &chosen.endpoint, self.service);
        Choice { queued, predicted, backup, fetch_from, ..to_choice(self.inputs, chosen, lane, unread) }
    }

    /// Picks an engine with room by the prompt tokens to process there. Returns its lane, too.
    fn choose_by_tokens<'e>(
        &self,
        own: &'e Lane,
        other: &'e Lane,
        affinity: &'e Affinity,
    ) -> Option<(&'e Registration, &'e Lane)> {
        let mut sample = self.sample(own, affinity);
        sample.retain(|engine| self.has_room(engine));
        if sample.is_empty() {
            sample.extend(self.find_room(own));
        }
        let best = self.cheapest(sample, affinity)?;
        Some(self.overflow(best, other, affinity).map_or((best, own), |engine| (engine, other)))
    }

    pub(super) fn policy(&self) -> &'a ChoicePolicy {
        &self.inputs.policy.choice
    }

    pub(super) fn lanes(&self) -> &'a LanePolicy {
        &self.inputs.policy.lanes
    }

    pub(super) fn work(&self, engine: &Registration) -> Work {
        self.inputs.loads.at(&engine.endpoint)
    }

    fn needs_backup(&self) -> bool {
        let ChoicePolicy { copied, copy_speed, .. } = *self.policy();
        let cheap = self.engine.move_speed >= self.inputs.prefill.speed(self.service) * copy_speed;
        let long = copied > 0 && self.prompt.expected_answer() >= copied;
        self.engine.copies && cheap && self.quick && long
    }

    /// The engines whose costs are compared: those of the session and a random sample. If all engines were compared,
    /// all instances would send to the same one until the next exchange of load reports.
    pub(super) fn sample<'e>(&self, lane: &'e Lane, affinity: &'e Affinity) -> Vec<&'e Registration> {
        let count = self.policy().drawn + self.eligible.tried.len();
        let mut sample: Vec<&Registration> = affinity.engines.iter().map(|engine| &**engine).collect();
        sample.extend(lane.endpoints.sample(&mut rand::rng(), count).map(|engine| &**engine));
        sample.extend(lane.warming.sample(&mut rand::rng(), count).map(|engine| &**engine));
        if self.quick {
            sample.extend(lane.local.sample(&mut rand::rng(), count).map(|engine| &**engine));
        }
        if self.eligible.version.is_some() {
            // A sample of all engines would often miss those of one version.
            sample
                .extend(examined(&lane.endpoints, MAX_EXAMINED).filter(|engine| self.is_eligible(engine)).take(count));
        }
        sample.retain(|engine| self.is_eligible(engine));
        sample
    }

    /// Whether an engine has so few requests in flight that one of this priority may be added.
    pub(super) fn has_room(&self, engine: &Registration) -> bool {
        let guard = &self.inputs.policy.guard;
        if guard.full == 0.0 {
            return true;
        }
        if let Some(service) = self.contended {
            return self.has_shared_room(engine, service);
        }
        // Lower priorities yield their slots, but what waits for one takes a place in the engine's queue.
        let calls = self.inputs.loads.calls_at_or_above(self.level, &engine.endpoint, self.service);
        let room = f64::from(engine.slots.max(1)) * guard.full;
        let share = (1.0 - guard.headroom).powf(self.level as f64);
        calls < room * share && f64::from(self.work(engine).calls) < room * MAX_CROWDING
    }

    /// As [`Request::has_room`], for a contended service: by the priorities that all instances report, and by this
    /// instance's share of the room.
    fn has_shared_room(&self, engine: &Registration, service: Contended) -> bool {
        let Inputs { loads, admission, now, .. } = *self.inputs;
        let span = admission.unreported_span(now).as_secs_f64();
        let share = f64::from(engine.slots) / f64::from(service.slots.max(engine.slots).max(1));
        let arrivals = if self.is_long_session() { service.demand.rate(self.level) * span * share } else { UNBOUNDED };
        let room = EngineRoom {
            slots: engine.slots,
            urgent: loads.known_at_or_above(self.level, &engine.endpoint, self.service) + self.reserved_at(share),
            total: f64::from(self.work(engine).calls),
            own: loads.own_at(&engine.endpoint),
            arrivals: if service.idle { 0.0 } else { arrivals },
            ..EngineRoom::default()
        };
        admission.has_room(&engine.endpoint, self.level, room, now)
    }

    /// Whether the request goes to the engines of its session if it can, as that has many tokens. Such requests spread as
    /// evenly as the sessions do. All others go to the engines that look best, and all instances find the same ones.
    pub(super) fn is_long_session(&self) -> bool {
        self.prompt.session_tokens() >= self.policy().fetch_least
    }

    /// Requests that are due at an engine with this share of the service's slots. Callers return to any instance, so all
    /// instances are taken to have as many due as this one.
    fn reserved_at(&self, share: f64) -> f64 {
        self.eligible.reserved * self.inputs.admission.senders() as f64 * share
    }

    /// An engine of the lane that has room, if a sample contains none.
    pub(super) fn find_room<'e>(&self, lane: &'e Lane) -> Option<&'e Registration> {
        examined(&lane.endpoints, MAX_EXAMINED).find(|engine| self.is_eligible(engine) && self.has_room(engine))
    }

    /// Whether there is an engine that may be used, with room or without.
    pub(super) fn has_any(&self, candidates: &Candidates) -> bool {
        [&candidates.quick, &candidates.bulk, &candidates.fallback].into_iter().any(|lane| self.has_eligible(lane))
    }

    fn has_eligible(&self, lane: &Lane) -> bool {
        lane.endpoints.iter().any(|engine| self.is_eligible(engine))
    }

    pub(super) fn is_eligible(&self, engine: &Registration) -> bool {
        self.eligible.allows(self.inputs, engine)
    }

    fn cheapest<'e>(&self, engines: Vec<&'e Registration>, affinity: &Affinity) -> Option<&'e Registration> {
        engines.into_iter().min_by_key(|engine| (self.cost(engine, affinity), rand::random::<u32>()))
    }

    /// Cost of sending the request to an engine, for the request itself and for others there, in prompt tokens.
    fn cost(&self, engine: &Registration, affinity: &Affinity) -> u64 {
        let policy = self.policy();
        let work = self.work(engine);
        let ahead = u64::from(work.unread) + u64::from(work.calls) * u64::from(policy.call_cost);
        let max_missing_cost =
            self.inputs.prefill.tokens_in(self.service, self.route.target.mul_f64(policy.again_most));
        let missing = u64::from(self.missing_tokens(engine, affinity));
        let missing_cost = (missing * u64::from(policy.read_again)).min(max_missing_cost);
        let is_remote = self.quick && engine.hall != *self.inputs.hall;
        let is_full = work.held + self.prompt.tokens > self.engine.memory;
        let extra = if is_full { policy.memory_cost } else { 0 } + if is_remote { policy.far_cost } else { 0 };
        ahead + missing_cost + u64::from(extra)
    }

    /// Tokens of the session's prompt parts that an engine is assumed not to have cached.
    pub(super) fn missing_tokens(&self, engine: &Registration, affinity: &Affinity) -> u32 {
        let rank = affinity.engines.iter().position(|other| other.endpoint == engine.endpoint);
        let share = rank.map_or(1.0, |rank| MISSING_SHARES[rank]);
        (f64::from(self.prompt.session_tokens()) * share) as u32
    }

    /// Prompt tokens that an engine has to process for the request.
    fn tokens_to_prefill(&self, engine: &Registration, affinity: &Affinity) -> u32 {
        let is_fetched = affinity.source_for(engine).is_some();
        let missing = if is_fetched { 0 } else { self.missing_tokens(engine, affinity) };
        self.prompt.own_tokens() + missing
    }

    /// An engine of the other lane, if this is a quick stream that might queue for a slot at the best engine of its own.
    fn overflow<'e>(&self, best: &Registration, other: &'e Lane, affinity: &Affinity) -> Option<&'e Registration> {
        if !self.quick || !self.is_crowded(best) {
            return None;
        }
        let count = self.policy().drawn;
        let is_free = |engine: &&Registration| !self.is_crowded(engine) && self.is_eligible(engine);
        let sample = |engines: &'e [Arc<Registration>]| {
            let sample = engines.sample(&mut rand::rng(), count * OVERFLOW_SAMPLE_FACTOR).map(|engine| &**engine);
            sample.filter(is_free).take(count).collect::<Vec<_>>()
        };
        let mut free = sample(&other.endpoints);
        free.extend(sample(&other.local));
        if free.is_empty() {
            free.extend(other.endpoints.iter().map(|engine| &**engine).find(is_free));
        }
        self.cheapest(free, affinity)
    }

    /// Whether so many slots are in use that a request might queue for one.
    pub(super) fn is_crowded(&self, engine: &Registration) -> bool {
        let overflow = self.lanes().overflow;
        overflow > 0.0 && f64::from(self.work(engine).calls) >= f64::from(engine.slots) * overflow
    }

    /// The less loaded of two random engines other than the chosen one.
    fn sample_backup(&self, lane: &Lane, chosen: &Registration) -> Option<Backup> {
        let sample = lane.endpoints.sample(&mut rand::rng(), BACKUP_SAMPLES + 1);
        let is_suitable = |engine: &&Arc<Registration>| {
            engine.endpoint != chosen.endpoint && engine.version == chosen.version && self.is_eligible(engine)
        };
        let others = sample.filter(is_suitable).take(BACKUP_SAMPLES);
        let backup = others.min_by_key(|engine| self.work(engine).calls)?;
        Some(Backup {
            endpoint: backup.endpoint.clone(),
            address: backup.address.clone(),
            slots: backup.slots,
            born: backup.born,
        })
    }

    fn to_affinity(&self, lane: &Lane) -> Affinity {
        let min_tokens = self.policy().fetch_least;
        let is_faster = self.engine.move_speed > self.inputs.prefill.speed(self.service);
        let fetches = min_tokens > 0 && self.prompt.session_tokens() >= min_tokens && is_faster;
        let session = self.prompt.session().filter(|_| self.policy().sessions);
        let skip = |engine: &Registration| !self.is_eligible(engine);
        let engines =
            session.map(|part| lane.top_ranked::<{ MISSING_SHARES.len() }>(part.id, skip)).unwrap_or_default();
        Affinity { engines, fetches }
    }
}

impl Affinity {
    /// The engine from which another one fetches the session's prompt parts: the likeliest to have them cached. That
    /// engine itself fetches from the next, which may have served the session before the set of engines changed.
    pub(super) fn source_for(&self, engine: &Registration) -> Option<&Registration> {
        let others = self.engines.iter().map(|other| &**other).filter(|other| other.endpoint != engine.endpoint);
        others.into_iter().find(|_| self.fetches)
    }
}

/// At most `max` engines from a random one on, as all instances would otherwise find the same.
pub(super) fn examined(engines: &[Arc<Registration>], max: usize) -> impl Iterator<Item = &Registration> {
    let (before, after) = engines.split_at(rand::random_range(0..=engines.len()));
    after.iter().chain(before).map(|engine| &**engine).take(max)
}
