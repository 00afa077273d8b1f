//! Policy files: the shipped file equals the defaults, and invalid settings are rejected with their key.

use std::path::Path;

use rudder_gateway::{Policy, policy::Error};

#[test]
fn the_shipped_policy_equals_the_defaults() {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/policy.toml");
    assert_eq!(Policy::read(&shipped).expect("a valid policy"), Policy::default());
}

fn read(text: &str) -> Result<Policy, Error> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("policy.toml");
    std::fs::write(&path, text).expect("a file");
    Policy::read(&path)
}

#[test]
fn missing_settings_have_their_defaults() {
    let policy = read("[lanes]\nfill = 0.5\n").expect("a valid policy");
    let mut expected = Policy::default();
    expected.lanes.fill = 0.5;
    assert_eq!(policy, expected);
    assert_eq!(read("").expect("a valid policy"), Policy::default());
}

macro_rules! rejected {
    ($($name:ident: $text:literal => $message:literal;)*) => {$(
        #[test]
        fn $name() {
            let error = read($text).expect_err("an invalid policy").to_string();
            assert!(error.contains($message), "{error}");
        }
    )*};
}

rejected! {
    an_unknown_field: "[lanes]\nfull = 1\n" => "unknown field `full`";
    an_unknown_table: "[lane]\n" => "unknown field `lane`";
    a_share_above_one: "[lanes]\nlargest = 1.5\n" => "lanes.largest: 1.5 is not between 0 and 1";
    a_negative_factor: "[guard]\npatience = -1\n" => "guard.patience: -1 is not between 0 and 1000";
    headroom_that_leaves_nothing: "[guard]\nheadroom = 1\n" => "guard.headroom: 1 is not between 0 and 0.9";
    a_wait_beyond_the_patience: "[guard]\nwaiting = 1.1\n" => "guard.waiting";
    an_infinite_factor: "[guard]\nhopeless = inf\n" => "guard.hopeless";
    not_a_number: "[lanes]\nfill = nan\n" => "lanes.fill";
    relays_without_clients: "[relays]\naskers = 0\n" => "relays.askers: 0 is not between 1 and 100000";
    halls_without_relays: "[relays]\nleast = 0\n" => "relays.least: 0 is not between 1 and 100000";
    no_time_between_polls: "[relays]\nperiods = 0\n" => "relays.periods: 0 is not between 1 and";
    polls_too_rare_for_a_valid_proof: "[relays]\nperiods = 8\n" => "relays.periods: 8 is not between 0 and 7";
    invalid_toml: "lanes" => "policy.toml";
}

#[test]
fn a_missing_file_is_named_in_the_error() {
    let error = Policy::read(Path::new("/nowhere/policy.toml")).expect_err("a missing file");
    assert!(error.to_string().starts_with("/nowhere/policy.toml: "), "{error}");
}
