//! When the links of an instance to all endpoints are in doubt, and when they count as lost.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_gateway::reachability::{MIN_LOST, Reachability};
use rudder_model::EndpointId;

/// Endpoints of the service.
const KNOWN: usize = 9;

/// What happens to a link, and when, in milliseconds.
enum Step {
    /// The endpoint with this number cannot be reached.
    Lost(usize),
    /// A new connection works.
    Reached,
    /// An open connection carries an answer.
    Heard,
    /// Time passes with requests in flight.
    Waits(u64),
    /// Time passes without any.
    Rests(u64),
}

/// Plays steps that take a millisecond each, besides the times they name. Returns whether the links are in doubt at the end.
fn is_suspected(steps: &[Step]) -> bool {
    let mut now = Moment::now();
    let mut reachability = Reachability::new(now);
    for step in steps {
        now = now + Duration::from_millis(1);
        match step {
            Step::Lost(number) => {
                reachability.record_lost(&EndpointId::from(format!("i-{number}")), KNOWN, now);
            }
            Step::Reached => {
                reachability.record_reached(now);
            }
            Step::Heard => reachability.record_heard(now),
            Step::Waits(millis) | Step::Rests(millis) => {
                for _ in 0..*millis / 60 {
                    now = now + Duration::from_millis(60);
                    reachability.check_silence(matches!(step, Step::Waits(_)), now);
                }
            }
        }
    }
    !reachability.is_connected()
}

macro_rules! cases {
    ($($(#[$comment:meta])* $name:ident: [$($step:expr),*] => $suspected:expr;)*) => {
        $($(#[$comment])* #[test] fn $name() {
            use Step::*;
            assert_eq!(is_suspected(&[$($step),*]), $suspected);
        })*
    };
}

cases! {
    /// Guards against an instance that tries all its endpoints again with each request.
    endpoints_lost_in_a_row_are_suspicious: [Lost(1), Lost(2), Lost(3)] => true;
    /// Guards against a crash of one endpoint that is taken for a loss of all links.
    one_endpoint_lost_often_is_not: [Lost(1), Lost(1), Lost(1), Lost(1)] => false;
    /// Guards against crashes of a few endpoints that are taken for it while others are reached.
    endpoints_lost_with_others_reached_are_not: [Lost(1), Lost(2), Reached, Lost(3), Lost(4)] => false;
    /// Guards against losses of long ago that add up.
    losses_of_long_ago_are_not: [Lost(1), Lost(2), Rests(5100), Lost(3)] => false;
    /// Guards against open connections that live on and hide that no new one can be made.
    answers_over_open_connections_hide_no_loss: [Lost(1), Heard, Lost(2), Heard, Lost(3)] => true;
    /// Guards against connections that hang until their requests' deadlines.
    silence_of_all_is_suspicious: [Waits(700)] => true;
    /// Guards against a pause of the only endpoint at work that is taken for it too soon.
    short_silence_is_not: [Waits(500), Heard, Waits(500)] => false;
    /// Guards against quiet times that are taken for silence.
    nothing_in_flight_is_not: [Rests(5000), Waits(500)] => false;
}

/// Guards against an instance that passes requests on before other endpoints were probed, or for longer than it has to.
#[test]
fn an_instance_is_isolated_from_the_first_vain_probe_to_the_first_contact() {
    let now = Moment::now();
    let mut reachability = Reachability::new(now);
    for number in 0..MIN_LOST {
        let probes = reachability.record_lost(&EndpointId::from(format!("i-{number}")), KNOWN, now);
        assert_eq!(probes, number + 1 == MIN_LOST);
    }
    assert!(!reachability.is_isolated());
    assert_eq!(reachability.record_unreached(now), Some(MIN_LOST));
    assert_eq!(reachability.record_unreached(now), None);
    assert!(reachability.is_isolated());
    let later = now + Duration::from_secs(7);
    assert_eq!(reachability.record_reached(later), Some(Duration::from_secs(7)));
    assert!(!reachability.is_isolated() && reachability.is_connected());
}

/// Guards against a small service whose endpoints are too few to be suspected.
#[test]
fn all_of_few_endpoints_are_enough() {
    let now = Moment::now();
    let mut reachability = Reachability::new(now);
    assert!(!reachability.record_lost(&EndpointId::from("i-1"), 2, now));
    assert!(reachability.record_lost(&EndpointId::from("i-2"), 2, now));
}
