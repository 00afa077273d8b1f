//! Prompt tokens that this instance lately sent to the engines of each service, by lane and priority.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_route::decay::DecayedSum;

use crate::lanes::LaneKind;

/// Time in which tokens lose 1/e of their weight: short, so that a burst of urgent requests is noticed at once.
const SPAN: Duration = Duration::from_millis(500);

/// Rates of prompt tokens by service, lane and priority level; level 0 is the most urgent.
#[derive(Debug)]
pub struct Arrivals {
    started: Moment,
    services: HashMap<Arc<str>, HashMap<LaneKind, Vec<DecayedSum>>>,
}

impl Default for Arrivals {
    fn default() -> Self {
        Arrivals { started: Moment::now(), services: HashMap::new() }
    }
}

impl Arrivals {
    /// Records `tokens` to prefill that were sent to an engine of `lane`.
    pub fn record(&mut self, service: &Arc<str>, lane: LaneKind, level: usize, tokens: u32, now: Moment) {
        let elapsed = now.saturating_duration_since(self.started);
        let levels = self.services.entry(service.clone()).or_default().entry(lane).or_default();
        if levels.len() <= level {
            levels.resize(level + 1, DecayedSum::default());
        }
        levels[level].add(f64::from(tokens), elapsed, SPAN);
    }

    /// Drops services that are unknown.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_known(service));
    }

    /// Tokens per second of the priorities above `level` that were sent to the engines of `lane`.
    pub fn rate_above(&self, service: &str, lane: LaneKind, level: usize, now: Moment) -> f64 {
        let elapsed = now.saturating_duration_since(self.started);
        let levels = self.services.get(service).and_then(|lanes| lanes.get(&lane));
        let above = levels.into_iter().flatten().take(level);
        above.map(|sum| sum.at(elapsed, SPAN)).sum::<f64>() / SPAN.as_secs_f64()
    }
}
