//! The retry budget: requests sent again stay a share of the requests, plus this instance's part of a
//! fixed extra that all instances have together.

use rudder_clock::Moment;
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Part of the allowance that is used: the others' windows do not begin with ours.
const CAUTION: f64 = 0.7;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Moment>,
    again: VecDeque<Moment>,
}

/// Requests and repeats of each service over one window.
#[derive(Debug)]
pub struct Budget {
    window: Duration,
    ratio: f64,
    extra: u32,
    services: HashMap<Arc<str>, Window>,
}

impl Budget {
    /// A budget of `ratio` repeats for each request, and `extra` over all instances, in any `window`.
    pub fn new(window: Duration, ratio: f64, extra: u32) -> Budget {
        Budget { window, ratio, extra, services: HashMap::new() }
    }

    /// Counts a request for `service`.
    pub fn note_request(&mut self, service: &Arc<str>, now: Moment) {
        self.window(service, now).requests.push_back(now);
    }

    /// Takes the right to one repeat, if there is one left; `instances` share the extra.
    pub fn try_take(&mut self, service: &Arc<str>, now: Moment, instances: usize) -> bool {
        let (ratio, extra) = (self.ratio, f64::from(self.extra) / instances.max(1) as f64);
        let window = self.window(service, now);
        let allowed = (window.requests.len() as f64 * ratio + extra) * CAUTION;
        if window.again.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.again.push_back(now);
        true
    }

    fn window(&mut self, service: &Arc<str>, now: Moment) -> &mut Window {
        let span = self.window;
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.again] {
            while times.front().is_some_and(|time| *time + span < now) {
                times.pop_front();
            }
        }
        window
    }
}
