//! Where the time comes from.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// A clock that counts the suspension of the machine.
pub trait Source {
    /// Time since a moment that stays the same while the process lives.
    fn now(&self) -> Duration;
}

/// The boot-time clock of the machine, with the suspensions of [`suspend`] on top.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

/// Microseconds for which the process was told that its machine had been suspended.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);

/// Lets time go on by `span` as a suspension of the machine would: for tests, which cannot suspend one.
pub fn suspend(span: Duration) {
    SUSPENDED.fetch_add(span.as_micros() as u64, Ordering::Relaxed);
}

impl Source for Boot {
    /// # Panics
    /// Where the machine has no boot-time clock: every Linux since 2.6.39 has one.
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the machine has a boot-time clock");
        Duration::from(time) + Duration::from_micros(SUSPENDED.load(Ordering::Relaxed))
    }
}
