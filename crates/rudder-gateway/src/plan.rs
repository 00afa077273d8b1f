//! The configuration document as the entry uses it: routes, services, organisations, limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_route::scale::Bounds;

use crate::placement::Residency;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events; runs at most once unless it can be resumed.
    Stream,
}

/// A service that a route's requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its part of the requests, beside the other weights.
    pub weight: u32,
}

/// One route: requests of a host under a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it serves.
    pub host: Arc<str>,
    /// The beginning of the paths that it serves.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is in time.
    pub target: Duration,
    /// Longest pause between events at which a stream is in time.
    pub pause: Option<Duration>,
    /// Rank; 0 is the highest.
    pub tier: u8,
    /// Where requests go.
    pub shares: Vec<Share>,
    /// Endpoints that one request may be sent to at most.
    pub attempts: u32,
    /// Served without a key.
    pub open: bool,
    /// Its streams may be taken up at another endpoint.
    pub resumable: bool,
    /// Where its requests may be run and kept.
    pub residency: Residency,
}

impl Route {
    /// True where a request that may have run can be sent again.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// How long endpoints are slow after a start, and what they bear meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long.
    pub span: Duration,
    /// Requests a second, from all instances together.
    pub rate: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its endpoints takes from all callers together.
    pub connections: u32,
    /// Its endpoints' engine, where they generate.
    pub engine: Option<Engine>,
    /// How many endpoints may be ordered, where any may.
    pub scaling: Option<Bounds>,
    /// What its endpoints bear after a start, where that is bounded.
    pub warm_up: Option<WarmUp>,
}

/// What the engines of a service are able to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests batched at once.
    pub slots: u32,
    /// Memory for running requests and kept prompt parts, in tokens.
    pub memory: u32,
    /// They keep copies of each other's running requests, from which another can go on.
    pub copies: bool,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
    /// Tokens of kept prompts that one engine takes over from another in a millisecond; 0 where they cannot.
    pub move_speed: f64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time that a head may take.
    pub head_time: Duration,
    /// Time that a connection may rest.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 << 10, body: 4 << 20, head_time: Duration::from_secs(3), idle: Duration::from_secs(15) }
    }
}

/// One organisation that holds keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Rank that goes before that of the route.
    pub tier: Option<u8>,
    /// Where its requests may be run and kept.
    pub residency: Residency,
}

/// The shortest and longest pause that the routes of a service allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pauses {
    /// The shortest.
    pub shortest: Duration,
    /// The longest.
    pub longest: Duration,
}

/// A whole configuration document, read.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its version.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// Organisations; `None` where the document has none and no key is asked for.
    pub organisations: Option<Vec<Organisation>>,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The lowest rank among the routes of each service.
    lowest: HashMap<Arc<str>, u8>,
    /// The pauses that the routes of each service allow.
    pauses: HashMap<Arc<str>, Pauses>,
    keys: HashMap<Arc<str>, usize>,
}

/// Why routes or keys cannot stand together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Two routes serve the same place.
    #[error("two routes share host {host} and prefix {prefix}")]
    SamePlace {
        /// The host.
        host: String,
        /// The path prefix.
        prefix: String,
    },
    /// A route names a service that does not exist.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service it names.
        service: String,
    },
    /// No service of a route gets any requests.
    #[error("the weights of route {0} add up to nothing")]
    NoWeight(String),
    /// A route without time.
    #[error("route {0} has a time-out of nothing")]
    NoTimeout(String),
    /// What a service says of ordering its endpoints cannot be used.
    #[error("service {service}: {key}: {why}")]
    Scaling {
        /// The service.
        service: String,
        /// The field.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// What a service says of the start of its endpoints cannot be used.
    #[error("service {service}: {key}: {why}")]
    WarmUp {
        /// The service.
        service: String,
        /// The field.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// Two organisations share a key.
    #[error("organisations {0} and {1} share a key")]
    SharedKey(String, String),
}

impl Plan {
    /// A plan without routes.
    pub fn new(version: u64, limits: Limits) -> Plan {
        Plan { version, limits, ..Plan::default() }
    }

    /// Adds a route.
    ///
    /// # Errors
    /// When it cannot stand beside those that are there, or names no known service.
    pub fn add_route(&mut self, route: Route) -> Result<(), Fault> {
        if let Some(share) = route.shares.iter().find(|share| !self.services.contains_key(&share.service)) {
            return Err(Fault::UnknownService { route: route.name.to_string(), service: share.service.to_string() });
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            return Err(Fault::NoWeight(route.name.to_string()));
        }
        if route.timeout.is_zero() {
            return Err(Fault::NoTimeout(route.name.to_string()));
        }
        let routes = self.routes.entry(route.host.clone()).or_default();
        if routes.iter().any(|held| held.prefix == route.prefix) {
            return Err(Fault::SamePlace { host: route.host.to_string(), prefix: route.prefix.to_string() });
        }
        for share in &route.shares {
            let lowest = self.lowest.entry(share.service.clone()).or_default();
            *lowest = route.tier.max(*lowest);
        }
        if let Some(pause) = route.pause {
            for share in &route.shares {
                let pauses = self.pauses.entry(share.service.clone());
                let pauses = pauses.or_insert(Pauses { shortest: pause, longest: pause });
                pauses.shortest = pause.min(pauses.shortest);
                pauses.longest = pause.max(pauses.longest);
            }
        }
        // The longest prefix is tried first.
        let at = routes.partition_point(|held| held.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
        Ok(())
    }

    /// Adds an organisation with its keys.
    ///
    /// # Errors
    /// When another organisation holds one of the keys.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: Vec<Arc<str>>) -> Result<(), Fault> {
        let organisations = self.organisations.get_or_insert_default();
        let number = organisations.len();
        let name = organisation.name.to_string();
        organisations.push(organisation);
        for key in keys {
            let held = self.keys.insert(key, number).filter(|held| *held != number);
            if let Some(held) = held {
                return Err(Fault::SharedKey(organisations[held].name.to_string(), name));
            }
        }
        Ok(())
    }

    /// The route of a request: the longest prefix of its host that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The regions that all routes of `host` are bound to together; `None` where one of them is bound to none.
    pub fn residency_of_host(&self, host: &str) -> Residency {
        let mut regions = Vec::new();
        for route in self.routes.get(host)? {
            regions.extend(route.residency.as_ref()?.iter().cloned());
        }
        Some(regions.into())
    }

    /// The pauses that the routes of a service allow, where it has routes that name any.
    pub fn pauses(&self, service: &str) -> Option<Pauses> {
        self.pauses.get(service).copied()
    }

    /// Rank of a request among an engine's: first by `tier`, the organisation's where it has one, and among equals by the
    /// route's own.
    pub fn engine_rank(&self, route: &Route, tier: u8) -> u8 {
        let tiers = self.routes().map(|route| route.tier).max().unwrap_or_default().saturating_add(1);
        tier.saturating_mul(tiers).saturating_add(route.tier)
    }

    /// True for routes that no other route of the service ranks below.
    pub fn is_lowest(&self, route: &Route, service: &str) -> bool {
        self.lowest.get(service).is_none_or(|lowest| route.tier >= *lowest)
    }

    /// Number of the organisation that holds `key`.
    pub fn organisation_number(&self, key: &str) -> Option<usize> {
        self.keys.get(key).copied()
    }

    /// The organisation that holds `key`.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.organisations.as_ref()?.get(self.organisation_number(key)?)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
