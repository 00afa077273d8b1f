//! Choice: which waiting request is next, and which endpoint takes it.

use std::{collections::VecDeque, time::Duration};

use rudder_model::{ClassId, EndpointId, OrgId, Promise, RequestId};

use crate::{
    Decision, EndpointState, Pool, SlotRequest,
    options::Order,
    queue::{ClassQueue, Waiting},
};

impl Pool {
    /// Endpoints that the request reaches and that are not leaving.
    pub(crate) fn reachable<'a>(&'a self, ask: &'a SlotRequest) -> impl Iterator<Item = &'a EndpointState> {
        let sites = ask.reach.iter().filter_map(|id| self.sites.get(id));
        sites.filter(|site| !site.leaving)
    }

    /// Of these, the ones that take work now.
    pub(crate) fn usable<'a>(&'a self, now: Duration, ask: &'a SlotRequest) -> impl Iterator<Item = &'a EndpointState> {
        self.reachable(ask).filter(move |site| site.is_open(now))
    }

    /// Grants slots as long as a waiting request finds one.
    pub(crate) fn serve(&mut self, now: Duration, out: &mut Vec<Decision>) {
        while let Some((request, endpoint)) = self.next_grant(now) {
            self.grant(now, request, &endpoint, out);
        }
        if self.options.preempt {
            self.preempt(now, out);
        }
    }

    fn next_grant(&mut self, now: Duration) -> Option<(RequestId, EndpointId)> {
        if self.queue.len() == 0 || !self.has_room(now) {
            return None;
        }
        if self.options.order == Order::Arrival {
            let mut line: Vec<&Waiting> = self.queue.iter().collect();
            line.sort_by_key(|waiting| waiting.arrived);
            return line.into_iter().find_map(|waiting| self.place(now, waiting));
        }
        let mut classes: Vec<&ClassId> = self.queue.classes.keys().collect();
        classes.retain(|class| self.queue.classes[*class].count > 0);
        classes.sort_by_key(|class| (!self.is_due(now, class), self.queue.classes[*class].tier));
        let found = classes.into_iter().find_map(|class| self.place_class(now, class));
        if let Some((request, endpoint)) = &found {
            let held = self.respects_tiers(now, *request, endpoint);
            assert!(self.promises.check(Promise::TierOrder, held), "a lower tier was served before a higher one");
            let held = self.respects_starved(now, *request, endpoint);
            assert!(self.promises.check(Promise::EveryClass, held), "a starved class was passed over");
        }
        found
    }

    fn has_room(&self, now: Duration) -> bool {
        self.sites.values().any(|site| site.is_open(now) && site.load(self.options.reports) < site.slots)
    }

    /// A class is due a grant out of turn once it was passed over often or has waited long.
    pub(crate) fn is_due(&self, now: Duration, class: &ClassId) -> bool {
        let queue = &self.queue.classes[class];
        let starved = now.saturating_sub(queue.served) >= self.options.starve;
        starved || (queue.passed >= self.options.trickle && !self.is_critical(now, queue.tier))
    }

    /// A request above `tier` would run out of patience if it gave up its turn.
    fn is_critical(&self, now: Duration, tier: u8) -> bool {
        let above = self.queue.classes.iter().filter(|(_, queue)| queue.tier < tier);
        above.into_iter().any(|(class, queue)| {
            let hold = Duration::from_secs_f64(self.estimates.hold(class));
            queue.iter().any(|waiting| waiting.until.saturating_sub(now) < hold)
        })
    }

    /// Requests that can still be in time go before late ones: serving a late one first would make the
    /// next one late too. A class that is due its trickle serves its oldest.
    fn place_class(&self, now: Duration, class: &ClassId) -> Option<(RequestId, EndpointId)> {
        let queue = &self.queue.classes[class];
        let orgs: Vec<&OrgId> = queue.to_order();
        let oldest = || orgs.iter().filter_map(|org| queue.orgs[*org].front());
        let in_time = || orgs.iter().filter_map(|org| first_in_time(now, &queue.orgs[*org]));
        let in_time_first = self.options.in_time && !self.is_due(now, class);
        let found = in_time_first.then(|| in_time().find_map(|waiting| self.place(now, waiting))).flatten();
        found.or_else(|| oldest().find_map(|waiting| self.place(now, waiting)))
    }

