//! Distributions of times.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;

/// Longest time told apart, in microseconds.
const LONGEST: u64 = 120_000_000;

/// A distribution of times.
#[derive(Clone, Debug)]
pub struct Figures(Histogram<u64>);

impl Default for Figures {
    fn default() -> Self {
        Figures(Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are constants"))
    }
}

impl Figures {
    /// Records a time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST);
        self.0.saturating_record(micros);
    }

    /// Adds all of another distribution.
    pub fn merge(&mut self, other: &Figures) {
        // Both have the same bounds, so nothing is out of range.
        let _ = self.0.add(&other.0);
    }

    /// Times taken in.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The value below which `share` of the times lie.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.0.value_at_quantile(share))
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |share| self.quantile(share);
        write!(f, "n {}, p50 {:?}, p95 {:?}, p99 {:?}, max {:?}", self.count(), at(0.5), at(0.95), at(0.99), at(1.0))
    }
}
