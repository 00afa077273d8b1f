//! Where requests may go: halls that are evacuated get nothing, and what is bound to regions stays in them.

use std::{collections::BTreeMap, sync::Arc};

use rudder_ledger::Evacuations;
use rudder_model::{HallId, RegionId};

use crate::{Route, plan::Organisation};

/// The regions in which a request may be run and its prompt be kept; `None` where all are.
pub type Residency = Option<Arc<[RegionId]>>;

/// Halls, the regions that they lie in, and those that are evacuated.
#[derive(Debug, Default)]
pub struct Placement {
    regions: BTreeMap<HallId, RegionId>,
    evacuations: Arc<Evacuations>,
}

impl Placement {
    /// Halls that lie in these regions.
    pub fn new(regions: BTreeMap<HallId, RegionId>) -> Placement {
        Placement { regions, evacuations: Arc::default() }
    }

    /// Sets which halls are evacuated. Returns those that were and are no more.
    pub fn set_evacuations(&mut self, evacuations: Arc<Evacuations>) -> Vec<HallId> {
        let before = std::mem::replace(&mut self.evacuations, evacuations);
        let is_back = |hall: &&HallId| {
            // One that has just started knows no earlier state, and so takes all that ever came back for newly back.
            before.index() == 0 || before.is_evacuated(hall)
        };
        self.evacuations.returned().filter(is_back).cloned().collect()
    }

    /// True where the endpoints of `hall` may get requests.
    pub fn is_open(&self, hall: &HallId) -> bool {
        !self.evacuations.is_evacuated(hall)
    }

    /// Halls that are evacuated.
    pub fn evacuated(&self) -> usize {
        self.evacuations.evacuated().count()
    }

    /// True where an operator may name `hall`: it is one of the deployment, where the settings tell them.
    pub fn knows(&self, hall: &HallId) -> bool {
        self.regions.is_empty() || self.regions.contains_key(hall)
    }

    /// The region of `hall`, where it is known.
    pub fn region_of(&self, hall: &str) -> Option<&RegionId> {
        self.regions.get(hall)
    }

    /// True where `hall` lies in one of the regions of a `residency`. One whose region is not known does not.
    pub fn allows(&self, residency: Option<&[RegionId]>, hall: &HallId) -> bool {
        let Some(residency) = residency else { return true };
        self.regions.get(hall).is_some_and(|region| residency.contains(region))
    }
}

/// The regions that a request of an organisation on a route is bound to: both bind where both name any.
pub fn residency_of(route: &Route, organisation: Option<&Organisation>) -> Residency {
    let of_org = organisation.and_then(|organisation| organisation.residency.clone());
    let (Some(route), Some(org)) = (&route.residency, &of_org) else { return route.residency.clone().or(of_org) };
    Some(route.iter().filter(|region| org.contains(region)).cloned().collect())
}
