//! Admission to contended services: whether an engine has room for a request of a priority, and whether a request is sent
//! or refused at once.
//!
//! Counts of other instances are some hundred milliseconds old. Where the requests that arrive within that age may exceed
//! the free room of an engine, each instance only uses its share of the room. Waits are bounded as by `CoDel`: a burst may
//! wait longer than its target, a queue that persists may not.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

/// Priority levels that are counted separately; lower ones count as the last.
pub const LEVELS: usize = 4;

/// Number of priorities above a request's own: 0 is the most urgent.
pub type Level = usize;

/// Length of a bucket of [`DemandWindow`].
const BUCKET: Duration = Duration::from_millis(100);
/// Buckets of [`DemandWindow`]. Together they are longer than a report takes to arrive, so that the reports of a steady
/// refusal leave no gap, and short, so that a new load is noticed soon.
const BUCKETS: usize = 5;
/// Time over which [`DemandWindow`] counts.
pub const DEMAND_SPAN: Duration = BUCKET.saturating_mul(BUCKETS as u32);
/// Most send times kept per engine, so that the memory is bounded.
const MAX_SENDS: usize = 64;

/// Index of a level in counts by level.
pub fn level_index(level: Level) -> usize {
    level.min(LEVELS - 1)
}

/// Settings of admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Room of an engine for the highest priority, as a multiple of its slots.
    pub full: f64,
    /// Share of the room of each priority that the next lower one leaves free.
    pub headroom: f64,
    /// Bound on the requests of all priorities, as a multiple of the room: an engine's queue is short.
    pub crowding: f64,
    /// Age of reports from which only a safe share of the room is used.
    pub max_age: Duration,
    /// Smallest share of the free room of an engine, in requests: an instance among many needs a chance everywhere.
    pub min_share: f64,
    /// Free room beyond the expected arrivals, in requests, from which an engine is used without shares: shares keep
    /// requests from the engines that have their sessions cached.
    pub margin: f64,
    /// How long the wait has to exceed the target until its bound tightens.
    pub standing: Duration,
    /// How long a wait counts if no request follows.
    pub memory: Duration,
    /// Share of a caller's patience that a request may wait in a burst.
    pub burst: f64,
    /// Share of the target below which a wait relaxes a tightened bound. At the target itself, the bound would alternate.
    pub relaxed: f64,
    /// Share of the more urgent requests that may be refused before less urgent ones yield. In a deployment of many
    /// instances some requests are refused at all times, for reasons that less urgent ones have no part in.
    pub tolerated: f64,
    /// Share of the more urgent requests that are refused from which all less urgent ones yield.
    pub strict: f64,
    /// Time constant with which the share of requests that yield follows the refusals. Without it, the age of the reports
    /// makes that share alternate between none and all.
    pub settling: Duration,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            full: 1.0,
            headroom: 0.2,
            crowding: 2.0,
            max_age: Duration::from_millis(1500),
            min_share: 0.01,
            margin: 1.0,
            standing: Duration::from_millis(300),
            memory: Duration::from_secs(1),
            burst: 0.5,
            relaxed: 0.5,
            tolerated: 0.02,
            strict: 0.2,
            settling: Duration::from_secs(1),
        }
    }
}

/// What is known of one engine, for one level.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineRoom {
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Requests in flight of all instances at the level or above.
    pub urgent: f64,
    /// Requests in flight of all instances and levels.
    pub total: f64,
    /// This instance's requests in flight of all levels.
    pub own: u32,
    /// Requests that this instance sent there within the age of the reports.
    pub recent: u32,
    /// Requests of the level or above that all instances are expected to send there within the age of the reports.
    pub arrivals: f64,
    /// Age of the other instances' reports; `None` without any.
    pub age: Option<Duration>,
    /// Number of instances that send.
    pub senders: usize,
    /// Uniform draw from 0 to 1 for this instance and engine, kept for the age of a report. A draw for each request would
    /// let an instance that looks at all engines find a place at nearly all times.
    pub draw: f64,
}

impl EngineRoom {
    /// Whether the engine has room for one more request of `level`.
    pub fn has_room(&self, level: Level, options: &AdmissionOptions) -> bool {
        let share = (1.0 - options.headroom).powf(level as f64);
        let room = f64::from(self.slots.max(1)) * options.full * share;
        let free = room - self.urgent;
        if free <= 0.0 || self.total >= room * options.crowding {
            return false;
        }
        let senders = self.senders.max(1) as f64;
        if self.age.is_none_or(|age| age > options.max_age) {
            return self.own < self.round(room / senders);
        }
        if free >= self.arrivals + options.margin {
            return true;
        }
        let share = (free + f64::from(self.recent)) / senders;
        self.recent < self.round(share.max(options.min_share))
    }

    /// Rounds up or down by the draw, so that the sum over many instances has the right mean.
    fn round(&self, share: f64) -> u32 {
        share.floor() as u32 + u32::from(self.draw < share.fract())
    }
}

