//! Health of endpoints by the outcomes of requests: the failing are left out for a while, then tried
//! again with one request.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rudder_clock::Moment;
use rudder_model::EndpointId;

/// First pause of an endpoint that fails; it doubles with each failure that follows.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(4);
/// Failures one after the other that eject.
const STREAK: u32 = 2;
/// Weight of the latest outcome in the share of failures.
const WEIGHT: f64 = 0.15;
/// Share of failures that ejects.
const FAILING: f64 = 0.3;

/// An endpoint whose address another has taken does not come back.
const GONE: Duration = Duration::from_secs(6);

/// How a request ended, as far as it speaks for or against its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Good,
    /// No connection could be made.
    Unreachable,
    /// Another has its address.
    Replaced,
    /// It broke off, answered wrongly or with an error of its own.
    Failed,
}

#[derive(Debug, Default)]
struct Standing {
    streak: u32,
    failing: f64,
    ejections: u32,
    until: Option<Moment>,
}

/// Standing of all endpoints.
#[derive(Debug, Default)]
pub struct Health {
    standings: HashMap<EndpointId, Standing>,
    suspects: HashSet<EndpointId>,
}

impl Health {
    /// True while `endpoint` is left out.
    pub fn is_ejected(&self, endpoint: &str, now: Moment) -> bool {
        if self.suspects.contains(endpoint) {
            return true;
        }
        let until = self.standings.get(endpoint).and_then(|standing| standing.until);
        until.is_some_and(|until| now < until)
    }

    /// When `endpoint`, which is left out for its outcomes here, is tried again.
    pub fn retry_at(&self, endpoint: &str, now: Moment) -> Option<Moment> {
        self.standings.get(endpoint)?.until.filter(|until| now < *until)
    }

    /// Records an outcome. Returns the pause where the endpoint is left out from now on.
    pub fn note(&mut self, endpoint: &EndpointId, outcome: Outcome, now: Moment) -> Option<Duration> {
        let standing = self.standings.entry(endpoint.clone()).or_default();
        if outcome == Outcome::Good {
            standing.streak = 0;
            standing.failing *= 1.0 - WEIGHT;
            if standing.until.is_none_or(|until| now >= until) {
                standing.until = None;
                standing.ejections = 0;
            }
            return None;
        }
        standing.streak += 1;
        standing.failing = standing.failing * (1.0 - WEIGHT) + WEIGHT;
        if outcome == Outcome::Replaced {
            standing.until = Some(now + GONE);
            return Some(GONE);
        }
        let ejects = outcome == Outcome::Unreachable || standing.streak >= STREAK || standing.failing > FAILING;
        if !ejects || standing.until.is_some_and(|until| now < until) {
            return None;
        }
        let pause = (PAUSE * 2_u32.pow(standing.ejections.min(4))).min(PAUSE_MAX);
        standing.ejections += 1;
        // After the pause one more failure is enough.
        standing.streak = STREAK - 1;
        standing.until = Some(now + pause);
        Some(pause)
    }

    /// Sets the endpoints that all instances' outcomes together make suspect. Returns those that were not before.
    pub fn set_suspects(&mut self, suspects: HashSet<EndpointId>) -> Vec<EndpointId> {
        let new = suspects.difference(&self.suspects).cloned().collect();
        self.suspects = suspects;
        new
    }

    /// Drops endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.standings.retain(|endpoint, _| known(endpoint));
    }
}
