//! Work under way at endpoints, as all instances tell the leader and the leader tells each of the others.
//!
//! Every instance asks several times a second, so the totals are kept and only changed by what is told: an
//! answer costs the endpoints, not the endpoints times the instances. A relay keeps such totals of those who ask it, and
//! tells the leader their sum as its own work.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use rudder_model::{EndpointTag, InstanceId};

use crate::peer::Load;

/// What an instance said of its work counts for this long.
const MEMORY: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Told {
    loads: Vec<Load>,
    at: Duration,
}

/// The work of all instances.
#[derive(Debug, Default)]
pub struct Loads {
    told: BTreeMap<InstanceId, Told>,
    totals: BTreeMap<EndpointTag, Load>,
}

impl Loads {
    /// Records what `from` has under way; it replaces what it said before.
    pub fn record(&mut self, now: Duration, from: &InstanceId, loads: Vec<Load>) {
        for load in &loads {
            add(&mut self.totals, load);
        }
        let before = self.told.insert(from.clone(), Told { loads, at: now });
        self.take_off(before);
    }

    /// The work of all instances but `asker`, where there is any.
    pub fn total_excluding(&self, asker: &InstanceId) -> Vec<Load> {
        let own = self.told.get(asker).map(|told| told.loads.as_slice()).unwrap_or_default();
        let own: HashMap<EndpointTag, &Load> = own.iter().map(|load| (load.endpoint, load)).collect();
        let mut others = Vec::with_capacity(self.totals.len());
        for total in self.totals.values() {
            let mut rest = total.clone();
            if let Some(load) = own.get(&total.endpoint) {
                subtract(&mut rest, load);
            }
            if !rest.is_none() {
                others.push(rest);
            }
        }
        others
    }

    /// Requests under way at the endpoint `tag`.
    pub fn calls_at(&self, tag: EndpointTag) -> u32 {
        self.totals.get(&tag).map_or(0, |load| load.calls)
    }

    /// The work of all instances together.
    pub fn total(&self) -> Vec<Load> {
        self.totals.values().cloned().collect()
    }

    /// Drops what was told too long ago.
    pub fn expire(&mut self, now: Duration) {
        let old = |told: &Told| now > told.at + MEMORY;
        let names: Vec<InstanceId> =
            self.told.iter().filter(|(_, told)| old(told)).map(|(name, _)| name.clone()).collect();
        for name in names {
            let before = self.told.remove(&name);
            self.take_off(before);
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.told.clear();
        self.totals.clear();
    }

    fn take_off(&mut self, told: Option<Told>) {
        for load in told.map(|told| told.loads).unwrap_or_default() {
            let Some(total) = self.totals.get_mut(&load.endpoint) else { continue };
            subtract(total, &load);
            if total.is_none() {
                self.totals.remove(&load.endpoint);
            }
        }
    }
}

/// The work of `rest` and `more` together.
pub fn merge(rest: &[Load], more: Vec<Load>) -> Vec<Load> {
    let mut totals: BTreeMap<EndpointTag, Load> = more.into_iter().map(|load| (load.endpoint, load)).collect();
    for load in rest {
        add(&mut totals, load);
    }
    totals.into_values().collect()
}

fn add(totals: &mut BTreeMap<EndpointTag, Load>, load: &Load) {
    let total = totals.entry(load.endpoint).or_insert_with(|| Load::none(load.endpoint));
    total.calls = total.calls.saturating_add(load.calls);
    total.unread = total.unread.saturating_add(load.unread);
    total.held = total.held.saturating_add(load.held);
    total.ended = total.ended.saturating_add(load.ended);
    total.failed = total.failed.saturating_add(load.failed);
}

fn subtract(total: &mut Load, load: &Load) {
    total.calls = total.calls.saturating_sub(load.calls);
    total.unread = total.unread.saturating_sub(load.unread);
    total.held = total.held.saturating_sub(load.held);
    total.ended = total.ended.saturating_sub(load.ended);
    total.failed = total.failed.saturating_sub(load.failed);
}
