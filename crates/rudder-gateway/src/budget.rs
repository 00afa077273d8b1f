//! The retry budget: retries are limited to a ratio of the requests, plus this instance's share of a fixed allowance for
//! all instances.
//!
//! Nobody counts the retries of all instances, so the shares in force within a window must not add up to more than the
//! allowance. An instance that has restarted takes no share at first, as its former process may have used it. The share of
//! instances that vanished is not passed on to the others for a while: they may have used it, or be cut off and use it
//! still.

use rudder_clock::Moment;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Share of the budget that is used, as the windows of the instances are not aligned.
const SAFETY_FACTOR: f64 = 0.7;
/// How long an instance that vanished keeps its share: longer than most partitions last.
const SHARE_LIFETIME: Duration = Duration::from_secs(600);

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// The answer to a request for a retry, and the state of the service's budget after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry is granted.
    pub granted: bool,
    /// Retries within the window, this one included if it is granted.
    pub retries: u32,
    /// Retries allowed within the window.
    pub allowed: f64,
    /// Requests within the window.
    pub requests: u32,
}

/// Requests and retries of each service within a sliding window.
#[derive(Debug)]
pub struct Budget {
    window: Duration,
    ratio: f64,
    extra: u32,
    /// From when on this instance takes its share.
    shares_from: Moment,
    /// Numbers of live instances and when each was last true, the largest first; the last one is the current number.
    instances: VecDeque<(usize, Moment)>,
    services: HashMap<Arc<str>, Window>,
}

impl Budget {
    /// A budget of `ratio` retries per request, and `extra` retries for all instances together, in any `window`, of an
    /// instance that starts at `started`. `restarted` is false if the instance runs for the first time.
    pub fn new(window: Duration, ratio: f64, extra: u32, started: Moment, restarted: bool) -> Budget {
        let shares_from = if restarted { started + window } else { started };
        Budget { window, ratio, extra, shares_from, instances: VecDeque::new(), services: HashMap::new() }
    }

    /// Records the number of live instances that send requests, this one included.
    pub fn record_instances(&mut self, count: usize, now: Moment) {
        if let Some((_, until)) = self.instances.back_mut() {
            *until = now;
        }
        while self.instances.back().is_some_and(|(other, _)| *other <= count) {
            self.instances.pop_back();
        }
        self.instances.push_back((count, now));
    }

    /// The largest number of instances that may hold a share; 0 if none is known yet.
    pub fn instances(&mut self, now: Moment) -> usize {
        while self.instances.len() > 1 && self.instances[0].1 + SHARE_LIFETIME < now {
            self.instances.pop_front();
        }
        self.instances.front().map_or(0, |(count, _)| *count)
    }

    /// Counts a request for `service`.
    pub fn note_request(&mut self, service: &Arc<str>, now: Moment) {
        self.window(service, now).requests.push_back(now);
    }

    /// Takes one retry from the budget if any is left.
    pub fn try_take(&mut self, service: &Arc<str>, now: Moment) -> RetryDecision {
        let (ratio, extra) = (self.ratio, self.share(now));
        let window = self.window(service, now);
        let allowed = (window.requests.len() as f64 * ratio + extra) * SAFETY_FACTOR;
        let granted = window.retries.len() as f64 + 1.0 <= allowed;
        if granted {
            window.retries.push_back(now);
        }
        RetryDecision { granted, retries: window.retries.len() as u32, allowed, requests: window.requests.len() as u32 }
    }

    /// This instance's share of the extra retries.
    fn share(&mut self, now: Moment) -> f64 {
        let instances = self.instances(now);
        if instances == 0 || now < self.shares_from {
            return 0.0;
        }
        f64::from(self.extra) / instances as f64
    }

    fn window(&mut self, service: &Arc<str>, now: Moment) -> &mut Window {
        let span = self.window;
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|time| *time + span < now) {
                times.pop_front();
            }
        }
        window
    }
}
