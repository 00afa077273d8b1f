//! Conditions of engines: own samples and those of the other instances, until an engine's life or the exchange ends.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{
    Phase, Registration,
    peer::{Load, LoadDetail, PaceSum, TokenTime},
};
use rudder_gateway::{
    condition::{ConditionCounts, Conditions, OutputMeter},
    dialect::LoadReport,
};
use rudder_model::id;
use rudder_route::condition::{FirstEvent, Sum};

const SERVICE: &str = "svc";

fn engines(count: usize) -> Vec<Registration> {
    (0..count).map(|number| support::endpoint(number, "a")).collect()
}

fn conditions(engines: &[Registration]) -> Conditions {
    let mut conditions = Conditions::default();
    conditions.set_roster(Rc::new(support::roster(engines)));
    conditions
}

fn pace(pace: f64) -> LoadReport {
    LoadReport { pace: Some(pace), ..LoadReport::default() }
}

/// The load of an engine as other instances report it.
fn remote(engine: &Registration, token_millis: u32, percent: u32) -> Load {
    let detail = LoadDetail {
        output: TokenTime { tokens: 100, millis: token_millis * 100 },
        pace: PaceSum { percent: percent * 4, reports: 4 },
        ..LoadDetail::default()
    };
    Load { detail: Some(Box::new(detail)), ..Load::none(id::endpoint_tag(&engine.endpoint)) }
}

/// One instance sees too few streams of an engine, so it must learn from the others.
#[test]
fn speeds_are_those_of_all_instances() {
    let engines = engines(4);
    let (mut conditions, now) = (conditions(&engines), Moment::now());
    let others = [remote(&engines[0], 6, 100), remote(&engines[1], 15, 100), remote(&engines[2], 20, 100)];
    conditions.set_others(Some(&others), now);
    conditions.record_output(&engines[1].endpoint, Sum { units: 100, total: 900 }, now);
    conditions.update(now);
    let speed = |number: usize| conditions.speed(&engines[number].endpoint, SERVICE, now);
    assert_eq!(speed(0).token_time.as_micros(), 6000);
    assert_eq!(speed(1).token_time.as_micros(), 12000);
    // An engine without samples has the median of its service.
    assert_eq!((speed(3).token_time, speed(3).samples), (speed(1).token_time, 0));
}

/// Old sums of others say nothing about the present.
#[test]
fn without_an_exchange_only_own_samples_count() {
    let engines = engines(1);
    let engine = &engines[0].endpoint;
    let (mut conditions, now) = (conditions(&engines), Moment::now());
    conditions.set_others(Some(&[remote(&engines[0], 6, 300)]), now);
    conditions.record_report(engine, &pace(1.0), now);
    assert!(conditions.speed(engine, SERVICE, now).pace > 2.5);
    let later = now + Duration::from_millis(1500);
    conditions.record_report(engine, &pace(1.0), later);
    assert_eq!(conditions.speed(engine, SERVICE, later).pace.to_bits(), 1.0_f64.to_bits());
}

/// The next life of an engine may run elsewhere, engines that have ended must not count in the median of their service, and
/// late samples must not bring them back.
#[test]
fn what_was_learned_ends_with_the_life_of_an_engine() {
    let mut engines = engines(3);
    let (mut conditions, now) = (conditions(&engines), Moment::now());
    for engine in &engines {
        conditions.record_output(&engine.endpoint, Sum { units: 100, total: 2000 }, now);
    }
    conditions.update(now);
    assert_eq!(conditions.counts(now).known, 3);
    engines[0].phase = Phase::Replaced;
    engines[1].phase = Phase::Gone;
    let gone = engines.pop().expect("an engine");
    conditions.set_roster(Rc::new(support::roster(&engines)));
    let later = now + Duration::from_secs(1);
    for endpoint in [&engines[0].endpoint, &engines[1].endpoint, &gone.endpoint] {
        conditions.record_output(endpoint, Sum { units: 100, total: 2000 }, later);
        conditions.record_report(endpoint, &pace(2.5), later);
        assert_eq!(conditions.detail(endpoint, later), LoadDetail::default());
        assert_eq!(conditions.speed(endpoint, SERVICE, later).samples, 0);
    }
    conditions.update(later);
    assert_eq!(conditions.counts(later), ConditionCounts::default());
}

/// What is reported must be what is read back, or the instances' speeds would differ.
#[test]
fn own_samples_are_reported_until_they_are_old() {
    let engines = engines(1);
    let engine = &engines[0].endpoint;
    let (mut conditions, now) = (conditions(&engines), Moment::now());
    conditions.record_output(engine, Sum { units: 100, total: 700 }, now);
    conditions.record_report(engine, &pace(2.5), now);
    conditions.record_report(engine, &LoadReport::default(), now);
    let first = FirstEvent { tokens: 9000, output: 5, after: Duration::from_millis(340) };
    conditions.record_first(engine, SERVICE, first, now);
    let expected = LoadDetail {
        output: TokenTime { tokens: 100, millis: 700 },
        prefill: TokenTime { tokens: 9000, millis: 300 },
        pace: PaceSum { percent: 250, reports: 1 },
        ..LoadDetail::default()
    };
    assert_eq!(conditions.detail(engine, now), expected);
    let later = conditions.detail(engine, now + Duration::from_secs(1));
    assert_eq!(later, LoadDetail { pace: PaceSum::default(), ..expected });
    assert_eq!(conditions.detail(engine, now + Duration::from_secs(5)), LoadDetail::default());
}

/// Waits for the caller must not count as time of the engine, and the rest of a stream must not be lost.
#[test]
fn a_stream_is_measured_to_its_end_without_waits_for_its_caller() {
    let (engines, now) = (engines(1), Moment::now());
    let conditions = Rc::new(RefCell::new(conditions(&engines)));
    let mut meter = OutputMeter::start(&conditions, &engines[0].endpoint, 5);
    let mut at = now;
    for number in 0..12 {
        at = at + Duration::from_millis(30);
        meter.record(1, at);
        let passed = if number == 5 { at + Duration::from_millis(900) } else { at };
        meter.record_forward(at, passed);
        at = passed;
    }
    drop(meter);
    // The gap of the wait, the ignored arrival's and the one after it are left out.
    let output = conditions.borrow().detail(&engines[0].endpoint, Moment::now()).output;
    assert_eq!(output, TokenTime { tokens: 9 * 5, millis: 9 * 30 });
}
