//! Schedules when callers that were refused for lack of capacity return.
//!
//! Callers that are refused together and told the same time return together and are refused again. Here, each gets a
//! time of its own, spaced by the rate at which requests of its priority and lower ones were lately admitted. Scheduled
//! times lie in the first part of the time that callers wait at most; callers for whom none is free are spread over the
//! rest. So any instance can tell by the age of a returning request whether it was scheduled.

use std::{collections::VecDeque, time::Duration};

use rudder_model::ContentTag;
use serde::Deserialize;

use crate::decay::DecayedRate;

/// Priority levels; lower ones count as the last.
pub use crate::admission::LEVELS;
/// Share of their remaining time that callers wait at most before they return.
pub const HONOURED: f64 = 1.0 / 3.0;
/// Share of the time that callers wait at most over which unscheduled ones are spread.
const LATE_SHARE: f64 = 0.2;
/// Share of the time that callers wait at most in which scheduled times lie. The gap up to the unscheduled ones holds the
/// round trips by which a return is later than told.
const SCHEDULED_SHARE: f64 = 0.75;
/// Time by which a caller may count less time left than this instance, for the network and the rounding of the header.
const MARGIN: Duration = Duration::from_millis(60);
/// Time after which a promise that nobody keeps expires: a caller needs a round trip and perhaps a new connection.
pub const EXPIRY: Duration = Duration::from_millis(300);
/// Reservations begin at least this long before a request is due: a request admitted then is still in its prefill when
/// the due one comes.
const MIN_LEAD: Duration = Duration::from_millis(150);
/// Reservations begin at most this long before a request is due.
const MAX_LEAD: Duration = Duration::from_secs(1);
/// Timers of callers may fire this much too early.
const TIMER_ERROR: Duration = Duration::from_millis(10);
/// Time in which admissions lose 1/e of their weight in the rate. An instance admits few requests a second.
const RATE_SPAN: Duration = Duration::from_secs(5);
/// Smallest rate from which callers are scheduled, in requests a second.
const MIN_RATE: f64 = 0.01;
/// Time in which the learned spacing loses 1/e of its distance to the initial one without further returns: a spacing so
/// wide that nobody is scheduled would otherwise last.
const RELAX_SPAN: Duration = Duration::from_secs(30);
/// Largest number of promises kept: about 8 s at 30 refusals a second, within 16 KB.
const MAX_PROMISES: usize = 256;

/// Settings of the schedule.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReturnSettings {
    /// Lower bound of the shortest time told: the counts of the other instances are about as old, so that an earlier
    /// return would be decided by the same counts.
    pub shortest: Duration,
    /// Initial spacing as a multiple of the time between admissions. With 2, half of the room is left to new requests,
    /// which are answered earlier than returned ones.
    pub spacing: f64,
    /// Smallest spacing. Below 1, more callers would be scheduled than are admitted.
    pub min_spacing: f64,
    /// Largest spacing.
    pub max_spacing: f64,
    /// Share of scheduled requests that the spacing aims to admit: nine in ten and a margin.
    pub admitted: f64,
    /// Factor of the spacing after a scheduled request was refused again.
    pub stretch: f64,
}

impl Default for ReturnSettings {
    fn default() -> Self {
        ReturnSettings {
            shortest: Duration::from_millis(200),
            spacing: 2.0,
            min_spacing: 1.25,
            max_spacing: 8.0,
            admitted: 0.95,
            stretch: 1.4,
        }
    }
}

impl ReturnSettings {
    /// The shortest time after which callers of a route with this first-event target are told to return.
    pub fn shortest_for(&self, target: Duration) -> Duration {
        self.shortest.max(target)
    }
}

/// A request that may be refused or that may have returned.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its priority level; 0 is the highest.
    pub level: usize,
    /// Digest of its content.
    pub content: ContentTag,
    /// The time that its caller has left.
    pub remaining: Duration,
    /// The shortest time after which callers of its route are told to return.
    pub shortest: Duration,
}

/// How a request that was refused before relates to the time it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Before its time. It counts as new and keeps its time.
    Early,
    /// When it was told. It may use reserved room.
    Due,
    /// At the time of a caller for whom no time was free. It uses no reserved room.
    Unscheduled,
}

/// A request that was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// How it relates to the time it was told.
    pub arrival: Arrival,
    /// Time since its refusal, or since its first attempt if it was refused by another instance.
    pub age: Duration,
}

