//! Lives of an endpoint: a later one replaces the earlier at once at all instances, and the earlier never comes back.

mod mesh;

use std::time::Duration;

use mesh::Mesh;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rudder_core::Phase;
use rudder_model::id;

const EARLY: u64 = 1_000_000;
const LATE: u64 = 1_000_900;
const SECOND: Duration = Duration::from_secs(1);

/// Starts nine instances at which the earlier life is ready.
fn start() -> Mesh {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    for sequence in 1..40 {
        mesh.life_beat(4, EARLY, Phase::Ready, sequence);
    }
    mesh.run(SECOND / 2);
    mesh
}

/// The phases of both lives, which must be the same at all live instances.
fn phases(mesh: &Mesh) -> (Option<Phase>, Option<Phase>) {
    let at = |number: usize, born: u64| mesh.phase_at(number, &id::life_id("e-1", Some(born)));
    let live: Vec<usize> = (0..9).filter(|number| mesh.nodes[*number].state.is_some()).collect();
    let first = (at(live[0], EARLY), at(live[0], LATE));
    for number in live {
        assert_eq!((at(number, EARLY), at(number, LATE)), first, "instance {number}");
    }
    first
}

const REPLACED: (Option<Phase>, Option<Phase>) = (Some(Phase::Replaced), Some(Phase::Ready));

macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident: $test:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                let test: fn(&mut Mesh) = $test;
                test(&mut start());
            }
        )*
    };
}

cases! {
    a_later_life_replaces_the_earlier_at_once: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 5);
        assert_eq!(phases(mesh), REPLACED);
    };
    late_heartbeats_of_the_earlier_life_change_nothing: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        for (sequence, phase) in (41..).zip([Phase::Ready, Phase::Leaving, Phase::Gone]) {
            mesh.life_beat(3, EARLY, phase, sequence);
        }
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
    };
    /// Meanwhile the instance has received heartbeats of the earlier life only.
    an_instance_that_was_cut_off_learns_which_life_is_later: |mesh| {
        mesh.nodes[5].cut = true;
        mesh.life_beat(5, EARLY, Phase::Ready, 50);
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND);
        mesh.nodes[5].cut = false;
        mesh.run(SECOND);
        assert_eq!(phases(mesh), REPLACED);
    };
    a_new_leader_knows_which_life_is_later: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        let leader = mesh.leader().expect("one leads");
        mesh.kill(leader);
        mesh.run(SECOND * 2);
        mesh.life_beat((leader + 1) % 9, EARLY, Phase::Ready, 60);
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
    };
    /// The heartbeat arrives while there is no leader. The reply to a search for one, which carries no heartbeats, must not
    /// confirm it, or the leader learns of the life with the endpoint's next heartbeat only.
    a_life_that_begins_during_a_change_of_leader_is_known: |mesh| {
        let leader = mesh.leader().expect("one leads");
        mesh.kill(leader);
        mesh.life_beat((leader + 1) % 9, LATE, Phase::Ready, 1);
        mesh.run(SECOND * 4);
        assert_eq!(phases(mesh), REPLACED);
    };
    a_life_begins_while_the_earlier_one_drains: |mesh| {
        mesh.life_beat(4, EARLY, Phase::Leaving, 50);
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
    };
    two_later_lives_in_sequence: |mesh| {
        mesh.life_beat(7, LATE - 400, Phase::Ready, 1);
        mesh.run(SECOND / 10);
        mesh.life_beat(2, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
        assert_eq!(mesh.phase_at(0, &id::life_id("e-1", Some(LATE - 400))), Some(Phase::Replaced));
    };
    /// The clock stepped back between the starts, so the life that still sends heartbeats has the earlier start time.
    a_life_with_an_earlier_start_is_accepted_once_the_other_is_silent: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        let again = EARLY - 60_000;
        for sequence in 1..8 {
            mesh.life_beat(2, again, Phase::Ready, sequence);
            mesh.run(SECOND);
        }
        assert_eq!(mesh.phase_at(0, &id::life_id("e-1", Some(again))), Some(Phase::Ready));
        assert_eq!(phases(mesh), (Some(Phase::Replaced), Some(Phase::Replaced)));
    };
    /// Delayed heartbeats arrive in a burst.
    a_burst_of_late_heartbeats_of_an_unknown_earlier_life_changes_nothing: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND * 6);
        for sequence in 1..8 {
            mesh.life_beat(2, EARLY - 60_000, Phase::Ready, sequence);
        }
        mesh.run(SECOND / 2);
        assert_eq!(mesh.phase_at(0, &id::life_id("e-1", Some(EARLY - 60_000))), None);
    };
}

/// A heartbeat: its life, the instance that receives it, its phase, and the pause after it.
#[derive(Clone, Debug)]
struct Heartbeat {
    born: u64,
    number: usize,
    phase: Phase,
    pause: Duration,
}

impl Arbitrary for Heartbeat {
    fn arbitrary(g: &mut Gen) -> Heartbeat {
        let phases = [Phase::Ready, Phase::Ready, Phase::Ready, Phase::Leaving, Phase::Gone];
        Heartbeat {
            born: EARLY + u64::from(u8::arbitrary(g) % 5),
            number: usize::from(u8::arbitrary(g)) % 9,
            phase: *g.choose(&phases).expect("there are some"),
            pause: Duration::from_millis(u64::from(u8::arbitrary(g))),
        }
    }
}

/// Heartbeats in any order, none old enough for a life to become silent: the latest start replaces all others, at all
/// instances.
#[test]
fn only_the_latest_start_is_live_whatever_the_order() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck hands its values over")]
    fn holds(heartbeats: Vec<Heartbeat>) -> bool {
        let mut mesh = Mesh::start(9, 3);
        mesh.run(SECOND * 3);
        let mut sequence = 0;
        let mut span = Duration::ZERO;
        for heartbeat in heartbeats.iter().take(24) {
            sequence += 1;
            span += heartbeat.pause;
            mesh.life_beat(heartbeat.number, heartbeat.born, heartbeat.phase, sequence);
            mesh.run(heartbeat.pause);
        }
        assert!(span < SECOND * 7);
        mesh.run(SECOND);
        let Some(latest) = heartbeats.iter().take(24).map(|heartbeat| heartbeat.born).max() else { return true };
        (0..9).all(|number| {
            let phase_of = |born: u64| mesh.phase_at(number, &id::life_id("e-1", Some(born)));
            let earlier = (EARLY..latest).filter_map(phase_of).all(|phase| phase == Phase::Replaced);
            earlier && phase_of(latest).is_some_and(|phase| phase < Phase::Replaced)
        })
    }
    let tests = std::env::var("RUDDER_TESTS").ok().and_then(|tests| tests.parse().ok()).unwrap_or(60);
    let generator = Gen::from_size_and_seed(24, 1);
    QuickCheck::new().rng(generator).tests(tests).quickcheck(holds as fn(Vec<Heartbeat>) -> bool);
}
