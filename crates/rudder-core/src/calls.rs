//! Calls: the requests whose callers are connected to this instance.
//!
//! A call is admitted, claims its key if it has one, asks the home of one pool after the other for a
//! slot, runs, and ends. Everything said about "not run" is decided here, from what was sent.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_ledger::Attempt;
use rudder_model::{
    Class, ClassId, EndpointId, InstanceId, Mark, Promise, Promises, Ran, Refusal, RefusalCode, RequestId,
};
use rudder_route::{Ask, Ending, Holding};

use crate::{
    Arrival, Dispatch, Effect, Ended, Me, Options, PeerMessage, Verdict, keyed,
    peer::{FromPool, ToPool},
    propose::{For, Proposals},
    reach::{self, PoolId},
    view::View,
};

/// An ask without an answer is sent again after this long.
const ASK_RETRY: Duration = Duration::from_millis(500);
/// Time between an entry's reports of what it holds.
const SYNC: Duration = Duration::from_secs(1);
/// A pool without use is reported to for this long.
const POOL_MEMORY: Duration = Duration::from_secs(10);

/// Where a call stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for its claim to be committed, or for another attempt with its key.
    Claiming { next: Duration },
    /// Waits for a slot.
    Asking { home: InstanceId, sent: Duration },
    /// Runs at an endpoint.
    Running { endpoint: EndpointId, since: Duration },
    /// Its answer waits until its end is recorded.
    Finishing,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) arrival: Arrival,
    pub(crate) class_id: ClassId,
    pub(crate) class: Class,
    pub(crate) org: rudder_model::OrgId,
    pub(crate) arrived: Duration,
    pub(crate) until: Duration,
    pub(crate) phase: Phase,
    pub(crate) attempt: Option<Attempt>,
    pools: Vec<PoolId>,
    at: usize,
    dispatches: u32,
    produced: u32,
    first: Option<Duration>,
    /// Whether any attempt so far may have run.
    pub(crate) ran: Ran,
    recalled: bool,
}

/// All calls of this instance.
#[derive(Debug, Default)]
pub struct Calls {
    pub(crate) open: BTreeMap<RequestId, Call>,
    pub(crate) attempts: u64,
    used: BTreeMap<PoolId, Duration>,
    synced: Duration,
}

/// What calls need of the rest of the instance.
pub(crate) struct Context<'a> {
    pub(crate) now: Duration,
    pub(crate) me: &'a Me,
    pub(crate) options: &'a Options,
    pub(crate) view: &'a View,
    pub(crate) proposals: &'a mut Proposals,
    pub(crate) promises: &'a mut Promises,
    pub(crate) out: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(crate) fn is_fresh(&self) -> bool {
        self.view.is_fresh(self.now, self.options.fresh)
    }

    pub(crate) fn log(&mut self, what: What) {
        self.out.push(Effect::Log(what));
    }

    pub(crate) fn verdict(&mut self, request: RequestId, verdict: Verdict) {
        self.out.push(Effect::Verdict { request, verdict });
    }

    fn send_pool(&mut self, home: InstanceId, pool: &PoolId, message: ToPool) {
        let (hall, model) = pool.clone();
        self.out.push(Effect::Send { to: home, message: PeerMessage::ToPool { hall, model, message } });
    }
}

