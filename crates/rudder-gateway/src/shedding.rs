//! Sheds the less urgent requests of a service while more urgent ones are refused for lack of capacity.
//!
//! Headroom at the engines and the order in which holders grant permits put urgent requests first where counts are
//! current. A service whose capacity drops, by failures, rate limits or backoff, still refuses urgent requests while less
//! urgent ones find a gap now and then; each of those takes the place of several urgent ones.

use std::{collections::HashMap, sync::Arc};

use rudder_clock::Moment;
use rudder_core::peer::Load;
use rudder_model::id;
use rudder_route::admission::{Demand, LEVELS, Level, level_index};

use crate::recent::{Tally, Window};

/// Refused requests of a priority from which lower ones are shed.
const MIN_REFUSED: u32 = 3;
/// Share of the refused requests of a priority from which lower ones are shed.
const MIN_SHARE: f64 = 0.05;

/// Recent admissions and refusals by service and priority level; level 0 is the most urgent.
///
/// Those of all instances count: callers spread unevenly, so some instances refuse no urgent requests while others refuse
/// many, and what the former admit takes the capacity that the latter lack.
#[derive(Debug)]
pub struct Shedding {
    started: Moment,
    services: HashMap<Arc<str>, Vec<Window>>,
    /// The sum of the other instances' reports by service.
    others: HashMap<Arc<str>, Demand>,
    /// The most urgent level that is shed, by service that sheds any.
    shed: HashMap<Arc<str>, Level>,
}

/// A service begins or ends to shed requests, or sheds other levels than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The service.
    pub service: Arc<str>,
    /// The most urgent level that is shed now; `None` if none is.
    pub level: Option<Level>,
    /// Recent requests of all instances.
    pub demand: Demand,
}

impl Default for Shedding {
    fn default() -> Self {
        Shedding { started: Moment::now(), services: HashMap::new(), others: HashMap::new(), shed: HashMap::new() }
    }
}

impl Shedding {
    /// Records that a request was sent for the first time, or refused for lack of capacity.
    pub fn record(&mut self, service: &Arc<str>, level: usize, refused: bool, now: Moment) {
        let second = self.second(now);
        let levels = self.services.entry(service.clone()).or_default();
        if levels.len() <= level {
            levels.resize(level + 1, Window::default());
        }
        levels[level].add(Tally { ended: 1, failed: u32::from(refused) }, second);
    }

    /// Whether requests of this level are to be refused in favour of more urgent ones.
    pub fn is_shed(&self, service: &str, level: Level, now: Moment) -> bool {
        let mut urgent = (0..level).map(|urgent| self.tally(service, urgent, now));
        urgent.any(|tally| tally.failed >= MIN_REFUSED && tally.failure_rate() > MIN_SHARE)
    }

    /// Recent requests of a level at all instances. The lowest levels of the other instances are reported as one, so there
    /// only this instance's count.
    fn tally(&self, service: &str, level: Level, now: Moment) -> Tally {
        let own = self.services.get(service).and_then(|levels| levels.get(level));
        let mut tally = own.map(|window| window.sum(self.second(now))).unwrap_or_default();
        let others = self.others.get(service).filter(|_| level < LEVELS - 1);
        if let Some(Demand { admitted, refused }) = others {
            tally.add(Tally { ended: admitted[level].saturating_add(refused[level]), failed: refused[level] });
        }
        tally
    }

    /// Replaces the sums of the other instances' reports by those that `others` returns, and returns what has changed.
    pub fn update(&mut self, others: impl Fn(&str) -> Demand, now: Moment) -> Vec<Change> {
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        let mut changes = Vec::new();
        for service in services {
            let reported = others(&service);
            self.others.insert(service.clone(), reported);
            let levels = self.services.get(&service).map_or(0, Vec::len);
            let level = (1..levels).find(|level| self.is_shed(&service, *level, now));
            if self.shed.get(&service).copied() == level {
                continue;
            }
            match level {
                Some(level) => self.shed.insert(service.clone(), level),
                None => self.shed.remove(&service),
            };
            let demand = self.demand(&service, now).combine(reported, u32::saturating_add);
            changes.push(Change { service, level, demand });
        }
        changes
    }

    /// The recent requests of this instance, to be reported to the other instances, at the services that `is_included`
    /// selects. Nothing is reported while no instance refuses any.
    pub fn to_loads(&self, now: Moment, is_included: impl Fn(&str) -> bool) -> impl Iterator<Item = Load> {
        let included = self.services.keys().filter(move |service| is_included(service));
        let demands = included.map(move |service| (service, self.demand(service, now)));
        let refuses = |demand: &Demand| demand.refused.iter().any(|count| *count > 0);
        let reported =
            demands.filter(move |(service, demand)| refuses(demand) || self.others.get(*service).is_some_and(refuses));
        reported.map(|(service, demand)| Load::of_service(id::endpoint_tag(service), demand))
    }

    /// Drops services that are unknown.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_known(service));
        self.others.retain(|service, _| is_known(service));
        self.shed.retain(|service, _| is_known(service));
    }

    /// The recent requests of this instance.
    fn demand(&self, service: &str, now: Moment) -> Demand {
        let second = self.second(now);
        let mut demand = Demand::default();
        for (level, window) in self.services.get(service).into_iter().flatten().enumerate() {
            let tally = window.sum(second);
            demand.admitted[level_index(level)] += tally.ended - tally.failed;
            demand.refused[level_index(level)] += tally.failed;
        }
        demand
    }

    fn second(&self, now: Moment) -> u64 {
        now.saturating_duration_since(self.started).as_secs()
    }
}
