//! Finding each other: seeds that are down, that know nothing, or that were exchanged.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, name};

const YOUNG: Duration = Duration::from_secs(1);

/// Instances that cannot prove their configuration young.
fn stale(mesh: &Mesh) -> Vec<usize> {
    (0..mesh.nodes.len()).filter(|number| !mesh.is_fresh(*number, YOUNG)).collect()
}

#[test]
fn a_first_start_founds_one_log_and_all_learn_of_it() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some());
    assert_eq!(stale(&mesh), Vec::<usize>::new());
}

/// Seeds exchanged for instances without a disk, then power lost everywhere: nobody whom the others
/// ask knows the voters, so the leader has to tell the seeds of itself.
#[test]
fn all_find_the_leader_through_seeds_without_disks() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    for number in 0..9 {
        mesh.kill(number);
        mesh.nodes[number].seeds = vec![name(4), name(5), name(6)];
    }
    for number in 0..9 {
        mesh.boot(number);
    }
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some());
    assert_eq!(stale(&mesh), Vec::<usize>::new(), "these do not find the leader");
}

#[test]
fn two_of_three_seeds_down_do_not_keep_an_instance_from_finding_the_leader() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    mesh.kill(8);
    mesh.nodes[8].seeds = vec![name(20), name(21), name(5)];
    mesh.boot(8);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.is_fresh(8, YOUNG));
}
