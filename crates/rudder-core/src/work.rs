//! Work by organisation, as instances report it to the leader, which sends each the sum of the others.
//!
//! The totals are kept as those of [`crate::loads`], with at most [`rudder_route::shares::MAX_REPORTED`] organisations of
//! each instance. A reply holds the heaviest few of the total and the sum of the rest, so its size is the same for any
//! number of instances and organisations. Nothing is reported while no service's capacity is short.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;
use rudder_route::shares::{Group, MAX_REPORTED, WorkReport, WorkSum, truncate};

use crate::loads::REPORT_LIFETIME;

#[derive(Debug)]
struct Held {
    reports: Vec<WorkReport>,
    at: Duration,
}

/// The work reported by all instances, and its totals by service and level.
#[derive(Debug, Default)]
pub struct WorkTotals {
    held: BTreeMap<InstanceId, Held>,
    totals: BTreeMap<Group, WorkSum>,
}

impl WorkTotals {
    /// Records the reports of `from`, which replace its previous ones.
    pub fn record(&mut self, now: Duration, from: &InstanceId, reports: Vec<WorkReport>) {
        if reports.is_empty() {
            let before = self.held.remove(from);
            return self.subtract(before);
        }
        for report in &reports {
            self.totals.entry(report.group).or_default().add(report);
        }
        let before = self.held.insert(from.clone(), Held { reports, at: now });
        self.subtract(before);
    }

    /// The total without the work of `asker`.
    pub fn total_excluding(&self, asker: &InstanceId) -> Vec<WorkReport> {
        let own = self.held.get(asker).map(|held| held.reports.as_slice()).unwrap_or_default();
        let mut others = Vec::with_capacity(self.totals.len());
        for (group, total) in &self.totals {
            let Some(report) = own.iter().find(|report| report.group == *group) else {
                others.push(total.to_report(*group, MAX_REPORTED));
                continue;
            };
            let mut other = total.clone();
            other.subtract(report);
            if !other.is_empty() {
                others.push(other.to_report(*group, MAX_REPORTED));
            }
        }
        others
    }

    /// The total.
    pub fn total(&self) -> Vec<WorkReport> {
        self.totals.iter().map(|(group, total)| total.to_report(*group, MAX_REPORTED)).collect()
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Duration) {
        let is_old = |held: &Held| now > held.at + REPORT_LIFETIME;
        let names: Vec<InstanceId> =
            self.held.iter().filter(|(_, held)| is_old(held)).map(|(name, _)| name.clone()).collect();
        for name in names {
            let before = self.held.remove(&name);
            self.subtract(before);
        }
    }

    fn subtract(&mut self, before: Option<Held>) {
        for report in before.map(|held| held.reports).unwrap_or_default() {
            let Some(total) = self.totals.get_mut(&report.group) else { continue };
            total.subtract(&report);
            if total.is_empty() {
                self.totals.remove(&report.group);
            }
        }
    }
}

/// Adds up two lists of reports and limits the sum to the size that is exchanged.
pub fn merge(base: &[WorkReport], more: &[WorkReport]) -> Vec<WorkReport> {
    let mut totals: BTreeMap<Group, WorkSum> = BTreeMap::new();
    for report in base.iter().chain(more) {
        totals.entry(report.group).or_default().add(report);
    }
    truncate(totals.into_iter().map(|(group, total)| total.to_report(group, MAX_REPORTED)).collect())
}
