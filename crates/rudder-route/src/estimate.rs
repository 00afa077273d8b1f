//! Running estimates of output lengths and slot times, which are unknown when a request arrives.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{ClassId, OrgId};

/// Weight of the newest sample once enough samples have been added.
const MIN_WEIGHT: f64 = 0.1;
/// Samples of an organisation before its own estimate replaces that of its class.
const MIN_ORG_SAMPLES: u32 = 5;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingAverage {
    value: f64,
    count: u32,
}

impl MovingAverage {
    /// Adds a sample. The first samples are averaged with equal weights, so that the initial value has no influence.
    pub fn add(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (sample - self.value) * weight;
    }

    /// The average, or `default` before the first sample.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.count == 0 { default } else { self.value }
    }
}

/// Estimates of one pool.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    tokens: BTreeMap<ClassId, MovingAverage>,
    org_tokens: BTreeMap<(ClassId, OrgId), MovingAverage>,
    slot_times: BTreeMap<ClassId, MovingAverage>,
}

impl Estimates {
    /// Records the output tokens and the slot time of a completed request.
    pub fn add(&mut self, class: &ClassId, org: &OrgId, tokens: u32, slot_time: Duration) {
        self.tokens.entry(class.clone()).or_default().add(f64::from(tokens));
        self.org_tokens.entry((class.clone(), org.clone())).or_default().add(f64::from(tokens));
        self.slot_times.entry(class.clone()).or_default().add(slot_time.as_secs_f64());
    }

    /// Expected output tokens of a request.
    pub fn tokens(&self, class: &ClassId, org: &OrgId) -> f64 {
        let own = self.org_tokens.get(&(class.clone(), org.clone()));
        if let Some(own) = own.filter(|average| average.count >= MIN_ORG_SAMPLES) {
            return own.value;
        }
        self.tokens.get(class).map_or(1.0, |average| average.value_or(1.0))
    }

    /// Expected time that a request of `class` occupies a slot, in seconds. A class without samples gets the mean of
    /// the other classes.
    pub fn slot_time(&self, class: &ClassId) -> f64 {
        if let Some(average) = self.slot_times.get(class) {
            return average.value;
        }
        let sum: f64 = self.slot_times.values().map(|average| average.value).sum();
        if self.slot_times.is_empty() { 0.0 } else { sum / self.slot_times.len() as f64 }
    }
}
