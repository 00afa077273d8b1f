//! The pool: its state and the events that drive it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rudder_model::{ClassId, EndpointId, InstanceId, OrgId, Promises, Refusal, RefusalCode, RequestId};

use crate::{
    Decision, EndpointSpec, EndpointState, GrantOutcome, HeldGrant, Options, SlotRequest,
    estimate::Estimates,
    limit::Usage,
    queue::{Queue, Waiting},
    site::Running,
};

/// Retries that may be saved up.
const RETRY_CEILING: f64 = 10.0;
/// A grant that its entry does not report is taken back after this long.
const GRANT_GRACE: Duration = Duration::from_secs(2);

/// The slots of one model or plain service in one hall, and the requests that wait for them.
#[derive(Debug)]
pub struct Pool {
    pub(crate) options: Options,
    pub(crate) sites: BTreeMap<EndpointId, EndpointState>,
    pub(crate) queue: Queue,
    pub(crate) granted: BTreeMap<RequestId, EndpointId>,
    pub(crate) estimates: Estimates,
    pub(crate) usage: BTreeMap<(ClassId, OrgId), Usage>,
    pub(crate) retries: f64,
    /// Promises checked by this pool.
    pub promises: Promises,
}

impl Pool {
    /// A pool without endpoints.
    pub fn new(options: Options) -> Pool {
        Pool {
            options,
            sites: BTreeMap::new(),
            queue: Queue::default(),
            granted: BTreeMap::new(),
            estimates: Estimates::default(),
            usage: BTreeMap::new(),
            retries: RETRY_CEILING,
            promises: Promises::default(),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// The endpoint that a request was granted.
    pub fn place_of(&self, request: RequestId) -> Option<&str> {
        self.granted.get(&request).map(|id| &**id)
    }

    /// The endpoint as the pool sees it.
    pub fn endpoint(&self, id: &str) -> Option<&EndpointState> {
        self.sites.get(id)
    }

    /// Brings the endpoints in line with configuration; what runs at a removed one is let go.
    pub fn configure(&mut self, specs: &[EndpointSpec]) {
        let kept: BTreeSet<&EndpointId> = specs.iter().map(|spec| &spec.id).collect();
        self.sites.retain(|id, _| kept.contains(id));
        self.granted.retain(|_, id| kept.contains(id));
        for spec in specs {
            let site = self.sites.entry(spec.id.clone()).or_insert_with(|| EndpointState::new(spec.slots, spec.engine));
            site.slots = spec.slots;
            site.engine = spec.engine;
            site.leaving = spec.leaving;
        }
    }

    /// Gives every waiting request the reach that configuration now allows it.
    pub fn set_reach(&mut self, reach: impl Fn(&SlotRequest) -> Arc<[EndpointId]>) {
        self.queue.for_each_ask(|ask| ask.reach = reach(ask));
    }

    /// Handles a request. Asking again repeats the grant, in case it was lost on the way.
    pub fn request_slot(&mut self, now: Duration, ask: SlotRequest, out: &mut Vec<Decision>) {
        if let Some(endpoint) = self.granted.get(&ask.id) {
            let (request, entry, endpoint) = (ask.id, ask.entry, endpoint.clone());
            out.push(Decision::Grant { request, entry, endpoint, waited: Duration::ZERO });
            return;
        }
        if self.queue.get(ask.id).is_some() {
            return;
        }
        if let Some(refusal) = self.refusal_of(now, &ask) {
            out.push(Decision::Refuse { request: ask.id, entry: ask.entry, refusal });
            return;
        }
        self.retries = (self.retries + self.options.retries).min(RETRY_CEILING);
        let (until, late) = (now + ask.patience, now + ask.slack);
        self.queue.push(now, Waiting { ask, arrived: now, until, late, preempted: 0, avoid: None }, false);
        self.serve(now, out);
    }

    /// Records that the caller of a waiting or running request left.
    pub fn withdraw(&mut self, now: Duration, request: RequestId, out: &mut Vec<Decision>) {
        if let Some(waiting) = self.queue.remove(request) {
            self.close_usage(&waiting.ask);
            return;
        }
        self.end(now, request, &GrantOutcome::Dropped, out);
    }

    /// Records that the first token of a request came, `after` its dispatch.
    pub fn first_token(&mut self, request: RequestId, after: Duration, out: &mut Vec<Decision>) {
        let Some(endpoint) = self.granted.get(&request).cloned() else { return };
        let Some(site) = self.sites.get_mut(&endpoint) else { return };
        let Some(running) = site.running.get_mut(&request) else { return };
        if running.first {
            return;
        }
        running.first = true;
        site.health.note_first(after);
        site.health.note_success();
        self.end_probe(&endpoint, after, out);
    }

    /// Records how a granted request ended.
    pub fn end(&mut self, now: Duration, request: RequestId, ending: &GrantOutcome, out: &mut Vec<Decision>) {
        let Some(endpoint) = self.granted.remove(&request) else { return };
        let Some(site) = self.sites.get_mut(&endpoint) else { return };
        let Some(running) = site.running.remove(&request) else { return };
        match *ending {
            GrantOutcome::Done { tokens, first, total } => {
                self.end_done(now, &endpoint, &running, (tokens, first, total), out);
            }
            GrantOutcome::Failed { retryable, unsent, retry_after } => {
                if let Some(retry_after) = retry_after {
                    site.note_rest(now, retry_after);
                }
                self.end_failed(now, &endpoint, running, (retryable, unsent), out);
            }
            GrantOutcome::Preempted => self.requeue(now, running, None, true),
            GrantOutcome::Dropped => self.close_usage(&running.ask),
        }
        if matches!(ending, GrantOutcome::Failed { .. }) {
            self.check_health(now, out);
        }
        self.free_probe(&endpoint);
        self.serve(now, out);
    }

    /// A probe that ended without a verdict leaves the endpoint open for the next one.
    fn free_probe(&mut self, endpoint: &EndpointId) {
        let Some(site) = self.sites.get_mut(endpoint) else { return };
        if site.running.is_empty() {
            site.health.probing = false;
        }
    }

    fn end_done(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        running: &Running,
        figures: (u32, Duration, Duration),
        out: &mut Vec<Decision>,
    ) {
        let (tokens, first, total) = figures;
        let ask = &running.ask;
        self.estimates.add(&ask.class, &ask.org, tokens, now.saturating_sub(running.since));
        let correction = f64::from(tokens) - running.charged;
        if let Some(queue) = self.queue.classes.get_mut(&ask.class) {
            queue.charge(&ask.org, correction);
        }
        if let Some(usage) = self.usage.get_mut(&(ask.class.clone(), ask.org.clone())) {
            usage.charge(&ask.limits, correction);
        }
        self.close_usage(ask);
        let Some(site) = self.sites.get_mut(endpoint) else { return };
        site.note_prefix(ask.prefix);
        site.health.note_success();
        if !running.first {
            site.health.note_first(first);
        }
        if tokens > 1 {
            site.health.pace.add(total.saturating_sub(first).as_secs_f64() / f64::from(tokens - 1));
        }
        self.end_probe(endpoint, first, out);
    }

    fn end_failed(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        running: Running,
        how: (bool, bool),
        out: &mut Vec<Decision>,
    ) {
        let (again, unsent) = how;
        if let Some(site) = self.sites.get_mut(endpoint) {
            site.health.note_failure();
            site.health.unreachable |= unsent;
        }
        // What was never sent costs no endpoint anything, so it draws on no budget; the ejection that
        // follows keeps it from going round in circles.
        let free = unsent && self.options.eject;
        if again && (free || self.retries >= 1.0) {
            self.retries -= if free { 0.0 } else { 1.0 };
            self.requeue(now, running, Some(endpoint.clone()), false);
            return;
        }
        self.close_usage(&running.ask);
        if !again {
            return;
        }
        let (request, entry) = (running.ask.id, running.ask.entry);
        // Only the entry knows what it sent; it states whether the request ran.
        let refusal =
            Refusal::unknown(RefusalCode::EndpointFailed, "the endpoint failed and the retry budget is spent");
        out.push(Decision::Refuse { request, entry, refusal });
    }

    fn requeue(&mut self, now: Duration, running: Running, avoid: Option<EndpointId>, preempted: bool) {
        let Running { ask, arrived, .. } = running;
        let count = running.preempted + u8::from(preempted);
        // Time spent running is not time spent waiting. What has begun is never late: its first token is out.
        let until = now + ask.patience;
        self.queue.push(now, Waiting { ask, arrived, until, late: Duration::MAX, preempted: count, avoid }, true);
    }

    /// Records an endpoint's own report, which lags: requests it works on or holds.
    pub fn set_reported_load(&mut self, endpoint: &str, load: u32) {
        if let Some(site) = self.sites.get_mut(endpoint) {
            site.reported = load;
        }
    }

    /// Records that an endpoint did not answer a look at its load.
    pub fn on_poll_failed(&mut self, now: Duration, endpoint: &str, out: &mut Vec<Decision>) {
        let Some(site) = self.sites.get_mut(endpoint) else { return };
        site.health.note_failure();
        self.check_health(now, out);
        self.put_off(now, endpoint);
    }

    /// Records what an endpoint says of its prefix cache: evictions, or `None` after a gap.
    pub fn on_evicted(&mut self, endpoint: &str, prefixes: Option<&[u64]>) {
        if let Some(site) = self.sites.get_mut(endpoint) {
            site.forget_prefixes(prefixes);
        }
    }

    /// True when the grants that this pool knows of `entry` have this digest.
    pub fn digest_matches(&self, entry: &InstanceId, digest: u64) -> bool {
        let running = self.sites.values().flat_map(|site| &site.running);
        let own = running.filter(|(_, running)| running.ask.entry == *entry);
        own.map(|(request, _)| grant_digest(*request)).fold(0, u64::wrapping_add) == digest
    }

    /// Records all grants that `entry` holds: unknown ones are added, missing ones taken back.
    pub fn sync(&mut self, now: Duration, entry: &InstanceId, holdings: Vec<HeldGrant>, out: &mut Vec<Decision>) {
        let held: BTreeSet<RequestId> = holdings.iter().map(|holding| holding.request.id).collect();
        for holding in holdings {
            if self.granted.contains_key(&holding.request.id) || !self.sites.contains_key(&holding.endpoint) {
                continue;
            }
            self.queue.remove(holding.request.id);
            self.adopt(now, holding);
        }
        let mut lost = Vec::new();
        for site in self.sites.values() {
            for (request, running) in &site.running {
                let old = running.since + GRANT_GRACE < now;
                if running.ask.entry == *entry && old && !held.contains(request) {
                    lost.push(*request);
                }
            }
        }
        for request in lost {
            self.end(now, request, &GrantOutcome::Dropped, out);
        }
    }

    /// Lets go of all that an entry had, once it is gone.
    pub fn retain_live(&mut self, now: Duration, is_live: impl Fn(&SlotRequest) -> bool, out: &mut Vec<Decision>) {
        let waiting = self.queue.iter().map(|waiting| &waiting.ask);
        let running = self.sites.values().flat_map(|site| site.running.values().map(|running| &running.ask));
        let gone = waiting.chain(running).filter(|ask| !is_live(ask));
        let requests: Vec<RequestId> = gone.map(|ask| ask.id).collect();
        for request in requests {
            self.withdraw(now, request, out);
        }
    }

    /// Advances time: refuses what waited out, ejects, preempts, grants.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Decision>) {
        self.check_health(now, out);
        self.shed(now, out);
        self.repeat_recalls(now, out);
        self.serve(now, out);
    }

    pub(crate) fn start(&mut self, now: Duration, waiting: Waiting, endpoint: &EndpointId) {
        let tokens = self.estimates.tokens(&waiting.ask.class, &waiting.ask.org);
        if let Some(queue) = self.queue.classes.get_mut(&waiting.ask.class) {
            queue.charge(&waiting.ask.org, tokens);
        }
        let Some(site) = self.sites.get_mut(endpoint) else { return };
        if !site.health.is_well() {
            site.health.probing = true;
        }
        self.granted.insert(waiting.ask.id, endpoint.clone());
        let running = Running {
            since: now,
            arrived: waiting.arrived,
            preempted: waiting.preempted,
            recalled: None,
            first: false,
            charged: tokens,
            ask: waiting.ask,
        };
        site.running.insert(running.ask.id, running);
    }

    fn adopt(&mut self, now: Duration, holding: HeldGrant) {
        let usage = self.usage.entry((holding.request.class.clone(), holding.request.org.clone())).or_default();
        usage.open += 1;
        let (until, late) = (now + holding.request.patience, Duration::MAX);
        let waiting = Waiting { ask: holding.request, arrived: now, until, late, preempted: 0, avoid: None };
        self.start(now, waiting, &holding.endpoint);
    }

    pub(crate) fn close_usage(&mut self, ask: &SlotRequest) {
        if let Some(usage) = self.usage.get_mut(&(ask.class.clone(), ask.org.clone())) {
            usage.open = usage.open.saturating_sub(1);
        }
    }
}

/// A request's part of the digest of what an entry holds; the parts add up in any order.
pub fn grant_digest(request: RequestId) -> u64 {
    // Odd constants from the fractional part of the golden ratio spread the counters over all bits.
    let folded = (request >> 64) as u64 ^ (request as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (folded ^ (folded >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
