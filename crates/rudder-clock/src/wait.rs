//! Timers with a [`Moment`] as the deadline, and detection of system suspend.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::Moment;

/// Shortest difference between the clocks that counts as a suspension. The clocks are read one after the other, and the
/// thread may be preempted in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Notifies all timers of the process to re-check their deadlines.
static RECHECK: Notify = Notify::const_new();

/// The deadline passed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Detects system suspend by comparing the boot-time clock with the monotonic clock, which stops during suspend.
#[derive(Clone, Copy, Debug)]
pub struct WakeWatch {
    monotonic: Instant,
    boot: Moment,
}

impl Default for WakeWatch {
    fn default() -> Self {
        WakeWatch { monotonic: Instant::now(), boot: Moment::now() }
    }
}

impl WakeWatch {
    /// Returns how long the machine was suspended since the previous call, or `None` if no suspension was detected.
    pub fn look(&mut self) -> Option<Duration> {
        let now = WakeWatch::default();
        let monotonic = now.monotonic.saturating_duration_since(self.monotonic);
        let boot = now.boot.saturating_duration_since(self.boot);
        *self = now;
        boot.checked_sub(monotonic).filter(|suspension| *suspension >= MIN_SUSPENSION)
    }
}

/// Makes all pending timers re-check their deadlines; to be called after a suspension.
pub fn note_wake() {
    RECHECK.notify_waiters();
}

/// Waits until `deadline`.
pub async fn sleep_until(deadline: Moment) {
    while Moment::now() < deadline {
        let recheck = RECHECK.notified();
        tokio::select! {
            () = tokio::time::sleep_until(deadline.to_instant().into()) => {}
            () = recheck => {}
        }
    }
}

/// Waits for `future` until `deadline`. A future that is ready completes even after the deadline.
///
/// # Errors
/// [`Elapsed`] if the deadline passes first.
pub async fn timeout_at<F: Future>(deadline: Moment, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(deadline) => Err(Elapsed),
    }
}
