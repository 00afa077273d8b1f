//! A simulated network of instances in virtual time: every message takes one millisecond, every save two. Instances can
//! be killed, wiped, paused, partitioned and restarted with other seeds; messages can be lost or delayed, and links can
//! have a rate.
#![allow(dead_code, reason = "each test uses a part")]

pub mod holders;
pub mod link;
pub mod processor;
pub mod receiver;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::{
    CallOutcome, DutyCall, Effect, Event, Listing, Me, Options, PeerMessage, Phase, Registration, State, WatchReply,
    WatchRequest,
    options::DutyOptions,
    origins::{Origin, StreamOrigin},
    permits::PermitAnswer,
    usage::StartedRequest,
};
use rudder_ledger::{Document, Releases};
use rudder_model::{InstanceId, id};
use rudder_replica::{Durable, Record, Snapshot};

use self::{link::Link, processor::Processor, receiver::Receiver};

/// Latency of a message.
const LINK: Duration = Duration::from_millis(1);
/// Latency of a save.
const SYNC: Duration = Duration::from_millis(2);
/// Interval between ticks.
const TICK: Duration = Duration::from_millis(50);

/// A save that is not durable yet.
struct Pending {
    number: u64,
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

/// An instance and the content of its disk.
pub struct Node {
    /// Its name.
    pub name: InstanceId,
    /// Its state while it is running.
    pub state: Option<State>,
    /// Its replica id and durable state, if it has a disk.
    pub disk: Option<(u64, Durable)>,
    /// The instances that it contacts first.
    pub seeds: Vec<InstanceId>,
    /// It is partitioned from all others.
    pub cut: bool,
    /// Its disk does not complete saves.
    pub stalled: bool,
    /// It is paused; incoming events are held.
    pub paused: bool,
    /// Its link to all others.
    pub link: Link,
    /// What it has noted beside its disk's durable state. A kill leaves it.
    pub notes: Vec<StreamOrigin>,
    /// Its processor.
    pub processor: Processor,
    held: Vec<Event>,
    starts: u64,
    saves: Vec<Pending>,
}

/// Something that is due at a given time.
enum Delivery {
    Message(usize, u64, InstanceId, Box<PeerMessage>),
    /// A call of a duty is about to be written to its connection.
    Call(usize, u64, u64, u64, Box<DutyCall>),
    Saved(usize, u64, u64),
    /// An instance has handled an event, with these effects.
    Handled(usize, u64, Vec<Effect>),
}

/// Number and size of messages sent by an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes, encoded as between real instances.
    pub bytes: u64,
}

/// A deliberate defect, which the checks must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// Relays claim that their proof is fresh.
    FreshRelayProofs,
    /// Instances make calls of duties without holding the lease.
    CallsWithoutLease,
    /// Instances count each request twice.
    DoubleCounts,
}

/// The composition of a mesh.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of halls.
    pub halls: usize,
    /// Number of instances.
    pub total: usize,
    /// Number of instances with a disk; these are the first ones.
    pub disks: usize,
    /// Number of voters.
    pub voters: usize,
    /// Duties that one instance holds for all.
    pub duties: DutyOptions,
    /// Rate in bytes per second of the links of instances with a disk, and of the others.
    pub rates: Option<(u64, u64)>,
    /// Share of a core of the instances with a disk, and of the others; `None` if events take no time.
    pub cores: Option<(f64, f64)>,
    /// Changes the options of an instance.
    pub tune: fn(Options) -> Options,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            halls: 3,
            total: 9,
            disks: 3,
            voters: 3,
            duties: DutyOptions::default(),
            rates: None,
            cores: None,
            tune: |options| options,
        }
    }
}

/// Sets the times of real instances.
pub fn with_real_times(options: Options) -> Options {
    Options {
        watch_interval: Duration::from_millis(100),
        liveness_timeout: Duration::from_millis(800),
        max_proof_age: Duration::from_millis(3500),
        replica: rudder_replica::Options {
            heartbeat: Duration::from_millis(75),
            election: Duration::from_millis(400),
            lease: Duration::from_millis(300),
            ..options.replica
        },
        ..options
    }
}

