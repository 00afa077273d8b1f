//! Outlier detection: ejects slow and failing endpoints up to a share of the pool, probes them and restores them.

use std::time::Duration;

use rudder_model::EndpointId;

use crate::{Decision, Pool, endpoint::Running, estimate::MovingAverage};

/// Consecutive failures that eject an endpoint.
const EJECTION_FAILURES: u32 = 2;
/// Concurrently overdue requests that eject an endpoint.
const EJECTION_OVERDUE: usize = 2;
/// Samples needed before an endpoint is compared with the others.
const MIN_SAMPLES: u32 = 2;
/// A first token is never overdue before this time.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest exponent of the exponential ejection time.
const MAX_BACKOFF_EXPONENT: u32 = 3;

/// Latencies, failures and ejections of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Time to the first token, in seconds.
    pub(crate) first_token: MovingAverage,
    /// Time between tokens, in seconds.
    pub(crate) token_interval: MovingAverage,
    samples: u32,
    consecutive_failures: u32,
    ejections: u32,
    /// End of the ejection; after it, the endpoint gets one probe at a time until it is restored.
    ejected_until: Option<Duration>,
    pub(crate) probing: bool,
    /// A connection failed since the last ejection.
    pub(crate) unreachable: bool,
}

impl Health {
    /// True if the endpoint is not ejected.
    pub(crate) fn is_healthy(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// True if the ejection time is over and no probe is in flight.
    pub(crate) fn is_probe_due(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.probing
    }

    pub(crate) fn note_first_token(&mut self, latency: Duration) {
        self.first_token.add(latency.as_secs_f64());
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) fn note_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    pub(crate) fn note_success(&mut self) {
        self.consecutive_failures = 0;
    }

    fn eject(&mut self, now: Duration, base: Duration) -> Duration {
        let pause = base * 2_u32.pow(self.ejections.min(MAX_BACKOFF_EXPONENT));
        self.ejections += 1;
        self.ejected_until = Some(now + pause);
        self.probing = false;
        self.unreachable = false;
        pause
    }

    fn restore(&mut self) {
        *self = Health { ejections: self.ejections, ..Health::default() };
    }
}

impl Pool {
    /// Ejects endpoints that are slow, failing or hanging, as far as the largest ejected share allows.
    pub(crate) fn check_health(&mut self, now: Duration, out: &mut Vec<Decision>) {
        if !self.options.eject {
            return;
        }
        self.restore_services(now, out);
        let first_token = self.median(|health| &health.first_token);
        let token_interval = self.median(|health| &health.token_interval);
        let suspects: Vec<(EndpointId, &'static str)> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.health.is_healthy() || state.health.probing)
            .filter_map(|(id, _)| {
                self.detect_fault(now, id, first_token, token_interval).map(|reason| (id.clone(), reason))
            })
            .collect();
        for (id, reason) in suspects {
            self.eject(now, &id, reason, out);
        }
    }

    /// Restores plain services after their ejection without a probe: most of their requests must not be repeated, so
    /// none could serve as one.
    fn restore_services(&mut self, now: Duration, out: &mut Vec<Decision>) {
        for (id, state) in &mut self.endpoints {
            if !state.engine && state.health.is_probe_due(now) {
                state.health.restore();
                out.push(Decision::Restore { endpoint: id.clone() });
            }
        }
    }

    fn eject(&mut self, now: Duration, id: &EndpointId, why: &'static str, out: &mut Vec<Decision>) {
        let ejected = self.endpoints.values().filter(|state| !state.health.is_healthy()).count();
        let max_ejected = (self.endpoints.len() as f64 * self.options.max_ejected_share) as usize;
        let ejection_time = self.options.ejection_time;
        let Some(state) = self.endpoints.get_mut(id) else { return };
        // The bound guards against false positives; a failed connection is none.
        if state.health.is_healthy() && ejected >= max_ejected && !state.health.unreachable {
            return;
        }
        let pause = state.health.eject(now, ejection_time);
        out.push(Decision::Eject { endpoint: id.clone(), why, pause });
    }

    /// Postpones the next probe of an ejected endpoint that did not answer a poll of its load.
    pub(crate) fn postpone_probe(&mut self, now: Duration, id: &str) {
        let ejection_time = self.options.ejection_time;
        let Some(state) = self.endpoints.get_mut(id) else { return };
        state.health.ejected_until = state.health.ejected_until.map(|until| until.max(now + ejection_time));
    }

    /// Why an endpoint should be ejected, given the pool's median latencies in seconds; `None` if it should not.
    fn detect_fault(
        &self,
        now: Duration,
        id: &EndpointId,
        median_first_token: f64,
        median_token_interval: f64,
    ) -> Option<&'static str> {
        let state = self.endpoints.get(id)?;
        let health = &state.health;
        if health.unreachable && health.is_healthy() {
            return Some("unreachable");
        }
        if health.consecutive_failures >= EJECTION_FAILURES || (health.probing && health.consecutive_failures > 0) {
            return Some("failing");
        }
        let timeout = Duration::from_secs_f64(median_first_token * self.options.slow_factor * 2.0);
        let timeout = timeout.max(MIN_FIRST_TOKEN_TIMEOUT);
        let is_overdue = |running: &&Running| !running.first_token_seen && running.started + timeout < now;
        let overdue = state.running.values().filter(is_overdue).count();
        if overdue >= EJECTION_OVERDUE || (overdue > 0 && health.probing) {
            return Some("no first token");
        }
        if health.samples < MIN_SAMPLES {
            return None;
        }
        let is_slow = |latency: &MovingAverage, median: f64| {
            median > 0.0 && latency.value_or(0.0) > median * self.options.slow_factor
        };
        if is_slow(&health.first_token, median_first_token.max(0.01)) {
            return Some("slow to the first token");
        }
        is_slow(&health.token_interval, median_token_interval).then_some("slow between tokens")
    }

    /// Ends a probe with its time to the first token: restores the endpoint unless it is still slow.
    pub(crate) fn finish_probe(&mut self, id: &EndpointId, first_token: Duration, out: &mut Vec<Decision>) {
        let median = self.median(|health| &health.first_token);
        let bound = Duration::from_secs_f64(median.max(0.01) * self.options.slow_factor);
        let Some(state) = self.endpoints.get_mut(id) else { return };
        if !state.health.probing {
            return;
        }
        if median > 0.0 && first_token > bound {
            state.health.note_failure();
            return;
        }
        state.health.restore();
        out.push(Decision::Restore { endpoint: id.clone() });
    }

    /// Median of a latency over the healthy endpoints that have samples; 0 if none has.
    fn median(&self, latency: impl Fn(&Health) -> &MovingAverage) -> f64 {
        let healthy = self.endpoints.values().filter(|state| state.health.is_healthy());
        let known = healthy.map(|state| latency(&state.health).value_or(-1.0)).filter(|value| *value > 0.0);
        let mut values: Vec<f64> = known.collect();
        if values.len() < 2 {
            return values.first().copied().unwrap_or_default();
        }
        values.sort_by(f64::total_cmp);
        values[(values.len() - 1) / 2]
    }
}
