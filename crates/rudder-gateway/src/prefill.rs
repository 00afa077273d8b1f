//! How fast a service's engines read prompts, learned from the time to the first event.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Speed assumed before anything was measured, in tokens a millisecond.
const FIRST_GUESS: f64 = 30.0;
/// Only first events behind at least this many tokens tell a speed; the others tell fixed costs.
const LOADED: u32 = 8_000;
/// Weight of the latest sample.
const WEIGHT: f64 = 0.05;
/// Speeds outside these bounds come from samples that were not what they seemed.
const BOUNDS: (f64, f64) = (3.0, 300.0);

/// Prefill speeds by service.
#[derive(Debug, Default)]
pub struct PrefillSpeeds {
    speeds: HashMap<Arc<str>, f64>,
}

impl PrefillSpeeds {
    /// Records that a first event came `after` the request was sent, behind `tokens`.
    pub fn note(&mut self, service: &Arc<str>, tokens: u32, after: Duration) {
        if tokens < LOADED {
            return;
        }
        let sample = f64::from(tokens) / (after.as_secs_f64() * 1000.0).max(1.0);
        let speed = self.speeds.entry(service.clone()).or_insert(FIRST_GUESS);
        *speed += (sample.clamp(BOUNDS.0, BOUNDS.1) - *speed) * WEIGHT;
    }

    /// How long an engine of `service` takes to read `tokens`.
    pub fn time_for(&self, service: &str, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.speed(service) / 1000.0)
    }

    /// Tokens that an engine of `service` reads within `time`.
    pub fn tokens_in(&self, service: &str, time: Duration) -> u64 {
        (time.as_secs_f64() * 1000.0 * self.speed(service)) as u64
    }

    /// Tokens read in a millisecond.
    pub fn speed(&self, service: &str) -> f64 {
        self.speeds.get(service).copied().unwrap_or(FIRST_GUESS)
    }
}
