//! A simulation of nine instances with a lossy network, fake disks and fake endpoints, which asserts the promises from
//! the outside. Time is virtual, and the same seed gives the same run.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::{Arrival, Effect, Ended, Event, Key, Me, Options, PeerMessage, State, Stored, Verdict, WatchReply};
use rudder_events::What;
use rudder_ledger::{Change, Changed};
use rudder_model::{
    Class, Endpoint, EndpointKind, InstanceId, Kind, Mark, Match, Object, Organisation, Ran, RequestId, Selector, id,
};
use rudder_replica::{Durable, Record, Snapshot};

pub const TICK: Duration = Duration::from_millis(50);
pub const FRESH: Duration = Duration::from_secs(3);
pub const ENDPOINTS: [&str; 3] = ["app-1", "app-2", "app-3"];
const HALLS: [&str; 3] = ["hervanta", "lielahti", "kaukajarvi"];
const SERVICE: &str = "service/lasku";

/// A deliberate defect at an interface, which the checks must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Disks report saves as durable but lose them in a crash.
    LyingDisk,
    /// Endpoint failures are reported as "never sent" although the request was sent.
    LyingFailure,
    /// Watch replies are delivered again as replies to later requests.
    OldAnswers,
}

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Good,
    Down,
    LosesAnswers,
    Refuses,
}

/// A step of processing, identified by the effect that completes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A claim or change is sent to the leader.
    Proposed,
    /// The leader saves it.
    Saving,
    /// The leader answers it.
    Answered,
    /// A slot is requested.
    Asked,
    /// A slot is granted.
    Granted,
    /// The request is sent to an endpoint.
    Dispatched,
    /// The outcome of a request is sent to the leader.
    Finishing,
    /// A watcher is sent newer configuration.
    Distributed,
}

/// A fault to inject. The actor is the instance whose effect completed the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    CrashActor,
    CrashLeader,
    WipeLeader,
    PauseActor,
    PauseLeader,
    CutActor,
    CutLeader,
    LoseMessages,
    FullDisks,
    EndpointDown,
    EndpointSilent,
    StopActor,
    TwoAtOnce,
}

enum Save {
    Append(Vec<Record>),
    Replace(Snapshot, Vec<Record>),
}

pub struct Disk {
    id: u64,
    durable: Durable,
    /// Content after a crash; the same as `durable` unless the disk is defective.
    synced: Durable,
    pending: Vec<(u64, Save)>,
    pub full: bool,
}

pub struct Node {
    pub name: InstanceId,
    hall: usize,
    pub disk: Option<Disk>,
    pub state: Option<State>,
    pub paused: Duration,
    held: Vec<Event>,
    clean_exit: bool,
}

#[derive(Default)]
pub struct CallRecord {
    pub key: Option<String>,
    pub node: usize,
    pub answer_count: u32,
    pub refused: Option<Ran>,
    pub runs: u32,
}

enum Delivery {
    Node(usize, Event),
    Saved(usize, u64, u64),
    Finish(usize, RequestId, Ended),
}

pub struct World {
    pub now: Duration,
    pub rng: Pcg32,
    pub nodes: Vec<Node>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    count: u64,
    pub loss: f64,
    pub double: f64,
    pub delay: u64,
    pub cut: BTreeSet<usize>,
    pub behaviour: BTreeMap<String, Behaviour>,
    pub defect: Defect,
    pub calls: BTreeMap<RequestId, CallRecord>,
    pub runs: BTreeMap<String, u32>,
    accepted: BTreeMap<(Kind, String), (u64, Duration)>,
    departed: BTreeMap<String, Duration>,
    answers: BTreeMap<String, Changed>,
    sent: BTreeMap<u64, Change>,
    seen: BTreeMap<(InstanceId, u64), u64>,
    pub steps: u64,
    start: u64,
    /// A fault to inject once, at the first effect that completes the step.
    pub pending_fault: Option<(Step, Fault)>,
    pub fault_injected: bool,
}

