//! Choice among the engines of a contended service: the one with the lowest cost, as a time.
//!
//! An engine is late if the gaps between the events are predicted to miss their target. A late engine is chosen only if no
//! other one is found. A first event after its target doesn't exclude an engine: under load all requests would leave the
//! engines of their sessions, and the prompts processed again elsewhere would take up the remaining capacity.

use std::{sync::Arc, time::Duration};

use rand::seq::IndexedRandom as _;
use rudder_core::Registration;
use rudder_route::engine_cost::{self, EngineDemand, EngineWork};

use super::{
    Lane,
    engine::{Affinity, Request, examined},
};

/// Engines of the own lane that are examined if a sample has none in time: all in a service of usual size, and a bounded
/// number in one of thousands, so that a choice costs the same under overload.
const MAX_OWN_EXAMINED: usize = 96;
/// As [`MAX_OWN_EXAMINED`], for the fast and for the slow engines of the other lane.
const MAX_OTHER_EXAMINED: usize = 32;

/// Rank of an engine for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The gaps between the events are in time, at this cost.
    InTime(Duration),
    /// The gaps miss their target, at this cost.
    Late(Duration),
}

/// An engine, and what is predicted for the request there.
#[derive(Clone, Copy)]
pub(super) struct Estimate<'e> {
    /// The engine.
    pub engine: &'e Registration,
    /// Predicted time from sending to the first event.
    pub first: Duration,
    rank: Rank,
}

