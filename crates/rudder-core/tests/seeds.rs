//! Finding the leader with seeds that are down, have no disk or were replaced.

mod mesh;

use std::time::Duration;

use mesh::{Layout, Mesh, name};

const MAX_AGE: Duration = Duration::from_secs(1);

/// Returns the instances without a recent proof of their configuration.
fn stale(mesh: &Mesh) -> Vec<usize> {
    (0..mesh.nodes.len()).filter(|number| !mesh.is_fresh(*number, MAX_AGE)).collect()
}

/// Kills all instances and starts them again with these seeds.
fn restart_all(mesh: &mut Mesh, seeds: [usize; 3]) {
    let total = mesh.nodes.len();
    for number in 0..total {
        mesh.kill(number);
        mesh.nodes[number].seeds = seeds.map(name).to_vec();
    }
    for number in 0..total {
        mesh.boot(number);
    }
}

#[test]
fn a_first_start_founds_one_log_and_all_learn_of_it() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some());
    assert_eq!(stale(&mesh), Vec::<usize>::new());
}

/// Guards against a restart in which no seed knows the voters: the leader has to announce itself to the seeds.
#[test]
fn all_find_the_leader_through_seeds_without_disks() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    restart_all(&mut mesh, [4, 5, 6]);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some());
    assert_eq!(stale(&mesh), Vec::<usize>::new(), "instances that have not found the leader");
}

#[test]
fn two_of_three_seeds_down_do_not_keep_an_instance_from_finding_the_leader() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    mesh.kill(8);
    mesh.nodes[8].seeds = vec![name(20), name(21), name(5)];
    mesh.boot(8);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.is_fresh(8, MAX_AGE));
}

/// Guards against seeds that have a disk but are no voters: such a replica hears of no leader, while its instance follows
/// one, so it has to redirect to that one. Otherwise instances that start know only seeds that send them nowhere.
#[test]
fn seeds_with_spare_disks_redirect_to_the_leader_that_they_follow() {
    let mut mesh = Mesh::start_as(Layout { total: 12, disks: 6, ..Layout::default() });
    mesh.run(Duration::from_secs(4));
    restart_all(&mut mesh, [3, 4, 5]);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some());
    assert_eq!(stale(&mesh), Vec::<usize>::new(), "instances that have not found the leader");
}

/// Guards against a first start that never ends: the only seed that founds the log was killed before it had done so, and
/// its next start, without the order to found, left this to nobody.
#[test]
fn a_seed_killed_before_it_founded_the_log_does_so_after_its_restart() {
    let mut mesh = Mesh::start(9, 3);
    mesh.kill(0);
    mesh.run(Duration::from_secs(1));
    assert_eq!(mesh.leader(), None, "nobody else founds the log");
    mesh.boot(0);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some(), "no log was founded");
    assert_eq!(stale(&mesh), Vec::<usize>::new(), "instances that have not found the leader");
}

/// Guards against a second log: an unfinished order to found a log does not outlive a change of the seeds.
#[test]
fn a_seed_killed_before_it_founded_the_log_founds_none_among_other_seeds() {
    let mut mesh = Mesh::start(9, 6);
    mesh.kill(0);
    mesh.run(Duration::from_secs(1));
    restart_all(&mut mesh, [0, 4, 5]);
    mesh.run(Duration::from_secs(4));
    assert_eq!(mesh.leader(), None);
}

/// Guards against a first start with an emptied disk that founds a log without the order to do so.
#[test]
fn a_seed_emptied_before_it_founded_the_log_founds_none() {
    let mut mesh = Mesh::start(9, 3);
    mesh.kill(0);
    mesh.run(Duration::from_secs(1));
    mesh.wipe(0);
    mesh.boot(0);
    mesh.run(Duration::from_secs(4));
    assert_eq!(mesh.leader(), None);
}

/// Starts the seed that founded the log with an emptied disk after a loss of all processes, first beside one seed that
/// has the log, then beside both.
fn check_no_second_log(founding: bool) {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    mesh.put(0, 1, 7, "{}");
    mesh.run(Duration::from_secs(1));
    assert!((0..9).all(|number| mesh.version_at(number) == 7));
    for number in 0..9 {
        mesh.kill(number);
    }
    mesh.wipe(0);
    mesh.founding = founding;
    mesh.boot(0);
    mesh.boot(1);
    mesh.run(Duration::from_secs(4));
    assert_eq!(mesh.leader(), None, "one of three disks is no majority");
    mesh.boot(2);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some());
    assert_eq!([0, 1, 2].map(|number| mesh.version_at(number)), [7; 3]);
}

macro_rules! emptied_seeds {
    ($($(#[$doc:meta])* $name:ident: $founding:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check_no_second_log($founding); })*
    };
}

emptied_seeds! {
    /// Guards against a second log where the seed that founded the first one has lost its disk.
    an_emptied_seed_of_a_founded_log_founds_no_second_one: false;
    /// Guards against the same where its settings still say that it is to found.
    an_emptied_seed_that_is_told_to_found_founds_no_second_log: true;
}
