//! Rate limits that endpoints name in their answers, as all instances know them.
//!
//! An instance tells those whom it asks for news what endpoints said to it and to those who ask it, and is told what all
//! others learned. The latest word on an endpoint holds everywhere. Changes are told with each exchange for a while, and
//! everything now and then, so that what is told costs little and a lost message delays a change by seconds at most.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{EndpointTag, RequestRate};
use serde::{Deserialize, Serialize};

/// A change is told with each exchange for this long.
const RECENT: Duration = Duration::from_secs(2);
/// Everything is told once in this time.
const COMPLETE: Duration = Duration::from_secs(5);
/// What is known of an endpoint is kept for this long after its last word, where the endpoint itself is not known here or has
/// no limit any more.
const KEEP: Duration = Duration::from_secs(60);
/// A later word that says the same is taken in only where it is so much later: a word comes back a little later than it was
/// sent, and must not outdate what the endpoint said meanwhile.
const ECHO: Duration = Duration::from_secs(1);

/// What an endpoint last said of its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint, in short.
    pub endpoint: EndpointTag,
    /// The limit; `None` where it has ended.
    pub rate: Option<RequestRate>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
}

/// The latest word of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    rate: Option<RequestRate>,
    /// When the endpoint said so.
    at: Duration,
    /// When it was learned here that the limit is another.
    changed: Duration,
    /// It comes from an answer to this instance or to one that asks here, so those whom this instance asks need it.
    is_own: bool,
}

impl Known {
    fn to_report(self, endpoint: EndpointTag, now: Duration) -> LimitReport {
        let age = now.saturating_sub(self.at).as_millis();
        LimitReport { endpoint, rate: self.rate, age_ms: u32::try_from(age).unwrap_or(u32::MAX) }
    }
}

/// What an exchange with one other instance has told of all limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerSync {
    complete: Option<Duration>,
}

/// The limits of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: BTreeMap<EndpointTag, Known>,
    edition: u64,
}

impl Limits {
    /// True where nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Counts the changes of limits.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The limit of an endpoint, where it has one.
    pub fn rate(&self, endpoint: EndpointTag) -> Option<RequestRate> {
        self.known.get(&endpoint)?.rate
    }

    /// Records what an endpoint said to this instance, or to one that asks here.
    pub fn record_own(&mut self, now: Duration, report: LimitReport) {
        self.record(now, report, true);
    }

    /// Records what the one whom this instance asks has told.
    pub fn record_received(&mut self, now: Duration, report: LimitReport) {
        self.record(now, report, false);
    }

    fn record(&mut self, now: Duration, report: LimitReport, is_own: bool) {
        let at = now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
        let before = self.known.get(&report.endpoint).copied();
        let says_same = before.is_some_and(|known| known.rate == report.rate);
        let margin = if says_same { ECHO } else { Duration::ZERO };
        if before.is_some_and(|known| at <= known.at + margin) {
            // Who said so knows less, and is to be told what holds.
            self.edition += u64::from(is_own && !says_same);
            return;
        }
        let changed = before.filter(|_| says_same).map_or(now, |known| known.changed);
        self.known.insert(report.endpoint, Known { rate: report.rate, at, changed, is_own });
        self.edition += u64::from(!says_same);
    }

    /// All that is known.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = LimitReport> {
        self.known.iter().map(move |(endpoint, known)| known.to_report(*endpoint, now))
    }

    /// What the one whom this instance asks is to be told.
    pub fn own_changes(&self, now: Duration, told: &mut PeerSync) -> Vec<LimitReport> {
        self.news(now, told, |known| known.is_own)
    }

    /// What one that asks here is to be told.
    pub fn all_changes(&self, now: Duration, told: &mut PeerSync) -> Vec<LimitReport> {
        self.news(now, told, |_| true)
    }

    fn news(&self, now: Duration, told: &mut PeerSync, is_meant: impl Fn(&Known) -> bool) -> Vec<LimitReport> {
        let complete = told.complete.is_none_or(|complete| now >= complete + COMPLETE);
        if complete {
            told.complete = Some(now);
        }
        let is_news = |known: &Known| is_meant(known) && (complete || now < known.changed + RECENT);
        let news = self.known.iter().filter(|(_, known)| is_news(known));
        news.map(|(endpoint, known)| known.to_report(*endpoint, now)).collect()
    }

    /// Forgets endpoints that are not `known` any more, and limits that ended long ago.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(EndpointTag) -> bool) {
        let is_old = |known: &Known| now >= known.at + KEEP;
        self.known.retain(|endpoint, known| !is_old(known) || known.rate.is_some() && is_known(*endpoint));
    }
}
