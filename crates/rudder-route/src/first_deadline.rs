//! Recognises repeated attempts of callers by the time that they have left.
//!
//! All first attempts of a route usually state the same time, and a repeated one states less by the time that has passed
//! since the first. The time of first attempts is learned from the largest that was stated lately.

use std::time::Duration;

use crate::{
    decay::DecayedSum,
    returns::{EXPIRY, HONOURED},
};

/// Length of a generation of stated times, of which the current and the previous one are kept.
const GENERATION: Duration = Duration::from_secs(15);
/// Time in which counts lose 1/e of their weight: several times the longest usual retry time.
const SPAN: Duration = Duration::from_secs(10);
/// Smallest share of requests that state about the largest time. Each repeated attempt has had a first one, so that a
/// smaller share than a half shows that the times differ for another reason; the rest allows for random variation.
const MIN_FIRST: f64 = 0.3;
/// Largest share of requests that look like repeated attempts although nobody was told to return. Callers choose an
/// instance at random, so that a few come without having been refused here.
const MAX_STRAYS: f64 = 0.15;
/// Time after the start in which such requests aren't counted: they were refused before the start or elsewhere.
const SETTLING: Duration = Duration::from_secs(5);

/// What the first attempts of a route state as their remaining time.
#[derive(Clone, Debug, Default)]
pub struct FirstDeadline {
    current: Duration,
    previous: Duration,
    turned: Duration,
    started: Option<Duration>,
    /// All requests.
    total: DecayedSum,
    /// Requests that state about the largest time.
    first: DecayedSum,
    /// Requests that look repeated while nobody is expected.
    strays: DecayedSum,
    /// Callers that were told to return and haven't.
    expected: DecayedSum,
}

impl FirstDeadline {
    /// Records that a caller was told to return.
    pub fn record_told(&mut self, now: Duration) {
        self.expected.add(1.0, now, SPAN);
    }

    /// Records a request that states the remaining time `stated`, and returns the age of its first attempt if it is a
    /// repeated one. `shortest` is the shortest time after which callers of the route are told to return.
    pub fn recognise(&mut self, stated: Duration, shortest: Duration, now: Duration) -> Option<Duration> {
        self.turn(now);
        self.current = self.current.max(stated);
        let largest = self.current.max(self.previous);
        let age = largest.saturating_sub(stated);
        self.total.add(1.0, now, SPAN);
        if age < shortest {
            self.first.add(1.0, now, SPAN);
            return None;
        }
        if age > largest.mul_f64(HONOURED) + EXPIRY {
            return None;
        }
        if self.expected.at(now, SPAN) < 0.5 {
            if self.started.is_some_and(|started| now >= started + SETTLING) {
                self.strays.add(1.0, now, SPAN);
            }
            return None;
        }
        self.expected.add(-1.0, now, SPAN);
        self.is_telling(now).then_some(age)
    }

    /// Whether the stated times tell repeated attempts from first ones.
    fn is_telling(&self, now: Duration) -> bool {
        let total = self.total.at(now, SPAN);
        self.first.at(now, SPAN) >= total * MIN_FIRST && self.strays.at(now, SPAN) <= total * MAX_STRAYS
    }

    /// Drops the stated times that are too old.
    fn turn(&mut self, now: Duration) {
        self.started.get_or_insert(now);
        let passed = now.saturating_sub(self.turned);
        if passed < GENERATION {
            return;
        }
        self.previous = if passed < GENERATION * 2 { self.current } else { Duration::ZERO };
        self.current = Duration::ZERO;
        self.turned = now;
    }
}
