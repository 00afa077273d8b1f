//! Rate limits announced by endpoints: the latest information applies, in whatever order answers arrive.

use std::time::Duration;

use crossbeam_channel::{Receiver, unbounded};
use rudder_clock::Moment;
use rudder_core::{
    Event,
    limits::{LimitKind, LimitReport},
    permits::LoanReturn,
};
use rudder_gateway::{
    dialect::LimitNotice,
    limits::{EndpointLimits, Loan},
};
use rudder_model::{EndpointId, RequestRate, id};

const NONE: LimitNotice = LimitNotice::Unlimited;

fn limited(requests: f64) -> LimitNotice {
    LimitNotice::Limited(RequestRate::try_from_per_second(requests).expect("a rate"))
}

/// Answers, with the times in milliseconds when the request was sent and the answer received, and the resulting limit.
struct Case {
    answers: Vec<(u64, u64, LimitNotice)>,
    expected: Option<f64>,
}

impl Case {
    fn run(&self) {
        let endpoint: EndpointId = "e-1".into();
        let (mut limits, start) = (EndpointLimits::default(), Moment::now());
        for (sent, received, notice) in &self.answers {
            let before = limits.rate(&endpoint, LimitKind::Requests);
            let at = |millis: &u64| start + Duration::from_millis(*millis);
            let recorded = limits.record_answer(&endpoint, LimitKind::Requests, *notice, at(sent), at(received));
            assert_eq!(
                recorded.is_some_and(|recorded| recorded.changed),
                limits.rate(&endpoint, LimitKind::Requests) != before,
                "{notice:?} after {received} ms"
            );
        }
        assert_eq!(limits.rate(&endpoint, LimitKind::Requests).map(RequestRate::per_second), self.expected);
        assert_eq!(limits.rate("e-2", LimitKind::Requests), None, "other endpoints have no limit");
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
    an_answer_without_a_limit_sets_none: [(0, 5, NONE)] => None;
    an_announced_limit_applies: [(0, 5, limited(1.2))] => Some(1.2);
    the_latest_limit_applies: [(0, 5, limited(1.2)), (6, 10, limited(3.0))] => Some(3.0);
    an_answer_without_a_limit_lifts_it: [(0, 5, limited(1.2)), (6, 10, NONE)] => None;
    /// The answer may predate the announcement of the limit.
    an_answer_to_an_earlier_request_does_not_lift_it: [(0, 5, limited(1.2)), (4, 10, NONE)] => Some(1.2);
    an_unknown_limit_changes_nothing: [(0, 5, limited(1.2)), (6, 10, LimitNotice::Unknown)] => Some(1.2);
    a_lifted_limit_may_be_announced_again: [(0, 5, limited(1.2)), (6, 10, NONE), (11, 15, limited(0.5))] => Some(0.5);
    a_limit_of_zero_is_a_limit: [(0, 5, limited(0.0))] => Some(0.0);
}

const ENDPOINT: &str = "e-1";

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Rate limits after the endpoint has just announced 40 requests per second.
fn limited_to_forty(now: Moment) -> EndpointLimits {
    let mut limits = EndpointLimits::default();
    limits.record_answer(&ENDPOINT.into(), LimitKind::Requests, limited(40.0), now, now);
    limits
}

fn report(requests: Option<f64>, age_ms: u32) -> LimitReport {
    let rate = requests.and_then(RequestRate::try_from_per_second);
    LimitReport { endpoint: id::endpoint_tag(ENDPOINT), rate, age_ms, kind: LimitKind::Requests }
}

#[test]
fn permits_are_valid_for_one_endpoint_and_a_limited_time() {
    let now = Moment::now();
    let permit = limited_to_forty(now).take_granted(ENDPOINT, 0, 1, now);
    assert!(permit.holds(ENDPOINT, now + millis(499)));
    assert!(!permit.holds(ENDPOINT, now + millis(500)), "it would add to the permits of others");
    assert!(!permit.holds("e-2", now));
}

#[test]
fn spare_permits_serve_requests_of_the_same_or_a_higher_priority() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    limits.take_granted(ENDPOINT, 1, 3, now);
    assert!(limits.take_spare(ENDPOINT, 2, now).is_none(), "they were granted for a higher priority");
    assert!(limits.take_spare(ENDPOINT, 0, now).is_some());
    assert!(limits.take_spare(ENDPOINT, 1, now + millis(499)).is_some());
    assert!(limits.take_spare(ENDPOINT, 1, now + millis(499)).is_none(), "all are used");
    limits.take_granted(ENDPOINT, 1, 3, now);
    assert!(limits.take_spare(ENDPOINT, 1, now + millis(500)).is_none(), "they have expired");
}

