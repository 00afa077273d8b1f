//! Which delays of a thread are logged.

use std::time::Duration;

use rudder_clock::Moment;

/// Delay from which on a thread counts as late: half of the shortest election timeout.
const LATE: Duration = Duration::from_millis(200);
/// Minimum interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the delay of what was due at `due` if it is late.
pub fn lateness(due: Moment, now: Moment) -> Option<Duration> {
    let late = now.saturating_duration_since(due);
    (late >= LATE).then_some(late)
}

/// Limits the log lines of one thread.
#[derive(Debug, Default)]
pub struct DelayLog {
    logged_at: Option<Moment>,
}

impl DelayLog {
    /// Returns whether a delay may be logged now, and records that it is.
    pub fn take(&mut self, now: Moment) -> bool {
        let taken = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if taken {
            self.logged_at = Some(now);
        }
        taken
    }
}
