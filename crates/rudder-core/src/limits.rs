//! Limits that endpoints name in their answers and that apply to all instances together: rates of requests, and of
//! rejections.
//!
//! An instance sends the limits that it and its downstream instances learned to its upstream, a relay or the leader, and
//! receives those of all others. The latest report on an endpoint wins. Every exchange carries the recent changes, and every
//! few seconds all limits, so that exchanges stay small and a lost message delays a change by seconds at most.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{EndpointTag, RequestRate};
use serde::{Deserialize, Serialize};

/// How long each exchange carries a change.
const CHANGE_PERIOD: Duration = Duration::from_secs(2);
/// Interval at which all limits are sent.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// How long the last report on an endpoint is kept if the endpoint is unknown here or its limit has ended.
const RETENTION: Duration = Duration::from_secs(60);
/// A report with an unchanged rate must be this much later than the known one to replace it. A report that comes back from
/// others seems a little later than it is, and must not override what the endpoint reported meanwhile.
const SAME_RATE_MARGIN: Duration = Duration::from_secs(1);

/// What a limit bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LimitKind {
    /// Requests.
    #[default]
    Requests,
    /// Requests that the endpoint rejects for lack of room: it falls over if there are more.
    Rejections,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// The last report on a limit of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// The limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Time since the endpoint reported it, in milliseconds.
    pub age_ms: u32,
    /// What the limit bounds.
    #[serde(default, skip_serializing_if = "is_default")]
    pub kind: LimitKind,
}

/// Identifies a limit.
type LimitKey = (EndpointTag, LimitKind);

/// The latest report on one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    rate: Option<RequestRate>,
    /// When the endpoint reported it.
    at: Duration,
    /// When this instance learned of the last change of the rate.
    changed: Duration,
    /// It comes from this instance or a downstream one, so it is sent upstream.
    is_own: bool,
}

impl Known {
    fn to_report(self, (endpoint, kind): LimitKey, now: Duration) -> LimitReport {
        let age = now.saturating_sub(self.at).as_millis();
        LimitReport { endpoint, rate: self.rate, age_ms: u32::try_from(age).unwrap_or(u32::MAX), kind }
    }
}

/// State of the exchange of limits with one other instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerSync {
    /// When all limits were last sent.
    last_full: Option<Duration>,
}

/// All limits of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: BTreeMap<LimitKey, Known>,
    edition: u64,
}

impl Limits {
    /// True if no limits are known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Number of changes of limits so far.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The limit of this kind of an endpoint, if it has one.
    pub fn rate(&self, endpoint: EndpointTag, kind: LimitKind) -> Option<RequestRate> {
        self.known.get(&(endpoint, kind))?.rate
    }

    /// Records a report of this instance or of a downstream one.
    pub fn record_own(&mut self, now: Duration, report: LimitReport) {
        self.record(now, report, true);
    }

    /// Records a report received from another instance that isn't downstream.
    pub fn record_received(&mut self, now: Duration, report: LimitReport) {
        self.record(now, report, false);
    }

    fn record(&mut self, now: Duration, report: LimitReport, is_own: bool) {
        let at = now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
        let key = (report.endpoint, report.kind);
        let before = self.known.get(&key).copied();
        let is_same = before.is_some_and(|known| known.rate == report.rate);
        let margin = if is_same { SAME_RATE_MARGIN } else { Duration::ZERO };
        if before.is_some_and(|known| at <= known.at + margin) {
            // The reporter is behind and needs the current limit.
            self.edition += u64::from(is_own && !is_same);
            return;
        }
        let changed = before.filter(|_| is_same).map_or(now, |known| known.changed);
        self.known.insert(key, Known { rate: report.rate, at, changed, is_own });
        self.edition += u64::from(!is_same);
    }

    /// All known limits.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = LimitReport> {
        self.known.iter().map(move |(key, known)| known.to_report(*key, now))
    }

    /// The reports to send upstream now.
    pub fn own_changes(&self, now: Duration, sync: &mut PeerSync) -> Vec<LimitReport> {
        self.changes(now, sync, |known| known.is_own)
    }

    /// The reports to send to a downstream instance now.
    pub fn all_changes(&self, now: Duration, sync: &mut PeerSync) -> Vec<LimitReport> {
        self.changes(now, sync, |_| true)
    }

    fn changes(&self, now: Duration, sync: &mut PeerSync, is_included: impl Fn(&Known) -> bool) -> Vec<LimitReport> {
        let full = sync.last_full.is_none_or(|last| now >= last + FULL_SYNC_INTERVAL);
        if full {
            sync.last_full = Some(now);
        }
        let is_due = |known: &Known| is_included(known) && (full || now < known.changed + CHANGE_PERIOD);
        let changes = self.known.iter().filter(|(_, known)| is_due(known));
        changes.map(|(key, known)| known.to_report(*key, now)).collect()
    }

    /// Drops old reports of endpoints for which `is_known` is false, and of limits that have ended.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(EndpointTag) -> bool) {
        let is_old = |known: &Known| now >= known.at + RETENTION;
        self.known.retain(|(endpoint, _), known| !is_old(known) || known.rate.is_some() && is_known(*endpoint));
    }
}
