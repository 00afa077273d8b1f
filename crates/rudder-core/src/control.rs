//! Replicated state at an instance with a disk: the replica, the state machine and the tasks of the leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_events::What;
use rudder_ledger::{Answer, Command, Departure, Ledger, Stamped};
use rudder_model::{EndpointId, InstanceId, Start, id};
use rudder_replica::{Durable, Entry, Envelope, Members, Output, Payload, Replica, ReplicaId, Role, Spare};

use crate::{
    Effect, Listing, Me, Options, PeerMessage, RelayGroup, WatchRequest,
    departures::{Batch, DepartureQueue},
    founding::Founding,
    hall_tags::HallTags,
    joining::{Admission, Joining},
    registry::{Change, Phase, Registration, Registry},
    releases::{Leadership, ReleaseTracker},
    tree::Directory,
    view::View,
    watchers::{Source, Watchers},
};

/// Interval between announcements of a leader to seeds that are not live.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);
/// Additional time that a new leader allows for instances to be reported by relays, which first have to find it.
const RELAY_GRACE: Duration = Duration::from_secs(1);

/// Interval between scans of the registry; must be well below the silence timeout of endpoints.
const REGISTRY_SCAN_INTERVAL: Duration = Duration::from_millis(200);

/// A proposal whose proposer waits for it to be applied.
#[derive(Clone, Debug)]
pub(crate) struct PendingProposal {
    name: InstanceId,
    start: Start,
    ticket: u64,
    term: u64,
}

/// Replicated state at an instance with a disk.
#[derive(Debug)]
pub struct Control {
    /// The replicated log.
    pub replica: Replica,
    /// The state machine, with all locally committed entries applied.
    pub ledger: Ledger,
    name: InstanceId,
    /// Proposals that wait to be applied, by log index.
    pending: BTreeMap<u64, Vec<PendingProposal>>,
    departures: DepartureQueue,
    releases: ReleaseTracker,
    /// Live instances; maintained by the leader.
    directory: Directory,
    /// Time of the last sign of life of each of them.
    last_seen: BTreeMap<InstanceId, Duration>,
    /// Start of the current leadership.
    leader_since: Option<Duration>,
    founding: Founding,
    registry: Registry,
    watchers: Watchers,
    joining: Joining,
    /// Tags of the endpoints reported to the instances of each hall.
    tags: HallTags,
    /// Time of the last registry scan.
    scanned_at: Option<Duration>,
    /// Bytes of commands applied since the last snapshot.
    bytes_since_snapshot: u64,
    announced_at: Option<Duration>,
}

impl Control {
    /// Restores the state from the content of the data folder.
    ///
    /// # Panics
    /// Panics if the snapshot cannot be decoded although its checksum is correct, because another version wrote it.
    pub fn new(id: ReplicaId, me: &Me, options: &Options, durable: Durable, now: Duration) -> Control {
        let data = &durable.snapshot.data;
        let ledger = if data.is_empty() {
            Ledger::default()
        } else {
            Ledger::try_from_bytes(data).expect("snapshot in the format of this version")
        };
        let founding = Founding::new(options, &durable);
        Control {
            replica: Replica::new(id, me.name.clone(), options.replica.clone(), durable, now),
            ledger,
            name: me.name.clone(),
            pending: BTreeMap::new(),
            departures: DepartureQueue::default(),
            releases: ReleaseTracker::default(),
            directory: Directory::default(),
            last_seen: BTreeMap::new(),
            leader_since: None,
            founding,
            registry: Registry::default(),
            watchers: Watchers::new(options.transfer_rate),
            joining: Joining::default(),
            tags: HallTags::default(),
            scanned_at: None,
            bytes_since_snapshot: 0,
            announced_at: None,
        }
    }

    /// Returns the start of the current leadership, if the lease is held.
    pub fn leads_since(&self, now: Duration) -> Option<Duration> {
        self.leader_since.filter(|_| self.replica.leads(now))
    }

    /// Returns the current term if this instance holds the duties: it leads with a valid lease and has done so for at
    /// least `handover`.
    pub fn duty_term(&self, now: Duration, handover: Duration) -> Option<u64> {
        let since = self.leads_since(now)?;
        let handover = if self.founding.is_first(self.replica.term()) { Duration::ZERO } else { handover };
        (now >= since + handover).then(|| self.replica.term())
    }

    /// Returns the time until which duties may be carried out without checking the lease again; `None` if not held.
    pub fn duty_until(&self, now: Duration, handover: Duration) -> Option<Duration> {
        self.duty_term(now, handover).map(|_| self.replica.lease_end())
    }

