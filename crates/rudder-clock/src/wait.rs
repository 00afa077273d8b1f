//! Waits that end by a [`Moment`], also where the machine was suspended meanwhile.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use tokio::sync::Notify;

use crate::Moment;

/// The two clocks may drift apart by this much without a suspension: both are read one after the other by a thread that may
/// be set aside in between.
const DRIFT: Duration = Duration::from_millis(200);

/// Wakes all waits of the process, so that they look at the time again.
static WOKEN: Notify = Notify::const_new();

/// The time ran out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Tells when the machine was suspended: the boot-time clock has gone on further than the steady one.
#[derive(Clone, Copy, Debug)]
pub struct WakeWatch {
    steady: Instant,
    boot: Moment,
}

impl Default for WakeWatch {
    fn default() -> Self {
        WakeWatch { steady: Instant::now(), boot: Moment::now() }
    }
}

impl WakeWatch {
    /// For how long the machine was suspended since the last look, where it was.
    pub fn look(&mut self) -> Option<Duration> {
        let now = WakeWatch::default();
        let steady = now.steady.saturating_duration_since(self.steady);
        let boot = now.boot.saturating_duration_since(self.boot);
        *self = now;
        boot.checked_sub(steady).filter(|span| *span >= DRIFT)
    }
}

/// Lets all waits look at the time again: the machine was suspended.
pub fn note_wake() {
    WOKEN.notify_waiters();
}

/// Waits until `until`.
pub async fn sleep_until(until: Moment) {
    while Moment::now() < until {
        let woken = WOKEN.notified();
        tokio::select! {
            () = tokio::time::sleep_until(until.to_instant().into()) => {}
            () = woken => {}
        }
    }
}

/// Waits for `future`, no longer than until `until`.
///
/// # Errors
/// When the time ran out first.
pub async fn timeout_at<F: Future>(until: Moment, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(until) => Err(Elapsed),
    }
}
