//! Endpoints that have asked this instance, in their answers, to send them nothing.
//!
//! A rest is meant for one instance only, so no other is told. Unlike an endpoint that fails ([`crate::health`]), one that
//! rests is not taken as a last resort either: it turned the request away, and would again.

use std::{collections::HashMap, time::Duration};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// What endpoints have asked for.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Ends of rests, by endpoint.
    rests: HashMap<EndpointId, Moment>,
}

impl Backoff {
    /// Takes in that `endpoint` wants nothing for `rest`. An earlier wish for a longer one stands.
    pub fn note_rest(&mut self, endpoint: &EndpointId, rest: Duration, now: Moment) {
        let until = self.rests.entry(endpoint.clone()).or_insert(now);
        *until = (*until).max(now + rest);
    }

    /// When the rest of `endpoint` ends; `None` where it does not rest.
    pub fn rests_until(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.rests.get(endpoint).copied().filter(|until| now < *until)
    }

    /// True while nothing may be sent to `endpoint`.
    pub fn holds_off(&self, endpoint: &str, now: Moment) -> bool {
        self.rests_until(endpoint, now).is_some()
    }

    /// Forgets rests that have ended.
    pub fn age(&mut self, now: Moment) {
        self.rests.retain(|_, until| now < *until);
    }
}
