//! Speeds of engines: what lasts is told from what passes, and from what isn't the engine's doing.

use std::time::Duration;

use rudder_route::condition::{Condition, EngineSpeed, FirstEvent, GapMeter, RecentSum, RecentWork, Sum, Usual};

const EVENT_TOKENS: u32 = 5;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Work at this many hundredths of a millisecond per output token, and with reports of this pace.
fn work(token_hundredths: u32, percent: u32) -> RecentWork {
    let output = Sum { units: 1000, total: token_hundredths * 10 };
    RecentWork { output, prefill: Sum::default(), pace: Sum { units: 5, total: percent * 5 } }
}

fn condition(updates: impl IntoIterator<Item = RecentWork>) -> Condition {
    let mut condition = Condition::default();
    for work in updates {
        condition.update(&work);
    }
    condition
}

fn report(percent: u32) -> Sum {
    Sum { units: 1, total: percent }
}

/// Fails if `actual` differs from `expected` by more than a share of it.
fn assert_near(actual: f64, expected: f64, share: f64) {
    assert!((actual - expected).abs() <= expected * share, "{actual} is not near {expected}");
}

fn token_millis(speed: &EngineSpeed) -> f64 {
    speed.token_time.as_secs_f64() * 1000.0
}

/// An engine that had only a slow phase of 600 ms must not be taken for a lastingly slow one.
#[test]
fn engines_slow_for_600_ms_keep_their_lasting_speed() {
    let phase = |number: u32| if number % 8 == 7 { work(1500, 250) } else { work(600, 100) };
    let speed = condition((0..80).map(phase)).speed(&Usual::default(), report(250));
    assert_near(token_millis(&speed), 6.0, 0.1);
    assert_near(speed.pace, 2.5, 0.1);
}

/// An engine whose reports always include its lasting slowness must not be taken for one that is slow now.
#[test]
fn a_quarter_of_the_engines_at_half_speed_are_slow_but_at_their_usual_pace() {
    let engines: Vec<Condition> =
        (0..8).map(|number| condition(vec![if number < 2 { work(1200, 182) } else { work(600, 100) }; 20])).collect();
    let usual = Usual::of(&engines);
    let (slow, fast) = (engines[0].speed(&usual, report(182)), engines[7].speed(&usual, report(100)));
    assert_near(token_millis(&slow), 12.0, 0.01);
    assert_near(slow.pace, 1.0, 0.01);
    assert_near(token_millis(&fast), 6.0, 0.01);
    // An engine that has no samples has the median, not the mean.
    let unknown = Condition::default().speed(&usual, Sum::default());
    assert_near(token_millis(&unknown), 6.0, 0.01);
    assert_eq!((unknown.pace.to_bits(), unknown.samples), (1.0_f64.to_bits(), 0));
}

/// Without this, an engine that has changed for good would keep its old speed for minutes.
#[test]
fn an_engine_that_stays_slow_is_known_as_slow_after_a_minute() {
    let updates = std::iter::repeat_n(work(600, 100), 60).chain(std::iter::repeat_n(work(1200, 100), 120));
    assert_near(token_millis(&condition(updates).speed(&Usual::default(), Sum::default())), 12.0, 0.05);
}

/// Sums from another instance that make no sense must not give zero, infinite or undefined speeds.
#[test]
fn absurd_sums_give_usable_speeds() {
    for sum in [Sum { units: 1, total: u32::MAX }, Sum { units: u32::MAX, total: 0 }] {
        let work = RecentWork { output: sum, prefill: sum, pace: sum };
        let speed = condition([work]).speed(&Usual::default(), sum);
        assert!(!speed.token_time.is_zero() && speed.token_time <= millis(1000));
        assert!(speed.prefill_speed.is_finite() && speed.prefill_speed > 0.0);
        assert!(speed.pace > 0.0 && speed.pace <= 20.0);
    }
}

