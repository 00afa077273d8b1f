//! Faults on demand, over `POST /standin/faults`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Everything takes this many times as long.
    pub slow: f64,
    /// Requests are taken in and never answered.
    pub hang: bool,
    /// Every connection is dropped without an answer.
    pub crash: bool,
    /// Streams break off after this many tokens; 0 for never.
    pub cut: u32,
    /// Requests are refused with 503.
    pub refuse: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Faults { slow: 1.0, hang: false, crash: false, cut: 0, refuse: false }
    }
}

impl Faults {
    /// A time as it is under these faults.
    pub fn stretch(&self, time: Duration) -> Duration {
        time.mul_f64(self.slow.max(0.0))
    }
}
