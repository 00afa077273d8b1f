//! Speed classes of the engines of a service, from which its lanes are formed.
//!
//! Instances learn slightly different speeds. With classes and hysteresis, they still divide the engines alike.

use std::{collections::HashSet, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::Registration;
use rudder_model::EndpointId;
use rudder_route::{
    condition::EngineSpeed,
    engine_cost::{SpeedClass, SpeedScale},
};

use super::Inputs;

/// Interval at which classes are updated: that at which speeds are learned. The lanes are divided more often.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Speed classes of the engines of one service.
#[derive(Debug, Default)]
pub struct SpeedClasses {
    updated: Option<Moment>,
    slow: HashSet<EndpointId>,
}

impl SpeedClasses {
    /// Updates the classes from the present speeds, if the last time is long enough ago. Without known speeds or a gap
    /// target, and for services whose engines are not compared by time, none is slow.
    pub fn update(&mut self, engines: &[Arc<Registration>], service: &str, inputs: &Inputs) {
        let is_timed = inputs.is_timed(service);
        let is_early = |updated: Moment| inputs.now.saturating_duration_since(updated) < UPDATE_INTERVAL;
        if is_timed && self.updated.is_some_and(is_early) {
            return;
        }
        self.updated = is_timed.then_some(inputs.now);
        let before = std::mem::take(&mut self.slow);
        let pauses = inputs.plan.pauses(service).filter(|_| is_timed);
        let engine = inputs.plan.services.get(service).and_then(|service| service.engine);
        let (Some(pauses), Some(engine)) = (pauses, engine) else { return };
        let speed = |known: &Arc<Registration>| inputs.conditions.speed(&known.endpoint, service, inputs.now);
        let speeds: Vec<EngineSpeed> = engines.iter().map(speed).collect();
        let Some(scale) = SpeedScale::new(&speeds, engine.event_tokens, pauses.shortest) else { return };
        for (known, speed) in engines.iter().zip(&speeds) {
            let last = if before.contains(&known.endpoint) { SpeedClass::Slow } else { SpeedClass::Fast };
            if scale.class(&inputs.policy.timing, speed, last) == SpeedClass::Slow {
                self.slow.insert(known.endpoint.clone());
            }
        }
    }

    /// The class of an engine.
    pub fn of(&self, endpoint: &EndpointId) -> SpeedClass {
        if self.slow.contains(endpoint) { SpeedClass::Slow } else { SpeedClass::Fast }
    }
}
