//! Predicted times and speed classes of engines at the limits of their inputs.

use std::time::Duration;

use rudder_route::{
    condition::EngineSpeed,
    engine_cost::{
        EngineDemand, EngineWork, SpeedClass, SpeedScale, TimingOptions, event_gap, first_event, harm, prefill_time,
    },
};

const EVENT_TOKENS: u32 = 5;
const GAP: Duration = Duration::from_millis(120);

fn speed(token_micros: u64) -> EngineSpeed {
    let token_time = Duration::from_micros(token_micros);
    EngineSpeed { token_time, prefill_speed: 100.0, pace: 1.0, samples: 50 }
}

fn scale() -> SpeedScale {
    SpeedScale::new(&[speed(6_000), speed(6_000), speed(12_000)], EVENT_TOKENS, GAP).expect("speeds are known")
}

/// A policy may disable the comparison with the median by setting both shares to zero; then only the gap target counts.
#[test]
fn shares_of_zero_leave_the_gap_target() {
    let options = TimingOptions { slow: 0.0, recovered: 0.0, ..TimingOptions::default() };
    for before in [SpeedClass::Fast, SpeedClass::Slow] {
        assert_eq!(scale().class(&options, &speed(6_000), before), SpeedClass::Fast);
        assert_eq!(scale().class(&options, &speed(9_000), before), SpeedClass::Slow);
    }
}

/// Times that are infinite or not a number would panic when converted to a duration.
#[test]
fn extreme_inputs_give_bounded_times() {
    let most = Duration::from_secs(600);
    let demand = EngineDemand { own: u32::MAX, missing: u32::MAX, answer: u32::MAX, event: u32::MAX };
    let work = EngineWork { calls: 4e9, rivals: 4e9, unread: 4e9, ahead: 4e9, slots: 0, unreported: f64::INFINITY };
    for prefill_speed in [0.0, f64::MIN_POSITIVE, f64::NAN, f64::INFINITY] {
        let speed = EngineSpeed { prefill_speed, ..speed(1_000_000) };
        for work in [EngineWork::default(), work] {
            let options = TimingOptions::default();
            let times = [
                first_event(&speed, &work, &demand),
                first_event(&speed, &work, &EngineDemand::default()),
                harm(&options, &speed, &work, &demand),
                prefill_time(&speed, work.unread),
            ];
            assert!(times.iter().all(|time| *time <= most), "{times:?}");
            assert!(event_gap(&speed, &work, u32::MAX) <= most * 2);
        }
    }
}

const DEMAND: EngineDemand = EngineDemand { own: 1_000, missing: 500, answer: 50, event: EVENT_TOKENS };
const IDLE: EngineWork = EngineWork { ahead: 0.0, unread: 0.0, calls: 0.0, rivals: 0.0, slots: 16, unreported: 0.0 };

/// Compares times to the microsecond.
fn assert_micros(actual: Duration, expected: u128) {
    assert_eq!((actual + Duration::from_nanos(500)).as_micros(), expected);
}

macro_rules! first_events {
    ($($(#[$meta:meta])* $name:ident: $pace:literal, $work:expr => $micros:literal;)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            let speed = EngineSpeed { pace: $pace, ..speed(6_000) };
            assert_micros(first_event(&speed, &$work, &DEMAND), $micros);
        }
    )*};
}

first_events! {
    an_idle_engine_takes_its_prefill_and_an_event: 1.0, IDLE => 45_000;
    a_slowed_engine_takes_longer_for_both: 2.0, IDLE => 90_000;
    prompts_ahead_are_waited_for: 1.0, EngineWork { ahead: 2_000.0, ..IDLE } => 65_000;
    requests_that_no_report_shows_yet_are_waited_for: 1.0, EngineWork { unreported: 2.0, ..IDLE } => 65_000;
    /// Without an exchange, the age of the reports grows without bound.
    the_number_of_unreported_requests_is_bounded: 1.0, EngineWork { unreported: 1e9, ..IDLE } => 125_000;
    /// They are sent by counts that show free slots.
    unreported_requests_take_the_free_slots: 1.0,
        EngineWork { calls: 11.0, rivals: 11.0, unreported: 8.0, ..IDLE } => 200_000;
    a_full_engine_frees_its_next_slot_after_a_part_of_a_turn: 1.0,
        EngineWork { calls: 16.0, rivals: 16.0, ..IDLE } => 63_750;
    requests_in_the_queue_get_their_slots_first: 1.0, EngineWork { calls: 32.0, rivals: 32.0, ..IDLE } => 363_750;
    /// Less urgent requests in the queue do not delay an urgent one.
    lower_priorities_in_the_queue_are_passed: 1.0, EngineWork { calls: 32.0, rivals: 4.0, ..IDLE } => 63_750;
}

/// Prefill passes between the steps of an event in chunks, so a long queue lengthens a gap by a bounded time.
#[test]
fn a_gap_holds_the_prefill_of_its_steps() {
    assert_micros(event_gap(&speed(6_000), &EngineWork { unread: 2_000.0, ..IDLE }, EVENT_TOKENS), 50_000);
    assert_micros(event_gap(&speed(6_000), &EngineWork { unread: 1e9, ..IDLE }, EVENT_TOKENS), 81_200);
}

/// Requests that wait for a slot are not delayed by prefill between steps.
#[test]
fn prefill_harms_the_running_streams_only() {
    let harm_of = |calls| harm(&TimingOptions::default(), &speed(6_000), &EngineWork { calls, ..IDLE }, &DEMAND);
    assert_micros(harm_of(10.0), 35_000);
    assert_micros(harm_of(40.0), 44_000);
}
