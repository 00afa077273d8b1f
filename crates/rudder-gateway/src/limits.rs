//! Limits that endpoints announce in their answers, in requests or rejections per second, over all instances together.
//!
//! Each request to such an endpoint needs a permit from the endpoint's holder ([`rudder_core::permits`]), or a loan where
//! rejections are limited. An instance with many requests asks for several permits at once. After a denial, it does not
//! use the endpoint until the time to retry, or until the limit changes.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use crossbeam_channel::Sender;
use rudder_clock::Moment;
use rudder_core::{
    Event,
    limits::{LimitKind, LimitReport},
    permits::LoanReturn,
};
use rudder_model::{EndpointId, EndpointTag, RequestRate, id};
use rudder_route::rate_limit::Tier;

use crate::dialect::LimitNotice;

/// Lifetime of a permit from the time of its request. Used later, it would add to the permits that others get by then.
const PERMIT_LIFE: Duration = Duration::from_millis(500);
/// Lifetime of a loan until its request is sent. Used later, its rejection could come after the holder has taken it for
/// accepted.
const LOAN_LIFE: Duration = Duration::from_millis(200);
/// Period for which permits are requested in advance.
const PERMIT_HORIZON: Duration = Duration::from_millis(250);
/// Interval at which an unchanged limit is reported to the reducer.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// All kinds of limits.
const KINDS: [LimitKind; 2] = [LimitKind::Requests, LimitKind::Rejections];
/// Time that the limit of an unknown endpoint is kept after its last update.
const RETENTION: Duration = Duration::from_secs(60);

/// The right to send one request to an endpoint that has a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    endpoint: EndpointTag,
    until: Moment,
}

impl Permit {
    /// Whether it permits a request to `endpoint` now.
    pub fn holds(&self, endpoint: &str, now: Moment) -> bool {
        self.endpoint == id::endpoint_tag(endpoint) && now < self.until
    }
}

/// The room for one request at an endpoint that bears few rejections. It is returned on drop.
#[derive(Debug)]
pub struct Loan {
    /// When the request must have been sent.
    until: Moment,
    /// Returns it; `None` if it was not granted.
    end: Option<LoanReturn>,
    events: Sender<Event>,
}

impl Loan {
    /// A loan asked for at `asked`, which `end` returns.
    pub fn new(end: LoanReturn, asked: Moment, events: Sender<Event>) -> Loan {
        Loan { until: asked + LOAN_LIFE, end: Some(end), events }
    }

    /// Whether it permits a request to `endpoint` now.
    pub fn holds(&self, endpoint: &str, now: Moment) -> bool {
        let tag = id::endpoint_tag(endpoint);
        self.end.as_ref().is_some_and(|end| end.endpoint == tag) && now < self.until
    }

    /// Returns it because the endpoint rejected the request.
    pub fn reject(mut self) {
        if let Some(end) = &mut self.end {
            end.rejected = true;
        }
    }

    /// Drops it without returning it: it was denied.
    pub fn discard(mut self) {
        self.end = None;
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            // Without the control thread there is nobody to return it to.
            let _ = self.events.send(Event::ReturnLoan(end));
        }
    }
}

/// What permits one request to an endpoint.
#[derive(Debug, Default)]
pub struct Permission {
    /// For an endpoint whose requests are limited.
    pub permit: Option<Permit>,
    /// For an endpoint whose rejections are limited.
    pub loan: Option<Loan>,
}

/// Granted permits that have not been used yet.
#[derive(Clone, Copy, Debug)]
struct SparePermits {
    tier: Tier,
    count: u32,
    until: Moment,
}

/// One limit of one endpoint.
#[derive(Debug)]
struct EndpointLimit {
    /// The limit; `None` after it was lifted.
    rate: Option<RequestRate>,
    /// When the endpoint announced it.
    as_of: Moment,
    /// When it was last reported to the reducer.
    reported: Option<Moment>,
    /// When permits may be requested again after a denial.
    retry_at: Option<Moment>,
    spare: Option<SparePermits>,
    /// When permits were recently used.
    used: VecDeque<Moment>,
}

impl EndpointLimit {
    fn new(rate: Option<RequestRate>, as_of: Moment) -> EndpointLimit {
        EndpointLimit { rate, as_of, reported: None, retry_at: None, spare: None, used: VecDeque::new() }
    }

    fn to_report(&self, (endpoint, kind): LimitKey, now: Moment) -> LimitReport {
        let age = now.saturating_duration_since(self.as_of).as_millis();
        LimitReport { endpoint, rate: self.rate, age_ms: u32::try_from(age).unwrap_or(u32::MAX), kind }
    }
}

/// An update of a limit by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// Whether the limit changed.
    pub changed: bool,
    /// The report to send to the reducer.
    pub report: LimitReport,
}

/// Identifies a limit.
type LimitKey = (EndpointTag, LimitKind);

/// The limits of all endpoints.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    limits: HashMap<LimitKey, EndpointLimit>,
}

impl EndpointLimits {
    /// Records what an answer of `endpoint` to a request sent at `sent` says of a limit. Returns the update if it has to be
    /// reported.
    pub fn record_answer(
        &mut self,
        endpoint: &EndpointId,
        kind: LimitKind,
        notice: LimitNotice,
        sent: Moment,
        now: Moment,
    ) -> Option<Recorded> {
        let key = (id::endpoint_tag(endpoint), kind);
        let announced = self.limits.get(&key).map(|limit| limit.as_of);
        let (rate, as_of) = match notice {
            LimitNotice::Limited(rate) => (Some(rate), now),
            // Answers may be reordered: one to a request sent before the limit was announced does not lift it.
            LimitNotice::Unlimited if announced.is_some_and(|announced| announced < sent) => (None, sent),
            LimitNotice::Unlimited | LimitNotice::Unknown => return None,
        };
        let changed = self.set(key, rate, as_of);
        let limit = self.limits.get_mut(&key)?;
        if !changed && limit.reported.is_some_and(|reported| now < reported + REPORT_INTERVAL) {
            return None;
        }
        limit.reported = Some(now);
        Some(Recorded { changed, report: limit.to_report(key, now) })
    }

