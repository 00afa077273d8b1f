//! Instances that look for the leader, and what they do with the heartbeats of endpoints meanwhile.

mod mesh;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use mesh::registration;
use rudder_core::{Effect, Event, Me, Options, PeerMessage, Phase, Registration, State, WatchReply, WatchRequest};
use rudder_model::{EndpointId, InstanceId};

const TICK: Duration = Duration::from_millis(50);
/// Largest number of heartbeats in a request.
const MOST_CARRIED: usize = 256;
const LEADER: &str = "seed-1";

/// An instance without a disk that has just started.
struct Newcomer {
    state: State,
    now: Duration,
    registered: BTreeMap<u64, bool>,
}

impl Newcomer {
    fn start(name: &str) -> Newcomer {
        let now = Duration::from_secs(1);
        let me = Me { name: name.into(), hall: "h".into(), start: 1, address: None, epoch: Duration::ZERO };
        let seeds = ["seed-1", "seed-2", "seed-3"].map(InstanceId::from).to_vec();
        let state = State::new(now, me, Options { seeds, ..Options::default() }, None);
        Newcomer { state, now, registered: BTreeMap::new() }
    }

    /// Handles an event and returns the requests that it sends, with their targets.
    fn handle(&mut self, event: Event) -> Vec<(InstanceId, WatchRequest)> {
        let mut effects = Vec::new();
        self.state.reduce(self.now, event, &mut effects);
        let mut requests = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message: PeerMessage::WatchRequest(request) } => requests.push((to, *request)),
                Effect::Registered { ticket, accepted } => drop(self.registered.insert(ticket, accepted)),
                _ => {}
            }
        }
        requests
    }

    fn tick(&mut self) -> Vec<(InstanceId, WatchRequest)> {
        self.now += TICK;
        self.handle(Event::Tick)
    }

    /// Ticks until it sends a request.
    fn next_request(&mut self) -> (InstanceId, WatchRequest) {
        for _ in 0..100 {
            if let Some(request) = self.tick().pop() {
                return request;
            }
        }
        panic!("no request in 100 ticks");
    }

    fn receive(&mut self, from: &str, message: PeerMessage) -> Vec<(InstanceId, WatchRequest)> {
        self.handle(Event::Peer { from: from.into(), message })
    }

    fn heartbeats(&mut self, count: usize) {
        for number in 0..count {
            let registration = Registration { phase: Phase::Ready, ..registration(&format!("e-{number}"), "h") };
            self.handle(Event::Register { ticket: number as u64, registration });
        }
    }

    /// Makes it follow the leader, which answers its first request.
    fn find_leader(&mut self) {
        let (_, request) = self.next_request();
        self.receive(LEADER, PeerMessage::WatchReply(Box::new(reply(request.round))));
    }
}

fn reply(round: u64) -> WatchReply {
    WatchReply {
        round,
        leader: LEADER.into(),
        age: Duration::ZERO,
        requested_index: 0,
        index: 0,
        complete: true,
        deltas: Vec::new(),
        directory: None,
        latest_document: 0,
        document: None,
        registry: None,
        pending: false,
        scope: None,
        quarantine: None,
        evacuations: None,
        releases: None,
        loads: None,
        limits: Vec::new(),
        group: 0,
        time: None,
        work: Vec::new(),
    }
}

/// Guards against a fleet that starts at once and asks a single instance for the leader.
#[test]
fn instances_that_start_together_ask_different_seeds() {
    let mut asked: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for number in 0..300 {
        let (seed, _) = Newcomer::start(&format!("10.0.0.{number}:7000")).next_request();
        *asked.entry(seed).or_default() += 1;
    }
    assert!(asked.len() == 3 && asked.values().all(|count| *count >= 60), "{asked:?}");
}

/// Guards against the reports of a whole fleet being sent to instances that can do nothing with them.
#[test]
fn a_search_for_the_leader_carries_no_reports() {
    let mut newcomer = Newcomer::start("a");
    newcomer.heartbeats(40);
    for _ in 0..5 {
        let (_, request) = newcomer.next_request();
        assert_eq!((request.heartbeats.len(), request.loads, request.group), (0, None, None));
    }
}

