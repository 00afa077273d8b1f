//! The retry budget: retries are limited to a ratio of the requests, plus this instance's share of a fixed allowance for
//! all instances.

use rudder_clock::Moment;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Share of the budget that is used, as the windows of the instances are not aligned.
const SAFETY_FACTOR: f64 = 0.7;

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
    services: HashMap<Arc<str>, Window>,
}

impl Budget {
    /// A budget of `ratio` retries per request, and `extra` retries for all instances together, in any `window`.
    pub fn new(window: Duration, ratio: f64, extra: u32) -> Budget {
        Budget { window, ratio, extra, services: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn note_request(&mut self, service: &Arc<str>, now: Moment) {
        self.window(service, now).requests.push_back(now);
    }

    /// Takes one retry from the budget if any is left. The extra retries are shared by `instances`.
    pub fn try_take(&mut self, service: &Arc<str>, now: Moment, instances: usize) -> RetryDecision {
        let (ratio, extra) = (self.ratio, f64::from(self.extra) / instances.max(1) as f64);
        let window = self.window(service, now);
        let allowed = (window.requests.len() as f64 * ratio + extra) * SAFETY_FACTOR;
        let granted = window.retries.len() as f64 + 1.0 <= allowed;
        if granted {
            window.retries.push_back(now);
        }
        RetryDecision { granted, retries: window.retries.len() as u32, allowed, requests: window.requests.len() as u32 }
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
