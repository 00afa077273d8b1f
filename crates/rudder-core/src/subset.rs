//! Subsets: which endpoints the instances of a hall receive.
//!
//! If hundreds of instances knew thousands of endpoints, the updates and loads that they exchange would grow with the product
//! of both. A few hundred endpoints are enough for the callers of a hall. So the leader keeps the endpoints of a service and
//! hall above a number in standby, which only the possible next leaders receive, and a hall with enough endpoints of a
//! service doesn't receive those of other halls. All instances of a hall receive the same subset, so that they agree on
//! which endpoint caches a session's prompt, and they receive all updates of the endpoints in it.
//!
//! Endpoints leave standby when others are lost, or when half of the slots in use are taken.

use std::{collections::BTreeMap, sync::Arc};

use rudder_model::{EndpointId, HallId};
use serde::{Deserialize, Serialize};

use crate::{
    delta_map::Version,
    registry::{Phase, Registration},
};

/// Endpoints of a service in a hall that are in use by default; enough for the requests of a few hundred instances, and
/// to spread their sessions over many engines.
const DEFAULT_USED: usize = 256;
/// With this many endpoints of its own, a hall doesn't receive those of other halls.
const LOCAL_MIN_USED: usize = DEFAULT_USED / 2;
/// With fewer endpoints of its own, it receives those of other halls again.
const WIDEN_BELOW_USED: usize = LOCAL_MIN_USED / 2;
/// Fraction of the slots taken from which on more endpoints are needed.
const HIGH_UTILISATION: f64 = 0.5;
/// Fraction of the slots taken below which a hall's own endpoints are enough again.
const LOW_UTILISATION: f64 = 0.25;

/// Which endpoints an instance receives, as sent by the leader or relay that answers it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// Services of which it receives only the endpoints of its own hall.
    pub local: Vec<Arc<str>>,
    /// Services of which it receives the endpoints of other halls again.
    pub widened: Vec<Widened>,
}

/// A service of which the endpoints of other halls are sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Widened {
    /// The service.
    pub service: Arc<str>,
    /// Registry version since which they are.
    pub version: Version,
}

impl Scope {
    /// True if the instances of `hall` receive `held`.
    pub fn includes(&self, hall: &HallId, held: &Registration) -> bool {
        !held.standby && (held.hall == *hall || !self.local.contains(&held.service))
    }

    /// Registry version since which the instances of `hall` receive `held`; 0 if they always have.
    pub fn included_since(&self, hall: &HallId, held: &Registration) -> Version {
        let widened = self.widened.iter().find(|widened| widened.service == held.service);
        widened.filter(|_| held.hall != *hall).map_or(0, |widened| widened.version)
    }
}

/// The endpoints of one service in one hall.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Number of ready ones in use.
    used: usize,
    /// Ready ones in standby.
    standby: Vec<EndpointId>,
    /// Number that should be in use, if above the default.
    wanted: usize,
    /// The instances of the hall receive no endpoints of other halls.
    local: bool,
    /// Registry version since which they receive those again; 0 if never.
    widened: Version,
    /// Requests in flight at those in use.
    calls: u32,
    /// Slots of those in use.
    slots: u32,
}

impl Group {
    fn is_utilised(&self, fraction: f64) -> bool {
        f64::from(self.calls) >= f64::from(self.slots) * fraction
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    service: Arc<str>,
    hall: HallId,
}

/// The groups of all services and halls, at the leader.
#[derive(Clone, Debug, Default)]
pub struct Subsets {
    groups: BTreeMap<GroupKey, Group>,
}

fn group_key(held: &Registration) -> GroupKey {
    GroupKey { service: held.service.clone(), hall: held.hall.clone() }
}

impl Subsets {
    /// Counts a new endpoint. Returns true if it starts in standby, since enough of its service and hall are in use.
    pub fn starts_in_standby(&mut self, new: &Registration) -> bool {
        let group = self.groups.entry(group_key(new)).or_default();
        if group.used >= group.wanted.max(DEFAULT_USED) {
            return true;
        }
        group.used += 1;
        false
    }

    /// Recounts all endpoints; `calls` returns the requests in flight at one. Returns those that leave standby.
    pub fn recount<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Arc<Registration>>,
        calls: impl Fn(&Registration) -> u32,
    ) -> Vec<EndpointId> {
        for group in self.groups.values_mut() {
            *group = Group { wanted: group.wanted, local: group.local, widened: group.widened, ..Group::default() };
        }
        for held in entries.filter(|held| held.phase == Phase::Ready) {
            let group = self.groups.entry(group_key(held)).or_default();
            if held.standby {
                group.standby.push(held.endpoint.clone());
                continue;
            }
            group.used += 1;
            group.slots += held.slots;
            group.calls += calls(held);
        }
        let mut activated = Vec::new();
        for group in self.groups.values_mut() {
            if group.is_utilised(HIGH_UTILISATION) {
                group.wanted = group.wanted.max(group.used * 2);
            }
            let missing = group.wanted.max(DEFAULT_USED).saturating_sub(group.used);
            let count = group.standby.len().min(missing);
            activated.extend(group.standby.drain(..count));
            group.used += count;
        }
        activated
    }

    /// Updates which halls have enough endpoints of their own; `next_version` returns the version of a change.
    pub fn update_locality(&mut self, mut next_version: impl FnMut() -> Version) {
        for group in self.groups.values_mut() {
            let short =
                group.used < WIDEN_BELOW_USED || (group.is_utilised(HIGH_UTILISATION) && group.standby.is_empty());
            if group.local && short {
                group.local = false;
                group.widened = next_version();
            } else if !group.local && group.used >= LOCAL_MIN_USED && !group.is_utilised(LOW_UTILISATION) {
                group.local = true;
            }
        }
    }

    /// Which endpoints the instances of `hall` receive; `None` if all instances receive all.
    pub fn scope_of(&self, hall: &HallId) -> Option<Scope> {
        let partial = self.groups.values().any(|group| group.local || group.widened > 0 || !group.standby.is_empty());
        if !partial {
            return None;
        }
        let mut scope = Scope::default();
        for (key, group) in self.groups.iter().filter(|(key, _)| key.hall == *hall) {
            let service = key.service.clone();
            if group.local {
                scope.local.push(service);
            } else if group.widened > 0 {
                scope.widened.push(Widened { service, version: group.widened });
            }
        }
        Some(scope)
    }
}
