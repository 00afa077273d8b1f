//! A departure that was acknowledged is known to the next leader, whoever was asked and whatever fails at that moment.

mod mesh;

use std::time::Duration;

use mesh::{Layout, Mesh};
use rudder_core::{Event, Phase, Registration};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Instances that have a disk, which are the first ones; all of them vote.
const DISKS: usize = 3;
const TOTAL: usize = 9;
/// Number of the instances without a disk that are asked.
const DISKLESS: usize = 7;
/// Sequence number of the last heartbeat before a departure.
const LAST_HEARTBEAT: u64 = 5;
/// Time from a departure until the registry forgets an endpoint that has ended.
const RETENTION: Duration = Duration::from_secs(130);

/// Which instance the endpoints tell that they depart.
#[derive(Clone, Copy, Debug)]
enum Asked {
    Leader,
    Follower,
    Diskless,
}

/// What fails right after the acknowledgement.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The leader is killed and stays down.
    Leader,
    /// The leader and its disk are lost; it starts again with an empty one.
    LeaderAndDisk,
    /// The leader and the instance that was asked are killed.
    LeaderAndAsked,
    /// All instances with a disk are killed and start again.
    Voters,
    /// All instances are killed and start again.
    All,
    /// All instances are killed, the leader's disk is lost, and they start again.
    AllAndDisk,
}

/// Instances before endpoints that send heartbeats.
struct Deployment {
    mesh: Mesh,
    endpoints: Vec<String>,
}

impl Deployment {
    fn start(count: usize) -> Deployment {
        Deployment::start_as(&Layout { total: TOTAL, disks: DISKS, ..Layout::default() }, count)
    }

    fn start_as(layout: &Layout, count: usize) -> Deployment {
        let mut mesh = Mesh::start_as(layout.clone());
        mesh.run(SECOND * 4);
        let endpoints: Vec<String> = (0..count).map(|number| format!("e-{number}")).collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            mesh.heartbeat(number % layout.total, 1000, endpoint, Phase::Ready, LAST_HEARTBEAT);
        }
        mesh.run(SECOND);
        Deployment { mesh, endpoints }
    }

    fn leader(&self) -> usize {
        self.mesh.leader().expect("one leads")
    }

    fn number_of(&self, asked: Asked) -> usize {
        let leader = self.leader();
        match asked {
            Asked::Leader => leader,
            Asked::Follower => (0..DISKS).find(|number| *number != leader).expect("three have disks"),
            Asked::Diskless => DISKLESS,
        }
    }

    /// Lets all endpoints depart at once and runs until the last of them is acknowledged.
    fn depart(&mut self, asked: usize, phase: Phase) {
        for (ticket, endpoint) in (0..).zip(&self.endpoints) {
            self.mesh.heartbeat(asked, ticket, endpoint, phase, LAST_HEARTBEAT + 1);
        }
        for _ in 0..1000 {
            if self.is_acknowledged() {
                return;
            }
            self.mesh.run(MILLISECOND);
        }
        panic!("not acknowledged: {:?}", self.mesh.registered);
    }

    fn is_acknowledged(&self) -> bool {
        (0..).zip(&self.endpoints).all(|(ticket, _)| self.mesh.registered.get(&ticket) == Some(&true))
    }

    fn lose(&mut self, loss: Loss, asked: usize) {
        let leader = self.leader();
        let restarted: Vec<usize> = match loss {
            Loss::Leader | Loss::LeaderAndAsked => Vec::new(),
            Loss::LeaderAndDisk => vec![leader],
            Loss::Voters => (0..DISKS).collect(),
            Loss::All | Loss::AllAndDisk => (0..TOTAL).collect(),
        };
        self.mesh.kill(leader);
        if matches!(loss, Loss::LeaderAndAsked) {
            self.mesh.kill(asked);
        }
        for number in &restarted {
            self.mesh.kill(*number);
        }
        if matches!(loss, Loss::LeaderAndDisk | Loss::AllAndDisk) {
            self.mesh.wipe(leader);
        }
        for number in restarted {
            self.mesh.boot(number);
        }
    }

    /// Late heartbeats of the departed lives arrive at every instance.
    fn late_heartbeats(&mut self) {
        for endpoint in self.endpoints.clone() {
            for number in 0..self.mesh.nodes.len() {
                self.mesh.heartbeat(number, 2000, &endpoint, Phase::Ready, LAST_HEARTBEAT);
            }
        }
    }

    /// Asserts that no running instance sends requests to any of the endpoints.
    fn assert_departed(&self) {
        for number in (0..self.mesh.nodes.len()).filter(|number| self.mesh.nodes[*number].state.is_some()) {
            for endpoint in &self.endpoints {
                let phase = self.mesh.phase_at(number, endpoint);
                assert!(
                    phase.is_none_or(|phase| phase >= Phase::Leaving),
                    "instance {number}: {endpoint} is {phase:?}"
                );
            }
        }
    }

    fn held_in_log(&self) -> usize {
        let state = self.mesh.nodes[self.leader()].state.as_ref().expect("a running leader");
        state.control.as_ref().map_or(0, |control| control.ledger.departures.len())
    }
}