/// A simulated system of instances.
pub struct Mesh {
    /// The instances; the first ones have disks.
    pub nodes: Vec<Node>,
    /// Virtual time.
    pub now: Duration,
    /// Answers to documents by ticket.
    pub documented: BTreeMap<u64, Option<u64>>,
    /// Answers to evacuation orders by ticket.
    pub evacuated: BTreeMap<u64, bool>,
    /// Answers to heartbeats by ticket.
    pub registered: BTreeMap<u64, bool>,
    /// Answers to questions about the origin of a stream by ticket.
    pub origins: BTreeMap<u64, Origin>,
    /// Answers to permit requests by ticket.
    pub permitted: BTreeMap<u64, PermitAnswer>,
    /// Messages sent, by instance and kind.
    pub sent: BTreeMap<(usize, &'static str), Traffic>,
    /// Number of halls.
    pub halls: usize,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Maximum additional latency of a message.
    pub delay: Duration,
    /// Number of requests started at killed instances that may not be committed.
    pub unreported: u64,
    /// The receiver of the calls of duties.
    pub receiver: Receiver,
    /// Delays orders of full-price engines by 20 ms, so that other orders overtake them.
    pub reorder_calls: bool,
    /// A deliberate defect.
    pub defect: Defect,
    /// Numbers of the instances by name.
    numbers: HashMap<InstanceId, usize>,
    rng: Pcg32,
    layout: Layout,
    queue: BTreeMap<(Duration, u64), Delivery>,
    count: u64,
    ticked: Duration,
    /// Instances that start are told to found the log.
    pub founding: bool,
}

/// Returns the name of the instance with this number.
pub fn name(number: usize) -> InstanceId {
    InstanceId::from(format!("10.0.0.{number}:7000"))
}

/// A ready endpoint of the service `model` with eight slots and an address of its own.
pub fn registration(endpoint: &str, hall: &str) -> Registration {
    Registration {
        endpoint: endpoint.into(),
        born: None,
        service: "model".into(),
        address: endpoint.into(),
        hall: hall.into(),
        slots: 8,
        cheap: false,
        warming: false,
        standby: false,
        phase: Phase::Ready,
        sequence: 1,
        version: "".into(),
    }
}

/// A route as operators write it, with a name, a path and a service of its own.
pub fn route(rng: &mut Pcg32) -> String {
    let mut word = || format!("{:08x}", rng.random::<u32>());
    format!(
        "{{\"name\":\"r-{}\",\"host\":\"{}.example\",\"path_prefix\":\"/{}/\",\"route_type\":\"streaming\",\
         \"timeout_ms\":5000,\"target_latency_ms\":1200,\"priority\":2,\"service\":\"{}\",\"max_attempts\":2,\
         \"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,\"itl_target_ms\":400}}",
        word(),
        word(),
        word(),
        word()
    )
}

/// The watch request of an instance that holds nothing yet.
pub fn watch_request(name: &str, round: u64, start: u64) -> WatchRequest {
    let listing = Listing {
        name: name.into(),
        hall: "hall-0".into(),
        address: Some("caller".to_owned()),
        start,
        stopping: false,
        replica: None,
    };
    WatchRequest {
        round,
        listing,
        index: 0,
        directory: 0,
        document: 0,
        registry: 0,
        quarantine: 0,
        evacuations: 0,
        releases: 0,
        heartbeats: Vec::new(),
        loads: Some(Vec::new()),
        limits: Vec::new(),
        group: None,
        clock: Duration::ZERO,
        work: Vec::new(),
    }
}

impl Mesh {
    /// Sends a watch request to an instance and returns its reply.
    pub fn watch(&mut self, number: usize, request: WatchRequest) -> WatchReply {
        let from = request.listing.name.clone();
        let mut effects = Vec::new();
        let state = self.nodes[number].state.as_mut().expect("running instance");
        let message = PeerMessage::WatchRequest(Box::new(request));
        state.reduce(self.now, Event::Peer { from, message }, &mut effects);
        let reply = effects.into_iter().find_map(|effect| match effect {
            Effect::Send { message: PeerMessage::WatchReply(reply), .. } => Some(*reply),
            _ => None,
        });
        reply.expect("a watch reply")
    }

