//! Points in time on the boot-time clock.

use std::{
    ops::{Add, Sub},
    time::{Duration, Instant},
};

use crate::{BootClock, Clock};

/// A point in time on a clock that includes time in system suspend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current time of the machine's boot-time clock.
    pub fn now() -> Moment {
        Moment::from_clock(&BootClock)
    }

    /// Returns the current time of `clock`.
    pub fn from_clock(clock: &impl Clock) -> Moment {
        Moment(clock.now())
    }

    /// Returns the time elapsed since this moment, or zero if it is in the future.
    pub fn elapsed(self) -> Duration {
        Moment::now().saturating_duration_since(self)
    }

    /// Returns the time from `earlier` to this moment, or zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time from `earlier` to this moment, or `None` if `earlier` is later.
    pub fn checked_duration_since(self, earlier: Moment) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// Returns the moment `duration` before this one, or `None` if that is before the origin of the clock.
    pub fn checked_sub(self, duration: Duration) -> Option<Moment> {
        self.0.checked_sub(duration).map(Moment)
    }

    /// Converts to the [`Instant`] at which this moment is reached, provided that the machine is not suspended before.
    pub fn to_instant(self) -> Instant {
        Instant::now() + self.saturating_duration_since(Moment::now())
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration))
    }
}
