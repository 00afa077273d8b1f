//! How much is sent to endpoints that fall over when they reject too much.

use std::time::Duration;

use rudder_gateway::brittle::{BrittleEndpoints, Use};
use rudder_model::EndpointId;

/// Rejections that the endpoint bears in a second.
const BORNE: f64 = 5.0;

fn endpoint() -> EndpointId {
    EndpointId::from("i-1")
}

/// A brittle endpoint whose last answer was a rejection or not.
fn brittle(rejected: bool) -> BrittleEndpoints {
    let mut endpoints = BrittleEndpoints::default();
    endpoints.record_answer(&endpoint(), Some(BORNE), rejected, 4, 0.5);
    endpoints
}

macro_rules! cases {
    ($($(#[$comment:meta])* $name:ident: $rejected:expr, ($own:expr, $known:expr) of $slots:expr, $instances:expr => $allowed:expr;)*) => {
        $($(#[$comment])* #[test] fn $name() {
            let used = Use { slots: $slots, own: $own, known: $known, instances: $instances };
            assert_eq!(brittle($rejected).allows("i-1", used), $allowed);
        })*
    };
}

cases! {
    /// Guards against requests refused while there is room for them and for one of each other instance.
    free_slots_are_used: false, (9, 30) of 64, 9 => true;
    /// Guards against instances that all take the last slots at once.
    the_last_slots_are_used_by_shares: false, (7, 60) of 64, 9 => false;
    /// Guards against an instance whose share is taken by reports that it cannot have.
    a_share_is_used_whatever_is_known: false, (6, 64) of 64, 9 => true;
    /// Guards against more instances than slots, of which none would send.
    a_share_is_one_request_at_least: false, (0, 4) of 4, 60 => true;
    /// Guards against a full endpoint that rejects several requests of one instance at once.
    after_a_rejection_one_is_sent_at_a_time: true, (1, 1) of 64, 9 => false;
    /// Guards against an endpoint that is never tried again.
    after_a_rejection_one_is_sent: true, (0, 64) of 64, 9 => true;
}

/// Guards against instances that together cause more rejections than the endpoint bears.
#[test]
fn pauses_keep_all_instances_within_what_is_borne() {
    for (borne, instances) in [(5.0, 9_u32), (1.0, 3), (40.0, 60)] {
        let mut total = 0.0;
        for instance in 0..instances {
            let draw = f64::from(instance) / f64::from(instances);
            let mut endpoints = BrittleEndpoints::default();
            let pause = endpoints.record_answer(&endpoint(), Some(borne), true, instances, draw);
            total += 1.0 / pause.expect("it was rejected").as_secs_f64();
        }
        assert!(total <= borne, "{total} rejections a second of {borne}");
    }
}

/// Guards against values of the header that no endpoint can mean.
#[test]
fn pauses_are_bounded() {
    for borne in [0.0, 1e-300, f64::MAX] {
        let mut endpoints = BrittleEndpoints::default();
        let pause = endpoints.record_answer(&endpoint(), Some(borne), true, 9, 0.5).expect("it was rejected");
        assert!((Duration::from_millis(500)..=Duration::from_secs(10)).contains(&pause), "{pause:?}");
    }
}

/// Guards against an endpoint that counts as brittle for good.
#[test]
fn an_answer_that_does_not_say_so_ends_it() {
    let mut endpoints = brittle(true);
    assert_eq!(endpoints.record_answer(&endpoint(), None, true, 4, 0.5), None);
    assert!(!endpoints.is_brittle("i-1"));
}
