//! How long backoffs last, and how long draining endpoints are remembered.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_gateway::backoff::Backoff;
use rudder_model::EndpointId;

const SECOND: Duration = Duration::from_secs(1);

/// Backoffs that an endpoint asked for, and whether it is blocked, by milliseconds after the first answer.
struct Case {
    /// Time and duration of each backoff.
    backoffs: Vec<(u64, Duration)>,
    /// Time, and whether the endpoint is blocked then.
    blocked: Vec<(u64, bool)>,
}

impl Case {
    fn run(&self) {
        let endpoint: EndpointId = "e-1".into();
        let (mut backoff, first) = (Backoff::default(), Moment::now());
        let at = |millis: u64| first + Duration::from_millis(millis);
        for (millis, duration) in &self.backoffs {
            backoff.record_backoff(&endpoint, *duration, at(*millis));
        }
        for (millis, expected) in &self.blocked {
            assert_eq!(backoff.is_blocked(&endpoint, at(*millis)), *expected, "after {millis} ms");
            backoff.age(at(*millis), |_| false);
            assert_eq!(backoff.is_blocked(&endpoint, at(*millis)), *expected, "aged after {millis} ms");
        }
        assert!(!backoff.is_blocked("e-2", first), "other endpoints are not blocked");
    }
}

macro_rules! cases {
    ($($name:ident: $backoffs:expr => $blocked:expr;)*) => {
        $(#[test] fn $name() {
            Case { backoffs: $backoffs.into(), blocked: $blocked.into() }.run();
        })*
    };
}

cases! {
    a_backoff_ends_on_time: [(0, SECOND)] => [(0, true), (999, true), (1000, false)];
    a_later_shorter_backoff_does_not_end_a_longer_one: [(0, SECOND * 3), (500, SECOND)] => [(2000, true), (2999, true), (3000, false)];
    a_repeated_backoff_extends_the_first: [(0, SECOND), (900, SECOND)] => [(1500, true), (1900, false)];
    a_backoff_of_maximum_length_never_ends: [(0, Duration::MAX)] => [(86_400_000, true)];
    an_endpoint_without_a_backoff_is_not_blocked: [] => [(0, false)];
}

/// A draining endpoint is kept while it is known and for a while after, as a delayed heartbeat may make it known again.
#[test]
fn a_draining_endpoint_stays_blocked() {
    let endpoint: EndpointId = "e-1".into();
    let (mut backoff, now) = (Backoff::default(), Moment::now());
    assert!(backoff.record_leaving(&endpoint, now));
    assert!(!backoff.record_leaving(&endpoint, now), "already recorded");
    for (seconds, is_known, expected) in [(3600, true, true), (30, false, true), (3600, false, false)] {
        let now = now + SECOND * seconds;
        backoff.age(now, |_| is_known);
        assert_eq!(backoff.is_blocked(&endpoint, now), expected, "after {seconds} s, known: {is_known}");
    }
}
