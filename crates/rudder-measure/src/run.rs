//! One run of one variant: arrivals, pools, engines, in steps of virtual time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_model::{ClassId, EndpointId, Limits, OrgId, RefusalCode, RequestId};
use rudder_route::{Decision, EndpointSpec, GrantOutcome, Pool, SlotRequest};

use crate::{
    engine::Engine,
    scenario::{Scenario, Stream},
    variant::Variant,
};

const STEP: Duration = Duration::from_millis(5);
const POOL_TICK: u32 = 10;
/// What is open at the end of arrivals may still end.
const DRAIN: Duration = Duration::from_secs(90);
/// An engine that sends nothing for this long has failed; as in instances.
const IDLE: Duration = Duration::from_secs(15);

/// One call's course.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its stream, by position in the scenario.
    pub stream: usize,
    /// Its organisation.
    pub org: usize,
    /// When it came.
    pub arrived: Duration,
    /// When its first token came.
    pub first: Option<Duration>,
    /// When it ended whole.
    pub done: Option<Duration>,
    /// Refused.
    pub refused: Option<RefusalCode>,
    /// Output length.
    pub tokens: f64,
    /// Seconds of slots used for it.
    pub used: f64,
    /// Engines that it ran at.
    pub engine: Option<usize>,
    made: f64,
    tier: u8,
    prefix: u64,
    pool: usize,
    tried: usize,
    home: usize,
    sent: Duration,
}

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    /// All calls.
    pub calls: Vec<Call>,
    /// Seconds of slots used in all.
    pub used: f64,
    /// Times a request was preempted.
    pub recalls: u32,
}

struct Run<'a> {
    scenario: &'a Scenario,
    variant: &'a Variant,
    now: Duration,
    engines: Vec<Engine>,
    names: Vec<EndpointId>,
    pools: Vec<Pool>,
    calls: Vec<Call>,
    /// Where each granted call runs.
    at: BTreeMap<RequestId, usize>,
    rng: Pcg32,
    recalls: u32,
}

/// Runs a variant with one seed.
pub fn run(scenario: &Scenario, variant: &Variant, seed: u64) -> Outcome {
    let arrivals = to_arrivals(scenario, seed);
    let count = scenario.halls * scenario.engine.count;
    let names: Vec<EndpointId> = (0..count).map(|index| EndpointId::from(format!("engine-{index}"))).collect();
    let mut run = Run {
        scenario,
        variant,
        now: Duration::ZERO,
        engines: (0..count).map(|_| Engine::new(&scenario.engine)).collect(),
        names,
        pools: Vec::new(),
        calls: Vec::new(),
        at: BTreeMap::new(),
        rng: Pcg32::seed_from_u64(seed ^ 0x5eed),
        recalls: 0,
    };
    run.make_pools();
    let mut arrivals = arrivals.into_iter().peekable();
    let mut steps = 0_u32;
    while run.now < scenario.length + DRAIN {
        run.now += STEP;
        steps += 1;
        run.set_faults();
        while let Some(call) = arrivals.next_if(|call| call.arrived <= run.now) {
            run.arrive(call);
        }
        run.work();
        if steps.is_multiple_of(POOL_TICK) {
            run.tick(steps);
        }
        if arrivals.peek().is_none() && run.at.is_empty() && run.pools.iter().all(|pool| pool.waiting() == 0) {
            break;
        }
    }
    let used = run.engines.iter().map(|engine| engine.used).sum();
    Outcome { calls: run.calls, used, recalls: run.recalls }
}

