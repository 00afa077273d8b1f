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
    pub fn try_take(&mut self, service: &Arc<str>, now: Moment, instances: usize) -> bool {
        let (ratio, extra) = (self.ratio, f64::from(self.extra) / instances.max(1) as f64);
        let window = self.window(service, now);
        let allowed = (window.requests.len() as f64 * ratio + extra) * SAFETY_FACTOR;
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
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
