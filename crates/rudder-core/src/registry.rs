//! Endpoints that register themselves: soft state that every instance may hear first and the leader
//! spreads. Nothing of it is durable: after a loss it is rebuilt from the next heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rudder_model::{EndpointId, HallId};
use serde::{Deserialize, Serialize};

/// An endpoint unheard for this long is shown as silent.
const SILENT: Duration = Duration::from_secs(5);
/// An endpoint unheard for this long is taken off.
const FORGET: Duration = Duration::from_secs(30);
/// An endpoint that has ended is remembered for this long, so that a late heartbeat does not revive it.
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
    /// It has ended.
    Gone,
}

/// What an endpoint says of itself in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// One start of the endpoint.
    pub endpoint: EndpointId,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Where it is reached, IP:PORT.
    pub address: Arc<str>,
    /// Its hall.
    pub hall: HallId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Where it stands.
    pub phase: Phase,
    /// Rises with each heartbeat, so that a late one is known.
    pub sequence: u64,
}

/// A registration as it is passed between instances, with the registry version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
    /// What the endpoint said.
    pub registration: Registration,
    /// Version of the leader's registry at which it last changed.
    pub changed: u64,
}

/// What a watcher lacks of the leader's registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryNews {
    /// The version this leads to.
    pub version: u64,
    /// All there is, not only what changed.
    pub whole: bool,
    /// What changed.
    pub entries: Vec<Registered>,
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    heard: Duration,
    changed: u64,
}

/// All endpoints heard of.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<EndpointId, Entry>,
    version: u64,
}

impl Registry {
    /// Version of its content; the leader's term stands in the upper half.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All endpoints, those that have ended included.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|entry| &entry.registration)
    }

    /// Takes in what an endpoint said. True when that changes more than its sequence number.
    pub fn hear(&mut self, now: Duration, registration: &Registration) -> bool {
        let Some(entry) = self.entries.get_mut(&registration.endpoint) else {
            let entry = Entry { registration: registration.clone(), heard: now, changed: 0 };
            self.entries.insert(registration.endpoint.clone(), entry);
            return true;
        };
        let held = &mut entry.registration;
        if held.phase == Phase::Gone {
            return false;
        }
        let ended = registration.phase == Phase::Gone;
        if !ended && registration.sequence <= held.sequence {
            return false;
        }
        entry.heard = now;
        let sequence = registration.sequence.max(held.sequence);
        let mut next = registration.clone();
        next.sequence = held.sequence;
        let changed = next != *held;
        next.sequence = sequence;
        *held = next;
        changed
    }

    /// Starts a leader's version numbers for `term` and counts every endpoint as just heard of.
    pub fn lead(&mut self, now: Duration, term: u64) {
        self.version = term << 32;
        for entry in self.entries.values_mut() {
            entry.heard = now;
        }
        let endpoints: Vec<EndpointId> = self.entries.keys().cloned().collect();
        for endpoint in endpoints {
            self.mark_changed(&endpoint);
        }
    }

    /// Gives an endpoint's entry the next version.
    pub fn mark_changed(&mut self, endpoint: &EndpointId) {
        let Some(entry) = self.entries.get_mut(endpoint) else { return };
        self.version += 1;
        entry.changed = self.version;
    }

    /// Ages entries: the unheard become silent, then are dropped. Returns whether any changed.
    pub fn age(&mut self, now: Duration) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let kept = if entry.registration.phase == Phase::Gone { REMEMBER_GONE } else { FORGET };
            now < entry.heard + kept
        });
        let silent = |entry: &Entry| entry.registration.phase == Phase::Ready && now >= entry.heard + SILENT;
        let quiet: Vec<EndpointId> =
            self.entries.iter().filter(|(_, entry)| silent(entry)).map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &quiet {
            if let Some(entry) = self.entries.get_mut(endpoint) {
                entry.registration.phase = Phase::Silent;
            }
            self.mark_changed(endpoint);
        }
        before != self.entries.len() || !quiet.is_empty()
    }

    /// What a watcher that holds `version` lacks; `None` where it lacks nothing.
    pub fn news_after(&self, version: u64) -> Option<RegistryNews> {
        if version == self.version {
            return None;
        }
        let whole = version >> 32 != self.version >> 32 || version > self.version;
        let lacks = |entry: &&Entry| whole || entry.changed > version;
        let entries = self
            .entries
            .values()
            .filter(lacks)
            .map(|entry| Registered { registration: entry.registration.clone(), changed: entry.changed });
        Some(RegistryNews { version: self.version, whole, entries: entries.collect() })
    }

    /// Takes in what the leader spread. An endpoint's own later word, heard here, stays.
    pub fn take_news(&mut self, now: Duration, news: RegistryNews) {
        self.version = news.version;
        let mut named: BTreeSet<EndpointId> = BTreeSet::new();
        for registered in news.entries {
            let registration = registered.registration;
            named.insert(registration.endpoint.clone());
            let held = self.entries.get(&registration.endpoint).map(|entry| &entry.registration);
            let later = held.is_some_and(|held| {
                held.phase == Phase::Gone
                    || (held.sequence > registration.sequence && registration.phase != Phase::Gone)
            });
            if later {
                continue;
            }
            let entry = Entry { heard: now, changed: registered.changed, registration };
            self.entries.insert(entry.registration.endpoint.clone(), entry);
        }
        if news.whole {
            self.entries.retain(|endpoint, entry| named.contains(endpoint) || now < entry.heard + SILENT);
        }
    }

    /// Drops what has ended long ago, at an instance that does not lead.
    pub fn forget_gone(&mut self, now: Duration) {
        self.entries.retain(|_, entry| entry.registration.phase != Phase::Gone || now < entry.heard + REMEMBER_GONE);
    }
}