/// The time that a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// When to return.
    pub after: Duration,
    /// Number of scheduled callers of the same and higher priorities up to this one; `None` if it isn't scheduled.
    pub position: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    content: ContentTag,
    level: usize,
    /// Time that the caller had left when it was told.
    remaining: Duration,
    told: Duration,
    due: Duration,
    scheduled: bool,
}

/// The schedule of one level.
#[derive(Clone, Copy, Debug)]
struct Line {
    /// Admissions.
    rate: DecayedRate,
    /// End of the last time slot given away.
    next: Duration,
    /// Spacing as a multiple of the time between admissions, as of `learned`.
    spacing: f64,
    learned: Duration,
    /// When it was last stretched.
    stretched: Duration,
}

impl Line {
    fn spacing_at(&self, now: Duration, initial: f64) -> f64 {
        let passed = now.saturating_sub(self.learned).as_secs_f64() / RELAX_SPAN.as_secs_f64();
        initial + (self.spacing - initial) * (-passed).exp()
    }
}

/// The schedule of one service. Times are measured from any fixed moment.
#[derive(Clone, Debug)]
pub struct Returns {
    settings: ReturnSettings,
    lines: [Line; LEVELS],
    promises: VecDeque<Promise>,
}

impl Returns {
    /// An empty schedule.
    pub fn new(settings: ReturnSettings) -> Returns {
        let zero = Duration::ZERO;
        let line = Line {
            rate: DecayedRate::default(),
            next: zero,
            spacing: settings.spacing,
            learned: zero,
            stretched: zero,
        };
        Returns { settings, lines: [line; LEVELS], promises: VecDeque::new() }
    }

    /// Records that a request was admitted.
    pub fn record_admitted(&mut self, level: usize, now: Duration) {
        self.lines[level.min(LEVELS - 1)].rate.record(now, RATE_SPAN);
    }

    /// Records whether a request that came when it was due, `age` after it was told, was admitted, and adapts the spacing.
    /// Refused requests that were told before the last stretch don't stretch again: it has answered for them.
    pub fn record_return(&mut self, level: usize, age: Duration, admitted: bool, now: Duration) {
        let settings = &self.settings;
        // Admissions shrink the spacing so much that both effects balance at the share aimed at.
        let shrink = settings.stretch.powf((settings.admitted - 1.0) / settings.admitted);
        let factor = if admitted { shrink } else { settings.stretch };
        let line = &mut self.lines[level.min(LEVELS - 1)];
        if !admitted && now.saturating_sub(age) < line.stretched {
            return;
        }
        if !admitted {
            line.stretched = now;
        }
        let spacing = line.spacing_at(now, settings.spacing) * factor;
        line.spacing = spacing.clamp(settings.min_spacing, settings.max_spacing);
        line.learned = now;
    }

    /// The time that a refused request is told, not before `not_before`. `draw` is a random number from 0 to 1.
    pub fn schedule(&mut self, refused: &Attempt, not_before: Duration, draw: f64, now: Duration) -> Told {
        self.expire(now);
        if let Some(promise) = self.promises.iter().find(|promise| promise.is_of(refused)) {
            // The caller didn't wait. Its time stays, so that it gains nothing and takes no second one.
            let after = promise.due.saturating_sub(now).max(not_before);
            return Told { after, position: promise.scheduled.then(|| self.position(promise.level, promise.due)) };
        }
        let level = refused.level.min(LEVELS - 1);
        let last = now + longest(refused).mul_f64(SCHEDULED_SHARE);
        let start = self.lines[..=level].iter().map(|line| line.next).max().unwrap_or_default();
        let start = start.max(now + refused.shortest.max(not_before));
        // Longer slots than the time in which callers return would block the schedule for long after the rate has risen.
        let spacing = self.spacing(level, now).filter(|spacing| now + *spacing <= last);
        let due = spacing.map(|spacing| start + spacing.mul_f64(draw)).filter(|due| *due <= last);
        let scheduled = due.is_some();
        if let Some(spacing) = spacing.filter(|_| scheduled) {
            self.lines[level].next = start + spacing;
        }
        let due = due.unwrap_or_else(|| now + Returns::late(refused, not_before, draw));
        let (content, remaining) = (refused.content, refused.remaining);
        self.keep(Promise { content, level, remaining, told: now, due, scheduled });
        Told { after: due.saturating_sub(now), position: scheduled.then(|| self.position(level, due)) }
    }

    /// The time that a request is told for which none is free: spread over the last part of the time that its caller
    /// waits, or `not_before` if that is later.
    pub fn late(refused: &Attempt, not_before: Duration, draw: f64) -> Duration {
        longest(refused).mul_f64(1.0 - LATE_SHARE * draw).max(not_before)
    }

