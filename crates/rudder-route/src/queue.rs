//! Waiting requests: by class, within a class by organisation, within an organisation by arrival.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::{ClassId, EndpointId, OrgId, RequestId};

use crate::ask::SlotRequest;

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ask: SlotRequest,
    pub(crate) arrived: Duration,
    pub(crate) until: Duration,
    /// From then on its first token comes late.
    pub(crate) late: Duration,
    pub(crate) preempted: u8,
    pub(crate) avoid: Option<EndpointId>,
}

/// The waiting requests of one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassQueue {
    pub(crate) tier: u8,
    pub(crate) orgs: BTreeMap<OrgId, VecDeque<Waiting>>,
    /// Work charged to each organisation since the class was last empty, in tokens.
    charged: BTreeMap<OrgId, f64>,
    pub(crate) count: usize,
    /// Grants to others since this class's last grant or since it began to wait.
    pub(crate) passed: u32,
    pub(crate) served: Duration,
}

/// All waiting requests of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) classes: BTreeMap<ClassId, ClassQueue>,
    pub(crate) index: BTreeMap<RequestId, (ClassId, OrgId)>,
}

impl ClassQueue {
    fn new(tier: u8, now: Duration) -> ClassQueue {
        ClassQueue { tier, orgs: BTreeMap::new(), charged: BTreeMap::new(), count: 0, passed: 0, served: now }
    }

    /// Organisations that wait, least charged first.
    pub(crate) fn to_order(&self) -> Vec<&OrgId> {
        let mut orgs: Vec<&OrgId> = self.orgs.keys().collect();
        orgs.sort_by(|a, b| self.charge_of(a).total_cmp(&self.charge_of(b)));
        orgs
    }

    fn charge_of(&self, org: &OrgId) -> f64 {
        self.charged.get(org).copied().unwrap_or_default()
    }

    /// Adds work to an organisation's account; corrections may be negative.
    pub(crate) fn charge(&mut self, org: &OrgId, tokens: f64) {
        *self.charged.entry(org.clone()).or_default() += tokens;
    }

    /// An organisation that begins to wait starts level with the least charged of those that wait
    /// already, so that time spent idle earns no credit.
    fn enter(&mut self, org: &OrgId) {
        let waiting = self.orgs.keys().map(|org| self.charge_of(org));
        let least = waiting.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            let charged = self.charged.entry(org.clone()).or_default();
            *charged = charged.max(least);
        } else {
            self.charged.clear();
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.orgs.values().flatten()
    }
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    /// Adds a request; `front` puts it before all others of its organisation.
    pub(crate) fn push(&mut self, now: Duration, waiting: Waiting, front: bool) {
        let (class, org) = (waiting.ask.class.clone(), waiting.ask.org.clone());
        self.index.insert(waiting.ask.id, (class.clone(), org.clone()));
        let tier = waiting.ask.tier;
        let queue = self.classes.entry(class).or_insert_with(|| ClassQueue::new(tier, now));
        queue.tier = tier;
        if queue.count == 0 {
            queue.served = now;
            queue.passed = 0;
        }
        if !queue.orgs.contains_key(&org) {
            queue.enter(&org);
        }
        queue.count += 1;
        let line = queue.orgs.entry(org).or_default();
        if front {
            line.push_front(waiting);
        } else {
            line.push_back(waiting);
        }
    }

    pub(crate) fn get(&self, request: RequestId) -> Option<&Waiting> {
        let (class, org) = self.index.get(&request)?;
        let line = self.classes.get(class)?.orgs.get(org)?;
        line.iter().find(|waiting| waiting.ask.id == request)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let (class, org) = self.index.remove(&request)?;
        let queue = self.classes.get_mut(&class)?;
        let line = queue.orgs.get_mut(&org)?;
        let at = line.iter().position(|waiting| waiting.ask.id == request)?;
        let waiting = line.remove(at)?;
        if line.is_empty() {
            queue.orgs.remove(&org);
        }
        queue.count -= 1;
        Some(waiting)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.classes.values().flat_map(ClassQueue::iter)
    }

    /// Changes every waiting request's reach; used when configuration changes.
    pub(crate) fn for_each_ask(&mut self, mut change: impl FnMut(&mut SlotRequest)) {
        for queue in self.classes.values_mut() {
            for waiting in queue.orgs.values_mut().flatten() {
                change(&mut waiting.ask);
            }
        }
    }
}
