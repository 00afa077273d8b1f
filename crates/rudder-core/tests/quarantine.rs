//! Contents under which endpoints ended are known to all instances soon, and for good.

mod mesh;

use std::time::Duration;

use mesh::Mesh;
use rudder_core::Event;
use rudder_ledger::{EndedUnder, Findings};
use rudder_model::{ContentTag, EndpointTag};

const CONTENT: ContentTag = 7;
const SECOND: Duration = Duration::from_secs(1);

fn find(mesh: &mut Mesh, number: usize, endpoint: EndpointTag) {
    let ended = vec![EndedUnder { content: CONTENT, endpoint }];
    mesh.send_event(number, Event::Findings(Findings { ended, ..Findings::default() }));
}

/// Instances at which the content is not refused.
fn behind(mesh: &Mesh) -> Vec<usize> {
    let refuses = |number: usize| {
        let state = mesh.nodes[number].state.as_ref();
        state.is_some_and(|state| state.view.quarantine.refused_since(CONTENT).is_some())
    };
    (0..mesh.nodes.len()).filter(|number| !refuses(*number)).collect()
}

/// Three instances find one end each.
fn find_three(mesh: &mut Mesh, finders: [usize; 3]) {
    for (finder, endpoint) in finders.into_iter().zip(1..) {
        find(mesh, finder, endpoint);
    }
}

macro_rules! sizes {
    ($($name:ident: $total:expr, $disks:expr;)*) => {
        $(#[test] fn $name() {
            let mut mesh = Mesh::start($total, $disks);
            mesh.run(SECOND * 6);
            find_three(&mut mesh, [0, $total / 2, $total - 1]);
            mesh.run(SECOND);
            assert_eq!(behind(&mesh), Vec::<usize>::new());
        })*
    };
}

sizes! {
    all_of_nine_instances_refuse_it_within_a_second: 9, 3;
    all_of_three_hundred_instances_refuse_it_within_a_second: 300, 5;
}

#[test]
fn a_new_leader_and_instances_without_a_disk_know_it_after_their_restart() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    find_three(&mut mesh, [3, 4, 5]);
    mesh.run(SECOND);
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    mesh.kill(8);
    mesh.run(SECOND * 2);
    mesh.boot(8);
    mesh.run(SECOND * 2);
    assert_eq!(behind(&mesh), vec![leader]);
}

#[test]
fn it_outlives_the_end_of_all_processes() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    find_three(&mut mesh, [3, 4, 5]);
    mesh.run(SECOND);
    mesh.restart_all();
    mesh.run(SECOND * 4);
    assert_eq!(behind(&mesh), Vec::<usize>::new());
}

/// What was found while nobody leads is not lost.
#[test]
fn what_is_found_during_a_change_of_leader_is_told_to_the_next() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    find_three(&mut mesh, [6, 7, 8]);
    mesh.run(SECOND * 4);
    assert_eq!(behind(&mesh), vec![leader]);
}
