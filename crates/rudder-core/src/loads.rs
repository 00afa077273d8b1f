//! Requests in flight at endpoints, as all instances report them to the leader, which sends each the sum of the others.
//!
//! Every instance reports several times a second, so the totals are updated incrementally: the cost of an answer grows with
//! the endpoints, not with the endpoints times the instances. A relay keeps such totals of the instances that ask it, and
//! reports the sum to the leader as its own load.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rudder_model::{EndpointTag, InstanceId};

use crate::peer::Load;

/// How long the report of an instance counts.
pub(crate) const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Report {
    loads: Vec<Load>,
    at: Duration,
}

/// The loads reported by all instances, and their totals by endpoint.
#[derive(Debug, Default)]
pub struct Loads {
    reports: BTreeMap<InstanceId, Report>,
    totals: BTreeMap<EndpointTag, Load>,
}

impl Loads {
    /// Records the report of `from`, which replaces its previous one.
    pub fn record(&mut self, now: Duration, from: &InstanceId, loads: Vec<Load>) {
        for load in &loads {
            add(&mut self.totals, load);
        }
        let before = self.reports.insert(from.clone(), Report { loads, at: now });
        self.subtract_report(before);
    }

    /// The total load by endpoint without that of `asker`.
    pub fn total_excluding(&self, asker: &InstanceId) -> Vec<Load> {
        let own = self.reports.get(asker).map(|report| report.loads.as_slice()).unwrap_or_default();
        let own: HashMap<EndpointTag, &Load> = own.iter().map(|load| (load.endpoint, load)).collect();
        let mut others = Vec::with_capacity(self.totals.len());
        for total in self.totals.values() {
            let mut other = total.clone();
            if let Some(load) = own.get(&total.endpoint) {
                other.subtract(load);
            }
            if !other.is_none() {
                others.push(other);
            }
        }
        others
    }

    /// Requests in flight at the endpoint `tag`.
    pub fn calls_at(&self, tag: EndpointTag) -> u32 {
        self.totals.get(&tag).map_or(0, |load| load.calls)
    }

    /// The total load by endpoint.
    pub fn total(&self) -> Vec<Load> {
        self.totals.values().cloned().collect()
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Duration) {
        let is_old = |report: &Report| now > report.at + REPORT_LIFETIME;
        let names: Vec<InstanceId> =
            self.reports.iter().filter(|(_, report)| is_old(report)).map(|(name, _)| name.clone()).collect();
        for name in names {
            let before = self.reports.remove(&name);
            self.subtract_report(before);
        }
    }

    /// Drops all reports.
    pub fn clear(&mut self) {
        self.reports.clear();
        self.totals.clear();
    }

    fn subtract_report(&mut self, report: Option<Report>) {
        for load in report.map(|report| report.loads).unwrap_or_default() {
            let Some(total) = self.totals.get_mut(&load.endpoint) else { continue };
            total.subtract(&load);
            if total.is_none() {
                self.totals.remove(&load.endpoint);
            }
        }
    }
}

/// Adds up two lists of loads by endpoint.
pub fn merge(base: &[Load], more: Vec<Load>) -> Vec<Load> {
    let mut totals: BTreeMap<EndpointTag, Load> = more.into_iter().map(|load| (load.endpoint, load)).collect();
    for load in base {
        add(&mut totals, load);
    }
    totals.into_values().collect()
}

fn add(totals: &mut BTreeMap<EndpointTag, Load>, load: &Load) {
    totals.entry(load.endpoint).or_insert_with(|| Load::none(load.endpoint)).add(load);
}
