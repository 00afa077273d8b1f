//! Rate limits that endpoints name in their answers, as this instance knows them: so many requests a second from all
//! instances together.
//!
//! Each request to such an endpoint needs a permit of the endpoint's holder ([`rudder_core::permits`]). An instance that
//! sends many asks for several at once. One that was denied leaves the endpoint out until it is to ask again, or until
//! the limit is another one.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use rudder_clock::Moment;
use rudder_core::limits::LimitReport;
use rudder_model::{EndpointId, EndpointTag, RequestRate, id};
use rudder_route::rate_limit::Tier;

use crate::dialect::LimitNotice;

/// A permit holds for this long after it was asked for: what is sent later would come on top of what others are granted then.
const PERMIT_LIFE: Duration = Duration::from_millis(500);
/// Permits are asked for that are used in this time.
const AHEAD: Duration = Duration::from_millis(250);
/// The reducer is told of a limit that has not changed this often.
const REFRESH: Duration = Duration::from_secs(1);
/// An endpoint that is not known any more is kept for this long after it last said something of its limit.
const KEEP: Duration = Duration::from_secs(60);

/// The right to send one request to an endpoint that has a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    endpoint: EndpointTag,
    until: Moment,
}

impl Permit {
    /// True where it allows to send to `endpoint` now.
    pub fn holds(&self, endpoint: &str, now: Moment) -> bool {
        self.endpoint == id::endpoint_tag(endpoint) && now < self.until
    }
}

/// Permits that were granted and not yet used.
#[derive(Clone, Copy, Debug)]
struct Spare {
    tier: Tier,
    count: u32,
    until: Moment,
}

/// One endpoint that named a limit.
#[derive(Debug)]
struct Known {
    /// The limit; `None` where it has ended.
    rate: Option<RequestRate>,
    /// When the endpoint said so.
    at: Moment,
    /// When the reducer was told.
    told: Option<Moment>,
    /// When permits may be asked for again.
    retry_at: Option<Moment>,
    spare: Option<Spare>,
    /// When permits were used of late.
    used: VecDeque<Moment>,
}

impl Known {
    fn new(rate: Option<RequestRate>, at: Moment) -> Known {
        Known { rate, at, told: None, retry_at: None, spare: None, used: VecDeque::new() }
    }

    fn to_report(&self, endpoint: EndpointTag, now: Moment) -> LimitReport {
        let age = now.saturating_duration_since(self.at).as_millis();
        LimitReport { endpoint, rate: self.rate, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
    }
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The limit is another than before.
    pub changed: bool,
    /// What the reducer is to be told.
    pub report: LimitReport,
}

/// The limits of all endpoints.
#[derive(Debug, Default)]
pub struct RateLimits {
    known: HashMap<EndpointTag, Known>,
}

impl RateLimits {
    /// Records what an answer says of the limit of `endpoint`, to a request sent at `sent`. Returns what is to be told of it.
    pub fn record_answer(
        &mut self,
        endpoint: &EndpointId,
        notice: LimitNotice,
        sent: Moment,
        now: Moment,
    ) -> Option<Recorded> {
        let tag = id::endpoint_tag(endpoint);
        let named = self.known.get(&tag).map(|known| known.at);
        let (rate, at) = match notice {
            LimitNotice::Limited(rate) => (Some(rate), now),
            // Answers pass each other: one that was made before the limit was named does not end it.
            LimitNotice::Unlimited if named.is_some_and(|named| named < sent) => (None, sent),
            LimitNotice::Unlimited | LimitNotice::Unknown => return None,
        };
        let changed = self.set(tag, rate, at);
        let known = self.known.get_mut(&tag)?;
        if !changed && known.told.is_some_and(|told| now < told + REFRESH) {
            return None;
        }
        known.told = Some(now);
        Some(Recorded { changed, report: known.to_report(tag, now) })
    }

    /// Records what other instances know as of `now`.
    pub fn record_report(&mut self, report: LimitReport, now: Moment) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let at = now.checked_sub(age).unwrap_or(now);
        let is_old = |known: &Known| {
            let says_same = known.rate == report.rate;
            // What this instance has told comes back a little later than it was said.
            at <= if says_same { known.at + REFRESH } else { known.at }
        };
        if !self.known.get(&report.endpoint).is_some_and(is_old) {
            self.set(report.endpoint, report.rate, at);
        }
    }