impl Run<'_> {
    fn make_pools(&mut self) {
        let per_hall = self.scenario.engine.count;
        let spec = |id: &EndpointId| EndpointSpec {
            id: id.clone(),
            slots: self.scenario.engine.slots,
            engine: true,
            leaving: false,
        };
        let count = if self.variant.homes { self.scenario.halls } else { self.scenario.halls * self.scenario.entries };
        for index in 0..count {
            let mut pool = Pool::new(self.variant.options.clone());
            let own = if self.variant.homes { index * per_hall..(index + 1) * per_hall } else { 0..self.names.len() };
            let specs: Vec<EndpointSpec> = self.names[own].iter().map(spec).collect();
            pool.configure(&specs);
            self.pools.push(pool);
        }
    }

    fn set_faults(&mut self) {
        for fault in &self.scenario.fault {
            let on = self.now >= fault.at && self.now < fault.at + fault.length;
            let first = fault.hall * self.scenario.engine.count;
            let hit = match fault.engine {
                Some(engine) => first + engine..first + engine + 1,
                None => first..first + self.scenario.engine.count,
            };
            for index in hit {
                let slow = if on { fault.slow } else { 1.0 };
                let crashed = slow <= 0.0 && self.engines[index].slow > 0.0;
                self.engines[index].slow = slow;
                if crashed {
                    self.crash(index);
                }
            }
        }
    }

    fn crash(&mut self, index: usize) {
        for job in self.engines[index].crash() {
            self.note_work(job.request, job.used, job.made);
            self.fail(job.request);
        }
    }

    fn fail(&mut self, request: RequestId) {
        let (pool, once) = {
            let call = &self.calls[request as usize];
            (call.pool, self.scenario.stream[call.stream].once)
        };
        self.at.remove(&request);
        let mut out = Vec::new();
        self.pools[pool].end(
            self.now,
            request,
            &GrantOutcome::Failed { retryable: !once, unsent: false, retry_after: None },
            &mut out,
        );
        if once {
            self.calls[request as usize].refused = Some(RefusalCode::EndpointFailed);
        }
        self.obey(out);
    }

    fn arrive(&mut self, mut call: Call) {
        let entries = self.scenario.halls * self.scenario.entries;
        let entry = self.rng.random_range(0..entries);
        call.home = entry / self.scenario.entries;
        call.pool = if self.variant.homes { call.home } else { entry };
        let request = self.calls.len() as RequestId;
        self.calls.push(call);
        self.ask(request);
    }

    fn ask(&mut self, request: RequestId) {
        let call = &self.calls[request as usize];
        let stream = &self.scenario.stream[call.stream];
        let per_hall = self.scenario.engine.count;
        let reach: Arc<[EndpointId]> = if self.variant.homes {
            self.names[call.pool * per_hall..(call.pool + 1) * per_hall].into()
        } else {
            self.names.as_slice().into()
        };
        let waited = self.now.saturating_sub(call.arrived);
        let ask = SlotRequest {
            id: request,
            entry: "entry".into(),
            class: ClassId::from(stream.class.as_str()),
            tier: stream.tier,
            org: OrgId::from(format!("org-{}", call.org)),
            model: "model".into(),
            limits: Limits::default(),
            prefix: call.prefix,
            once: stream.once,
            resumable: !stream.once,
            slack: stream.target.saturating_sub(waited),
            patience: stream.patience.saturating_sub(waited),
            reach,
        };
        let pool = call.pool;
        let mut out = Vec::new();
        self.pools[pool].request_slot(self.now, ask, &mut out);
        self.obey(out);
    }

    fn obey(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant { request, endpoint, .. } => self.start(request, &endpoint),
                Decision::Refuse { request, refusal, .. } => self.refuse(request, refusal.code),
                Decision::Recall { request, .. } => self.recall(request),
                Decision::Eject { .. } | Decision::Restore { .. } => {}
            }
        }
    }

    fn start(&mut self, request: RequestId, endpoint: &EndpointId) {
        let Some(index) = self.names.iter().position(|name| name == endpoint) else { return };
        let call = &mut self.calls[request as usize];
        call.engine = Some(index);
        call.sent = self.now;
        if self.engines[index].slow <= 0.0 {
            // The connection is refused: known not to have run.
            let pool = call.pool;
            let mut out = Vec::new();
            self.pools[pool].end(
                self.now,
                request,
                &GrantOutcome::Failed { retryable: true, unsent: true, retry_after: None },
                &mut out,
            );
            self.obey(out);
            return;
        }
        self.engines[index].enter(request, call.tier, call.prefix, (call.tokens - call.made).max(1.0));
        self.at.insert(request, index);
    }

    /// A refused call goes on to the next hall, as entries do.
    fn refuse(&mut self, request: RequestId, code: RefusalCode) {
        let halls = self.scenario.halls;
        let call = &mut self.calls[request as usize];
        let spills = self.variant.homes && matches!(code, RefusalCode::Overloaded | RefusalCode::NotAllowed);
        if spills && call.tried + 1 < halls {
            call.tried += 1;
            call.pool = (call.home + call.tried) % halls;
            self.ask(request);
            return;
        }
        call.refused = Some(code);
    }

    fn recall(&mut self, request: RequestId) {
        let Some(index) = self.at.remove(&request) else { return };
        let Some(job) = self.engines[index].remove(request) else { return };
        self.recalls += 1;
        self.note_work(request, job.used, job.made);
        let pool = self.calls[request as usize].pool;
        let mut out = Vec::new();
        self.pools[pool].end(self.now, request, &GrantOutcome::Preempted, &mut out);
        self.obey(out);
    }

    fn note_work(&mut self, request: RequestId, used: f64, made: f64) {
        let call = &mut self.calls[request as usize];
        call.used += used;
        call.made += made;
    }

    fn work(&mut self) {
        for index in 0..self.engines.len() {
            let step = self.engines[index].step(STEP);
            for request in step.first {
                self.on_first(request);
            }
            for job in step.done {
                self.note_work(job.request, job.used, job.made);
                self.on_done(job.request);
            }
            if !step.evicted.is_empty() {
                self.on_evicted(index, &step.evicted);
            }
        }
    }

    fn on_first(&mut self, request: RequestId) {
        let now = self.now;
        let call = &mut self.calls[request as usize];
        call.first.get_or_insert(now);
        let (pool, after) = (call.pool, now.saturating_sub(call.sent));
        let mut out = Vec::new();
        self.pools[pool].first_token(request, after, &mut out);
        self.obey(out);
    }

    fn on_done(&mut self, request: RequestId) {
        let now = self.now;
        self.at.remove(&request);
        let call = &mut self.calls[request as usize];
        call.done = Some(now);
        let first = call.first.unwrap_or(now).saturating_sub(call.sent);
        let ending = GrantOutcome::Done { tokens: call.tokens as u32, first, total: now.saturating_sub(call.sent) };
        let pool = call.pool;
        let mut out = Vec::new();
        self.pools[pool].end(now, request, &ending, &mut out);
        self.obey(out);
    }

    fn on_evicted(&mut self, index: usize, evicted: &[u64]) {
        let lost = self.scenario.engine.gaps > 0.0 && self.rng.random_bool(self.scenario.engine.gaps);
        let name = self.names[index].clone();
        for pool in &mut self.pools {
            // A gap in the events puts all of them in doubt.
            pool.on_evicted(&name, if lost { None } else { Some(evicted) });
        }
    }

    fn tick(&mut self, steps: u32) {
        let lag = (self.scenario.lag.as_millis() / STEP.as_millis()).max(1) as u32;
        if steps % lag < POOL_TICK {
            let loads: Vec<u32> = self.engines.iter().map(Engine::load).collect();
            for pool in &mut self.pools {
                for (name, load) in self.names.iter().zip(&loads) {
                    pool.set_reported_load(name, *load);
                }
            }
        }
        self.end_idle();
        for index in 0..self.pools.len() {
            let mut out = Vec::new();
            self.pools[index].tick(self.now, &mut out);
            self.obey(out);
        }
    }

    fn end_idle(&mut self) {
        let silent = |call: &Call| call.first.is_none() && call.sent + IDLE < self.now;
        let idle: Vec<RequestId> =
            self.at.keys().copied().filter(|request| silent(&self.calls[*request as usize])).collect();
        for request in idle {
            if let Some(job) = self.at.get(&request).copied().and_then(|index| self.engines[index].remove(request)) {
                self.note_work(request, job.used, job.made);
            }
            self.fail(request);
        }
    }
}

