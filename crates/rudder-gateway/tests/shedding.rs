//! Load shedding of less urgent requests.

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_gateway::shedding::Shedding;

const SECOND: Duration = Duration::from_secs(1);

/// Records `sent` and `refused` requests of a level at `at`.
fn record(shedding: &mut Shedding, level: usize, (sent, refused): (u32, u32), at: Moment) {
    let service: Arc<str> = "svc".into();
    for number in 0..sent + refused {
        shedding.record(&service, level, number < refused, at);
    }
}

macro_rules! sheds {
    ($($(#[$meta:meta])* $name:ident: $recorded:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let (mut shedding, now) = (Shedding::default(), Moment::now());
            for (level, counts) in $recorded.into_iter().enumerate() {
                record(&mut shedding, level, counts, now);
            }
            let shed = [0, 1, 2].map(|level| shedding.is_shed("svc", level, now));
            assert_eq!(shed, $expected);
        })*
    };
}

sheds! {
    /// Urgent requests would be refused while less urgent ones take the few gaps.
    all_below_a_refused_priority_are_shed: [(50, 10), (20, 0), (20, 0)] => [false, true, true];
    more_urgent_ones_are_not_shed: [(50, 0), (20, 10), (20, 0)] => [false, false, true];
    the_lowest_priority_sheds_none: [(50, 0), (20, 0), (0, 90)] => [false, false, false];
    a_single_refusal_sheds_none: [(10, 1), (20, 0), (20, 0)] => [false, false, false];
    a_small_share_sheds_none: [(200, 9), (20, 0), (20, 0)] => [false, false, false];
}

/// Less urgent requests return as soon as the urgent ones are sent again.
#[test]
fn refusals_count_for_five_seconds() {
    let (mut shedding, now) = (Shedding::default(), Moment::now());
    record(&mut shedding, 0, (0, 10), now);
    assert!(shedding.is_shed("svc", 1, now + SECOND * 4));
    assert!(!shedding.is_shed("svc", 1, now + SECOND * 6));
    assert!(!shedding.is_shed("another", 1, now));
}
