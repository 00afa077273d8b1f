//! Configuration objects: what operators create, label and mark.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ClassId, HallId, Labels, Match, ModelId};

/// Kinds of configuration object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A class of requests.
    Class,
    /// A model engine or plain service replica.
    Endpoint,
    /// A customer.
    Organisation,
    /// A rule that says which classes reach which endpoints.
    Selector,
    /// A process of the system, present only where an operator marked it.
    Instance,
}

impl Kind {
    /// Every kind, in the order in which `apply` writes them.
    pub const ALL: [Kind; 5] = [Kind::Class, Kind::Endpoint, Kind::Organisation, Kind::Selector, Kind::Instance];

    /// The kind's word on the command line, in paths and in files.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Class => "class",
            Kind::Endpoint => "endpoint",
            Kind::Organisation => "organisation",
            Kind::Selector => "selector",
            Kind::Instance => "instance",
        }
    }

    /// Reads the word that [`Kind::as_str`] writes.
    pub fn from_word(word: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

/// What an operator says about an endpoint's or an instance's future.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mark {
    /// In ordinary use.
    #[default]
    None,
    /// Gets no new work.
    Leaving,
    /// Gets no new work and ends once what is in flight has ended.
    Stopping,
}

/// Upper bounds, applied for each organisation within a class. Zero means no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests a second that may enter one pool.
    pub rate: u32,
    /// Tokens a second that may be charged in one pool.
    pub tokens: u32,
    /// Requests in flight in one pool.
    pub inflight: u32,
}

/// A class of requests with its service level.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Priority: 0 is the highest tier.
    pub tier: u8,
    /// First token, or whole answer of a plain service, is due within this time.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Mean time between tokens that still counts as attained.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// A request waits at most this long before it is refused.
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
    /// A request that has been sent may not be sent again; calls need an idempotency key.
    pub once: bool,
    /// Upper bounds for each organisation.
    pub limits: Limits,
    /// Labels that selectors match.
    pub labels: Labels,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            tier: 1,
            target: Duration::from_secs(1),
            pace: Duration::from_millis(100),
            patience: Duration::from_secs(30),
            once: false,
            limits: Limits::default(),
            labels: Labels::new(),
        }
    }
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine with continuous batching.
    #[default]
    Engine,
    /// A plain HTTP service.
    Service,
}

/// A model engine or plain service replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoint {
    /// Site it stands in.
    pub hall: HallId,
    /// IP number and port.
    pub address: String,
    /// Engine or plain service.
    pub kind: EndpointKind,
    /// Models it serves, or the one service name.
    pub serves: Vec<ModelId>,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Its refusals (429, 503) are believed to mean that the request did not run.
    pub believed: bool,
    /// It checks the fence on orders.
    pub checks: bool,
    /// Model, adapter and version that orders should bring it to; empty for no orders.
    pub load: String,
    /// What the operator says of its future.
    pub mark: Mark,
    /// Labels that selectors match.
    pub labels: Labels,
}

impl Default for Endpoint {
    fn default() -> Self {
        Endpoint {
            hall: Arc::from(""),
            address: String::new(),
            kind: EndpointKind::Engine,
            serves: Vec::new(),
            slots: 8,
            believed: false,
            checks: false,
            load: String::new(),
            mark: Mark::None,
            labels: Labels::new(),
        }
    }
}

/// A customer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Organisation {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub keys: Vec<String>,
    /// Labels that selectors match.
    pub labels: Labels,
}

/// Says which classes of which organisations reach which endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Organisations meant.
    pub organisations: Match,
    /// Classes meant.
    pub classes: Match,
    /// Endpoints they reach.
    pub endpoints: Match,
    /// Halls they reach; empty for all.
    pub halls: Vec<HallId>,
    /// Class of a call of these organisations that names none.
    pub assign: Option<ClassId>,
}

/// An operator's mark on a process of the system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instance {
    /// What the operator says of its future.
    pub mark: Mark,
    /// Labels, for the operator's own use.
    pub labels: Labels,
}

/// Any configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Object {
    /// A class of requests.
    Class(Class),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A customer.
    Organisation(Organisation),
    /// A rule of reach.
    Selector(Selector),
    /// A mark on an instance.
    Instance(Instance),
}

impl Object {
    /// The kind of this object.
    pub fn kind(&self) -> Kind {
        match self {
            Object::Class(_) => Kind::Class,
            Object::Endpoint(_) => Kind::Endpoint,
            Object::Organisation(_) => Kind::Organisation,
            Object::Selector(_) => Kind::Selector,
            Object::Instance(_) => Kind::Instance,
        }
    }

    /// The labels of this object, to change; selectors carry none.
    pub fn labels_mut(&mut self) -> Option<&mut Labels> {
        match self {
            Object::Class(class) => Some(&mut class.labels),
            Object::Endpoint(endpoint) => Some(&mut endpoint.labels),
            Object::Organisation(organisation) => Some(&mut organisation.labels),
            Object::Instance(instance) => Some(&mut instance.labels),
            Object::Selector(_) => None,
        }
    }

    /// The mark of this object, to change; only endpoints and instances carry one.
    pub fn mark_mut(&mut self) -> Option<&mut Mark> {
        match self {
            Object::Endpoint(endpoint) => Some(&mut endpoint.mark),
            Object::Instance(instance) => Some(&mut instance.mark),
            _ => None,
        }
    }

    /// Says what makes the object unusable, or `None` where it can be put in force.
    pub fn fault(&self) -> Option<&'static str> {
        match self {
            Object::Class(class) if class.target.is_zero() => Some("target must be longer than zero"),
            Object::Class(class) if class.patience.is_zero() => Some("patience must be longer than zero"),
            Object::Endpoint(endpoint) if endpoint.hall.is_empty() => Some("hall is missing"),
            Object::Endpoint(endpoint) if endpoint.slots == 0 => Some("slots must be at least 1"),
            Object::Endpoint(endpoint) if endpoint.serves.is_empty() => Some("serves must name a model or service"),
            Object::Endpoint(endpoint) if endpoint.address.parse::<std::net::SocketAddr>().is_err() => {
                Some("address must be an IP number and a port")
            }
            Object::Organisation(org) if org.keys.iter().any(|key| !is_digest(key)) => {
                Some("keys must be SHA-256 digests, 64 hexadecimal digits each")
            }
            _ => None,
        }
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}
