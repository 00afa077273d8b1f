//! Fair shares of a service's capacity between organisations of one priority.
//!
//! Work is counted in units of [`WORK_UNIT`] tokens over a sliding window of [`SPAN`] seconds, for each service and
//! priority level. The heaviest organisations have an entry in a [`HeavyTable`] of fixed size; the others are summed, so
//! neither memory nor cost depends on the number of organisations.
//!
//! An organisation is over its share when both of these hold:
//!
//! - requests of the service and level were refused for lack of capacity within the last [`SHORT_SPAN`] seconds, here or
//!   at another instance;
//! - its demand is above the max-min fair level of the admitted work by more than an allowance for chance and one request
//!   of the mean size, see [`MARGIN`].
//!
//! Of the requests of such an organisation, [`Shares::excess`] lets the share pass that makes up the level and the
//! allowance, evenly spread, as in core-stateless fair queueing. Refusing all until the window has passed would admit its
//! work in bursts and leave capacity unused between them. Every organisation thus always gets a trickle.
//!
//! The level leaves as much for others as they demand: an organisation that takes capacity for which nobody else asks is
//! not over. The allowance lets slightly more pass than was admitted, so the level rises until the capacity is used.
//!
//! **Figures used.** Callers choose instances at random, so the requests of one instance are an unbiased sample, but a
//! small one: some 30 requests in a window. While the other instances' sums are younger than [`MAX_AGE`], an
//! organisation's work is that of this instance plus that which the others report, and the level is computed over all
//! instances from the heaviest organisations that are reported. An organisation that no other instance reports counts
//! with its work at this instance only. When the sums are older or missing, the table of this instance is used alone;
//! the allowance for chance is then wide, as the sample is small. It may also be biased, as the connections of an
//! organisation with few of them are not spread over all instances.
//!
//! A refused caller that returns counts again as demand, which lowers the level of heavy organisations while many are
//! refused; as the others are admitted, it rises again.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rudder_model::{OrgTag, ServiceTag};
use serde::{Deserialize, Serialize};

/// Tokens in a unit of work; small against any request, and keeps figures short where they are exchanged.
pub const WORK_UNIT: u64 = 100;
/// Work of an output token in prompt tokens: an engine generates one per stream and step, but prefills many at once.
pub const OUTPUT_WEIGHT: u64 = 10;
/// The window in seconds, including the current one.
pub const SPAN: u64 = 5;
/// Time for which capacity counts as short after a refusal, in seconds, including the current one. Longer than an exchange
/// takes, so that all instances agree; short, so that a past shortage refuses nobody.
pub const SHORT_SPAN: u64 = 2;
/// Entries of a [`HeavyTable`]. An organisation with more than this fraction of the demand always has one.
pub const TABLE_SIZE: usize = 64;
/// Services and levels in a report.
pub const MAX_REPORTS: usize = 2;
/// Organisations in a report over all its services and levels, which keeps its encoded size below 200 bytes.
pub const MAX_REPORTED: usize = 8;
/// Age from which the other instances' sums are not used. Their reports expire at the leader after the same time.
pub const MAX_AGE: Duration = Duration::from_millis(1500);
/// Share of the fair level by which an organisation may exceed it. The allowance is larger where few requests make up the
/// level: one standard deviation of a Poisson process.
pub const MARGIN: f64 = 0.05;
/// Tolerance for rounding errors of credits.
const ROUNDING: f64 = 1e-9;
/// Time for which a computed level is used, so that the cost per request doesn't grow with the table.
const LEVEL_LIFETIME: Duration = Duration::from_millis(50);
/// Share of a request in the moving average of the size of requests.
const MEAN_GAIN: f64 = 1.0 / 32.0;
/// Least capacity as a share of the peak. After an outage little or nothing has been admitted in the window; levels from
/// that would hold back most requests for up to [`SHORT_SPAN`] seconds after the capacity is back.
const MIN_PEAK_SHARE: f64 = 0.5;
/// Time in which the remembered peak falls to 1/e; longer than most outages.
const PEAK_MEMORY: Duration = Duration::from_secs(30);
/// Weight of an organisation for which the configuration has none.
pub const EQUAL_WEIGHT: f64 = 1.0;

