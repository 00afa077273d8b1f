//! Resumes a stream from a copy of its memory (its KV cache) after its endpoint has terminated.

use std::rc::Rc;

use rudder_model::Ran;

use super::{
    Call, EndpointAnswer, Progress, ResumePoint,
    attempt::{connect, log_failure, record_outcome, send_over},
    checks::{check_still_allowed, take_from_budget},
    permission::take_permission,
    termination::is_content_suspect,
};
use crate::{Dialect, choose::Choice, health::Outcome, shared::Shared};

/// Resumes a stream at the endpoint that holds a copy of its memory.
///
/// This continues the same run, also on routes whose requests run at most once. Call it only once the first endpoint
/// has terminated: an endpoint that is still reachable may still be running the request. There is no copy before the
/// first complete event.
pub async fn resume_from_copy<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    last_event: u64,
) -> Option<EndpointAnswer> {
    if is_content_suspect(shared, call, progress) {
        return None;
    }
    let before = progress.last_choice.take()?;
    let backup = before.backup.as_ref()?;
    record_outcome(shared, &before.endpoint, Outcome::Unreachable);
    let work = shared.loads.borrow().at(&backup.endpoint);
    if work.calls >= backup.slots {
        // A full engine admits a resumed request by preempting another one, whatever its priority.
        log_failure(shared, call, progress, &before, "the engine that keeps its copy is full", Ran::Unknown);
        return None;
    }
    if !take_from_budget(shared, call, &before.service) {
        return None;
    }
    let choice = Choice {
        endpoint: backup.endpoint.clone(),
        born: backup.born,
        address: backup.address.clone(),
        calls: work.calls,
        ahead: work.unread,
        held: work.held,
        unread: 0,
        predicted: None,
        backup: None,
        fetch_from: None,
        ..before.clone()
    };
    let permission = take_permission(shared, call, &choice).await.ok()?;
    let connection = connect(shared, call, &choice).await.ok()?;
    check_still_allowed(shared, call, progress).ok()?;
    let resume = ResumePoint { last_event: Some(last_event), from_copy: true };
    let answer = send_over(shared, call, progress, (choice, permission), connection, resume).await.ok()?;
    if answer.response.status().is_success() && !answer.head.not_run {
        shared.metrics.record_resume();
        return Some(answer);
    }
    log_failure(shared, call, progress, &answer.choice, "it keeps no copy", Ran::No);
    None
}
