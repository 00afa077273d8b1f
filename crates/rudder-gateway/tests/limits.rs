//! What is known of the rate limits that endpoints name: the latest word holds, whatever the order in which answers come.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_gateway::{dialect::LimitNotice, limits::Limits};
use rudder_model::{EndpointId, RequestRate};

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
        let (mut limits, start) = (Limits::default(), Moment::now());
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
