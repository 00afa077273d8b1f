//! The view: configuration and directory in force here, and proof of their freshness.
//!
//! Every instance, the leader included, learns both by asking the leader. A leader answers only while
//! it holds its lease, so each answer proves that the configuration was complete at the time the
//! question was *sent*: a paused leader or a late answer cannot make old configuration look fresh.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_events::What;
use rudder_ledger::{Config, Delta, Document};
use rudder_model::{EndpointId, HallId, InstanceId, Kind, Mark, Object, OrgId, Promise, Promises, RequestId, id};

use crate::{
    Effect, Listing, Me, Options, PeerMessage, Watch, Watched,
    peer::Load,
    registry::{Registration, Registry},
};

/// Questions without an answer that are remembered.
const ROUNDS: u64 = 64;
/// Questions without an answer after which another instance is asked.
const SILENCE: u64 = 2;

/// Configuration and directory in force here.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration.
    pub config: Config,
    /// Key digests with the organisations that hold them, so that a call does not look through all.
    keys: BTreeSet<(String, OrgId)>,
    /// Live instances, by name.
    pub directory: BTreeMap<InstanceId, Listing>,
    version: u64,
    /// Term order of directories is not needed: versions only tell "same" from "another".
    proved: Option<Duration>,
    round: u64,
    answered: u64,
    sent: BTreeMap<u64, Duration>,
    asked_at: Option<Duration>,
    target: usize,
    leader: Option<InstanceId>,
    was_fresh: bool,
    /// The configuration document in force here.
    pub document: Option<Document>,
    /// Endpoints that registered themselves.
    pub registry: Registry,
    /// Work of all other instances at endpoints, as of the question that proves the configuration.
    pub others: Vec<Load>,
    /// Counts the changes of what traffic needs: directory, document, registry, loads.
    pub edition: u64,
    seeds: Vec<InstanceId>,
    unconfirmed: BTreeMap<EndpointId, Unconfirmed>,
    loads: Vec<Load>,
}

/// A heartbeat heard here that the leader has not confirmed.
#[derive(Debug)]
struct Unconfirmed {
    registration: Registration,
    /// First round that carried it.
    round: Option<u64>,
}

impl View {
    /// True while the configuration is proved to be at most `bound` old.
    pub fn is_fresh(&self, now: Duration, bound: Duration) -> bool {
        self.proved.is_some_and(|proved| now < proved + bound)
    }