/// Work in units of [`WORK_UNIT`] tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Work of admitted requests.
    pub admitted: u32,
    /// Work of refused requests, whatever the reason.
    pub refused: u32,
}

impl Work {
    /// All work asked for.
    pub fn demand(self) -> u32 {
        self.admitted.saturating_add(self.refused)
    }

    fn combine(self, other: Work, by: impl Fn(u32, u32) -> u32) -> Work {
        Work { admitted: by(self.admitted, other.admitted), refused: by(self.refused, other.refused) }
    }

    fn add(&mut self, other: Work) {
        *self = self.combine(other, u32::saturating_add);
    }
}

/// The work of a request in units: its prompt tokens to process and its expected output.
pub fn to_units(prompt: u32, output: u32) -> u32 {
    let tokens = u64::from(prompt) + OUTPUT_WEIGHT * u64::from(output);
    u32::try_from(tokens.div_ceil(WORK_UNIT)).unwrap_or(u32::MAX)
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was sent to an endpoint.
    Admitted,
    /// It was refused for lack of capacity.
    Short,
    /// It was admitted, but all endpoints that it was sent to refused it as full.
    Bounced,
    /// It was refused as its organisation is over its share.
    Unfair,
}

/// A service and one of its priority levels; level 0 is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// The service.
    pub service: ServiceTag,
    /// The level.
    pub level: u8,
}

/// The work of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgWork {
    /// The organisation.
    pub organisation: OrgTag,
    /// Its work.
    pub work: Work,
}

/// Recent work of a service at one level, of one or several instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// The service and level.
    pub group: Group,
    /// Work refused for lack of capacity in the last [`SHORT_SPAN`] seconds, in units.
    pub short: u32,
    /// Work of all organisations that are not listed.
    pub rest: Work,
    /// The organisations with the most admitted work, heaviest first.
    pub heavy: Vec<OrgWork>,
}

impl WorkReport {
    /// All work.
    pub fn total(&self) -> Work {
        let mut total = self.rest;
        for entry in &self.heavy {
            total.add(entry.work);
        }
        total
    }

    /// The listed work of an organisation.
    fn work_of(&self, organisation: OrgTag) -> Work {
        self.heavy.iter().find(|entry| entry.organisation == organisation).map_or(Work::default(), |entry| entry.work)
    }
}

/// A sum of reports on one service and level.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkSum {
    short: u32,
    rest: Work,
    heavy: BTreeMap<OrgTag, Work>,
}

impl WorkSum {
    /// Adds a report.
    pub fn add(&mut self, report: &WorkReport) {
        self.combine(report, u32::saturating_add);
    }

    /// Subtracts a report that is part of this sum.
    pub fn subtract(&mut self, report: &WorkReport) {
        self.combine(report, u32::saturating_sub);
    }

    fn combine(&mut self, report: &WorkReport, by: impl Fn(u32, u32) -> u32) {
        self.short = by(self.short, report.short);
        self.rest = self.rest.combine(report.rest, &by);
        for entry in &report.heavy {
            let work = self.heavy.entry(entry.organisation).or_default();
            *work = work.combine(entry.work, &by);
            if *work == Work::default() {
                self.heavy.remove(&entry.organisation);
            }
        }
    }

    /// True if there is nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == WorkSum::default()
    }

    /// The sum as a report that lists up to `most` organisations.
    pub fn to_report(&self, group: Group, most: usize) -> WorkReport {
        let to_entry = |(organisation, work): (&OrgTag, &Work)| OrgWork { organisation: *organisation, work: *work };
        let mut report =
            WorkReport { group, short: self.short, rest: self.rest, heavy: self.heavy.iter().map(to_entry).collect() };
        keep_heaviest(&mut report, most);
        report
    }
}

