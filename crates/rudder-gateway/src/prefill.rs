//! Prefill speeds of engines, learned from the time to the first event.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// Speed assumed before the first sample, in tokens per millisecond.
const INITIAL_SPEED: f64 = 30.0;
/// Smallest number of queued tokens for a sample: with fewer, fixed costs dominate.
const MIN_SAMPLE_TOKENS: u32 = 8_000;
/// Weight of the latest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Range to which samples are clamped, in tokens per millisecond.
const SPEED_RANGE: (f64, f64) = (3.0, 300.0);

/// Prefill speeds by service.
#[derive(Debug, Default)]
pub struct PrefillSpeeds {
    speeds: HashMap<Arc<str>, f64>,
}

impl PrefillSpeeds {
    /// Records that the first event of a request with `tokens` queued at its engine came `after` it was sent.
    pub fn note(&mut self, service: &Arc<str>, tokens: u32, after: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = f64::from(tokens) / (after.as_secs_f64() * 1000.0).max(1.0);
        let speed = self.speeds.entry(service.clone()).or_insert(INITIAL_SPEED);
        *speed += (sample.clamp(SPEED_RANGE.0, SPEED_RANGE.1) - *speed) * SAMPLE_WEIGHT;
    }

    /// Time that an engine of `service` takes to process `tokens`.
    pub fn time_for(&self, service: &str, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.speed(service) / 1000.0)
    }

    /// Tokens that an engine of `service` processes within `time`.
    pub fn tokens_in(&self, service: &str, time: Duration) -> u64 {
        (time.as_secs_f64() * 1000.0 * self.speed(service)) as u64
    }

    /// Prefill speed of the engines of `service`, in tokens per millisecond.
    pub fn speed(&self, service: &str) -> f64 {
        self.speeds.get(service).copied().unwrap_or(INITIAL_SPEED)
    }
}