impl World {
    /// Nine instances in three halls, five with a disk, three of them founders.
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: Duration::from_secs(1),
            rng: Pcg32::seed_from_u64(seed),
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            count: 0,
            loss: 0.0,
            double: 0.0,
            delay: 5,
            cut: BTreeSet::new(),
            behaviour: ENDPOINTS.iter().map(|name| ((*name).to_owned(), Behaviour::Good)).collect(),
            defect: Defect::None,
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            accepted: BTreeMap::new(),
            departed: BTreeMap::new(),
            answers: BTreeMap::new(),
            sent: BTreeMap::new(),
            seen: BTreeMap::new(),
            steps: 0,
            start: 0,
            pending_fault: None,
            fault_injected: false,
        };
        for index in 0..9 {
            let disk = (index < 5).then(|| Disk::new(1000 + index as u64));
            let name = InstanceId::from(format!("node-{index}"));
            let node = Node {
                name,
                hall: index % 3,
                disk,
                state: None,
                paused: Duration::ZERO,
                held: Vec::new(),
                clean_exit: false,
            };
            world.nodes.push(node);
        }
        for index in 0..9 {
            world.start(index);
        }
        world
    }

    /// A world with a leader and a configuration.
    pub fn ready(seed: u64) -> World {
        let mut world = World::new(seed);
        world.advance(4000);
        for (name, object) in objects() {
            world.put(0, name, object);
        }
        world.advance(2000);
        world
    }

    pub fn start(&mut self, node: usize) {
        if self.nodes[node].state.is_some() {
            return;
        }
        self.start += 1;
        let instance = &mut self.nodes[node];
        let hall = HALLS[instance.hall];
        let me = Me {
            name: instance.name.clone(),
            hall: hall.into(),
            start: self.start,
            address: Some(instance.name.to_string()),
            epoch: Duration::from_secs(1_000_000),
        };
        let mut nearest = HALLS.to_vec();
        nearest.sort_by_key(|other| *other != hall);
        let options = Options {
            seeds: (0..5).map(|index| InstanceId::from(format!("node-{index}"))).collect(),
            founders: (0..3).map(|index| InstanceId::from(format!("node-{index}"))).collect(),
            nearest: nearest.into_iter().map(Into::into).collect(),
            max_proof_age: FRESH,
            snapshot_every: 30,
            replica: rudder_replica::Options {
                seed: self.start,
                keep: 10,
                replace: Duration::from_secs(6),
                ..Default::default()
            },
            ..Options::default()
        };
        let disk = instance.disk.as_ref().map(|disk| (disk.id, disk.durable.clone()));
        instance.state = Some(State::new(self.now, me, options, disk));
        instance.held.clear();
    }

    /// Crashes an instance; pending saves and open calls are lost.
    pub fn crash(&mut self, node: usize) {
        let instance = &mut self.nodes[node];
        instance.state = None;
        if let Some(disk) = &mut instance.disk {
            disk.pending.clear();
            disk.durable = disk.synced.clone();
        }
    }

    /// Crashes an instance and empties its data folder.
    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        let fresh = self.rng.random_range(10_000..u64::MAX);
        if let Some(disk) = &mut self.nodes[node].disk {
            *disk = Disk::new(fresh);
        }
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self.queue.first_entry() {
                if entry.key().0 > next {
                    break;
                }
                self.now = self.now.max(entry.key().0);
                let delivery = entry.remove();
                self.deliver(delivery);
            }
            self.now = next;
            for node in 0..self.nodes.len() {
                self.send_event(node, Event::Tick);
            }
            self.check_views();
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Node(node, event) => self.send_event(node, event),
            Delivery::Saved(node, start, number) => self.save(node, start, number),
            Delivery::Finish(node, request, ended) => {
                if matches!(ended, Ended::Done { stored: None, .. }) {
                    self.record_answer(request);
                }
                self.send_event(node, Event::Ended { request, ended });
            }
        }
    }

    fn save(&mut self, node: usize, start: u64, number: u64) {
        let is_lying = self.defect == Defect::LyingDisk;
        let instance = &mut self.nodes[node];
        if instance.state.as_ref().is_none_or(|state| state.me.start != start) {
            return;
        }
        let Some(disk) = &mut instance.disk else { return };
        if disk.full {
            self.schedule(1000, Delivery::Saved(node, start, number));
            self.send_event(node, Event::DiskFull);
            return;
        }
        while disk.pending.first().is_some_and(|(held, _)| *held <= number) {
            let (_, save) = disk.pending.remove(0);
            apply_save(&mut disk.durable, save);
        }
        if !is_lying {
            disk.synced = disk.durable.clone();
        }
        self.send_event(node, Event::Saved { number });
    }

    /// Delivers an event to an instance; a paused one handles it after the pause.
    pub fn send_event(&mut self, node: usize, event: Event) {
        let now = self.now;
        let instance = &mut self.nodes[node];
        if now < instance.paused {
            instance.held.push(event);
            return;
        }
        let Some(state) = &mut instance.state else { return };
        let mut effects = Vec::new();
        let held = std::mem::take(&mut instance.held);
        for event in held.into_iter().chain([event]) {
            self.steps += 1;
            state.reduce(now, event, &mut effects);
        }
        let start = state.me.start;
        for effect in effects {
            self.perform(node, start, effect);
        }
    }

    fn perform(&mut self, node: usize, start: u64, effect: Effect) {
        let due = self.pending_fault.filter(|(step, _)| is_step(&effect, *step));
        self.carry_out(node, start, effect);
        if let Some((_, fault)) = due {
            self.pending_fault = None;
            self.fault_injected = true;
            self.inject(node, fault);
        }
    }

    /// Injects a fault; `node` is the actor.
    fn inject(&mut self, node: usize, fault: Fault) {
        let leader = self.leader().unwrap_or(0);
        let pause = self.now + Duration::from_secs(6);
        match fault {
            Fault::CrashActor => self.crash(node),
            Fault::CrashLeader => self.crash(leader),
            Fault::WipeLeader => self.wipe(leader),
            Fault::PauseActor => self.nodes[node].paused = pause,
            Fault::PauseLeader => self.nodes[leader].paused = pause,
            Fault::CutActor => drop(self.cut.insert(node)),
            Fault::CutLeader => drop(self.cut.insert(leader)),
            Fault::LoseMessages => self.loss = 1.0,
            Fault::FullDisks => {
                for disk in self.nodes.iter_mut().filter_map(|instance| instance.disk.as_mut()) {
                    disk.full = true;
                }
            }
            Fault::EndpointDown => self.set_endpoints(Behaviour::Down),
            Fault::EndpointSilent => self.set_endpoints(Behaviour::LosesAnswers),
            Fault::StopActor => self.send_event(node, Event::Stop),
            Fault::TwoAtOnce => {
                self.crash(leader);
                self.nodes[(node + 1) % 9].paused = pause;
            }
        }
    }

    fn set_endpoints(&mut self, behaviour: Behaviour) {
        for name in ENDPOINTS {
            self.behaviour.insert(name.to_owned(), behaviour);
        }
    }

    fn carry_out(&mut self, node: usize, start: u64, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(node, &to, message),
            Effect::Save { number, records } => self.queue_save(node, start, number, Save::Append(records)),
            Effect::SaveSnapshot { number, snapshot, records } => {
                self.queue_save(node, start, number, Save::Replace(snapshot, records));
            }
            Effect::Verdict { request, verdict } => self.on_verdict(node, request, verdict),
            Effect::Admin { ticket, answer } => self.record_change_answer(ticket, answer),
            Effect::Exit => {
                self.nodes[node].state = None;
                self.nodes[node].clean_exit = true;
            }
            Effect::Poll { .. }
            | Effect::Order { .. }
            | Effect::Call { .. }
            | Effect::Log(_)
            | Effect::NoteOrigins(_)
            | Effect::OriginFound { .. }
            | Effect::Documented { .. }
            | Effect::Evacuated { .. }
            | Effect::Permitted { .. }
            | Effect::Registered { .. } => {}
        }
    }

    fn queue_save(&mut self, node: usize, start: u64, number: u64, save: Save) {
        let delay = self.rng.random_range(1..8);
        if let Some(disk) = &mut self.nodes[node].disk {
            disk.pending.push((number, save));
        }
        self.schedule(delay, Delivery::Saved(node, start, number));
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: PeerMessage) {
        let Some(target) = self.nodes.iter().position(|instance| instance.name == *to) else { return };
        if self.cut.contains(&from) || self.cut.contains(&target) {
            return;
        }
        let message = self.tamper(target, message);
        let copies = if self.rng.random_bool(self.double) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.rng.random_range(1..=self.delay.max(1));
            let event = Event::Peer { from: self.nodes[from].name.clone(), message: message.clone() };
            self.schedule(delay, Delivery::Node(target, event));
        }
    }

    /// Implements [`Defect::OldAnswers`].
    fn tamper(&mut self, target: usize, message: PeerMessage) -> PeerMessage {
        let PeerMessage::WatchReply(watched) = &message else {
            return message;
        };
        if self.defect != Defect::OldAnswers {
            return message;
        }
        for later in 1..60 {
            let replayed = WatchReply { round: watched.round + later, ..(**watched).clone() };
            let message = PeerMessage::WatchReply(Box::new(replayed));
            let event = Event::Peer { from: self.nodes[0].name.clone(), message };
            self.schedule(400 * later + 30, Delivery::Node(target, event));
        }
        message
    }

    fn schedule(&mut self, millis: u64, delivery: Delivery) {
        self.count += 1;
        self.queue.insert((self.now + Duration::from_millis(millis), self.count), delivery);
    }

    fn on_verdict(&mut self, node: usize, request: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Dispatch(dispatch) => self.run(node, request, &dispatch.endpoint),
            Verdict::Refuse(refusal) => {
                self.record_answer(request);
                let call = self.calls.get_mut(&request).expect("known call");
                assert!(refusal.ran != Ran::No || call.runs == 0, "P4: {request:x} ran but was refused as not run");
                call.refused = Some(refusal.ran);
            }
            Verdict::Stored(stored) => {
                let key = self.calls[&request].key.clone().expect("stored answers are sent only to calls with a key");
                assert_eq!(stored.body, key.as_bytes(), "P3: the stored answer is another key's");
                assert_eq!(self.runs.get(&key), Some(&1), "P4: a stored answer of a key that never ran");
                self.record_answer(request);
            }
            Verdict::Release => self.record_answer(request),
            Verdict::Recall => {}
        }
    }

    fn record_answer(&mut self, request: RequestId) {
        let call = self.calls.get_mut(&request).expect("known call");
        call.answer_count += 1;
        assert_eq!(call.answer_count, 1, "P3: {request:x} was answered twice");
    }

    fn run(&mut self, node: usize, request: RequestId, endpoint: &str) {
        self.check_departed(endpoint);
        let behaviour = self.behaviour.get(endpoint).copied().unwrap_or(Behaviour::Good);
        let time = self.rng.random_range(5..300);
        let key = self.calls[&request].key.clone();
        if matches!(behaviour, Behaviour::Good | Behaviour::LosesAnswers) {
            self.calls.get_mut(&request).expect("known call").runs += 1;
            if let Some(key) = &key {
                let runs = self.runs.entry(key.clone()).or_default();
                *runs += 1;
                assert_eq!(*runs, 1, "P5: key {key} ran twice");
            }
        }
        let is_lying = self.defect == Defect::LyingFailure;
        let stored = key.map(|key| Stored { status: 200, content: String::new(), body: key.into_bytes() });
        let (first, total) = (Duration::from_millis(time), Duration::from_millis(time));
        let ended = match behaviour {
            Behaviour::Good => Ended::Done { tokens: 0, first, total, stored },
            Behaviour::Down => Ended::Failed { sent: false, refused: false, retry_after: None, produced: 0 },
            Behaviour::LosesAnswers => {
                Ended::Failed { sent: !is_lying, refused: false, retry_after: None, produced: 0 }
            }
            Behaviour::Refuses => Ended::Failed { sent: true, refused: true, retry_after: None, produced: 0 },
        };
        self.schedule(time, Delivery::Finish(node, request, ended));
    }

    /// P6: an endpoint receives no new work once its mark has been accepted for longer than the maximum proof age.
    fn check_departed(&self, endpoint: &str) {
        let Some(at) = self.departed.get(endpoint) else { return };
        assert!(
            self.now <= *at + FRESH + TICK,
            "P6: {endpoint} got new work {:?} after it left",
            self.now.saturating_sub(*at)
        );
    }

    /// P8: the configuration of a fresh instance is at most the maximum proof age old, and never goes back.
    fn check_views(&mut self) {
        for instance in &self.nodes {
            let Some(state) = &instance.state else { continue };
            let index = state.view.config.index;
            let seen = self.seen.entry((instance.name.clone(), state.me.start)).or_default();
            assert!(index >= *seen, "P8: {} went back from {seen} to {index}", instance.name);
            *seen = index;
            if self.now < instance.paused || !state.view.is_fresh(self.now, FRESH) {
                continue;
            }
            for ((kind, name), (number, at)) in &self.accepted {
                if self.now < *at + FRESH {
                    continue;
                }
                let held = state.view.config.get(*kind, name).map_or(0, |held| held.number);
                assert!(held >= *number, "P8: {} is fresh and holds {name} number {held}, not {number}", instance.name);
            }
        }
    }

    pub fn change(&mut self, node: usize, change: Change) {
        self.count += 1;
        self.sent.insert(self.count, change.clone());
        self.send_event(node, Event::Admin { ticket: self.count, change });
    }

    pub fn put(&mut self, node: usize, name: &str, object: Object) {
        let id = format!("change-{}", self.count);
        self.change(node, Change { id, kind: object.kind(), name: name.to_owned(), replaces: 0, object: Some(object) });
    }

    fn record_change_answer(&mut self, ticket: u64, answer: Option<Changed>) {
        let (Some(change), Some(answer)) = (self.sent.get(&ticket).cloned(), answer) else { return };
        let first = self.answers.entry(change.id.clone()).or_insert_with(|| answer.clone());
        assert_eq!(*first, answer, "P8: change {} was answered in two ways", change.id);
        let Changed::Accepted { number, .. } = answer else { return };
        let now = self.now;
        if matches!(&change.object, Some(Object::Endpoint(endpoint)) if endpoint.mark != Mark::None) {
            self.departed.entry(change.name.clone()).or_insert(now);
        }
        let held = self.accepted.entry((change.kind, change.name)).or_insert((number, now));
        if number > held.0 {
            *held = (number, now);
        }
    }

    /// Returns the answer to a change.
    pub fn answer_to(&self, id: &str) -> Option<&Changed> {
        self.answers.get(id)
    }

    pub fn call(&mut self, node: usize, key: Option<&str>) -> Option<RequestId> {
        let start = self.nodes[node].state.as_ref()?.me.start;
        self.count += 1;
        let request = id::request_id(start, self.count);
        let key = key.map(str::to_owned);
        self.calls.insert(request, CallRecord { key: key.clone(), node, ..CallRecord::default() });
        let digest = id::digest(key.as_deref().unwrap_or_default().as_bytes());
        let arrival = Arrival {
            request,
            bearer: id::hex(&id::digest(b"key")),
            class: Some(if key.is_some() { "claim".into() } else { "read".into() }),
            model: SERVICE.into(),
            key: key.map(|name| Key { name, digest }),
            prefix: 0,
            resumable: false,
            patience: None,
        };
        self.send_event(node, Event::Arrive(Box::new(arrival)));
        Some(request)
    }

    /// Ends all faults and starts all stopped instances.
    pub fn heal(&mut self) {
        (self.loss, self.double, self.delay) = (0.0, 0.0, 5);
        self.cut.clear();
        for name in ENDPOINTS {
            self.behaviour.insert(name.to_owned(), Behaviour::Good);
        }
        for node in 0..self.nodes.len() {
            self.nodes[node].paused = self.nodes[node].paused.min(self.now);
            if let Some(disk) = &mut self.nodes[node].disk {
                disk.full = false;
            }
            self.start(node);
        }
    }

    /// Returns the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|instance| {
            let control = instance.state.as_ref().and_then(|state| state.control.as_ref());
            control.is_some_and(|control| control.replica.leads(self.now))
        })
    }
}

