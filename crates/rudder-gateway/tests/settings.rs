//! Policy files: what ships is the default, and what cannot be used is refused with its key.

use std::path::Path;

use rudder_gateway::{Policy, policy::Error};

#[test]
fn what_ships_is_the_default() {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/policy.toml");
    assert_eq!(Policy::read(&shipped).expect("it can be read"), Policy::default());
}

fn read(text: &str) -> Result<Policy, Error> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("policy.toml");
    std::fs::write(&path, text).expect("a file");
    Policy::read(&path)
}

#[test]
fn what_is_not_named_has_its_default() {
    let policy = read("[lanes]\nfill = 0.5\n").expect("it can be used");
    let mut expected = Policy::default();
    expected.lanes.fill = 0.5;
    assert_eq!(policy, expected);
    assert_eq!(read("").expect("it can be used"), Policy::default());
}

macro_rules! refused {
    ($($name:ident: $text:literal => $says:literal;)*) => {$(
        #[test]
        fn $name() {
            let error = read($text).expect_err("it cannot be used").to_string();
            assert!(error.contains($says), "{error}");
        }
    )*};
}

refused! {
    an_unknown_field: "[lanes]\nfull = 1\n" => "unknown field `full`";
    an_unknown_table: "[lane]\n" => "unknown field `lane`";
    a_share_above_one: "[lanes]\nlargest = 1.5\n" => "lanes.largest: 1.5 is not between 0 and 1";
    a_negative_factor: "[guard]\npatience = -1\n" => "guard.patience: -1 is not between 0 and 1000";
    an_endless_factor: "[guard]\nhopeless = inf\n" => "guard.hopeless";
    no_number: "[lanes]\nfill = nan\n" => "lanes.fill";
    relays_for_nobody: "[relays]\naskers = 0\n" => "relays.askers: 0 is not between 1 and 100000";
    halls_without_relays: "[relays]\nleast = 0\n" => "relays.least: 0 is not between 1 and 100000";
    no_time_between_questions: "[relays]\nperiods = 0\n" => "relays.periods: 0 is not between 1 and";
    questions_too_seldom_for_fresh_proof: "[relays]\nperiods = 8\n" => "relays.periods: 8 is not between 0 and 7";
    no_toml: "lanes" => "policy.toml";
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = Policy::read(Path::new("/nowhere/policy.toml")).expect_err("it is not there");
    assert!(error.to_string().starts_with("/nowhere/policy.toml: "), "{error}");
}
