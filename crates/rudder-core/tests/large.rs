//! Hundreds of instances: what they cost the leader and each other, and that relays change nothing of what is promised.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, question};
use rudder_core::{Event, Me, Options, PeerMessage, Phase, State, WatchReply, peer::Load, tree::Tree};
use rudder_model::id;

const TOTAL: usize = 300;
const HALLS: usize = 5;
const DISKS: usize = 5;

fn start() -> Mesh {
    let mut mesh = Mesh::start_in(HALLS, TOTAL, DISKS);
    mesh.run(Duration::from_secs(6));
    mesh
}

/// Instances that do not lead and ask the leader themselves, and those that ask a relay.
fn divide(mesh: &Mesh) -> (Vec<usize>, Vec<usize>) {
    let leader = mesh.leader().expect("one leads");
    let others = (0..mesh.nodes.len()).filter(|number| *number != leader);
    others.partition(|number| mesh.relays_at(*number).is_empty())
}

fn stale(mesh: &Mesh, bound: Duration) -> Vec<usize> {
    (0..mesh.nodes.len()).filter(|number| !mesh.is_fresh(*number, bound)).collect()
}

#[test]
fn all_learn_of_the_leader_and_few_ask_it() {
    let mut mesh = start();
    assert_eq!(stale(&mesh, Duration::from_millis(1500)), Vec::<usize>::new());
    let (relays, _) = divide(&mesh);
    let tree = Tree::default();
    assert!((HALLS * tree.least..=TOTAL / tree.askers + HALLS).contains(&relays.len()), "{relays:?}");
    let leader = mesh.leader().expect("one leads");
    mesh.sent.clear();
    mesh.run(Duration::from_secs(2));
    let answers = mesh.sent_by(leader, "watched");
    // Four questions a second of each relay and of itself.
    assert!(answers.messages <= 2 * 4 * (relays.len() as u64 + 2), "{answers:?}");
}

#[test]
fn a_document_is_in_force_everywhere_soon_after_its_acknowledgement() {
    let mut mesh = start();
    mesh.put(TOTAL - 1, 1, 10, "first");
    mesh.run(Duration::from_millis(60));
    assert_eq!(mesh.documented.get(&1), Some(&Some(10)));
    mesh.run(Duration::from_millis(100));
    let behind: Vec<usize> = (0..TOTAL).filter(|number| mesh.version_at(*number) != 10).collect();
    assert_eq!(behind, Vec::<usize>::new());
}

#[test]
fn a_leave_is_known_everywhere_soon_after_its_acknowledgement() {
    let mut mesh = start();
    mesh.heartbeat(41, 1, "e-1", Phase::Ready, 1);
    mesh.run(Duration::from_secs(2));
    assert!((0..TOTAL).all(|number| mesh.phase_at(number, "e-1") == Some(Phase::Ready)));
    let (_, askers) = divide(&mesh);
    mesh.heartbeat(askers[7], 2, "e-1", Phase::Leaving, 2);
    mesh.run(Duration::from_millis(20));
    assert_eq!(mesh.registered.get(&2), Some(&true));
    mesh.run(Duration::from_millis(120));
    let late: Vec<usize> = (0..TOTAL).filter(|number| mesh.phase_at(*number, "e-1") != Some(Phase::Leaving)).collect();
    assert_eq!(late, Vec::<usize>::new());
}

#[test]
fn a_leave_that_only_a_relay_has_heard_is_not_acknowledged() {
    let mut mesh = start();
    let leader = mesh.leader().expect("one leads");
    mesh.nodes[leader].cut = true;
    let (_, askers) = divide(&mesh);
    mesh.heartbeat(askers[3], 2, "e-1", Phase::Leaving, 2);
    mesh.run(Duration::from_millis(250));
    assert_eq!(mesh.registered.get(&2), None);
}

#[test]
fn askers_of_a_lost_relay_find_another_one() {
    let mut mesh = start();
    let (relays, _) = divide(&mesh);
    let lost: Vec<usize> = relays.into_iter().filter(|number| *number >= DISKS).collect();
    for number in &lost {
        mesh.kill(*number);
    }
    mesh.run(Duration::from_secs(5));
    let left: Vec<usize> =
        stale(&mesh, Duration::from_secs(2)).into_iter().filter(|number| !lost.contains(number)).collect();
    assert_eq!(left, Vec::<usize>::new());
}

