//! Which life of an endpoint's name is the latest.
//!
//! An endpoint may restart under the same name. Its lives are ordered by start time, by its own clock: the later one
//! replaces the earlier, whose late heartbeats are ignored. If the clock stepped back between two starts, the later life has
//! the earlier start time. Such a life replaces the other once that one has become silent while its own heartbeats go on for
//! `MIN_CANDIDACY`; delayed heartbeats would arrive in a burst.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_model::{Born, EndpointId};

use crate::registry::{Phase, Registration};

/// How long a life with an earlier start must send heartbeats before it can replace a later one: nearly two of the usual
/// intervals of 1.2 s.
const MIN_CANDIDACY: Duration = Duration::from_secs(2);

/// How the life in a heartbeat relates to the other lives of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is the latest or the only known one.
    Latest,
    /// It replaces this one.
    Replaces(EndpointId),
    /// It is an earlier one, or can't be ordered.
    Stale,
}

/// A life with an earlier start than the latest one, which it may still replace.
#[derive(Clone, Debug)]
struct Candidate {
    life: EndpointId,
    since: Duration,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Life {
    endpoint: EndpointId,
    born: Born,
    candidate: Option<Box<Candidate>>,
}

/// The latest life of each name that reports start times. Other names have a single life.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    latest: HashMap<Arc<str>, Life>,
}

impl Lives {
    /// Relates the life in a heartbeat to the others of its name. `held` is true if its life is in the registry, `unheard`
    /// returns the time since a life's last heartbeat, and `silence` is the time after which a life counts as silent.
    pub fn classify(
        &mut self,
        now: Duration,
        heartbeat: &Registration,
        held: bool,
        silence: Duration,
        unheard: impl Fn(&EndpointId) -> Duration,
    ) -> Standing {
        let Some(latest) = self.latest.get_mut(heartbeat.name()) else { return Standing::Latest };
        if latest.endpoint == heartbeat.endpoint {
            latest.candidate = None;
            return Standing::Latest;
        }
        // A life in the registry that isn't the latest was replaced. A heartbeat without a start time, for a name that
        // reports them, comes from another sender.
        let Some(born) = heartbeat.born.filter(|_| !held) else { return Standing::Stale };
        let later = latest.born < born;
        if later || latest.observe_candidate(now, heartbeat, unheard(&latest.endpoint) >= silence) {
            return Standing::Replaces(latest.endpoint.clone());
        }
        Standing::Stale
    }

    /// Returns the latest life of a name that reports start times.
    pub(crate) fn latest(&self, name: &str) -> Option<&EndpointId> {
        self.latest.get(name).map(|life| &life.endpoint)
    }

    /// Sets the latest life of a name.
    pub fn set(&mut self, life: &Registration) {
        let Some(born) = life.born else { return };
        if self.latest.get(life.name()).is_some_and(|latest| latest.endpoint == life.endpoint) {
            return;
        }
        let next = Life { endpoint: life.endpoint.clone(), born, candidate: None };
        self.latest.insert(life.name().into(), next);
    }

    /// Applies entries of the leader, which knows which life replaced which. A later life that only this instance knows
    /// stays the latest. Returns the lives that others have replaced.
    pub fn apply<'a>(&mut self, entries: impl Iterator<Item = &'a Arc<Registration>> + Clone) -> Vec<EndpointId> {
        let mut replaced = Vec::new();
        for life in entries.clone().filter(|life| life.phase == Phase::Replaced) {
            if self.latest.get(life.name()).is_some_and(|latest| latest.endpoint == life.endpoint) {
                self.latest.remove(life.name());
            }
        }
        for life in entries.filter(|life| life.phase != Phase::Replaced) {
            match self.latest.get(life.name()) {
                Some(latest) if latest.endpoint == life.endpoint => {}
                Some(latest) if Some(latest.born) >= life.born => replaced.push(life.endpoint.clone()),
                latest => {
                    replaced.extend(latest.map(|latest| latest.endpoint.clone()));
                    self.set(life);
                }
            }
        }
        replaced
    }

    /// Drops the lives that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.latest.retain(|_, life| known(&life.endpoint));
    }
}

impl Life {
    /// Records a heartbeat of a life with an earlier start. Returns whether it has outlived this one, which may be `silent`.
    fn observe_candidate(&mut self, now: Duration, heartbeat: &Registration, silent: bool) -> bool {
        let known = self.candidate.as_mut().filter(|candidate| candidate.life == heartbeat.endpoint);
        let Some(candidate) = known else {
            let candidate = Candidate { life: heartbeat.endpoint.clone(), since: now, sequence: heartbeat.sequence };
            self.candidate = Some(Box::new(candidate));
            return false;
        };
        if heartbeat.sequence <= candidate.sequence {
            return false;
        }
        candidate.sequence = heartbeat.sequence;
        now >= candidate.since + MIN_CANDIDACY && silent
    }
}
