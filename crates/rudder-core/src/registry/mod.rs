//! Registry of endpoints that register themselves by heartbeats. Any instance may receive a heartbeat first; the leader
//! replicates the entries to all. The registry is soft state: after a loss it is rebuilt from the next heartbeats.
//!
//! An entry is one life of an endpoint, that is, one run of its process. An endpoint that restarts under its name begins
//! another life, identified by its start time; the later life replaces the earlier at once. [`crate::lives`] decides which
//! life of a name is the latest.

mod scope;

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_ledger::{Departure, Software};
use rudder_model::{Born, EndpointId, HallId, id};
use serde::{Deserialize, Serialize};

use crate::{
    Options,
    delta_map::{DeltaMap, MapDelta, Version},
    lives::{Lives, Standing},
    subset::{Scope, Subsets},
};

/// An endpoint without heartbeats is dropped after this many times the period after which it counts as silent.
const DROP_AFTER_SILENCES: u32 = 6;
/// Highest sequence number with which an unknown endpoint may take over an address in use; a higher one may come from a
/// delayed heartbeat.
const MAX_FIRST_SEQUENCE: u64 = 2;
/// Most lives held: twice the supported number of endpoints. Bounds the memory that a sender of invented names can take.
const MAX_LIVES: usize = 24_000;
/// How long an endpoint that has ended is kept, so that a late heartbeat doesn't revive it. A replaced life needs no such
/// period, since the later life rejects its heartbeats.
const GONE_RETENTION: Duration = Duration::from_secs(120);

/// The state of one life of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Its heartbeats have stopped; it is down, or only its heartbeats don't arrive.
    Silent,
    /// Draining: it accepts no new requests and ends soon.
    Leaving,
    /// It has reported its end, or another endpoint has its address; requests in flight may still be answered.
    Gone,
    /// A later life has its name, so nothing runs there any more.
    Replaced,
}

/// The content of an endpoint's heartbeat, which is also its registry entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Identifies one life of the endpoint.
    pub endpoint: EndpointId,
    /// When that life began, if the endpoint reports it.
    #[serde(default)]
    pub born: Option<Born>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Its address, `IP:PORT`.
    pub address: Arc<str>,
    /// Its hall.
    pub hall: HallId,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// A spot endpoint: it is cheaper and may be reclaimed at short notice.
    #[serde(default)]
    pub cheap: bool,
    /// Has just started or lost its caches, and takes only a few requests for some time.
    #[serde(default)]
    pub warming: bool,
    /// Held in reserve by the leader, since enough others of its service and hall are in use ([`crate::subset`]).
    #[serde(default)]
    pub standby: bool,
    /// State of this life.
    pub phase: Phase,
    /// Increases with each heartbeat, so that late ones are recognised.
    pub sequence: u64,
    /// Version of its software; empty if it reports none.
    #[serde(default)]
    pub version: Arc<str>,
}

impl Registration {
    /// The name that all lives of the endpoint share.
    pub fn name(&self) -> &str {
        id::name_of(&self.endpoint, self.born)
    }

    /// A copy in another phase.
    fn in_phase(&self, phase: Phase) -> Arc<Registration> {
        Arc::new(Registration { phase, ..self.clone() })
    }

    /// Returns whether this life is over.
    pub fn has_ended(&self) -> bool {
        self.phase >= Phase::Gone
    }

    /// Creates a report that a life has ended. The life may be unknown here and known to other instances.
    pub fn end_of(name: &str, born: Option<Born>, hall: HallId) -> Registration {
        Registration {
            endpoint: id::life_id(name, born),
            born,
            service: "".into(),
            address: "".into(),
            hall,
            slots: 0,
            cheap: false,
            warming: false,
            standby: false,
            phase: Phase::Gone,
            sequence: 0,
            version: "".into(),
        }
    }
}

/// What an instance lacks of the leader's registry.
pub type RegistryDelta = MapDelta<EndpointId, Arc<Registration>>;

/// All known endpoints.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Entries are shared between copies of the registry: there are thousands, and few of them change.
    entries: DeltaMap<EndpointId, Arc<Registration>>,
    /// When this instance last received a heartbeat or an update of each.
    last_heard: HashMap<EndpointId, Duration>,
    /// The endpoint that last registered at each address.
    addresses: HashMap<Arc<str>, EndpointId>,
    /// The latest life of each name.
    lives: Lives,
    /// An endpoint without heartbeats for this long counts as silent.
    silence: Duration,
    /// Which endpoints are sent to which hall; used at the leader.
    subsets: Subsets,
    /// Which endpoints this instance receives, as of the last answer.
    scope: Option<Scope>,
    /// It receives all endpoints whatever the scope, since it may become the leader.
    unscoped: bool,
}

