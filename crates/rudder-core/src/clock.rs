//! The time of day that all instances agree on, independent of any single clock.
//!
//! Clocks of single machines may step by seconds. Every instance sends the reading of its clock with its watch
//! requests, a relay the median of its own and its watchers' readings, and the leader uses the median of what it
//! receives, which is right while most clocks are. The reply carries that time. The receiver adopts it with an error of
//! half the round-trip time and keeps the best estimate. In between, time advances by the monotonic clock.
//!
//! A time of day is stored as its *origin*: the time of day at which this instance's monotonic time was zero.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;

/// Lifetime of a reading received from another instance.
const READING_TTL: Duration = Duration::from_millis(2500);
/// Time for which a new leader keeps the time that it learned as a follower, while it collects readings.
const GATHER_TIME: Duration = Duration::from_secs(1);
/// Monotonic clocks drift apart by at most one part in this many (200 ppm).
const DRIFT_DIVISOR: u32 = 5000;
/// Estimates that differ by more than their errors plus this contradict each other: the leader's time was corrected.
const TOLERANCE: Duration = Duration::from_millis(5);
/// A change of the local clock by at least this much is a jump; smaller ones are regular adjustments.
const JUMP_THRESHOLD: Duration = Duration::from_millis(500);
/// A jump that persists for this long is accepted.
const JUMP_CONFIRM_TIME: Duration = Duration::from_secs(600);
/// Smallest step of the local clock that is reported; smaller ones are within the error of reading two clocks.
pub const STEP: Duration = Duration::from_millis(2);

/// An estimate of the agreed time and its error.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    origin: Duration,
    error: Duration,
    at: Duration,
}

impl Estimate {
    /// Returns the error at `now`, which grows by the drift of monotonic clocks.
    fn error_by(&self, now: Duration) -> Duration {
        self.error + now.saturating_sub(self.at) / DRIFT_DIVISOR
    }
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    origin: Duration,
    at: Duration,
}

/// The agreed time and the readings that it is computed from.
#[derive(Debug, Default)]
pub struct Clock {
    /// Origin by this instance's own clock.
    local: Duration,
    /// Target and time of a jump of the local clock that is not accepted yet.
    jump: Option<Reading>,
    /// Latest reading of each other instance.
    readings: BTreeMap<InstanceId, Reading>,
    agreed: Option<Estimate>,
    leader_since: Option<Duration>,
}

impl Clock {
    /// Creates a clock for an instance whose local clock has this origin.
    pub fn new(origin: Duration) -> Clock {
        Clock { local: origin, ..Clock::default() }
    }

    /// Records the current origin by the local clock. Small adjustments are followed at once, a jump only after it has
    /// persisted.
    pub fn set_local(&mut self, now: Duration, origin: Duration) {
        if origin.abs_diff(self.local) < JUMP_THRESHOLD {
            (self.local, self.jump) = (origin, None);
            return;
        }
        let since = self.jump.filter(|jump| origin.abs_diff(jump.origin) < JUMP_THRESHOLD).map_or(now, |jump| jump.at);
        self.jump = Some(Reading { origin, at: since });
    }

    /// Records the reading in a watch request.
    pub fn record_reading(&mut self, now: Duration, from: &InstanceId, time: Duration) {
        self.readings.insert(from.clone(), Reading { origin: time.saturating_sub(now), at: now });
    }

    /// Returns the reading to send: the median of the local clock and of the readings received.
    pub fn reading(&self, now: Duration) -> Duration {
        self.median() + now
    }

    /// Returns the agreed time; `None` if it is not known yet.
    pub fn agreed(&self, now: Duration) -> Option<Duration> {
        self.agreed.map(|agreed| agreed.origin + now)
    }

    /// Returns the agreed time at `moment`, or the local time if none is agreed on yet.
    pub fn at(&self, moment: Duration) -> Duration {
        self.agreed.map_or(self.local, |agreed| agreed.origin) + moment
    }

    /// Advances time. On the leader the median becomes the agreed time.
    pub fn tick(&mut self, now: Duration, leads: bool) {
        if let Some(jump) = self.jump.take_if(|jump| now >= jump.at + JUMP_CONFIRM_TIME) {
            self.local = jump.origin;
        }
        self.readings.retain(|_, reading| now < reading.at + READING_TTL);
        if !leads {
            self.leader_since = None;
            return;
        }
        let since = *self.leader_since.get_or_insert(now);
        if self.agreed.is_none() || now >= since + GATHER_TIME {
            self.agreed = Some(Estimate { origin: self.median(), error: Duration::ZERO, at: now });
        }
    }

    /// Records the agreed time in the reply to a request sent at `sent`, unless the held estimate is better.
    pub fn learn(&mut self, now: Duration, sent: Duration, time: Duration) {
        if self.leader_since.is_some() {
            return;
        }
        let error = now.saturating_sub(sent) / 2;
        let estimate = Estimate { origin: (time + error).saturating_sub(now), error, at: now };
        if self.agreed.is_none_or(|agreed| error <= agreed.error_by(now) || contradicts(&estimate, &agreed, now)) {
            self.agreed = Some(estimate);
        }
    }

    fn median(&self) -> Duration {
        let mut origins: Vec<Duration> = self.readings.values().map(|reading| reading.origin).collect();
        origins.push(self.local);
        let middle = origins.len() / 2;
        *origins.select_nth_unstable(middle).1
    }
}

/// Returns whether two estimates cannot both be right.
fn contradicts(new: &Estimate, held: &Estimate, now: Duration) -> bool {
    new.origin.abs_diff(held.origin) > new.error + held.error_by(now) + TOLERANCE
}
