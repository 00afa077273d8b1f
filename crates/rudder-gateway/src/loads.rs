//! In-flight work at endpoints: that of this instance, and that reported by the other instances.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rudder_clock::Moment;
use rudder_core::peer::{LEVELS, Load, LoadDetail};
use rudder_model::{EndpointId, EndpointTag, id};
use rudder_route::admission::{self, Level};

use crate::limits::Loan;
use crate::recent::{RecentOutcomes, SPAN, Tally};

/// Weight of a service's mix of priorities in that of an endpoint, in requests: an instance has few of its own at one.
const MIX_WEIGHT: f64 = 4.0;

/// This instance's requests in flight, or their unread tokens, by priority level; level 0 is the highest.
#[derive(Clone, Copy, Debug, Default)]
struct Mix([u32; LEVELS]);

impl Mix {
    fn count(&mut self, level: usize) -> &mut u32 {
        &mut self.0[level.min(LEVELS - 1)]
    }

    fn total(self) -> f64 {
        f64::from(self.0.iter().sum::<u32>())
    }

    /// Requests below a level.
    fn below(self, level: usize) -> f64 {
        f64::from(self.0.iter().skip(level + 1).sum::<u32>())
    }
}

/// In-flight work and recent outcomes at all endpoints.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    own: HashMap<EndpointId, Load>,
    /// The priorities of the own requests by endpoint.
    mixes: HashMap<EndpointId, Mix>,
    /// The priorities of the own requests by service.
    service_mixes: HashMap<Arc<str>, Mix>,
    /// The own unread tokens by endpoint and priority.
    unread_mixes: HashMap<EndpointId, Mix>,
    /// The own unread tokens by service and priority.
    service_unread: HashMap<Arc<str>, Mix>,
    /// The sum of the other instances' last reports.
    others: HashMap<EndpointTag, Load>,
    /// Whether those reports are too old to count for contended services, whose loads have details.
    outdated: bool,
    recent: RecentOutcomes,
}

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests in flight.
    pub calls: u32,
    /// Prompt tokens awaiting prefill, that is, of requests without output.
    pub unread: u32,
    /// KV cache tokens that the requests may need.
    pub held: u32,
}

impl EndpointLoads {
    /// All known work at `endpoint`.
    pub fn at(&self, endpoint: &str) -> Work {
        let mut work = Work::default();
        for load in [self.own.get(endpoint), self.others_at(endpoint)].into_iter().flatten() {
            work.calls += load.calls;
            work.unread += load.unread;
            work.held += load.held;
        }
        work
    }

    /// Estimated number of requests that other instances have sent to `endpoint` in the `age` of their reports, at the
    /// rate at which requests have ended there.
    pub fn unreported(&self, endpoint: &str, age: Duration) -> f64 {
        let ended = self.others.get(&id::endpoint_tag(endpoint)).map_or(0, |load| load.ended);
        f64::from(ended) * age.as_secs_f64() / SPAN as f64
    }

    /// Estimated number of requests at `endpoint` whose priority is not below `level`. Reports tell no priorities, so the
    /// other instances' requests are taken to be mixed as this one's.
    pub fn calls_at_or_above(&self, level: usize, endpoint: &str, service: &str) -> f64 {
        let calls = f64::from(self.at(endpoint).calls);
        let Some(service) = self.service_mixes.get(service).filter(|mix| mix.total() > 0.0) else { return calls };
        let mix = self.mixes.get(endpoint).copied().unwrap_or_default();
        let prior = service.below(level) / service.total();
        let below = (mix.below(level) + prior * MIX_WEIGHT) / (mix.total() + MIX_WEIGHT);
        calls * (1.0 - below)
    }

