//! Endpoints that asked this instance, in their answers, to back off for a while, or that announced that they drain.
//!
//! A backoff concerns one instance and is not shared. Draining is also announced in heartbeats, but answers report it
//! earlier if the endpoint or this instance cannot reach the core. Unlike ejected endpoints ([`crate::health`]), these are
//! not used as a fallback.

use std::{collections::HashMap, time::Duration};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// Time that an unknown draining endpoint is kept after its last answer, as a delayed heartbeat may make it known again.
const RETENTION: Duration = Duration::from_secs(60);

/// Backoffs and draining endpoints.
#[derive(Debug, Default)]
pub struct Backoff {
    /// End of the backoff by endpoint.
    until: HashMap<EndpointId, Moment>,
    /// Draining endpoints, and when they last announced it.
    leaving: HashMap<EndpointId, Moment>,
}

impl Backoff {
    /// Records that `endpoint` asked for a backoff. It never shortens an earlier one.
    pub fn record_backoff(&mut self, endpoint: &EndpointId, duration: Duration, now: Moment) {
        let until = self.until.entry(endpoint.clone()).or_insert(now);
        *until = (*until).max(now + duration);
    }

    /// Records that `endpoint` is draining. Returns whether that is new.
    pub fn record_leaving(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        self.leaving.insert(endpoint.clone(), now).is_none()
    }

    /// When the backoff of `endpoint` ends; `None` if there is none.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.until.get(endpoint).copied().filter(|until| now < *until)
    }

    /// Whether `endpoint` is draining.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        self.leaving.contains_key(endpoint)
    }

    /// Whether `endpoint` must not be used now.
    pub fn is_blocked(&self, endpoint: &str, now: Moment) -> bool {
        self.is_leaving(endpoint) || self.retry_at(endpoint, now).is_some()
    }

    /// Drops backoffs that have ended, and draining endpoints that are no longer `known`.
    pub fn age(&mut self, now: Moment, known: impl Fn(&EndpointId) -> bool) {
        self.until.retain(|_, until| now < *until);
        self.leaving.retain(|endpoint, announced| known(endpoint) || now < *announced + RETENTION);
    }
}