    /// Starts `total` instances, the first `disks` of them with a disk; up to three of these are the seeds.
    pub fn start(total: usize, disks: usize) -> Mesh {
        Mesh::start_in(3, total, disks)
    }

    /// The same with a given number of halls.
    pub fn start_in(halls: usize, total: usize, disks: usize) -> Mesh {
        Mesh::start_as(Layout { halls, total, disks, ..Layout::default() })
    }

    /// Starts the instances of a layout.
    pub fn start_as(layout: Layout) -> Mesh {
        let Layout { halls, total, disks, rates, cores, .. } = layout;
        let seeds: Vec<InstanceId> = (0..disks.min(3)).map(name).collect();
        let node = |number: usize| Node {
            name: name(number),
            state: None,
            disk: (number < disks).then(|| (1000 + number as u64, Durable::default())),
            seeds: seeds.clone(),
            cut: false,
            stalled: false,
            paused: false,
            link: Link::new(rates.map(|(disk, other)| if number < disks { disk } else { other })),
            notes: Vec::new(),
            processor: Processor::new(cores.map(|(disk, other)| if number < disks { disk } else { other })),
            held: Vec::new(),
            starts: 0,
            saves: Vec::new(),
        };
        let mut mesh = Mesh {
            nodes: (0..total).map(node).collect(),
            numbers: (0..total).map(|number| (name(number), number)).collect(),
            now: Duration::from_secs(1),
            documented: BTreeMap::new(),
            evacuated: BTreeMap::new(),
            registered: BTreeMap::new(),
            origins: BTreeMap::new(),
            permitted: BTreeMap::new(),
            sent: BTreeMap::new(),
            halls,
            loss: 0.0,
            delay: Duration::ZERO,
            unreported: 0,
            receiver: Receiver::default(),
            reorder_calls: false,
            defect: Defect::None,
            rng: Pcg32::seed_from_u64(1),
            layout,
            queue: BTreeMap::new(),
            count: 0,
            ticked: Duration::from_secs(1),
            founding: true,
        };
        for number in 0..total {
            mesh.boot(number);
        }
        mesh.founding = false;
        mesh
    }

    /// Starts a stopped instance with the content of its disk.
    pub fn boot(&mut self, number: usize) {
        let (now, founding) = (self.now, self.founding);
        let (voters, duties) = (self.layout.voters, self.layout.duties.clone());
        let node = &mut self.nodes[number];
        node.starts += 1;
        let me = Me {
            name: node.name.clone(),
            hall: format!("hall-{}", number % self.halls).as_str().into(),
            start: node.starts * 1000 + number as u64,
            address: Some(format!("caller-{number}")),
            epoch: Duration::from_secs(1_000_000),
        };
        let options = Options {
            seeds: node.seeds.clone(),
            founders: if founding { node.seeds.clone() } else { Vec::new() },
            watch_interval: Duration::from_millis(250),
            max_proof_age: Duration::from_millis(4500),
            liveness_timeout: Duration::from_millis(1500),
            duties,
            transfer_rate: node.link.rate.map_or(Options::default().transfer_rate, |rate| rate / 2),
            replica: rudder_replica::Options {
                replace: Duration::from_millis(1500),
                voters,
                // The replica mixes its id into the seed, so sequential seeds could collide.
                seed: rudder_model::id::rendezvous("seed", &node.name) ^ node.starts,
                ..rudder_replica::Options::default()
            },
            ..Options::default()
        };
        if let Some((_, durable)) = &mut node.disk
            && let Some(record) = durable.to_founding(&options.founders)
        {
            durable.take(record);
        }
        node.state = Some(State::new(now, me, (self.layout.tune)(options), node.disk.clone()));
        let noted = Event::OriginsNoted(node.notes.clone());
        self.send_event(number, noted);
    }

    /// Seeds the random faults of the network.
    pub fn seed(&mut self, seed: u64) {
        self.rng = Pcg32::seed_from_u64(seed);
    }

    /// Kills an instance; pending saves are lost.
    pub fn kill(&mut self, number: usize) {
        self.unreported += self.nodes[number].state.take().map_or(0, |state| state.unreported_requests());
        self.nodes[number].paused = false;
        self.nodes[number].held.clear();
        self.nodes[number].saves.clear();
        self.nodes[number].processor.clear();
    }

