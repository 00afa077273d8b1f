//! The state of a pool and its event handlers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rudder_model::{ClassId, EndpointId, InstanceId, OrgId, Promises, Refusal, RefusalCode, RequestId};

use crate::{
    Decision, EndpointSpec, EndpointState, GrantOutcome, HeldGrant, Options, SlotRequest,
    endpoint::Running,
    estimate::Estimates,
    queue::{Queue, Waiting},
    usage::OrgUsage,
};

/// Upper bound of the retry budget.
const MAX_RETRY_BUDGET: f64 = 10.0;
/// A grant that its entry does not report is released after this time.
const GRANT_GRACE: Duration = Duration::from_secs(2);

/// The slots of one model or plain service in one hall, and the requests that run in or wait for them.
#[derive(Debug)]
pub struct Pool {
    pub(crate) options: Options,
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointState>,
    pub(crate) queue: Queue,
    pub(crate) grants: BTreeMap<RequestId, EndpointId>,
    pub(crate) estimates: Estimates,
    pub(crate) usage: BTreeMap<(ClassId, OrgId), OrgUsage>,
    pub(crate) retry_budget: f64,
    /// Counters of the promises that this pool checks.
    pub promises: Promises,
}

impl Pool {
    /// A pool without endpoints.
    pub fn new(options: Options) -> Pool {
        Pool {
            options,
            endpoints: BTreeMap::new(),
            queue: Queue::default(),
            grants: BTreeMap::new(),
            estimates: Estimates::default(),
            usage: BTreeMap::new(),
            retry_budget: MAX_RETRY_BUDGET,
            promises: Promises::default(),
        }
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of granted requests.
    pub fn running(&self) -> usize {
        self.grants.len()
    }

    /// The endpoint at which a request was granted a slot.
    pub fn endpoint_of(&self, id: RequestId) -> Option<&str> {
        self.grants.get(&id).map(|endpoint| &**endpoint)
    }

    /// The state of an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Adds, updates and removes endpoints as configured. Requests at a removed endpoint are no longer tracked.
    pub fn configure(&mut self, specs: &[EndpointSpec]) {
        let kept: BTreeSet<&EndpointId> = specs.iter().map(|spec| &spec.id).collect();
        self.endpoints.retain(|id, _| kept.contains(id));
        self.grants.retain(|_, id| kept.contains(id));
        for spec in specs {
            let state =
                self.endpoints.entry(spec.id.clone()).or_insert_with(|| EndpointState::new(spec.slots, spec.engine));
            state.slots = spec.slots;
            state.engine = spec.engine;
            state.leaving = spec.leaving;
        }
    }

    /// Recomputes the reachable endpoints of every queued request, after a change of the configuration.
    pub fn set_reach(&mut self, reach: impl Fn(&SlotRequest) -> Arc<[EndpointId]>) {
        self.queue.for_each_request(|request| request.reach = reach(request));
    }

    /// Grants, queues or refuses a request. A request that already holds a grant gets it again, as the message may have
    /// been lost.
    pub fn request_slot(&mut self, now: Duration, request: SlotRequest, out: &mut Vec<Decision>) {
        if let Some(endpoint) = self.grants.get(&request.id) {
            let (id, entry, endpoint) = (request.id, request.entry, endpoint.clone());
            out.push(Decision::Grant { request: id, entry, endpoint, waited: Duration::ZERO });
            return;
        }
        if self.queue.get(request.id).is_some() {
            return;
        }
        if let Some(refusal) = self.check_admission(now, &request) {
            out.push(Decision::Refuse { request: request.id, entry: request.entry, refusal });
            return;
        }
        self.retry_budget = (self.retry_budget + self.options.retry_ratio).min(MAX_RETRY_BUDGET);
        let (deadline, first_token_deadline) = (now + request.patience, now + request.slack);
        let waiting = Waiting { request, arrived: now, deadline, first_token_deadline, preemptions: 0, avoid: None };
        self.queue.push(now, waiting, false);
        self.grant_slots(now, out);
    }

    /// Removes a queued or running request whose caller disconnected.
    pub fn withdraw(&mut self, now: Duration, id: RequestId, out: &mut Vec<Decision>) {
        if let Some(waiting) = self.queue.remove(id) {
            self.release_usage(&waiting.request);
            return;
        }
        self.end(now, id, &GrantOutcome::Dropped, out);
    }

    /// Records the first token of a request, received `after` its dispatch.
    pub fn first_token(&mut self, id: RequestId, after: Duration, out: &mut Vec<Decision>) {
        let Some(endpoint) = self.grants.get(&id).cloned() else { return };
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(running) = state.running.get_mut(&id) else { return };
        if running.first_token_seen {
            return;
        }
        running.first_token_seen = true;
        state.health.note_first_token(after);
        state.health.note_success();
        self.finish_probe(&endpoint, after, out);
    }

    /// Records how a granted request ended.
    pub fn end(&mut self, now: Duration, id: RequestId, outcome: &GrantOutcome, out: &mut Vec<Decision>) {
        let Some(endpoint) = self.grants.remove(&id) else { return };
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return };
        let Some(running) = state.running.remove(&id) else { return };
        match *outcome {
            GrantOutcome::Done { tokens, first, total } => {
                self.on_done(now, &endpoint, &running, (tokens, first, total), out);
            }
            GrantOutcome::Failed { retryable, unsent, retry_after } => {
                if let Some(retry_after) = retry_after {
                    state.note_backoff(now, retry_after);
                }
                self.on_failed(now, &endpoint, running, (retryable, unsent), out);
            }
            GrantOutcome::Preempted => self.requeue(now, running, None, true),
            GrantOutcome::Dropped => self.release_usage(&running.request),
        }
        if matches!(outcome, GrantOutcome::Failed { .. }) {
            self.check_health(now, out);
        }
        self.release_probe(&endpoint);
        self.grant_slots(now, out);
    }