#[test]
fn the_loss_of_a_leader_does_not_send_all_to_the_next_one() {
    let mut mesh = start();
    let lost = mesh.leader().expect("one leads");
    let (relays, _) = divide(&mesh);
    mesh.kill(lost);
    mesh.sent.clear();
    mesh.run(Duration::from_secs(3));
    let next = mesh.leader().expect("another leads");
    let answers = mesh.sent_by(next, "watched");
    assert!(answers.messages <= 3 * 4 * 2 * relays.len() as u64, "{answers:?}");
    // No change but the loss of one: nobody is told all entries anew.
    assert!(answers.bytes / answers.messages < 400, "{answers:?}");
    mesh.run(Duration::from_secs(1));
    let left: Vec<usize> = stale(&mesh, Duration::from_secs(2)).into_iter().filter(|number| *number != lost).collect();
    assert_eq!(left, Vec::<usize>::new());
}

#[test]
fn power_lost_everywhere_is_recovered_from_at_once() {
    let mut mesh = start();
    mesh.put(7, 1, 10, "content");
    mesh.run(Duration::from_secs(1));
    for number in 0..TOTAL {
        mesh.kill(number);
    }
    for number in 0..TOTAL {
        mesh.boot(number);
    }
    mesh.run(Duration::from_secs(4));
    assert_eq!(stale(&mesh, Duration::from_millis(1500)), Vec::<usize>::new());
    assert!((0..TOTAL).all(|number| mesh.version_at(number) == 10));
    let known = mesh.nodes.iter().filter_map(|node| node.state.as_ref()).map(|state| state.view.directory.len());
    assert!(known.into_iter().all(|known| known == TOTAL));
}

#[test]
fn each_instance_learns_the_work_of_all_others() {
    let mut mesh = start();
    let (relays, askers) = divide(&mesh);
    let tag = id::endpoint_tag("e-1");
    for (count, number) in [relays[0], askers[0], askers[100], askers[200]].into_iter().enumerate() {
        let calls = 1 << count;
        mesh.send_event(number, Event::Loads(vec![Load { calls, unread: 100, ..Load::none(tag) }]));
    }
    mesh.run(Duration::from_secs(3));
    let calls = |mesh: &Mesh, number: usize| -> u32 {
        let state = mesh.nodes[number].state.as_ref().expect("it runs");
        state.view.remote_loads.iter().filter(|load| load.endpoint == tag).map(|load| load.calls).sum()
    };
    assert_eq!(calls(&mesh, askers[0]), 15 - 2);
    assert_eq!(calls(&mesh, askers[200]), 15 - 8);
    assert_eq!(calls(&mesh, relays[0]), 15 - 1 - group_calls(&mesh, relays[0], &[askers[0], askers[100], askers[200]]));
    assert_eq!(calls(&mesh, askers[1]), 15);
}

/// Calls told by those of `tellers` who ask the relay: it knows of them from themselves.
fn group_calls(mesh: &Mesh, relay: usize, tellers: &[usize]) -> u32 {
    let asks = |number: usize| mesh.relays_at(number).first() == Some(&mesh.nodes[relay].name);
    let calls = |(at, number): (usize, &usize)| if asks(*number) { 2 << at } else { 0 };
    tellers.iter().enumerate().map(calls).sum()
}

/// A fleet, a relay of it that has been cut off for three seconds, one that asks it, and what the relay answers.
fn ask_cut_relay() -> (Mesh, usize, usize, WatchReply) {
    let mut mesh = start();
    let (relays, askers) = divide(&mesh);
    let relay = relays.into_iter().find(|number| *number >= DISKS).expect("most have no disk");
    mesh.nodes[relay].cut = true;
    mesh.run(Duration::from_secs(3));
    let name = mesh.nodes[askers[0]].name.clone();
    let answer = mesh.ask(relay, question(&name, 1, 5));
    (mesh, relay, askers[0], answer)
}

