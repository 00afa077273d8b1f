//! Slots: asking the homes of pools, using or returning grants, and retrying messages that may be lost.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_model::{EndpointId, InstanceId, Promise, Ran, Refusal, RefusalCode, RequestId};
use rudder_route::{GrantOutcome, HeldGrant, grant_digest};

use super::{Call, Calls, Context, Phase, admit::stale, to_hex};
use crate::{
    Dispatch, Verdict, idempotency,
    peer::{FromPool, ToPool},
    reach::{self, PoolId},
};

/// Interval between two attempts of an ask.
const ASK_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between an entry's reports of its grants.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// How long grants are reported to a pool after its last use.
const POOL_RETENTION: Duration = Duration::from_secs(10);

impl Calls {
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
        self.last_used.insert(pool.clone(), context.now);
        if first {
            context.log(What::Asked { request: to_hex(request), hall: pool.0.clone(), home: home.clone() });
        }
        context.send_pool(home, &pool, ToPool::Ask(ask));
    }

    /// Handles a message from the home of a pool.
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
            // The call has ended, so the pool must release its slot.
            return_grant(context, from, request, &endpoint);
            return;
        };
        if !matches!(&call.phase, Phase::Asking { home, .. } if home == from) {
            let is_duplicate = matches!(&call.phase, Phase::Running { endpoint: held, .. } if *held == endpoint);
            if !is_duplicate {
                return_grant(context, from, request, &endpoint);
            }
            return;
        }
        let usable = reach::endpoint(&context.view.config, &endpoint).filter(|held| context.view.is_usable(held));
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
        let fresh = context.view.is_fresh(context.now, context.options.max_proof_age);
        assert!(context.promises.check(Promise::Leaving, fresh), "dispatch on configuration that may be stale");
        call.phase = Phase::Running { endpoint: endpoint.clone(), since: context.now };
        call.dispatches += 1;
        call.recalled = false;
        let (attempt, resume) = (call.dispatches, call.produced);
        let dispatch = Dispatch { endpoint: endpoint.clone(), address, tier: call.class.tier, resume, once };
        context.log(What::Dispatched { request: to_hex(request), endpoint, attempt, resume });
        context.verdict(request, Verdict::Dispatch(dispatch));
    }

    /// Tries the next pool if one is left, except after `WaitedOut`, when the call's patience is used up.
    fn on_refuse(&mut self, context: &mut Context, from: &InstanceId, request: RequestId, refusal: Refusal) {
        let Some(call) = self.open.get_mut(&request) else { return };
        if !matches!(&call.phase, Phase::Asking { home, .. } if home == from) {
            return;
        }
        let may_try_next = matches!(refusal.code, RefusalCode::Overloaded | RefusalCode::NotAllowed);
        if may_try_next && call.pool_index + 1 < call.pools.len() && context.now < call.deadline {
            call.pool_index += 1;
            self.ask(context, request);
            return;
        }
        self.refuse(context, request, refusal);
    }

    /// Advances time: retries asks, follows pools to new homes, refuses expired calls and reports grants.
    pub(crate) fn tick(&mut self, context: &mut Context) {
        let requests: Vec<RequestId> = self.open.keys().copied().collect();
        for request in requests {
            self.tick_call(context, request);
        }
        if context.now >= self.last_sync + SYNC_INTERVAL {
            self.last_sync = context.now;
            self.sync(context);
        }
    }

    fn tick_call(&mut self, context: &mut Context, request: RequestId) {
        let Some(call) = self.open.get(&request) else { return };
        match &call.phase {
            Phase::Claiming { next } if context.now >= *next => idempotency::claim(self, context, request),
            Phase::Asking { home, sent } => {
                // Usually the pool refuses first; this covers a home that doesn't answer.
                if context.now >= call.deadline + ASK_RETRY_INTERVAL {
                    let text = "no decision came in time";
                    let refusal = Refusal::not_run(RefusalCode::WaitedOut, text, Some(ASK_RETRY_INTERVAL));
                    self.refuse(context, request, refusal);
                    return;
                }
                let pool = call.pool();
                let moved =
                    pool.and_then(|(hall, model)| context.view.home(hall, model)).is_some_and(|now| now != *home);
                if moved || context.now >= *sent + ASK_RETRY_INTERVAL {
                    self.ask(context, request);
                }
            }
            _ => {}
        }
    }

    /// Sends each pool's home a digest of the grants held; if it doesn't match, the home asks for all of them.
    fn sync(&mut self, context: &mut Context) {
        let now = context.now;
        self.last_used.retain(|_, used| now < *used + POOL_RETENTION);
        let mut held: BTreeMap<PoolId, u64> = self.last_used.keys().map(|pool| (pool.clone(), 0)).collect();
        for (request, call) in &self.open {
            let (Phase::Running { .. }, Some(pool)) = (&call.phase, call.pool()) else { continue };
            let digest = held.entry(pool.clone()).or_default();
            *digest = digest.wrapping_add(grant_digest(*request));
        }
        for (pool, digest) in held {
            let Some(home) = context.view.home(&pool.0, &pool.1) else { continue };
            context.send_pool(home, &pool, ToPool::Digest(digest));
        }
    }

    /// Sends all grants held in a pool to its home.
    pub(crate) fn resync(&mut self, context: &mut Context, home: InstanceId, pool: &PoolId) {
        let mut holdings = Vec::new();
        for call in self.open.values().filter(|call| call.pool() == Some(pool)) {
            let Phase::Running { endpoint, .. } = &call.phase else { continue };
            let Some(ask) = call.to_ask(context) else { continue };
            holdings.push(HeldGrant { request: ask, endpoint: endpoint.clone() });
        }
        context.send_pool(home, pool, ToPool::Sync(holdings));
    }
}

/// Returns a slot that the call can't use.
fn return_grant(context: &mut Context, from: &InstanceId, request: RequestId, endpoint: &EndpointId) {
    let pool = reach::endpoint(&context.view.config, endpoint).and_then(reach::pool_of);
    if let Some(pool) = pool {
        context.send_pool(from.clone(), &pool, ToPool::End(request, GrantOutcome::Dropped));
    }
}

/// Withdraws the ask of a call that waits for a slot.
pub(super) fn withdraw(context: &mut Context, call: &Call) {
    let (Phase::Asking { home, .. }, Some(pool)) = (&call.phase, call.pool()) else { return };
    context.send_pool(home.clone(), pool, ToPool::Withdraw(call.arrival.request));
}