/// Keeps the `most` organisations with the most admitted work and sums the others.
///
/// Those over the fair level have the most admitted work. By demand, organisations that are already limited would keep
/// others that should be off the list.
fn keep_heaviest(report: &mut WorkReport, most: usize) {
    report.heavy.sort_by_key(|entry| std::cmp::Reverse((entry.work.admitted, entry.work.refused, entry.organisation)));
    for entry in report.heavy.drain(most.min(report.heavy.len())..) {
        report.rest.add(entry.work);
    }
}

/// Limits reports to the size that is exchanged: the groups with the most refused work, and their heaviest organisations.
pub fn truncate(mut reports: Vec<WorkReport>) -> Vec<WorkReport> {
    reports.sort_by_key(|report| (std::cmp::Reverse(report.short), report.group));
    reports.truncate(MAX_REPORTS);
    let most = MAX_REPORTED / reports.len().max(1);
    for report in &mut reports {
        keep_heaviest(report, most);
    }
    reports.sort_by_key(|report| report.group);
    reports
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    work: Work,
}

/// Work over the last [`SPAN`] seconds, in buckets of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    buckets: [Bucket; SPAN as usize],
}

impl Recent {
    fn add(&mut self, work: Work, second: u64) {
        let bucket = &mut self.buckets[(second % SPAN) as usize];
        if bucket.second < second {
            *bucket = Bucket { second, work: Work::default() };
        }
        if bucket.second == second {
            bucket.work.add(work);
        }
    }

    /// Takes back admitted work, the latest first.
    fn retract(&mut self, mut units: u32) {
        let mut latest: Vec<&mut Bucket> = self.buckets.iter_mut().collect();
        latest.sort_by_key(|bucket| std::cmp::Reverse(bucket.second));
        for bucket in latest {
            let taken = units.min(bucket.work.admitted);
            bucket.work.admitted -= taken;
            units -= taken;
        }
    }

    fn absorb(&mut self, other: &Recent) {
        for bucket in other.buckets {
            self.add(bucket.work, bucket.second);
        }
    }

    /// The work of the last `span` seconds, up to `second`.
    fn sum(&self, second: u64, span: u64) -> Work {
        let mut sum = Work::default();
        for bucket in self.buckets.iter().filter(|bucket| bucket.second + span > second) {
            sum.add(bucket.work);
        }
        sum
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    organisation: OrgTag,
    /// Its work since it has the entry.
    own: Recent,
    /// Work of the organisations that had the entry before: an upper bound of what it did before.
    inherited: Recent,
    /// The share of its requests that may pass, as of the last request.
    pass: f64,
    /// Shares of requests that have not been used: a request passes if its own share makes up a whole with them.
    credit: f64,
}

impl Entry {
    fn new(organisation: OrgTag, inherited: Recent) -> Entry {
        Entry { organisation, own: Recent::default(), inherited, pass: 1.0, credit: 1.0 }
    }

    /// Accounts for a request that passed or was refused for fairness.
    fn use_credit(&mut self, passed: bool) {
        self.credit = (self.credit + self.pass - f64::from(u8::from(passed))).clamp(0.0, 1.0);
    }

    fn rank(&self, second: u64) -> u64 {
        u64::from(self.own.sum(second, SPAN).demand()) + u64::from(self.inherited.sum(second, SPAN).demand())
    }
}

/// The heaviest organisations by demand, by the space-saving algorithm over a sliding window. An organisation is only
/// charged with the work counted since it has its entry, so none is refused for the work of another.
#[derive(Clone, Debug, Default)]
pub struct HeavyTable {
    entries: Vec<Entry>,
    rest: Recent,
}

impl HeavyTable {
    /// Counts work; `None` for requests without an organisation, which are summed.
    fn record(&mut self, organisation: Option<OrgTag>, work: Work, fate: Fate, second: u64) {
        let Some(organisation) = organisation else { return self.rest.add(work, second) };
        let known = self.entries.iter().position(|entry| entry.organisation == organisation);
        let index = known.unwrap_or_else(|| self.replace_lightest(organisation, second));
        let entry = &mut self.entries[index];
        entry.own.add(work, second);
        if fate != Fate::Bounced {
            entry.use_credit(fate != Fate::Unfair);
        }
    }