/// A relay that is paused, or cut off from the leader, answers with what it has; that proves nothing younger than its
/// own last question, however late the answer is given or comes.
#[test]
fn an_answer_proves_no_more_than_the_relays_own_question() {
    let (mut mesh, relay, asker, answer) = ask_cut_relay();
    assert!(answer.age >= Duration::from_millis(2700), "{:?}", answer.age);
    // The asker starts anew, so that this answer is all it knows.
    mesh.kill(asker);
    mesh.boot(asker);
    let began = mesh.now;
    mesh.send_event(asker, Event::Tick);
    let from = mesh.nodes[relay].name.clone();
    let late = began + Duration::from_secs(1);
    let state = mesh.nodes[asker].state.as_mut().expect("it runs");
    state.reduce(late, Event::Peer { from, message: PeerMessage::WatchReply(Box::new(answer)) }, &mut Vec::new());
    assert!(
        !state.view.is_fresh(late, Duration::from_millis(3600)),
        "proved at {:?}, asked at {began:?}",
        state.view.proved()
    );
    assert!(state.view.is_fresh(late, Duration::from_millis(4500)));
}

/// An instance counts time from its own start. What a relay proves of a time before that was taken for proof as of the
/// start, so a process started anew held old configuration for new for as long again.
#[test]
fn an_instance_started_anew_takes_no_proof_from_before_its_start() {
    let (mesh, relay, asker, answer) = ask_cut_relay();
    let name = mesh.nodes[asker].name.clone();
    let me = Me { name, hall: "hall-0".into(), start: 5, address: None, epoch: Duration::ZERO };
    let mut state = State::new(Duration::ZERO, me, Options::default(), None);
    state.reduce(Duration::from_millis(100), Event::Tick, &mut Vec::new());
    let (from, now) = (mesh.nodes[relay].name.clone(), Duration::from_millis(150));
    state.reduce(now, Event::Peer { from, message: PeerMessage::WatchReply(Box::new(answer)) }, &mut Vec::new());
    assert!(!state.view.is_fresh(now, Duration::from_secs(2)), "proved at {:?}", state.view.proved());
}

/// A leader that others have replaced while it stood still is a relay by its own directory, and remembers itself as the
/// leader. It asked itself, got an answer that proved nothing new, and at worst asked again for ever.
#[test]
fn a_replaced_leader_does_not_ask_itself() {
    // Two instances in each hall: all are relays.
    let mut mesh = Mesh::start_in(15, 30, DISKS);
    mesh.run(Duration::from_secs(6));
    for _ in 0..DISKS {
        let leader = mesh.leader().expect("one leads");
        mesh.nodes[leader].paused = true;
        mesh.run(Duration::from_secs(2));
        mesh.sent.clear();
        mesh.wake(leader);
        mesh.run(Duration::from_secs(1));
        let questions = mesh.sent_by(leader, "watch");
        assert!(questions.messages < 60, "{questions:?} of instance {leader}");
        assert!(mesh.is_fresh(leader, Duration::from_secs(1)));
        mesh.run(Duration::from_secs(2));
    }
}

/// A link carries as much of loads in a second whatever the number of endpoints: with thousands they are told less often.
#[test]
fn loads_of_thousands_of_endpoints_are_exchanged_less_often() {
    let bytes = |endpoints: u32| {
        let mut mesh = Mesh::start(9, 3);
        mesh.run(Duration::from_secs(3));
        let load = |endpoint: u32, calls: u32| Load { calls, ..Load::none(endpoint) };
        mesh.send_event(5, Event::Loads((0..endpoints).map(|endpoint| load(endpoint, 3)).collect()));
        mesh.run(Duration::from_secs(3));
        let leader = mesh.leader().expect("one leads");
        let before = mesh.sent_by(leader, "watched").bytes;
        mesh.run(Duration::from_secs(10));
        mesh.sent_by(leader, "watched").bytes - before
    };
    let (few, many) = (bytes(1_000), bytes(10_000));
    assert!(few > 100_000, "loads are told: {few}");
    assert!(many < few * 4, "{few} bytes for 1,000 endpoints, {many} for ten times as many");
}
