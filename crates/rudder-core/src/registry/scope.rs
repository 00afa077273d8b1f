//! Scopes of the registry: which endpoints the leader sends to which hall, and which ones a copy holds. The rules are in
//! [`crate::subset`].

use std::sync::Arc;

use rudder_model::HallId;

use super::{Registration, Registry, RegistryDelta};
use crate::{delta_map::Version, subset::Scope};

/// Most endpoints in one answer: some 400 KB, which a link of 10 Mbit/s carries in a third of a second.
const MAX_PAGE_ENTRIES: usize = 4_000;

impl Registry {
    /// The endpoints that the instances of `hall` send requests to.
    pub fn used_in<'a>(&'a self, hall: &'a HallId) -> impl Iterator<Item = &'a Arc<Registration>> {
        self.iter().filter(move |held| self.scope.as_ref().is_none_or(|scope| scope.includes(hall, held)))
    }

    /// Makes this instance receive all endpoints, whatever the scope.
    pub fn set_unscoped(&mut self) {
        self.unscoped = true;
    }

    /// Which endpoints this instance receives; `None` if it receives all.
    pub fn scope(&self) -> Option<&Scope> {
        self.scope.as_ref()
    }

    /// True if scopes are in force and this instance still needs all endpoints, which only the leader has.
    pub fn asks_for_all(&self) -> bool {
        self.unscoped && self.scope.is_some()
    }

    /// Sets which endpoints this instance, of `hall`, receives. Drops those outside the scope, as it gets no more updates
    /// of them.
    pub fn set_scope(&mut self, hall: &HallId, scope: Option<Scope>) {
        if scope == self.scope {
            return;
        }
        let first = self.scope.is_none();
        self.scope = scope;
        let Some(scope) = &self.scope else { return };
        if self.unscoped {
            if first {
                // The answers so far may come from a relay, which knows only the endpoints in the scope of its hall.
                self.entries.reset_version();
            }
            return;
        }
        self.entries.retain_replicated(|held| scope.includes(hall, held));
        self.last_heard.retain(|endpoint, _| self.entries.get(endpoint).is_some());
        self.prune_indexes();
    }

    /// Which endpoints the instances of `hall` receive, at the leader; `None` if all.
    pub fn scope_for(&self, hall: &HallId) -> Option<Scope> {
        self.subsets.scope_of(hall)
    }

    /// Recomputes the subsets of all halls, at the leader. `calls` returns the requests in flight at an endpoint.
    pub fn update_subsets(&mut self, calls: impl Fn(&Registration) -> u32) {
        let activated = self.subsets.recount(self.entries.values(), calls);
        for endpoint in activated {
            let Some(held) = self.entries.get(&endpoint) else { continue };
            let next = Arc::new(Registration { standby: false, ..Registration::clone(held) });
            self.entries.set(endpoint, next);
        }
        let entries = &mut self.entries;
        self.subsets.update_locality(|| entries.advance());
    }

    /// What an instance of `hall` that holds `version` lacks of the endpoints in `scope`, or of all; `None` if nothing.
    pub fn delta_since(&self, version: Version, hall: &HallId, scope: Option<&Scope>) -> Option<RegistryDelta> {
        let rescan = scope.is_some_and(|scope| scope.widened.iter().any(|widened| widened.version > version));
        self.entries.delta_for(version, MAX_PAGE_ENTRIES, rescan, |held| match scope {
            Some(scope) if !scope.includes(hall, held) => None,
            scope => Some(scope.map_or(0, |scope| scope.included_since(hall, held))),
        })
    }
}
