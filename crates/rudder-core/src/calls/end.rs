//! Ends of attempts and calls, and whether a refused call may have run.

use std::time::Duration;

use rudder_events::What;
use rudder_model::{EndpointId, Promise, Ran, Refusal, RefusalCode, RequestId};
use rudder_route::GrantOutcome;

use super::{Calls, Context, Phase, slots::withdraw, to_hex};
use crate::{Ended, Verdict, idempotency, peer::ToPool, reach};

/// The fields of [`Ended::Failed`].
struct Failure {
    sent: bool,
    refused: bool,
    retry_after: Option<Duration>,
    produced: u32,
}

impl Calls {
    /// Records the arrival of the first token or byte.
    pub(crate) fn on_first(&mut self, context: &mut Context, request: RequestId, after: Duration) {
        let Some(call) = self.open.get_mut(&request) else { return };
        call.first_output.get_or_insert(context.now.saturating_sub(call.arrived));
        self.send_home(context, request, ToPool::First(request, after));
    }

    /// Handles the end of a dispatched call at its endpoint.
    pub(crate) fn on_ended(&mut self, context: &mut Context, request: RequestId, ended: Ended) {
        let Some(call) = self.open.get(&request) else { return };
        let Phase::Running { endpoint, .. } = call.phase.clone() else { return };
        match ended {
            Ended::Done { tokens, first, total, stored } => {
                context.promises.check(Promise::WholeAnswer, true);
                self.send_home(context, request, ToPool::End(request, GrantOutcome::Done { tokens, first, total }));
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
                self.send_home(context, request, ToPool::End(request, GrantOutcome::Preempted));
                // It has run in part, so it must not be refused as "not run" if it doesn't resume.
                if let Some(call) = self.open.get_mut(&request) {
                    call.ran = Ran::Yes;
                }
                self.requeue(context, request, produced);
            }
            Ended::Left => {
                self.send_home(context, request, ToPool::End(request, GrantOutcome::Dropped));
                context.log(What::Left { request: to_hex(request) });
                idempotency::abandon(self, context, request, Ran::Unknown);
                self.open.remove(&request);
            }
        }
    }

    fn log_done(&mut self, context: &mut Context, request: RequestId, endpoint: EndpointId, tokens: u32) {
        let Some(call) = self.open.get(&request) else { return };
        let total = context.now.saturating_sub(call.arrived);
        let first = call.first_output.unwrap_or(total);
        context.log(What::Done { request: to_hex(request), endpoint, tokens, first, total });
    }

    /// Waits for the next grant; the pool has already put the call back into its queue.
    fn requeue(&mut self, context: &mut Context, request: RequestId, produced: u32) {
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
        self.send_home(
            context,
            request,
            ToPool::End(request, GrantOutcome::Failed { retryable: again, unsent: !sent, retry_after }),
        );
        if again {
            self.requeue(context, request, produced);
            return;
        }
        self.refuse(context, request, Refusal::unknown(RefusalCode::EndpointFailed, "the endpoint failed"));
    }

    fn send_home(&mut self, context: &mut Context, request: RequestId, message: ToPool) {
        let Some(call) = self.open.get(&request) else { return };
        let Some(pool) = call.pool().cloned() else { return };
        self.last_used.insert(pool.clone(), context.now);
        if let Some(home) = context.view.home(&pool.0, &pool.1) {
            context.send_pool(home, &pool, message);
        }
    }

    /// Ends a call with a refusal, whose `ran` is set from what was sent.
    pub(crate) fn refuse(&mut self, context: &mut Context, request: RequestId, mut refusal: Refusal) {
        if let Some(call) = self.open.get(&request) {
            refusal.ran = call.ran;
            idempotency::abandon(self, context, request, refusal.ran);
        }
        self.end_refused(context, request, refusal);
    }

    /// Ends a call with an unchanged refusal, without releasing its key.
    pub(crate) fn end_refused(&mut self, context: &mut Context, request: RequestId, refusal: Refusal) {
        if let Some(call) = self.open.remove(&request) {
            let correct = refusal.ran != Ran::No || call.ran == Ran::No;
            assert!(
                context.promises.check(Promise::NotRun, correct),
                "a call that may have run would be refused as \"not run\""
            );
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
    // The verdict goes first: once the end is logged, the caller counts as gone.
    context.verdict(request, Verdict::Refuse(refusal));
    context.log(What::Refused { request: to_hex(request), code, text, ran });
}