    /// Estimated number of prompt tokens that await prefill at `endpoint` and are not of a priority below `level`. Reports
    /// tell no priorities, so the other instances' tokens are taken to be mixed as this one's.
    pub fn unread_at_or_above(&self, level: usize, endpoint: &str, service: &str) -> u32 {
        let own = self.unread_mixes.get(endpoint).copied().unwrap_or_default();
        let others = (f64::from(self.at(endpoint).unread) - own.total()).max(0.0);
        let mix = self.service_unread.get(service).filter(|mix| mix.total() > 0.0);
        let share = mix.map_or(1.0, |mix| 1.0 - mix.below(level) / mix.total());
        (own.total() - own.below(level) + others * share) as u32
    }

    /// Number of requests at `endpoint` whose priority is not below `level`, as the instances report them. Requests
    /// whose priority is not reported are taken to be mixed as this instance's.
    pub fn known_at_or_above(&self, level: Level, endpoint: &str, service: &str) -> f64 {
        let calls = self.at(endpoint).calls;
        let others = self.others_at(endpoint).and_then(|load| load.detail.as_deref());
        let Mix(mut levels) = self.mixes.get(endpoint).copied().unwrap_or_default();
        for (count, other) in levels.iter_mut().zip(others.map(|detail| detail.levels).unwrap_or_default()) {
            *count += other;
        }
        let reported = f64::from(levels.iter().take(admission::level_index(level) + 1).sum::<u32>());
        let unreported = calls.saturating_sub(levels.iter().sum());
        if unreported == 0 {
            return reported;
        }
        reported + f64::from(unreported) * self.calls_at_or_above(level, endpoint, service) / f64::from(calls)
    }

    /// Whether this instance has requests in flight.
    pub fn has_own(&self) -> bool {
        self.own.values().any(|load| load.calls > 0)
    }

    /// This instance's requests in flight at `endpoint`.
    pub fn own_at(&self, endpoint: &str) -> u32 {
        self.own.get(endpoint).map_or(0, |load| load.calls)
    }

    /// Recent demand for `service` at the other instances.
    pub fn others_demand(&self, service: &str) -> admission::Demand {
        self.others_at(service).and_then(|load| load.detail.as_deref()?.demand).unwrap_or_default()
    }

    /// Records the sum of the other instances' loads.
    pub fn set_others(&mut self, loads: &[Load]) {
        self.others = loads.iter().map(|load| (load.endpoint, load.clone())).collect();
    }

    /// Records whether the other instances' reports are too old to count for contended services.
    pub fn set_outdated(&mut self, outdated: bool) {
        self.outdated = outdated;
    }

    /// The sum of the other instances' reports for an endpoint, or for a service by its name.
    fn others_at(&self, endpoint: &str) -> Option<&Load> {
        let load = self.others.get(&id::endpoint_tag(endpoint));
        load.filter(|load| !self.outdated || load.detail.is_none())
    }

    /// Forgets the recent outcomes of this instance's requests.
    pub fn forget_outcomes(&mut self) {
        self.recent.clear();
    }

    /// Records the end of a request.
    pub fn note_end(&mut self, endpoint: &EndpointId, failed: bool, now: Moment) {
        self.recent.note(endpoint, failed, now);
    }

    /// Recent outcomes at `endpoint`, at this and the other instances.
    pub fn tally(&self, endpoint: &str, now: Moment) -> Tally {
        let mut tally = self.recent.at(endpoint, now);
        if let Some(load) = self.others_at(endpoint) {
            tally.add(Tally { ended: load.ended, failed: load.failed });
        }
        tally
    }

    /// This instance's work, to be reported to the other instances. Loads of endpoints of contended
    /// services have details: those that `detail` returns, and the requests by priority level.
    pub fn to_loads(&mut self, now: Moment, detail: impl Fn(&EndpointId) -> Option<LoadDetail>) -> Vec<Load> {
        self.recent.age(now);
        let mut endpoints: HashSet<&EndpointId> = self.recent.endpoints().collect();
        endpoints.extend(self.own.iter().filter(|(_, load)| load.calls > 0).map(|(endpoint, _)| endpoint));
        let to_load = |endpoint: &EndpointId| {
            let own = self.own.get(endpoint).cloned().unwrap_or_else(|| Load::none(id::endpoint_tag(endpoint)));
            let Tally { ended, failed } = self.recent.at(endpoint, now);
            let detail = detail(endpoint).map(|detail| Box::new(self.with_levels(endpoint, detail)));
            Load { ended, failed, detail, ..own }
        };
        let mut loads: Vec<Load> = endpoints.into_iter().map(to_load).collect();
        loads.sort_by_key(|load| load.endpoint);
        loads
    }

