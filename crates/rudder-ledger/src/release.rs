//! Versions of endpoints' software that may have begun streams, by service. What two versions write does not fit together,
//! and the registry of endpoints forgets versions with the processes that hold it, so the versions in service are part of the
//! replicated state.
//!
//! A version takes steps that every instance can rely on, however late it learns of them: it is announced before any stream
//! begins at it, admitted once no instance acts on a state without it, and retired long before it is dropped.

use std::{collections::BTreeMap, sync::Arc};

use rudder_model::ShareTag;
use serde::{Deserialize, Serialize};

use crate::Moves;

/// Maximum number of versions of a service, and of services. More are not recorded, so no resumable stream begins there.
const MAX_VERSIONS: usize = 64;
const MAX_SERVICES: usize = 256;

/// A version of the software of a service's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Software {
    /// The service.
    pub service: Arc<str>,
    /// The version, as endpoints report it; empty if they report none.
    pub version: Arc<str>,
}

/// What a version may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Counts as a version that may have begun streams, but none may begin at it yet.
    Announced,
    /// Streams may begin at it.
    Admitted,
    /// None begin at it any more; earlier ones may still go on.
    Retired,
}

/// A step of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageChange {
    /// The version.
    pub software: Software,
    /// Its next stage; `None` drops it.
    pub stage: Option<Stage>,
}

/// The versions that may have begun streams which can still be resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Releases {
    /// Stages by service and version.
    services: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Stage>>,
    /// Log index of the last change.
    index: u64,
    /// Moves of routes after which streams of two services may be asked for at one place.
    #[serde(default)]
    moves: Moves,
}

impl Releases {
    /// Log index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns all versions with their stages.
    pub fn iter(&self) -> impl Iterator<Item = (Software, Stage)> {
        self.services().flat_map(|service| self.stages(service))
    }

    /// Returns the services with versions that may have begun streams.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Returns the recent moves of routes.
    pub fn moves(&self) -> &Moves {
        &self.moves
    }

    /// Records the moves of routes from one document to the next, whose shares are in ascending order.
    pub(crate) fn record_moves(&mut self, index: u64, before: &[ShareTag], after: &[ShareTag]) {
        if self.moves.record(index, before, after) {
            self.index = index;
        }
    }

    /// Drops the moves up to log index `until`. Returns whether there were any.
    pub(crate) fn forget_moves(&mut self, index: u64, until: u64) -> bool {
        let changed = self.moves.forget(until);
        if changed {
            self.index = index;
        }
        changed
    }

    /// Returns the versions of a service with their stages.
    pub fn stages<'a>(&'a self, service: &'a Arc<str>) -> impl Iterator<Item = (Software, Stage)> + 'a {
        let versions = self.services.get(service).into_iter().flatten();
        versions.map(|(version, stage)| (Software { service: service.clone(), version: version.clone() }, *stage))
    }

    /// Returns the versions of a service that may have begun streams.
    pub fn of(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        self.services.get(service).into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns the stage of a version, if it is held.
    pub fn stage(&self, software: &Software) -> Option<Stage> {
        self.stage_of(&software.service, &software.version)
    }

    /// Returns whether streams may begin at a version of a service.
    pub fn is_admitted(&self, service: &str, version: &str) -> bool {
        self.stage_of(service, version) == Some(Stage::Admitted)
    }

    fn stage_of(&self, service: &str, version: &str) -> Option<Stage> {
        self.services.get(service)?.get(version).copied()
    }

    /// Applies steps at log index `index`. Returns whether they changed anything.
    pub fn apply(&mut self, index: u64, steps: Vec<StageChange>) -> bool {
        let mut changed = false;
        for StageChange { software, stage } in steps {
            changed |= match stage {
                Some(stage) => self.set(software, stage),
                None => self.remove(&software),
            };
        }
        if changed {
            self.index = index;
        }
        changed
    }

    /// Returns whether no further version of a service is recorded.
    pub fn is_full(&self, service: &str) -> bool {
        self.services.get(service).map_or(self.services.len() >= MAX_SERVICES, |held| held.len() >= MAX_VERSIONS)
    }

    fn set(&mut self, software: Software, stage: Stage) -> bool {
        if self.is_full(&software.service) && self.stage(&software).is_none() {
            return false;
        }
        let versions = self.services.entry(software.service).or_default();
        versions.insert(software.version, stage) != Some(stage)
    }

    fn remove(&mut self, software: &Software) -> bool {
        let Some(versions) = self.services.get_mut(&software.service) else { return false };
        let removed = versions.remove(&software.version).is_some();
        if versions.is_empty() {
            self.services.remove(&software.service);
        }
        removed
    }

    /// Returns the whole state if it is newer than that of index `held`.
    pub fn news_after(&self, held: u64) -> Option<Releases> {
        (held < self.index).then(|| self.clone())
    }

    /// Replaces the state by a newer one. Returns whether it was newer.
    pub fn take(&mut self, news: Releases) -> bool {
        let newer = news.index > self.index;
        if newer {
            *self = news;
        }
        newer
    }
}