    /// Empties the disk of a stopped instance.
    pub fn wipe(&mut self, number: usize) {
        let fresh = 5000 + self.count;
        self.nodes[number].disk = Some((fresh, Durable::default()));
    }

    /// Resumes a paused instance, which handles all held events.
    pub fn wake(&mut self, number: usize) {
        self.nodes[number].paused = false;
        for event in std::mem::take(&mut self.nodes[number].held) {
            self.send_event(number, event);
        }
    }

    /// Delivers an event to an instance.
    pub fn send_event(&mut self, number: usize, event: Event) {
        if self.nodes[number].paused {
            if !matches!(event, Event::Tick) {
                self.nodes[number].held.push(event);
            }
            return;
        }
        if self.nodes[number].state.is_none() {
            return;
        }
        self.nodes[number].processor.queue(event);
        self.handle_next(number);
    }

    /// Handles the events that wait at an instance, until its processor is busy.
    fn handle_next(&mut self, number: usize) {
        loop {
            let node = &mut self.nodes[number];
            let Some(state) = &mut node.state else { return };
            let Some(event) = node.processor.begin() else { return };
            let mut effects = Vec::new();
            let received = processor::cost_of_event(&event);
            state.reduce(self.now, event, &mut effects);
            let Some(time) = node.processor.time(received, &effects) else {
                for effect in effects {
                    self.carry_out(number, effect);
                }
                continue;
            };
            node.processor.busy = true;
            let starts = node.starts;
            self.schedule(time, Delivery::Handled(number, starts, effects));
            return;
        }
    }

    /// Carries out the effects of an event whose time is over.
    fn finish_event(&mut self, number: usize, starts: u64, effects: Vec<Effect>) {
        if self.nodes[number].starts != starts || self.nodes[number].state.is_none() {
            return;
        }
        self.nodes[number].processor.busy = false;
        for effect in effects {
            self.carry_out(number, effect);
        }
        self.handle_next(number);
    }

    /// Starts a request of `org` at an instance.
    pub fn begin_request(&mut self, number: usize, org: &str) {
        let count = if self.defect == Defect::DoubleCounts { 2 } else { 1 };
        let begun = StartedRequest { org: org.into(), at: self.now };
        self.send_event(number, Event::RequestsStarted(vec![begun; count]));
    }

    /// Returns whether an instance may write a call of its duty now.
    fn may_call(&self, number: usize) -> bool {
        let control = self.nodes[number].state.as_ref().and_then(|state| state.control.as_ref());
        control.is_some_and(|control| {
            control.duty_until(self.now, self.layout.duties.handover).is_some_and(|until| self.now < until)
        })
    }

