//! Rate limits that endpoints announce in their answers, in requests per second from all instances together.
//!
//! Each request to such an endpoint needs a permit from the endpoint's holder ([`rudder_core::permits`]). An instance with
//! many requests asks for several permits at once. After a denial, it does not use the endpoint until the time to retry,
//! or until the limit changes.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use rudder_clock::Moment;
use rudder_core::limits::LimitReport;
use rudder_model::{EndpointId, EndpointTag, RequestRate, id};
use rudder_route::rate_limit::Tier;

use crate::dialect::LimitNotice;

/// Lifetime of a permit from the time of its request. Used later, it would add to the permits that others get by then.
const PERMIT_LIFE: Duration = Duration::from_millis(500);
/// Period for which permits are requested in advance.
const PERMIT_HORIZON: Duration = Duration::from_millis(250);
/// Interval at which an unchanged limit is reported to the reducer.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
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

/// Granted permits that have not been used yet.
#[derive(Clone, Copy, Debug)]
struct SparePermits {
    tier: Tier,
    count: u32,
    until: Moment,
}

/// The limit of one endpoint.
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

    fn to_report(&self, endpoint: EndpointTag, now: Moment) -> LimitReport {
        let age = now.saturating_duration_since(self.as_of).as_millis();
        LimitReport { endpoint, rate: self.rate, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
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

/// The rate limits of all endpoints.
#[derive(Debug, Default)]
pub struct RateLimits {
    limits: HashMap<EndpointTag, EndpointLimit>,
}

impl RateLimits {
    /// Records the rate limit in an answer of `endpoint` to a request sent at `sent`. Returns the update if it has to be
    /// reported.
    pub fn record_answer(
        &mut self,
        endpoint: &EndpointId,
        notice: LimitNotice,
        sent: Moment,
        now: Moment,
    ) -> Option<Recorded> {
        let tag = id::endpoint_tag(endpoint);
        let announced = self.limits.get(&tag).map(|limit| limit.as_of);
        let (rate, as_of) = match notice {
            LimitNotice::Limited(rate) => (Some(rate), now),
            // Answers may be reordered: one to a request sent before the limit was announced does not lift it.
            LimitNotice::Unlimited if announced.is_some_and(|announced| announced < sent) => (None, sent),
            LimitNotice::Unlimited | LimitNotice::Unknown => return None,
        };
        let changed = self.set(tag, rate, as_of);
        let limit = self.limits.get_mut(&tag)?;
        if !changed && limit.reported.is_some_and(|reported| now < reported + REPORT_INTERVAL) {
            return None;
        }
        limit.reported = Some(now);
        Some(Recorded { changed, report: limit.to_report(tag, now) })
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
        if !self.limits.get(&report.endpoint).is_some_and(is_outdated) {
            self.set(report.endpoint, report.rate, as_of);
        }
    }

    /// Returns whether the limit changed.
    fn set(&mut self, endpoint: EndpointTag, rate: Option<RequestRate>, as_of: Moment) -> bool {
        let limit = self.limits.entry(endpoint).or_insert_with(|| EndpointLimit::new(None, as_of));
        let changed = limit.rate != rate;
        (limit.rate, limit.as_of) = (rate, as_of);
        if changed {
            (limit.retry_at, limit.spare) = (None, None);
        }
        changed
    }

    /// The rate limit of `endpoint`, if any.
    pub fn rate(&self, endpoint: &str) -> Option<RequestRate> {
        self.limited(endpoint)?.rate
    }

    /// The report of the rate limit of `endpoint` to its holder, if any.
    pub fn report(&self, endpoint: &str, now: Moment) -> Option<LimitReport> {
        self.limited(endpoint).map(|limit| limit.to_report(id::endpoint_tag(endpoint), now))
    }

    /// When permits for `endpoint` may be requested again; `None` if they may be requested now.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.limited(endpoint)?.retry_at.filter(|retry_at| now < *retry_at)
    }

    fn limited(&self, endpoint: &str) -> Option<&EndpointLimit> {
        if self.limits.is_empty() {
            return None;
        }
        self.limits.get(&id::endpoint_tag(endpoint)).filter(|limit| limit.rate.is_some())
    }

    /// Number of permits to request: as many as were used in the last `PERMIT_HORIZON`, and at least one.
    pub fn wanted(&self, endpoint: &str, now: Moment) -> u32 {
        let is_recent = |used: &&Moment| now < **used + PERMIT_HORIZON;
        let used = self.limited(endpoint).map_or(0, |limit| limit.used.iter().filter(is_recent).count());
        u32::try_from(used).unwrap_or(u32::MAX).max(1)
    }

    /// Takes a spare permit that was granted for a request of the same or a lower priority.
    pub fn take_spare(&mut self, endpoint: &str, tier: Tier, now: Moment) -> Option<Permit> {
        let tag = id::endpoint_tag(endpoint);
        let limit = self.limits.get_mut(&tag)?;
        let spare = limit.spare.as_mut().filter(|spare| spare.count > 0 && tier <= spare.tier && now < spare.until)?;
        spare.count -= 1;
        let until = spare.until;
        record_use(&mut limit.used, now);
        Some(Permit { endpoint: tag, until })
    }

    /// Takes one of `count` permits granted for a request made at `asked`, and keeps the others as spare ones.
    pub fn take_granted(&mut self, endpoint: &str, tier: Tier, count: u32, asked: Moment) -> Permit {
        let (tag, until) = (id::endpoint_tag(endpoint), asked + PERMIT_LIFE);
        if let Some(limit) = self.limits.get_mut(&tag) {
            limit.spare = Some(SparePermits { tier, count: count.saturating_sub(1), until });
            record_use(&mut limit.used, asked);
        }
        Permit { endpoint: tag, until }
    }

    /// Records a denial: no permit is to be requested before `retry_at`.
    pub fn record_denial(&mut self, endpoint: &str, retry_at: Moment) {
        if let Some(limit) = self.limits.get_mut(&id::endpoint_tag(endpoint)) {
            limit.retry_at = Some(retry_at);
        }
    }

    /// Number of endpoints with a rate limit.
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
        self.limits.retain(|tag, limit| now < limit.as_of + RETENTION || tags.contains(tag));
    }
}

fn record_use(used: &mut VecDeque<Moment>, now: Moment) {
    while used.front().is_some_and(|at| *at + PERMIT_HORIZON <= now) {
        used.pop_front();
    }
    used.push_back(now);
}