    fn retract(&mut self, organisation: Option<OrgTag>, units: u32) {
        let entry = self.entries.iter_mut().find(|entry| Some(entry.organisation) == organisation);
        entry.map_or(&mut self.rest, |entry| &mut entry.own).retract(units);
    }

    /// Returns the index of a new entry, which replaces the lightest one if the table is full.
    fn replace_lightest(&mut self, organisation: OrgTag, second: u64) -> usize {
        if self.entries.len() < TABLE_SIZE {
            self.entries.push(Entry::new(organisation, Recent::default()));
            return self.entries.len() - 1;
        }
        let index = (0..TABLE_SIZE).min_by_key(|index| self.entries[*index].rank(second)).unwrap_or_default();
        let entry = &mut self.entries[index];
        self.rest.absorb(&entry.own);
        entry.inherited.absorb(&entry.own);
        *entry = Entry::new(organisation, entry.inherited);
        index
    }

    fn entry_of(&mut self, organisation: OrgTag) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|entry| entry.organisation == organisation)
    }

    fn expire(&mut self, second: u64) {
        self.entries.retain(|entry| entry.rank(second) > 0);
    }

    fn to_sum(&self, second: u64) -> WorkSum {
        let works = self.entries.iter().map(|entry| (entry.organisation, entry.own.sum(second, SPAN)));
        let heavy = works.filter(|(_, work)| *work != Work::default()).collect();
        WorkSum { short: 0, rest: self.rest.sum(second, SPAN), heavy }
    }
}

/// A claim to a part of the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Work asked for.
    pub demand: f64,
    /// Its weight; greater than 0.
    pub weight: f64,
}

/// The max-min fair level: the work per weight at which the claims, each limited to its weight times the level, add up to
/// `capacity`. Infinite if the capacity covers all claims.
pub fn fair_level(mut claims: Vec<Claim>, capacity: f64) -> f64 {
    claims.sort_by(|a, b| (a.demand / a.weight).total_cmp(&(b.demand / b.weight)));
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut left = capacity;
    for claim in claims {
        let level = left / weight;
        if claim.demand / claim.weight > level {
            return level.max(0.0);
        }
        left -= claim.demand;
        weight -= claim.weight;
    }
    f64::INFINITY
}

/// The fair level of a report for a capacity in units; infinite if only one organisation has demand. The organisations that
/// are not listed count as the fewest that can have the rest's admitted work, as none has more than the lightest one
/// listed: with more of them, the level would be lower.
fn level_of(report: &WorkReport, capacity: f64, weight_of: impl Fn(OrgTag) -> f64) -> f64 {
    let mut claims = Vec::with_capacity(report.heavy.len() + 1);
    for entry in &report.heavy {
        claims.push(Claim { demand: f64::from(entry.work.demand()), weight: weight_of(entry.organisation) });
    }
    let lightest = report.heavy.iter().map(|entry| entry.work.admitted).min().unwrap_or_default().max(1);
    let count = (f64::from(report.rest.admitted) / f64::from(lightest)).max(1.0);
    if report.rest.demand() > 0 {
        claims.push(Claim { demand: f64::from(report.rest.demand()), weight: count });
    }
    if claims.len() < 2 { f64::INFINITY } else { fair_level(claims, capacity) }
}

