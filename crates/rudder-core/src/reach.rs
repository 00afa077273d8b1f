//! Selectors: which endpoints a class of an organisation may use, and the default class of an organisation.

use std::sync::Arc;

use rudder_ledger::Config;
use rudder_model::{Class, ClassId, Endpoint, EndpointId, HallId, Kind, Labels, ModelId, Object, OrgId, Selector};

/// Identifies a pool: its hall, and the first model or service of its endpoints.
pub type PoolId = (HallId, ModelId);

/// The class called `name`.
pub fn class<'a>(config: &'a Config, name: &str) -> Option<&'a Class> {
    match config.get(Kind::Class, name)?.object.as_ref()? {
        Object::Class(class) => Some(class),
        _ => None,
    }
}

/// The endpoint called `name`.
pub fn endpoint<'a>(config: &'a Config, name: &str) -> Option<&'a Endpoint> {
    match config.get(Kind::Endpoint, name)?.object.as_ref()? {
        Object::Endpoint(endpoint) => Some(endpoint),
        _ => None,
    }
}

/// All endpoints, by name.
pub fn iter_endpoints(config: &Config) -> impl Iterator<Item = (&str, &Endpoint)> {
    config.iter_kind(Kind::Endpoint).filter_map(|(name, held)| match held.object.as_ref()? {
        Object::Endpoint(endpoint) => Some((name, endpoint)),
        _ => None,
    })
}

fn iter_selectors(config: &Config) -> impl Iterator<Item = &Selector> {
    config.iter_kind(Kind::Selector).filter_map(|(_, held)| match held.object.as_ref()? {
        Object::Selector(selector) => Some(selector),
        _ => None,
    })
}

fn org_labels<'a>(config: &'a Config, org: &str) -> Option<&'a Labels> {
    match config.get(Kind::Organisation, org)?.object.as_ref()? {
        Object::Organisation(organisation) => Some(&organisation.labels),
        _ => None,
    }
}

/// True if any endpoint serves `model`.
pub fn is_served(config: &Config, model: &ModelId) -> bool {
    iter_endpoints(config).any(|(_, endpoint)| endpoint.serves.contains(model))
}

/// The class for calls of `org` that name none: that of the first matching selector, by name.
pub fn default_class(config: &Config, org: &str) -> Option<ClassId> {
    let labels = org_labels(config, org)?;
    let matches = |selector: &&Selector| selector.organisations.accepts(org, labels);
    iter_selectors(config).filter(matches).find_map(|selector| selector.assign.clone())
}

/// The pool of an endpoint. An endpoint is in one pool only, so that one home knows all requests that run there.
pub fn pool_of(endpoint: &Endpoint) -> Option<PoolId> {
    Some((endpoint.hall.clone(), endpoint.serves.first()?.clone()))
}

/// The endpoints that serve `model` and that a selector allows to the class and the organisation, with their pools. Draining
/// ones are included; their pool skips them.
pub fn endpoints(config: &Config, class_id: &ClassId, org: &OrgId, model: &ModelId) -> Vec<(PoolId, EndpointId)> {
    let (Some(class), Some(labels)) = (class(config, class_id), org_labels(config, org)) else {
        return Vec::new();
    };
    let matches = |selector: &&Selector| {
        selector.classes.accepts(class_id, &class.labels) && selector.organisations.accepts(org, labels)
    };
    let selectors: Vec<&Selector> = iter_selectors(config).filter(matches).collect();
    let serving = iter_endpoints(config).filter(|(_, endpoint)| endpoint.serves.contains(model));
    let allowed = serving.filter(|(name, endpoint)| {
        selectors.iter().any(|selector| {
            let hall_matches = selector.halls.is_empty() || selector.halls.contains(&endpoint.hall);
            hall_matches && selector.endpoints.accepts(name, &endpoint.labels)
        })
    });
    allowed.filter_map(|(name, endpoint)| Some((pool_of(endpoint)?, EndpointId::from(name)))).collect()
}

/// Those of [`endpoints`] that are in one pool.
pub fn in_pool(config: &Config, class_id: &ClassId, org: &OrgId, model: &ModelId, pool: &PoolId) -> Arc<[EndpointId]> {
    let all = endpoints(config, class_id, org, model);
    all.into_iter().filter(|(held, _)| held == pool).map(|(_, id)| id).collect()
}
