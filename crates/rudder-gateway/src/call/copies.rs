//! Going on from a copy of a request's memory when its endpoint has ended.

use std::rc::Rc;

use rudder_clock::Moment;
use rudder_model::Ran;

use super::{
    Call, Leg, Progress, Resume,
    attempt::{connect, log_failure, note_outcome, send_on},
    ended::is_risky,
    limit::take_permit,
    permit::check_still_allowed,
};
use crate::{Dialect, choose::Choice, health::Outcome, shared::Shared};

/// Goes on with a stream whose endpoint has ended, at the endpoint that keeps a copy of its memory. This counts
/// as the same run, also on routes whose requests run at most once; so this is called only when the first endpoint has
/// ended: one that can still be reached may have only broken off, and may be at work still. Before the first whole event there is
/// no copy to go on from.
pub async fn go_on_from_copy<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    last_event: u64,
) -> Option<Leg> {
    if is_risky(shared, call, progress) {
        return None;
    }
    let before = progress.last.take()?;
    let backup = before.backup.as_ref()?;
    note_outcome(shared, &before.endpoint, Outcome::Unreachable);
    let work = shared.loads.borrow().at(&backup.endpoint);
    if work.calls >= backup.slots {
        // What goes on from a copy is let in first, so that a full engine would preempt another for it, be that one
        // more urgent.
        log_failure(shared, call, progress, &before, "the engine that keeps its copy is full", Ran::Unknown);
        return None;
    }
    let instances = shared.view.borrow().senders().count();
    if !shared.budget.borrow_mut().try_take(&before.service, Moment::now(), instances) {
        return None;
    }
    let choice = Choice {
        endpoint: backup.endpoint.clone(),
        born: backup.born,
        address: backup.address.clone(),
        calls: work.calls,
        ahead: work.unread,
        unread: 0,
        backup: None,
        fetch_from: None,
        ..before.clone()
    };
    let permit = take_permit(shared, call, &choice).await.ok()?;
    let connection = connect(shared, call, &choice).await.ok()?;
    check_still_allowed(shared, call, progress).ok()?;
    let from = Resume { last_event: Some(last_event), copy: true };
    let leg = send_on(shared, call, progress, (choice, permit), connection, from).await.ok()?;
    if leg.response.status().is_success() && !leg.head.not_run {
        shared.metrics.note_resume();
        return Some(leg);
    }
    log_failure(shared, call, progress, &leg.choice, "it keeps no copy", Ran::No);
    None
}
