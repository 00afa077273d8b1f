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
