//! Idempotency keys: at most one run for each key.
//!
//! A claim on the key is committed before the call requests a slot. Only the instance that made the claim releases it,
//! in the same start, and only for an attempt that was never sent to an endpoint. A refusal as "not run" is therefore
//! correct even before the release is committed.

use std::time::Duration;

use rudder_ledger::{Attempt, Claim, Command, Outcome, Standing};
use rudder_model::{Ran, Refusal, RefusalCode, RequestId};
use serde_bytes::ByteBuf;

use crate::{
    Effect, PeerMessage, Stored, Verdict,
    calls::{Calls, Context, Phase},
    propose::Purpose,
};

/// Time after which an uncommitted claim is abandoned.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time for which an answer waits for its outcome to be committed.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which outcomes and releases are proposed in the background.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between checks of a key that another attempt holds.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size in bytes of an answer stored with its key.
const MAX_STORED_BODY: usize = 16 * 1024;

/// Proposes a claim on the call's key.
pub(crate) fn claim(calls: &mut Calls, context: &mut Context, request: RequestId) {
    calls.attempts += 1;
    let attempt = Attempt { owner: context.me.name.clone(), start: context.me.start, count: calls.attempts };
    let Some(call) = calls.open.get_mut(&request) else { return };
    let Some(key) = &call.arrival.key else { return };
    call.attempt = Some(attempt.clone());
    call.phase = Phase::Claiming { next: Duration::MAX };
    let claim = Claim { key: to_key(&call.org, &key.name), digest: key.digest, attempt };
    let deadline = (context.now + CLAIM_TIMEOUT).min(call.deadline.max(context.now + HOLDER_CHECK_INTERVAL));
    context.proposals.start(Purpose::Claim(request), Command::Claim(claim), deadline);
}

/// Handles the result of a claim; `None` if it did not arrive in time.
pub(crate) fn on_claimed(calls: &mut Calls, context: &mut Context, request: RequestId, standing: Option<Standing>) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    if !matches!(call.phase, Phase::Claiming { .. }) {
        return;
    }
    match standing {
        Some(Standing::Held(attempt)) if Some(&attempt) == call.attempt.as_ref() => calls.ask(context, request),
        Some(Standing::Held(attempt)) => wait_for_holder(calls, context, request, attempt),
        Some(Standing::Ended(outcome)) => replay_outcome(calls, context, request, outcome),
        Some(Standing::OtherBody) => {
            let text = "this Idempotency-Key was used with another request";
            let refusal = Refusal { code: RefusalCode::KeyReused, text: text.to_owned(), retry: None, ran: Ran::No };
            refuse_without_claim(calls, context, request, refusal);
        }
        Some(Standing::Full) => {
            let text = "too many keys are held";
            let refusal = Refusal::not_run(RefusalCode::ClaimFailed, text, Some(Duration::from_secs(60)));
            refuse_without_claim(calls, context, request, refusal);
        }
        Some(Standing::Free) | None => {
            let text = "the claim on the key could not be committed in time";
            let refusal = Refusal::not_run(RefusalCode::ClaimFailed, text, Some(Duration::from_secs(1)));
            calls.refuse(context, request, refusal);
        }
    }
}

/// Waits for the attempt that holds the key to end, or refuses the call if its owner is gone.
fn wait_for_holder(calls: &mut Calls, context: &mut Context, request: RequestId, attempt: Attempt) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    if !context.view.is_alive(&attempt.owner, attempt.start) {
        let text = "the instance that ran the request with this key is gone; whether it ran is not known";
        refuse_without_claim(calls, context, request, Refusal::unknown(RefusalCode::OwnerGone, text));
        return;
    }
    if context.now + HOLDER_CHECK_INTERVAL > call.deadline {
        let mut refusal = Refusal::unknown(RefusalCode::KeyRunning, "the request with this key is still running");
        refusal.retry = Some(Duration::from_secs(1));
        refuse_without_claim(calls, context, request, refusal);
        return;
    }
    call.phase = Phase::Claiming { next: context.now + HOLDER_CHECK_INTERVAL };
    let Some(key) = &call.arrival.key else { return };
    let key = to_key(&call.org, &key.name);
    let to = attempt.owner.clone();
    context.out.push(Effect::Send { to, message: PeerMessage::Attempt { key, attempt } });
}

