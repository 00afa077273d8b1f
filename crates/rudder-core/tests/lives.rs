//! Lives of one endpoint's name: the later one replaces the earlier at once and everywhere, and the earlier never comes back.

mod mesh;

use std::time::Duration;

use mesh::Mesh;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rudder_core::Phase;
use rudder_model::id;

const EARLY: u64 = 1_000_000;
const LATE: u64 = 1_000_900;
const SECOND: Duration = Duration::from_secs(1);

/// Nine instances that know the earlier life as ready.
fn start() -> Mesh {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    for sequence in 1..40 {
        mesh.life_beat(4, EARLY, Phase::Ready, sequence);
    }
    mesh.run(SECOND / 2);
    mesh
}

/// Where the two lives stand at each live instance; the same everywhere.
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
    late_words_of_the_earlier_change_nothing: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        for (sequence, phase) in (41..).zip([Phase::Ready, Phase::Leaving, Phase::Gone]) {
            mesh.life_beat(3, EARLY, phase, sequence);
        }
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
    };
    /// An instance that was cut off meanwhile has heard of the earlier life only.
    an_instance_behind_a_cut_learns_which_is_the_later: |mesh| {
        mesh.nodes[5].cut = true;
        mesh.life_beat(5, EARLY, Phase::Ready, 50);
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND);
        mesh.nodes[5].cut = false;
        mesh.run(SECOND);
        assert_eq!(phases(mesh), REPLACED);
    };
    a_new_leader_knows_which_is_the_later: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        let leader = mesh.leader().expect("one leads");
        mesh.kill(leader);
        mesh.run(SECOND * 2);
        mesh.life_beat((leader + 1) % 9, EARLY, Phase::Ready, 60);
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
    };
    /// The word came while nobody led.
    a_life_that_begins_during_a_change_of_leader_is_known: |mesh| {
        let leader = mesh.leader().expect("one leads");
        mesh.kill(leader);
        mesh.life_beat((leader + 1) % 9, LATE, Phase::Ready, 1);
        mesh.run(SECOND * 4);
        assert_eq!(phases(mesh), REPLACED);
    };
    a_life_begins_while_the_leave_of_the_earlier_is_acknowledged: |mesh| {
        mesh.life_beat(4, EARLY, Phase::Leaving, 50);
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
    };
    two_lives_in_a_row: |mesh| {
        mesh.life_beat(7, LATE - 400, Phase::Ready, 1);
        mesh.run(SECOND / 10);
        mesh.life_beat(2, LATE, Phase::Ready, 1);
        mesh.run(SECOND / 2);
        assert_eq!(phases(mesh), REPLACED);
        assert_eq!(mesh.phase_at(0, &id::life_id("e-1", Some(LATE - 400))), Some(Phase::Replaced));
    };
    /// The clock stepped back between the starts: the words of the life with the earlier time go on, the other's have ended.
    a_life_with_an_earlier_time_is_taken_once_the_other_is_silent: |mesh| {
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
    /// Words held up on their way come in a burst.
    a_burst_of_late_words_of_an_unknown_earlier_life_changes_nothing: |mesh| {
        mesh.life_beat(7, LATE, Phase::Ready, 1);
        mesh.run(SECOND * 6);
        for sequence in 1..8 {
            mesh.life_beat(2, EARLY - 60_000, Phase::Ready, sequence);
        }
        mesh.run(SECOND / 2);
        assert_eq!(mesh.phase_at(0, &id::life_id("e-1", Some(EARLY - 60_000))), None);
    };
}

/// A word: of which life, where it is heard, how long after the one before.
#[derive(Clone, Debug)]
struct Word {
    born: u64,
    number: usize,
    phase: Phase,
    pause: Duration,
}

impl Arbitrary for Word {
    fn arbitrary(g: &mut Gen) -> Word {
        let phases = [Phase::Ready, Phase::Ready, Phase::Ready, Phase::Leaving, Phase::Gone];
        Word {
            born: EARLY + u64::from(u8::arbitrary(g) % 5),
            number: usize::from(u8::arbitrary(g)) % 9,
            phase: *g.choose(&phases).expect("there are some"),
            pause: Duration::from_millis(u64::from(u8::arbitrary(g))),
        }
    }
}

/// Whatever comes in whatever order within the time in which a life counts as heard: the latest start that was ever heard stands
/// alone, and the same everywhere.
#[test]
fn the_latest_start_stands_alone_whatever_the_order() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck hands its values over")]
    fn holds(words: Vec<Word>) -> bool {
        let mut mesh = Mesh::start(9, 3);
        mesh.run(SECOND * 3);
        let mut sequence = 0;
        let mut span = Duration::ZERO;
        for word in words.iter().take(24) {
            sequence += 1;
            span += word.pause;
            mesh.life_beat(word.number, word.born, word.phase, sequence);
            mesh.run(word.pause);
        }
        assert!(span < SECOND * 7);
        mesh.run(SECOND);
        let Some(latest) = words.iter().take(24).map(|word| word.born).max() else { return true };
        (0..9).all(|number| {
            let standing = |born: u64| mesh.phase_at(number, &id::life_id("e-1", Some(born)));
            let earlier = (EARLY..latest).filter_map(standing).all(|phase| phase == Phase::Replaced);
            earlier && standing(latest).is_some_and(|phase| phase < Phase::Replaced)
        })
    }
    let tests = std::env::var("RUDDER_TESTS").ok().and_then(|tests| tests.parse().ok()).unwrap_or(60);
    let generator = Gen::from_size_and_seed(24, 1);
    QuickCheck::new().rng(generator).tests(tests).quickcheck(holds as fn(Vec<Word>) -> bool);
}
