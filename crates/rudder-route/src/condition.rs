//! Condition of an engine: its lasting speed, and its present pace relative to that.
//!
//! An engine can be slow for good, by its hardware, or for less than a second, by what shares its machine. The lasting
//! speed moves slowly, so that short slow phases hardly change it, and the pace follows the reports of the last second.

use std::time::Duration;

/// Time per output token assumed before the first sample of a service.
pub const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(8);
/// Prefill speed assumed before the first sample of a service, in tokens per millisecond.
pub const INITIAL_PREFILL_SPEED: f64 = 30.0;

/// Pace in percent that is usual before anything is known of a service.
const USUAL_PERCENT: f64 = 100.0;
/// Updates after which an engine's own usual pace replaces that of its service: the first reports may all come from one
/// slow phase.
const MIN_PACE_UPDATES: u32 = 8;
/// Largest change of a lasting value in one update, as a logarithm. Twice a second, a phase of 600 ms changes it by a few
/// percent.
const MAX_STEP: f64 = 0.01;
/// Bounds of the time per output token, in milliseconds.
const TOKEN_MILLIS: Bounds = Bounds { least: 0.05, most: 1000.0 };
/// Bounds of the prefill time per token, in milliseconds.
const PREFILL_MILLIS: Bounds = Bounds { least: 0.0005, most: 2.0 };
/// Bounds of the usual pace, in percent.
const PERCENT: Bounds = Bounds { least: 5.0, most: 10_000.0 };
/// Bounds of the present pace, as a multiple of the usual one.
const PACE: Bounds = Bounds { least: 0.1, most: 20.0 };
/// Bounds of the factor by which a known speed of an engine scales the other, unknown one.
const SCALE: Bounds = Bounds { least: 0.25, most: 4.0 };
/// Parts that arrive within this time were sent together, or were read together after this process had been off the CPU.
const SAME_ARRIVAL: Duration = Duration::from_millis(1);
/// Gaps of a block. The median of about a second of a stream leaves out the gaps that include prefill of others.
const BLOCK_GAPS: usize = 32;
/// Gaps of the smallest block that is a sample.
const MIN_GAPS: usize = 4;
/// A first event counts as this multiple of the expected time at most: it may have waited for a slot.
const MAX_PREFILL_FACTOR: f64 = 4.0;

#[derive(Clone, Copy, Debug)]
struct Bounds {
    least: f64,
    most: f64,
}

impl Bounds {
    fn clamp(self, value: f64) -> f64 {
        value.clamp(self.least, self.most)
    }
}

/// Speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Time per output token at the engine's lasting speed.
    pub token_time: Duration,
    /// Lasting prefill speed, in prompt tokens per millisecond.
    pub prefill_speed: f64,
    /// Present time of work as a multiple of the lasting one; 1.0 without a report.
    pub pace: f64,
    /// Updates, two a second, that the lasting speed is based on; 0 if it is the median of the service.
    pub samples: u32,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        EngineSpeed { token_time: INITIAL_TOKEN_TIME, prefill_speed: INITIAL_PREFILL_SPEED, pace: 1.0, samples: 0 }
    }
}

/// Units of work and a total over them: tokens and milliseconds, or reports and percent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Units.
    pub units: u32,
    /// Total over the units.
    pub total: u32,
}

impl Sum {
    /// Both sums together.
    #[must_use]
    pub fn plus(self, other: Sum) -> Sum {
        Sum { units: self.units.saturating_add(other.units), total: self.total.saturating_add(other.total) }
    }

    /// The total per unit, if there are units.
    pub fn mean(self) -> Option<f64> {
        (self.units > 0).then(|| f64::from(self.total) / f64::from(self.units))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    sum: Sum,
}

/// A sum over the last `N` buckets of time, including the current one.
#[derive(Clone, Debug)]
pub struct RecentSum<const N: usize> {
    width: Duration,
    buckets: [Bucket; N],
}

impl<const N: usize> RecentSum<N> {
    /// Creates an empty sum with buckets of this width, which must not be zero.
    pub fn new(width: Duration) -> RecentSum<N> {
        RecentSum { width, buckets: [Bucket::default(); N] }
    }

