//! Departures: what a later record adds, and which records are dropped.

use rudder_ledger::{Departure, Departures, Forgotten};
use rudder_model::EndpointId;

fn departure(endpoint: &str, ended: bool) -> Departure {
    Departure { endpoint: endpoint.into(), born: None, hall: "north".into(), ended, sequence: 5 }
}

fn forgotten(endpoint: &str, as_of: u64) -> Forgotten {
    Forgotten { endpoints: vec![endpoint.into()], as_of }
}

fn ended(held: &Departures) -> Vec<(EndpointId, bool)> {
    held.iter().map(|departure| (departure.endpoint.clone(), departure.ended)).collect()
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $test:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let test: fn(&mut Departures) = $test;
                test(&mut Departures::default());
            }
        )*
    };
}

cases! {
    an_end_follows_a_drain: |held| {
        assert!(held.apply(1, vec![departure("e-1", false)]));
        assert!(held.covers(&departure("e-1", false)) && !held.covers(&departure("e-1", true)));
        assert!(held.apply(2, vec![departure("e-1", true)]));
        assert_eq!(ended(held), [("e-1".into(), true)]);
    };
    /// A drain that was proposed before an end may be committed after it.
    a_late_drain_does_not_undo_an_end: |held| {
        held.apply(1, vec![departure("e-1", true)]);
        assert!(!held.apply(2, vec![departure("e-1", false)]));
        assert_eq!(ended(held), [("e-1".into(), true)]);
    };
    a_forgotten_departure_is_dropped: |held| {
        held.apply(1, vec![departure("e-1", true), departure("e-2", true)]);
        assert!(held.forget(&forgotten("e-1", 1)));
        assert_eq!(ended(held), [("e-2".into(), true)]);
        assert!(!held.forget(&forgotten("e-1", 1)));
    };
    /// The endpoint departs again while the record that forgets it is under way.
    a_departure_recorded_again_is_kept: |held| {
        held.apply(1, vec![departure("e-1", false)]);
        held.apply(4, vec![departure("e-1", false)]);
        assert!(!held.forget(&forgotten("e-1", 3)));
        assert_eq!(held.len(), 1);
    };
    the_oldest_departures_give_way: |held| {
        for index in 0..24_010 {
            held.apply(index, vec![departure(&format!("e-{index}"), true)]);
        }
        assert_eq!(held.len(), 24_000);
        assert!(!held.covers(&departure("e-9", true)) && held.covers(&departure("e-10", true)));
    };
}
