//! Which instances a request is passed to.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_core::Listing;
use rudder_gateway::{neighbours::Neighbours, placement::Placement};
use rudder_model::{HallId, InstanceId};

/// Instances that are tried for one request.
const TRIED: usize = 4;

/// The instances of the halls, by the numbers of them: `a-0`, `a-1`, `b-0`.
fn listings(halls: &[(&str, usize)]) -> Vec<Listing> {
    let names =
        halls.iter().flat_map(|(hall, count)| (0..*count).map(move |number| (*hall, format!("{hall}-{number}"))));
    let to_listing = |(hall, name): (&str, String)| Listing {
        name: InstanceId::from(name.as_str()),
        hall: HallId::from(hall),
        address: Some(name),
        start: 1,
        stopping: false,
        replica: None,
    };
    names.map(to_listing).collect()
}

/// The halls of the instances selected for an instance of hall `a`, in the order to try them. Halls `a` and `b` are in one
/// region, `c` in another.
fn select(halls: &[(&str, usize)], trials: &[(&str, bool)]) -> Vec<String> {
    let regions = [("a", "r"), ("b", "r"), ("c", "s")].map(|(hall, region)| (hall.into(), region.into()));
    let (others, placement, now) = (listings(halls), Placement::new(regions.into()), Moment::now());
    let mut neighbours = Neighbours::default();
    for (instance, served) in trials {
        neighbours.record(&InstanceId::from(*instance), *served, now);
    }
    let selected =
        neighbours.select::<TRIED>(others.iter(), &HallId::from("a"), &placement, now + Duration::from_millis(500));
    selected.iter().map(|listing| listing.hall.to_string()).collect()
}

macro_rules! cases {
    ($($(#[$comment:meta])* $name:ident: $halls:expr, $trials:expr => $expected:expr;)*) => {
        $($(#[$comment])* #[test] fn $name() {
            assert_eq!(select(&$halls, &$trials), $expected);
        })*
    };
}

cases! {
    /// Guards against a hall whose instances are all without links and that are the only ones tried.
    other_halls_are_tried_after_the_own_one: [("a", 9), ("b", 9)], [] => ["a", "a", "b", "b"];
    /// Guards against bytes between halls while the own one serves.
    instances_of_the_own_hall_come_first: [("a", 3), ("b", 3)], [("b-1", true)] => ["a", "a", "b", "b"];
    /// Guards against a hall's last instance that gets the requests of all others.
    the_last_of_the_own_hall_shares_with_the_region: [("b", 3), ("c", 1)], [("b-0", true)] => ["b", "b", "c", "b"];
    /// Guards against instances without links that are tried with each request.
    unfit_instances_are_left_out: [("a", 2), ("b", 1)], [("a-0", false), ("a-1", false)] => ["b"];
    /// Guards against other regions that are passed over when no instance is left in the own one.
    other_regions_come_last: [("c", 2)], [] => ["c", "c"];
}

/// Guards against instances that are left out for good.
#[test]
fn an_unfit_instance_is_tried_again() {
    let (others, now) = (listings(&[("a", 1)]), Moment::now());
    let mut neighbours = Neighbours::default();
    neighbours.record(&others[0].name, false, now);
    let count = |neighbours: &Neighbours, after: u64| {
        let later = now + Duration::from_millis(after);
        neighbours.select::<TRIED>(others.iter(), &HallId::from("a"), &Placement::default(), later).len()
    };
    assert_eq!((count(&neighbours, 900), count(&neighbours, 1100)), (0, 1));
}

/// Guards against requests of one instance that all go to the neighbour that served first.
#[test]
fn requests_are_spread_over_the_neighbours() {
    let (others, now) = (listings(&[("a", 6)]), Moment::now());
    let mut neighbours = Neighbours::default();
    let mut firsts = [0; 6];
    for _ in 0..600 {
        let selected = neighbours.select::<TRIED>(others.iter(), &HallId::from("a"), &Placement::default(), now);
        let first = others.iter().position(|other| other.name == selected[0].name).expect("it is one of them");
        firsts[first] += 1;
        neighbours.record(&selected[0].name, true, now);
    }
    assert!(firsts.iter().all(|count| (50..=170).contains(count)), "{firsts:?}");
}

/// Guards against instances without links that are tried first again as soon as they are tried at all.
#[test]
fn an_instance_that_failed_lately_comes_last() {
    let (others, now) = (listings(&[("a", 3)]), Moment::now());
    let mut neighbours = Neighbours::default();
    neighbours.record(&others[1].name, false, now);
    for _ in 0..20 {
        let later = now + Duration::from_secs(2);
        let selected = neighbours.select::<TRIED>(others.iter(), &HallId::from("a"), &Placement::default(), later);
        assert_eq!(selected.last().map(|other| &other.name), Some(&others[1].name));
    }
}