/// Handles a query for an attempt of this instance. An attempt that is neither running nor recorded was abandoned
/// before it was sent, so its claim is released.
pub(crate) fn on_attempt(calls: &Calls, context: &mut Context, key: String, attempt: Attempt) {
    let is_own = attempt.owner == context.me.name && attempt.start == context.me.start;
    let is_running = calls.open.values().any(|call| call.attempt.as_ref() == Some(&attempt));
    let is_recorded = context.proposals.has_pending(&key, &attempt);
    if is_own && !is_running && !is_recorded {
        let deadline = context.now + RECORD_TIMEOUT;
        context.proposals.start(Purpose::Record, Command::Release { key, attempt }, deadline);
    }
}

/// Answers a call with the recorded outcome of its key.
fn replay_outcome(calls: &mut Calls, context: &mut Context, request: RequestId, outcome: Outcome) {
    match outcome {
        Outcome::Done { status, content, body: Some(body) } => {
            calls.open.remove(&request);
            let stored = Stored { status, content, body: body.into_vec() };
            context.verdict(request, Verdict::Stored(stored));
        }
        Outcome::Done { body: None, .. } => {
            let text = "the request with this key ran; its answer was too large to keep";
            let refusal = Refusal { code: RefusalCode::AnswerGone, text: text.to_owned(), retry: None, ran: Ran::Yes };
            refuse_without_claim(calls, context, request, refusal);
        }
        Outcome::Unknown => {
            let text = "whether the request with this key ran is not known";
            refuse_without_claim(calls, context, request, Refusal::unknown(RefusalCode::OwnerGone, text));
        }
    }
}

/// Refuses a call that holds no claim, so that nothing is released.
fn refuse_without_claim(calls: &mut Calls, context: &mut Context, request: RequestId, refusal: Refusal) {
    if let Some(call) = calls.open.get_mut(&request) {
        call.attempt = None;
    }
    calls.end_refused(context, request, refusal);
}

/// Abandons the call's claim: it is released if the call did not run, and its outcome recorded as unknown otherwise.
pub(crate) fn abandon(calls: &mut Calls, context: &mut Context, request: RequestId, ran: Ran) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    let (Some(attempt), Some(key)) = (call.attempt.take(), &call.arrival.key) else { return };
    let key = to_key(&call.org, &key.name);
    let command = match ran {
        Ran::No => Command::Release { key, attempt },
        Ran::Unknown | Ran::Yes => Command::Finish { key, attempt, outcome: Outcome::Unknown },
    };
    context.proposals.start(Purpose::Record, command, context.now + RECORD_TIMEOUT);
}

/// Records the answer, which is passed on once the record is committed or after [`FINISH_TIMEOUT`].
pub(crate) fn finish(calls: &mut Calls, context: &mut Context, request: RequestId, stored: Stored) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    let (Some(attempt), Some(key)) = (call.attempt.clone(), &call.arrival.key) else { return };
    call.phase = Phase::Finishing;
    let body = (stored.body.len() <= MAX_STORED_BODY).then(|| ByteBuf::from(stored.body));
    let outcome = Outcome::Done { status: stored.status, content: stored.content, body };
    let command = Command::Finish { key: to_key(&call.org, &key.name), attempt, outcome };
    context.proposals.start(Purpose::Finish(request), command.clone(), context.now + FINISH_TIMEOUT);
    // Proposed again in the background, as the caller does not wait any longer.
    context.proposals.start(Purpose::Record, command, context.now + RECORD_TIMEOUT);
}

/// Returns the key qualified by its organisation.
fn to_key(org: &str, key: &str) -> String {
    format!("{org}/{key}")
}
