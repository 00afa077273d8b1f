//! Whether a request may be sent: for the first time, and once more.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_events::What;

use super::{
    Call, Progress, Refusal,
    attempt::choose_endpoint,
    ended::{check_not_refused, is_risky},
    refusal::{no_retry, not_run},
};
use crate::{Dialect, Route, RouteKind, choose::Choice, places::residency_of, shared::Shared};

/// Endpoints beyond the route's own bound that a request may go to when it did not run.
const EXTRA_ATTEMPTS_NOT_RUN: u32 = 1;

/// Takes the right to send a request once more, within the route's bound and the retry budget. There is none where no other
/// endpoint may be sent to: what is under way is better waited for, and the budget is others'.
pub fn take_retry<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress) -> bool {
    let now = Moment::now();
    let bound = call.route.attempts.max(1);
    if progress.possible_runs >= bound || progress.sent >= bound + EXTRA_ATTEMPTS_NOT_RUN || now >= call.deadline {
        return false;
    }
    if is_risky(shared, call, progress) || choose_endpoint(shared, call, progress).is_none() {
        return false;
    }
    let Some(service) = progress.service.clone() else { return true };
    let instances = shared.view.borrow().senders().count();
    shared.budget.borrow_mut().try_take(&service, now, instances)
}

/// Takes the right to give up an attempt that is silent for another one. A permit may be denied, and then the request would be
/// refused while its first endpoint may still answer; so the other attempt goes to an endpoint without a rate limit.
pub fn take_retry_for_silent<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress) -> bool {
    let before = std::mem::replace(&mut progress.unlimited_only, true);
    let taken = take_retry(shared, call, progress);
    progress.unlimited_only = taken || before;
    taken
}

/// Refuses a stream of the lowest rank at once where its engine, the best there is, has so much to read
/// that it would come late and make the streams behind it late too.
pub(super) fn check_not_hopeless<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> Result<(), Refusal> {
    let Some(plan) = shared.current_plan() else { return Ok(()) };
    let hopeless = shared.options.policy.guard.hopeless;
    if call.route.kind != RouteKind::Stream || call.prompt.is_none() || !plan.is_lowest(&call.route, &choice.service) {
        return Ok(());
    }
    let wait = expected_wait(shared, choice);
    if hopeless == 0.0 || wait <= call.route.target.mul_f64(hopeless) {
        return Ok(());
    }
    shared.log.write(What::CallHopeless {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        ahead: choice.ahead,
        wait_ms: wait.as_millis() as u64,
        target_ms: call.route.target.as_millis() as u64,
    });
    Err(not_run("its engines have too much to read", wait.saturating_sub(call.route.target / 2)))
}

/// How long an engine takes to read what is unread there.
pub(super) fn expected_wait<D: Dialect>(shared: &Shared<D>, choice: &Choice) -> Duration {
    shared.reading.borrow().time_for(&choice.service, choice.ahead)
}

/// The key, the route and the quarantine are looked at again just before a request goes out: it may have waited.
pub(super) fn check_still_allowed<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
) -> Result<(), Refusal> {
    let retry_after = shared.options.recovery_retry_after;
    let refusal = |why| no_retry(progress, why, retry_after);
    if !shared.is_fresh(shared.options.max_proof_age) {
        return Err(refusal("the configuration may be old"));
    }
    let Some(plan) = shared.current_plan() else { return Err(refusal("no configuration yet")) };
    let organisation = call.key.as_deref().and_then(|key| plan.organisation_of(key));
    if plan.organisations.is_some() && !call.route.open && organisation.is_none() {
        return Err(refusal("the key was taken away"));
    }
    let is_same =
        |route: &Route| route.shares == call.route.shares && residency_of(route, organisation) == call.residency;
    if !plan.find(&call.host, call.uri.path()).is_some_and(|route| is_same(route)) {
        return Err(refusal("the route has changed"));
    }
    check_not_refused(shared, call.content, progress)
}
