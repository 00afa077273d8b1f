//! The parsed configuration document: routes, services, organisations and limits.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use rudder_model::{ShareTag, id};
use rudder_route::scale::Bounds;

use crate::placement::Residency;

/// Whether and how a route's requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events; runs at most once unless the route is resumable.
    Stream,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight relative to the other shares.
    pub weight: u32,
}

/// A route: the requests for a host whose path has a given prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it matches.
    pub host: Arc<str>,
    /// The path prefix that it matches.
    pub prefix: Arc<str>,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Target latency of an answer, or of a stream's first event.
    pub target: Duration,
    /// Target for the longest pause between the events of a stream.
    pub pause: Option<Duration>,
    /// Priority; 0 is the highest.
    pub tier: u8,
    /// The services that its requests are distributed over; in a plan those that have a weight.
    pub shares: Vec<Share>,
    /// Maximum number of attempts of a request, each at another endpoint.
    pub attempts: u32,
    /// Served without an API key.
    pub open: bool,
    /// Its streams may be resumed at another endpoint.
    pub resumable: bool,
    /// The regions that its requests are restricted to.
    pub residency: Residency,
}

impl Route {
    /// Whether a request that may already have run can be retried.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// Slow start of the endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time that an endpoint takes to warm up.
    pub span: Duration,
    /// Requests per second that a cold endpoint takes, from all instances together.
    pub rate: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Maximum number of connections to one of its endpoints, from all callers together.
    pub connections: u32,
    /// Properties of its inference engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Bounds of autoscaling, if enabled.
    pub scaling: Option<Bounds>,
    /// Slow start of its endpoints, if configured.
    pub warm_up: Option<WarmUp>,
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Maximum batch size, in requests.
    pub slots: u32,
    /// Size of the KV cache, in tokens.
    pub memory: u32,
    /// Whether the engines replicate the KV cache of running requests, so that another can resume them.
    pub copies: bool,
    /// Tokens per event of a stream.
    pub event_tokens: u32,
    /// Speed at which an engine fetches cached prompt tokens from another, in tokens per millisecond; 0 if unsupported.
    pub move_speed: f64,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head: usize,
    /// Maximum size of a request's body, in bytes.
    pub body: usize,
    /// Time limit for receiving a request's head.
    pub head_time: Duration,
    /// Idle timeout of a connection.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 << 10, body: 4 << 20, head_time: Duration::from_secs(3), idle: Duration::from_secs(15) }
    }
}

/// An organisation with API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Priority that takes precedence over that of the route.
    pub tier: Option<u8>,
    /// The regions that its requests are restricted to.
    pub residency: Residency,
}

/// The shortest and the longest pause target among the routes of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pauses {
    /// The shortest.
    pub shortest: Duration,
    /// The longest.
    pub longest: Duration,
}

/// The parsed configuration document.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Its version.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Organisations; `None` if the document defines none, and requests need no key.
    pub organisations: Option<Vec<Organisation>>,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The tiers of routes.
    route_tiers: BTreeSet<u8>,
    /// The tiers of routes and organisations.
    tiers: BTreeSet<u8>,
    /// The tiers of the routes of each service.
    service_tiers: HashMap<Arc<str>, BTreeSet<u8>>,
    /// Range of the pause targets of each service.
    pauses: HashMap<Arc<str>, Pauses>,
    /// Index into `organisations` by API key.
    keys: HashMap<Arc<str>, usize>,
}