/// Why an organisation is over its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// Its work in the window.
    pub work: Work,
    /// The fair level of admitted work, in units.
    pub level: f64,
    /// Age of the other instances' sums; `None` if this instance's table was used alone.
    pub age: Option<Duration>,
}

/// A level computed at a point in time.
#[derive(Clone, Debug)]
struct Standing {
    at: Duration,
    level: f64,
    report: WorkReport,
    /// The most work that was recently admitted in a window, in units; decays with [`PEAK_MEMORY`].
    peak: f64,
    with_others: bool,
}

/// Recent work of one service and level at this instance.
#[derive(Clone, Debug, Default)]
struct GroupState {
    table: HeavyTable,
    /// Work refused for lack of capacity.
    short: Recent,
    /// Moving average of the work of a request, in units; 0 before the first.
    mean: f64,
    standing: Option<Standing>,
}

impl GroupState {
    fn record(&mut self, organisation: Option<OrgTag>, units: u32, fate: Fate, second: u64) {
        let gain = if self.mean > 0.0 { MEAN_GAIN } else { 1.0 };
        self.mean += (f64::from(units) - self.mean) * gain;
        let refused = Work { admitted: 0, refused: units };
        let work = if fate == Fate::Admitted { Work { admitted: units, refused: 0 } } else { refused };
        if fate == Fate::Bounced {
            self.table.retract(organisation, units);
        }
        self.table.record(organisation, work, fate, second);
        if matches!(fate, Fate::Short | Fate::Bounced) {
            self.short.add(refused, second);
        }
    }

    fn short(&self, second: u64) -> u32 {
        self.short.sum(second, SHORT_SPAN).refused
    }

    /// Whether requests were recently refused for lack of capacity, here or at another instance.
    fn is_short(&self, others: Option<&WorkReport>, second: u64) -> bool {
        self.short(second) > 0 || others.is_some_and(|others| others.short > 0)
    }

    fn to_sum(&self, second: u64) -> WorkSum {
        WorkSum { short: self.short(second), ..self.table.to_sum(second) }
    }

    /// Computes the level again if it is too old.
    fn update(&mut self, group: Group, others: Option<&WorkReport>, now: Duration) -> &Standing {
        let before = self.standing.take().filter(|before| before.with_others == others.is_some() && now >= before.at);
        let standing = match before {
            Some(before) if now < before.at + LEVEL_LIFETIME => before,
            before => self.compute(group, others, before.as_ref(), now),
        };
        self.standing.insert(standing)
    }

    fn compute(&self, group: Group, others: Option<&WorkReport>, before: Option<&Standing>, now: Duration) -> Standing {
        let mut sum = self.to_sum(to_second(now));
        if let Some(others) = others {
            sum.add(others);
        }
        let report = sum.to_report(group, others.map_or(TABLE_SIZE, comparable_entries));
        let admitted = f64::from(report.total().admitted);
        let remembered = before.map_or(0.0, |before| {
            before.peak * (-(now.saturating_sub(before.at)).as_secs_f64() / PEAK_MEMORY.as_secs_f64()).exp()
        });
        let peak = admitted.max(remembered);
        let level = level_of(&report, admitted.max(peak * MIN_PEAK_SHARE), |_| EQUAL_WEIGHT);
        Standing { at: now, level, report, peak, with_others: others.is_some() }
    }
}

/// Fair shares at one instance. Times count from any fixed origin.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    groups: HashMap<Group, GroupState>,
    others: HashMap<Group, WorkReport>,
    others_at: Option<Duration>,
}

impl Shares {
    /// Records a request of an organisation, `None` if it has none; `units` is its work, see [`to_units`].
    pub fn record(&mut self, organisation: Option<OrgTag>, group: Group, units: u32, fate: Fate, now: Duration) {
        self.groups.entry(group).or_default().record(organisation, units, fate, to_second(now));
    }

    /// Records the sums of the other instances as of `at`.
    pub fn set_others(&mut self, reports: &[WorkReport], at: Duration) {
        self.others = reports.iter().map(|report| (report.group, report.clone())).collect();
        self.others_at = Some(at);
    }

