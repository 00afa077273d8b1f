//! The time of day that all instances agree on, whatever their own clocks do.
//!
//! Clocks of single machines are near true time, but may step by seconds. Every instance therefore tells the reading of
//! its clock with its questions, a relay the median of its own and its askers', and the leader goes by the median of
//! what it is told: it is right while most clocks are. The answer carries that time; an asker takes it with an error of
//! half the time that question and answer took, and keeps the best it got. In between, everybody counts on by the steady
//! clock, which does not step.
//!
//! A time of day is kept as its *origin*: the time of day at which this instance's own steady time was zero.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;

/// What an asker told of its clock counts for this long.
const MEMORY: Duration = Duration::from_millis(2500);
/// A new leader goes by the time that it learned as a follower for this long, until enough others have told theirs.
const GATHER: Duration = Duration::from_secs(1);
/// Steady clocks drift apart by a part in this many at most: 200 in a million.
const DRIFT: u32 = 5000;
/// Estimates further apart than their errors and this are not of the same time: the leader has corrected its own.
const AGREEMENT: Duration = Duration::from_millis(5);
/// A change of the own clock by this much is a jump: a clock that is kept right is never this far off.
const JUMP: Duration = Duration::from_millis(500);
/// A jump that lasts for this long was meant.
const JUMP_LASTS: Duration = Duration::from_secs(600);
/// Steps of the own clock below this are not told: readings of two clocks are never closer than this.
pub const STEP: Duration = Duration::from_millis(2);

/// What was learned of the agreed time, and how well.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    origin: Duration,
    error: Duration,
    at: Duration,
}

impl Estimate {
    /// Its error by now: it grows by the drift of steady clocks.
    fn error_by(&self, now: Duration) -> Duration {
        self.error + now.saturating_sub(self.at) / DRIFT
    }
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    origin: Duration,
    at: Duration,
}

/// The agreed time, and what it is made from.
#[derive(Debug, Default)]
pub struct Clock {
    own: Duration,
    /// Where the own clock has jumped to, and when.
    jumped: Option<Reading>,
    told: BTreeMap<InstanceId, Reading>,
    agreed: Option<Estimate>,
    led_since: Option<Duration>,
}

impl Clock {
    /// The clock of an instance whose own clock has this origin.
    pub fn new(origin: Duration) -> Clock {
        Clock { own: origin, ..Clock::default() }
    }

    /// Records what the origin is by the instance's own clock now. Small changes are the clock being set right and are
    /// followed; a jump is only when it has lasted.
    pub fn set_own(&mut self, now: Duration, origin: Duration) {
        if origin.abs_diff(self.own) < JUMP {
            (self.own, self.jumped) = (origin, None);
            return;
        }
        let since = self.jumped.filter(|jumped| origin.abs_diff(jumped.origin) < JUMP).map_or(now, |jumped| jumped.at);
        self.jumped = Some(Reading { origin, at: since });
    }

    /// Records the reading that an asker told with its question.
    pub fn note(&mut self, now: Duration, from: &InstanceId, time: Duration) {
        self.told.insert(from.clone(), Reading { origin: time.saturating_sub(now), at: now });
    }

    /// What this instance tells of the time: the median of its own clock and of those told to it.
    pub fn to_reading(&self, now: Duration) -> Duration {
        self.median() + now
    }

    /// The agreed time; `None` before anything was learned of it.
    pub fn agreed(&self, now: Duration) -> Option<Duration> {
        self.agreed.map(|agreed| agreed.origin + now)
    }

    /// The agreed time at a moment that may have passed, or this instance's own where none is agreed on yet.
    pub fn at(&self, moment: Duration) -> Duration {
        self.agreed.map_or(self.own, |agreed| agreed.origin) + moment
    }

    /// Advances time; `leads` where this instance's median is the agreed time.
    pub fn tick(&mut self, now: Duration, leads: bool) {
        if let Some(jumped) = self.jumped.take_if(|jumped| now >= jumped.at + JUMP_LASTS) {
            self.own = jumped.origin;
        }
        self.told.retain(|_, reading| now < reading.at + MEMORY);
        if !leads {
            self.led_since = None;
            return;
        }
        let since = *self.led_since.get_or_insert(now);
        if self.agreed.is_none() || now >= since + GATHER {
            self.agreed = Some(Estimate { origin: self.median(), error: Duration::ZERO, at: now });
        }
    }

    /// Records the agreed time of an answer to the question sent at `sent`. An estimate that is better stays.
    pub fn learn(&mut self, now: Duration, sent: Duration, time: Duration) {
        if self.led_since.is_some() {
            return;
        }
        let error = now.saturating_sub(sent) / 2;
        let told = Estimate { origin: (time + error).saturating_sub(now), error, at: now };
        if self.agreed.is_none_or(|agreed| error <= agreed.error_by(now) || contradicts(&told, &agreed, now)) {
            self.agreed = Some(told);
        }
    }

    fn median(&self) -> Duration {
        let mut origins: Vec<Duration> = self.told.values().map(|reading| reading.origin).collect();
        origins.push(self.own);
        let middle = origins.len() / 2;
        *origins.select_nth_unstable(middle).1
    }
}

/// True where two estimates cannot both be right.
fn contradicts(told: &Estimate, held: &Estimate, now: Duration) -> bool {
    told.origin.abs_diff(held.origin) > told.error + held.error_by(now) + AGREEMENT
}
