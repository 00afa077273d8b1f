//! What is refused, and that file, line and key are named.

use std::fs;

use rudder_settings::{Error, read};

const GOOD: &str = r#"name = "a"
admin_key = "operator-key"
peer_key = "between-them"
nearest = ["sea"]

[[peers]]
name = "a"
hall = "sea"
address = "127.0.0.1:8001"
peer = "127.0.0.1:9001"

[[peers]]
name = "b"
hall = "sea"
address = "127.0.0.1:8002"
peer = "127.0.0.1:9002"
disk = true
founder = true

[control]
fresh = "3s"
"#;

/// What reading says of the good settings with one piece replaced: line and key.
fn refused(from: &str, to: &str) -> (usize, String, String) {
    assert!(GOOD.contains(from), "{from} is not in the settings");
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    fs::write(file.path(), GOOD.replacen(from, to, 1)).expect("write");
    match read(file.path()) {
        Err(Error::Refused { line, key, text, .. }) => (line, key, text),
        other => panic!("{to}: {other:?}"),
    }
}

#[test]
fn good_settings_are_taken() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    fs::write(file.path(), GOOD).expect("write");
    let settings = read(file.path()).expect("good settings");
    assert_eq!(&*settings.me().hall, "sea");
}

macro_rules! refusals {
    ($($name:ident: $from:literal => $to:literal at $line:literal, $key:literal;)*) => {
        $(#[test]
        fn $name() {
            let (line, key, text) = refused($from, $to);
            assert_eq!((line, key.as_str()), ($line, $key), "{text}");
        })*
    };
}

refusals! {
    an_unknown_key: "fresh =" => "frech =" at 21, "frech";
    a_time_without_unit: "\"3s\"" => "3" at 21, "fresh";
    a_wrong_unit: "\"3s\"" => "\"3 lightyears\"" at 21, "fresh";
    a_doubled_address: "8002" => "8001" at 15, "peers.address";
    an_address_used_for_both: "9002" => "8001" at 16, "peers.peer";
    a_host_name: "\"127.0.0.1:8001\"" => "\"localhost:8001\"" at 9, "address";
    a_port_that_cannot_be: "8002" => "0" at 15, "peers.address";
    a_name_not_among_the_peers: "name = \"a\"\nadmin" => "name = \"c\"\nadmin" at 1, "name";
    a_doubled_name: "name = \"b\"" => "name = \"a\"" at 13, "peers.name";
    a_founder_without_disk: "disk = true" => "disk = false" at 13, "peers.founder";
    a_hall_without_instances: "[\"sea\"]" => "[\"sea\", \"pdx\"]" at 4, "nearest";
    a_short_key: "operator-key" => "short" at 2, "admin_key";
    a_freshness_below_an_election: "\"3s\"" => "\"1s\"" at 21, "control.fresh";
    an_even_number_of_voters: "fresh = \"3s\"" => "voters = 4" at 21, "control.voters";
    no_requests_at_all: "[control]" => "[traffic]\nopen = 0\n[control]" at 21, "traffic.open";
    data_without_a_disk: "name = \"a\"\nadmin" => "name = \"a\"\ndata = \"d\"\nadmin" at 2, "data";
    broken_toml: "[\"sea\"]" => "\"sea" at 4, "nearest";
}
