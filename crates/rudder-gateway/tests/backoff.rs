//! What endpoints have asked for: how long a rest lasts, and how long it is remembered that one leaves.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_gateway::backoff::Backoff;
use rudder_model::EndpointId;

const SECOND: Duration = Duration::from_secs(1);

/// Whether an endpoint may be sent nothing, so many milliseconds after the first answer.
struct Case {
    /// Rests asked for, as milliseconds after the first answer and length.
    rests: Vec<(u64, Duration)>,
    /// Whether it is held off then.
    held_off: Vec<(u64, bool)>,
}

impl Case {
    fn run(&self) {
        let endpoint: EndpointId = "e-1".into();
        let (mut backoff, first) = (Backoff::default(), Moment::now());
        let at = |millis: u64| first + Duration::from_millis(millis);
        for (millis, rest) in &self.rests {
            backoff.record_backoff(&endpoint, *rest, at(*millis));
        }
        for (millis, expected) in &self.held_off {
            assert_eq!(backoff.is_blocked(&endpoint, at(*millis)), *expected, "after {millis} ms");
            backoff.age(at(*millis), |_| false);
            assert_eq!(backoff.is_blocked(&endpoint, at(*millis)), *expected, "aged after {millis} ms");
        }
        assert!(!backoff.is_blocked("e-2", first), "no other is held off");
    }
}

macro_rules! cases {
    ($($name:ident: $rests:expr => $held_off:expr;)*) => {
        $(#[test] fn $name() {
            Case { rests: $rests.into(), held_off: $held_off.into() }.run();
        })*
    };
}

cases! {
    a_rest_ends_when_it_was_said_to: [(0, SECOND)] => [(0, true), (999, true), (1000, false)];
    a_shorter_rest_asked_for_later_does_not_end_the_longer: [(0, SECOND * 3), (500, SECOND)] => [(2000, true), (2999, true), (3000, false)];
    a_rest_asked_for_again_lasts_longer: [(0, SECOND), (900, SECOND)] => [(1500, true), (1900, false)];
    a_rest_beyond_all_time_is_one_for_good: [(0, Duration::MAX)] => [(86_400_000, true)];
    nothing_was_asked_for: [] => [(0, false)];
}

/// One that leaves is remembered while it is known, and a while longer, as late heartbeats may bring it back.
#[test]
fn one_that_leaves_stays_held_off() {
    let endpoint: EndpointId = "e-1".into();
    let (mut backoff, now) = (Backoff::default(), Moment::now());
    assert!(backoff.record_leaving(&endpoint, now));
    assert!(!backoff.record_leaving(&endpoint, now), "it is no news");
    for (seconds, is_known, expected) in [(3600, true, true), (30, false, true), (3600, false, false)] {
        let now = now + SECOND * seconds;
        backoff.age(now, |_| is_known);
        assert_eq!(backoff.is_blocked(&endpoint, now), expected, "after {seconds} s, known: {is_known}");
    }
}