/// An inconsistency in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Two routes match the same host and prefix.
    #[error("two routes share host {host} and prefix {prefix}")]
    SamePlace {
        /// The host.
        host: String,
        /// The path prefix.
        prefix: String,
    },
    /// A route refers to a service that is not defined.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The undefined service.
        service: String,
    },
    /// The weights of a route's services are all zero.
    #[error("the weights of route {0} add up to nothing")]
    NoWeight(String),
    /// The timeout of a route is zero.
    #[error("route {0} has a time-out of nothing")]
    NoTimeout(String),
    /// The autoscaling settings of a service are invalid.
    #[error("service {service}: {key}: {why}")]
    Scaling {
        /// The service.
        service: String,
        /// The field.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// The slow start settings of a service are invalid.
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
    /// A configuration without routes.
    pub fn new(version: u64, limits: Limits) -> Plan {
        Plan { version, limits, ..Plan::default() }
    }

    /// Adds a route. A service without weight gets none of its requests, also where no other one can serve them.
    ///
    /// # Errors
    /// When the route is invalid or conflicts with another one.
    pub fn add_route(&mut self, mut route: Route) -> Result<(), Fault> {
        if let Some(share) = route.shares.iter().find(|share| !self.services.contains_key(&share.service)) {
            return Err(Fault::UnknownService { route: route.name.to_string(), service: share.service.to_string() });
        }
        route.shares.retain(|share| share.weight > 0);
        if route.shares.is_empty() {
            return Err(Fault::NoWeight(route.name.to_string()));
        }
        if route.timeout.is_zero() {
            return Err(Fault::NoTimeout(route.name.to_string()));
        }
        let routes = self.routes.entry(route.host.clone()).or_default();
        if routes.iter().any(|other| other.prefix == route.prefix) {
            return Err(Fault::SamePlace { host: route.host.to_string(), prefix: route.prefix.to_string() });
        }
        self.route_tiers.insert(route.tier);
        self.tiers.insert(route.tier);
        for share in &route.shares {
            self.service_tiers.entry(share.service.clone()).or_default().insert(route.tier);
        }
        if let Some(pause) = route.pause {
            for share in &route.shares {
                let pauses = self.pauses.entry(share.service.clone());
                let pauses = pauses.or_insert(Pauses { shortest: pause, longest: pause });
                pauses.shortest = pause.min(pauses.shortest);
                pauses.longest = pause.max(pauses.longest);
            }
        }
        // Longest prefix first, as `find` returns the first match.
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
        Ok(())
    }

    /// Adds an organisation with its API keys.
    ///
    /// # Errors
    /// When one of the keys belongs to another organisation.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: Vec<Arc<str>>) -> Result<(), Fault> {
        let organisations = self.organisations.get_or_insert_default();
        let index = organisations.len();
        let name = organisation.name.to_string();
        self.tiers.extend(organisation.tier);
        organisations.push(organisation);
        for key in keys {
            let other = self.keys.insert(key, index).filter(|other| *other != index);
            if let Some(other) = other {
                return Err(Fault::SharedKey(organisations[other].name.to_string(), name));
            }
        }
        Ok(())
    }

    /// The route of a request: the one of its host with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.matching(host, path).next()
    }

    /// The routes that a request matches, longest prefix first. The first one is its route.
    pub fn matching<'a>(&'a self, host: &str, path: &str) -> impl Iterator<Item = &'a Arc<Route>> {
        let routes = self.routes.get(host).into_iter().flatten();
        routes.filter(move |route| path.starts_with(&*route.prefix))
    }

    /// The services of the routes for streams, by place.
    pub fn stream_shares(&self) -> Vec<ShareTag> {
        let mut shares = Vec::new();
        for route in self.routes().filter(|route| route.kind == RouteKind::Stream) {
            let Some(place) = id::place_tags(&route.host, &route.prefix).last() else { continue };
            shares.extend(route.shares.iter().map(|share| id::share_tag(place, &share.service)));
        }
        shares
    }

    /// The union of the regions that the routes of `host` are restricted to; `None` if one of them is unrestricted or
    /// there are none.
    pub fn residency_of_host(&self, host: &str) -> Residency {
        let mut regions = Vec::new();
        for route in self.routes.get(host)? {
            regions.extend(route.residency.as_ref()?.iter().cloned());
        }
        Some(regions.into())
    }

    /// The range of the pause targets of a service, if any of its routes has one.
    pub fn pauses(&self, service: &str) -> Option<Pauses> {
        self.pauses.get(service).copied()
    }

    /// Priority of a request at an engine that tells `ranks` priorities apart: ordered by the tier of its route, and
    /// within a route by `tier`, which is the organisation's if it has one. The lowest organisations share a rank if
    /// there are too few.
    pub fn engine_rank(&self, route: &Route, tier: u8, ranks: u8) -> u8 {
        // An engine that is out of memory preempts by this order. Organisations come second, so that a long prompt of
        // a favoured one does not outlast urgent streams of the others.
        let per_route = (usize::from(ranks) / self.route_tiers.len().max(1)).max(1);
        let within = self.tiers.range(..tier).count().min(per_route - 1);
        let rank = self.route_tiers.range(..route.tier).count() * per_route + within;
        u8::try_from(rank).unwrap_or(u8::MAX).min(ranks.saturating_sub(1))
    }

    /// Number of priorities among the routes of the service that are higher than this route's.
    pub fn level(&self, route: &Route, service: &str) -> usize {
        self.service_tiers.get(service).map_or(0, |tiers| tiers.range(..route.tier).count())
    }

    /// Whether other routes of the service have a lower priority, and none a higher one.
    pub fn is_highest(&self, route: &Route, service: &str) -> bool {
        let tiers = self.service_tiers.get(service).map_or(0, BTreeSet::len);
        tiers > 1 && self.level(route, service) == 0
    }

    /// Whether other routes of the service have a lower priority than this one.
    pub fn has_lower(&self, route: &Route, service: &str) -> bool {
        self.service_tiers.get(service).is_some_and(|tiers| tiers.range(route.tier..).count() > 1)
    }

    /// Index of the organisation that `key` belongs to.
    pub fn organisation_number(&self, key: &str) -> Option<usize> {
        self.keys.get(key).copied()
    }

    /// The organisation that `key` belongs to.
    pub fn organisation_of(&self, key: &str) -> Option<&Organisation> {
        self.organisations.as_ref()?.get(self.organisation_number(key)?)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