fn to_arrivals(scenario: &Scenario, seed: u64) -> Vec<Call> {
    let mut calls = Vec::new();
    for (index, stream) in scenario.stream.iter().enumerate() {
        // Each stream has its own numbers, so that leaving one out changes no other.
        let mut rng = Pcg32::seed_from_u64(seed ^ rudder_model::id::rendezvous(&stream.class, "arrivals"));
        let mut at = Duration::ZERO;
        while at < scenario.length {
            let burst = stream.burst.as_ref().filter(|burst| at >= burst.at && at < burst.at + burst.length);
            let rate = burst.map_or(stream.rate, |burst| burst.rate);
            at += Duration::from_secs_f64(-(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate.max(0.001));
            calls.push(to_call(index, stream, at, &mut rng));
        }
    }
    calls.sort_by_key(|call| call.arrived);
    calls
}

fn to_call(index: usize, stream: &Stream, arrived: Duration, rng: &mut Pcg32) -> Call {
    let large = stream.largest > 0.0 && rng.random_bool(stream.largest);
    let org =
        if large || stream.orgs < 2 { 0 } else { rng.random_range(usize::from(stream.largest > 0.0)..stream.orgs) };
    // From a quarter to four times the middle, evenly by its logarithm.
    let spread = rng.random_range(-1.0..1.0_f64) * 4.0_f64.ln();
    Call {
        stream: index,
        org,
        arrived,
        first: None,
        done: None,
        refused: None,
        tokens: (stream.tokens * 0.74 * spread.exp()).max(1.0),
        used: 0.0,
        engine: None,
        made: 0.0,
        tier: stream.tier,
        prefix: 1 + rng.random_range(0..stream.prefixes.max(1)) + ((index as u64) << 32),
        pool: 0,
        tried: 0,
        home: 0,
        sent: Duration::ZERO,
    }
}

/// Sums of one class over some calls.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    /// Calls.
    pub calls: f64,
    /// Whole and within the targets.
    pub attained: f64,
    /// Refused.
    pub refused: f64,
    /// Tokens of attained calls.
    pub useful: f64,
    /// Tokens asked for.
    pub wanted: f64,
    /// Seconds of slots used for calls that did not end whole.
    pub wasted: f64,
    /// Longest wait for a first token.
    pub longest: Duration,
}

