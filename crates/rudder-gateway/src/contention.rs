//! Services for which capacity is scarce or uneven. Only they use the mechanisms for contended services; all others are
//! served without them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_clock::Moment;

/// How long a service counts as contended after one of its endpoints has reported its pace.
const PACE_VALIDITY: Duration = Duration::from_secs(60);

/// The contended services.
#[derive(Debug, Default)]
pub struct Contention {
    /// The settings declare all services contended.
    everywhere: bool,
    /// When an endpoint of a service last reported its pace.
    paced: HashMap<Arc<str>, Moment>,
}

impl Contention {
    /// Creates the state. With `everywhere`, all services are contended.
    pub fn new(everywhere: bool) -> Contention {
        Contention { everywhere, paced: HashMap::new() }
    }

    /// Records that an endpoint of `service` has reported its pace: it shares its machine with others.
    pub fn record_pace(&mut self, service: &Arc<str>, now: Moment) {
        match self.paced.get_mut(service) {
            Some(at) => *at = now,
            None => drop(self.paced.insert(service.clone(), now)),
        }
    }

    /// Whether a service is contended.
    pub fn is_contended(&self, service: &str, now: Moment) -> bool {
        self.everywhere || self.is_paced(service, now)
    }

    /// Whether endpoints of a service report their pace, so that their speeds differ and vary.
    pub fn is_paced(&self, service: &str, now: Moment) -> bool {
        self.paced.get(service).is_some_and(|at| now.saturating_duration_since(*at) < PACE_VALIDITY)
    }
}