    /// The detail with this instance's requests in flight at `endpoint` by priority level.
    fn with_levels(&self, endpoint: &EndpointId, detail: LoadDetail) -> LoadDetail {
        let Mix(levels) = self.mixes.get(endpoint).copied().unwrap_or_default();
        LoadDetail { levels, ..detail }
    }

    /// Drops endpoints that are unknown and have no work.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.own.retain(|endpoint, load| load.calls > 0 || known(endpoint));
        self.mixes.retain(|_, mix| mix.total() > 0.0);
        self.service_mixes.retain(|_, mix| mix.total() > 0.0);
        self.unread_mixes.retain(|_, mix| mix.total() > 0.0);
        self.service_unread.retain(|_, mix| mix.total() > 0.0);
    }

    fn entry(&mut self, endpoint: &EndpointId) -> &mut Load {
        self.own.entry(endpoint.clone()).or_insert_with(|| Load::none(id::endpoint_tag(endpoint)))
    }
}

/// What a request adds to the load of its endpoint.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The service.
    pub service: Arc<str>,
    /// Number of priorities of the service above its own.
    pub level: usize,
    /// Prompt tokens to process.
    pub unread: u32,
    /// Tokens of the KV cache that it may need.
    pub held: u32,
}

/// A request in flight at an endpoint. It is removed from the loads on drop.
#[derive(Debug)]
pub struct InFlight {
    /// Its loan, if the endpoint bears few rejections.
    pub loan: Option<Loan>,
    loads: Rc<RefCell<EndpointLoads>>,
    endpoint: EndpointId,
    demand: Demand,
}

impl InFlight {
    /// Counts a request.
    pub fn start(loads: &Rc<RefCell<EndpointLoads>>, endpoint: &EndpointId, demand: Demand) -> InFlight {
        let mut borrowed = loads.borrow_mut();
        let load = borrowed.entry(endpoint);
        load.calls += 1;
        load.unread += demand.unread;
        load.held += demand.held;
        *borrowed.mixes.entry(endpoint.clone()).or_default().count(demand.level) += 1;
        *borrowed.service_mixes.entry(demand.service.clone()).or_default().count(demand.level) += 1;
        *borrowed.unread_mixes.entry(endpoint.clone()).or_default().count(demand.level) += demand.unread;
        *borrowed.service_unread.entry(demand.service.clone()).or_default().count(demand.level) += demand.unread;
        drop(borrowed);
        InFlight { loan: None, loads: loads.clone(), endpoint: endpoint.clone(), demand }
    }

    /// Records the first output, so that the prompt has been processed.
    pub fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.demand.unread);
        let mut loads = self.loads.borrow_mut();
        let loads = &mut *loads;
        let load = loads.entry(&self.endpoint);
        load.unread = load.unread.saturating_sub(unread);
        let mixes = [loads.unread_mixes.get_mut(&self.endpoint), loads.service_unread.get_mut(&self.demand.service)];
        for mix in mixes.into_iter().flatten() {
            let tokens = mix.count(self.demand.level);
            *tokens = tokens.saturating_sub(unread);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_read();
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(&self.endpoint);
        load.calls = load.calls.saturating_sub(1);
        load.held = load.held.saturating_sub(self.demand.held);
        let loads = &mut *loads;
        let mixes = [loads.mixes.get_mut(&self.endpoint), loads.service_mixes.get_mut(&self.demand.service)];
        for mix in mixes.into_iter().flatten() {
            let count = mix.count(self.demand.level);
            *count = count.saturating_sub(1);
        }
    }
}
