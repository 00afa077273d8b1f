//! Rates of requests.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Thousandths in one.
const MILLI: f64 = 1000.0;

/// Requests a second, to a thousandth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The rate of so many requests a second; `None` where that is negative or no number. A rate beyond what can be counted
    /// is the highest that can be.
    pub fn try_from_per_second(requests: f64) -> Option<RequestRate> {
        if !requests.is_finite() || requests < 0.0 {
            return None;
        }
        Some(RequestRate((requests * MILLI) as u64))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLI
    }

    /// The mean time between two requests; the longest that can be counted where there are none.
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.per_second()).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}/s", self.per_second())
    }
}
