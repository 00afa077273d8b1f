//! Scheduling: which queued request is granted a slot next, and at which endpoint.

use std::{collections::VecDeque, time::Duration};

use rudder_model::{ClassId, EndpointId, OrgId, Promise, RequestId};

use crate::{
    Decision, EndpointState, Pool, SlotRequest,
    options::Order,
    queue::{ClassQueue, Waiting},
};

impl Pool {
    /// Endpoints that the request may use and that are not leaving.
    pub(crate) fn reachable<'a>(&'a self, request: &'a SlotRequest) -> impl Iterator<Item = &'a EndpointState> {
        let endpoints = request.reach.iter().filter_map(|id| self.endpoints.get(id));
        endpoints.filter(|state| !state.leaving)
    }

    /// Reachable endpoints that accept requests now.
    pub(crate) fn usable<'a>(
        &'a self,
        now: Duration,
        request: &'a SlotRequest,
    ) -> impl Iterator<Item = &'a EndpointState> {
        self.reachable(request).filter(move |state| state.is_available(now))
    }

    /// Grants slots until no queued request finds one, then preempts for those that remain.
    pub(crate) fn grant_slots(&mut self, now: Duration, out: &mut Vec<Decision>) {
        while let Some((id, endpoint)) = self.next_grant(now) {
            self.grant(now, id, &endpoint, out);
        }
        if self.options.preempt {
            self.preempt(now, out);
        }
    }

    fn next_grant(&mut self, now: Duration) -> Option<(RequestId, EndpointId)> {
        if self.queue.len() == 0 || !self.has_free_slot(now) {
            return None;
        }
        if self.options.order == Order::Arrival {
            let mut by_arrival: Vec<&Waiting> = self.queue.iter().collect();
            by_arrival.sort_by_key(|waiting| waiting.arrived);
            return by_arrival.into_iter().find_map(|waiting| self.find_slot(now, waiting));
        }
        let mut classes: Vec<&ClassId> = self.queue.classes.keys().collect();
        classes.retain(|class| self.queue.classes[*class].count > 0);
        classes.sort_by_key(|class| (!self.is_due(now, class), self.queue.classes[*class].tier));
        let found = classes.into_iter().find_map(|class| self.find_slot_for_class(now, class));
        if let Some((id, endpoint)) = &found {
            let held = self.keeps_tier_order(now, *id, endpoint);
            assert!(self.promises.check(Promise::TierOrder, held), "a lower tier was served before a higher one");
            let held = self.serves_starved_first(now, *id, endpoint);
            assert!(self.promises.check(Promise::EveryClass, held), "a starved class was passed over");
        }
        found
    }

    fn has_free_slot(&self, now: Duration) -> bool {
        self.endpoints.values().any(|state| state.is_available(now) && state.load(self.options.reports) < state.slots)
    }

    /// True if a class is due a grant regardless of its tier, as it was passed over too often or has waited too long.
    pub(crate) fn is_due(&self, now: Duration, class: &ClassId) -> bool {
        let queue = &self.queue.classes[class];
        let starved = now.saturating_sub(queue.last_served) >= self.options.starvation_timeout;
        starved || (queue.passed_over >= self.options.max_passed_over && !self.is_higher_tier_at_risk(now, queue.tier))
    }

    /// True if a request above `tier` would exceed its patience when another one went first.
    fn is_higher_tier_at_risk(&self, now: Duration, tier: u8) -> bool {
        let higher = self.queue.classes.iter().filter(|(_, queue)| queue.tier < tier);
        higher.into_iter().any(|(class, queue)| {
            let slot_time = Duration::from_secs_f64(self.estimates.slot_time(class));
            queue.iter().any(|waiting| waiting.deadline.saturating_sub(now) < slot_time)
        })
    }

    /// Finds a slot for a request of the class, least charged organisation first. Requests that can still meet their
    /// first-token deadline go before late ones, as serving a late one first would make the next one late too. A class
    /// that is due serves its oldest requests.
    fn find_slot_for_class(&self, now: Duration, class: &ClassId) -> Option<(RequestId, EndpointId)> {
        let queue = &self.queue.classes[class];
        let orgs: Vec<&OrgId> = queue.orgs_by_charge();
        let oldest = || orgs.iter().filter_map(|org| queue.orgs[*org].front());
        let in_time = || orgs.iter().filter_map(|org| first_in_time(now, &queue.orgs[*org]));
        let in_time_first = self.options.in_time && !self.is_due(now, class);
        let found = in_time_first.then(|| in_time().find_map(|waiting| self.find_slot(now, waiting))).flatten();
        found.or_else(|| oldest().find_map(|waiting| self.find_slot(now, waiting)))
    }

    /// Finds the endpoint with the lowest score among those with a free slot for the request.
    pub(crate) fn find_slot(&self, now: Duration, waiting: &Waiting) -> Option<(RequestId, EndpointId)> {
        let request = &waiting.request;
        let mut best: Option<(f64, &EndpointId)> = None;
        for id in request.reach.iter() {
            let Some(state) = self.endpoints.get(id) else { continue };
            if !self.accepts(now, state, request) || waiting.avoid.as_ref() == Some(id) && request.reach.len() > 1 {
                continue;
            }
            let score = self.score(state, request);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| (request.id, id.clone()))
    }

    /// True if the endpoint has a free slot for the request.
    fn accepts(&self, now: Duration, state: &EndpointState, request: &SlotRequest) -> bool {
        if !state.is_available(now) {
            return false;
        }
        let load = state.load(self.options.reports);
        if !state.health.is_healthy() {
            // A probe must be repeatable in case it fails.
            return !request.once && load < state.slots;
        }
        let reserved = (f64::from(state.slots) * self.options.reserved_share).ceil() as u32;
        let slots = if request.tier == 0 { state.slots } else { state.slots - reserved.min(state.slots - 1) };
        load < slots
    }

    /// Relative load of the endpoint with the request added, lowered if it has the prompt's prefix in its cache.
    fn score(&self, state: &EndpointState, request: &SlotRequest) -> f64 {
        let load = f64::from(state.load(self.options.reports) + 1) / f64::from(state.slots);
        let cached = state.caches_prefix(request.prefix);
        load - if cached { self.options.affinity } else { 0.0 }
    }

    fn grant(&mut self, now: Duration, id: RequestId, endpoint: &EndpointId, out: &mut Vec<Decision>) {
        let Some(waiting) = self.queue.remove(id) else { return };
        let waited = now.saturating_sub(waiting.arrived);
        self.update_turns(now, &waiting);
        let entry = waiting.request.entry.clone();
        self.start(now, waiting, endpoint);
        out.push(Decision::Grant { request: id, entry, endpoint: endpoint.clone(), waited });
    }

    /// Resets the count of passed-over grants of the class served, and increments it for the others that wait.
    fn update_turns(&mut self, now: Duration, waiting: &Waiting) {
        for (class, queue) in &mut self.queue.classes {
            if *class == waiting.request.class {
                queue.passed_over = 0;
                queue.last_served = now;
            } else if queue.count > 0 {
                queue.passed_over = queue.passed_over.saturating_add(1);
            }
        }
    }

    /// True if no queued request of a higher tier could use this slot, or if the class of the chosen request is due.
    fn keeps_tier_order(&self, now: Duration, id: RequestId, endpoint: &EndpointId) -> bool {
        let Some(tier) = self.queue.get(id).map(|waiting| waiting.request.tier) else { return false };
        !self.passes_over(now, id, endpoint, |queue| queue.tier < tier)
    }

    /// True if no starved class could use this slot, or if the class of the chosen request is due.
    fn serves_starved_first(&self, now: Duration, id: RequestId, endpoint: &EndpointId) -> bool {
        let timeout = self.options.starvation_timeout;
        !self.passes_over(now, id, endpoint, |queue| now.saturating_sub(queue.last_served) >= timeout)
    }

    /// True if the request `id`, whose class is not due, would get a slot that the head of a class selected by
    /// `goes_first` could use.
    fn passes_over(
        &self,
        now: Duration,
        id: RequestId,
        endpoint: &EndpointId,
        goes_first: impl Fn(&ClassQueue) -> bool,
    ) -> bool {
        let Some(chosen) = self.queue.get(id) else { return true };
        let Some(state) = self.endpoints.get(endpoint) else { return true };
        if self.is_due(now, &chosen.request.class) {
            return false;
        }
        let classes = self.queue.classes.values().filter(|queue| queue.count > 0 && goes_first(queue));
        let mut heads = classes.flat_map(|queue| queue.orgs.values().filter_map(VecDeque::front));
        heads.any(|head| {
            let reaches = head.request.reach.contains(endpoint) && head.avoid.as_ref() != Some(endpoint);
            reaches && self.accepts(now, state, &head.request)
        })
    }
}

/// The oldest request that can still meet its first-token deadline. Queues are ordered by arrival, except for requeued
/// requests at their front, which are never late.
fn first_in_time(now: Duration, queue: &VecDeque<Waiting>) -> Option<&Waiting> {
    let front = queue.front()?;
    if front.first_token_deadline > now {
        return Some(front);
    }
    let index = queue.partition_point(|waiting| waiting.first_token_deadline <= now);
    queue.get(index)
}