/// Endpoints depart, the loss follows `after` milliseconds after the acknowledgement, and late heartbeats come.
fn departed_stays_departed(asked: Asked, (count, phase): (usize, Phase), loss: Loss, after: u32) {
    let mut deployment = Deployment::start(count);
    let asked = deployment.number_of(asked);
    deployment.depart(asked, phase);
    deployment.mesh.run(MILLISECOND * after);
    deployment.lose(loss, asked);
    deployment.mesh.run(SECOND * 3);
    deployment.assert_departed();
    deployment.late_heartbeats();
    deployment.mesh.run(SECOND);
    deployment.assert_departed();
}

macro_rules! losses {
    ($($name:ident: $asked:ident, $count:literal, $phase:ident, $loss:ident, after $after:literal ms;)*) => {
        $(
            #[test]
            fn $name() {
                departed_stays_departed(Asked::$asked, ($count, Phase::$phase), Loss::$loss, $after);
            }
        )*
    };
}

// Guard against a departure that was acknowledged from the leader's memory and was lost with the leader.
losses! {
    an_end_outlasts_the_leader_that_was_told: Leader, 1, Gone, Leader, after 0 ms;
    an_end_outlasts_the_leader_by_2_ms: Leader, 1, Gone, Leader, after 2 ms;
    an_end_outlasts_the_leader_by_60_ms: Leader, 1, Gone, Leader, after 60 ms;
    two_ends_outlast_the_leader: Leader, 2, Gone, Leader, after 2 ms;
    twenty_ends_outlast_the_leader: Leader, 20, Gone, Leader, after 2 ms;
    a_drain_outlasts_the_leader_that_was_told: Leader, 1, Leaving, Leader, after 0 ms;
    an_end_told_to_a_follower_outlasts_the_leader: Follower, 2, Gone, Leader, after 0 ms;
    an_end_told_to_an_instance_without_a_disk_outlasts_the_leader: Diskless, 2, Gone, Leader, after 0 ms;
    an_end_outlasts_the_leader_and_the_follower_that_was_told: Follower, 2, Gone, LeaderAndAsked, after 0 ms;
    an_end_outlasts_the_leader_and_the_diskless_instance_that_was_told: Diskless, 2, Gone, LeaderAndAsked, after 0 ms;
    a_drain_outlasts_the_leader_and_the_instance_that_was_told: Diskless, 2, Leaving, LeaderAndAsked, after 0 ms;
    an_end_outlasts_the_leader_and_its_disk: Leader, 2, Gone, LeaderAndDisk, after 0 ms;
    an_end_outlasts_all_voters_at_once: Leader, 2, Gone, Voters, after 0 ms;
    an_end_outlasts_all_processes_at_once: Diskless, 20, Gone, All, after 0 ms;
    a_drain_outlasts_all_processes_at_once: Diskless, 2, Leaving, All, after 0 ms;
    an_end_outlasts_all_processes_and_the_disk_of_the_leader: Leader, 2, Gone, AllAndDisk, after 0 ms;
}

/// Guards against an acknowledgement by a leader that has lost its majority and does not know yet.
#[test]
fn a_leader_that_is_cut_off_acknowledges_no_departure() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader();
    deployment.mesh.nodes[leader].cut = true;
    deployment.mesh.heartbeat(leader, 0, "e-0", Phase::Gone, LAST_HEARTBEAT + 1);
    deployment.mesh.run(SECOND * 4);
    assert_eq!(deployment.mesh.registered.get(&0), Some(&false));
}

/// Guards against an acknowledgement by a leader that was suspended while another one took over.
#[test]
fn a_leader_that_wakes_after_the_next_election_loses_no_departure() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader();
    deployment.mesh.nodes[leader].paused = true;
    deployment.mesh.run(SECOND * 3);
    deployment.mesh.heartbeat(leader, 0, "e-0", Phase::Gone, LAST_HEARTBEAT + 1);
    deployment.mesh.wake(leader);
    for _ in 0..2000 {
        if deployment.mesh.registered.contains_key(&0) {
            break;
        }
        deployment.mesh.run(MILLISECOND);
    }
    if deployment.is_acknowledged() {
        deployment.mesh.kill(leader);
        deployment.mesh.run(SECOND * 3);
        deployment.assert_departed();
    }
}

/// Guards against a departure that is lost because the leader is suspended between recording and acknowledging it.
#[test]
fn a_leader_suspended_before_its_answer_loses_no_departure() {
    let mut deployment = Deployment::start(1);
    let leader = deployment.leader();
    deployment.mesh.heartbeat(leader, 0, "e-0", Phase::Gone, LAST_HEARTBEAT + 1);
    deployment.mesh.nodes[leader].paused = true;
    deployment.mesh.run(SECOND * 3);
    deployment.mesh.wake(leader);
    deployment.mesh.run(SECOND * 2);
    if deployment.is_acknowledged() {
        deployment.assert_departed();
    }
}

