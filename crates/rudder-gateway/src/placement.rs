//! Placement constraints: evacuated halls get no requests, and requests may be restricted to regions.

use std::{collections::BTreeMap, sync::Arc};

use rudder_ledger::Evacuations;
use rudder_model::{HallId, RegionId};

use crate::{Route, plan::Organisation};

/// The regions in which a request may run and its prompt be cached; `None` for all regions.
pub type Residency = Option<Arc<[RegionId]>>;

/// Regions of the halls, and evacuated halls.
#[derive(Debug, Default)]
pub struct Placement {
    regions: BTreeMap<HallId, RegionId>,
    evacuations: Arc<Evacuations>,
}

impl Placement {
    /// Creates it from the region of each hall.
    pub fn new(regions: BTreeMap<HallId, RegionId>) -> Placement {
        Placement { regions, evacuations: Arc::default() }
    }

    /// Sets which halls are evacuated. Returns those whose evacuation has ended.
    pub fn set_evacuations(&mut self, evacuations: Arc<Evacuations>) -> Vec<HallId> {
        let before = std::mem::replace(&mut self.evacuations, evacuations);
        let has_returned = |hall: &&HallId| {
            // Without an earlier state, every hall that ever returned counts as newly returned.
            before.index() == 0 || before.is_evacuated(hall)
        };
        self.evacuations.returned().filter(has_returned).cloned().collect()
    }

    /// Whether `hall` is in use, that is, not evacuated.
    pub fn is_open(&self, hall: &HallId) -> bool {
        !self.evacuations.is_evacuated(hall)
    }

    /// Number of evacuated halls.
    pub fn evacuated(&self) -> usize {
        self.evacuations.evacuated().count()
    }

    /// Whether `hall` is part of the deployment. If the settings name no halls, all names are accepted.
    pub fn knows(&self, hall: &HallId) -> bool {
        self.regions.is_empty() || self.regions.contains_key(hall)
    }

    /// The region of `hall`, if known.
    pub fn region_of(&self, hall: &str) -> Option<&RegionId> {
        self.regions.get(hall)
    }

    /// Whether `hall` lies in one of the regions of `residency`. A hall of unknown region does not, unless there is no
    /// restriction.
    pub fn allows(&self, residency: Option<&[RegionId]>, hall: &HallId) -> bool {
        let Some(residency) = residency else { return true };
        self.regions.get(hall).is_some_and(|region| residency.contains(region))
    }
}

/// The regions that a request is restricted to by its route and its organisation: the intersection if both have any.
pub fn residency_of(route: &Route, organisation: Option<&Organisation>) -> Residency {
    let of_organisation = organisation.and_then(|organisation| organisation.residency.clone());
    let (Some(of_route), Some(allowed)) = (&route.residency, &of_organisation) else {
        return route.residency.clone().or(of_organisation);
    };
    Some(of_route.iter().filter(|region| allowed.contains(region)).cloned().collect())
}
