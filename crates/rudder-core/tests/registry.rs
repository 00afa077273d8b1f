//! The registry of endpoints: how heartbeats reach all instances, and what late ones may change.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, watch_request};
use rudder_core::{Phase, Registration, WatchRequest};

/// Starts nine instances with one ready endpoint.
fn start() -> Mesh {
    let mut mesh = Mesh::start(9, 3);
    mesh.run(Duration::from_secs(4));
    mesh.heartbeat(4, 1, "e-1", Phase::Ready, 1);
    mesh.run(Duration::from_millis(600));
    mesh
}

fn phases(mesh: &Mesh) -> Vec<Option<Phase>> {
    (0..9).map(|number| mesh.phase_at(number, "e-1")).collect()
}

#[test]
fn one_heartbeat_makes_an_endpoint_known_everywhere() {
    let mesh = start();
    assert_eq!(mesh.registered.get(&1), Some(&true));
    assert_eq!(phases(&mesh), vec![Some(Phase::Ready); 9]);
}

#[test]
fn a_leave_is_known_everywhere_right_after_its_acknowledgement() {
    let mut mesh = start();
    mesh.heartbeat(7, 2, "e-1", Phase::Leaving, 2);
    assert_eq!(mesh.registered.get(&2), None, "acknowledged before the leader has it");
    mesh.run(Duration::from_millis(30));
    assert_eq!(mesh.registered.get(&2), Some(&true));
    assert_eq!(phases(&mesh), vec![Some(Phase::Leaving); 9]);
}

#[test]
fn a_leave_that_does_not_reach_the_leader_is_not_acknowledged() {
    let mut mesh = start();
    mesh.nodes[7].cut = true;
    mesh.heartbeat(7, 2, "e-1", Phase::Leaving, 2);
    mesh.run(Duration::from_secs(2));
    assert_eq!(mesh.registered.get(&2), Some(&false));
}

#[test]
fn a_heartbeat_at_an_instance_that_is_cut_off_is_not_acknowledged() {
    let mut mesh = start();
    mesh.nodes[7].cut = true;
    mesh.run(Duration::from_secs(6));
    mesh.heartbeat(7, 2, "e-1", Phase::Ready, 2);
    assert_eq!(mesh.registered.get(&2), Some(&false));
}

#[test]
fn a_late_heartbeat_neither_undoes_a_leave_nor_revives_an_ended_endpoint() {
    let mut mesh = start();
    mesh.heartbeat(7, 2, "e-1", Phase::Leaving, 5);
    mesh.run(Duration::from_millis(100));
    mesh.heartbeat(5, 3, "e-1", Phase::Ready, 3);
    mesh.run(Duration::from_millis(600));
    assert_eq!(phases(&mesh), vec![Some(Phase::Leaving); 9]);
    mesh.heartbeat(6, 4, "e-1", Phase::Gone, 0);
    mesh.run(Duration::from_millis(100));
    mesh.heartbeat(5, 5, "e-1", Phase::Ready, 9);
    mesh.run(Duration::from_millis(600));
    assert_eq!(phases(&mesh), vec![Some(Phase::Gone); 9]);
}

#[test]
fn an_endpoint_without_heartbeats_is_silent_until_the_next_one() {
    let mut mesh = start();
    mesh.run(Duration::from_secs(7));
    assert_eq!(phases(&mesh), vec![Some(Phase::Silent); 9]);
    mesh.heartbeat(3, 6, "e-1", Phase::Ready, 2);
    mesh.run(Duration::from_millis(600));
    assert_eq!(phases(&mesh), vec![Some(Phase::Ready); 9]);
}

#[test]
fn a_new_leader_keeps_the_registry() {
    let mut mesh = start();
    mesh.heartbeat(7, 2, "e-1", Phase::Leaving, 2);
    mesh.run(Duration::from_millis(100));
    let leader = mesh.leader().expect("one leads");
    mesh.kill(leader);
    mesh.run(Duration::from_secs(4));
    assert!(mesh.leader().is_some_and(|next| next != leader));
    for number in (0..9).filter(|number| *number != leader) {
        assert_eq!(mesh.phase_at(number, "e-1"), Some(Phase::Leaving), "instance {number}");
    }
}