    /// Where to send what only the leader can answer.
    pub fn to_leader(&self) -> Option<InstanceId> {
        if self.leader.is_some() {
            return self.leader.clone();
        }
        let seats = self.to_seats();
        seats.get(self.target % seats.len().max(1)).cloned()
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// When the question was sent whose answer proves the configuration.
    pub fn proved(&self) -> Option<Duration> {
        self.proved
    }

    /// Sets where to start from: the instances that the settings name.
    pub fn set_seeds(&mut self, seeds: Vec<InstanceId>) {
        self.seeds = seeds;
    }

    /// The instances that the settings name.
    pub(crate) fn seeds(&self) -> &[InstanceId] {
        &self.seeds
    }

    /// Takes in that this instance leads: it need not ask others who does.
    pub(crate) fn note_leads(&mut self, me: &InstanceId) {
        if self.leader.as_ref() != Some(me) {
            self.leader = Some(me.clone());
            self.answered = self.round;
        }
    }

    /// Instances that may know the leader: those of the settings, then those known to have a disk.
    fn to_seats(&self) -> Vec<InstanceId> {
        let mut seats = self.seeds.clone();
        for listing in self.directory.values().filter(|listing| listing.replica.is_some()) {
            if !seats.contains(&listing.name) {
                seats.push(listing.name.clone());
            }
        }
        seats
    }

    /// Asks again at the next chance rather than at the next turn.
    pub(crate) fn hurry(&mut self) {
        self.asked_at = None;
    }

    /// Takes in an endpoint's heartbeat heard here.
    pub(crate) fn hear(&mut self, now: Duration, registration: Registration) {
        if self.registry.hear(now, &registration) {
            self.edition += 1;
            self.hurry();
        }
        self.unconfirmed.insert(registration.endpoint.clone(), Unconfirmed { registration, round: None });
    }

    /// True once the leader has confirmed all that was heard here of `endpoint`.
    pub(crate) fn is_confirmed(&self, endpoint: &EndpointId) -> bool {
        !self.unconfirmed.contains_key(endpoint)
    }

    /// Sets the work under way here.
    pub(crate) fn set_loads(&mut self, loads: Vec<Load>) {
        self.loads = loads;
    }

    /// The instance that decides for the pool of `model` in `hall`: by rendezvous hashing over the
    /// live instances of the hall, or of all halls where the hall has none.
    pub fn home(&self, hall: &HallId, model: &str) -> Option<InstanceId> {
        let live = self.directory.values().filter(|listing| !listing.stopping && !self.is_marked(&listing.name));
        let key = format!("{hall}/{model}");
        let weigh = |listing: &&Listing| (listing.hall == *hall, id::rendezvous(&key, &listing.name));
        live.max_by_key(weigh).map(|listing| listing.name.clone())
    }

    /// The operator's mark takes an instance out of use.
    pub fn is_marked(&self, name: &str) -> bool {
        self.mark_of(name) != Mark::None
    }

    /// The operator's mark on an instance.
    pub fn mark_of(&self, name: &str) -> Mark {
        match self.config.get(Kind::Instance, name).and_then(|held| held.object.as_ref()) {
            Some(Object::Instance(instance)) => instance.mark,
            _ => Mark::None,
        }
    }

    /// True when the start that a request id names is still alive in `name`.
    pub fn is_alive(&self, name: &str, start: u64) -> bool {
        self.directory.get(name).is_some_and(|listing| listing.start == start)
    }

    /// True when the entry that a request came from is still alive.
    pub fn holds(&self, entry: &str, request: RequestId) -> bool {
        self.is_alive(entry, id::start_of(request))
    }

    /// Entries for callers: nearest hall first, without those leaving or stopping and those that take no callers.
    pub fn to_entries(&self, nearest: &[HallId]) -> Vec<Listing> {
        let takes = |listing: &&Listing| listing.takes_callers() && !self.is_marked(&listing.name);
        let mut entries: Vec<Listing> = self.directory.values().filter(takes).cloned().collect();
        let distance = |hall: &HallId| nearest.iter().position(|near| near == hall).unwrap_or(nearest.len());
        entries.sort_by_key(|listing| (distance(&listing.hall), listing.name.clone()));
        entries
    }

    /// Asks for newer configuration when it is time to.
    pub(crate) fn ask(
        &mut self,
        now: Duration,
        me: &Me,
        replica: Option<u64>,
        stopping: bool,
        options: &Options,
        out: &mut Vec<Effect>,
    ) {
        self.log_freshness(now, options.fresh, out);
        if self.asked_at.is_some_and(|asked| now < asked + options.watch) {
            return;
        }
        self.asked_at = Some(now);
        if self.round - self.answered >= SILENCE {
            self.leader = None;
            self.target += 1;
        }
        self.round += 1;
        self.sent.insert(self.round, now);
        self.sent.retain(|round, _| round + ROUNDS > self.round);
        let Some(to) = self.to_leader() else { return };
        let listing = Listing {
            name: me.name.clone(),
            hall: me.hall.clone(),
            address: me.address.clone(),
            start: me.start,
            stopping,
            replica,
        };
        let heard = self.carry_unconfirmed();
        let watch = Watch {
            round: self.round,
            listing,
            index: self.config.index,
            directory: self.version,
            document: self.document.as_ref().map_or(0, |document| document.version),
            registry: self.registry.version(),
            heard,
            loads: self.loads.clone(),
        };
        out.push(Effect::Send { to, message: PeerMessage::Watch(Box::new(watch)) });
    }

    /// Heartbeats for the next question, which is noted for each as the first that carries it.
    fn carry_unconfirmed(&mut self) -> Vec<Registration> {
        let mut heard = Vec::with_capacity(self.unconfirmed.len());
        for unconfirmed in self.unconfirmed.values_mut() {
            unconfirmed.round.get_or_insert(self.round);
            heard.push(unconfirmed.registration.clone());
        }
        heard
    }

    fn log_freshness(&mut self, now: Duration, bound: Duration, out: &mut Vec<Effect>) {
        let fresh = self.is_fresh(now, bound);
        if fresh != self.was_fresh {
            self.was_fresh = fresh;
            out.push(Effect::Log(What::Fresh { fresh, index: self.config.index }));
        }
    }

    /// Takes in who leads, from an instance that does not. An answer without a leader counts as
    /// silence, so that another instance is asked next.
    pub(crate) fn on_elsewhere(&mut self, leader: Option<InstanceId>) {
        if let Some(leader) = leader {
            self.answered = self.round;
            self.leader = Some(leader);
            self.asked_at = None;
        }
    }

    /// Takes in an answer. Returns whether configuration or directory changed.
    pub(crate) fn on_watched(
        &mut self,
        now: Duration,
        from: InstanceId,
        watched: Watched,
        promises: &mut Promises,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(sent) = self.sent.get(&watched.round).copied() else { return false };
        let held = watched.index >= watched.asked;
        assert!(promises.check(Promise::NoRevert, held), "{from} answered with an older configuration");
        let before = self.config.index;
        let mut changed = false;
        for delta in watched.deltas {
            changed |= self.take_delta(delta);
        }
        assert!(self.config.index >= before, "the configuration index went back");
        if changed {
            out.push(Effect::Log(What::Configured { index: self.config.index }));
        }
        self.take_document(watched.document, promises, out);
        self.unconfirmed.retain(|_, held| held.round.is_none_or(|round| round > watched.round));
        let held = self.document.as_ref().map_or(0, |document| document.version);
        if watched.complete && held >= watched.newest {
            self.proved = self.proved.max(Some(sent));
        }
        if !watched.complete {
            self.asked_at = None;
        }
        if watched.round >= self.answered {
            self.answered = watched.round;
            self.leader = Some(from);
            if let Some(news) = watched.registry {
                self.registry.take_news(now, news);
                self.edition += 1;
            }
            if self.others != watched.loads {
                self.edition += 1;
                self.others = watched.loads;
            }
            if let Some((version, listings)) = watched.directory {
                changed |= self.take_directory(version, listings, out);
            }
        }
        changed
    }

    /// Takes in a document that is above the one in force; the version here only grows.
    fn take_document(&mut self, document: Option<Document>, promises: &mut Promises, out: &mut Vec<Effect>) {
        let Some(document) = document else { return };
        let held = self.document.as_ref().map_or(0, |held| held.version);
        if document.version <= held {
            // An answer to an older question that came late.
            return;
        }
        promises.check(Promise::NoRevert, document.version > held);
        out.push(Effect::Log(What::Documented { version: document.version, before: held }));
        self.document = Some(document);
        self.edition += 1;
    }

    fn take_delta(&mut self, delta: Delta) -> bool {
        let (kind, name) = (delta.kind, delta.name.clone());
        let before = self.keys_of(kind, &name);
        if !self.config.take_delta(delta) {
            return false;
        }
        for entry in before {
            self.keys.remove(&entry);
        }
        let now = self.keys_of(kind, &name);
        self.keys.extend(now);
        true
    }

    fn keys_of(&self, kind: Kind, name: &str) -> Vec<(String, OrgId)> {
        match self.config.get(kind, name).and_then(|held| held.object.as_ref()) {
            Some(Object::Organisation(org)) => org.keys.iter().map(|key| (key.clone(), name.into())).collect(),
            _ => Vec::new(),
        }
    }

    /// The organisation that has this key digest, in hexadecimal; the first by name if several do.
    pub fn org_of_key(&self, bearer: &str) -> Option<OrgId> {
        let (key, org) = self.keys.range((bearer.to_owned(), OrgId::from(""))..).next()?;
        (key == bearer).then(|| org.clone())
    }

    fn take_directory(&mut self, version: u64, listings: Vec<Listing>, out: &mut Vec<Effect>) -> bool {
        self.version = version;
        let next: BTreeMap<InstanceId, Listing> =
            listings.into_iter().map(|listing| (listing.name.clone(), listing)).collect();
        if next == self.directory {
            return false;
        }
        let before: BTreeSet<&InstanceId> = self.directory.keys().collect();
        let names: Vec<InstanceId> = next.keys().cloned().collect();
        if before != next.keys().collect() {
            out.push(Effect::Log(What::Directory { live: names }));
        }
        self.directory = next;
        self.edition += 1;
        true
    }
}