/// The life that a newer one of its name replaces, if any.
#[derive(Debug)]
struct Replaced {
    life: Option<Arc<Registration>>,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the time of the last heartbeat.
    None,
    /// The endpoint is new or its entry has changed.
    Entry,
    /// An endpoint accepts no more requests from now on.
    Leave,
}

impl Default for Registry {
    fn default() -> Self {
        Registry::new(Options::default().silence_timeout)
    }
}

impl Registry {
    /// Creates an empty registry in which endpoints without heartbeats for `silence` count as silent.
    pub fn new(silence: Duration) -> Registry {
        Registry {
            entries: DeltaMap::default(),
            last_heard: HashMap::new(),
            addresses: HashMap::new(),
            lives: Lives::default(),
            silence,
            subsets: Subsets::default(),
            scope: None,
            unscoped: false,
        }
    }

    /// Version of the content; the upper half is the leader's term.
    pub fn version(&self) -> Version {
        self.entries.version()
    }

    /// Number of endpoints, including those that have ended.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// All endpoints, including those that have ended.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.entries.values()
    }

    /// Records a heartbeat, at an instance that isn't the leader.
    pub fn record_heartbeat(&mut self, now: Duration, registration: &Registration) -> Change {
        let in_scope = self.unscoped || self.scope.is_none() || self.entries.get(&registration.endpoint).is_some();
        if !in_scope {
            // This instance would not learn when the endpoint drains.
            return Change::None;
        }
        self.record(now, registration, false, DeltaMap::set_local)
    }

    /// Records a heartbeat, at the leader.
    pub fn record_heartbeat_as_leader(&mut self, now: Duration, registration: &Registration) -> Change {
        self.record(now, registration, true, DeltaMap::set)
    }

    /// Records a departure that is committed, at the leader. It may be unknown here, and the heartbeats of its endpoint too.
    pub fn record_departure(&mut self, now: Duration, departure: &Departure) -> Change {
        let phase = if departure.ended { Phase::Gone } else { Phase::Leaving };
        let heartbeat = match self.entries.get(&departure.endpoint) {
            Some(held) if held.phase >= phase => return Change::None,
            // A departure is final, so it counts as later than any heartbeat held.
            Some(held) => {
                let sequence = departure.sequence.max(held.sequence + 1);
                Registration { phase, sequence, ..Registration::clone(held) }
            }
            None => {
                let name = id::name_of(&departure.endpoint, departure.born);
                let end = Registration::end_of(name, departure.born, departure.hall.clone());
                Registration { phase, sequence: departure.sequence, ..end }
            }
        };
        self.record_heartbeat_as_leader(now, &heartbeat)
    }

    /// Time without heartbeats after which an endpoint counts as silent.
    pub(crate) fn silence(&self) -> Duration {
        self.silence
    }

    /// Returns whether the endpoint of a life is known to have other software by now, in this life or in a later one.
    pub(crate) fn is_upgraded(&self, life: &EndpointId, software: &Software) -> bool {
        let Some(held) = self.entries.get(life) else { return false };
        let latest = self.lives.latest(held.name()).and_then(|latest| self.entries.get(latest)).unwrap_or(held);
        latest.version != software.version
    }

    /// Returns whether `endpoint` is known to drain or to have ended.
    pub fn has_departed(&self, endpoint: &EndpointId) -> bool {
        self.entries.get(endpoint).is_some_and(|held| held.phase >= Phase::Leaving)
    }

    /// Records a heartbeat; `leads` is true at the leader. `put` stores the entries that have changed.
    fn record(
        &mut self,
        now: Duration,
        heartbeat: &Registration,
        leads: bool,
        put: impl Fn(&mut DeltaMap<EndpointId, Arc<Registration>>, EndpointId, Arc<Registration>),
    ) -> Change {
        let Some(replaced) = self.find_replaced(now, heartbeat, leads) else { return Change::None };
        let other = self.other_at_address(now, heartbeat).filter(|other| other.name() != heartbeat.name());
        let is_older = |other: &Arc<Registration>| match (other.born, heartbeat.born) {
            (Some(other), Some(heartbeat)) => heartbeat < other,
            _ => heartbeat.sequence > MAX_FIRST_SEQUENCE,
        };
        if other.as_ref().is_some_and(is_older) {
            // A delayed heartbeat of an endpoint that has ended since.
            return Change::None;
        }
        let Some((next, mut change)) = self.update(now, heartbeat, leads) else { return Change::None };
        if let Some(ended) = other {
            put(&mut self.entries, ended.endpoint.clone(), ended.in_phase(Phase::Gone));
            change = Change::Leave;
        }
        if let Some(replaced) = replaced.life {
            put(&mut self.entries, replaced.endpoint.clone(), replaced.in_phase(Phase::Replaced));
            change = Change::Leave;
        }
        self.lives.set(&next);
        self.addresses.insert(next.address.clone(), next.endpoint.clone());
        let endpoint = next.endpoint.clone();
        if change == Change::None {
            // A change of the sequence number alone isn't replicated.
            self.entries.set_unversioned(&endpoint, next);
        } else {
            put(&mut self.entries, endpoint, next);
        }
        change
    }

    /// The life that the one in a heartbeat replaces; `None` if the heartbeat is to be ignored.
    fn find_replaced(&mut self, now: Duration, heartbeat: &Registration, leads: bool) -> Option<Replaced> {
        let held = self.entries.get(&heartbeat.endpoint).is_some();
        if !held && self.entries.len() >= MAX_LIVES {
            return None;
        }
        // Only the leader receives all heartbeats and can tell that a life has become silent.
        let unheard = |life: &EndpointId| match self.last_heard.get(life) {
            Some(heard) if leads => now.saturating_sub(*heard),
            Some(_) => Duration::ZERO,
            None => Duration::MAX,
        };
        match self.lives.classify(now, heartbeat, held, self.silence, unheard) {
            // Until a start time is reported, a name has a single life, whose id is the name.
            Standing::Latest => {
                Some(Replaced { life: heartbeat.born.and_then(|_| self.entries.get(heartbeat.name()).cloned()) })
            }
            Standing::Replaces(earlier) => Some(Replaced { life: self.entries.get(&earlier).cloned() }),
            Standing::Stale => None,
        }
    }

    /// The endpoint that has sent heartbeats recently from the address of one that is unknown so far.
    fn other_at_address(&self, now: Duration, heartbeat: &Registration) -> Option<Arc<Registration>> {
        if heartbeat.phase != Phase::Ready || self.entries.get(&heartbeat.endpoint).is_some() {
            return None;
        }
        let other = self.entries.get(self.addresses.get(&heartbeat.address)?)?;
        let recent = self.last_heard.get(&other.endpoint).is_some_and(|heard| now < *heard + self.silence);
        (recent && other.phase < Phase::Gone).then(|| other.clone())
    }

    /// The entry of an endpoint after its heartbeat; `None` if the heartbeat came too late.
    fn update(&mut self, now: Duration, heartbeat: &Registration, leads: bool) -> Option<(Arc<Registration>, Change)> {
        let Some(held) = self.entries.get(&heartbeat.endpoint) else {
            self.last_heard.insert(heartbeat.endpoint.clone(), now);
            let change = if heartbeat.phase >= Phase::Leaving { Change::Leave } else { Change::Entry };
            let standby = leads && heartbeat.phase == Phase::Ready && self.subsets.starts_in_standby(heartbeat);
            return Some((Arc::new(Registration { standby, ..heartbeat.clone() }), change));
        };
        let ended = heartbeat.phase == Phase::Gone;
        if held.phase >= Phase::Gone || (!ended && heartbeat.sequence <= held.sequence) {
            return None;
        }
        self.last_heard.insert(heartbeat.endpoint.clone(), now);
        let sequence = heartbeat.sequence.max(held.sequence);
        let next = Registration { sequence, standby: held.standby, ..heartbeat.clone() };
        let same = Registration { sequence, ..Registration::clone(held) } == next;
        let leaves = next.phase >= Phase::Leaving && next.phase != held.phase;
        let change = match (same, leaves) {
            (true, _) => Change::None,
            (false, true) => Change::Leave,
            (false, false) => Change::Entry,
        };
        Some((Arc::new(next), change))
    }

    /// Starts the version numbers of the leader of `term`. The silence of every endpoint counts from now.
    pub fn begin_term(&mut self, now: Duration, term: u64) {
        self.entries.begin_term(term);
        self.last_heard = self.entries.keys().map(|endpoint| (endpoint.clone(), now)).collect();
        let live = self.entries.values().filter(|held| held.phase < Phase::Gone);
        self.addresses = live.map(|held| (held.address.clone(), held.endpoint.clone())).collect();
        self.lives = Lives::default();
        let replaced = self.lives.apply(self.entries.values());
        self.mark_replaced(replaced, DeltaMap::set);
    }

    /// Marks endpoints without heartbeats as silent, and later drops them; at the leader.
    pub fn expire(&mut self, now: Duration) {
        let unheard =
            |endpoint: &EndpointId| now.saturating_sub(self.last_heard.get(endpoint).copied().unwrap_or_default());
        let mut dropped = Vec::new();
        let mut silent = Vec::new();
        for held in self.entries.values() {
            let kept = if held.phase == Phase::Gone { GONE_RETENTION } else { self.silence * DROP_AFTER_SILENCES };
            if unheard(&held.endpoint) >= kept {
                dropped.push(held.endpoint.clone());
            } else if held.phase == Phase::Ready && unheard(&held.endpoint) >= self.silence {
                silent.push(held.in_phase(Phase::Silent));
            }
        }
        for endpoint in &dropped {
            self.entries.remove(endpoint);
            self.last_heard.remove(endpoint);
        }
        if !dropped.is_empty() {
            self.prune_indexes();
        }
        for registration in silent {
            self.entries.set(registration.endpoint.clone(), registration);
        }
    }

    /// Applies a delta of the leader. A later heartbeat received here takes precedence. Returns whether any endpoint
    /// has stopped accepting requests by it.
    pub fn apply_delta(&mut self, now: Duration, delta: RegistryDelta) -> bool {
        let leaves = |entry: &Arc<Registration>| {
            let before = self.entries.get(&entry.endpoint).map(|held| held.phase);
            entry.phase >= Phase::Leaving && before.is_none_or(|before| before < Phase::Leaving)
        };
        let left = delta.entries.iter().any(|entry| leaves(&entry.value));
        let updated: Vec<EndpointId> = delta.entries.iter().map(|entry| entry.key.clone()).collect();
        let live = delta.entries.iter().filter(|entry| entry.value.phase < Phase::Leaving);
        let live: Vec<_> = live.map(|entry| (entry.value.address.clone(), entry.key.clone())).collect();
        let removes = delta.whole || !delta.removed.is_empty();
        let (last_heard, silence) = (&self.last_heard, self.silence);
        let recent = |endpoint: &EndpointId| last_heard.get(endpoint).is_some_and(|heard| now < *heard + silence);
        let applied = self.entries.apply(delta, is_current, |endpoint, _| recent(endpoint));
        if applied {
            self.last_heard.extend(updated.iter().map(|endpoint| (endpoint.clone(), now)));
            self.addresses.extend(live);
            let updated = updated.iter().filter_map(|endpoint| self.entries.get(endpoint));
            let replaced = self.lives.apply(updated);
            self.mark_replaced(replaced, DeltaMap::set_local);
        }
        if applied && removes {
            self.last_heard.retain(|endpoint, _| self.entries.get(endpoint).is_some());
            self.prune_indexes();
        }
        applied && left
    }

    /// Marks lives that later ones have replaced.
    fn mark_replaced(
        &mut self,
        lives: Vec<EndpointId>,
        put: impl Fn(&mut DeltaMap<EndpointId, Arc<Registration>>, EndpointId, Arc<Registration>),
    ) {
        for life in lives {
            let Some(held) = self.entries.get(&life).filter(|held| held.phase < Phase::Replaced) else { continue };
            let replaced = held.in_phase(Phase::Replaced);
            put(&mut self.entries, life, replaced);
        }
    }

    /// Drops endpoints that ended long ago, at an instance that isn't the leader.
    pub fn forget_gone(&mut self, now: Duration) {
        let last_heard = &self.last_heard;
        let old = |endpoint: &EndpointId| last_heard.get(endpoint).is_none_or(|heard| now >= *heard + GONE_RETENTION);
        let before = self.entries.len();
        self.entries.retain_local(|endpoint, held| held.phase < Phase::Gone || !old(endpoint));
        // Runs on every tick, and scanning the indexes of thousands of entries is slow.
        if self.entries.len() != before {
            self.prune_indexes();
        }
    }

    /// Removes dropped entries from the indexes.
    fn prune_indexes(&mut self) {
        self.addresses.retain(|_, endpoint| self.entries.get(endpoint).is_some());
        self.lives.retain(|endpoint| self.entries.get(endpoint).is_some());
    }
}

/// True if the leader's entry of an endpoint isn't older than the one held.
fn is_current(held: &Arc<Registration>, received: &Arc<Registration>) -> bool {
    if received.phase >= Phase::Gone {
        return received.phase > held.phase;
    }
    held.phase < Phase::Gone && held.sequence <= received.sequence
}