/// True when a call was whole and within its targets.
pub fn attains(call: &Call, stream: &Stream) -> bool {
    let (Some(first), Some(done)) = (call.first, call.done) else { return false };
    let between = (done.saturating_sub(first)).as_secs_f64() / (call.tokens - 1.0).max(1.0);
    first.saturating_sub(call.arrived) <= stream.target && between <= stream.pace.as_secs_f64()
}

/// Adds up the calls that `chosen` picks, by class.
pub fn sum(scenario: &Scenario, calls: &[Call], chosen: impl Fn(&Call) -> bool) -> BTreeMap<String, Sum> {
    let mut sums: BTreeMap<String, Sum> = BTreeMap::new();
    for call in calls.iter().filter(|call| chosen(call)) {
        let stream = &scenario.stream[call.stream];
        let sum = sums.entry(stream.class.clone()).or_default();
        sum.calls += 1.0;
        sum.wanted += call.tokens;
        if attains(call, stream) {
            sum.attained += 1.0;
            sum.useful += call.tokens;
        }
        if call.done.is_none() {
            sum.wasted += call.used;
        }
        if call.refused.is_some() {
            sum.refused += 1.0;
        }
        let end = call.first.or(call.done);
        if let Some(first) = end {
            sum.longest = sum.longest.max(first.saturating_sub(call.arrived));
        }
    }
    sums
}