/// Times at which requests were recently sent to an engine.
#[derive(Clone, Debug, Default)]
pub struct RecentSends(VecDeque<Duration>);

impl RecentSends {
    /// Records a request sent at `now`.
    pub fn record(&mut self, now: Duration) {
        if self.0.len() == MAX_SENDS {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Requests sent within `span` before `now`.
    pub fn within(&self, span: Duration, now: Duration) -> u32 {
        self.0.iter().rev().take_while(|at| now.saturating_sub(**at) < span).count() as u32
    }
}

/// Requests of one service by level within [`DEMAND_SPAN`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests sent for the first time.
    pub admitted: [u32; LEVELS],
    /// Requests refused for lack of capacity.
    pub refused: [u32; LEVELS],
}

impl Demand {
    /// Combines two demands field by field.
    #[must_use]
    pub fn combine(mut self, other: Demand, by: impl Fn(u32, u32) -> u32) -> Demand {
        let counts = self.admitted.iter_mut().chain(&mut self.refused);
        for (count, other) in counts.zip(other.admitted.into_iter().chain(other.refused)) {
            *count = by(*count, other);
        }
        self
    }

    /// Share of the requests of `level` that yield to more urgent ones: it grows with the largest share that is refused of
    /// a level above. Were it all or nothing, single refusals would switch whole priorities off and on.
    fn yielding_share(&self, level: Level, options: &AdmissionOptions) -> f64 {
        let counts = self.refused.iter().zip(self.admitted).take(level_index(level));
        let shares = counts.filter(|(refused, _)| **refused > 0).map(|(refused, admitted)| {
            let refused = f64::from(*refused);
            refused / (refused + f64::from(admitted))
        });
        let refused = shares.fold(0.0, f64::max);
        ((refused - options.tolerated) / (options.strict - options.tolerated)).clamp(0.0, 1.0)
    }

    /// Requests of `level` or above that arrive per second.
    pub fn rate(&self, level: Level) -> f64 {
        let counts =
            self.admitted.iter().take(level_index(level) + 1).chain(self.refused.iter().take(level_index(level) + 1));
        f64::from(counts.sum::<u32>()) / DEMAND_SPAN.as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    demand: Demand,
}

/// Counts demand over the last [`DEMAND_SPAN`].
#[derive(Clone, Debug, Default)]
struct DemandWindow([Bucket; BUCKETS]);

impl DemandWindow {
    fn record(&mut self, level: Level, refused: bool, now: Duration) {
        let number = bucket_number(now);
        let bucket = &mut self.0[(number % BUCKETS as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, demand: Demand::default() };
        }
        let Demand { admitted, refused: denied } = &mut bucket.demand;
        let counts = if refused { denied } else { admitted };
        counts[level_index(level)] += 1;
    }

    fn sum(&self, now: Duration) -> Demand {
        let oldest = bucket_number(now).saturating_sub(BUCKETS as u64 - 1);
        let recent = self.0.iter().filter(|bucket| bucket.number >= oldest);
        recent.fold(Demand::default(), |sum, bucket| sum.combine(bucket.demand, u32::saturating_add))
    }
}

fn bucket_number(now: Duration) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}

/// The predicted waits of one service and level.
#[derive(Clone, Copy, Debug, Default)]
struct StandingWait {
    /// Since when every wait has been above the target.
    since: Option<Duration>,
    /// The bound is the target.
    tight: bool,
    /// Time of the last request.
    seen: Duration,
}

impl StandingWait {
    /// Records a predicted wait; returns whether the bound is the target now.
    fn record(&mut self, wait: Duration, target: Duration, now: Duration, options: &AdmissionOptions) -> bool {
        let is_old = now.saturating_sub(self.seen) > options.memory;
        if is_old || wait <= target.mul_f64(options.relaxed) {
            *self = StandingWait::default();
        }
        self.seen = now;
        if wait <= target {
            self.since = None;
        } else {
            let since = *self.since.get_or_insert(now);
            self.tight |= now.saturating_sub(since) >= options.standing;
        }
        self.tight
    }
}

/// The shares of the requests of each level that yield to more urgent ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Yielding {
    shares: [f64; LEVELS],
    /// Time of the last update.
    at: Duration,
}

impl Yielding {
    /// Brings the shares up to date with the recent demand of all instances.
    pub fn update(&mut self, demand: &Demand, now: Duration, options: &AdmissionOptions) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let weight = 1.0 - (-elapsed / options.settling.as_secs_f64()).exp();
        for (level, share) in self.shares.iter_mut().enumerate() {
            *share += (demand.yielding_share(level, options) - *share) * weight;
        }
        self.at = now;
    }

    /// The share of the requests of `level`.
    pub fn share(&self, level: Level) -> f64 {
        self.shares[level_index(level)]
    }
}

/// What a caller tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Target of the first event.
    pub target: Duration,
    /// Target of the gap between two events, if it has one.
    pub gap: Option<Duration>,
    /// Time left to its deadline.
    pub remaining: Duration,
}

