//! Endpoints that register themselves: soft state that every instance may hear first and the leader
//! spreads. Nothing of it is durable: after a loss it is rebuilt from the next heartbeats.
//!
//! An entry is one life of an endpoint. A replica that starts again under its name is another life, told apart by the time
//! of its start; the later one replaces the earlier at once. Which life of a name is the latest: [`crate::lives`].

mod scope;

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_model::{Born, EndpointId, HallId, id};
use serde::{Deserialize, Serialize};

use crate::{
    Options,
    delta_map::{DeltaMap, MapDelta, Version},
    lives::{Lives, Standing},
    subset::{Scope, Subsets},
};

/// An endpoint unheard for this many times the time after which it is shown as silent is taken off.
const FORGET: u32 = 6;
/// An endpoint that has just started says so in one of its first heartbeats; a later one may be old.
const FIRST_HEARTBEATS: u64 = 2;
/// Lives held at most: twice the endpoints that the system is built for. More are not heard, so that a writer that makes up
/// names cannot take the memory.
const HELD_MOST: usize = 24_000;
/// An endpoint that has ended is remembered for this long, so that a late heartbeat does not revive it. A life that was
/// replaced need not be: the later one, as long as it is known, keeps it from coming back.
const REMEMBER_GONE: Duration = Duration::from_secs(120);

/// Where an endpoint stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// It takes work.
    Ready,
    /// Its heartbeats have stopped; it may be down or only out of reach of control.
    Silent,
    /// It takes no new work and ends soon.
    Leaving,
    /// It has said that it ends, or another has its address; what runs there may still be answered.
    Gone,
    /// A later life has its name: nothing runs there any more.
    Replaced,
}

/// What an endpoint says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// One life of the endpoint.
    pub endpoint: EndpointId,
    /// When that began, where the endpoint tells it.
    #[serde(default)]
    pub born: Option<Born>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it is reached, IP:PORT.
    pub address: Arc<str>,
    /// Its hall.
    pub hall: HallId,
    /// Requests it works on at once.
    pub slots: u32,
    /// It may be taken away at short notice, and costs less.
    #[serde(default)]
    pub cheap: bool,
    /// It has just started, or has gone cold, and bears few requests for some time.
    #[serde(default)]
    pub warming: bool,
    /// The leader keeps it back: enough others of its service and hall are in use ([`crate::subset`]).
    #[serde(default)]
    pub standby: bool,
    /// Where it stands.
    pub phase: Phase,
    /// Rises with each heartbeat, so that a late one is known.
    pub sequence: u64,
}

impl Registration {
    /// The name that the endpoint bears in all its lives.
    pub fn name(&self) -> &str {
        id::name_of(&self.endpoint, self.born)
    }

    /// The same in another phase.
    fn in_phase(&self, phase: Phase) -> Arc<Registration> {
        Arc::new(Registration { phase, ..self.clone() })
    }

    /// The end of a life that is not known here, but may be elsewhere.
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
        }
    }
}

/// What an instance lacks of the leader's registry.
pub type RegistryDelta = MapDelta<EndpointId, Arc<Registration>>;

/// All endpoints heard of.
#[derive(Clone, Debug)]
pub struct Registry {
    /// Shared with all who hold a copy: there are thousands, and few of them change.
    entries: DeltaMap<EndpointId, Arc<Registration>>,
    /// When each was last heard of, here.
    heard: HashMap<EndpointId, Duration>,
    /// The last endpoint that came at each address.
    addresses: HashMap<Arc<str>, EndpointId>,
    /// The latest life of each name.
    lives: Lives,
    /// An endpoint unheard for this long is shown as silent.
    silence: Duration,
    /// Which endpoints are told to whom, at the leader.
    subsets: Subsets,
    /// What this instance is not told of, by the last answer.
    scope: Option<Scope>,
    /// It is told everything all the same, as it may lead next.
    whole: bool,
}

/// The life that another one of its name replaces.
#[derive(Debug)]
struct Before {
    life: Option<Arc<Registration>>,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing but when it was last heard.
    None,
    /// The endpoint is new, or something of it has changed.
    Entry,
    /// It takes no more work from now on.
    Leave,
}

impl Default for Registry {
    fn default() -> Self {
        Registry::new(Options::default().silence_timeout)
    }
}

impl Registry {
    /// An empty one, in which endpoints unheard for `silence` are shown as silent.
    pub fn new(silence: Duration) -> Registry {
        Registry {
            entries: DeltaMap::default(),
            heard: HashMap::new(),
            addresses: HashMap::new(),
            lives: Lives::default(),
            silence,
            subsets: Subsets::default(),
            scope: None,
            whole: false,
        }
    }

    /// Version of its content; the leader's term stands in the upper half.
    pub fn version(&self) -> Version {
        self.entries.version()
    }