    /// Drops the promise to a caller that didn't wait and was admitted.
    pub fn forget(&mut self, attempt: &Attempt) {
        self.promises.retain(|promise| !promise.is_of(attempt));
    }

    /// Tells whether a request has returned: by its content if it was refused here, otherwise by the `age` of its first
    /// attempt.
    pub fn recognise(&mut self, attempt: &Attempt, age: Option<Duration>, now: Duration) -> Option<Return> {
        self.expire(now);
        if let Some(index) = self.promises.iter().position(|promise| promise.is_of(attempt)) {
            let promise = self.promises[index];
            let age = now.saturating_sub(promise.told);
            if now + TIMER_ERROR < promise.due {
                return Some(Return { arrival: Arrival::Early, age });
            }
            self.promises.remove(index);
            let arrival = if promise.scheduled { Arrival::Due } else { Arrival::Unscheduled };
            return Some(Return { arrival, age });
        }
        let age = age.filter(|age| *age >= attempt.shortest)?;
        let limit = (attempt.remaining + age).mul_f64(HONOURED);
        if age > limit + EXPIRY {
            return None;
        }
        if age > limit.mul_f64(1.0 - LATE_SHARE) {
            return Some(Return { arrival: Arrival::Unscheduled, age });
        }
        self.release(attempt.level.min(LEVELS - 1), now);
        Some(Return { arrival: Arrival::Due, age })
    }

    /// Number of requests of this and higher priorities that are due, for which new requests of the level leave room.
    /// It is this instance's part: the others reserve room for those that they told to return.
    pub fn reserved(&self, now: Duration, level: usize) -> f64 {
        let level = level.min(LEVELS - 1);
        let lead = self.lead(level, now);
        self.promises.iter().filter(|promise| promise.level <= level && promise.is_due(now, lead)).count() as f64
    }

    /// Time between two scheduled requests of a level; `None` if nothing is admitted. More urgent requests take the
    /// room of less urgent ones.
    fn spacing(&self, level: usize, now: Duration) -> Option<Duration> {
        let rate = self.rate(level, now);
        let factor = self.lines[level].spacing_at(now, self.settings.spacing);
        (rate >= MIN_RATE).then(|| Duration::from_secs_f64(factor / rate))
    }

    /// Rate of admissions of a level and the lower ones, in requests a second.
    fn rate(&self, level: usize, now: Duration) -> f64 {
        self.lines[level..].iter().map(|line| line.rate.per_second(now, RATE_SPAN)).sum()
    }

    /// How long before a request is due its room is reserved: the room for one request comes free within this time.
    fn lead(&self, level: usize, now: Duration) -> Duration {
        let between = Duration::try_from_secs_f64(1.0 / self.rate(level, now)).unwrap_or(MAX_LEAD);
        between.clamp(MIN_LEAD, MAX_LEAD)
    }

    fn position(&self, level: usize, due: Duration) -> u32 {
        let before = |promise: &&Promise| promise.scheduled && promise.level <= level && promise.due <= due;
        self.promises.iter().filter(before).count() as u32
    }

    fn keep(&mut self, promise: Promise) {
        if self.promises.len() >= MAX_PROMISES {
            self.promises.pop_front();
        }
        self.promises.push_back(promise);
    }

    /// Ends the reservation for the request of a level that is due first: another caller has come instead, while the
    /// promised one goes to another instance.
    fn release(&mut self, level: usize, now: Duration) {
        let lead = self.lead(level, now);
        let due =
            self.promises.iter().enumerate().filter(|(_, promise)| promise.level == level && promise.is_due(now, lead));
        let first = due.min_by_key(|(_, promise)| promise.due).map(|(index, _)| index);
        if let Some(index) = first {
            self.promises.remove(index);
        }
    }

    fn expire(&mut self, now: Duration) {
        self.promises.retain(|promise| now <= promise.due + EXPIRY);
    }
}

/// The longest time that the caller of a refused request waits.
fn longest(refused: &Attempt) -> Duration {
    refused.remaining.saturating_sub(MARGIN).mul_f64(HONOURED)
}

impl Promise {
    /// Whether this is the promise to the caller of a request. Another caller may send the same content, but a returning
    /// one has less time left than before.
    fn is_of(&self, attempt: &Attempt) -> bool {
        self.content == attempt.content
            && self.level == attempt.level.min(LEVELS - 1)
            && attempt.remaining < self.remaining
    }

    fn is_due(&self, now: Duration, lead: Duration) -> bool {
        self.scheduled && self.due <= now + lead && now <= self.due + EXPIRY
    }
}
