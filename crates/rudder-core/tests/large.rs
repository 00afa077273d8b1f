//! Hundreds of instances: the load on the leader and the links, and the promises in the presence of relays.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, watch_request};
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

/// Returns the followers that query the leader themselves, and those that query a relay.
fn split_by_upstream(mesh: &Mesh) -> (Vec<usize>, Vec<usize>) {
    let leader = mesh.leader().expect("a leader");
    let others = (0..mesh.nodes.len()).filter(|number| *number != leader);
    others.partition(|number| mesh.relays_at(*number).is_empty())
}

fn stale(mesh: &Mesh, bound: Duration) -> Vec<usize> {
    (0..mesh.nodes.len()).filter(|number| !mesh.is_fresh(*number, bound)).collect()
}

#[test]
fn all_instances_find_the_leader_and_few_query_it() {
    let mut mesh = start();
    assert_eq!(stale(&mesh, Duration::from_millis(1500)), Vec::<usize>::new());
    let (relays, _) = split_by_upstream(&mesh);
    let tree = Tree::default();
    assert!((HALLS * tree.least..=TOTAL / tree.askers + HALLS).contains(&relays.len()), "{relays:?}");
    let leader = mesh.leader().expect("a leader");
    mesh.sent.clear();
    mesh.run(Duration::from_secs(2));
    let answers = mesh.sent_by(leader, "watched");
    // Four requests per second from each relay and from the leader itself, over two seconds.
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
fn a_departure_is_known_everywhere_soon_after_its_acknowledgement() {
    let mut mesh = start();
    mesh.heartbeat(41, 1, "e-1", Phase::Ready, 1);
    mesh.run(Duration::from_secs(2));
    assert!((0..TOTAL).all(|number| mesh.phase_at(number, "e-1") == Some(Phase::Ready)));
    let (_, watchers) = split_by_upstream(&mesh);
    mesh.heartbeat(watchers[7], 2, "e-1", Phase::Leaving, 2);
    mesh.run(Duration::from_millis(20));
    assert_eq!(mesh.registered.get(&2), Some(&true));
    mesh.run(Duration::from_millis(120));
    let late: Vec<usize> = (0..TOTAL).filter(|number| mesh.phase_at(*number, "e-1") != Some(Phase::Leaving)).collect();
    assert_eq!(late, Vec::<usize>::new());
}

#[test]
fn a_departure_known_only_to_a_relay_is_not_acknowledged() {
    let mut mesh = start();
    let leader = mesh.leader().expect("a leader");
    mesh.nodes[leader].cut = true;
    let (_, watchers) = split_by_upstream(&mesh);
    mesh.heartbeat(watchers[3], 2, "e-1", Phase::Leaving, 2);
    mesh.run(Duration::from_millis(250));
    assert_eq!(mesh.registered.get(&2), None);
}

#[test]
fn watchers_of_a_lost_relay_find_another_one() {
    let mut mesh = start();
    let (relays, _) = split_by_upstream(&mesh);
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
fn the_loss_of_a_leader_does_not_make_all_query_the_next_one() {
    let mut mesh = start();
    let lost = mesh.leader().expect("a leader");
    let (relays, _) = split_by_upstream(&mesh);
    mesh.kill(lost);
    mesh.sent.clear();
    mesh.run(Duration::from_secs(3));
    let next = mesh.leader().expect("another leader");
    let answers = mesh.sent_by(next, "watched");
    assert!(answers.messages <= 3 * 4 * 2 * relays.len() as u64, "{answers:?}");
    // Only one instance was lost, so no watcher is sent the complete directory.
    assert!(answers.bytes / answers.messages < 400, "{answers:?}");
    mesh.run(Duration::from_secs(1));
    let left: Vec<usize> = stale(&mesh, Duration::from_secs(2)).into_iter().filter(|number| *number != lost).collect();
    assert_eq!(left, Vec::<usize>::new());
}

#[test]
fn a_restart_of_all_instances_recovers_quickly() {
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
fn each_instance_learns_the_loads_of_all_others() {
    let mut mesh = start();
    let (relays, watchers) = split_by_upstream(&mesh);
    let tag = id::endpoint_tag("e-1");
    for (count, number) in [relays[0], watchers[0], watchers[100], watchers[200]].into_iter().enumerate() {
        let calls = 1 << count;
        mesh.send_event(number, Event::Loads(vec![Load { calls, unread: 100, ..Load::none(tag) }]));
    }
    mesh.run(Duration::from_secs(3));
    let calls = |mesh: &Mesh, number: usize| -> u32 {
        let state = mesh.nodes[number].state.as_ref().expect("running instance");
        state.view.remote_loads.iter().filter(|load| load.endpoint == tag).map(|load| load.calls).sum()
    };
    assert_eq!(calls(&mesh, watchers[0]), 15 - 2);
    assert_eq!(calls(&mesh, watchers[200]), 15 - 8);
    assert_eq!(
        calls(&mesh, relays[0]),
        15 - 1 - group_calls(&mesh, relays[0], &[watchers[0], watchers[100], watchers[200]])
    );
    assert_eq!(calls(&mesh, watchers[1]), 15);
}

/// Returns the calls reported by those of `reporters` that query the relay, which it holds as loads of its watchers.
fn group_calls(mesh: &Mesh, relay: usize, reporters: &[usize]) -> u32 {
    let queries = |number: usize| mesh.relays_at(number).first() == Some(&mesh.nodes[relay].name);
    let calls = |(at, number): (usize, &usize)| if queries(*number) { 2 << at } else { 0 };
    reporters.iter().enumerate().map(calls).sum()
}

/// Returns a fleet, a relay that has been partitioned for three seconds, a watcher and the relay's reply to it.
fn watch_partitioned_relay() -> (Mesh, usize, usize, WatchReply) {
    let mut mesh = start();
    let (relays, watchers) = split_by_upstream(&mesh);
    let relay = relays.into_iter().find(|number| *number >= DISKS).expect("a relay without a disk");
    mesh.nodes[relay].cut = true;
    mesh.run(Duration::from_secs(3));
    let name = mesh.nodes[watchers[0]].name.clone();
    let answer = mesh.watch(relay, watch_request(&name, 1, 5));
    (mesh, relay, watchers[0], answer)
}

/// Guards against a paused or partitioned relay making old configuration look fresh, however late its reply is.
#[test]
fn a_reply_proves_no_more_than_the_relays_own_request() {
    let (mut mesh, relay, watcher, answer) = watch_partitioned_relay();
    assert!(answer.age >= Duration::from_millis(2700), "{:?}", answer.age);
    // The watcher restarts, so that this reply is all that it knows.
    mesh.kill(watcher);
    mesh.boot(watcher);
    let began = mesh.now;
    mesh.send_event(watcher, Event::Tick);
    let from = mesh.nodes[relay].name.clone();
    let late = began + Duration::from_secs(1);
    let state = mesh.nodes[watcher].state.as_mut().expect("running instance");
    state.reduce(late, Event::Peer { from, message: PeerMessage::WatchReply(Box::new(answer)) }, &mut Vec::new());
    assert!(
        !state.view.is_fresh(late, Duration::from_millis(3600)),
        "proved at {:?}, requested at {began:?}",
        state.view.proved()
    );
    assert!(state.view.is_fresh(late, Duration::from_millis(4500)));
}

/// Guards against a proof from before the start of the process counting as a proof as of its start.
#[test]
fn a_restarted_instance_accepts_no_proof_from_before_its_start() {
    let (mesh, relay, watcher, answer) = watch_partitioned_relay();
    let name = mesh.nodes[watcher].name.clone();
    let me = Me { name, hall: "hall-0".into(), start: 5, address: None, epoch: Duration::ZERO };
    let mut state = State::new(Duration::ZERO, me, Options::default(), None);
    state.reduce(Duration::from_millis(100), Event::Tick, &mut Vec::new());
    let (from, now) = (mesh.nodes[relay].name.clone(), Duration::from_millis(150));
    state.reduce(now, Event::Peer { from, message: PeerMessage::WatchReply(Box::new(answer)) }, &mut Vec::new());
    assert!(!state.view.is_fresh(now, Duration::from_secs(2)), "proved at {:?}", state.view.proved());
}

/// Guards against a paused leader that was replaced sending its requests to itself forever.
#[test]
fn a_replaced_leader_does_not_query_itself() {
    // Two instances in each hall: all are relays.
    let mut mesh = Mesh::start_in(15, 30, DISKS);
    mesh.run(Duration::from_secs(6));
    for _ in 0..DISKS {
        let leader = mesh.leader().expect("a leader");
        mesh.nodes[leader].paused = true;
        mesh.run(Duration::from_secs(2));
        mesh.sent.clear();
        mesh.wake(leader);
        mesh.run(Duration::from_secs(1));
        let requests = mesh.sent_by(leader, "watch");
        assert!(requests.messages < 60, "{requests:?} of instance {leader}");
        assert!(mesh.is_fresh(leader, Duration::from_secs(1)));
        mesh.run(Duration::from_secs(2));
    }
}

/// Guards against the bandwidth of load exchanges growing with the number of endpoints.
#[test]
fn loads_of_thousands_of_endpoints_are_exchanged_less_often() {
    let bytes = |endpoints: u32| {
        let mut mesh = Mesh::start(9, 3);
        mesh.run(Duration::from_secs(3));
        let load = |endpoint: u32, calls: u32| Load { calls, ..Load::none(endpoint) };
        mesh.send_event(5, Event::Loads((0..endpoints).map(|endpoint| load(endpoint, 3)).collect()));
        mesh.run(Duration::from_secs(3));
        let leader = mesh.leader().expect("a leader");
        let before = mesh.sent_by(leader, "watched").bytes;
        mesh.run(Duration::from_secs(10));
        mesh.sent_by(leader, "watched").bytes - before
    };
    let (few, many) = (bytes(1_000), bytes(10_000));
    assert!(few > 100_000, "loads are exchanged: {few}");
    assert!(many < few * 4, "{few} bytes for 1,000 endpoints, {many} for ten times as many");
}
