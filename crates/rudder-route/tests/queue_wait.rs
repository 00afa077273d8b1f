//! Waits for the prompts ahead when demand exceeds the engines.

use std::time::Duration;

use rudder_route::{
    admission::Caller,
    queue_wait::{Backlog, WaitBounds},
};

const MS: Duration = Duration::from_millis(1);
const BOUNDS: WaitBounds = WaitBounds { target: 0.5, patience: 0.5 };

fn caller(target: u32, remaining: u32) -> Caller {
    Caller { target: MS * target, gap: Some(MS * target), remaining: MS * remaining }
}

/// Milliseconds that a request waits for 400 ms of queued prompts while more urgent ones take `urgent` of 100 tokens.
fn wait(urgent: f64) -> u128 {
    Backlog { queued: MS * 400, rate: urgent, capacity: 100.0 }.wait().as_millis()
}

macro_rules! waits {
    ($($(#[$meta:meta])* $name:ident: $urgent:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() { assert_eq!(wait($urgent), $expected); })*
    };
}

waits! {
    in_calm_a_request_waits_for_what_is_queued: 0.0 => 400;
    urgent_arrivals_are_processed_first: 60.0 => 1_000;
    /// The rate of arrivals may exceed the capacity, and a request that is sent must not wait for ever on paper.
    the_wait_is_bounded_in_an_overload: 500.0 => 4_000;
}

/// Engines that have not answered yet have no known capacity.
#[test]
fn without_a_capacity_only_the_queue_counts() {
    assert_eq!(Backlog { queued: MS * 400, rate: 50.0, capacity: 0.0 }.wait(), MS * 400);
}

/// In a burst of all priorities, long prompts would fill the engines, run out of time there behind the urgent ones, and
/// keep the room from these.
#[test]
fn a_burst_of_long_prompts_is_refused_while_urgent_ones_take_half_the_capacity() {
    let backlog = |queued: u32| Backlog { queued: MS * queued, rate: 55.0, capacity: 100.0 };
    let is_sent = |queued: u32| backlog(queued).wait() <= BOUNDS.longest(&caller(1_200, 5_000), true);
    assert_eq!([100, 250, 400, 800].map(is_sent), [true, true, false, false]);
}

/// A late answer is better than a refusal while less urgent requests are served.
#[test]
fn urgent_requests_may_be_late_as_long_as_their_callers_wait() {
    let urgent = |remaining: u32| BOUNDS.longest(&caller(400, remaining), false);
    assert_eq!([urgent(3_000), urgent(10_000), urgent(1_000)], [MS * 1_500, MS * 1_600, MS * 500]);
    assert_eq!(BOUNDS.longest(&caller(400, 3_000), true), MS * 200);
}
