//! Endpoints by service, as traffic looks them up: built anew when the registry changes, not for each request.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use rudder_core::{Phase, Registration};
use rudder_model::EndpointId;

/// All endpoints known.
#[derive(Debug, Default)]
pub struct Roster {
    services: HashMap<Arc<str>, Vec<Arc<Registration>>>,
    /// All endpoints, in the order of their ids: the registry gives them so, and a set of thousands takes far longer to build.
    all: Vec<Arc<Registration>>,
    replaced: HashSet<EndpointId>,
}

impl Roster {
    /// The roster of these endpoints.
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
        if !roster.all.is_sorted_by_key(|held| &held.endpoint) {
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

    /// Lives that a later one of the same name has replaced.
    pub fn replaced(&self) -> &HashSet<EndpointId> {
        &self.replaced
    }

    /// The ids of all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.all.iter().map(|held| &held.endpoint)
    }

    /// True where the endpoint is known.
    pub fn knows(&self, endpoint: &EndpointId) -> bool {
        self.get(endpoint).is_some()
    }

    /// The endpoint of this id.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Arc<Registration>> {
        let at = self.all.binary_search_by(|held| held.endpoint.cmp(endpoint)).ok()?;
        Some(&self.all[at])
    }
}
