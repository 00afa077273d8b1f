//! Shared state at an instance with a disk: replica, state machine, and the leader's duties.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_events::What;
use rudder_ledger::{Answer, Command, Ledger, Stamped};
use rudder_model::{InstanceId, Start, id};
use rudder_replica::{Durable, Entry, Envelope, Members, Output, Payload, Replica, ReplicaId, Role, Spare};

use crate::{
    Effect, Group, Listing, Me, Options, PeerMessage, Watch,
    clock::Clock,
    founding::Founding,
    hall_tags::HallTags,
    limits::Limits,
    registry::{Change, Registration, Registry},
    tree::Directory,
    view::View,
    watchers::{Source, Watchers},
};

/// Time between announcements of a leader to seeds that it has not heard.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(400);
/// Where relays stand between, a new leader gives instances this much longer to be heard of: relays have to find it and
/// to name those who ask them.
const LEAD_GRACE: Duration = Duration::from_secs(1);

/// Time between two looks through all endpoints, of which there may be thousands: far less than the seconds after which one is
/// silent.
const LOOK: Duration = Duration::from_millis(200);
/// Who waits for a proposal to be applied.
#[derive(Clone, Debug)]
struct Proposer {
    name: InstanceId,
    start: Start,
    ticket: u64,
    term: u64,
}

/// Shared state at an instance with a disk.
#[derive(Debug)]
pub struct Control {
    /// The replicated log.
    pub replica: Replica,
    /// The state machine, applied up to what is committed here.
    pub ledger: Ledger,
    name: InstanceId,
    waiting: BTreeMap<u64, Proposer>,
    /// Live instances, at the leader.
    directory: Directory,
    /// When each of them was last heard of.
    live: BTreeMap<InstanceId, Duration>,
    led_since: Option<Duration>,
    founding: Founding,
    registry: Registry,
    watchers: Watchers,
    /// Endpoints that the instances of each hall are told of.
    tags: HallTags,
    /// When all endpoints were looked through last.
    looked: Option<Duration>,
    unsnapped: u64,
    announced: Option<Duration>,
}

impl Control {
    /// Shared state as the data folder held it.
    ///
    /// # Panics
    /// When the snapshot, whose checksum was right, cannot be decoded: another version wrote it.
    pub fn new(id: ReplicaId, me: &Me, options: &Options, durable: Durable, now: Duration) -> Control {
        let data = &durable.snapshot.data;
        let ledger = if data.is_empty() {
            Ledger::default()
        } else {
            Ledger::try_from_bytes(data).expect("the snapshot was written by this version")
        };
        Control {
            replica: Replica::new(id, me.name.clone(), options.replica.clone(), durable, now),
            ledger,
            name: me.name.clone(),
            waiting: BTreeMap::new(),
            directory: Directory::default(),
            live: BTreeMap::new(),
            led_since: None,
            founding: Founding::default(),
            registry: Registry::default(),
            watchers: Watchers::default(),
            tags: HallTags::default(),
            looked: None,
            unsnapped: 0,
            announced: None,
        }
    }

    /// Since when this instance leads without a break, if it holds its lease.
    pub fn leads_since(&self, now: Duration) -> Option<Duration> {
        self.led_since.filter(|_| self.replica.leads(now))
    }

    /// The term in which this instance holds duties: it leads, with its lease, and `handover` has passed since it began.
    pub fn duty_term(&self, now: Duration, handover: Duration) -> Option<u64> {
        let since = self.leads_since(now)?;
        let handover = if self.founding.is_first(self.replica.term()) { Duration::ZERO } else { handover };
        (now >= since + handover).then(|| self.replica.term())
    }

    /// Until when duties may be carried out without a further look; `None` where they are not held.
    pub fn duty_until(&self, now: Duration, handover: Duration) -> Option<Duration> {
        self.duty_term(now, handover).map(|_| self.replica.lease_end())
    }

    /// Live instances, as the leader lists them.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Advances time: elections, heartbeats, founding, the directory, repair, snapshots.
    pub(crate) fn tick(&mut self, now: Duration, me: &Me, view: &View, options: &Options, out: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.replica.tick(now, &mut outputs);
        self.found(now, me, options, &mut outputs, out);
        self.note_role(now, view, options, out);
        if self.replica.leads(now) {
            self.prune(now, options);
            self.watchers.tick(now, out);
            self.announce(now, view, out);
            let spares = self.to_spares();
            self.replica.repair(now, &spares, &mut outputs);
        }
        self.take(now, outputs, options, out);
    }