    /// Records a report from other instances, whose age counts from `now`.
    pub fn record_report(&mut self, report: LimitReport, now: Moment) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let as_of = now.checked_sub(age).unwrap_or(now);
        let is_outdated = |limit: &EndpointLimit| {
            // This instance's own report may come back with a slightly later time.
            let is_same = limit.rate == report.rate;
            as_of <= if is_same { limit.as_of + REPORT_INTERVAL } else { limit.as_of }
        };
        let key = (report.endpoint, report.kind);
        if !self.limits.get(&key).is_some_and(is_outdated) {
            self.set(key, report.rate, as_of);
        }
    }

    /// Returns whether the limit changed.
    fn set(&mut self, key: LimitKey, rate: Option<RequestRate>, as_of: Moment) -> bool {
        let limit = self.limits.entry(key).or_insert_with(|| EndpointLimit::new(None, as_of));
        let changed = limit.rate != rate;
        (limit.rate, limit.as_of) = (rate, as_of);
        if changed {
            (limit.retry_at, limit.spare) = (None, None);
        }
        changed
    }

    /// The limit of this kind of `endpoint`, if any.
    pub fn rate(&self, endpoint: &str, kind: LimitKind) -> Option<RequestRate> {
        self.limited(endpoint, kind)?.rate
    }

    /// Whether `endpoint` has a limit of any kind.
    pub fn is_limited(&self, endpoint: &str) -> bool {
        KINDS.into_iter().any(|kind| self.limited(endpoint, kind).is_some())
    }

    /// The report of a limit of `endpoint` to its holder, if any.
    pub fn report(&self, endpoint: &str, kind: LimitKind, now: Moment) -> Option<LimitReport> {
        self.limited(endpoint, kind).map(|limit| limit.to_report((id::endpoint_tag(endpoint), kind), now))
    }

    /// When permits for `endpoint` may be requested again; `None` if they may be requested now.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        let retries = KINDS.into_iter().filter_map(|kind| self.limited(endpoint, kind)?.retry_at);
        retries.filter(|retry_at| now < *retry_at).max()
    }

    fn limited(&self, endpoint: &str, kind: LimitKind) -> Option<&EndpointLimit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&(id::endpoint_tag(endpoint), kind)).filter(|limit| limit.rate.is_some())
    }

    /// Number of permits to request: as many as were used in the last `PERMIT_HORIZON`, and at least one.
    pub fn wanted(&self, endpoint: &str, now: Moment) -> u32 {
        let is_recent = |used: &&Moment| now < **used + PERMIT_HORIZON;
        let used =
            self.limited(endpoint, LimitKind::Requests).map_or(0, |limit| limit.used.iter().filter(is_recent).count());
        u32::try_from(used).unwrap_or(u32::MAX).max(1)
    }

    /// Takes a spare permit that was granted for a request of the same or a lower priority.
    pub fn take_spare(&mut self, endpoint: &str, tier: Tier, now: Moment) -> Option<Permit> {
        let tag = id::endpoint_tag(endpoint);
        let limit = self.limits.get_mut(&(tag, LimitKind::Requests))?;
        let spare = limit.spare.as_mut().filter(|spare| spare.count > 0 && tier <= spare.tier && now < spare.until)?;
        spare.count -= 1;
        let until = spare.until;
        record_use(&mut limit.used, now);
        Some(Permit { endpoint: tag, until })
    }

    /// Takes one of `count` permits granted for a request made at `asked`, and keeps the others as spare ones.
    pub fn take_granted(&mut self, endpoint: &str, tier: Tier, count: u32, asked: Moment) -> Permit {
        let (tag, until) = (id::endpoint_tag(endpoint), asked + PERMIT_LIFE);
        if let Some(limit) = self.limits.get_mut(&(tag, LimitKind::Requests)) {
            limit.spare = Some(SparePermits { tier, count: count.saturating_sub(1), until });
            record_use(&mut limit.used, asked);
        }
        Permit { endpoint: tag, until }
    }

    /// Records a denial: no permit is to be requested before `retry_at`.
    pub fn record_denial(&mut self, endpoint: &str, kind: LimitKind, retry_at: Moment) {
        if let Some(limit) = self.limits.get_mut(&(id::endpoint_tag(endpoint), kind)) {
            limit.retry_at = Some(retry_at);
        }
    }

    /// Number of limits of endpoints.
    pub fn count(&self) -> usize {
        self.limits.values().filter(|limit| limit.rate.is_some()).count()
    }

    /// Drops endpoints that are no longer `known`, after a while: one that was lost may come back, and the reducer reports
    /// its limit only once.
    pub fn retain<'a>(&mut self, known: impl Iterator<Item = &'a EndpointId>, now: Moment) {
        if self.limits.is_empty() {
            return;
        }
        let tags: HashSet<EndpointTag> = known.map(|endpoint| id::endpoint_tag(endpoint)).collect();
        self.limits.retain(|(tag, _), limit| now < limit.as_of + RETENTION || tags.contains(tag));
    }
}

fn record_use(used: &mut VecDeque<Moment>, now: Moment) {
    while used.front().is_some_and(|at| *at + PERMIT_HORIZON <= now) {
        used.pop_front();
    }
    used.push_back(now);
}
