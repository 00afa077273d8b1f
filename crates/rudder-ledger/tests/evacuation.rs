//! Evacuations: orders that come twice, late, or from two operators at once.

use rudder_ledger::{Evacuation, Evacuations};

const HALL: &str = "north";

fn order(begins: bool, as_of: u64) -> Evacuation {
    Evacuation { hall: HALL.into(), begins, as_of }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: [$(($index:literal, $begins:literal, $as_of:literal)),+] => $evacuated:literal;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let mut held = Evacuations::default();
                $(held.apply($index, order($begins, $as_of));)+
                assert_eq!(held.is_evacuated(HALL), $evacuated);
            }
        )*
    };
}

cases! {
    an_order_is_in_force: [(1, true, 0)] => true;
    it_may_come_twice: [(1, true, 0), (2, true, 0), (3, true, 1)] => true;
    it_is_taken_back: [(1, true, 0), (5, false, 1)] => false;
    the_end_may_come_twice: [(1, true, 0), (5, false, 1), (6, false, 1)] => false;
    it_may_begin_again: [(1, true, 0), (5, false, 1), (9, true, 5)] => true;
    /// It was held up at an instance that its sender gave up, and another copy and the end came before it.
    a_copy_from_before_the_end_evacuates_nothing: [(1, true, 0), (5, false, 1), (6, true, 0)] => false;
    a_copy_of_the_end_ends_no_later_evacuation: [(1, true, 0), (5, false, 1), (9, true, 5), (10, false, 1)] => true;
    the_end_of_what_never_began_changes_nothing: [(1, false, 0)] => false;
    /// Both knew the same; the one that came second stands before the first.
    of_two_operators_the_first_in_the_log_decides: [(1, true, 0), (5, false, 1), (6, true, 1)] => false;
}

#[test]
fn halls_are_apart_from_each_other() {
    let mut held = Evacuations::default();
    held.apply(3, order(true, 0));
    held.apply(4, Evacuation { hall: "south".into(), begins: true, as_of: 0 });
    held.apply(7, order(false, 4));
    let halls: Vec<&str> = held.evacuated().map(|hall| &**hall).collect();
    assert_eq!(halls, ["south"]);
    assert_eq!(held.returned().map(|hall| &**hall).collect::<Vec<_>>(), [HALL]);
}

#[test]
fn only_newer_states_are_taken_in() {
    let mut held = Evacuations::default();
    assert!(held.apply(3, order(true, 0)));
    assert!(!held.apply(4, order(true, 0)));
    let early = held.clone();
    assert!(held.apply(8, order(false, 4)));
    let mut copy = Evacuations::default();
    assert!(copy.take(held.news_after(copy.index()).expect("it lacks all")));
    assert!(!copy.take(early), "an answer that came late");
    assert!(!copy.is_evacuated(HALL));
    assert_eq!(held.news_after(copy.index()), None);
}

/// Names come from outside; what is in force is kept whatever else is named.
#[test]
fn what_is_remembered_is_bounded() {
    let mut held = Evacuations::default();
    held.apply(1, order(true, 0));
    for number in 0..2_000_u64 {
        let hall = format!("hall-{number}").as_str().into();
        let index = 2 + number * 2;
        held.apply(index, Evacuation { hall, begins: true, as_of: index });
        let hall = format!("hall-{number}").as_str().into();
        held.apply(index + 1, Evacuation { hall, begins: false, as_of: index });
    }
    assert!(held.is_evacuated(HALL));
    assert!(held.returned().count() < 300);
}
