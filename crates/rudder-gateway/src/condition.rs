//! Conditions of the engines of contended services, learned from streams at all instances.
//!
//! Each instance sees few streams of an engine, so instances exchange sums of their recent samples with their loads.
//! Only samples of the current lives of engines are recorded, and what is known of a life is dropped when it ends.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{
    Phase,
    peer::{Load, LoadDetail, PaceSum, TokenTime},
};
use rudder_model::{EndpointId, EndpointTag, id};
use rudder_route::condition::{Condition, EngineSpeed, FirstEvent, GapMeter, RecentSum, RecentWork, Sum, Usual};

use crate::{dialect::LoadReport, roster::Roster};

/// Interval at which speeds are learned from the recent work.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Buckets of speed samples; they cover the last 5 s.
const SPEED_BUCKETS: usize = 5;
/// Width of such a bucket.
const SPEED_WIDTH: Duration = Duration::from_secs(1);
/// Buckets of pace reports; they cover the last second, as slow phases are shorter.
const PACE_BUCKETS: usize = 4;
/// Width of such a bucket.
const PACE_WIDTH: Duration = Duration::from_millis(250);
/// Age from which the sums of the other instances are not used: as long as the leader counts a report.
const MAX_OTHERS_AGE: Duration = Duration::from_millis(1500);
/// An engine counts as slow if its token time is at least this multiple of its service's median.
const SLOW_FACTOR: f64 = 1.4;
/// An engine counts as slowed for now if its pace is at least this.
const SLOWED_PACE: f64 = 1.5;
/// A wait for the caller or for buffers of at least this time may have delayed the next read from the engine.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// This instance's recent samples of one engine.
#[derive(Debug)]
struct Samples {
    output: RecentSum<SPEED_BUCKETS>,
    prefill: RecentSum<SPEED_BUCKETS>,
    pace: RecentSum<PACE_BUCKETS>,
}

impl Default for Samples {
    fn default() -> Self {
        Samples {
            output: RecentSum::new(SPEED_WIDTH),
            prefill: RecentSum::new(SPEED_WIDTH),
            pace: RecentSum::new(PACE_WIDTH),
        }
    }
}

impl Samples {
    fn at(&self, now: Duration) -> RecentWork {
        RecentWork { output: self.output.at(now), prefill: self.prefill.at(now), pace: self.pace.at(now) }
    }
}

/// Counts of engines for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConditionCounts {
    /// Engines whose speed is known.
    pub known: usize,
    /// Engines that are lastingly slow among those of their service.
    pub slow: usize,
    /// Engines that are slower now than they usually are.
    pub slowed: usize,
}

/// Speeds of engines.
#[derive(Debug)]
pub struct Conditions {
    started: Moment,
    updated: Option<Moment>,
    roster: Rc<Roster>,
    samples: HashMap<EndpointId, Samples>,
    learned: HashMap<EndpointId, Condition>,
    usual: HashMap<Arc<str>, Usual>,
    others: HashMap<EndpointTag, RecentWork>,
    others_at: Option<Moment>,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            started: Moment::now(),
            updated: None,
            roster: Rc::default(),
            samples: HashMap::new(),
            learned: HashMap::new(),
            usual: HashMap::new(),
            others: HashMap::new(),
            others_at: None,
        }
    }
}

impl Conditions {
    /// Speed of the engine `endpoint` of `service`: the median of the service if no sample of the engine is known.
    pub fn speed(&self, endpoint: &EndpointId, service: &str, now: Moment) -> EngineSpeed {
        let usual = self.usual.get(service).copied().unwrap_or_default();
        let learned = self.learned.get(endpoint).copied().unwrap_or_default();
        learned.speed(&usual, self.recent(endpoint, now).pace)
    }

