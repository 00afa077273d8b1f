//! Cost of sending a request to an engine, as a time: when its first event is expected, and what its prefill costs the
//! other requests.

use std::time::Duration;

use serde::Deserialize;

use crate::condition::EngineSpeed;

/// Prompt tokens that an engine processes between two steps of its running streams: the smaller of the usual chunk
/// sizes.
const CHUNK_TOKENS: u32 = 1_024;
/// Longest time that is predicted; it bounds the result for speeds near zero.
const MAX_TIME: Duration = Duration::from_secs(600);
/// Updates of a speed, two a second, from which an engine is classed: of fewer, a slow phase of 600 ms may be a large part.
const MIN_SAMPLES: u32 = 8;
/// Largest factor by which a slow engine has to be faster than required to be fast again.
const MAX_GAP_FACTOR: f64 = 2.0;
/// Largest number of requests that other instances are assumed to have sent since their last report.
const MAX_UNREPORTED: f64 = 8.0;

/// Weights of the predicted times, and the limits of speed classes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TimingOptions {
    /// Requests of its priority and above that may be at an engine of a long session, as a multiple of its slots.
    pub queue: f64,
    /// Engines beyond the sample are examined if the best first event is predicted after this multiple of the target. What
    /// is known of them is some hundred milliseconds old, and all instances find the same ones, so a slightly late engine
    /// of the session is better.
    pub search: f64,
    /// Cost of the delay of one running stream, as a share of the delay: most gaps have some time left before their
    /// target.
    pub stream_delay: f64,
    /// Cost of processing missing shared tokens, as a multiple of the time that it takes: all later requests have that
    /// much less capacity.
    pub read_again: f64,
    /// An engine is slow if its lasting speed is below this share of the median of its service.
    pub slow: f64,
    /// A slow engine stays slow until it has reached this share. The distance to `slow` exceeds the differences between
    /// the speeds that instances learn.
    pub recovered: f64,
    /// An engine is slow, too, if the event gaps at its lasting speed times this factor miss the shortest target. It has
    /// to bear a passing slowdown, which more than doubles the gaps, and some prefill of others between the steps.
    pub gap_margin: f64,
    /// Share of the slots up to which an engine of the quick lane is idle and takes other requests, too: so few requests
    /// do not make the lane grow.
    pub idle: f64,
}

impl Default for TimingOptions {
    fn default() -> Self {
        TimingOptions {
            queue: 1.5,
            search: 1.5,
            stream_delay: 0.1,
            read_again: 4.0,
            slow: 0.75,
            recovered: 0.85,
            gap_margin: 3.5,
            idle: 0.25,
        }
    }
}

/// Work at an engine when a request is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineWork {
    /// Prompt tokens that are processed before those of the request.
    pub ahead: f64,
    /// All prompt tokens that await prefill.
    pub unread: f64,
    /// Requests in flight.
    pub calls: f64,
    /// Requests in flight that get a slot before the request.
    pub rivals: f64,
    /// Slots.
    pub slots: u32,
    /// Requests that other instances have probably sent since their last report.
    pub unreported: f64,
}

/// What a request asks of an engine, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineDemand {
    /// Prompt tokens of its own.
    pub own: u32,
    /// Shared prompt tokens that are not cached at the engine.
    pub missing: u32,
    /// Expected output.
    pub answer: u32,
    /// Output per event.
    pub event: u32,
}

/// A time in milliseconds as a duration. Negative times are zero; all others, also those that are not a number, are at
/// most [`MAX_TIME`].
fn from_millis(millis: f64) -> Duration {
    if millis.is_nan() {
        return MAX_TIME;
    }
    Duration::from_secs_f64((millis / 1000.0).clamp(0.0, MAX_TIME.as_secs_f64()))
}

/// Time for the prefill of `tokens`.
pub fn prefill_time(speed: &EngineSpeed, tokens: f64) -> Duration {
    if tokens <= 0.0 {
        return Duration::ZERO;
    }
    from_millis(tokens / speed.prefill_speed * speed.pace)
}

/// Time for the output of `tokens` of one stream.
fn output_time(speed: &EngineSpeed, tokens: u32) -> Duration {
    from_millis(speed.token_time.as_secs_f64() * 1000.0 * f64::from(tokens) * speed.pace)
}

