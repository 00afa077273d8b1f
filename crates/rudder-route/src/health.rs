//! Slow and failing endpoints: ejection with a ceiling, probes, return.

use std::time::Duration;

use rudder_model::EndpointId;

use crate::{Decision, Pool, estimate::Mean};

/// Failures in a row that eject an endpoint.
const FAILURES: u32 = 2;
/// Requests overdue at the same time that eject an endpoint.
const OVERDUE: usize = 2;
/// Samples before an endpoint is compared with the others.
const SAMPLES: u32 = 2;
/// A first token is never overdue before this long.
const PATIENCE: Duration = Duration::from_millis(500);
/// Largest exponent of the pause between probes.
const BACKOFF: u32 = 3;

/// What is known of one endpoint's speed and failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    pub(crate) first: Mean,
    pub(crate) pace: Mean,
    samples: u32,
    failures: u32,
    ejections: u32,
    /// Ejected until then; afterwards on probation.
    until: Option<Duration>,
    pub(crate) probing: bool,
    /// No connection could be made, or a look at its load went unanswered, since it was last ejected.
    pub(crate) unreachable: bool,
}

impl Health {
    /// May take ordinary work.
    pub(crate) fn is_well(&self) -> bool {
        self.until.is_none()
    }

    /// May take one probe.
    pub(crate) fn wants_probe(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now >= until) && !self.probing
    }

    pub(crate) fn note_first(&mut self, first: Duration) {
        self.first.add(first.as_secs_f64());
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) fn note_failure(&mut self) {
        self.failures += 1;
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
    }

    fn eject(&mut self, now: Duration, pause: Duration) -> Duration {
        let pause = pause * 2_u32.pow(self.ejections.min(BACKOFF));
        self.ejections += 1;
        self.until = Some(now + pause);
        self.probing = false;
        self.unreachable = false;
        pause
    }

    fn restore(&mut self) {
        *self = Health { ejections: self.ejections, ..Health::default() };
    }
}

impl Pool {
    /// Ejects what is slow, failing or hanging, as far as the ceiling allows.
    pub(crate) fn check_health(&mut self, now: Duration, out: &mut Vec<Decision>) {
        if !self.options.eject {
            return;
        }
        self.restore_services(now, out);
        let (first, pace) = (self.median(|health| &health.first), self.median(|health| &health.pace));
        let suspects: Vec<(EndpointId, &'static str)> = self
            .sites
            .iter()
            .filter(|(_, site)| site.health.is_well() || site.health.probing)
            .filter_map(|(id, _)| self.fault_of(now, id, first, pace).map(|why| (id.clone(), why)))
            .collect();
        for (id, why) in suspects {
            self.eject(now, &id, why, out);
        }
    }

    /// Plain services come back after their pause without a probe: most of their calls may not be
    /// repeated, so none could serve as one.
    fn restore_services(&mut self, now: Duration, out: &mut Vec<Decision>) {
        for (id, site) in &mut self.sites {
            if !site.engine && site.health.wants_probe(now) {
                site.health.restore();
                out.push(Decision::Restore { endpoint: id.clone() });
            }
        }
    }

    fn eject(&mut self, now: Duration, id: &EndpointId, why: &'static str, out: &mut Vec<Decision>) {
        let ejected = self.sites.values().filter(|site| !site.health.is_well()).count();
        let allowed = (self.sites.len() as f64 * self.options.ceiling) as usize;
        let pause = self.options.pause;
        let Some(site) = self.sites.get_mut(id) else { return };
        // The ceiling guards against mistaken suspicion; that no connection can be made is no suspicion.
        if site.health.is_well() && ejected >= allowed && !site.health.unreachable {
            return;
        }
        let pause = site.health.eject(now, pause);
        out.push(Decision::Eject { endpoint: id.clone(), why, pause });
    }

    /// Puts off the next probe while an ejected endpoint does not even answer a look at its load.
    pub(crate) fn put_off(&mut self, now: Duration, id: &str) {
        let pause = self.options.pause;
        let Some(site) = self.sites.get_mut(id) else { return };
        site.health.until = site.health.until.map(|until| until.max(now + pause));
    }

    fn fault_of(&self, now: Duration, id: &EndpointId, first: f64, pace: f64) -> Option<&'static str> {
        let site = self.sites.get(id)?;
        if site.health.unreachable && site.health.is_well() {
            return Some("unreachable");
        }
        if site.health.failures >= FAILURES || (site.health.probing && site.health.failures > 0) {
            return Some("failing");
        }
        let due = Duration::from_secs_f64(first * self.options.slow * 2.0).max(PATIENCE);
        let overdue = site.running.values().filter(|running| !running.first && running.since + due < now).count();
        if overdue >= OVERDUE || (overdue > 0 && site.health.probing) {
            return Some("no first token");
        }
        if site.health.samples < SAMPLES {
            return None;
        }
        let slow = |mean: &Mean, median: f64| median > 0.0 && mean.value_or(0.0) > median * self.options.slow;
        if slow(&site.health.first, first.max(0.01)) {
            return Some("slow to the first token");
        }
        slow(&site.health.pace, pace).then_some("slow between tokens")
    }

    /// Brings a probed endpoint back.
    pub(crate) fn end_probe(&mut self, id: &EndpointId, first: Duration, out: &mut Vec<Decision>) {
        let median = self.median(|health| &health.first);
        let bound = Duration::from_secs_f64(median.max(0.01) * self.options.slow);
        let Some(site) = self.sites.get_mut(id) else { return };
        if !site.health.probing {
            return;
        }
        if median > 0.0 && first > bound {
            site.health.note_failure();
            return;
        }
        site.health.restore();
        out.push(Decision::Restore { endpoint: id.clone() });
    }

    /// Median over the endpoints that are well; 0 with fewer than two to compare.
    fn median(&self, figure: impl Fn(&Health) -> &Mean) -> f64 {
        let well = self.sites.values().filter(|site| site.health.is_well());
        let known = well.map(|site| figure(&site.health).value_or(-1.0)).filter(|value| *value > 0.0);
        let mut values: Vec<f64> = known.collect();
        if values.len() < 2 {
            return values.first().copied().unwrap_or_default();
        }
        values.sort_by(f64::total_cmp);
        values[(values.len() - 1) / 2]
    }
}
