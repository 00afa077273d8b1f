//! An index of all endpoints by service, rebuilt when the registry changes.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use rudder_core::{Phase, Registration};
use rudder_model::EndpointId;

/// All known endpoints.
#[derive(Debug, Default)]
pub struct Roster {
    services: HashMap<Arc<str>, Vec<Arc<Registration>>>,
    /// All endpoints, sorted by id. The registry yields them sorted, so this is faster to build than a set.
    all: Vec<Arc<Registration>>,
    replaced: HashSet<EndpointId>,
}

impl Roster {
    /// Builds the roster of these endpoints.
    pub fn new(endpoints: impl IntoIterator<Item = Arc<Registration>>) -> Roster {
        let mut roster = Roster::default();
        for registration in endpoints {
            roster.all.push(registration.clone());
            if registration.phase == Phase::Replaced {
                roster.replaced.insert(registration.endpoint.clone());
            }
            let of_service = roster.services.entry(registration.service.clone()).or_default();
            of_service.push(registration);
        }
        if !roster.all.is_sorted_by_key(|registration| &registration.endpoint) {
            roster.all.sort_unstable_by(|one, other| one.endpoint.cmp(&other.endpoint));
        }
        roster
    }

    /// The endpoints of a service.
    pub fn of(&self, service: &str) -> &[Arc<Registration>] {
        self.services.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// The endpoints of each service.
    pub fn services(&self) -> impl Iterator<Item = &[Arc<Registration>]> {
        self.services.values().map(Vec::as_slice)
    }

    /// Endpoints that were replaced by a later start of the same name.
    pub fn replaced(&self) -> &HashSet<EndpointId> {
        &self.replaced
    }

    /// The ids of all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.all.iter().map(|registration| &registration.endpoint)
    }

    /// Whether the endpoint is known.
    pub fn knows(&self, endpoint: &EndpointId) -> bool {
        self.get(endpoint).is_some()
    }

    /// The endpoint with this id.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Arc<Registration>> {
        let index = self.all.binary_search_by(|registration| registration.endpoint.cmp(endpoint)).ok()?;
        Some(&self.all[index])
    }
}