    /// Records the pace that an answer of `endpoint` reports.
    pub fn record_report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: Moment) {
        let Some(pace) = report.pace else { return };
        let at = self.since_start(now);
        let Some(samples) = self.samples_of(endpoint) else { return };
        samples.pace.add(Sum { units: 1, total: (pace * 100.0).round() as u32 }, at);
    }

    /// Records a sample of the output speed of `endpoint`.
    pub fn record_output(&mut self, endpoint: &EndpointId, sample: Sum, now: Moment) {
        let at = self.since_start(now);
        let Some(samples) = self.samples_of(endpoint) else { return };
        samples.output.add(sample, at);
    }

    /// Records the first event of a stream that had no wait for a slot at `endpoint`.
    pub fn record_first(&mut self, endpoint: &EndpointId, service: &str, first: FirstEvent, now: Moment) {
        let lasting = EngineSpeed { pace: 1.0, ..self.speed(endpoint, service, now) };
        let at = self.since_start(now);
        let Some(sample) = first.to_sample(&lasting) else { return };
        let Some(samples) = self.samples_of(endpoint) else { return };
        samples.prefill.add(sample, at);
    }

    /// Records the sums of the other instances as of `at`; `None` if they have not changed.
    pub fn set_others(&mut self, loads: Option<&[Load]>, at: Moment) {
        self.others_at = Some(at);
        let Some(loads) = loads else { return };
        let detailed = loads.iter().filter_map(|load| Some((load.endpoint, to_work(load.detail.as_deref()?))));
        self.others = detailed.filter(|(_, work)| *work != RecentWork::default()).collect();
    }

    /// Records the engines that are known now, and drops what was learned of all other lives.
    pub fn set_roster(&mut self, roster: Rc<Roster>) {
        self.roster = roster;
        let is_current = |endpoint: &EndpointId| is_current(&self.roster, endpoint);
        self.samples.retain(|endpoint, _| is_current(endpoint));
        self.learned.retain(|endpoint, _| is_current(endpoint));
        self.usual.retain(|service, _| !self.roster.of(service).is_empty());
    }

    /// This instance's recent samples of `endpoint`, to be reported to the others.
    pub fn detail(&self, endpoint: &EndpointId, now: Moment) -> LoadDetail {
        let work = self.samples.get(endpoint).map(|samples| samples.at(self.since_start(now))).unwrap_or_default();
        let to_time = |sum: Sum| TokenTime { tokens: sum.units, millis: sum.total };
        LoadDetail {
            output: to_time(work.output),
            prefill: to_time(work.prefill),
            pace: PaceSum { percent: work.pace.total, reports: work.pace.units },
            ..LoadDetail::default()
        }
    }

    /// Learns from the recent samples of all instances, if the last time is long enough ago.
    pub fn update(&mut self, now: Moment) {
        let is_early = |updated: Moment| now.saturating_duration_since(updated) < UPDATE_INTERVAL;
        if self.updated.is_some_and(is_early) || (self.samples.is_empty() && self.others.is_empty()) {
            return;
        }
        self.updated = Some(now);
        let roster = self.roster.clone();
        for endpoints in roster.services() {
            for registration in endpoints {
                let endpoint = &registration.endpoint;
                let work = self.recent(endpoint, now);
                if work != RecentWork::default() && registration.phase < Phase::Gone {
                    self.learned.entry(endpoint.clone()).or_default().update(&work);
                }
            }
            let learned = endpoints.iter().filter_map(|known| self.learned.get(&known.endpoint).copied());
            let learned: Vec<Condition> = learned.collect();
            if let Some(first) = endpoints.first().filter(|_| !learned.is_empty()) {
                self.usual.insert(first.service.clone(), Usual::of(&learned));
            }
        }
    }

    /// Counts the engines by condition.
    pub fn counts(&self, now: Moment) -> ConditionCounts {
        let mut counts = ConditionCounts::default();
        for endpoint in self.learned.keys() {
            let Some(registration) = self.roster.get(endpoint) else { continue };
            let speed = self.speed(endpoint, &registration.service, now);
            let usual = self.usual.get(&registration.service).copied().unwrap_or_default();
            counts.known += usize::from(speed.samples > 0);
            counts.slow += usize::from(speed.token_time.as_secs_f64() * 1000.0 >= usual.token_millis * SLOW_FACTOR);
            counts.slowed += usize::from(speed.pace >= SLOWED_PACE);
        }
        counts
    }

    /// The recent work at `endpoint`. The sums of the other instances count only while they are fresh.
    fn recent(&self, endpoint: &EndpointId, now: Moment) -> RecentWork {
        let own = self.samples.get(endpoint).map(|samples| samples.at(self.since_start(now))).unwrap_or_default();
        let is_fresh = self.others_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_OTHERS_AGE);
        let others = if is_fresh { self.others.get(&id::endpoint_tag(endpoint)).copied() } else { None };
        own.plus(others.unwrap_or_default())
    }

    /// The samples of `endpoint`; `None` if it has ended, so that a late sample doesn't bring it back.
    fn samples_of(&mut self, endpoint: &EndpointId) -> Option<&mut Samples> {
        is_current(&self.roster, endpoint).then(|| self.samples.entry(endpoint.clone()).or_default())
    }

    fn since_start(&self, now: Moment) -> Duration {
        now.saturating_duration_since(self.started)
    }
}

/// Whether an endpoint is known and has not ended.
fn is_current(roster: &Roster, endpoint: &EndpointId) -> bool {
    roster.get(endpoint).is_some_and(|known| known.phase < Phase::Gone)
}

fn to_work(detail: &LoadDetail) -> RecentWork {
    let to_sum = |time: TokenTime| Sum { units: time.tokens, total: time.millis };
    RecentWork {
        output: to_sum(detail.output),
        prefill: to_sum(detail.prefill),
        pace: Sum { units: detail.pace.reports, total: detail.pace.percent },
    }
}

/// Measures the output speed of one stream's engine. Gaps after the last complete block are recorded on drop.
#[derive(Debug)]
pub struct OutputMeter {
    conditions: Rc<RefCell<Conditions>>,
    endpoint: EndpointId,
    started: Moment,
    gaps: GapMeter,
}

impl OutputMeter {
    /// Starts to measure a stream of `endpoint` whose events have `tokens` tokens each.
    pub fn start(conditions: &Rc<RefCell<Conditions>>, endpoint: &EndpointId, tokens: u32) -> OutputMeter {
        let (conditions, endpoint) = (conditions.clone(), endpoint.clone());
        OutputMeter { conditions, endpoint, started: Moment::now(), gaps: GapMeter::new(tokens) }
    }

    /// Records `events` that were read at `now`.
    pub fn record(&mut self, events: u64, now: Moment) {
        let events = u32::try_from(events).unwrap_or(u32::MAX);
        if let Some(sample) = self.gaps.record(events, now.saturating_duration_since(self.started)) {
            self.conditions.borrow_mut().record_output(&self.endpoint, sample, now);
        }
    }

    /// Records that a part was passed on between `since` and `now`, in which nothing was read from the engine.
    pub fn record_forward(&mut self, since: Moment, now: Moment) {
        if now.saturating_duration_since(since) >= MIN_WAIT {
            self.gaps.skip();
        }
    }
}

impl Drop for OutputMeter {
    fn drop(&mut self) {
        if let Some(sample) = self.gaps.take_block() {
            self.conditions.borrow_mut().record_output(&self.endpoint, sample, Moment::now());
        }
    }
}