    /// Returns the figures if the next request of an organisation of `weight` is to be refused, as the organisation is over
    /// its share. What becomes of the request must be recorded.
    pub fn excess(&mut self, organisation: OrgTag, group: Group, weight: f64, now: Duration) -> Option<Excess> {
        let age = self.others_age(now);
        let others = self.others.get(&group).filter(|_| age.is_some());
        let state = self.groups.get_mut(&group)?;
        let second = to_second(now);
        if !state.is_short(others, second) {
            state.table.entry_of(organisation)?.pass = 1.0;
            return None;
        }
        let level = state.update(group, others, now).level * weight;
        let most = limit(level, state.mean);
        // An organisation without an entry has no recent requests here.
        let entry = state.table.entry_of(organisation)?;
        let mut work = entry.own.sum(second, SPAN);
        work.add(others.map_or(Work::default(), |others| others.work_of(organisation)));
        entry.pass = (most / f64::from(work.demand().max(1))).min(1.0);
        let is_refused = entry.credit + entry.pass < 1.0 - ROUNDING;
        is_refused.then_some(Excess { work, level, age: age.filter(|_| others.is_some()) })
    }

    /// Number of known organisations over their share, over all services and levels.
    pub fn count_over(&self, now: Duration) -> usize {
        let is_known = self.others_age(now).is_some();
        let count = |(group, state): (&Group, &GroupState)| {
            let others = self.others.get(group).filter(|_| is_known);
            if !state.is_short(others, to_second(now)) {
                return 0;
            }
            let Some(standing) = &state.standing else { return 0 };
            let most = limit(standing.level, state.mean);
            standing.report.heavy.iter().filter(|entry| f64::from(entry.work.demand()) > most).count()
        };
        self.groups.iter().map(count).sum()
    }

    /// The recent work of this instance, for the other instances: of services and levels whose capacity is short here or
    /// there. No others need figures, as nobody is over a share of theirs.
    pub fn to_reports(&mut self, now: Duration) -> Vec<WorkReport> {
        let second = to_second(now);
        for state in self.groups.values_mut() {
            state.table.expire(second);
        }
        let is_recent = |state: &GroupState| !state.to_sum(second).is_empty();
        self.groups.retain(|_, state| is_recent(state));
        let is_known = self.others_age(now).is_some();
        let is_short_there = |group: &Group| is_known && self.others.get(group).is_some_and(|others| others.short > 0);
        let short = self.groups.iter().filter(|(group, state)| state.short(second) > 0 || is_short_there(group));
        truncate(short.map(|(group, state)| state.to_sum(second).to_report(*group, MAX_REPORTED)).collect())
    }

    /// Age of the other instances' sums, unless they are too old to be used.
    fn others_age(&self, now: Duration) -> Option<Duration> {
        self.others_at.map(|at| now.saturating_sub(at)).filter(|age| *age < MAX_AGE)
    }

    /// Number of services and levels with recent work.
    pub fn groups(&self) -> usize {
        self.groups.len()
    }
}

/// Organisations whose work is known over all instances. The other instances list only their heaviest if they have more,
/// so the lighter ones of this instance's table would seem to have no work there.
fn comparable_entries(others: &WorkReport) -> usize {
    let is_complete = others.rest == Work::default();
    if is_complete { TABLE_SIZE } else { others.heavy.len().max(MAX_REPORTED / MAX_REPORTS) }
}

/// Demand up to which an organisation is not over a fair level, for requests of the size `mean`.
fn limit(level: f64, mean: f64) -> f64 {
    level + (level * MARGIN).max((level * mean).sqrt()) + mean
}

/// Seconds since the origin, from [`SPAN`] on: empty buckets have second 0, which must not count as recent.
fn to_second(now: Duration) -> u64 {
    now.as_secs() + SPAN
}
