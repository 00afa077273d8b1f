//! Conditions of the engines of contended services, learned from streams at all instances.

use std::{collections::HashMap, sync::Arc};

use rudder_clock::Moment;
use rudder_model::EndpointId;
use rudder_route::condition::EngineSpeed;

/// Speeds of engines.
#[derive(Debug, Default)]
pub struct Conditions {
    engines: HashMap<EndpointId, EngineSpeed>,
    medians: HashMap<Arc<str>, EngineSpeed>,
}

impl Conditions {
    /// Sets the speed of an engine.
    pub fn set(&mut self, endpoint: &EndpointId, speed: EngineSpeed) {
        self.engines.insert(endpoint.clone(), speed);
    }

    /// Speed of the engine `endpoint` of `service`: the median of the service if no sample of the engine is known.
    pub fn speed(&self, endpoint: &EndpointId, service: &str, _now: Moment) -> EngineSpeed {
        self.engines.get(endpoint).or_else(|| self.medians.get(service)).copied().unwrap_or_default()
    }
}