    /// Adds a sample at `now`, a time since any fixed moment.
    pub fn add(&mut self, sample: Sum, now: Duration) {
        let number = self.number(now);
        let bucket = &mut self.buckets[(number % N as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, sum: Sum::default() };
        }
        bucket.sum = bucket.sum.plus(sample);
    }

    /// The sum at `now`.
    pub fn at(&self, now: Duration) -> Sum {
        let number = self.number(now);
        let is_recent = |bucket: &&Bucket| bucket.number + N as u64 > number;
        self.buckets.iter().filter(is_recent).fold(Sum::default(), |sum, bucket| sum.plus(bucket.sum))
    }

    fn number(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.width.as_nanos().max(1)) as u64
    }
}

/// A value that follows its samples slowly: their mean at first, later at most [`MAX_STEP`] or its share of the samples
/// in one update.
#[derive(Clone, Copy, Debug, Default)]
struct Lasting {
    log: f64,
    updates: u32,
}

impl Lasting {
    fn update(&mut self, sample: f64) {
        let difference = sample.ln() - self.log;
        self.updates = self.updates.saturating_add(1);
        let step = MAX_STEP.max(difference.abs() / f64::from(self.updates));
        self.log += difference.clamp(-step, step);
    }

    fn value(self) -> Option<f64> {
        (self.updates > 0).then(|| self.log.exp())
    }
}

/// Recent work of an engine, over all instances whose reports are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecentWork {
    /// Output tokens and milliseconds.
    pub output: Sum,
    /// Prompt tokens processed and milliseconds.
    pub prefill: Sum,
    /// Reports of the pace and percent.
    pub pace: Sum,
}

impl RecentWork {
    /// The work of both together.
    #[must_use]
    pub fn plus(self, other: RecentWork) -> RecentWork {
        RecentWork {
            output: self.output.plus(other.output),
            prefill: self.prefill.plus(other.prefill),
            pace: self.pace.plus(other.pace),
        }
    }
}

/// What is usual among the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// Time per output token, in milliseconds.
    pub token_millis: f64,
    /// Prefill time per token, in milliseconds.
    pub prefill_millis: f64,
    /// Reported pace in percent.
    pub percent: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Usual {
            token_millis: INITIAL_TOKEN_TIME.as_secs_f64() * 1000.0,
            prefill_millis: 1.0 / INITIAL_PREFILL_SPEED,
            percent: USUAL_PERCENT,
        }
    }
}

impl Usual {
    /// The medians of these engines. Where none has a value, it is the initial one.
    pub fn of(engines: &[Condition]) -> Usual {
        let initial = Usual::default();
        let median_of = |value: fn(&Condition) -> Lasting| median(engines.iter().filter_map(|one| value(one).value()));
        Usual {
            token_millis: median_of(|one| one.token).unwrap_or(initial.token_millis),
            prefill_millis: median_of(|one| one.prefill).unwrap_or(initial.prefill_millis),
            percent: median_of(|one| one.percent).unwrap_or(initial.percent),
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}

/// What has been learned of one engine since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Condition {
    token: Lasting,
    prefill: Lasting,
    percent: Lasting,
}

impl Condition {
    /// Learns from the recent work. Called twice a second.
    pub fn update(&mut self, work: &RecentWork) {
        let learn = |lasting: &mut Lasting, sum: Sum, bounds: Bounds| {
            if let Some(mean) = sum.mean() {
                lasting.update(bounds.clamp(mean));
            }
        };
        learn(&mut self.token, work.output, TOKEN_MILLIS);
        learn(&mut self.prefill, work.prefill, PREFILL_MILLIS);
        learn(&mut self.percent, work.pace, PERCENT);
    }

    /// The speed, given what is `usual` in the service and the reports of the pace in the last second.
    ///
    /// If only one of the two speeds is known, the other one is scaled with it, as the same hardware does both. Reports
    /// may include the lasting speed or not, so they are relative to the engine's own usual report.
    pub fn speed(&self, usual: &Usual, reports: Sum) -> EngineSpeed {
        let (token, prefill) = (self.token.value(), self.prefill.value());
        let scale = |known: Option<f64>, usual: f64| known.map_or(1.0, |known| SCALE.clamp(known / usual));
        let token_millis = token.unwrap_or(usual.token_millis * scale(prefill, usual.prefill_millis));
        let prefill_millis = prefill.unwrap_or(usual.prefill_millis * scale(token, usual.token_millis));
        let own_percent = self.percent.value().filter(|_| self.percent.updates >= MIN_PACE_UPDATES);
        let percent = own_percent.unwrap_or(usual.percent);
        EngineSpeed {
            token_time: Duration::from_secs_f64(token_millis / 1000.0),
            prefill_speed: 1.0 / prefill_millis,
            pace: reports.mean().map_or(1.0, |mean| PACE.clamp(mean / percent)),
            samples: self.token.updates.max(self.prefill.updates),
        }
    }
}

/// The first event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// Prompt tokens that were queued at the engine, including those of the stream.
    pub tokens: u32,
    /// Output tokens of the event.
    pub output: u32,
    /// Time since the request was sent.
    pub after: Duration,
}