    /// All endpoints, those that have ended included.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.entries.values()
    }

    /// Records what an endpoint said, at an instance that does not lead.
    pub fn record_heartbeat(&mut self, now: Duration, registration: &Registration) -> Change {
        let told = self.whole || self.scope.is_none() || self.entries.get(&registration.endpoint).is_some();
        if !told {
            // Were it used here, this instance would not be told when it leaves.
            return Change::None;
        }
        self.take_in(now, registration, false, DeltaMap::set_local)
    }

    /// Records what an endpoint said, at the leader.
    pub fn record_heartbeat_as_leader(&mut self, now: Duration, registration: &Registration) -> Change {
        self.take_in(now, registration, true, DeltaMap::set)
    }

    /// Records what an endpoint said; `leads` at the leader, where `put` puts in what others should know of.
    fn take_in(
        &mut self,
        now: Duration,
        said: &Registration,
        leads: bool,
        put: impl Fn(&mut DeltaMap<EndpointId, Arc<Registration>>, EndpointId, Arc<Registration>),
    ) -> Change {
        let Some(before) = self.find_before(now, said, leads) else { return Change::None };
        let other = self.other_at(now, said).filter(|other| other.name() != said.name());
        let is_older = |other: &Arc<Registration>| match (other.born, said.born) {
            (Some(other), Some(said)) => said < other,
            _ => said.sequence > FIRST_HEARTBEATS,
        };
        if other.as_ref().is_some_and(is_older) {
            // A heartbeat that was held up on its way, of an endpoint that has ended since.
            return Change::None;
        }
        let Some((next, mut change)) = self.judge(now, said, leads) else { return Change::None };
        if let Some(ended) = other {
            put(&mut self.entries, ended.endpoint.clone(), ended.in_phase(Phase::Gone));
            change = Change::Leave;
        }
        if let Some(before) = before.life {
            put(&mut self.entries, before.endpoint.clone(), before.in_phase(Phase::Replaced));
            change = Change::Leave;
        }
        self.lives.set(&next);
        self.addresses.insert(next.address.clone(), next.endpoint.clone());
        let endpoint = next.endpoint.clone();
        if change == Change::None {
            // A sequence number alone is not told to all.
            self.entries.set_unversioned(&endpoint, next);
        } else {
            put(&mut self.entries, endpoint, next);
        }
        change
    }

    /// The life that a word's life replaces, if it does; `None` for a word that counts for nothing.
    fn find_before(&mut self, now: Duration, said: &Registration, leads: bool) -> Option<Before> {
        let held = self.entries.get(&said.endpoint).is_some();
        if !held && self.entries.len() >= HELD_MOST {
            return None;
        }
        // Only the leader hears every word, and so whether a life has fallen silent.
        let unheard = |life: &EndpointId| match self.heard.get(life) {
            Some(heard) if leads => now.saturating_sub(*heard),
            Some(_) => Duration::ZERO,
            None => Duration::MAX,
        };
        match self.lives.judge(now, said, held, self.silence, unheard) {
            // A name that has told no start so far has one life, which bears it.
            Standing::Latest => Some(Before { life: said.born.and_then(|_| self.entries.get(said.name()).cloned()) }),
            Standing::Follows(before) => Some(Before { life: self.entries.get(&before).cloned() }),
            Standing::Late => None,
        }
    }

    /// The endpoint that another one, unknown so far, wants to follow at its address, where it was heard of late.
    fn other_at(&self, now: Duration, said: &Registration) -> Option<Arc<Registration>> {
        if said.phase != Phase::Ready || self.entries.get(&said.endpoint).is_some() {
            return None;
        }
        let other = self.entries.get(self.addresses.get(&said.address)?)?;
        let heard = self.heard.get(&other.endpoint).is_some_and(|heard| now < *heard + self.silence);
        (heard && other.phase < Phase::Gone).then(|| other.clone())
    }

    /// What an endpoint's word makes of its entry; `None` for a word that comes too late.
    fn judge(&mut self, now: Duration, said: &Registration, leads: bool) -> Option<(Arc<Registration>, Change)> {
        let Some(held) = self.entries.get(&said.endpoint) else {
            self.heard.insert(said.endpoint.clone(), now);
            let change = if said.phase >= Phase::Leaving { Change::Leave } else { Change::Entry };
            let standby = leads && said.phase == Phase::Ready && self.subsets.admit(said);
            return Some((Arc::new(Registration { standby, ..said.clone() }), change));
        };
        let ended = said.phase == Phase::Gone;
        if held.phase >= Phase::Gone || (!ended && said.sequence <= held.sequence) {
            return None;
        }
        self.heard.insert(said.endpoint.clone(), now);
        let sequence = said.sequence.max(held.sequence);
        let next = Registration { sequence, standby: held.standby, ..said.clone() };
        let same = Registration { sequence, ..Registration::clone(held) } == next;
        let leaves = next.phase >= Phase::Leaving && next.phase != held.phase;
        let change = match (same, leaves) {
            (true, _) => Change::None,
            (false, true) => Change::Leave,
            (false, false) => Change::Entry,
        };
        Some((Arc::new(next), change))
    }

    /// Starts a leader's version numbers for `term` and counts every endpoint as just heard of.
    pub fn begin_term(&mut self, now: Duration, term: u64) {
        self.entries.begin_term(term);
        self.heard = self.entries.keys().map(|endpoint| (endpoint.clone(), now)).collect();
        let live = self.entries.values().filter(|held| held.phase < Phase::Gone);
        self.addresses = live.map(|held| (held.address.clone(), held.endpoint.clone())).collect();
        self.lives = Lives::default();
        let followed = self.lives.learn(self.entries.values());
        self.replace(followed, DeltaMap::set);
    }

    /// Ages the leader's entries: the unheard become silent, then are dropped.
    pub fn expire(&mut self, now: Duration) {
        let unheard = |endpoint: &EndpointId| now.saturating_sub(self.heard.get(endpoint).copied().unwrap_or_default());
        let mut dropped = Vec::new();
        let mut silent = Vec::new();
        for held in self.entries.values() {
            let kept = if held.phase == Phase::Gone { REMEMBER_GONE } else { self.silence * FORGET };
            if unheard(&held.endpoint) >= kept {
                dropped.push(held.endpoint.clone());
            } else if held.phase == Phase::Ready && unheard(&held.endpoint) >= self.silence {
                silent.push(held.in_phase(Phase::Silent));
            }
        }
        for endpoint in &dropped {
            self.entries.remove(endpoint);
            self.heard.remove(endpoint);
        }
        if !dropped.is_empty() {
            self.forget_unknown();
        }
        for registration in silent {
            self.entries.set(registration.endpoint.clone(), registration);
        }
    }

    /// Records what the leader spread. An endpoint's own later word, heard here, stays. Returns whether any endpoint
    /// takes no more work now that did before.
    pub fn apply_delta(&mut self, now: Duration, news: RegistryDelta) -> bool {
        let leaves = |told: &Arc<Registration>| {
            let before = self.entries.get(&told.endpoint).map(|held| held.phase);
            told.phase >= Phase::Leaving && before.is_none_or(|before| before < Phase::Leaving)
        };
        let left = news.entries.iter().any(|told| leaves(&told.value));
        let told: Vec<EndpointId> = news.entries.iter().map(|told| told.key.clone()).collect();
        let live = news.entries.iter().filter(|told| told.value.phase < Phase::Leaving);
        let live: Vec<_> = live.map(|told| (told.value.address.clone(), told.key.clone())).collect();
        let removes = news.whole || !news.removed.is_empty();
        let (heard, silence) = (&self.heard, self.silence);
        let recent = |endpoint: &EndpointId| heard.get(endpoint).is_some_and(|heard| now < *heard + silence);
        let taken = self.entries.apply(news, is_later, |endpoint, _| recent(endpoint));
        if taken {
            self.heard.extend(told.iter().map(|endpoint| (endpoint.clone(), now)));
            self.addresses.extend(live);
            let told = told.iter().filter_map(|endpoint| self.entries.get(endpoint));
            let followed = self.lives.learn(told);
            self.replace(followed, DeltaMap::set_local);
        }
        if taken && removes {
            self.heard.retain(|endpoint, _| self.entries.get(endpoint).is_some());
            self.forget_unknown();
        }
        taken && left
    }

    /// Notes that later lives have followed these.
    fn replace(
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

    /// Drops what has ended long ago, at an instance that does not lead.
    pub fn forget_gone(&mut self, now: Duration) {
        let heard = &self.heard;
        let old = |endpoint: &EndpointId| heard.get(endpoint).is_none_or(|heard| now >= *heard + REMEMBER_GONE);
        let before = self.entries.len();
        self.entries.retain_local(|endpoint, held| held.phase < Phase::Gone || !old(endpoint));
        // This comes with every tick, and what is kept beside thousands of entries takes long to look through.
        if self.entries.len() != before {
            self.forget_unknown();
        }
    }

    /// Drops what is kept beside entries that are no more.
    fn forget_unknown(&mut self) {
        self.addresses.retain(|_, endpoint| self.entries.get(endpoint).is_some());
        self.lives.retain(|endpoint| self.entries.get(endpoint).is_some());
    }
}

/// True where what the leader tells of an endpoint is not older than what is held.
fn is_later(held: &Arc<Registration>, told: &Arc<Registration>) -> bool {
    if told.phase >= Phase::Gone {
        return told.phase > held.phase;
    }
    held.phase < Phase::Gone && held.sequence <= told.sequence
}