impl Request<'_> {
    /// Picks an engine with room: one of the request's own lane if it is in time, or else one of either lane that is, or
    /// else the one with the lowest cost.
    pub(super) fn choose_timed<'e>(
        &self,
        own: &'e Lane,
        other: &'e Lane,
        affinity: &'e Affinity,
    ) -> Option<Estimate<'e>> {
        let mut sample = self.sample(own, affinity);
        if !self.quick {
            let idle = other.endpoints.sample(&mut rand::rng(), self.policy().drawn).map(|engine| &**engine);
            sample.extend(idle.filter(|engine| self.is_idle(engine) && self.is_eligible(engine)));
        }
        sample.retain(|engine| self.has_room(engine) || self.may_queue(engine, affinity));
        let best = self.best(sample.into_iter(), affinity);
        let is_crowded = |best: &Estimate| self.quick && self.is_crowded(best.engine);
        let bound = self.route.target.mul_f64(self.inputs.policy.timing.search);
        let suits = |best: &Estimate| matches!(best.rank, Rank::InTime(_)) && best.first <= bound && !is_crowded(best);
        if best.as_ref().is_some_and(suits) {
            return best;
        }
        // Another engine is chosen only if its cost is lower, or if the best one may have no slot.
        let is_better = |found: &Estimate| best.is_none_or(|best| is_crowded(&best) || found.rank < best.rank);
        let found = self.find_timely(own, other, affinity).filter(is_better);
        found.or(best).or_else(|| self.find_room(own).map(|engine| self.estimate(engine, affinity)))
    }

    /// The best of a few engines in time, of the own lane or else of the other one: the best of all would get the requests
    /// of all instances.
    fn find_timely<'e>(&self, own: &'e Lane, other: &'e Lane, affinity: &Affinity) -> Option<Estimate<'e>> {
        let (fast, slow) = other.endpoints.split_at(other.fast.min(other.endpoints.len()));
        let may_overflow = self.lanes().overflow > 0.0;
        let parts: [&[Arc<Registration>]; 3] = match (self.quick, may_overflow) {
            (true, true) => [&own.endpoints, fast, slow],
            (true, false) => [&own.endpoints, &[], &[]],
            (false, _) => [&own.endpoints, &other.endpoints, &[]],
        };
        for (index, engines) in parts.into_iter().enumerate() {
            let is_own = index == 0;
            let is_open = |engine: &&Registration| {
                let suits = if self.quick { !self.is_crowded(engine) } else { is_own || self.is_idle(engine) };
                suits && self.is_eligible(engine) && self.has_room(engine)
            };
            let max = if is_own { MAX_OWN_EXAMINED } else { MAX_OTHER_EXAMINED };
            let estimates = examined(engines, max).filter(is_open).map(|engine| self.estimate(engine, affinity));
            let timely = estimates.filter(|estimate| self.is_timely(estimate));
            let best = timely.take(self.policy().drawn.max(1)).min_by_key(|estimate| estimate.rank);
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Whether the first event and the gaps are predicted to be in time.
    fn is_timely(&self, estimate: &Estimate) -> bool {
        matches!(estimate.rank, Rank::InTime(_)) && estimate.first <= self.route.target
    }

    fn best<'e>(&self, engines: impl Iterator<Item = &'e Registration>, affinity: &Affinity) -> Option<Estimate<'e>> {
        let estimates = engines.map(|engine| self.estimate(engine, affinity));
        estimates.min_by_key(|estimate| (estimate.rank, rand::random::<u32>()))
    }

    /// Whether the request may wait for a slot at an engine of its session: the wait is shorter than processing a long
    /// session again elsewhere.
    fn may_queue(&self, engine: &Registration, affinity: &Affinity) -> bool {
        let rivals = self.inputs.loads.known_at_or_above(self.level, &engine.endpoint, self.service);
        let bound = f64::from(engine.slots) * self.inputs.policy.timing.queue;
        self.is_long_session() && rivals < bound && affinity.engines.iter().any(|own| own.endpoint == engine.endpoint)
    }

    /// Whether so few slots are in use that the engine may be used for requests of the other lane.
    fn is_idle(&self, engine: &Registration) -> bool {
        let idle = f64::from(engine.slots) * self.inputs.policy.timing.idle;
        f64::from(self.work(engine).calls) < idle
    }

    fn estimate<'e>(&self, engine: &'e Registration, affinity: &Affinity) -> Estimate<'e> {
        let inputs = self.inputs;
        let (options, policy) = (&inputs.policy.timing, self.policy());
        let speed = inputs.conditions.speed(&engine.endpoint, self.service, inputs.now);
        let work = self.engine_work(engine);
        let missing = self.missing_tokens(engine, affinity);
        let is_fetched = affinity.source_for(engine).is_some();
        let demand = EngineDemand {
            own: self.prompt.own_tokens(),
            missing: if is_fetched { 0 } else { missing },
            answer: self.prompt.expected_answer(),
            event: self.engine.event_tokens,
        };
        let transfer = if is_fetched { f64::from(missing) / self.engine.move_speed / 1000.0 } else { 0.0 };
        let first = engine_cost::first_event(&speed, &work, &demand) + Duration::from_secs_f64(transfer);
        let gap = engine_cost::event_gap(&speed, &work, demand.event);
        let is_remote = self.quick && engine.hall != *inputs.hall;
        let is_full = self.work(engine).held + self.prompt.tokens > self.engine.memory;
        let extra = if is_full { policy.memory_cost } else { 0 } + if is_remote { policy.far_cost } else { 0 };
        // A session that moves costs as much when its parts are fetched: they evict others, which are processed again.
        let harm = engine_cost::harm(options, &speed, &work, &EngineDemand { missing, ..demand });
        let cost = first + harm + engine_cost::prefill_time(&speed, f64::from(extra));
        let is_late = self.route.pause.is_some_and(|target| gap > target);
        let rank = if is_late { Rank::Late(cost) } else { Rank::InTime(cost) };
        Estimate { engine, first, rank }
    }

    /// Work at an engine, as far as it is known. Engines process the prompts of higher priorities first, so those of
    /// lower ones are not ahead; their tokens are assumed to be in proportion to their number.
    fn engine_work(&self, engine: &Registration) -> EngineWork {
        let loads = self.inputs.loads;
        let (calls, unread) = (f64::from(self.work(engine).calls), f64::from(self.work(engine).unread));
        let rivals = loads.known_at_or_above(self.level, &engine.endpoint, self.service);
        let share = if calls > 0.0 { (rivals / calls).min(1.0) } else { 1.0 };
        let unreported = loads.unreported(&engine.endpoint, self.inputs.work_age);
        EngineWork { ahead: unread * share, unread, calls, rivals, slots: engine.slots, unreported }
    }
}
