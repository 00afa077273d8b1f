//! Condition of an engine: its lasting speed, and its present pace relative to that.

use std::time::Duration;

/// Time per output token assumed before the first sample of a service.
pub const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(8);
/// Prefill speed assumed before the first sample of a service, in tokens per millisecond.
pub const INITIAL_PREFILL_SPEED: f64 = 30.0;

/// Speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Time per output token at the engine's lasting speed.
    pub token_time: Duration,
    /// Lasting prefill speed, in prompt tokens per millisecond.
    pub prefill_speed: f64,
    /// Present time of work as a multiple of the lasting one; 1.0 without a report.
    pub pace: f64,
    /// Samples that the lasting speed is based on; 0 if it is the median of the service.
    pub samples: u32,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        EngineSpeed { token_time: INITIAL_TOKEN_TIME, prefill_speed: INITIAL_PREFILL_SPEED, pace: 1.0, samples: 0 }
    }
}
