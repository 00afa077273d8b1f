//! Services that routes have left. A stream that began before goes on at its service or not at all, so the services of its
//! route at that time count among those that may have begun it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rudder_clock::Moment;

use crate::plan::{Plan, Route};

/// How long a service counts after a route has left it: longer than a stream lasts.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of entries; the oldest are dropped first.
const MAX_ENTRIES: usize = 1_024;

#[derive(Debug)]
struct Former {
    host: Arc<str>,
    prefix: Arc<str>,
    service: Arc<str>,
    until: Moment,
}

/// Services that routes for resumable streams have left.
#[derive(Debug, Default)]
pub struct FormerServices {
    entries: VecDeque<Former>,
}

impl FormerServices {
    /// Records the services that routes of `before` have and those of `after` at the same place lack.
    pub fn record(&mut self, before: &Plan, after: &Plan, now: Moment) {
        self.entries.retain(|former| now < former.until);
        let places: HashMap<_, _> = after.routes().map(|route| ((&route.host, &route.prefix), route)).collect();
        for route in before.routes().filter(|route| route.resumable) {
            let same = places.get(&(&route.host, &route.prefix)).copied();
            let next = same.or_else(|| after.find(&route.host, &route.prefix));
            for share in &route.shares {
                if next.is_some_and(|next| has_service(next, &share.service)) {
                    continue;
                }
                if self.entries.len() >= MAX_ENTRIES {
                    self.entries.pop_front();
                }
                self.entries.push_back(Former {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                    service: share.service.clone(),
                    until: now + RETENTION,
                });
            }
        }
    }

    /// Returns the services that requests for a place may have gone to before.
    pub fn of<'a>(&'a self, host: &'a str, path: &'a str, now: Moment) -> impl Iterator<Item = &'a Arc<str>> {
        let is_there =
            move |former: &&Former| now < former.until && *former.host == *host && path.starts_with(&*former.prefix);
        self.entries.iter().filter(is_there).map(|former| &former.service)
    }
}

fn has_service(route: &Route, service: &str) -> bool {
    route.shares.iter().any(|share| *share.service == *service)
}
