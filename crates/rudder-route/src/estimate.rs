//! Running estimates of what is unknown in advance: output lengths and holding times.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{ClassId, OrgId};

/// Weight of the newest sample.
const WEIGHT: f64 = 0.1;
/// Samples of an organisation before its own estimate counts.
const ENOUGH: u32 = 5;

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    /// Records a sample; the first ones weigh more, so that the start value is soon forgotten.
    pub fn add(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (sample - self.value) * weight;
    }

    /// The mean, or `start` before the first sample.
    pub fn value_or(&self, start: f64) -> f64 {
        if self.count == 0 { start } else { self.value }
    }
}

/// Estimates of one pool.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    tokens: BTreeMap<ClassId, Mean>,
    org_tokens: BTreeMap<(ClassId, OrgId), Mean>,
    hold: BTreeMap<ClassId, Mean>,
}

impl Estimates {
    /// Records what one request turned out to be.
    pub fn add(&mut self, class: &ClassId, org: &OrgId, tokens: u32, hold: Duration) {
        self.tokens.entry(class.clone()).or_default().add(f64::from(tokens));
        self.org_tokens.entry((class.clone(), org.clone())).or_default().add(f64::from(tokens));
        self.hold.entry(class.clone()).or_default().add(hold.as_secs_f64());
    }

    /// Output tokens to expect.
    pub fn tokens(&self, class: &ClassId, org: &OrgId) -> f64 {
        let own = self.org_tokens.get(&(class.clone(), org.clone()));
        if let Some(own) = own.filter(|mean| mean.count >= ENOUGH) {
            return own.value;
        }
        self.tokens.get(class).map_or(1.0, |mean| mean.value_or(1.0))
    }

    /// Time a slot is held, in seconds; a new class counts like the mean of the others.
    pub fn hold(&self, class: &ClassId) -> f64 {
        if let Some(mean) = self.hold.get(class) {
            return mean.value;
        }
        let sum: f64 = self.hold.values().map(|mean| mean.value).sum();
        if self.hold.is_empty() { 0.0 } else { sum / self.hold.len() as f64 }
    }
}
