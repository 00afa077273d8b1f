//! Tags of the endpoints that each hall receives, so that its instances aren't sent the loads of others.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rudder_model::{EndpointTag, HallId, id};

use crate::{Registry, delta_map::Version, subset::Scope};

/// Minimum time between two scans of the registry for one hall; it has thousands of endpoints and changes often.
const MIN_RECOMPUTE_INTERVAL: Duration = Duration::from_millis(500);

/// The tags of one hall, as of a version of the registry.
#[derive(Debug)]
struct Cached {
    version: Version,
    at: Duration,
    tags: Arc<HashSet<EndpointTag>>,
}

/// The cached tags of all halls.
#[derive(Debug, Default)]
pub(crate) struct HallTags {
    halls: BTreeMap<HallId, Cached>,
}

impl HallTags {
    /// The tags of the endpoints in `scope` of `hall`, recomputed if the registry has changed and the cached ones are too old.
    pub(crate) fn of(
        &mut self,
        now: Duration,
        hall: &HallId,
        scope: &Scope,
        registry: &Registry,
    ) -> Arc<HashSet<EndpointTag>> {
        let version = registry.version();
        let cached =
            self.halls.get(hall).filter(|cached| cached.version == version || now < cached.at + MIN_RECOMPUTE_INTERVAL);
        if let Some(cached) = cached {
            return cached.tags.clone();
        }
        let included = registry.iter().filter(|held| scope.includes(hall, held));
        let tags: Arc<HashSet<EndpointTag>> = Arc::new(included.map(|held| id::endpoint_tag(&held.endpoint)).collect());
        self.halls.insert(hall.clone(), Cached { version, at: now, tags: tags.clone() });
        tags
    }
}
