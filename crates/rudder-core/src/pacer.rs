//! Paces large messages, so that small ones pass between them.

use std::time::Duration;

/// A rate of bytes that may be exceeded for a short time.
#[derive(Debug)]
pub(crate) struct Pacer {
    /// Bytes per second.
    rate: u64,
    /// Time by which bytes may be sent ahead of the rate.
    ahead: Duration,
    /// Time at which all bytes so far have been sent at the rate.
    busy_until: Duration,
}

impl Pacer {
    pub(crate) fn new(rate: u64, ahead: Duration) -> Pacer {
        Pacer { rate: rate.max(1), ahead, busy_until: Duration::ZERO }
    }

    /// Returns how long the next bytes have to wait.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now + self.ahead)
    }

    /// Returns how long bytes take at the rate.
    pub(crate) fn time_for(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate as f64)
    }

    /// Records bytes that are sent.
    pub(crate) fn record(&mut self, now: Duration, bytes: usize) {
        self.busy_until = now.max(self.busy_until) + self.time_for(bytes);
    }

    /// Forgets what was sent.
    pub(crate) fn clear(&mut self) {
        self.busy_until = Duration::ZERO;
    }
}
