//! Quarantine: content under which endpoints have ended is soon refused by all instances, also after restarts.

mod mesh;

use std::time::Duration;

use mesh::Mesh;
use rudder_core::Event;
use rudder_ledger::{EndedUnder, Findings};
use rudder_model::{ContentTag, EndpointTag};

const CONTENT: ContentTag = 7;
const SECOND: Duration = Duration::from_secs(1);

fn report_finding(mesh: &mut Mesh, number: usize, endpoint: EndpointTag) {
    let ended = vec![EndedUnder { content: CONTENT, endpoint }];
    mesh.send_event(number, Event::Findings(Findings { ended, ..Findings::default() }));
}

/// Instances that don't refuse the content.
fn lagging(mesh: &Mesh) -> Vec<usize> {
    let refuses = |number: usize| {
        let state = mesh.nodes[number].state.as_ref();
        state.is_some_and(|state| state.view.quarantine.refused_since(CONTENT).is_some())
    };
    (0..mesh.nodes.len()).filter(|number| !refuses(*number)).collect()
}

/// Three instances report one ended endpoint each.
fn find_three(mesh: &mut Mesh, finders: [usize; 3]) {
    for (finder, endpoint) in finders.into_iter().zip(1..) {
        report_finding(mesh, finder, endpoint);
    }
}

macro_rules! sizes {
    ($($name:ident: $total:expr, $disks:expr;)*) => {
        $(#[test] fn $name() {
            let mut mesh = Mesh::start($total, $disks);
            mesh.run(SECOND * 6);
            find_three(&mut mesh, [0, $total / 2, $total - 1]);
            mesh.run(SECOND);
            assert_eq!(lagging(&mesh), Vec::<usize>::new());
        })*
    };
}

sizes! {
    nine_instances_refuse_quarantined_content_within_a_second: 9, 3;
    three_hundred_instances_refuse_quarantined_content_within_a_second: 300, 5;
}

#[test]
fn a_quarantine_survives_a_new_leader_and_a_restart_without_a_disk() {
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
    assert_eq!(lagging(&mesh), vec![leader]);
}

#[test]
fn a_quarantine_survives_a_restart_of_all_processes() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    find_three(&mut mesh, [3, 4, 5]);
    mesh.run(SECOND);
    mesh.restart_all();
    mesh.run(SECOND * 4);
    assert_eq!(lagging(&mesh), Vec::<usize>::new());
}

/// Findings reported without a leader aren't lost.
#[test]
fn findings_during_a_change_of_leader_reach_the_next_one() {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(SECOND * 4);
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    find_three(&mut mesh, [6, 7, 8]);
    mesh.run(SECOND * 4);
    assert_eq!(lagging(&mesh), vec![leader]);
}
