//! Which endpoints are told to whom: what the leader keeps back, and what a copy holds of it. How that is decided:
//! [`crate::subset`].

use std::sync::Arc;

use rudder_model::HallId;

use super::{Registration, Registry, RegistryDelta};
use crate::{delta_map::Version, subset::Scope};

/// Endpoints told in one answer: some 400 KB, which a link of 10 Mbit/s carries in a third of a second.
const PAGE: usize = 4_000;
impl Registry {
    /// Those that the instances of `hall` send to.
    pub fn used_in<'a>(&'a self, hall: &'a HallId) -> impl Iterator<Item = &'a Arc<Registration>> {
        self.iter().filter(move |held| self.scope.as_ref().is_none_or(|scope| scope.includes(hall, held)))
    }

    /// Sets that all endpoints are told here, whatever the scope.
    pub fn set_unscoped(&mut self) {
        self.whole = true;
    }

    /// What this instance is not told of; `None` where it is told everything.
    pub fn scope(&self) -> Option<&Scope> {
        self.scope.as_ref()
    }

    /// True where not all endpoints are told to everybody, and this instance asks the leader for all of them.
    pub fn asks_for_all(&self) -> bool {
        self.whole && self.scope.is_some()
    }

    /// Records what this instance, of `hall`, is not told of. What it was told before is dropped, as it is told no more of
    /// what becomes of it.
    pub fn set_scope(&mut self, hall: &HallId, scope: Option<Scope>) {
        if scope == self.scope {
            return;
        }
        let first = self.scope.is_none();
        self.scope = scope;
        let Some(scope) = &self.scope else { return };
        if self.whole {
            if first {
                // A relay may have answered so far, which knows no more than its hall is told.
                self.entries.reset_version();
            }
            return;
        }
        self.entries.retain_replicated(|held| scope.includes(hall, held));
        self.heard.retain(|endpoint, _| self.entries.get(endpoint).is_some());
        self.forget_unknown();
    }

    /// What the instances of `hall` are not told of, at the leader.
    pub fn scope_for(&self, hall: &HallId) -> Option<Scope> {
        self.subsets.scope_of(hall)
    }

    /// Decides anew which endpoints are told to whom, at the leader; `calls` tells the requests under way at one.
    pub fn update_subsets(&mut self, calls: impl Fn(&Registration) -> u32) {
        let called = self.subsets.recount(self.entries.values(), calls);
        for endpoint in called {
            let Some(held) = self.entries.get(&endpoint) else { continue };
            let next = Arc::new(Registration { standby: false, ..Registration::clone(held) });
            self.entries.set(endpoint, next);
        }
        let entries = &mut self.entries;
        self.subsets.decide(|| entries.advance());
    }

    /// What the holder of `version` in `hall` lacks of what `scope` tells it, or of everything; `None` where that is nothing.
    pub fn delta_since(&self, version: Version, hall: &HallId, scope: Option<&Scope>) -> Option<RegistryDelta> {
        let anew = scope.is_some_and(|scope| scope.widened.iter().any(|widened| widened.version > version));
        self.entries.delta_for(version, PAGE, anew, |held| match scope {
            Some(scope) if !scope.includes(hall, held) => None,
            scope => Some(scope.map_or(0, |scope| scope.included_since(hall, held))),
        })
    }
}
