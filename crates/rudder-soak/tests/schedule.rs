//! Schedules: the same from the same seed, the same after they are written and read, refused where they cannot run, shortened.

use std::{
    fs,
    path::{Path, PathBuf},
};

use rudder_soak::{Entry, Fault, Schedule, Size, shrink::shrink};

fn draw(seed: u64) -> Schedule {
    Schedule::draw(seed, Size { seconds: 120, ..Size::default() }, &[])
}

#[test]
fn a_seed_draws_the_same_and_another_seed_another() {
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7).entries, draw(8).entries);
}

#[test]
fn every_fault_is_drawn_and_disks_are_lost_far_apart() {
    let mut names = std::collections::BTreeSet::new();
    for seed in 0..40 {
        let schedule = draw(seed);
        names.extend(schedule.entries.iter().map(|entry| entry.fault.name()));
        let wipes = schedule.entries.iter().filter(|entry| matches!(entry.fault, Fault::Wipe { .. }));
        let wipes: Vec<u64> = wipes.map(|entry| entry.at).collect();
        assert!(wipes.windows(2).all(|pair| pair[1] >= pair[0] + 9_000), "{wipes:?}");
    }
    assert_eq!(names.len(), 26, "{names:?}");
}

#[test]
fn a_schedule_is_the_same_after_it_is_written_and_read() {
    let text = draw(3).to_toml().expect("plain data");
    assert_eq!(Schedule::from_toml(&text).expect("it was written so"), draw(3));
}

/// Guards against schedules that showed a fault and can no longer be played.
#[test]
fn committed_schedules_can_be_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../soak/seeds");
    let paths = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let files: Vec<PathBuf> = paths.filter(|path| path.extension().is_some_and(|end| end == "toml")).collect();
    assert!(files.len() >= 3, "{files:?}");
    for path in files {
        let text = fs::read_to_string(&path).expect("a file");
        Schedule::from_toml(&text).unwrap_or_else(|error| panic!("{}: {error:#}", path.display()));
    }
}

/// The faults of a seed as they were drawn before there were releases.
const WITHOUT_RELEASES: &str = include_str!("data/seed-1.toml");

#[test]
fn releases_leave_the_other_faults_of_a_seed_as_they_were() {
    let before = Schedule::from_toml(WITHOUT_RELEASES).expect("it can be read");
    let drawn = Schedule::draw(before.seed, before.size, &[]).entries;
    assert!(drawn.is_sorted_by_key(|entry| entry.at), "{drawn:?}");
    let is_release = |entry: &Entry| matches!(entry.fault, Fault::Release { .. } | Fault::KillAll { .. });
    let (releases, others): (Vec<Entry>, Vec<Entry>) = drawn.into_iter().partition(is_release);
    assert!(!releases.is_empty());
    assert_eq!(others, before.entries);
}

macro_rules! refused {
    ($($name:ident: $from:expr, $to:expr, $why:expr;)*) => {
        $(#[test] fn $name() {
            let schedule = Schedule { entries: vec![Entry { at: 3000, fault: Fault::Stop { instance: 1 } }], ..draw(1) };
            let text = schedule.to_toml().expect("plain data").replace($from, $to);
            let error = Schedule::from_toml(&text).expect_err("it cannot run");
            assert!(format!("{error:#}").contains($why), "{error:#}");
        })*
    };
}

refused! {
    an_instance_that_there_is_not: "instance = 1", "instance = 9", "the stop at 3000 ms";
    a_release_of_an_endpoint_that_there_is_not: "kind = \"stop\"\ninstance = 1",
        "kind = \"release\"\nendpoint = 6\ncount = 1\ngap = 100", "the release at 3000 ms";
    a_fault_that_is_not_known: "\"stop\"", "\"sleep\"", "read the schedule";
    more_instances_than_a_machine_bears: "instances = 5", "instances = 500", "--instances";
    too_few_endpoints: "endpoints = 6", "endpoints = 1", "--endpoints";
    no_time_for_faults: "seconds = 120", "seconds = 5", "--seconds";
}

#[test]
fn what_fails_for_two_faults_is_shortened_to_them() {
    let schedule = draw(5);
    let needed = [schedule.entries[3], schedule.entries[17]];
    let fails = |shorter: &Schedule| needed.iter().all(|entry| shorter.entries.contains(entry));
    assert_eq!(shrink(&schedule, fails).entries, needed);
}