    /// Handles a message of another replica.
    pub(crate) fn on_replica(&mut self, now: Duration, envelope: Envelope, options: &Options, out: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.replica.receive(now, envelope, &mut outputs);
        self.take(now, outputs, options, out);
    }

    pub(crate) fn on_saved(&mut self, now: Duration, number: u64, options: &Options, out: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.replica.on_saved(now, number, &mut outputs);
        self.take(now, outputs, options, out);
    }

    /// Appends a proposal, or says who leads.
    pub(crate) fn on_propose(
        &mut self,
        now: Duration,
        me: &Me,
        from: InstanceId,
        proposal: (u64, Start, Command),
        options: &Options,
        out: &mut Vec<Effect>,
    ) {
        let (ticket, start, command) = proposal;
        let stamped = Stamped { time: me.epoch + now, proposer: from.clone(), command };
        let mut outputs = Vec::new();
        let Some(index) = self.propose(now, &stamped, &mut outputs) else {
            self.send_elsewhere(from, out);
            return;
        };
        let term = self.replica.term();
        self.waiting.insert(index, Proposer { name: from, start, ticket, term });
        self.take(now, outputs, options, out);
    }

    /// Appends a command of the leader's own; whether it was applied is seen in the ledger. Returns its place in the log,
    /// or `None` where this instance does not lead.
    pub(crate) fn append(
        &mut self,
        now: Duration,
        me: &Me,
        command: Command,
        options: &Options,
        out: &mut Vec<Effect>,
    ) -> Option<u64> {
        let stamped = Stamped { time: me.epoch + now, proposer: me.name.clone(), command };
        let mut outputs = Vec::new();
        let index = self.propose(now, &stamped, &mut outputs);
        self.take(now, outputs, options, out);
        index
    }

    fn propose(&mut self, now: Duration, stamped: &Stamped, outputs: &mut Vec<Output>) -> Option<u64> {
        let bytes = rmp_serde::to_vec(stamped).expect("commands hold only plain data");
        self.replica.propose(now, bytes, outputs)
    }

    /// Answers a question, if the lease allows to.
    pub(crate) fn on_watch(
        &mut self,
        now: Duration,
        from: InstanceId,
        mut watch: Watch,
        (clock, limits): (&mut Clock, &Limits),
        out: &mut Vec<Effect>,
    ) {
        if !self.replica.leads(now) {
            self.send_elsewhere(from, out);
            return;
        }
        // The leader's own reading is part of its median already.
        if from != self.name {
            clock.note(now, &from, watch.clock);
        }
        self.watchers.note(now, &watch.listing);
        self.list(now, &watch.listing);
        let group = self.list_group(now, &from, watch.group.as_ref());
        self.hear(now, &from, &std::mem::take(&mut watch.heard), out);
        let scope = self.registry.scope_for(&watch.listing.hall);
        let tags = scope.as_ref().map(|scope| self.tags.of(now, &watch.listing.hall, scope, &self.registry));
        let source = Source {
            leader: &self.name,
            age: Duration::ZERO,
            config: &self.ledger.config,
            directory: &self.directory,
            document: self.ledger.document.as_ref(),
            registry: &self.registry,
            scope,
            whole: watch.listing.replica.is_some(),
            tags,
            quarantine: &self.ledger.quarantine,
            evacuations: &self.ledger.evacuations,
            others: &[],
            limits,
            time: clock.agreed(now),
        };
        let watched = self.watchers.answer(now, watch, group, source);
        out.push(Effect::Send { to: from, message: PeerMessage::Watched(Box::new(watched)) });
    }

    /// Records heartbeats that an instance heard; that an endpoint takes no more work is spread at once.
    fn hear(&mut self, now: Duration, from: &InstanceId, heard: &[Registration], out: &mut Vec<Effect>) {
        let mut left = false;
        for registration in heard {
            left |= self.registry.record_heartbeat_as_leader(now, registration) == Change::Leave;
        }
        if left {
            self.watchers.notify(now, Some(from), out);
        }
    }