/// Records arrivals, each given by its time in milliseconds and its events, and returns the time per event.
fn gap_of(arrivals: impl IntoIterator<Item = (u64, u32)>) -> Option<f64> {
    let mut meter = GapMeter::new(EVENT_TOKENS);
    for (at, events) in arrivals {
        assert_eq!(meter.record(events, millis(at)), None, "a block is complete too early");
    }
    meter.take_block()?.mean().map(|token| token * f64::from(EVENT_TOKENS))
}

macro_rules! gaps {
    ($($(#[$meta:meta])* $name:ident: $arrivals:expr => $gap:expr;)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            let expected: Option<f64> = $gap;
            assert_eq!(gap_of($arrivals), expected);
        }
    )*};
}

gaps! {
    a_regular_stream: (0..10).map(|number| (number * 30, 1)) => Some(30.0);
    /// Prefill of other requests makes an engine busy, not slow.
    gaps_with_prefill_of_others: (0..10).map(|number| (number * 30 + (number / 4) * 40, 1)) => Some(30.0);
    /// An instance that was off the CPU reads several events at once.
    events_read_together: (0..10).map(|number| (number * 90, 3)) => Some(30.0);
    /// Events that are read one by one, but at once, must not count as gaps of zero.
    events_read_in_a_row: (0..30).map(|number| (number / 3 * 90, 1)) => Some(30.0);
    too_few_gaps: (0..4).map(|number| (number * 30, 1)) => None;
    parts_of_events: (0..10).map(|number| (number * 30, 0)) => None;
}

/// An engine must not look slow because its events waited for a slow caller, nor fast because they were read at once
/// afterwards.
#[test]
fn gaps_in_which_the_caller_read_slowly_are_left_out() {
    let mut meter = GapMeter::new(EVENT_TOKENS);
    let mut at = 0;
    for number in 0..24 {
        at += if number % 3 == 0 { 400 } else { 30 };
        assert_eq!(meter.record(1, millis(at)), None);
        if number % 3 == 2 {
            meter.skip();
        }
    }
    // Of the three arrivals after each wait, the first is ignored, which leaves one gap; the first three have two.
    let sample = meter.take_block().expect("a sample");
    assert_eq!(sample, Sum { units: 9 * EVENT_TOKENS, total: 9 * 30 });
}

/// A long stream must not grow the state of its meter.
#[test]
fn a_long_stream_gives_samples_while_it_runs() {
    let mut meter = GapMeter::new(EVENT_TOKENS);
    let blocks = (0..1000).filter_map(|number| meter.record(1, millis(number * 30))).count();
    assert_eq!(blocks, 31);
}

const FAST: EngineSpeed =
    EngineSpeed { token_time: Duration::from_millis(6), prefill_speed: 100.0, pace: 1.0, samples: 9 };

macro_rules! first_events {
    ($($(#[$meta:meta])* $name:ident: $tokens:literal after $after:literal ms => $sample:expr;)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            let first = FirstEvent { tokens: $tokens, output: EVENT_TOKENS, after: millis($after) };
            assert_eq!(first.to_sample(&FAST), $sample);
        }
    )*};
}

first_events! {
    a_long_prompt: 9000 after 130 ms => Some(Sum { units: 9000, total: 100 });
    /// Steps take most of the time to the first event, which would look like slow prefill.
    a_short_prompt: 628 after 37 ms => None;
    /// A wait for a slot isn't prefill.
    a_prompt_that_waited: 9000 after 5000 ms => Some(Sum { units: 9000, total: 360 });
    /// Cached tokens that weren't expected to be must not give an infinite speed.
    a_prompt_that_was_cached: 9000 after 31 ms => Some(Sum { units: 9000, total: 23 });
}

/// Sums that never end would hide the present pace.
#[test]
fn a_sum_expires_with_its_buckets() {
    let mut sum = RecentSum::<4>::new(millis(250));
    sum.add(report(100), millis(100));
    sum.add(report(200), millis(300));
    assert_eq!(sum.at(millis(999)), Sum { units: 2, total: 300 });
    assert_eq!(sum.at(millis(1000)), report(200));
    assert_eq!(sum.at(millis(9000)), Sum::default());
}
