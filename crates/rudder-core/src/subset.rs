//! Subsets: of many endpoints, which ones the instances of a hall are told of.
//!
//! Hundreds of instances cannot all know thousands of endpoints: what they are told, and the loads that they exchange, would
//! grow with the product. Nor need they: a hall's instances share the requests of its callers, for which a few hundred of the
//! hall's endpoints are enough. So of each service and hall the leader keeps endpoints above a number in standby, which
//! are told to nobody but those who may lead next; and the instances of a hall that has enough endpoints of a service are not
//! told those of other halls. All instances of a hall are told the same ones, so that they agree where a session's prompt is
//! kept. Who is told of an endpoint is told all that becomes of it.
//!
//! More are taken out of standby where endpoints are lost, or where half of the slots of those in use are taken.

use std::{collections::BTreeMap, sync::Arc};

use rudder_model::{EndpointId, HallId};
use serde::{Deserialize, Serialize};

use crate::{
    delta_map::Version,
    registry::{Phase, Registration},
};

/// Endpoints of a service in a hall that are in use as long as they are enough: a few hundred instances have room for all
/// their requests there, and for sessions to be spread over many engines.
const USED: usize = 256;
/// Endpoints of its own hall from which on an instance is told none of other halls.
const LOCAL_FROM: usize = USED / 2;
/// Fewer, and it is told those of other halls again.
const LOCAL_LEAST: usize = LOCAL_FROM / 2;
/// Part of the slots in use from which on more endpoints are needed.
const CROWDED: f64 = 0.5;
/// Part of the slots in use below which a hall's own endpoints are enough again.
const IDLE: f64 = 0.25;

/// What an instance is not told of, as whoever answers it says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    /// Services whose endpoints of other halls it is not told of.
    pub local: Vec<Arc<str>>,
    /// Services whose endpoints of other halls it was not told of, and is again.
    pub widened: Vec<Widened>,
}

/// A service whose endpoints of other halls are told again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Widened {
    /// The service.
    pub service: Arc<str>,
    /// Version of the registry since which they are.
    pub version: Version,
}

impl Scope {
    /// True where the instances of `hall` are told of `held`.
    pub fn includes(&self, hall: &HallId, held: &Registration) -> bool {
        !held.standby && (held.hall == *hall || !self.local.contains(&held.service))
    }

    /// Version since which the instances of `hall` are told of `held`, where they were not always.
    pub fn included_since(&self, hall: &HallId, held: &Registration) -> Version {
        let widened = self.widened.iter().find(|widened| widened.service == held.service);
        widened.filter(|_| held.hall != *hall).map_or(0, |widened| widened.version)
    }
}

/// The endpoints of one service in one hall.
#[derive(Clone, Debug, Default)]
struct Group {
    /// Those in use that are ready.
    used: usize,
    /// Those that are ready and in standby.
    standby: Vec<EndpointId>,
    /// How many should be in use.
    wanted: usize,
    /// The instances of the hall are told no others.
    local: bool,
    /// Version since which they are told the others again.
    widened: Version,
    /// Requests under way at those in use, and their slots.
    calls: u32,
    slots: u32,
}

impl Group {
    fn is_busier_than(&self, part: f64) -> bool {
        f64::from(self.calls) >= f64::from(self.slots) * part
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    service: Arc<str>,
    hall: HallId,
}

/// All groups, at the leader.
#[derive(Clone, Debug, Default)]
pub struct Subsets {
    groups: BTreeMap<Place, Group>,
}

fn place_of(held: &Registration) -> Place {
    Place { service: held.service.clone(), hall: held.hall.clone() }
}

impl Subsets {
    /// True where a new endpoint is to wait in standby: enough of its service and hall are in use.
    pub fn admit(&mut self, new: &Registration) -> bool {
        let group = self.groups.entry(place_of(new)).or_default();
        if group.used >= group.wanted.max(USED) {
            return true;
        }
        group.used += 1;
        false
    }

    /// Counts all endpoints anew; `calls` tells the requests under way at one. Returns those to be taken out of standby.
    pub fn recount<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Arc<Registration>>,
        calls: impl Fn(&Registration) -> u32,
    ) -> Vec<EndpointId> {
        for group in self.groups.values_mut() {
            *group = Group { wanted: group.wanted, local: group.local, widened: group.widened, ..Group::default() };
        }
        for held in entries.filter(|held| held.phase == Phase::Ready) {
            // Most belong to a group that is known.
            let group = self.groups.entry(place_of(held)).or_default();
            if held.standby {
                group.standby.push(held.endpoint.clone());
                continue;
            }
            group.used += 1;
            group.slots += held.slots;
            group.calls += calls(held);
        }
        let mut called = Vec::new();
        for group in self.groups.values_mut() {
            if group.is_busier_than(CROWDED) {
                group.wanted = group.wanted.max(group.used * 2);
            }
            let lacking = group.wanted.max(USED).saturating_sub(group.used);
            let taken = group.standby.len().min(lacking);
            called.extend(group.standby.drain(..taken));
            group.used += taken;
        }
        called
    }

    /// Decides anew which halls have enough endpoints of their own; `next` gives the version of a change.
    pub fn decide(&mut self, mut next: impl FnMut() -> Version) {
        for group in self.groups.values_mut() {
            let short = group.used < LOCAL_LEAST || (group.is_busier_than(CROWDED) && group.standby.is_empty());
            if group.local && short {
                group.local = false;
                group.widened = next();
            } else if !group.local && group.used >= LOCAL_FROM && !group.is_busier_than(IDLE) {
                group.local = true;
            }
        }
    }

    /// What the instances of `hall` are not told of; `None` where all are told everything.
    pub fn scope_of(&self, hall: &HallId) -> Option<Scope> {
        let partial = self.groups.values().any(|group| group.local || group.widened > 0 || !group.standby.is_empty());
        if !partial {
            return None;
        }
        let mut scope = Scope::default();
        for (place, group) in self.groups.iter().filter(|(place, _)| place.hall == *hall) {
            let service = place.service.clone();
            if group.local {
                scope.local.push(service);
            } else if group.widened > 0 {
                scope.widened.push(Widened { service, version: group.widened });
            }
        }
        Some(scope)
    }
}