/// An endpoint under another name at the same address shows that the previous one has ended.
#[test]
fn a_new_endpoint_at_an_address_ends_its_predecessor() {
    let mut mesh = start();
    mesh.heartbeat_from(2, 2, ("e-2", "e-1"), Phase::Ready, 1);
    mesh.run(Duration::from_millis(600));
    assert_eq!(phases(&mesh), vec![Some(Phase::Gone); 9]);
    assert!((0..9).all(|number| mesh.phase_at(number, "e-2") == Some(Phase::Ready)));
}

/// A delayed heartbeat arrives after its sender has crashed and restarted under another name.
#[test]
fn a_late_heartbeat_of_an_ended_predecessor_changes_nothing() {
    let mut mesh = start();
    mesh.heartbeat_from(2, 2, ("e-2", "e-1"), Phase::Ready, 1);
    mesh.run(Duration::from_millis(600));
    mesh.heartbeat(5, 3, "e-1", Phase::Ready, 40);
    mesh.heartbeat_from(6, 4, ("e-0", "e-1"), Phase::Ready, 17);
    mesh.run(Duration::from_millis(600));
    assert_eq!(phases(&mesh), vec![Some(Phase::Gone); 9], "a known one was revived");
    assert!((0..9).all(|number| mesh.phase_at(number, "e-0").is_none()), "an unknown one was added");
    assert!((0..9).all(|number| mesh.phase_at(number, "e-2") == Some(Phase::Ready)));
}

/// An endpoint whose first heartbeats were lost is accepted once its predecessor at the address has become silent.
#[test]
fn a_successor_at_an_address_is_accepted_once_its_predecessor_is_silent() {
    let mut mesh = start();
    mesh.heartbeat_from(2, 2, ("e-2", "e-1"), Phase::Ready, 5);
    mesh.run(Duration::from_millis(5_400));
    mesh.heartbeat_from(2, 3, ("e-2", "e-1"), Phase::Ready, 9);
    mesh.run(Duration::from_millis(600));
    assert!((0..9).all(|number| mesh.phase_at(number, "e-2") == Some(Phase::Ready)));
}

/// A new leader must take its registry from its view at its election. If it did so only at its next tick, leaves that it
/// acknowledged in between would be lost.
#[test]
fn a_leave_that_reaches_a_new_leader_before_its_first_tick_is_kept() {
    let mut mesh = start();
    for number in 0..3 {
        mesh.kill(number);
        mesh.boot(number);
    }
    while mesh.leader().is_none() {
        mesh.run(Duration::from_millis(1));
    }
    let leader = mesh.leader().expect("one leads now");
    let gone = Registration::end_of("e-1", None, "hall-0".into());
    let answer = mesh.watch(leader, WatchRequest { heartbeats: vec![gone], ..watch_request("caller", 1, 9) });
    assert!(answer.registry.is_some_and(|news| news.entries.iter().any(|told| told.value.phase == Phase::Gone)));
    // An earlier heartbeat arrives afterwards.
    mesh.run(Duration::from_millis(100));
    mesh.heartbeat(5, 3, "e-1", Phase::Ready, 14);
    mesh.run(Duration::from_secs(2));
    assert_eq!(phases(&mesh), vec![Some(Phase::Gone); 9]);
}

/// Updates in flight aren't sent again, since duplicates would delay a start. An answer without them may lack the leave of an
/// endpoint, so it gives no proof of freshness.
#[test]
fn updates_in_flight_are_not_repeated_and_give_no_proof() {
    let mut mesh = start();
    let leader = mesh.leader().expect("one leads");
    let ask = |mesh: &mut Mesh, round: u64| {
        let watched = mesh.watch(leader, watch_request("10.0.9.9:7000", round, 5));
        (watched.directory.is_some(), watched.registry.is_some(), watched.pending)
    };
    assert_eq!(ask(&mut mesh, 1), (true, true, false));
    assert_eq!(ask(&mut mesh, 2), (false, false, true));
    mesh.run(Duration::from_millis(450));
    assert_eq!(ask(&mut mesh, 3), (true, true, false), "it may have been lost");
}