/// Shortest time after which callers abandon a silent stream.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
/// Silence after which callers abandon a stream, in first-event targets.
const TARGETS: u32 = 4;
/// Silence after which callers abandon a stream, in gap targets.
const GAPS: u32 = 8;

impl Caller {
    /// How long it waits for the first event.
    pub fn patience(&self) -> Duration {
        self.unhurried_patience().min(self.remaining)
    }

    /// How long it would wait for the first event with enough time left.
    fn unhurried_patience(&self) -> Duration {
        let gap = self.gap.unwrap_or_default();
        MIN_PATIENCE.max(self.target * TARGETS).max(gap * GAPS)
    }
}

/// Work at all engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots taken.
    pub taken: u32,
    /// Slots.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

impl Usage {
    /// Adds an engine with `calls` requests in flight.
    pub fn add(&mut self, slots: u32, calls: u32) {
        self.taken += calls.min(slots);
        self.slots += slots;
        self.waiting += calls.saturating_sub(slots);
    }

    /// Whether there is so much capacity that no request is refused for lack of it.
    pub fn is_idle(&self) -> bool {
        self.waiting == 0 && self.taken * 2 < self.slots
    }
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its level.
    pub level: Level,
    /// It has the highest of several priorities: engines process it before all others.
    pub highest: bool,
    /// Predicted time to its first event at the chosen engine.
    pub predicted: Duration,
    /// What its caller tolerates.
    pub caller: Caller,
    /// The engines of its service have capacity for all.
    pub idle: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No engine has room for its priority.
    Room,
    /// More urgent requests of its service are refused.
    Urgent,
    /// Its first event would come after the bound on waits.
    Wait,
    /// Its caller has too little time left; with more, it would be sent.
    Late,
    /// Engines rejected it as full.
    Rejected,
    /// All engines asked for a pause, or their rate limits are exhausted.
    Blocked,
}

impl Reason {
    /// The reason as given to callers.
    pub const fn text(self) -> &'static str {
        match self {
            Reason::Room => "its engines have no room for its priority",
            Reason::Urgent => "more urgent requests are refused",
            Reason::Wait => "its engines have too much to read",
            Reason::Late => "too little time is left for its first event",
            Reason::Rejected => "all its endpoints are full",
            Reason::Blocked => "its endpoints take no more for now",
        }
    }

    /// Its value as a metrics label.
    pub const fn label(self) -> &'static str {
        match self {
            Reason::Room => "room",
            Reason::Urgent => "urgent",
            Reason::Wait => "wait",
            Reason::Late => "late",
            Reason::Rejected => "rejected",
            Reason::Blocked => "blocked",
        }
    }

    /// Whether less urgent requests are to be refused as well. A caller with hardly any time left says nothing about the
    /// capacity.
    pub fn lacks_capacity(self) -> bool {
        self != Reason::Late
    }
}

/// Admission to one service.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    window: DemandWindow,
    waits: [StandingWait; LEVELS],
    yielding: Yielding,
}

impl Admission {
    /// Records that a request was sent for the first time.
    pub fn record_admitted(&mut self, level: Level, now: Duration) {
        self.window.record(level, false, now);
    }

    /// Records a refusal.
    pub fn record_refused(&mut self, level: Level, reason: Reason, now: Duration) {
        if reason.lacks_capacity() {
            self.window.record(level, true, now);
        }
    }

    /// The requests of this instance.
    pub fn demand(&self, now: Duration) -> Demand {
        self.window.sum(now)
    }

    /// Updates the shares of the requests that yield to more urgent ones, by the demand here and at `others`.
    pub fn update_yielding(&mut self, others: Demand, now: Duration, options: &AdmissionOptions) {
        self.yielding.update(&self.demand(now).combine(others, u32::saturating_add), now, options);
    }

    /// Whether a request with this uniform draw from 0 to 1 yields to more urgent ones.
    pub fn yields(&self, level: Level, draw: f64) -> bool {
        draw < self.yielding.share(level)
    }

    /// Decides on a request that does not yield, and for which an engine has room.
    ///
    /// # Errors
    /// Why it is refused; the caller records that with [`Admission::record_refused`].
    pub fn decide(&mut self, request: &Request, now: Duration, options: &AdmissionOptions) -> Result<(), Reason> {
        let Request { level, predicted, caller, .. } = *request;
        let tight = self.waits[level_index(level)].record(predicted, caller.target, now, options);
        if request.idle {
            return if predicted <= caller.remaining { Ok(()) } else { Err(Reason::Late) };
        }
        let bound = |patience: Duration| match (request.highest, tight) {
            (true, _) => patience,
            (false, true) => caller.target.min(patience),
            (false, false) => patience.mul_f64(options.burst).max(caller.target.min(patience)),
        };
        match predicted {
            wait if wait <= bound(caller.patience()) => Ok(()),
            wait if wait <= bound(caller.unhurried_patience()) => Err(Reason::Late),
            _ => Err(Reason::Wait),
        }
    }
}
