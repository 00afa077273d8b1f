//! Evacuations reach all instances quickly, survive restarts and losses, and aren't undone by late messages.

mod mesh;

use std::time::Duration;

use mesh::Mesh;
use rudder_core::Event;

const HALL: &str = "hall-1";
const SECOND: Duration = Duration::from_secs(1);

fn order(mesh: &mut Mesh, number: usize, ticket: u64, begins: bool) {
    mesh.send_event(number, Event::Evacuate { ticket, hall: HALL.into(), begins });
}

/// Running instances at which the state of the hall isn't `evacuated`.
fn differing(mesh: &Mesh, evacuated: bool) -> Vec<usize> {
    let differs = |number: &usize| {
        let state = mesh.nodes[*number].state.as_ref();
        state.is_some_and(|state| state.view.evacuations.is_evacuated(HALL) != evacuated)
    };
    (0..mesh.nodes.len()).filter(differs).collect()
}

fn start(total: usize, disks: usize) -> Mesh {
    let mut mesh = Mesh::start(total, disks);
    mesh.run(SECOND * 6);
    mesh
}

macro_rules! sizes {
    ($($name:ident: $total:expr, $disks:expr;)*) => {
        $(#[test] fn $name() {
            let mut mesh = start($total, $disks);
            order(&mut mesh, $total - 1, 1, true);
            mesh.run(SECOND / 2);
            assert_eq!(mesh.evacuated.get(&1), Some(&true), "acknowledged");
            assert_eq!(differing(&mesh, true), Vec::<usize>::new());
            order(&mut mesh, $total / 2, 2, false);
            mesh.run(SECOND / 2);
            assert_eq!(mesh.evacuated.get(&2), Some(&true), "acknowledged");
            assert_eq!(differing(&mesh, false), Vec::<usize>::new());
        })*
    };
}

sizes! {
    an_evacuation_reaches_nine_instances_within_half_a_second: 9, 3;
    an_evacuation_reaches_three_hundred_instances_within_half_a_second: 300, 5;
}

#[test]
fn an_evacuation_survives_a_restart_of_all_processes() {
    let mut mesh = start(9, 3);
    order(&mut mesh, 5, 1, true);
    mesh.run(SECOND);
    mesh.restart_all();
    mesh.run(SECOND * 4);
    assert_eq!(differing(&mesh, true), Vec::<usize>::new());
}

/// The loss of the leader and its disk right after the acknowledgement loses nothing.
#[test]
fn an_evacuation_survives_the_loss_of_the_leader_and_its_disk() {
    let mut mesh = start(9, 3);
    order(&mut mesh, 5, 1, true);
    while mesh.evacuated.is_empty() {
        mesh.run(Duration::from_millis(5));
    }
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    mesh.wipe(leader);
    mesh.boot(leader);
    mesh.run(SECOND * 4);
    assert_eq!(differing(&mesh, true), Vec::<usize>::new());
}

#[test]
fn an_order_during_a_change_of_leader_is_acknowledged_by_the_next_one() {
    let mut mesh = start(9, 3);
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    order(&mut mesh, 8, 1, true);
    mesh.run(SECOND * 2);
    assert_eq!(mesh.evacuated.get(&1), Some(&true));
    assert_eq!(differing(&mesh, true), Vec::<usize>::new());
}

/// An order that was sent twice during a change of leader is in the log twice; one order to end it cancels both.
#[test]
fn one_end_cancels_two_copies_of_an_order() {
    let mut mesh = start(9, 3);
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    order(&mut mesh, 8, 1, true);
    order(&mut mesh, 7, 2, true);
    mesh.run(SECOND * 2);
    assert_eq!((mesh.evacuated.get(&1), mesh.evacuated.get(&2)), (Some(&true), Some(&true)));
    order(&mut mesh, 6, 3, false);
    mesh.run(SECOND * 4);
    assert_eq!(differing(&mesh, false), Vec::<usize>::new());
}

#[test]
fn without_a_majority_nothing_is_acknowledged() {
    let mut mesh = start(9, 3);
    let leader = mesh.leader().expect("one leads");
    let other = (0..3).find(|number| *number != leader).expect("three have disks");
    mesh.kill(leader);
    mesh.kill(other);
    order(&mut mesh, 8, 1, true);
    mesh.run(SECOND * 4);
    assert_eq!(mesh.evacuated.get(&1), Some(&false), "unknown, to be sent again");
    assert_eq!(differing(&mesh, false), Vec::<usize>::new());
}
