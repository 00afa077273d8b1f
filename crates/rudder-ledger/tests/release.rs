//! Versions of endpoints' software: which of them count, and at which streams may begin.

use rudder_ledger::{
    Releases, Software, Stage,
    Stage::{Admitted, Announced, Retired},
    StageChange,
};

fn software(version: &str) -> Software {
    Software { service: "svc".into(), version: version.into() }
}

fn step(version: &str, stage: impl Into<Option<Stage>>) -> StageChange {
    StageChange { software: software(version), stage: stage.into() }
}

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $test:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let test: fn(&mut Releases) = $test;
                test(&mut Releases::default());
            }
        )*
    };
}

cases! {
    /// Guards against streams that begin at a version of which some instances may not know.
    only_admitted_versions_may_begin_streams: |held| {
        held.apply(1, vec![step("v1", Announced), step("v2", Admitted), step("v3", Retired)]);
        let admitted: Vec<bool> = ["v1", "v2", "v3", "v4"].iter().map(|version| held.is_admitted("svc", version)).collect();
        assert_eq!(admitted, [false, true, false, false]);
        assert!(!held.is_admitted("other", "v2"));
    };
    /// Guards against a version that stops counting before it is dropped.
    versions_count_in_every_stage: |held| {
        held.apply(1, vec![step("v1", Announced), step("v2", Admitted), step("v3", Retired)]);
        assert_eq!(held.of("svc").count(), 3);
        assert_eq!(held.of("other").count(), 0);
        assert!(held.apply(2, vec![step("v3", None)]));
        assert_eq!(held.of("svc").count(), 2);
    };
    /// Guards against steps without effect that make every instance fetch the state again.
    a_step_without_effect_is_no_change: |held| {
        assert!(held.apply(3, vec![step("v1", Admitted)]));
        assert!(!held.apply(4, vec![step("v1", Admitted), step("v2", None)]));
        assert_eq!(held.index(), 3);
    };
    /// Guards against a late reply that undoes a newer state.
    an_older_state_is_not_taken: |held| {
        held.apply(5, vec![step("v1", Admitted)]);
        let before = held.clone();
        held.apply(6, vec![step("v2", Announced)]);
        assert!(!held.take(before));
        assert_eq!(held.of("svc").count(), 2);
        assert_eq!(held.news_after(5).map(|news| news.index()), Some(6));
        assert_eq!(held.news_after(6), None);
    };
    /// Guards against memory that a sender of invented versions or services could take, at the expense of others.
    the_numbers_of_versions_and_services_are_bounded: |held| {
        for number in 0..2_000 {
            held.apply(number + 1, vec![step(&format!("v{number}"), Admitted)]);
        }
        assert_eq!(held.iter().count(), 64);
        assert!(held.apply(9_000, vec![step("v1", Retired)]), "those held still take steps");
        for number in 0..2_000 {
            let software = Software { service: format!("s{number}").as_str().into(), version: "v1".into() };
            held.apply(10_000 + number, vec![StageChange { software, stage: Some(Admitted) }]);
        }
        assert_eq!(held.iter().count(), 64 + 255);
    };
}
