//! Paces large updates, so that small messages pass between them and none is under way for so long that it is asked for
//! again.

use std::time::Duration;

/// Updates of up to this many bytes are not paced.
const SMALL_BYTES: usize = 8 << 10;
/// Updates are admitted while those before them take up to this long; well below the interval after which one is sent again.
const MAX_AHEAD: Duration = Duration::from_millis(150);
/// Largest rate in bytes per second: coding takes time, too.
const MAX_RATE: u64 = 8 << 20;

/// Admits large updates at a rate.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Bytes per second.
    rate: u64,
    busy_until: Duration,
}

impl Pacer {
    pub(crate) fn new(rate: u64) -> Pacer {
        Pacer { rate: rate.clamp(1, MAX_RATE), busy_until: Duration::ZERO }
    }

    /// Returns how long a large update has to wait at `now`.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now + MAX_AHEAD)
    }

    /// Returns whether an update of `bytes` may be sent now.
    pub(crate) fn admit(&mut self, now: Duration, bytes: usize) -> bool {
        if bytes <= SMALL_BYTES {
            return true;
        }
        if self.wait(now) > Duration::ZERO {
            return false;
        }
        self.busy_until = now.max(self.busy_until) + Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        true
    }
}