#[test]
fn the_number_of_permits_to_request_follows_recent_use() {
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
    limits.record_denial(ENDPOINT, LimitKind::Requests, until);
    assert_eq!(limits.retry_at(ENDPOINT, now), Some(until));
    assert_eq!(limits.retry_at(ENDPOINT, until), None);
    limits.record_report(report(Some(40.0), 0), now + millis(5));
    assert_eq!(limits.retry_at(ENDPOINT, now + millis(5)), Some(until), "the limit is unchanged");
    limits.record_report(report(Some(80.0), 0), now + millis(10));
    assert_eq!(limits.retry_at(ENDPOINT, now + millis(10)), None);
}

macro_rules! reports {
    ($($(#[$meta:meta])* $name:ident: $report:expr, after $after:literal => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let now = Moment::now();
            let mut limits = limited_to_forty(now);
            limits.record_report($report, now + millis($after));
            assert_eq!(limits.rate(ENDPOINT, LimitKind::Requests).map(RequestRate::per_second), $expected);
        })*
    };
}

reports! {
    a_newer_report_applies: report(Some(2.0), 10), after 100 => Some(2.0);
    an_older_report_is_ignored: report(Some(2.0), 200), after 100 => Some(40.0);
    a_newer_report_lifts_the_limit: report(None, 10), after 100 => None;
    an_older_report_does_not_lift_the_limit: report(None, 200), after 100 => Some(40.0);
}

/// An instance receives its own reports back with a later time, which must not override an answer received in between.
#[test]
fn an_echoed_report_does_not_override_a_later_answer() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    limits.record_report(report(Some(40.0), 0), now + millis(20));
    limits.record_answer(&ENDPOINT.into(), LimitKind::Requests, NONE, now + millis(10), now + millis(25));
    assert_eq!(limits.rate(ENDPOINT, LimitKind::Requests), None);
}

/// An endpoint that is unknown for a moment keeps its limit.
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

/// Guards against a limit on rejections that ends with the one on requests, or the other way round.
#[test]
fn limits_of_two_kinds_are_independent() {
    let now = Moment::now();
    let mut limits = limited_to_forty(now);
    limits.record_answer(&ENDPOINT.into(), LimitKind::Rejections, limited(5.0), now, now);
    limits.record_answer(&ENDPOINT.into(), LimitKind::Requests, NONE, now + millis(5), now + millis(10));
    assert_eq!(limits.rate(ENDPOINT, LimitKind::Requests), None);
    assert_eq!(limits.rate(ENDPOINT, LimitKind::Rejections).map(RequestRate::per_second), Some(5.0));
    assert!(limits.is_limited(ENDPOINT));
    let until = now + millis(300);
    limits.record_denial(ENDPOINT, LimitKind::Rejections, until);
    assert_eq!(limits.retry_at(ENDPOINT, now), Some(until));
}

/// Guards against a full or misdirected answer that ends what an endpoint said of its rejections.
#[test]
fn an_answer_without_a_usable_notice_keeps_the_limit_on_rejections() {
    let now = Moment::now();
    let mut limits = EndpointLimits::default();
    limits.record_answer(&ENDPOINT.into(), LimitKind::Rejections, limited(5.0), now, now);
    limits.record_answer(
        &ENDPOINT.into(),
        LimitKind::Rejections,
        LimitNotice::Unknown,
        now + millis(5),
        now + millis(9),
    );
    assert!(limits.is_limited(ENDPOINT));
}

fn loan(now: Moment) -> (Loan, Receiver<Event>) {
    let (events, returned) = unbounded();
    let end = LoanReturn { ticket: Some(7), endpoint: id::endpoint_tag(ENDPOINT), hall: "a".into(), rejected: false };
    (Loan::new(end, now, events), returned)
}

/// Whether each returned loan was rejected.
fn rejections(returned: &Receiver<Event>) -> Vec<bool> {
    let rejected = |event| if let Event::ReturnLoan(loan) = event { Some(loan.rejected) } else { None };
    returned.try_iter().filter_map(rejected).collect()
}

macro_rules! returns {
    ($($(#[$meta:meta])* $name:ident: $end:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let (loan, returned) = loan(Moment::now());
            let end: fn(Loan) = $end;
            end(loan);
            let expected: &[bool] = &$expected;
            assert_eq!(rejections(&returned), expected);
        })*
    };
}

returns! {
    /// Guards against room that is lost with each request that ends early.
    a_dropped_loan_is_returned: drop => [false];
    /// Guards against a holder that does not learn of rejections.
    a_rejected_loan_is_returned_as_such: Loan::reject => [true];
    /// Guards against the return of a loan that was never granted.
    a_denied_loan_is_not_returned: Loan::discard => [];
}

/// Guards against requests that are sent when the holder takes them for accepted.
#[test]
fn a_loan_must_be_used_soon_and_for_its_endpoint() {
    let now = Moment::now();
    let (loan, _returned) = loan(now);
    assert!(loan.holds(ENDPOINT, now + millis(199)));
    assert!(!loan.holds(ENDPOINT, now + millis(200)));
    assert!(!loan.holds("e-2", now));
}