    /// Records what another founder says, and answers it.
    pub(crate) fn on_founding(
        &mut self,
        from: InstanceId,
        replica: ReplicaId,
        members: Option<&Members>,
        ask: bool,
        out: &mut Vec<Effect>,
    ) {
        self.founding.note(from.clone(), replica, members.is_some());
        if !ask {
            return;
        }
        let members = self.is_founded().then(|| self.replica.members().clone());
        let message = PeerMessage::Founding { replica: self.replica.id(), members, ask: false };
        out.push(Effect::Send { to: from, message });
    }

    /// The leader tells the instances it starts from of itself while they are not among the live: seeds
    /// may have been exchanged for instances that know no voter, and those are whom the others ask.
    fn announce(&mut self, now: Duration, view: &View, out: &mut Vec<Effect>) {
        if self.announced.is_some_and(|announced| now < announced + ANNOUNCE_PERIOD) {
            return;
        }
        self.announced = Some(now);
        for seed in view.seeds().iter().filter(|seed| !self.live.contains_key(*seed)) {
            let message = PeerMessage::Elsewhere { leader: Some(self.name.clone()) };
            out.push(Effect::Send { to: seed.clone(), message });
        }
    }

    fn send_elsewhere(&self, to: InstanceId, out: &mut Vec<Effect>) {
        // A leader without its lease must not send askers back to itself.
        let leader = self.replica.leader().filter(|name| **name != self.name).cloned();
        out.push(Effect::Send { to, message: PeerMessage::Elsewhere { leader } });
    }

    fn is_founded(&self) -> bool {
        self.replica.last_index() > 0
    }

    /// Begins the log where this instance is to.
    fn found(&mut self, now: Duration, me: &Me, options: &Options, outputs: &mut Vec<Output>, out: &mut Vec<Effect>) {
        if self.is_founded() {
            return;
        }
        let Some(members) = self.founding.tick(now, me, options, self.replica.id(), out) else { return };
        let data = Ledger::default().try_to_bytes().expect("an empty state can be encoded");
        self.replica.found(members, data, outputs);
        self.founding.note_started(self.replica.term());
    }

    /// Takes up the role that the replica has now. Must come before anything is answered in it: a leader that takes its
    /// directory and registry from its view only afterwards forgets what it has confirmed meanwhile.
    pub(crate) fn note_role(&mut self, now: Duration, view: &View, options: &Options, out: &mut Vec<Effect>) {
        let leads = self.replica.role() == Role::Leader;
        if leads == self.led_since.is_some() {
            return;
        }
        self.led_since = leads.then_some(now);
        self.waiting.clear();
        out.push(Effect::Log(What::Leads { leads, term: self.replica.term() }));
        if leads {
            // A new leader starts from the directory it last saw, so that none is taken off for its sake.
            self.directory = view.directory.clone();
            self.directory.begin_term(self.replica.term());
            let relayed = options.tree.has_relays(&self.directory);
            let heard = if relayed { now + LEAD_GRACE } else { now };
            self.live = self.directory.keys().map(|name| (name.clone(), heard)).collect();
            self.registry = view.registry.clone();
            self.registry.begin_term(now, self.replica.term());
            self.watchers.clear();
        }
    }

    fn list(&mut self, now: Duration, listing: &Listing) {
        note_live(&mut self.live, &mut self.directory, now, listing);
    }

    /// Lists those who ask a relay. Returns the version of them that is held here.
    fn list_group(&mut self, now: Duration, relay: &InstanceId, group: Option<&Group>) -> u64 {
        let Some((version, members)) = self.watchers.note_group(relay, group) else { return 0 };
        for member in members {
            note_live(&mut self.live, &mut self.directory, now, member);
        }
        *version
    }

    fn prune(&mut self, now: Duration, options: &Options) {
        if self.looked.is_none_or(|looked| now >= looked + LOOK) {
            self.looked = Some(now);
            self.registry.expire(now);
            let watchers = &self.watchers;
            self.registry.update_subsets(|held| watchers.calls_at(id::endpoint_tag(&held.endpoint)));
        }
        self.watchers.age(now, options.liveness_timeout);
        let gone = |seen: Duration| now >= seen + options.liveness_timeout;
        let names = self.live.iter().filter(|(_, seen)| gone(**seen)).map(|(name, _)| name.clone());
        let names: Vec<InstanceId> = names.collect();
        for name in names {
            self.live.remove(&name);
            self.directory.remove(&name);
        }
    }

