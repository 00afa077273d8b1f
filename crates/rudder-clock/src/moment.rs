//! A point in time.

use std::{
    ops::{Add, Sub},
    time::{Duration, Instant},
};

use crate::{Boot, Source};

/// A point in time, by a clock that counts the suspension of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
    /// Now, by the machine's clock.
    pub fn now() -> Moment {
        Moment::of(&Boot)
    }

    /// Now, by `source`.
    pub fn of(source: &impl Source) -> Moment {
        Moment(source.now())
    }

    /// Time that has passed since then; none where it lies ahead.
    pub fn elapsed(self) -> Duration {
        Moment::now().saturating_duration_since(self)
    }

    /// Time from `earlier` to this; none where that is the later one.
    pub fn saturating_duration_since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time from `earlier` to this; `None` where that is the later one.
    pub fn checked_duration_since(self, earlier: Moment) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// The point `span` before this; `None` where the clock had not begun.
    pub fn checked_sub(self, span: Duration) -> Option<Moment> {
        self.0.checked_sub(span).map(Moment)
    }

    /// The point by the steady clock at which this comes if the machine is not suspended before.
    pub fn to_instant(self) -> Instant {
        Instant::now() + self.saturating_duration_since(Moment::now())
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment(self.0.saturating_add(span))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, span: Duration) -> Moment {
        Moment(self.0.saturating_sub(span))
    }
}
