//! Calls with a key: at most one run for each key.
//!
//! The claim is committed before the call asks for a slot. Only this instance, and only in this start,
//! gives it back, and it does so only for an attempt that was never sent. So a refusal says "not run"
//! truthfully even before the release is committed.

use std::time::Duration;

use rudder_ledger::{Attempt, Claim, Command, Outcome, Standing};
use rudder_model::{Ran, Refusal, RefusalCode, RequestId};
use serde_bytes::ByteBuf;

use crate::{
    Effect, PeerMessage, Stored, Verdict,
    calls::{Calls, Context, Phase},
    propose::Purpose,
};

/// A claim not committed within this time is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// An answer waits at most this long for its record.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// Records and releases nobody waits for are tried for this long.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);
/// Time between looks at a key that another attempt holds.
const FOLLOW: Duration = Duration::from_millis(500);
/// Largest answer kept with its key.
const KEPT: usize = 16 * 1024;

/// Proposes a claim on the call's key.
pub(crate) fn claim(calls: &mut Calls, context: &mut Context, request: RequestId) {
    calls.attempts += 1;
    let attempt = Attempt { owner: context.me.name.clone(), start: context.me.start, count: calls.attempts };
    let Some(call) = calls.open.get_mut(&request) else { return };
    let Some(key) = &call.arrival.key else { return };
    call.attempt = Some(attempt.clone());
    call.phase = Phase::Claiming { next: Duration::MAX };
    let claim = Claim { key: to_key(&call.org, &key.name), digest: key.digest, attempt };
    let deadline = (context.now + CLAIM_TIMEOUT).min(call.deadline.max(context.now + FOLLOW));
    context.proposals.start(Purpose::Claim(request), Command::Claim(claim), deadline);
}

/// Records how the key stands after the claim; `None` when no answer came in time.
pub(crate) fn on_claimed(calls: &mut Calls, context: &mut Context, request: RequestId, standing: Option<Standing>) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    if !matches!(call.phase, Phase::Claiming { .. }) {
        return;
    }
    match standing {
        Some(Standing::Held(attempt)) if Some(&attempt) == call.attempt.as_ref() => calls.ask(context, request),
        Some(Standing::Held(attempt)) => follow(calls, context, request, attempt),
        Some(Standing::Ended(outcome)) => answer_again(calls, context, request, outcome),
        Some(Standing::OtherBody) => {
            let text = "this Idempotency-Key was used with another request";
            let refusal = Refusal { code: RefusalCode::KeyReused, text: text.to_owned(), retry: None, ran: Ran::No };
            end_unclaimed(calls, context, request, refusal);
        }
        Some(Standing::Full) => {
            let text = "too many keys are held";
            let refusal = Refusal::not_run(RefusalCode::ClaimFailed, text, Some(Duration::from_secs(60)));
            end_unclaimed(calls, context, request, refusal);
        }
        Some(Standing::Free) | None => {
            let text = "the claim on the key could not be committed in time";
            let refusal = Refusal::not_run(RefusalCode::ClaimFailed, text, Some(Duration::from_secs(1)));
            calls.refuse(context, request, refusal);
        }
    }
}

/// Another attempt holds the key: wait for its end, unless its owner is gone.
fn follow(calls: &mut Calls, context: &mut Context, request: RequestId, attempt: Attempt) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    if !context.view.is_alive(&attempt.owner, attempt.start) {
        let text = "the instance that ran the request with this key is gone; whether it ran is not known";
        end_unclaimed(calls, context, request, Refusal::unknown(RefusalCode::OwnerGone, text));
        return;
    }
    if context.now + FOLLOW > call.deadline {
        let mut refusal = Refusal::unknown(RefusalCode::KeyRunning, "the request with this key is still running");
        refusal.retry = Some(Duration::from_secs(1));
        end_unclaimed(calls, context, request, refusal);
        return;
    }
    call.phase = Phase::Claiming { next: context.now + FOLLOW };
    let Some(key) = &call.arrival.key else { return };
    let key = to_key(&call.org, &key.name);
    let to = attempt.owner.clone();
    context.out.push(Effect::Send { to, message: PeerMessage::Attempt { key, attempt } });
}

/// Another instance asks whether an attempt of ours still lives. One that does not was given up
/// before it was sent, so its claim is given back.
pub(crate) fn on_attempt(calls: &Calls, context: &mut Context, key: String, attempt: Attempt) {
    let ours = attempt.owner == context.me.name && attempt.start == context.me.start;
    let lives = calls.open.values().any(|call| call.attempt.as_ref() == Some(&attempt));
    let recorded = context.proposals.has_pending(&key, &attempt);
    if ours && !lives && !recorded {
        let deadline = context.now + RECORD_TIMEOUT;
        context.proposals.start(Purpose::Record, Command::Release { key, attempt }, deadline);
    }
}

fn answer_again(calls: &mut Calls, context: &mut Context, request: RequestId, outcome: Outcome) {
    match outcome {
        Outcome::Done { status, content, body: Some(body) } => {
            calls.open.remove(&request);
            let stored = Stored { status, content, body: body.into_vec() };
            context.verdict(request, Verdict::Stored(stored));
        }
        Outcome::Done { body: None, .. } => {
            let text = "the request with this key ran; its answer was too large to keep";
            let refusal = Refusal { code: RefusalCode::AnswerGone, text: text.to_owned(), retry: None, ran: Ran::Yes };
            end_unclaimed(calls, context, request, refusal);
        }
        Outcome::Unknown => {
            let text = "whether the request with this key ran is not known";
            end_unclaimed(calls, context, request, Refusal::unknown(RefusalCode::OwnerGone, text));
        }
    }
}

/// Refuses a call whose key another attempt holds: there is nothing to give back.
fn end_unclaimed(calls: &mut Calls, context: &mut Context, request: RequestId, refusal: Refusal) {
    if let Some(call) = calls.open.get_mut(&request) {
        call.attempt = None;
    }
    calls.end_refused(context, request, refusal);
}

/// Gives up the call's claim: released where it did not run, recorded as unknown where it may have.
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

/// Records the answer; the caller gets it once the record is committed, or after a short while.
pub(crate) fn finish(calls: &mut Calls, context: &mut Context, request: RequestId, stored: Stored) {
    let Some(call) = calls.open.get_mut(&request) else { return };
    let (Some(attempt), Some(key)) = (call.attempt.clone(), &call.arrival.key) else { return };
    call.phase = Phase::Finishing;
    let body = (stored.body.len() <= KEPT).then(|| ByteBuf::from(stored.body));
    let outcome = Outcome::Done { status: stored.status, content: stored.content, body };
    let command = Command::Finish { key: to_key(&call.org, &key.name), attempt, outcome };
    context.proposals.start(Purpose::Finish(request), command.clone(), context.now + FINISH_TIMEOUT);
    // The caller is not kept waiting for long, but the record is tried on.
    context.proposals.start(Purpose::Record, command, context.now + RECORD_TIMEOUT);
}

/// Keys of different organisations never meet.
fn to_key(org: &str, key: &str) -> String {
    format!("{org}/{key}")
}