    fn to_spares(&self) -> Vec<Spare> {
        let listings = self.directory.values().filter(|listing| !listing.stopping);
        let spare = |listing: &Listing| {
            Some(Spare { id: listing.replica?, name: listing.name.clone(), hall: listing.hall.clone() })
        };
        listings.filter_map(spare).collect()
    }

    /// Turns a replica's outputs into effects, applying what is committed.
    fn take(&mut self, now: Duration, outputs: Vec<Output>, options: &Options, out: &mut Vec<Effect>) {
        for output in outputs {
            match output {
                Output::Save { number, records } => out.push(Effect::Save { number, records }),
                Output::SaveSnapshot { number, snapshot, records } => {
                    out.push(Effect::SaveSnapshot { number, snapshot, records });
                }
                Output::Send { to, envelope } => {
                    out.push(Effect::Send { to, message: PeerMessage::Replica(envelope) });
                }
                Output::Apply(entry) => self.apply(now, entry, out),
                Output::Restore(snapshot) => {
                    self.ledger = Ledger::try_from_bytes(&snapshot.data).expect("the leader runs this version");
                    self.waiting.clear();
                }
            }
        }
        self.compact(options, out);
    }

    fn apply(&mut self, now: Duration, entry: Entry, out: &mut Vec<Effect>) {
        let answer = match entry.payload {
            Payload::Noop => None,
            Payload::Members(members) => {
                log_members(&members, out);
                None
            }
            Payload::Command(bytes) => {
                self.unsnapped += bytes.len() as u64;
                let stamped: Stamped = rmp_serde::from_slice(&bytes).expect("the leader runs this version");
                let configures = matches!(stamped.command, Command::Change(_) | Command::Document(_));
                let answer = self.ledger.apply(entry.index, stamped);
                let tells = configures || matches!(answer, Answer::Found(true) | Answer::Evacuated(true));
                if tells && self.led_since.is_some() {
                    self.watchers.notify(now, None, out);
                }
                Some(answer)
            }
        };
        let Some(proposer) = self.waiting.remove(&entry.index) else { return };
        // Another leader's entry may stand where ours was.
        if let Some(answer) = answer.filter(|_| proposer.term == entry.term) {
            send_answer(proposer, answer, out);
        }
    }

    fn compact(&mut self, options: &Options, out: &mut Vec<Effect>) {
        let many = self.ledger.index >= self.replica.snapshot_index() + options.snapshot_every;
        if !many && self.unsnapped < options.snapshot_bytes {
            return;
        }
        self.unsnapped = 0;
        let data = self.ledger.try_to_bytes().expect("the state holds only plain data");
        let mut outputs = Vec::new();
        self.replica.compact(data, &mut outputs);
        for output in outputs {
            if let Output::SaveSnapshot { number, snapshot, records } = output {
                out.push(Effect::SaveSnapshot { number, snapshot, records });
            }
        }
    }
}

/// Records that an instance lives. Most are heard of many times a second and seldom change.
fn note_live(live: &mut BTreeMap<InstanceId, Duration>, directory: &mut Directory, now: Duration, listing: &Listing) {
    match live.get_mut(&listing.name) {
        Some(seen) => *seen = now.max(*seen),
        None => drop(live.insert(listing.name.clone(), now)),
    }
    if directory.get(&listing.name) != Some(listing) {
        directory.set(listing.name.clone(), listing.clone());
    }
}

fn send_answer(proposer: Proposer, answer: Answer, out: &mut Vec<Effect>) {
    let message = PeerMessage::Proposed { ticket: proposer.ticket, start: proposer.start, answer };
    out.push(Effect::Send { to: proposer.name, message });
}

fn log_members(members: &Members, out: &mut Vec<Effect>) {
    let names = |voter: bool| {
        let chosen = members.values().filter(|member| member.voter == voter);
        let names: BTreeSet<InstanceId> = chosen.map(|member| member.name.clone()).collect();
        names.into_iter().collect()
    };
    out.push(Effect::Log(What::Voters { voters: names(true), learners: names(false) }));
}
