//! The instances to which this one passes requests that it cannot send itself.

use std::{collections::HashMap, time::Duration};

use rand::seq::SliceRandom as _;
use rudder_clock::Moment;
use rudder_core::Listing;
use rudder_model::{HallId, InstanceId};

use crate::placement::Placement;

/// How long an instance that could not serve a request is left out.
const UNFIT_FOR: Duration = Duration::from_secs(1);
/// How long it is tried after the others.
const DOUBTED_FOR: Duration = Duration::from_secs(5);
/// Instances of one hall that are enough to pass all requests to; with fewer, those of the region share them.
const MIN_NEAR: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Trial {
    at: Moment,
    served: bool,
}

/// What is known of the other instances as receivers of requests.
#[derive(Debug, Default)]
pub struct Neighbours {
    trials: HashMap<InstanceId, Trial>,
}

impl Neighbours {
    /// Records whether an instance was able to serve a request.
    pub fn record(&mut self, instance: &InstanceId, served: bool, now: Moment) {
        self.trials.insert(instance.clone(), Trial { at: now, served });
    }

    /// Drops what is too old to matter.
    pub fn age(&mut self, now: Moment) {
        self.trials.retain(|_, trial| now.saturating_duration_since(trial.at) < DOUBTED_FOR);
    }

    /// Up to `COUNT` of the `others` to try in turn, in random order within each group: those that did not fail lately before
    /// those that did, and then those of `hall`, if there are enough of them, before those of its region. The second half are
    /// of other groups than the first, as a whole hall may be unfit.
    pub fn select<'a, const COUNT: usize>(
        &self,
        others: impl Iterator<Item = &'a Listing>,
        hall: &HallId,
        placement: &Placement,
        now: Moment,
    ) -> Vec<&'a Listing> {
        let mut fit: Vec<&Listing> = others.filter(|other| !self.is_unfit(&other.name, now)).collect();
        let prefers_hall = fit.iter().filter(|other| other.hall == *hall).count() >= MIN_NEAR;
        let region = placement.region_of(hall);
        let rank = |other: &Listing| match &other.hall {
            near if prefers_hall && near == hall => 0,
            near if region.is_some() && placement.region_of(near) == region => 1,
            _ => 2,
        };
        fit.shuffle(&mut rand::rng());
        fit.sort_by_key(|other| (self.is_doubted(&other.name, now), rank(other)));
        let mut rest = fit.split_off(fit.len().min(COUNT / 2));
        if let Some(first) = fit.first().map(|first| rank(first)) {
            rest.sort_by_key(|other| rank(other) == first);
        }
        fit.append(&mut rest);
        fit.truncate(COUNT);
        fit
    }

    fn is_unfit(&self, instance: &InstanceId, now: Moment) -> bool {
        let trial = self.trials.get(instance);
        trial.is_some_and(|trial| !trial.served && now.saturating_duration_since(trial.at) < UNFIT_FOR)
    }

    fn is_doubted(&self, instance: &InstanceId, now: Moment) -> bool {
        let trial = self.trials.get(instance);
        trial.is_some_and(|trial| !trial.served && now.saturating_duration_since(trial.at) < DOUBTED_FOR)
    }
}
