//! The endpoints that the instances of each hall are told of, in short, so that loads of others are not told to them.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use rudder_model::{EndpointTag, HallId, id};

use crate::{Registry, delta_map::Version, subset::Scope};

/// Time between two looks through the registry for one hall: it has thousands of endpoints, and changes all the time.
const PAUSE: Duration = Duration::from_millis(500);

/// Those of one hall, as of a version of the registry.
#[derive(Debug)]
struct Known {
    version: Version,
    at: Duration,
    tags: Arc<HashSet<EndpointTag>>,
}

/// Those of all halls.
#[derive(Debug, Default)]
pub(crate) struct HallTags {
    halls: BTreeMap<HallId, Known>,
}

impl HallTags {
    /// Those of `hall`, which `scope` tells of; worked out anew a few times a second where the registry has changed.
    pub(crate) fn of(
        &mut self,
        now: Duration,
        hall: &HallId,
        scope: &Scope,
        registry: &Registry,
    ) -> Arc<HashSet<EndpointTag>> {
        let version = registry.version();
        let known = self.halls.get(hall).filter(|known| known.version == version || now < known.at + PAUSE);
        if let Some(known) = known {
            return known.tags.clone();
        }
        let told = registry.iter().filter(|held| scope.includes(hall, held));
        let tags: Arc<HashSet<EndpointTag>> = Arc::new(told.map(|held| id::endpoint_tag(&held.endpoint)).collect());
        self.halls.insert(hall.clone(), Known { version, at: now, tags: tags.clone() });
        tags
    }
}
