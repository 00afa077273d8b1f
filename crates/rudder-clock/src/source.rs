//! The clock behind [`Moment`](crate::Moment).

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// A monotonic clock that includes time in system suspend.
pub trait Clock {
    /// Returns the time since an origin that is fixed for the lifetime of the process.
    fn now(&self) -> Duration;
}

/// `CLOCK_BOOTTIME` plus the time added by [`simulate_suspension`].
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

/// Total simulated time in suspend, in microseconds.
static SIMULATED_SUSPEND_MICROS: AtomicU64 = AtomicU64::new(0);

/// Simulates a suspension of the machine by advancing the clock by `duration`; for tests only.
pub fn simulate_suspension(duration: Duration) {
    SIMULATED_SUSPEND_MICROS.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
}

impl Clock for BootClock {
    /// # Panics
    /// If the system has no `CLOCK_BOOTTIME`, which Linux provides since 2.6.39.
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available");
        Duration::from(time) + Duration::from_micros(SIMULATED_SUSPEND_MICROS.load(Ordering::Relaxed))
    }
}