/// Guards against a departure that only a relay and the leader have heard of.
#[test]
fn an_end_told_behind_a_relay_outlasts_the_leader_and_the_relays() {
    let layout = Layout { total: 60, disks: 5, voters: 5, ..Layout::default() };
    let mut deployment = Deployment::start_as(&layout, 2);
    let asked = 59;
    let relays = deployment.mesh.relays_at(asked);
    assert!(!relays.is_empty(), "instance {asked} queries the leader");
    deployment.depart(asked, Phase::Gone);
    let leader = deployment.leader();
    deployment.mesh.kill(leader);
    for relay in relays {
        let number = deployment.mesh.number_of(&relay).expect("a relay of the mesh");
        deployment.mesh.kill(number);
    }
    deployment.mesh.kill(asked);
    deployment.mesh.run(SECOND * 5);
    deployment.assert_departed();
    deployment.late_heartbeats();
    deployment.mesh.run(SECOND * 2);
    deployment.assert_departed();
}

/// Guards against an acknowledgement before a majority has saved the departure.
#[test]
fn a_departure_is_not_acknowledged_while_no_majority_can_save() {
    let mut deployment = Deployment::start(1);
    for number in 0..DISKS {
        deployment.mesh.nodes[number].stalled = true;
    }
    deployment.mesh.heartbeat(DISKLESS, 0, "e-0", Phase::Gone, LAST_HEARTBEAT + 1);
    deployment.mesh.run(SECOND * 2);
    assert_eq!(deployment.mesh.registered.get(&0), Some(&false));
}

/// Guards against an endpoint's next life being taken for the departed one by a new leader.
#[test]
fn a_new_life_after_a_departure_is_used_under_the_next_leader() {
    let mut deployment = Deployment::start(0);
    let (first, next) = (1_000_000, 1_000_900);
    deployment.mesh.life_beat(4, first, Phase::Ready, 1);
    deployment.mesh.run(SECOND / 2);
    deployment.mesh.life_beat(4, first, Phase::Gone, 2);
    deployment.mesh.run(SECOND / 2);
    let leader = deployment.leader();
    deployment.mesh.kill(leader);
    deployment.mesh.life_beat(DISKLESS, next, Phase::Ready, 1);
    deployment.mesh.run(SECOND * 3);
    deployment.mesh.life_beat(DISKLESS, next, Phase::Ready, 2);
    deployment.mesh.run(SECOND);
    for number in (0..TOTAL).filter(|number| *number != leader) {
        let phase_of = |born: u64| deployment.mesh.phase_at(number, &rudder_model::id::life_id("e-1", Some(born)));
        assert_eq!(phase_of(next), Some(Phase::Ready), "instance {number}");
        assert!(phase_of(first).is_none_or(|phase| phase >= Phase::Leaving), "instance {number}");
    }
}

/// Guards against records of departures that outlive the registry's memory of their endpoints.
#[test]
fn departures_are_forgotten_with_their_endpoints() {
    let mut deployment = Deployment::start(20);
    deployment.depart(DISKLESS, Phase::Gone);
    assert_eq!(deployment.held_in_log(), 20);
    deployment.mesh.run(RETENTION);
    assert_eq!(deployment.held_in_log(), 0);
}

/// Guards against records that stay because the leader that wrote them was lost.
#[test]
fn departures_are_forgotten_under_the_next_leader() {
    let mut deployment = Deployment::start(2);
    deployment.depart(DISKLESS, Phase::Leaving);
    let leader = deployment.leader();
    deployment.mesh.kill(leader);
    deployment.mesh.run(SECOND * 3);
    assert_eq!(deployment.held_in_log(), 2);
    deployment.mesh.run(RETENTION);
    assert_eq!(deployment.held_in_log(), 0);
}

/// Guards against a record for each of many departures at once, and for each heartbeat of an endpoint that drains.
#[test]
fn departures_at_once_share_records() {
    let mut deployment = Deployment::start(20);
    let index = |deployment: &Deployment| {
        let state = deployment.mesh.nodes[deployment.leader()].state.as_ref().expect("a running leader");
        state.control.as_ref().map_or(0, |control| control.replica.last_index())
    };
    let before = index(&deployment);
    deployment.depart(DISKLESS, Phase::Leaving);
    let records = index(&deployment) - before;
    assert!(records <= 2, "{records} records");
    for (ticket, endpoint) in (100..).zip(deployment.endpoints.clone()) {
        let registration =
            Registration { phase: Phase::Leaving, sequence: 9, ..mesh::registration(&endpoint, "hall-0") };
        deployment.mesh.send_event(DISKLESS, Event::Register { ticket, registration });
    }
    deployment.mesh.run(SECOND);
    assert_eq!(deployment.mesh.registered.get(&119), Some(&true));
    assert_eq!(index(&deployment) - before, records);
}