    /// Advances time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let next_tick = self.ticked + TICK;
            let due = self.queue.first_key_value().map(|((at, _), _)| *at);
            if let Some(at) = due.filter(|at| *at <= next_tick.min(end)) {
                self.now = self.now.max(at);
                if let Some((_, delivery)) = self.queue.pop_first() {
                    self.deliver(delivery);
                }
                continue;
            }
            self.now = next_tick.min(end);
            if self.now == next_tick {
                self.ticked = next_tick;
                for number in 0..self.nodes.len() {
                    self.send_event(number, Event::Tick);
                }
            }
        }
    }

    /// Submits a document to an instance.
    pub fn put(&mut self, number: usize, ticket: u64, version: u64, body: &str) {
        let document = Document::new(version, body.as_bytes().to_vec());
        self.send_event(number, Event::PutDocument { ticket, document });
    }

    /// Returns the version of the document in force at an instance.
    pub fn version_at(&self, number: usize) -> u64 {
        let document = self.nodes[number].state.as_ref().and_then(|state| state.view.document.as_ref());
        document.map_or(0, |document| document.version)
    }

    /// Returns whether the configuration at an instance is proved to be at most `bound` old.
    pub fn is_fresh(&self, number: usize, bound: Duration) -> bool {
        self.nodes[number].state.as_ref().is_some_and(|state| state.view.is_fresh(self.now, bound))
    }

    /// Returns the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| {
            let control = node.state.as_ref().and_then(|state| state.control.as_ref());
            control.is_some_and(|control| control.replica.leads(self.now))
        })
    }

    /// Kills all instances and starts them again.
    pub fn restart_all(&mut self) {
        for number in 0..self.nodes.len() {
            self.kill(number);
        }
        for number in 0..self.nodes.len() {
            self.boot(number);
        }
    }

    /// Sends a heartbeat of `endpoint` to an instance.
    pub fn heartbeat(&mut self, number: usize, ticket: u64, endpoint: &str, phase: Phase, sequence: u64) {
        self.heartbeat_from(number, ticket, (endpoint, endpoint), phase, sequence);
    }

    /// Sends a heartbeat of an endpoint with a given address to an instance.
    pub fn heartbeat_from(
        &mut self,
        number: usize,
        ticket: u64,
        (endpoint, address): (&str, &str),
        phase: Phase,
        sequence: u64,
    ) {
        let registration =
            Registration { phase, sequence, address: address.into(), ..registration(endpoint, "hall-0") };
        self.send_event(number, Event::Register { ticket, registration });
    }

    /// Sends a heartbeat of the life of endpoint "e-1" that began at `born`, with an address of its own.
    pub fn life_beat(&mut self, number: usize, born: u64, phase: Phase, sequence: u64) {
        let life = id::life_id("e-1", Some(born));
        let address = format!("at-{born}").into();
        let registration = Registration { born: Some(born), address, phase, sequence, ..registration(&life, "hall-0") };
        self.send_event(number, Event::Register { ticket: 900 + sequence, registration });
    }

    /// Sends a heartbeat of an endpoint with software of `version` to an instance.
    pub fn version_beat(&mut self, number: usize, endpoint: &str, version: &str, sequence: u64) {
        let registration = Registration { version: version.into(), sequence, ..registration(endpoint, "hall-0") };
        self.send_event(number, Event::Register { ticket: 0, registration });
    }

    /// Sends a heartbeat of the life of endpoint "e-1" that began at `born`, with software of `version`.
    pub fn upgraded_beat(&mut self, number: usize, born: u64, version: &str, sequence: u64) {
        let life = id::life_id("e-1", Some(born));
        let registration = Registration {
            born: Some(born),
            version: version.into(),
            address: "at-e-1".into(),
            sequence,
            ..registration(&life, "hall-0")
        };
        self.send_event(number, Event::Register { ticket: 0, registration });
    }

    /// Returns the versions in service as an instance holds them.
    pub fn releases_at(&self, number: usize) -> Option<&Releases> {
        self.nodes[number].state.as_ref().map(|state| &*state.view.releases)
    }

    /// Returns the messages of one kind sent by an instance.
    pub fn sent_by(&self, number: usize, kind: &'static str) -> Traffic {
        self.sent.get(&(number, kind)).copied().unwrap_or_default()
    }

    /// Returns the phase of `endpoint` as known at an instance.
    pub fn phase_at(&self, number: usize, endpoint: &str) -> Option<Phase> {
        let state = self.nodes[number].state.as_ref()?;
        state.view.registry.iter().find(|held| *held.endpoint == *endpoint).map(|held| held.phase)
    }

    /// Returns the relays of an instance.
    pub fn relays_at(&self, number: usize) -> Vec<InstanceId> {
        self.nodes[number].state.as_ref().map(|state| state.view.relays().to_vec()).unwrap_or_default()
    }

    /// Returns the number of the instance called `name`.
    pub fn number_of(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), delivery);
    }

    fn carry_out(&mut self, number: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let bytes = rmp_serde::to_vec(&message).expect("messages are serializable").len();
                let sent = self.sent.entry((number, message.kind())).or_default();
                sent.messages += 1;
                sent.bytes += bytes as u64;
                let target = self.numbers.get(&to).copied();
                let Some(target) = target.filter(|_| !self.nodes[number].cut) else { return };
                if target != number && self.rng.random_bool(self.loss) {
                    return;
                }
                let extra = self.rng.random_range(Duration::ZERO..=self.delay);
                let mut arrival = self.now + LINK;
                if target != number {
                    let Some(left) = self.nodes[number].link.send(self.now, bytes) else { return };
                    arrival = self.nodes[target].link.receive(left + LINK, bytes);
                }
                let (starts, from) = (self.nodes[target].starts, self.nodes[number].name.clone());
                let message = self.tamper(message);
                let after = arrival.saturating_sub(self.now) + extra;
                self.schedule(after, Delivery::Message(target, starts, from, Box::new(message)));
            }
            Effect::Save { number: save, records } => {
                self.save(number, Pending { number: save, snapshot: None, records });
            }
            Effect::SaveSnapshot { number: save, snapshot, records } => {
                self.save(number, Pending { number: save, snapshot: Some(snapshot), records });
            }
            Effect::Call { ticket, fence, call, .. } => {
                let starts = self.nodes[number].starts;
                let slow = self.reorder_calls && matches!(call, DutyCall::Scale { cheap: false, .. });
                let after = if slow { LINK + Duration::from_millis(20) } else { LINK };
                self.schedule(after, Delivery::Call(number, starts, ticket, fence, Box::new(call)));
            }
            Effect::Documented { ticket, version } => drop(self.documented.insert(ticket, version)),
            Effect::Evacuated { ticket, decided } => drop(self.evacuated.insert(ticket, decided)),
            Effect::Registered { ticket, accepted } => drop(self.registered.insert(ticket, accepted)),
            Effect::NoteOrigins(origins) => self.nodes[number].notes.extend(origins),
            Effect::OriginFound { ticket, origin, .. } => drop(self.origins.insert(ticket, origin)),
            Effect::Permitted { ticket, answer } => drop(self.permitted.insert(ticket, answer)),
            _ => {}
        }
    }

    /// Applies the defect to a message.
    fn tamper(&self, message: PeerMessage) -> PeerMessage {
        match message {
            PeerMessage::WatchReply(reply) if self.defect == Defect::FreshRelayProofs => {
                PeerMessage::WatchReply(Box::new(WatchReply { age: Duration::ZERO, ..*reply }))
            }
            message => message,
        }
    }

    fn save(&mut self, number: usize, pending: Pending) {
        let (starts, save) = (self.nodes[number].starts, pending.number);
        self.nodes[number].saves.push(pending);
        if !self.nodes[number].stalled {
            self.schedule(SYNC, Delivery::Saved(number, starts, save));
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Message(target, starts, from, message) => {
                let node = &self.nodes[target];
                if node.starts == starts && !node.cut {
                    self.send_event(target, Event::Peer { from, message: *message });
                }
            }
            Delivery::Saved(number, starts, save) => self.finish_saves(number, starts, save),
            Delivery::Handled(number, starts, effects) => self.finish_event(number, starts, effects),
            Delivery::Call(number, starts, ticket, fence, call) => self.call(number, starts, ticket, fence, *call),
        }
    }

    /// Writes a call if the lease is still valid and reports its outcome.
    fn call(&mut self, number: usize, starts: u64, ticket: u64, fence: u64, call: DutyCall) {
        let node = &self.nodes[number];
        if node.starts != starts || node.state.is_none() {
            return;
        }
        if node.paused {
            // The call is written after the pause.
            self.schedule(TICK, Delivery::Call(number, starts, ticket, fence, Box::new(call)));
            return;
        }
        let outcome = if self.defect == Defect::CallsWithoutLease || self.may_call(number) {
            let reached = !node.cut;
            self.receiver.handle_call(self.now, number, fence, call, reached)
        } else {
            CallOutcome::Lapsed
        };
        self.send_event(number, Event::CallEnded { ticket, outcome });
    }

    fn finish_saves(&mut self, number: usize, starts: u64, save: u64) {
        let node = &mut self.nodes[number];
        if node.starts != starts || node.state.is_none() {
            return;
        }
        let Some(at) = node.saves.iter().position(|held| held.number == save) else { return };
        let done: Vec<Pending> = node.saves.drain(..=at).collect();
        if let Some((_, durable)) = &mut node.disk {
            for pending in done {
                write(durable, pending);
            }
        }
        self.send_event(number, Event::Saved { number: save });
    }
}

fn write(durable: &mut Durable, pending: Pending) {
    if let Some(snapshot) = pending.snapshot {
        durable.replace(snapshot);
    }
    for record in pending.records {
        durable.take(record);
    }
}