    /// Returns the directory of live instances.
    pub(crate) fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Advances time: elections, heartbeats, founding, the directory, repair and snapshots.
    pub(crate) fn tick(&mut self, now: Duration, me: &Me, view: &View, options: &Options, out: &mut Vec<Effect>) {
        let mut outputs = Vec::new();
        self.replica.tick(now, &mut outputs);
        self.found_log(now, me, &mut outputs, out);
        self.update_role(now, view, options, out);
        if self.replica.leads(now) {
            self.expire(now, options);
            self.forget_departures(now, me, options, out);
            self.record_releases(now, me, options, out);
            self.forget_moves(now, me, options, out);
            self.watchers.tick(now, out);
            self.announce(now, view, out);
            let spares = self.to_spares();
            self.replica.repair(now, &spares, &mut outputs);
        }
        self.apply_outputs(now, outputs, options, out);
    }

    /// Handles a message from another replica.
    pub(crate) fn on_replica(
        &mut self,
        now: Duration,
        envelope: Envelope,
        (me, options): (&Me, &Options),
        out: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.replica.receive(now, envelope, &mut outputs);
        self.apply_outputs(now, outputs, options, out);
        self.record_departures(now, (me, options), out);
    }

    pub(crate) fn on_saved(
        &mut self,
        now: Duration,
        number: u64,
        (me, options): (&Me, &Options),
        out: &mut Vec<Effect>,
    ) {
        let mut outputs = Vec::new();
        self.replica.on_saved(now, number, &mut outputs);
        self.apply_outputs(now, outputs, options, out);
        self.record_departures(now, (me, options), out);
    }

    /// Appends a proposal, or redirects to the leader.
    pub(crate) fn on_propose(
        &mut self,
        now: Duration,
        me: &Me,
        from: InstanceId,
        proposal: (u64, Start, Command),
        (view, options): (&View, &Options),
        out: &mut Vec<Effect>,
    ) {
        let (ticket, start, command) = proposal;
        if let Command::Depart(departures) = command {
            let proposer = PendingProposal { name: from, start, ticket, term: self.replica.term() };
            self.on_departures(now, me, (proposer, departures), (view, options), out);
            return;
        }
        let stamped = Stamped { time: me.epoch + now, proposer: from.clone(), command };
        let mut outputs = Vec::new();
        let Some(index) = self.propose(now, &stamped, &mut outputs) else {
            self.send_redirect(from, view.leader(), out);
            return;
        };
        let term = self.replica.term();
        self.pending.insert(index, vec![PendingProposal { name: from, start, ticket, term }]);
        self.apply_outputs(now, outputs, options, out);
    }

    /// Queues proposed departures, unless all of them are recorded already.
    fn on_departures(
        &mut self,
        now: Duration,
        me: &Me,
        (proposer, departures): (PendingProposal, Vec<Departure>),
        (view, options): (&View, &Options),
        out: &mut Vec<Effect>,
    ) {
        if self.replica.role() != Role::Leader {
            self.send_redirect(proposer.name, view.leader(), out);
            return;
        }
        if departures.iter().all(|departure| self.departures.is_recorded(departure, &self.ledger.departures)) {
            send_answer(proposer, Answer::Departed(false), out);
            return;
        }
        self.departures.push(proposer, departures);
        self.record_departures(now, (me, options), out);
    }

    /// Appends a record of the queued departures, unless one is being committed.
    fn record_departures(&mut self, now: Duration, (me, options): (&Me, &Options), out: &mut Vec<Effect>) {
        let Some(Batch { proposers, departures }) = self.departures.next_batch() else { return };
        // Proposers retry what is not appended.
        let Some(index) = self.append(now, me, Command::Depart(departures), options, out) else { return };
        self.departures.set_recording(index);
        self.pending.insert(index, proposers);
    }

    /// Appends a record of departures that the registry no longer remembers, if one is due.
    fn forget_departures(&mut self, now: Duration, me: &Me, options: &Options, out: &mut Vec<Effect>) {
        let held = &self.ledger.departures;
        let is_known = |endpoint: &EndpointId| self.registry.has_departed(endpoint);
        let Some(forgotten) = self.departures.find_forgotten(now, held, self.ledger.index, is_known) else { return };
        let index = self.append(now, me, Command::ForgetDepartures(forgotten), options, out);
        self.departures.set_forgetting(index);
    }

