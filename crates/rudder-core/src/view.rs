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
use rudder_ledger::{Config, Delta};
use rudder_model::{HallId, InstanceId, Kind, Mark, Object, OrgId, Promise, Promises, RequestId, id};

use crate::{Effect, Listing, Me, Options, PeerMessage};

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
}

/// An answer to a question, without its envelope.
#[derive(Debug)]
pub(crate) struct Watched {
    pub(crate) round: u64,
    pub(crate) asked: u64,
    pub(crate) index: u64,
    pub(crate) complete: bool,
    pub(crate) deltas: Vec<Delta>,
    pub(crate) directory: Option<(u64, Vec<Listing>)>,
}

impl View {
    /// True while the configuration is proved to be at most `bound` old.
    pub fn is_fresh(&self, now: Duration, bound: Duration) -> bool {
        self.proved.is_some_and(|proved| now < proved + bound)
    }

    /// Where to send what only the leader can answer.
    pub fn to_leader(&self, options: &Options) -> Option<InstanceId> {
        self.leader.clone().or_else(|| options.seats.get(self.target % options.seats.len().max(1)).cloned())
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

    /// Entries for callers: nearest hall first, without those leaving or stopping.
    pub fn to_entries(&self, nearest: &[HallId]) -> Vec<Listing> {
        let live = self.directory.values().filter(|listing| !listing.stopping && !self.is_marked(&listing.name));
        let mut entries: Vec<Listing> = live.cloned().collect();
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
        if self.asked_at.is_some_and(|asked| now < asked + options.watch) || options.seats.is_empty() {
            return;
        }
        self.asked_at = Some(now);
        if self.round - self.answered >= SILENCE {
            self.leader = None;
            self.target = (self.target + 1) % options.seats.len();
        }
        self.round += 1;
        self.sent.insert(self.round, now);
        self.sent.retain(|round, _| round + ROUNDS > self.round);
        let Some(to) = self.to_leader(options) else { return };
        let listing = Listing {
            name: me.name.clone(),
            hall: me.hall.clone(),
            address: me.address.clone(),
            start: me.start,
            stopping,
            replica,
        };
        let message =
            PeerMessage::Watch { round: self.round, listing, index: self.config.index, directory: self.version };
        out.push(Effect::Send { to, message });
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
    pub(crate) fn on_elsewhere(&mut self, leader: Option<InstanceId>, options: &Options) {
        if let Some(leader) = leader.filter(|leader| options.seats.contains(leader)) {
            self.answered = self.round;
            self.leader = Some(leader);
            self.asked_at = None;
        }
    }

    /// Takes in an answer. Returns whether configuration or directory changed.
    pub(crate) fn on_watched(
        &mut self,
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
        if watched.complete {
            self.proved = self.proved.max(Some(sent));
        } else {
            self.asked_at = None;
        }
        if watched.round >= self.answered {
            self.answered = watched.round;
            self.leader = Some(from);
            if let Some((version, listings)) = watched.directory {
                changed |= self.take_directory(version, listings, out);
            }
        }
        changed
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
        true
    }
}
