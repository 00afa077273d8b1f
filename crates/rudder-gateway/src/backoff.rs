//! Endpoints that have asked this instance, in their answers, to send them nothing: for a while, or ever again.
//!
//! A rest is meant for one instance only, so no other is told. That an endpoint leaves, its heartbeats tell all; its answers are
//! the sooner word where it or this instance cannot reach the core. Unlike an endpoint that fails ([`crate::health`]), neither
//! is taken as a last resort.

use std::{collections::HashMap, time::Duration};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// An endpoint that has left is remembered for this long after its last word, also when it is no longer known: a heartbeat that was
/// held up on its way may bring it back.
const REMEMBERED: Duration = Duration::from_secs(60);

/// What endpoints have asked for.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Ends of rests, by endpoint.
    rests: HashMap<EndpointId, Moment>,
    /// Endpoints that leave, and when they last said so.
    leaving: HashMap<EndpointId, Moment>,
}

impl Backoff {
    /// Records that `endpoint` wants nothing for `rest`. A longer time named before stands.
    pub fn record_backoff(&mut self, endpoint: &EndpointId, rest: Duration, now: Moment) {
        let until = self.rests.entry(endpoint.clone()).or_insert(now);
        *until = (*until).max(now + rest);
    }

    /// Records that `endpoint` leaves. True where it had not said so before.
    pub fn record_leaving(&mut self, endpoint: &EndpointId, now: Moment) -> bool {
        self.leaving.insert(endpoint.clone(), now).is_none()
    }

    /// When the rest of `endpoint` ends; `None` where it does not rest.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.rests.get(endpoint).copied().filter(|until| now < *until)
    }

    /// True where `endpoint` has said that it leaves.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        self.leaving.contains_key(endpoint)
    }

    /// True while nothing may be sent to `endpoint`.
    pub fn is_blocked(&self, endpoint: &str, now: Moment) -> bool {
        self.is_leaving(endpoint) || self.retry_at(endpoint, now).is_some()
    }

    /// Forgets rests that have ended, and what has left and is not `known` any more.
    pub fn age(&mut self, now: Moment, known: impl Fn(&EndpointId) -> bool) {
        self.rests.retain(|_, until| now < *until);
        self.leaving.retain(|endpoint, said| known(endpoint) || now < *said + REMEMBERED);
    }
}
