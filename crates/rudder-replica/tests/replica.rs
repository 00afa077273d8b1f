//! Replicas by themselves: when they vote, lead and commit.

use std::{collections::BTreeMap, time::Duration};

use rudder_replica::{Durable, Envelope, Member, Members, Message, Options, Output, Replica, Role, Snapshot};

const START: Duration = Duration::from_secs(100);

fn members() -> Members {
    let member = |id: u64| (id, Member { name: format!("i-{id}").as_str().into(), voter: true });
    (1..=3).map(member).collect()
}

fn started(id: u64) -> Replica {
    let snapshot = Snapshot { index: 1, term: 1, members: members(), ..Snapshot::default() };
    let durable = Durable { term: 1, snapshot, ..Durable::default() };
    Replica::new(id, format!("i-{id}").as_str().into(), Options::default(), durable, START)
}

fn ballot(pre: bool, term: u64) -> Envelope {
    let message = Message::Ballot { term, index: 1, last_term: 1, pre };
    Envelope { from: 2, name: "i-2".into(), to: 1, message }
}

fn votes(outputs: &[Output]) -> Vec<bool> {
    let vote = |output: &Output| match output {
        Output::Send { envelope: Envelope { message: Message::Vote { granted, .. }, .. }, .. } => Some(*granted),
        _ => None,
    };
    outputs.iter().filter_map(vote).collect()
}

/// Passes messages between replicas until none is left; saves are durable at once.
fn settle(replicas: &mut BTreeMap<u64, Replica>, now: Duration, from: u64, outputs: Vec<Output>) {
    let mut queue: Vec<(u64, Output)> = outputs.into_iter().map(|output| (from, output)).collect();
    while !queue.is_empty() {
        let (from, output) = queue.remove(0);
        let mut more = Vec::new();
        let target = match output {
            Output::Save { number, .. } | Output::SaveSnapshot { number, .. } => {
                replicas.get_mut(&from).expect("a replica").on_saved(now, number, &mut more);
                from
            }
            Output::Send { envelope, .. } => {
                let to = envelope.to;
                let Some(replica) = replicas.get_mut(&to) else { continue };
                replica.receive(now, envelope, &mut more);
                to
            }
            Output::Apply(_) | Output::Restore(_) => continue,
        };
        queue.extend(more.into_iter().map(|output| (target, output)));
    }
}

#[test]
fn a_started_replica_votes_only_once_the_lease_of_a_leader_before_is_over() {
    let lease = Options::default().lease;
    let mut replica = started(1);
    let mut outputs = Vec::new();
    replica.receive(START + lease.mul_f64(0.99), ballot(true, 2), &mut outputs);
    assert_eq!(votes(&outputs), Vec::<bool>::new());
    replica.receive(START + lease, ballot(true, 2), &mut outputs);
    assert_eq!(votes(&outputs), [true]);
}

#[test]
fn a_vote_is_told_only_once_it_is_durable_and_given_once_a_term() {
    let mut replica = started(1);
    let late = START + Duration::from_secs(5);
    let mut outputs = Vec::new();
    replica.receive(late, ballot(false, 2), &mut outputs);
    assert_eq!(votes(&outputs), Vec::<bool>::new(), "told before it was saved");
    replica.on_saved(late, 2, &mut outputs);
    assert_eq!(votes(&outputs), [true]);
    let other = Envelope { from: 3, name: "i-3".into(), ..ballot(false, 2) };
    let mut outputs = Vec::new();
    replica.receive(late, other, &mut outputs);
    assert_eq!(votes(&outputs), [false]);
}

#[test]
fn replicas_that_stopped_together_have_a_leader_soon_after_the_lease() {
    let mut replicas: BTreeMap<u64, Replica> = (1..=3).map(|id| (id, started(id))).collect();
    let options = Options::default();
    let mut now = START;
    let bound = START + options.lease + Duration::from_millis(300);
    while now < bound && replicas.values().all(|replica| replica.role() != Role::Leader) {
        now += Duration::from_millis(10);
        for id in 1..=3 {
            let mut outputs = Vec::new();
            replicas.get_mut(&id).expect("a replica").tick(now, &mut outputs);
            settle(&mut replicas, now, id, outputs);
        }
    }
    let leaders = replicas.values().filter(|replica| replica.role() == Role::Leader).count();
    assert_eq!(leaders, 1, "none by {:?}", now.saturating_sub(START));
}

#[test]
fn a_leader_without_answers_loses_its_lease_and_steps_down() {
    let mut replicas: BTreeMap<u64, Replica> = (1..=3).map(|id| (id, started(id))).collect();
    let mut now = START + Duration::from_secs(2);
    let mut outputs = Vec::new();
    replicas.get_mut(&1).expect("a replica").tick(now, &mut outputs);
    settle(&mut replicas, now, 1, outputs);
    let mut leader = replicas.remove(&1).expect("a replica");
    assert!(leader.leads(now));
    now += Options::default().lease;
    let mut outputs = Vec::new();
    leader.tick(now, &mut outputs);
    assert!(!leader.leads(now), "its lease outlives the answers");
    now += Options::default().election * 3;
    leader.tick(now, &mut outputs);
    assert_eq!(leader.role(), Role::Follower);
}
