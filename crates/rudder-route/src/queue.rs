//! Queued requests: by class, within a class by organisation, within an organisation by arrival.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::{ClassId, EndpointId, OrgId, RequestId};

use crate::request::SlotRequest;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: SlotRequest,
    pub(crate) arrived: Duration,
    /// The request is refused if it has no slot by then.
    pub(crate) deadline: Duration,
    /// After this time its first token misses the class's target.
    pub(crate) first_token_deadline: Duration,
    pub(crate) preemptions: u8,
    /// Endpoint that failed the request before.
    pub(crate) avoid: Option<EndpointId>,
}

/// The queued requests of one class.
#[derive(Clone, Debug)]
pub(crate) struct ClassQueue {
    pub(crate) tier: u8,
    pub(crate) orgs: BTreeMap<OrgId, VecDeque<Waiting>>,
    /// Tokens charged to each organisation since the class was last empty.
    charged: BTreeMap<OrgId, f64>,
    pub(crate) count: usize,
    /// Grants to other classes since this one's last grant, or since it was last empty.
    pub(crate) passed_over: u32,
    /// Time of the last grant, or when the class was last empty.
    pub(crate) last_served: Duration,
}

/// All queued requests of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) classes: BTreeMap<ClassId, ClassQueue>,
    pub(crate) index: BTreeMap<RequestId, (ClassId, OrgId)>,
}

impl ClassQueue {
    fn new(tier: u8, now: Duration) -> ClassQueue {
        ClassQueue { tier, orgs: BTreeMap::new(), charged: BTreeMap::new(), count: 0, passed_over: 0, last_served: now }
    }

    /// Organisations with queued requests, least charged first.
    pub(crate) fn orgs_by_charge(&self) -> Vec<&OrgId> {
        let mut orgs: Vec<&OrgId> = self.orgs.keys().collect();
        orgs.sort_by(|a, b| self.charge_of(a).total_cmp(&self.charge_of(b)));
        orgs
    }

    fn charge_of(&self, org: &OrgId) -> f64 {
        self.charged.get(org).copied().unwrap_or_default()
    }

    /// Adds to an organisation's charge; corrections may be negative.
    pub(crate) fn charge(&mut self, org: &OrgId, tokens: f64) {
        *self.charged.entry(org.clone()).or_default() += tokens;
    }

    /// Raises the charge of an organisation that starts to queue to the lowest of those already queued, so that idle
    /// time earns no credit.
    fn raise_charge(&mut self, org: &OrgId) {
        let queued = self.orgs.keys().map(|org| self.charge_of(org));
        let lowest = queued.fold(f64::INFINITY, f64::min);
        if lowest.is_finite() {
            let charged = self.charged.entry(org.clone()).or_default();
            *charged = charged.max(lowest);
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

    /// Adds a request at the end of its organisation's queue, or with `front` at its head.
    pub(crate) fn push(&mut self, now: Duration, waiting: Waiting, front: bool) {
        let (class, org) = (waiting.request.class.clone(), waiting.request.org.clone());
        self.index.insert(waiting.request.id, (class.clone(), org.clone()));
        let tier = waiting.request.tier;
        let queue = self.classes.entry(class).or_insert_with(|| ClassQueue::new(tier, now));
        queue.tier = tier;
        if queue.count == 0 {
            queue.last_served = now;
            queue.passed_over = 0;
        }
        if !queue.orgs.contains_key(&org) {
            queue.raise_charge(&org);
        }
        queue.count += 1;
        let org_queue = queue.orgs.entry(org).or_default();
        if front {
            org_queue.push_front(waiting);
        } else {
            org_queue.push_back(waiting);
        }
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Waiting> {
        let (class, org) = self.index.get(&id)?;
        let org_queue = self.classes.get(class)?.orgs.get(org)?;
        org_queue.iter().find(|waiting| waiting.request.id == id)
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let (class, org) = self.index.remove(&id)?;
        let queue = self.classes.get_mut(&class)?;
        let org_queue = queue.orgs.get_mut(&org)?;
        let index = org_queue.iter().position(|waiting| waiting.request.id == id)?;
        let waiting = org_queue.remove(index)?;
        if org_queue.is_empty() {
            queue.orgs.remove(&org);
        }
        queue.count -= 1;
        Some(waiting)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.classes.values().flat_map(ClassQueue::iter)
    }

    /// Updates every queued request in place; its id, class and organisation must stay.
    pub(crate) fn for_each_request(&mut self, mut update: impl FnMut(&mut SlotRequest)) {
        for queue in self.classes.values_mut() {
            for waiting in queue.orgs.values_mut().flatten() {
                update(&mut waiting.request);
            }
        }
    }
}
