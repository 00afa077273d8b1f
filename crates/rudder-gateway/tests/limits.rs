//! What is known of the rate limits that endpoints name: the latest word holds, whatever the order in which answers come.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_core::limits::LimitReport;
use rudder_gateway::{dialect::LimitNotice, limits::RateLimits};
use rudder_model::{EndpointId, RequestRate, id};

const NONE: LimitNotice = LimitNotice::Unlimited;

fn limited(requests: f64) -> LimitNotice {
    LimitNotice::Limited(RequestRate::try_from_per_second(requests).expect("a rate"))
}

/// Answers, as milliseconds at which their requests were sent and they came, and the limit known afterwards.
struct Case {
    answers: Vec<(u64, u64, LimitNotice)>,
    expected: Option<f64>,
}

impl Case {
    fn run(&self) {
        let endpoint: EndpointId = "e-1".into();
        let (mut limits, start) = (RateLimits::default(), Moment::now());
        for (sent, came, notice) in &self.answers {
            let before = limits.rate(&endpoint);
            let at = |millis: &u64| start + Duration::from_millis(*millis);
            let recorded = limits.record_answer(&endpoint, *notice, at(sent), at(came));
            assert_eq!(
                recorded.is_some_and(|recorded| recorded.changed),
                limits.rate(&endpoint) != before,
                "{notice:?} after {came} ms"
            );
        }
        assert_eq!(limits.rate(&endpoint).map(RequestRate::per_second), self.expected);
        assert_eq!(limits.rate("e-2"), None, "no other is limited");
    }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $answers:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            Case { answers: $answers.into(), expected: $expected }.run();
        })*
    };
}

cases! {
    nothing_was_said: [(0, 5, NONE)] => None;
    a_limit_holds_once_it_was_named: [(0, 5, limited(1.2))] => Some(1.2);
    the_latest_limit_holds: [(0, 5, limited(1.2)), (6, 10, limited(3.0))] => Some(3.0);
    a_limit_ends_when_an_answer_names_none: [(0, 5, limited(1.2)), (6, 10, NONE)] => None;
    /// It may have been made before the limit was named.
    an_answer_to_a_request_sent_before_does_not_end_it: [(0, 5, limited(1.2)), (4, 10, NONE)] => Some(1.2);
    what_cannot_be_told_changes_nothing: [(0, 5, limited(1.2)), (6, 10, LimitNotice::Unknown)] => Some(1.2);
    a_limit_that_ended_may_come_back: [(0, 5, limited(1.2)), (6, 10, NONE), (11, 15, limited(0.5))] => Some(0.5);
    a_limit_of_nothing_is_one: [(0, 5, limited(0.0))] => Some(0.0);
}

const ENDPOINT: &str = "e-1";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Rate limits in which the endpoint has just named one of 40 a second.
fn limited_to_forty(now: Moment) -> RateLimits {
    let mut limits = RateLimits::default();
    limits.record_answer(&ENDPOINT.into(), limited(40.0), now, now);
    limits
}

fn report(requests: Option<f64>, age_ms: u32) -> LimitReport {
    let rate = requests.and_then(RequestRate::try_from_per_second);
    LimitReport { endpoint: id::endpoint_tag(ENDPOINT), rate, age_ms }
}

#[test]
fn permits_hold_for_their_endpoint_and_for_a_while() {
    let now = Moment::now();
    let permit = limited_to_forty(now).take_granted(ENDPOINT, 0, 1, now);
    assert!(permit.holds(ENDPOINT, now + millis(499)));
    assert!(!permit.holds(ENDPOINT, now + millis(500)), "what is sent later comes on top of others' requests");
    assert!(!permit.holds("e-2", now));
}

#[test]
fn permits_that_are_left_serve_requests_as_urgent() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    limits.take_granted(ENDPOINT, 1, 3, now);
    assert!(limits.take_spare(ENDPOINT, 2, now).is_none(), "they were granted to a more urgent one");
    assert!(limits.take_spare(ENDPOINT, 0, now).is_some());
    assert!(limits.take_spare(ENDPOINT, 1, now + millis(499)).is_some());
    assert!(limits.take_spare(ENDPOINT, 1, now + millis(499)).is_none(), "all are used");
    limits.take_granted(ENDPOINT, 1, 3, now);
    assert!(limits.take_spare(ENDPOINT, 1, now + millis(500)).is_none(), "they are too old");
}

#[test]
fn an_instance_asks_for_what_it_used_of_late() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    assert_eq!(limits.wanted(ENDPOINT, now), 1);
    for step in 0..8 {
        limits.take_granted(ENDPOINT, 0, 1, now + millis(step * 25));
    }
    assert_eq!(limits.wanted(ENDPOINT, now + millis(200)), 8);
    assert_eq!(limits.wanted(ENDPOINT, now + millis(1000)), 1);
}

#[test]
fn a_denial_ends_with_its_time_or_when_the_limit_changes() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    let until = now + millis(300);
    limits.record_denial(ENDPOINT, until);
    assert_eq!(limits.retry_at(ENDPOINT, now), Some(until));
    assert_eq!(limits.retry_at(ENDPOINT, until), None);
    limits.record_report(report(Some(40.0), 0), now + millis(5));
    assert_eq!(limits.retry_at(ENDPOINT, now + millis(5)), Some(until), "nothing is new");
    limits.record_report(report(Some(80.0), 0), now + millis(10));
    assert_eq!(limits.retry_at(ENDPOINT, now + millis(10)), None);
}

macro_rules! told {
    ($($(#[$meta:meta])* $name:ident: $report:expr, after $after:literal => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let now = Moment::now();
            let mut limits = limited_to_forty(now);
            limits.record_report($report, now + millis($after));
            assert_eq!(limits.rate(ENDPOINT).map(RequestRate::per_second), $expected);
        })*
    };
}

told! {
    what_others_learned_later_holds: report(Some(2.0), 10), after 100 => Some(2.0);
    what_others_learned_before_does_not: report(Some(2.0), 200), after 100 => Some(40.0);
    that_it_ended_others_learned_later: report(None, 10), after 100 => None;
    that_it_ended_others_learned_before: report(None, 200), after 100 => Some(40.0);
}

/// What was told comes back to an instance later than it was said, and must not outdate an answer that came meanwhile.
#[test]
fn what_comes_back_from_others_does_not_outdate_a_later_answer() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    limits.record_report(report(Some(40.0), 0), now + millis(20));
    limits.record_answer(&ENDPOINT.into(), NONE, now + millis(10), now + millis(25));
    assert_eq!(limits.rate(ENDPOINT), None);
}

/// An endpoint that is lost for a moment keeps its limit.
#[test]
fn a_limit_outlasts_a_short_absence_of_its_endpoint() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    for (seconds, is_known, expected) in [(3600, true, 1), (30, false, 1), (61, false, 0)] {
        let known: Vec<EndpointId> = if is_known { vec![ENDPOINT.into()] } else { Vec::new() };
        limits.retain(known.iter(), now + millis(seconds * 1000));
        assert_eq!(limits.count(), expected, "after {seconds} s, known: {is_known}");
    }
}