/// A request id as callers and events show it.
pub fn to_hex(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Models and services that some class of the key's organisation reaches; `None` for a wrong key.
pub fn to_models(config: &rudder_ledger::Config, bearer: &str) -> Option<Vec<rudder_model::ModelId>> {
    let org = reach::org_of_key(config, bearer)?;
    let classes: Vec<ClassId> =
        config.iter_kind(rudder_model::Kind::Class).map(|(name, _)| ClassId::from(name)).collect();
    let served = reach::iter_endpoints(config).flat_map(|(_, endpoint)| endpoint.serves.iter().cloned());
    let models: std::collections::BTreeSet<rudder_model::ModelId> = served.collect();
    let reaches = |model: &rudder_model::ModelId| {
        classes.iter().any(|class| !reach::endpoints(config, class, &org, model).is_empty())
    };
    Some(models.into_iter().filter(reaches).collect())
}

impl Call {
    fn pool(&self) -> Option<&PoolId> {
        self.pools.get(self.at)
    }

    fn to_ask(&self, context: &Context) -> Option<Ask> {
        let pool = self.pool()?;
        let reach = reach::in_pool(&context.view.config, &self.class_id, &self.org, &self.arrival.model, pool);
        Some(Ask {
            request: self.arrival.request,
            entry: context.me.name.clone(),
            class: self.class_id.clone(),
            tier: self.class.tier,
            org: self.org.clone(),
            model: self.arrival.model.clone(),
            limits: self.class.limits,
            prompt: self.arrival.prompt,
            prefix: self.arrival.prefix,
            once: self.class.once || self.attempt.is_some(),
            resumable: self.arrival.resumable,
            slack: (self.arrived + self.class.target).saturating_sub(context.now),
            patience: self.until.saturating_sub(context.now),
            reach,
        })
    }
}

impl Calls {
    /// Calls under way.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True while `request` is under way.
    pub fn holds(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }

    /// True when no call is under way.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Takes in a caller's request.
    pub(crate) fn arrive(&mut self, context: &mut Context, arrival: Arrival) {
        let request = arrival.request;
        match admit(context, arrival) {
            Ok(call) => {
                let (class, org, model) = (call.class_id.clone(), call.org.clone(), call.arrival.model.clone());
                context.log(What::Arrived { request: to_hex(request), class, org, model });
                let keyed = call.arrival.key.is_some();
                self.open.insert(request, call);
                if keyed {
                    keyed::claim(self, context, request);
                } else {
                    self.ask(context, request);
                }
            }
            Err(refusal) => send_refusal(context, request, refusal),
        }
    }

    /// Asks the home of the call's current pool for a slot.
    pub(crate) fn ask(&mut self, context: &mut Context, request: RequestId) {
        let Some(call) = self.open.get_mut(&request) else { return };
        let Some(pool) = call.pool().cloned() else {
            let text = "no endpoint that this class reaches is in use";
            self.refuse(context, request, Refusal::not_run(RefusalCode::NotAllowed, text, None));
            return;
        };
        let (Some(ask), Some(home)) = (call.to_ask(context), context.view.home(&pool.0, &pool.1)) else { return };
        let first = !matches!(&call.phase, Phase::Asking { home: held, .. } if *held == home);
        call.phase = Phase::Asking { home: home.clone(), sent: context.now };
        self.used.insert(pool.clone(), context.now);
        if first {
            context.log(What::Asked { request: to_hex(request), hall: pool.0.clone(), home: home.clone() });
        }
        context.send_pool(home, &pool, ToPool::Ask(ask));
    }

    /// Takes in what a pool's home says.
    pub(crate) fn on_pool(&mut self, context: &mut Context, from: &InstanceId, request: RequestId, message: FromPool) {
        match message {
            FromPool::Grant(endpoint, waited) => self.on_grant(context, from, request, endpoint, waited),
            FromPool::Refuse(refusal) => self.on_refuse(context, from, request, refusal),
            FromPool::Recall(_) => {
                let Some(call) = self.open.get_mut(&request) else { return };
                if matches!(call.phase, Phase::Running { .. }) && !call.recalled {
                    call.recalled = true;
                    context.verdict(request, Verdict::Recall);
                }
            }
        }
    }

    fn on_grant(
        &mut self,
        context: &mut Context,
        from: &InstanceId,
        request: RequestId,
        endpoint: EndpointId,
        waited: Duration,
    ) {
        let Some(call) = self.open.get_mut(&request) else {
            // The call has ended; the pool must not keep the slot for it.
            return_grant(context, from, request, &endpoint);
            return;
        };
        if !matches!(&call.phase, Phase::Asking { home, .. } if home == from) {
            let runs_there = matches!(&call.phase, Phase::Running { endpoint: held, .. } if *held == endpoint);
            if !runs_there {
                return_grant(context, from, request, &endpoint);
            }
            return;
        }
        let usable = reach::endpoint(&context.view.config, &endpoint).filter(|held| held.mark == Mark::None);
        let Some(address) = usable.map(|held| held.address.clone()) else {
            return_grant(context, from, request, &endpoint);
            self.ask(context, request);
            return;
        };
        if !context.is_fresh() {
            return_grant(context, from, request, &endpoint);
            self.refuse(context, request, stale(context.options));
            return;
        }
        context.log(What::Granted { request: to_hex(request), endpoint: endpoint.clone(), waited });
        self.dispatch(context, request, endpoint, address);
    }

    fn dispatch(&mut self, context: &mut Context, request: RequestId, endpoint: EndpointId, address: String) {
        let Some(call) = self.open.get_mut(&request) else { return };
        let once = call.class.once || call.attempt.is_some();
        let unsent = !once || call.ran == Ran::No;
        assert!(context.promises.check(Promise::AtMostOnce, unsent), "{} would be sent twice", to_hex(request));
        let fresh = context.view.is_fresh(context.now, context.options.fresh);
        assert!(context.promises.check(Promise::Leaving, fresh), "new work on configuration that may be old");
        call.phase = Phase::Running { endpoint: endpoint.clone(), since: context.now };
        call.dispatches += 1;
        call.recalled = false;
        let (attempt, resume) = (call.dispatches, call.produced);
        let dispatch = Dispatch { endpoint: endpoint.clone(), address, tier: call.class.tier, resume, once };
        context.log(What::Dispatched { request: to_hex(request), endpoint, attempt, resume });
        context.verdict(request, Verdict::Dispatch(dispatch));
    }

    /// A refused call goes on to its next pool; `WaitedOut` is final, as no patience is left.
    fn on_refuse(&mut self, context: &mut Context, from: &InstanceId, request: RequestId, refusal: Refusal) {
        let Some(call) = self.open.get_mut(&request) else { return };
        if !matches!(&call.phase, Phase::Asking { home, .. } if home == from) {
            return;
        }
        let spills = matches!(refusal.code, RefusalCode::Overloaded | RefusalCode::NotAllowed);
        if spills && call.at + 1 < call.pools.len() && context.now < call.until {
            call.at += 1;
            self.ask(context, request);
            return;
        }
        self.refuse(context, request, refusal);
    }

    /// Takes in that the first token or byte came.
    pub(crate) fn on_first(&mut self, context: &mut Context, request: RequestId, after: Duration) {
        let Some(call) = self.open.get_mut(&request) else { return };
        call.first.get_or_insert(context.now.saturating_sub(call.arrived));
        self.tell_home(context, request, ToPool::First(request, after));
    }

    /// Takes in how a dispatched call ended at its endpoint.
    pub(crate) fn on_ended(&mut self, context: &mut Context, request: RequestId, ended: Ended) {
        let Some(call) = self.open.get(&request) else { return };
        let Phase::Running { endpoint, .. } = call.phase.clone() else { return };
        match ended {
            Ended::Done { tokens, first, total, stored } => {
                context.promises.check(Promise::WholeAnswer, true);
                self.tell_home(context, request, ToPool::End(request, Ending::Done { tokens, first, total }));
                self.log_done(context, request, endpoint, tokens);
                match stored {
                    Some(stored) if call_has_key(self, request) => keyed::finish(self, context, request, stored),
                    _ => {
                        self.open.remove(&request);
                    }
                }
            }
            Ended::Failed { sent, refused, produced } => {
                self.on_failed(context, request, &endpoint, (sent, refused, produced));
            }
            Ended::Recalled { produced } => {
                self.tell_home(context, request, ToPool::End(request, Ending::Preempted));
                self.wait_again(context, request, produced);
            }
            Ended::Left => {
                self.tell_home(context, request, ToPool::End(request, Ending::Dropped));
                context.log(What::Left { request: to_hex(request) });
                keyed::abandon(self, context, request, Ran::Unknown);
                self.open.remove(&request);
            }
        }
    }

    fn log_done(&mut self, context: &mut Context, request: RequestId, endpoint: EndpointId, tokens: u32) {
        let Some(call) = self.open.get(&request) else { return };
        let total = context.now.saturating_sub(call.arrived);
        let first = call.first.unwrap_or(total);
        context.log(What::Done { request: to_hex(request), endpoint, tokens, first, total });
    }

    /// The pool has put the call back into its queue; the call only waits for the next grant.
    fn wait_again(&mut self, context: &mut Context, request: RequestId, produced: u32) {
        let Some(call) = self.open.get_mut(&request) else { return };
        call.produced = produced;
        call.until = context.now + call.class.patience;
        let Some(pool) = call.pool() else { return };
        let Some(home) = context.view.home(&pool.0, &pool.1) else { return };
        call.phase = Phase::Asking { home, sent: context.now };
    }

    fn on_failed(&mut self, context: &mut Context, request: RequestId, endpoint: &EndpointId, how: (bool, bool, u32)) {
        let (sent, refused, produced) = how;
        let believed = reach::endpoint(&context.view.config, endpoint).is_some_and(|held| held.believed);
        let Some(call) = self.open.get_mut(&request) else { return };
        let ran = if !sent || (refused && believed) { Ran::No } else { Ran::Unknown };
        let once = call.class.once || call.attempt.is_some();
        let repeatable = !once && (produced == 0 || call.arrival.resumable);
        let again = ran == Ran::No || repeatable;
        if ran == Ran::Unknown {
            call.ran = Ran::Unknown;
        }
        context.log(What::Failed { request: to_hex(request), endpoint: endpoint.clone(), ran, again });
        self.tell_home(context, request, ToPool::End(request, Ending::Failed { again, unsent: !sent }));
        if again {
            self.wait_again(context, request, produced);
            return;
        }
        self.refuse(context, request, Refusal::unknown(RefusalCode::EndpointFailed, "the endpoint failed"));
    }

    fn tell_home(&mut self, context: &mut Context, request: RequestId, message: ToPool) {
        let Some(call) = self.open.get(&request) else { return };
        let Some(pool) = call.pool().cloned() else { return };
        self.used.insert(pool.clone(), context.now);
        if let Some(home) = context.view.home(&pool.0, &pool.1) {
            context.send_pool(home, &pool, message);
        }
    }

    /// Ends a call with a refusal, whose `ran` is replaced by what is known here.
    pub(crate) fn refuse(&mut self, context: &mut Context, request: RequestId, mut refusal: Refusal) {
        if let Some(call) = self.open.get(&request) {
            refusal.ran = call.ran;
            keyed::abandon(self, context, request, refusal.ran);
        }
        self.end_refused(context, request, refusal);
    }

    /// Ends a call with a refusal as it is, leaving its key alone.
    pub(crate) fn end_refused(&mut self, context: &mut Context, request: RequestId, refusal: Refusal) {
        if let Some(call) = self.open.remove(&request) {
            let held = refusal.ran != Ran::No || call.ran == Ran::No;
            assert!(context.promises.check(Promise::NotRun, held), "\"not run\" would be false");
            if matches!(call.phase, Phase::Asking { .. }) {
                withdraw(context, &call);
            }
        }
        send_refusal(context, request, refusal);
    }

    /// Advances time: repeats asks, follows moved homes, gives up what waited out, reports holdings.
    pub(crate) fn tick(&mut self, context: &mut Context) {
        let requests: Vec<RequestId> = self.open.keys().copied().collect();
        for request in requests {
            self.tick_call(context, request);
        }
        if context.now >= self.synced + SYNC {
            self.synced = context.now;
            self.sync(context);
        }
    }

    fn tick_call(&mut self, context: &mut Context, request: RequestId) {
        let Some(call) = self.open.get(&request) else { return };
        match &call.phase {
            Phase::Claiming { next } if context.now >= *next => keyed::claim(self, context, request),
            Phase::Asking { home, sent } => {
                // The pool refuses in time; this is for a pool that has gone silent.
                if context.now >= call.until + ASK_RETRY {
                    let text = "no decision came in time";
                    let refusal = Refusal::not_run(RefusalCode::WaitedOut, text, Some(ASK_RETRY));
                    self.refuse(context, request, refusal);
                    return;
                }
                let pool = call.pool();
                let moved =
                    pool.and_then(|(hall, model)| context.view.home(hall, model)).is_some_and(|now| now != *home);
                if moved || context.now >= *sent + ASK_RETRY {
                    self.ask(context, request);
                }
            }
            _ => {}
        }
    }

    fn sync(&mut self, context: &mut Context) {
        let now = context.now;
        self.used.retain(|_, used| now < *used + POOL_MEMORY);
        let mut held: BTreeMap<PoolId, Vec<Holding>> =
            self.used.keys().map(|pool| (pool.clone(), Vec::new())).collect();
        for call in self.open.values() {
            let Phase::Running { endpoint, .. } = &call.phase else { continue };
            let (Some(pool), Some(ask)) = (call.pool(), call.to_ask(context)) else { continue };
            held.entry(pool.clone()).or_default().push(Holding { ask, endpoint: endpoint.clone() });
        }
        for (pool, holdings) in held {
            let Some(home) = context.view.home(&pool.0, &pool.1) else { continue };
            context.send_pool(home, &pool, ToPool::Sync(holdings));
        }
    }

    /// Takes in the answer to a claim or to the record of a call's end.
    pub(crate) fn on_answer(
        &mut self,
        context: &mut Context,
        purpose: &For,
        standing: Option<rudder_ledger::Standing>,
    ) {
        match purpose {
            For::Claim(request) => keyed::on_claimed(self, context, *request, standing),
            For::Finish(request) => {
                if self.open.remove(request).is_some() {
                    context.verdict(*request, Verdict::Release);
                }
            }
            For::Admin(_) | For::Record => {}
        }
    }
}

/// Gives a slot back that the call cannot use.
fn return_grant(context: &mut Context, from: &InstanceId, request: RequestId, endpoint: &EndpointId) {
    let pool = reach::endpoint(&context.view.config, endpoint).and_then(reach::pool_of);
    if let Some(pool) = pool {
        context.send_pool(from.clone(), &pool, ToPool::End(request, Ending::Dropped));
    }
}

fn withdraw(context: &mut Context, call: &Call) {
    let (Phase::Asking { home, .. }, Some(pool)) = (&call.phase, call.pool()) else { return };
    context.send_pool(home.clone(), pool, ToPool::Withdraw(call.arrival.request));
}

fn call_has_key(calls: &Calls, request: RequestId) -> bool {
    calls.open.get(&request).is_some_and(|call| call.attempt.is_some())
}

fn admit(context: &Context, arrival: Arrival) -> Result<Call, Refusal> {
    if !context.is_fresh() {
        return Err(stale(context.options));
    }
    let config = &context.view.config;
    let Some(org) = reach::org_of_key(config, &arrival.bearer) else {
        return Err(Refusal::not_run(RefusalCode::WrongKey, "no organisation has this key", None));
    };
    let Some(class_id) = arrival.class.clone().or_else(|| reach::assigned(config, &org)) else {
        let text = "name a class in the header X-Class; no selector assigns one";
        return Err(Refusal::not_run(RefusalCode::UnknownClass, text, None));
    };
    let Some(class) = reach::class(config, &class_id).cloned() else {
        return Err(Refusal::not_run(RefusalCode::UnknownClass, format!("there is no class {class_id}"), None));
    };
    if !reach::is_served(config, &arrival.model) {
        let text = format!("no endpoint serves {}", arrival.model);
        return Err(Refusal::not_run(RefusalCode::UnknownModel, text, None));
    }
    if class.once && arrival.key.is_none() {
        let text = format!("calls of class {class_id} need the header Idempotency-Key");
        return Err(Refusal::not_run(RefusalCode::KeyMissing, text, None));
    }
    let pools = to_pools(context, &class_id, &org, &arrival);
    if pools.is_empty() {
        let text = format!("no selector lets class {class_id} of {org} reach {}", arrival.model);
        return Err(Refusal::not_run(RefusalCode::NotAllowed, text, None));
    }
    let patience = arrival.patience.map_or(class.patience, |own| own.min(class.patience));
    Ok(Call {
        arrived: context.now,
        until: context.now + patience,
        phase: Phase::Claiming { next: context.now },
        attempt: None,
        pools,
        at: 0,
        dispatches: 0,
        produced: 0,
        first: None,
        ran: Ran::No,
        recalled: false,
        arrival,
        class_id,
        class,
        org,
    })
}

/// Pools to try, nearest hall first.
fn to_pools(context: &Context, class: &ClassId, org: &rudder_model::OrgId, arrival: &Arrival) -> Vec<PoolId> {
    let reached = reach::endpoints(&context.view.config, class, org, &arrival.model);
    let mut pools: Vec<PoolId> = reached.into_iter().map(|(pool, _)| pool).collect();
    let nearest = &context.options.nearest;
    let distance = |pool: &PoolId| nearest.iter().position(|hall| *hall == pool.0).unwrap_or(nearest.len());
    pools.sort_by_key(|pool| (distance(pool), pool.clone()));
    pools.dedup();
    pools
}

pub(crate) fn stale(options: &Options) -> Refusal {
    let text = "this instance cannot prove that its configuration is fresh; use another entry";
    Refusal::not_run(RefusalCode::Stale, text, Some(options.watch * 2))
}

fn send_refusal(context: &mut Context, request: RequestId, refusal: Refusal) {
    let (code, text, ran) = (refusal.code, refusal.text.clone(), refusal.ran);
    // The verdict goes first: once the end is logged, nobody is taken to listen any more.
    context.verdict(request, Verdict::Refuse(refusal));
    context.log(What::Refused { request: to_hex(request), code, text, ran });
}