impl FirstEvent {
    /// The prefill sample at an engine of this speed; `None` if steps are expected to take longer than prefill. Whether
    /// there is a sample doesn't depend on the time measured, as this would prefer fast samples or slow ones.
    pub fn to_sample(self, speed: &EngineSpeed) -> Option<Sum> {
        let steps = speed.token_time.as_secs_f64() * 1000.0 * f64::from(self.output);
        let expected = f64::from(self.tokens) / speed.prefill_speed;
        if self.tokens == 0 || expected < steps {
            return None;
        }
        let millis = self.after.as_secs_f64() * 1000.0 - steps;
        let total = millis.clamp(expected / MAX_PREFILL_FACTOR, expected * MAX_PREFILL_FACTOR).round() as u32;
        Some(Sum { units: self.tokens, total })
    }
}

/// Events that arrived together.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    events: u32,
}

/// Measures the gaps between the events of a stream from one engine.
#[derive(Clone, Debug)]
pub struct GapMeter {
    tokens: u32,
    before: Option<Duration>,
    arrival: Option<Arrival>,
    gaps: Vec<Duration>,
    /// The next arrival may have been ready earlier than it was read.
    delayed: bool,
    /// When the last such arrival was read.
    ignored: Option<Duration>,
}

impl GapMeter {
    /// Creates a meter of a stream whose events have `tokens` tokens each.
    pub fn new(tokens: u32) -> GapMeter {
        GapMeter { tokens, before: None, arrival: None, gaps: Vec::new(), delayed: false, ignored: None }
    }

    /// Records `events` read at `at`, a time since any fixed moment. Returns a sample when a block is complete.
    pub fn record(&mut self, events: u32, at: Duration) -> Option<Sum> {
        if events == 0 {
            return None;
        }
        if let Some(arrival) = self.arrival.as_mut().filter(|arrival| at.saturating_sub(arrival.at) < SAME_ARRIVAL) {
            arrival.events = arrival.events.saturating_add(events);
            return None;
        }
        if self.is_delayed(at) {
            return None;
        }
        self.close_arrival();
        let block = if self.gaps.len() < BLOCK_GAPS { None } else { self.take_block() };
        self.arrival = Some(Arrival { at, events });
        block
    }

    /// Excludes the gap in progress, in which nothing was read from the engine, and the next arrival.
    pub fn skip(&mut self) {
        self.close_arrival();
        self.before = None;
        self.delayed = true;
    }

    /// Returns the sample of the gaps since the last block, if they are enough for one.
    pub fn take_block(&mut self) -> Option<Sum> {
        self.close_arrival();
        let gaps = std::mem::take(&mut self.gaps);
        if gaps.len() < MIN_GAPS {
            return None;
        }
        let gap = median(gaps.iter().map(|gap| gap.as_secs_f64() * 1000.0))?;
        let count = gaps.len() as u32;
        Some(Sum { units: count.saturating_mul(self.tokens), total: (gap * f64::from(count)).round() as u32 })
    }

    /// Whether what is read at `at` belongs to the first arrival after a skipped gap.
    fn is_delayed(&mut self, at: Duration) -> bool {
        if std::mem::take(&mut self.delayed) {
            self.ignored = Some(at);
        }
        self.ignored.is_some_and(|first| at.saturating_sub(first) < SAME_ARRIVAL)
    }

    fn close_arrival(&mut self) {
        let Some(arrival) = self.arrival.take() else { return };
        if let Some(before) = self.before.replace(arrival.at) {
            self.gaps.push(arrival.at.saturating_sub(before) / arrival.events);
        }
    }
}