impl Disk {
    fn new(id: u64) -> Disk {
        Disk { id, durable: Durable::default(), synced: Durable::default(), pending: Vec::new(), full: false }
    }
}

fn is_step(effect: &Effect, step: Step) -> bool {
    use rudder_ledger::Command;
    match effect {
        Effect::Send { message: PeerMessage::Propose { command, .. }, .. } => match command {
            Command::Finish { .. } => step == Step::Finishing,
            _ => step == Step::Proposed,
        },
        Effect::Save { .. } => step == Step::Saving,
        Effect::Send { message: PeerMessage::Proposed { .. }, .. } => step == Step::Answered,
        // The home of a pool sends no message to itself for these two.
        Effect::Log(What::Asked { .. }) => step == Step::Asked,
        Effect::Log(What::Granted { .. }) => step == Step::Granted,
        Effect::Verdict { verdict: Verdict::Dispatch(_), .. } => step == Step::Dispatched,
        Effect::Send { message: PeerMessage::WatchReply(watched), .. } => {
            step == Step::Distributed && !watched.deltas.is_empty()
        }
        _ => false,
    }
}

fn apply_save(durable: &mut Durable, save: Save) {
    let records = match save {
        Save::Append(records) => records,
        Save::Replace(snapshot, records) => {
            durable.replace(snapshot);
            records
        }
    };
    for record in records {
        durable.take(record);
    }
}

/// An endpoint of the fake deployment.
pub fn endpoint(number: usize, mark: Mark) -> Object {
    Object::Endpoint(Endpoint {
        hall: HALLS[number % 3].into(),
        address: format!("127.0.0.1:{}", 9000 + number),
        kind: EndpointKind::Service,
        serves: vec![SERVICE.into()],
        believed: true,
        mark,
        ..Endpoint::default()
    })
}

fn objects() -> Vec<(&'static str, Object)> {
    let class = |once| {
        Object::Class(Class {
            once,
            target: Duration::from_millis(500),
            patience: Duration::from_secs(5),
            ..Class::default()
        })
    };
    let keys = vec![id::hex(&id::digest(b"key"))];
    let mut all = vec![
        ("claim", class(true)),
        ("read", class(false)),
        ("org", Object::Organisation(Organisation { keys, ..Organisation::default() })),
        ("all", Object::Selector(Selector { classes: Match::default(), ..Selector::default() })),
    ];
    for (number, name) in ENDPOINTS.into_iter().enumerate() {
        all.push((name, endpoint(number, Mark::None)));
    }
    all
}
