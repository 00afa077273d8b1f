//! Sheds the less urgent requests of a service while more urgent ones are refused for lack of capacity.
//!
//! Headroom at the engines and the order in which holders grant permits put urgent requests first where counts are
//! current. A service whose capacity drops, by failures, rate limits or backoff, still refuses urgent requests while less
//! urgent ones find a gap now and then; each of those takes the place of several urgent ones.

use std::{collections::HashMap, sync::Arc};

use rudder_clock::Moment;

use crate::recent::{Tally, Window};

/// Refused requests of a priority from which lower ones are shed.
const MIN_REFUSED: u32 = 3;
/// Share of the refused requests of a priority from which lower ones are shed.
const MIN_SHARE: f64 = 0.05;

/// Recent admissions and refusals of this instance by service and priority level; level 0 is the most urgent.
#[derive(Debug)]
pub struct Shedding {
    started: Moment,
    services: HashMap<Arc<str>, Vec<Window>>,
}

impl Default for Shedding {
    fn default() -> Self {
        Shedding { started: Moment::now(), services: HashMap::new() }
    }
}

impl Shedding {
    /// Records that a request was sent for the first time, or refused for lack of capacity.
    pub fn record(&mut self, service: &Arc<str>, level: usize, refused: bool, now: Moment) {
        let second = self.second(now);
        let levels = self.services.entry(service.clone()).or_default();
        if levels.len() <= level {
            levels.resize(level + 1, Window::default());
        }
        levels[level].add(Tally { ended: 1, failed: u32::from(refused) }, second);
    }

    /// Whether requests of this level are to be refused in favour of more urgent ones.
    pub fn is_shed(&self, service: &str, level: usize, now: Moment) -> bool {
        let Some(levels) = self.services.get(service) else { return false };
        let second = self.second(now);
        let mut urgent = levels.iter().take(level).map(|window| window.sum(second));
        urgent.any(|tally| tally.failed >= MIN_REFUSED && tally.failure_rate() > MIN_SHARE)
    }

    fn second(&self, now: Moment) -> u64 {
        now.saturating_duration_since(self.started).as_secs()
    }
}