/// Predicted time from sending a request to its first event: the wait for a slot, the prefill of the tokens ahead and
/// of its own, and the output of one event.
pub fn first_event(speed: &EngineSpeed, work: &EngineWork, demand: &EngineDemand) -> Duration {
    let own = f64::from(demand.own) + f64::from(demand.missing);
    let sent = work.unreported.clamp(0.0, MAX_UNREPORTED);
    let unreported = sent * f64::from(demand.own);
    let slots = f64::from(work.slots.max(1));
    let calls = work.calls + sent;
    // The requests in the slots are assumed to be like this one and spread evenly over their running time.
    let turns = ((work.rivals.min(work.calls) + sent + 1.0 - slots) / slots).max(1.0 / slots);
    let slot_wait = if calls < slots { Duration::ZERO } else { output_time(speed, demand.answer).mul_f64(turns) };
    let time = slot_wait + prefill_time(speed, work.ahead + unreported + own) + output_time(speed, demand.event);
    time.min(MAX_TIME)
}

/// Predicted gap between the events of a stream: the steps of an event, and the prefill that passes between them.
pub fn event_gap(speed: &EngineSpeed, work: &EngineWork, event_tokens: u32) -> Duration {
    let chunks = f64::from(CHUNK_TOKENS) * f64::from(event_tokens);
    output_time(speed, event_tokens) + prefill_time(speed, work.unread.min(chunks))
}

/// What the prefill of a request costs others: the delay of the streams that run there, and the engine's time spent on
/// tokens that another engine has cached.
pub fn harm(options: &TimingOptions, speed: &EngineSpeed, work: &EngineWork, demand: &EngineDemand) -> Duration {
    let prefill = prefill_time(speed, f64::from(demand.own) + f64::from(demand.missing));
    let running = work.calls.min(f64::from(work.slots));
    let again = prefill_time(speed, f64::from(demand.missing));
    (prefill.mul_f64(running * options.stream_delay) + again.mul_f64(options.read_again)).min(MAX_TIME)
}

/// Whether a request that was sent `elapsed` ago, with its first event `predicted`, is given up for another engine with
/// the first event after `other`. The remaining time of a request that is overdue is taken to be as long as it has been
/// overdue, so an engine that hangs is left.
pub fn is_sooner(other: Duration, predicted: Duration, elapsed: Duration) -> bool {
    other < predicted.abs_diff(elapsed)
}

/// The speed class of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpeedClass {
    /// Fit for quick streams, or of unknown speed.
    #[default]
    Fast,
    /// Slow compared with the others.
    Slow,
}

/// The speeds with which those of an engine are compared.
#[derive(Clone, Copy, Debug)]
pub struct SpeedScale {
    /// Median token time of the service.
    pub median: Duration,
    /// Tokens of an event.
    pub event_tokens: u32,
    /// The shortest gap target of the service.
    pub gap: Duration,
}

impl SpeedScale {
    /// The scale of a service with engines of these speeds; `None` if too little is known of all.
    pub fn new(speeds: &[EngineSpeed], event_tokens: u32, gap: Duration) -> Option<SpeedScale> {
        let known = speeds.iter().filter(|speed| speed.samples >= MIN_SAMPLES);
        let mut times: Vec<Duration> = known.map(|speed| speed.token_time).collect();
        let middle = times.len().checked_sub(1)? / 2;
        let median = *times.select_nth_unstable(middle).1;
        Some(SpeedScale { median, event_tokens, gap })
    }

    /// The class of an engine that was of the class `before`. An engine of which too little is known is fast.
    pub fn class(&self, options: &TimingOptions, speed: &EngineSpeed, before: SpeedClass) -> SpeedClass {
        if speed.samples < MIN_SAMPLES {
            return SpeedClass::Fast;
        }
        let (limit, factor) = match before {
            SpeedClass::Fast => (options.slow, 1.0),
            // Both shares can be zero in a policy, and a factor that is not a number has no product with a duration.
            SpeedClass::Slow if options.slow == 0.0 => (options.recovered, 1.0),
            SpeedClass::Slow => (options.recovered, (options.recovered / options.slow).clamp(1.0, MAX_GAP_FACTOR)),
        };
        let gap = speed.token_time.mul_f64(f64::from(self.event_tokens) * options.gap_margin * factor);
        let is_slow = self.relative(speed) < limit || gap > self.gap;
        if is_slow { SpeedClass::Slow } else { SpeedClass::Fast }
    }

    /// Speed relative to the median, by token times: prefill speeds are learned from few prompts, and instances that
    /// class engines differently send the same session to different ones.
    fn relative(&self, speed: &EngineSpeed) -> f64 {
        self.median.as_secs_f64() / speed.token_time.as_secs_f64()
    }
}
