//! Load shedding of less urgent requests.

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_gateway::shedding::{Change, Shedding};
use rudder_route::admission::Demand;

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

/// What the other instances sent and refused of the highest priority.
fn others(admitted: u32, refused: u32) -> Demand {
    Demand { admitted: [admitted, 0, 0, 0], refused: [refused, 0, 0, 0] }
}

/// An instance whose callers are all served would take the capacity that the urgent callers of other instances lack.
#[test]
fn refusals_of_other_instances_count() {
    let (mut shedding, now) = (Shedding::default(), Moment::now());
    record(&mut shedding, 0, (20, 0), now);
    record(&mut shedding, 1, (20, 0), now);
    assert!(!shedding.is_shed("svc", 1, now));
    let changes = shedding.update(|_| others(80, 20), now);
    assert!(shedding.is_shed("svc", 1, now));
    let demand = Demand { admitted: [100, 20, 0, 0], refused: [20, 0, 0, 0] };
    assert_eq!(changes, [Change { service: "svc".into(), level: Some(1), demand }]);
    assert_eq!(shedding.update(|_| others(80, 20), now), [], "it sheds already");
    shedding.update(|_| others(80, 0), now);
    assert!(!shedding.is_shed("svc", 1, now), "the others refuse none any more");
}

/// A service that refuses requests of its lowest priority alone sheds none.
#[test]
fn refusals_of_the_lowest_priority_are_no_change() {
    let (mut shedding, now) = (Shedding::default(), Moment::now());
    record(&mut shedding, 0, (20, 0), now);
    record(&mut shedding, 1, (0, 20), now);
    assert_eq!(shedding.update(|_| Demand::default(), now), []);
}

/// Less urgent requests need not wait for a few refusals at one of many instances.
#[test]
fn a_few_refusals_here_are_a_small_share_of_all() {
    let (mut shedding, now) = (Shedding::default(), Moment::now());
    record(&mut shedding, 0, (16, 4), now);
    assert!(shedding.is_shed("svc", 1, now));
    shedding.update(|_| others(300, 0), now);
    assert!(!shedding.is_shed("svc", 1, now));
}

/// Reports cost bytes at every instance, so nothing is reported while nobody refuses. Then all report, as the share that is
/// refused depends on what is sent as well.
#[test]
fn instances_report_while_any_of_them_refuses() {
    let (mut shedding, now) = (Shedding::default(), Moment::now());
    record(&mut shedding, 0, (20, 0), now);
    let reports = |shedding: &Shedding, is_included: bool| shedding.to_loads(now, |_| is_included).count();
    shedding.update(|_| others(80, 0), now);
    assert_eq!(reports(&shedding, true), 0);
    shedding.update(|_| others(80, 1), now);
    assert_eq!(reports(&shedding, true), 1);
    assert_eq!(reports(&shedding, false), 0);
    shedding.update(|_| Demand::default(), now);
    record(&mut shedding, 0, (0, 1), now);
    assert_eq!(reports(&shedding, true), 1);
    shedding.retain(|_| false);
    assert_eq!(reports(&shedding, true), 0);
}