/// Guards against requests that grow with the time for which no reply comes, and against heartbeats that are left out for
/// good or confirmed by a request that did not carry them.
#[test]
fn heartbeats_beyond_the_bound_follow_in_later_requests() {
    let mut newcomer = Newcomer::start("a");
    newcomer.find_leader();
    newcomer.heartbeats(MOST_CARRIED * 2 + 10);
    let mut carried: BTreeSet<EndpointId> = BTreeSet::new();
    let mut sizes = Vec::new();
    for _ in 0..3 {
        let (_, request) = newcomer.next_request();
        sizes.push(request.heartbeats.len());
        carried.extend(request.heartbeats.iter().map(|heartbeat| heartbeat.endpoint.clone()));
        newcomer.receive(LEADER, PeerMessage::WatchReply(Box::new(reply(request.round))));
    }
    assert_eq!((sizes, carried.len()), (vec![MOST_CARRIED, MOST_CARRIED, 10], MOST_CARRIED * 2 + 10));
}

/// Guards against heartbeats that no reply has confirmed being carried for ever.
#[test]
fn heartbeats_that_no_reply_confirms_expire() {
    let mut newcomer = Newcomer::start("a");
    newcomer.heartbeats(10);
    newcomer.now += Options::default().silence_timeout;
    newcomer.find_leader();
    let (_, request) = newcomer.next_request();
    assert_eq!(request.heartbeats, Vec::new());
}

/// Guards against endpoints that are refused by all of a fleet that has just started and ask the next instance at once.
#[test]
fn an_instance_that_has_just_started_accepts_heartbeats() {
    let mut newcomer = Newcomer::start("a");
    newcomer.heartbeats(1);
    assert_eq!(newcomer.registered.get(&0), Some(&true));
    newcomer.now += Options::default().max_proof_age;
    newcomer.heartbeats(1);
    assert_eq!(newcomer.registered.get(&0), Some(&false));
}

/// Guards against each new endpoint causing a request while one is under way.
#[test]
fn new_endpoints_cause_no_request_while_one_is_under_way() {
    let mut newcomer = Newcomer::start("a");
    newcomer.find_leader();
    newcomer.next_request();
    newcomer.heartbeats(5);
    assert_eq!(newcomer.tick().len(), 0);
}

/// Guards against an endless loop between two instances that redirect to each other.
#[test]
fn instances_that_name_each_other_are_not_asked_in_a_loop() {
    let mut newcomer = Newcomer::start("a");
    let (mut from, _) = newcomer.next_request();
    let mut sent = 0;
    for _ in 0..20 {
        let other = if &*from == "seed-1" { "seed-2" } else { "seed-1" };
        newcomer.receive(&from, PeerMessage::Redirect { leader: Some(other.into()) });
        let requests = newcomer.tick();
        sent += requests.len();
        let Some((to, _)) = requests.into_iter().next() else { break };
        from = to;
    }
    assert!(sent <= 3, "{sent} requests in a row");
}

/// Guards against an instance that asks again before the time that it was told.
#[test]
fn a_deferred_instance_waits_and_asks_the_leader_again() {
    let mut newcomer = Newcomer::start("a");
    newcomer.next_request();
    let after = Duration::from_millis(500);
    newcomer.receive(LEADER, PeerMessage::Defer { after });
    let told = newcomer.now;
    let (to, _) = newcomer.next_request();
    assert!(
        newcomer.now >= told + after && newcomer.now <= told + after + TICK,
        "after {:?}",
        newcomer.now.saturating_sub(told)
    );
    assert_eq!(&*to, LEADER);
}

/// Guards against a leader that is asked once for each request of a caller by instances that have lost touch with it.
#[test]
fn callers_of_a_stale_instance_cause_one_request_to_the_leader_at_a_time() {
    let mut newcomer = Newcomer::start("a");
    newcomer.find_leader();
    newcomer.now += Options::default().max_proof_age;
    let sent: usize = (0..20).map(|_| newcomer.handle(Event::ProveFreshness).len()).sum();
    assert_eq!(sent, 1);
}