    /// Returns whether the limit is another than before.
    fn set(&mut self, endpoint: EndpointTag, rate: Option<RequestRate>, at: Moment) -> bool {
        let known = self.known.entry(endpoint).or_insert_with(|| Known::new(None, at));
        let changed = known.rate != rate;
        (known.rate, known.at) = (rate, at);
        if changed {
            (known.retry_at, known.spare) = (None, None);
        }
        changed
    }

    /// The limit of `endpoint`, where it has one.
    pub fn rate(&self, endpoint: &str) -> Option<RequestRate> {
        self.limited(endpoint)?.rate
    }

    /// What the holder is to be told of the limit of `endpoint`, where it has one.
    pub fn report(&self, endpoint: &str, now: Moment) -> Option<LimitReport> {
        self.limited(endpoint).map(|known| known.to_report(id::endpoint_tag(endpoint), now))
    }

    /// When permits for `endpoint` may be asked for again; `None` where they may be now.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.limited(endpoint)?.retry_at.filter(|retry_at| now < *retry_at)
    }

    fn limited(&self, endpoint: &str) -> Option<&Known> {
        if self.known.is_empty() {
            return None;
        }
        self.known.get(&id::endpoint_tag(endpoint)).filter(|known| known.rate.is_some())
    }

    /// Permits to ask for: as many as were used of late in the time for which they are asked, and one at least.
    pub fn wanted(&self, endpoint: &str, now: Moment) -> u32 {
        let used = self.limited(endpoint).map_or(0, |known| known.used.iter().filter(|at| now < **at + AHEAD).count());
        u32::try_from(used).unwrap_or(u32::MAX).max(1)
    }

    /// Takes a permit that is left of those granted for a request at least as urgent.
    pub fn take_spare(&mut self, endpoint: &str, tier: Tier, now: Moment) -> Option<Permit> {
        let tag = id::endpoint_tag(endpoint);
        let known = self.known.get_mut(&tag)?;
        let spare = known.spare.as_mut().filter(|spare| spare.count > 0 && tier <= spare.tier && now < spare.until)?;
        spare.count -= 1;
        let until = spare.until;
        note_used(&mut known.used, now);
        Some(Permit { endpoint: tag, until })
    }

    /// Takes one of `count` permits that were asked for at `asked`; the others are kept.
    pub fn take_granted(&mut self, endpoint: &str, tier: Tier, count: u32, asked: Moment) -> Permit {
        let (tag, until) = (id::endpoint_tag(endpoint), asked + PERMIT_LIFE);
        if let Some(known) = self.known.get_mut(&tag) {
            known.spare = Some(Spare { tier, count: count.saturating_sub(1), until });
            note_used(&mut known.used, asked);
        }
        Permit { endpoint: tag, until }
    }

    /// Records that no permit is to be asked for before `retry_at`.
    pub fn record_denial(&mut self, endpoint: &str, retry_at: Moment) {
        if let Some(known) = self.known.get_mut(&id::endpoint_tag(endpoint)) {
            known.retry_at = Some(retry_at);
        }
    }

    /// Endpoints that have a limit.
    pub fn count(&self) -> usize {
        self.known.values().filter(|known| known.rate.is_some()).count()
    }

    /// Forgets endpoints that are not `known` any more. One that was lost a moment ago may come back, and the reducer tells of its
    /// limit no more than once.
    pub fn retain<'a>(&mut self, known: impl Iterator<Item = &'a EndpointId>, now: Moment) {
        if self.known.is_empty() {
            return;
        }
        let tags: HashSet<EndpointTag> = known.map(|endpoint| id::endpoint_tag(endpoint)).collect();
        self.known.retain(|tag, known| now < known.at + KEEP || tags.contains(tag));
    }
}

fn note_used(used: &mut VecDeque<Moment>, now: Moment) {
    while used.front().is_some_and(|at| *at + AHEAD <= now) {
        used.pop_front();
    }
    used.push_back(now);
}