    /// Appends a record of the steps that versions of endpoints' software take, if there are any.
    fn record_releases(&mut self, now: Duration, me: &Me, options: &Options, out: &mut Vec<Effect>) {
        let Some(since) = self.leader_since else { return };
        let held = &self.ledger.releases;
        let is_replicated = self.directory.values().all(|listing| self.watchers.holds_releases(listing, held.index()));
        let leadership = Leadership { since, lease: options.liveness_timeout, is_replicated };
        let steps = self.releases.find_steps(now, leadership, held, &self.registry);
        if steps.is_empty() {
            return;
        }
        let index = self.append(now, me, Command::SetStages(steps), options, out);
        self.releases.set_recording(index.filter(|index| *index > self.ledger.index));
    }

    /// Appends a record that drops the moves of routes after which all streams have ended, if there are any.
    fn forget_moves(&mut self, now: Duration, me: &Me, options: &Options, out: &mut Vec<Effect>) {
        let Some(until) = self.releases.find_old_moves(now, &self.ledger.releases) else { return };
        let index = self.append(now, me, Command::ForgetMoves(until), options, out);
        self.releases.set_recording(index.filter(|index| *index > self.ledger.index));
    }

    /// Appends a command of the leader itself, which observes the result in the ledger. Returns its log index, or
    /// `None` if this instance does not lead.
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
        self.apply_outputs(now, outputs, options, out);
        index
    }

    fn propose(&mut self, now: Duration, stamped: &Stamped, outputs: &mut Vec<Output>) -> Option<u64> {
        let bytes = rmp_serde::to_vec(stamped).expect("commands are serializable");
        self.replica.propose(now, bytes, outputs)
    }

    /// Replies to a watch request if the lease is valid, or redirects to the leader.
    pub(crate) fn on_watch(
        &mut self,
        now: Duration,
        from: InstanceId,
        mut watch: WatchRequest,
        (view, options): (&mut View, &Options),
        out: &mut Vec<Effect>,
    ) {
        if !self.replica.leads(now) {
            self.send_redirect(from, view.leader(), out);
            return;
        }
        let (clock, limits) = (&mut view.clock, &view.limits);
        // The leader's own clock is already part of the median.
        if from != self.name {
            clock.record_reading(now, &from, watch.clock);
        }
        self.record_listing(now, &watch.listing, options);
        if let Some(answer) = self.admit(now, &watch, options) {
            out.push(Effect::Send { to: from, message: answer });
            return;
        }
        self.watchers.record(now, &watch.listing);
        let group = self.record_group(now, &from, watch.group.as_ref(), options);
        self.record_heartbeats(now, &from, &std::mem::take(&mut watch.heartbeats), out);
        let scope = self.registry.scope_for(&watch.listing.hall);
        let load_tags = scope.as_ref().map(|scope| self.tags.of(now, &watch.listing.hall, scope, &self.registry));
        let source = Source {
            leader: &self.name,
            age: Duration::ZERO,
            config: &self.ledger.config,
            directory: &self.directory,
            document: self.ledger.document.as_ref(),
            registry: &self.registry,
            scope,
            unscoped: watch.listing.replica.is_some(),
            load_tags,
            quarantine: &self.ledger.quarantine,
            evacuations: &self.ledger.evacuations,
            releases: &self.ledger.releases,
            remote_loads: &[],
            remote_work: &[],
            limits,
            time: clock.agreed(now),
        };
        self.watchers.reply(now, watch, group, source, out);
    }

    /// Decides whether an instance that holds no directory yet is served here. Returns the answer to one that isn't.
    fn admit(&mut self, now: Duration, watch: &WatchRequest, options: &Options) -> Option<PeerMessage> {
        let listing = &watch.listing;
        // The possible next leaders need what only the leader has.
        if watch.directory > 0 || listing.replica.is_some() {
            return None;
        }
        let live = self.directory.len();
        let can_serve = self.watchers.can_serve(live, live + self.registry.len());
        let holds_directory = |relay: &InstanceId| self.watchers.holds_directory(relay);
        let (answer, absent) =
            match self.joining.admit(now, watch, (&options.tree, &self.directory), can_serve, holds_directory) {
                Admission::Relay(relay) if relay != self.name => {
                    (PeerMessage::Redirect { leader: Some(relay) }, RELAY_GRACE)
                }
                Admission::Defer(after) => (PeerMessage::Defer { after }, after),
                Admission::Serve | Admission::Relay(_) => {
                    let after = self.watchers.defer(now, watch)?;
                    (PeerMessage::Defer { after }, after)
                }
            };
        // An instance that is told to come later, or to a relay, is live meanwhile.
        self.last_seen.insert(listing.name.clone(), now + absent);
        Some(answer)
    }

    /// Records heartbeats received by an instance. A departure is announced to all watchers immediately.
    fn record_heartbeats(
        &mut self,
        now: Duration,
        from: &InstanceId,
        heartbeats: &[Registration],
        out: &mut Vec<Effect>,
    ) {
        let mut departed = false;
        for registration in heartbeats {
            if !self.ledger.releases.is_admitted(&registration.service, &registration.version) {
                self.releases.scan_soon();
            }
            departed |= self.registry.record_heartbeat_as_leader(now, registration) == Change::Leave;
        }
        if departed {
            self.watchers.notify(now, Some(from), out);
        }
    }

    /// Handles a founding message from another instance.
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

    /// Announces this leader to seeds that are not live. The seeds may have been replaced by instances that know no
    /// voter, and other instances look for the leader through them.
    fn announce(&mut self, now: Duration, view: &View, out: &mut Vec<Effect>) {
        if self.announced_at.is_some_and(|at| now < at + ANNOUNCE_INTERVAL) {
            return;
        }
        self.announced_at = Some(now);
        for seed in view.seeds().iter().filter(|seed| !self.last_seen.contains_key(*seed)) {
            let message = PeerMessage::Redirect { leader: Some(self.name.clone()) };
            out.push(Effect::Send { to: seed.clone(), message });
        }
    }

    /// Redirects to the leader that this replica knows, or else to the one that the instance follows: a replica that is
    /// no voter hears of no leader.
    fn send_redirect(&self, to: InstanceId, followed: Option<&InstanceId>, out: &mut Vec<Effect>) {
        // A leader without a lease must not redirect to itself, nor anyone to the instance that asks.
        let is_other = |name: &&InstanceId| **name != self.name && **name != to;
        let leader = self.replica.leader().filter(is_other).or_else(|| followed.filter(is_other)).cloned();
        out.push(Effect::Send { to, message: PeerMessage::Redirect { leader } });
    }

    fn is_founded(&self) -> bool {
        self.replica.last_index() > 0
    }

    /// Founds the log if this instance is the one to do so.
    fn found_log(&mut self, now: Duration, me: &Me, outputs: &mut Vec<Output>, out: &mut Vec<Effect>) {
        if self.is_founded() {
            return;
        }
        let Some(members) = self.founding.tick(now, me, self.replica.id(), out) else { return };
        let data = Ledger::default().try_to_bytes().expect("an empty state is serializable");
        self.replica.found(members, data, outputs);
        self.founding.note_started(self.replica.term());
    }

    /// Follows a change of the replica's role. Must precede any reply in the new role: a new leader initialises its
    /// directory and registry from its view, which would discard anything that it has confirmed before. The view may lack
    /// departures that an earlier leader acknowledged; the log has them.
    pub(crate) fn update_role(&mut self, now: Duration, view: &View, options: &Options, out: &mut Vec<Effect>) {
        let leads = self.replica.role() == Role::Leader;
        if leads == self.leader_since.is_some() {
            return;
        }
        self.leader_since = leads.then_some(now);
        self.pending.clear();
        self.departures = DepartureQueue::default();
        self.releases = ReleaseTracker::default();
        out.push(Effect::Log(What::Leads { leads, term: self.replica.term() }));
        if leads {
            // Starting from the last known directory keeps instances listed across a change of leader.
            self.directory = view.directory.clone();
            self.directory.begin_term(self.replica.term());
            let relayed = options.tree.has_relays(&self.directory);
            let seen = if relayed { now + RELAY_GRACE } else { now };
            self.last_seen = self.directory.keys().map(|name| (name.clone(), seen)).collect();
            self.registry = view.registry.clone();
            self.registry.begin_term(now, self.replica.term());
            for departure in self.ledger.departures.iter() {
                self.registry.record_departure(now, departure);
            }
            out.push(Effect::Log(self.registry_taken()));
            self.watchers.clear();
        }
    }

    fn registry_taken(&self) -> What {
        let phases = || self.registry.iter().map(|held| held.phase);
        What::RegistryTaken {
            term: self.replica.term(),
            endpoints: phases().count(),
            departed: phases().filter(|phase| *phase >= Phase::Leaving).count(),
        }
    }

    fn record_listing(&mut self, now: Duration, listing: &Listing, options: &Options) {
        if record_live(&mut self.last_seen, &mut self.directory, now, listing) {
            self.joining.record(now, &options.tree);
        }
    }

    /// Records the group of a relay. Returns the version of the group that is held; 0 for none.
    fn record_group(
        &mut self,
        now: Duration,
        relay: &InstanceId,
        group: Option<&RelayGroup>,
        options: &Options,
    ) -> u64 {
        let Some((version, members)) = self.watchers.record_group(relay, group) else { return 0 };
        for member in members {
            if record_live(&mut self.last_seen, &mut self.directory, now, member) {
                self.joining.record(now, &options.tree);
            }
        }
        *version
    }

    fn expire(&mut self, now: Duration, options: &Options) {
        if self.scanned_at.is_none_or(|at| now >= at + REGISTRY_SCAN_INTERVAL) {
            self.scanned_at = Some(now);
            self.registry.expire(now);
            let watchers = &self.watchers;
            self.registry.update_subsets(|held| watchers.calls_at(id::endpoint_tag(&held.endpoint)));
        }
        self.watchers.age(now, options.liveness_timeout);
        let expired = |seen: Duration| now >= seen + options.liveness_timeout;
        let names = self.last_seen.iter().filter(|(_, seen)| expired(**seen)).map(|(name, _)| name.clone());
        let names: Vec<InstanceId> = names.collect();
        for name in names {
            self.last_seen.remove(&name);
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

    /// Turns a replica's outputs into effects and applies committed entries.
    fn apply_outputs(&mut self, now: Duration, outputs: Vec<Output>, options: &Options, out: &mut Vec<Effect>) {
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
                    self.ledger = Ledger::try_from_bytes(&snapshot.data).expect("data in the format of this version");
                    self.pending.clear();
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
                self.bytes_since_snapshot += bytes.len() as u64;
                let stamped: Stamped = rmp_serde::from_slice(&bytes).expect("data in the format of this version");
                let configures =
                    matches!(stamped.command, Command::Change(_) | Command::Document(_) | Command::DocumentPatch(_));
                let departures = departures_in(&stamped.command);
                let answer = self.ledger.apply(entry.index, stamped);
                let departed = self.leader_since.is_some() && self.record_committed(now, &departures);
                let notify = departed || configures || matches!(answer, Answer::Found(true) | Answer::Evacuated(true));
                if notify && self.leader_since.is_some() {
                    self.watchers.notify(now, None, out);
                }
                Some(answer)
            }
        };
        self.departures.on_applied(entry.index);
        self.releases.on_applied(entry.index);
        let (Some(proposers), Some(answer)) = (self.pending.remove(&entry.index), answer) else { return };
        // The entry at this index may come from another leader.
        for proposer in proposers.into_iter().filter(|proposer| proposer.term == entry.term) {
            send_answer(proposer, answer.clone(), out);
        }
    }

    /// Records committed departures in the leader's registry. Returns whether any of them is news to watchers.
    fn record_committed(&mut self, now: Duration, departures: &[Departure]) -> bool {
        let mut news = false;
        for departure in departures {
            news |= self.registry.record_departure(now, departure) == Change::Leave;
        }
        news
    }

    fn compact(&mut self, options: &Options, out: &mut Vec<Effect>) {
        let many = self.ledger.index >= self.replica.snapshot_index() + options.snapshot_every;
        if !many && self.bytes_since_snapshot < options.snapshot_bytes {
            return;
        }
        self.bytes_since_snapshot = 0;
        let data = self.ledger.try_to_bytes().expect("the state is serializable");
        let mut outputs = Vec::new();
        self.replica.compact(data, &mut outputs);
        for output in outputs {
            if let Output::SaveSnapshot { number, snapshot, records } = output {
                out.push(Effect::SaveSnapshot { number, snapshot, records });
            }
        }
    }
}

/// Records a sign of life of an instance, without touching the directory unless the listing has changed. Returns whether
/// the instance was not live.
fn record_live(
    last_seen: &mut BTreeMap<InstanceId, Duration>,
    directory: &mut Directory,
    now: Duration,
    listing: &Listing,
) -> bool {
    let known = last_seen.get_mut(&listing.name).map(|seen| *seen = now.max(*seen));
    if known.is_none() {
        last_seen.insert(listing.name.clone(), now);
    }
    if directory.get(&listing.name) != Some(listing) {
        directory.set(listing.name.clone(), listing.clone());
    }
    known.is_none()
}

fn departures_in(command: &Command) -> Vec<Departure> {
    match command {
        Command::Depart(departures) => departures.clone(),
        _ => Vec::new(),
    }
}

fn send_answer(proposer: PendingProposal, answer: Answer, out: &mut Vec<Effect>) {
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
