//! Passive health checks: endpoints are ejected for a while after failures, and then tried again.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// Duration of the first ejection; it doubles with each consecutive one.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures after which an endpoint is ejected.
const MAX_STREAK: u32 = 2;
/// Weight of the latest outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.15;
/// Failure rate above which an endpoint is ejected.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Duration of the ejection of a replaced endpoint, which does not come back.
const REPLACED_EJECTION: Duration = Duration::from_secs(6);

/// The outcome of a request, with regard to the health of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Good,
    /// No connection could be made.
    Unreachable,
    /// Another endpoint has taken its address.
    Replaced,
    /// The connection broke, or the answer was invalid or an internal error.
    Failed,
}

#[derive(Debug, Default)]
struct EndpointHealth {
    /// Consecutive failures.
    streak: u32,
    /// Moving average of failures.
    failure_rate: f64,
    /// Consecutive ejections.
    ejections: u32,
    /// End of the current ejection.
    until: Option<Moment>,
}

/// Health of all endpoints.
#[derive(Debug, Default)]
pub struct Health {
    endpoints: HashMap<EndpointId, EndpointHealth>,
    suspects: HashSet<EndpointId>,
}

impl Health {
    /// Whether `endpoint` is ejected.
    pub fn is_ejected(&self, endpoint: &str, now: Moment) -> bool {
        if self.suspects.contains(endpoint) {
            return true;
        }
        let until = self.endpoints.get(endpoint).and_then(|state| state.until);
        until.is_some_and(|until| now < until)
    }

    /// When the ejection of `endpoint` by this instance's own outcomes ends.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.endpoints.get(endpoint)?.until.filter(|until| now < *until)
    }

    /// Records an outcome. Returns the duration of the ejection if the endpoint is now ejected.
    pub fn note(&mut self, endpoint: &EndpointId, outcome: Outcome, now: Moment) -> Option<Duration> {
        let state = self.endpoints.entry(endpoint.clone()).or_default();
        if outcome == Outcome::Good {
            state.streak = 0;
            state.failure_rate *= 1.0 - OUTCOME_WEIGHT;
            if state.until.is_none_or(|until| now >= until) {
                state.until = None;
                state.ejections = 0;
            }
            return None;
        }
        state.streak += 1;
        state.failure_rate = state.failure_rate * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        if outcome == Outcome::Replaced {
            state.until = Some(now + REPLACED_EJECTION);
            return Some(REPLACED_EJECTION);
        }
        let ejects =
            outcome == Outcome::Unreachable || state.streak >= MAX_STREAK || state.failure_rate > MAX_FAILURE_RATE;
        if !ejects || state.until.is_some_and(|until| now < until) {
            return None;
        }
        let ejection = (BASE_EJECTION * 2_u32.pow(state.ejections.min(4))).min(MAX_EJECTION);
        state.ejections += 1;
        // After the ejection, a single failure ejects again.
        state.streak = MAX_STREAK - 1;
        state.until = Some(now + ejection);
        Some(ejection)
    }

    /// Sets the endpoints that are suspect by the outcomes of all instances. Returns the new ones.
    pub fn set_suspects(&mut self, suspects: HashSet<EndpointId>) -> Vec<EndpointId> {
        let new = suspects.difference(&self.suspects).cloned().collect();
        self.suspects = suspects;
        new
    }

    /// Forgets all outcomes of this instance.
    pub fn reset(&mut self) {
        self.endpoints.clear();
    }

    /// Drops unknown endpoints.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.endpoints.retain(|endpoint, _| known(endpoint));
    }
}
