//! Ends: how an attempt or a call ended, and what is said about whether it ran.

use std::time::Duration;

use rudder_events::What;
use rudder_model::{EndpointId, Promise, Ran, Refusal, RefusalCode, RequestId};
use rudder_route::GrantOutcome;

use super::{Calls, Context, Phase, slots::withdraw, to_hex};
use crate::{Ended, Verdict, idempotency, peer::ToPool, reach};

/// How a dispatched call failed, as [`Ended::Failed`] tells it.
struct Failure {
    sent: bool,
    refused: bool,
    retry_after: Option<Duration>,
    produced: u32,
}

impl Calls {
    /// Records that the first token or byte came.
    pub(crate) fn on_first(&mut self, context: &mut Context, request: RequestId, after: Duration) {
        let Some(call) = self.open.get_mut(&request) else { return };
        call.first.get_or_insert(context.now.saturating_sub(call.arrived));
        self.tell_home(context, request, ToPool::First(request, after));
    }

    /// Records how a dispatched call ended at its endpoint.
    pub(crate) fn on_ended(&mut self, context: &mut Context, request: RequestId, ended: Ended) {
        let Some(call) = self.open.get(&request) else { return };
        let Phase::Running { endpoint, .. } = call.phase.clone() else { return };
        match ended {
            Ended::Done { tokens, first, total, stored } => {
                context.promises.check(Promise::WholeAnswer, true);
                self.tell_home(context, request, ToPool::End(request, GrantOutcome::Done { tokens, first, total }));
                self.log_done(context, request, endpoint, tokens);
                match stored {
                    Some(stored) if call_has_key(self, request) => idempotency::finish(self, context, request, stored),
                    _ => {
                        self.open.remove(&request);
                    }
                }
            }
            Ended::Failed { sent, refused, retry_after, produced } => {
                let failure = Failure { sent, refused, retry_after, produced };
                self.on_failed(context, request, &endpoint, &failure);
            }
            Ended::Recalled { produced } => {
                self.tell_home(context, request, ToPool::End(request, GrantOutcome::Preempted));
                // It has run in part; should it never go on, its caller must not hear "not run".
                if let Some(call) = self.open.get_mut(&request) {
                    call.ran = Ran::Yes;
                }
                self.wait_again(context, request, produced);
            }
            Ended::Left => {
                self.tell_home(context, request, ToPool::End(request, GrantOutcome::Dropped));
                context.log(What::Left { request: to_hex(request) });
                idempotency::abandon(self, context, request, Ran::Unknown);
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
        call.deadline = context.now + call.class.patience;
        let Some(pool) = call.pool() else { return };
        let Some(home) = context.view.home(&pool.0, &pool.1) else { return };
        call.phase = Phase::Asking { home, sent: context.now };
    }

    fn on_failed(&mut self, context: &mut Context, request: RequestId, endpoint: &EndpointId, failure: &Failure) {
        let Failure { sent, refused, retry_after, produced } = *failure;
        let believed = reach::endpoint(&context.view.config, endpoint).is_some_and(|held| held.believed);
        let Some(call) = self.open.get_mut(&request) else { return };
        let ran = if !sent || (refused && believed) { Ran::No } else { Ran::Unknown };
        let once = call.class.once || call.attempt.is_some();
        let repeatable = !once && (produced == 0 || call.arrival.resumable);
        let again = ran == Ran::No || repeatable;
        if ran == Ran::Unknown && call.ran == Ran::No {
            call.ran = Ran::Unknown;
        }
        context.log(What::Failed { request: to_hex(request), endpoint: endpoint.clone(), ran, again });
        self.tell_home(
            context,
            request,
            ToPool::End(request, GrantOutcome::Failed { retryable: again, unsent: !sent, retry_after }),
        );
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
            idempotency::abandon(self, context, request, refusal.ran);
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
}

fn call_has_key(calls: &Calls, request: RequestId) -> bool {
    calls.open.get(&request).is_some_and(|call| call.attempt.is_some())
}

pub(super) fn send_refusal(context: &mut Context, request: RequestId, refusal: Refusal) {
    let (code, text, ran) = (refusal.code, refusal.text.clone(), refusal.ran);
    // The verdict goes first: once the end is logged, nobody is taken to listen any more.
    context.verdict(request, Verdict::Refuse(refusal));
    context.log(What::Refused { request: to_hex(request), code, text, ran });
}