    /// Allows another probe once an endpoint is idle, in case the last one was inconclusive.
    fn release_probe(&mut self, endpoint: &EndpointId) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        if state.running.is_empty() {
            state.health.probing = false;
        }
    }

    fn on_done(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        running: &Running,
        (tokens, first, total): (u32, Duration, Duration),
        out: &mut Vec<Decision>,
    ) {
        let request = &running.request;
        self.estimates.add(&request.class, &request.org, tokens, now.saturating_sub(running.started));
        let correction = f64::from(tokens) - running.charged_tokens;
        if let Some(queue) = self.queue.classes.get_mut(&request.class) {
            queue.charge(&request.org, correction);
        }
        if let Some(usage) = self.usage.get_mut(&(request.class.clone(), request.org.clone())) {
            usage.charge(&request.limits, correction);
        }
        self.release_usage(request);
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        state.note_prefix(request.prefix);
        state.health.note_success();
        if !running.first_token_seen {
            state.health.note_first_token(first);
        }
        if tokens > 1 {
            state.health.token_interval.add(total.saturating_sub(first).as_secs_f64() / f64::from(tokens - 1));
        }
        self.finish_probe(endpoint, first, out);
    }

    fn on_failed(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        running: Running,
        (retryable, unsent): (bool, bool),
        out: &mut Vec<Decision>,
    ) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.health.note_failure();
            state.health.unreachable |= unsent;
        }
        // An unsent request puts no load on the endpoint, so its retry is not charged to the budget. The ejection that
        // follows prevents endless retries.
        let free = unsent && self.options.eject;
        if retryable && (free || self.retry_budget >= 1.0) {
            self.retry_budget -= if free { 0.0 } else { 1.0 };
            self.requeue(now, running, Some(endpoint.clone()), false);
            return;
        }
        self.release_usage(&running.request);
        if !retryable {
            return;
        }
        let (id, entry) = (running.request.id, running.request.entry);
        // The entry replaces the unknown with what it knows of whether the request ran.
        let refusal =
            Refusal::unknown(RefusalCode::EndpointFailed, "the endpoint failed and the retry budget is spent");
        out.push(Decision::Refuse { request: id, entry, refusal });
    }

    /// Puts a request back at the front of its queue. It never counts as late, as its first token may have been sent.
    fn requeue(&mut self, now: Duration, running: Running, avoid: Option<EndpointId>, preempted: bool) {
        let Running { request, arrived, .. } = running;
        let preemptions = running.preemptions + u8::from(preempted);
        // The patience starts anew, as time spent running does not count as waiting.
        let (deadline, first_token_deadline) = (now + request.patience, Duration::MAX);
        self.queue.push(now, Waiting { request, arrived, deadline, first_token_deadline, preemptions, avoid }, true);
    }

    /// Records the load that an endpoint reports, in requests running and queued there. The report is delayed.
    pub fn set_reported_load(&mut self, endpoint: &str, load: u32) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.reported_load = load;
        }
    }

    /// Records that an endpoint did not answer a poll of its load.
    pub fn on_poll_failed(&mut self, now: Duration, endpoint: &str, out: &mut Vec<Decision>) {
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        state.health.note_failure();
        self.check_health(now, out);
        self.postpone_probe(now, endpoint);
    }

    /// Removes prefixes that an endpoint evicted from its cache, or all of them with `None`, after a gap in its events.
    pub fn on_evicted(&mut self, endpoint: &str, prefixes: Option<&[u64]>) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.evict_prefixes(prefixes);
        }
    }

    /// True if the grants of `entry` that this pool tracks have this digest.
    pub fn digest_matches(&self, entry: &InstanceId, digest: u64) -> bool {
        let running = self.endpoints.values().flat_map(|state| &state.running);
        let own = running.filter(|(_, running)| running.request.entry == *entry);
        own.map(|(id, _)| grant_digest(*id)).fold(0, u64::wrapping_add) == digest
    }

    /// Reconciles the tracked grants with those that `entry` holds: unknown ones are added, missing ones released.
    pub fn sync(&mut self, now: Duration, entry: &InstanceId, grants: Vec<HeldGrant>, out: &mut Vec<Decision>) {
        let held: BTreeSet<RequestId> = grants.iter().map(|grant| grant.request.id).collect();
        for grant in grants {
            if self.grants.contains_key(&grant.request.id) || !self.endpoints.contains_key(&grant.endpoint) {
                continue;
            }
            self.queue.remove(grant.request.id);
            self.restore_grant(now, grant);
        }
        let mut lost = Vec::new();
        for state in self.endpoints.values() {
            for (id, running) in &state.running {
                let old = running.started + GRANT_GRACE < now;
                if running.request.entry == *entry && old && !held.contains(id) {
                    lost.push(*id);
                }
            }
        }
        for id in lost {
            self.end(now, id, &GrantOutcome::Dropped, out);
        }
    }

    /// Removes the queued and running requests for which `is_live` returns false, as their entry is gone.
    pub fn retain_live(&mut self, now: Duration, is_live: impl Fn(&SlotRequest) -> bool, out: &mut Vec<Decision>) {
        let waiting = self.queue.iter().map(|waiting| &waiting.request);
        let running = self.endpoints.values().flat_map(|state| state.running.values().map(|running| &running.request));
        let gone = waiting.chain(running).filter(|request| !is_live(request));
        let ids: Vec<RequestId> = gone.map(|request| request.id).collect();
        for id in ids {
            self.withdraw(now, id, out);
        }
    }

    /// Runs the periodic checks: health, timeouts, repeated recalls and new grants.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Decision>) {
        self.check_health(now, out);
        self.shed(now, out);
        self.repeat_recalls(now, out);
        self.grant_slots(now, out);
    }

    /// Starts a request at an endpoint and charges its estimated output tokens to the organisation.
    pub(crate) fn start(&mut self, now: Duration, waiting: Waiting, endpoint: &EndpointId) {
        let tokens = self.estimates.tokens(&waiting.request.class, &waiting.request.org);
        if let Some(queue) = self.queue.classes.get_mut(&waiting.request.class) {
            queue.charge(&waiting.request.org, tokens);
        }
        let Some(state) = self.endpoints.get_mut(endpoint) else { return };
        if !state.health.is_healthy() {
            state.health.probing = true;
        }
        self.grants.insert(waiting.request.id, endpoint.clone());
        let running = Running {
            started: now,
            arrived: waiting.arrived,
            preemptions: waiting.preemptions,
            recalled: None,
            first_token_seen: false,
            charged_tokens: tokens,
            request: waiting.request,
        };
        state.running.insert(running.request.id, running);
    }

    fn restore_grant(&mut self, now: Duration, HeldGrant { request, endpoint }: HeldGrant) {
        let usage = self.usage.entry((request.class.clone(), request.org.clone())).or_default();
        usage.open_requests += 1;
        let (deadline, first_token_deadline) = (now + request.patience, Duration::MAX);
        let waiting = Waiting { request, arrived: now, deadline, first_token_deadline, preemptions: 0, avoid: None };
        self.start(now, waiting, &endpoint);
    }

    pub(crate) fn release_usage(&mut self, request: &SlotRequest) {
        if let Some(usage) = self.usage.get_mut(&(request.class.clone(), request.org.clone())) {
            usage.open_requests = usage.open_requests.saturating_sub(1);
        }
    }
}

/// Hash of a granted request. The digest of a set of grants is the wrapping sum of their hashes, in any order.
pub fn grant_digest(id: RequestId) -> u64 {
    // Multiplying by odd constants spreads the counter in the id over all bits.
    let folded = (id >> 64) as u64 ^ (id as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (folded ^ (folded >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