    /// Finds the best endpoint with a free slot for a request.
    pub(crate) fn place(&self, now: Duration, waiting: &Waiting) -> Option<(RequestId, EndpointId)> {
        let ask = &waiting.ask;
        let mut best: Option<(f64, &EndpointId)> = None;
        for id in ask.reach.iter() {
            let Some(site) = self.sites.get(id) else { continue };
            if !self.takes(now, site, ask) || waiting.avoid.as_ref() == Some(id) && ask.reach.len() > 1 {
                continue;
            }
            let score = self.score(site, ask);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| (ask.id, id.clone()))
    }

    fn takes(&self, now: Duration, site: &EndpointState, ask: &SlotRequest) -> bool {
        if !site.is_open(now) {
            return false;
        }
        let load = site.load(self.options.reports);
        if !site.health.is_well() {
            // A probe is one request that can be repeated if it fails.
            return !ask.once && load < site.slots;
        }
        let reserved = (f64::from(site.slots) * self.options.reserve).ceil() as u32;
        let slots = if ask.tier == 0 { site.slots } else { site.slots - reserved.min(site.slots - 1) };
        load < slots
    }

    /// Load after taking the request, weighed by the endpoint's pace; a held prefix lowers it.
    fn score(&self, site: &EndpointState, ask: &SlotRequest) -> f64 {
        let load = f64::from(site.load(self.options.reports) + 1) / f64::from(site.slots);
        let held = site.holds_prefix(ask.prefix);
        load - if held { self.options.affinity } else { 0.0 }
    }

    fn grant(&mut self, now: Duration, request: RequestId, endpoint: &EndpointId, out: &mut Vec<Decision>) {
        let Some(waiting) = self.queue.remove(request) else { return };
        let waited = now.saturating_sub(waiting.arrived);
        self.note_served(now, &waiting);
        let entry = waiting.ask.entry.clone();
        self.start(now, waiting, endpoint);
        out.push(Decision::Grant { request, entry, endpoint: endpoint.clone(), waited });
    }

    fn note_served(&mut self, now: Duration, waiting: &Waiting) {
        for (class, queue) in &mut self.queue.classes {
            if *class == waiting.ask.class {
                queue.passed = 0;
                queue.served = now;
            } else if queue.count > 0 {
                queue.passed = queue.passed.saturating_add(1);
            }
        }
    }

    /// True when no request of a higher tier waits that could have had this slot instead. A class
    /// that was due its trickle is the one exception.
    fn respects_tiers(&self, now: Duration, request: RequestId, endpoint: &EndpointId) -> bool {
        let Some(tier) = self.queue.get(request).map(|waiting| waiting.ask.tier) else { return false };
        !self.passes_over(now, request, endpoint, |queue| queue.tier < tier)
    }

    /// True when no starved class waits that could have had this slot instead.
    fn respects_starved(&self, now: Duration, request: RequestId, endpoint: &EndpointId) -> bool {
        let starve = self.options.starve;
        !self.passes_over(now, request, endpoint, |queue| now.saturating_sub(queue.served) >= starve)
    }

    /// True when the head of a class that `goes_first` could have had the slot that `request` gets
    /// without being due.
    fn passes_over(
        &self,
        now: Duration,
        request: RequestId,
        endpoint: &EndpointId,
        goes_first: impl Fn(&ClassQueue) -> bool,
    ) -> bool {
        let Some(chosen) = self.queue.get(request) else { return true };
        let Some(site) = self.sites.get(endpoint) else { return true };
        if self.is_due(now, &chosen.ask.class) {
            return false;
        }
        let classes = self.queue.classes.values().filter(|queue| queue.count > 0 && goes_first(queue));
        let mut heads = classes.flat_map(|queue| queue.orgs.values().filter_map(|line| line.front()));
        heads.any(|head| {
            let reaches = head.ask.reach.contains(endpoint) && head.avoid.as_ref() != Some(endpoint);
            reaches && self.takes(now, site, &head.ask)
        })
    }
}

/// The oldest request whose first token can still be in time. Lines are ordered by arrival, but for
/// preempted requests at their front, which are never late.
fn first_in_time(now: Duration, line: &VecDeque<Waiting>) -> Option<&Waiting> {
    let front = line.front()?;
    if front.late > now {
        return Some(front);
    }
    let at = line.partition_point(|waiting| waiting.late <= now);
    line.get(at)
}
