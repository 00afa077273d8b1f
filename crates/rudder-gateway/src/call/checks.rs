//! Whether a request may be sent for the first time, and whether it may be retried.

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_events::What;
use rudder_route::{
    admission::{self, Caller, Level, Reason},
    engine_cost::is_sooner,
    queue_wait::{Backlog, WaitBounds},
    shares::Fate,
};

use super::{
    Call, Progress, Refusal,
    attempt::choose_endpoint,
    fairness::record_work,
    hop::must_pass_on,
    refusal::{CapacityFigures, no_retry, record_capacity_refusal},
    termination::{check_quarantine, is_content_suspect},
};
use crate::{
    Dialect, Route, RouteKind, choose::Choice, placement::residency_of, policy::GuardPolicy, returns::capacity_refusal,
    shared::Shared,
};

/// The reason of a refusal by an instance that may have missed the departure of an endpoint.
pub(super) const OUTDATED: &str = "the endpoints may have changed";
/// Attempts beyond the route's bound that are allowed while earlier attempts did not run.
const EXTRA_ATTEMPTS_NOT_RUN: u32 = 1;

/// Takes a retry within the route's bound and from the retry budget. Takes none if no other endpoint is eligible.
pub fn take_retry<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress) -> bool {
    let now = Moment::now();
    let bound = call.route.attempts.max(1);
    if progress.possible_runs >= bound || progress.sent >= bound + EXTRA_ATTEMPTS_NOT_RUN || now >= call.deadline {
        return false;
    }
    if is_content_suspect(shared, call, progress) {
        return false;
    }
    if !must_pass_on(shared, call, progress) && choose_endpoint(shared, call, progress).is_err() {
        return false;
    }
    let Some(service) = progress.service.clone() else { return true };
    take_from_budget(shared, call, &service)
}

/// Takes a retry from the budget of a service if any is left.
pub(super) fn take_from_budget<D: Dialect>(shared: &Shared<D>, call: &Call, service: &Arc<str>) -> bool {
    let now = Moment::now();
    let mut budget = shared.budget.borrow_mut();
    let decision = budget.try_take(service, now);
    let instances = budget.instances(now);
    drop(budget);
    if !decision.granted {
        shared.metrics.record_denied_retry();
    }
    shared.log.write(What::RetryAsked {
        request: call.id.clone(),
        service: service.clone(),
        granted: decision.granted,
        retries: decision.retries,
        allowed: decision.allowed,
        requests: decision.requests,
        instances: instances as u32,
    });
    decision.granted
}

/// Takes a retry for an attempt whose endpoint is silent. The retry is limited to endpoints without a rate limit: a
/// denied permit would refuse a request that its first endpoint may still answer.
pub fn take_retry_for_silent<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress) -> bool {
    let before = std::mem::replace(&mut progress.unlimited_only, true);
    let taken = take_retry(shared, call, progress);
    progress.unlimited_only = taken || before;
    taken
}

/// Whether another engine is predicted to send the first event before a silent one does, to which the request was sent at
/// `sent`. Without a prediction, it is assumed to.
pub(super) fn is_other_sooner<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
    choice: &Choice,
    sent: Moment,
) -> bool {
    let Some(predicted) = choice.predicted else { return true };
    let Ok(Choice { predicted: Some(other), .. }) = choose_endpoint(shared, call, progress) else { return true };
    is_sooner(other, predicted, sent.elapsed())
}

/// Refuses a request whose services refuse more urgent ones for lack of capacity.
pub(super) fn check_not_shed<D: Dialect>(shared: &Shared<D>, call: &Call) -> Result<(), Refusal> {
    let Some(plan) = shared.current_plan() else { return Ok(()) };
    let now = Moment::now();
    let shedding = shared.shedding.borrow();
    let is_shed = shared.options.policy.guard.shedding
        && call.prompt.is_some()
        && call.route.shares.iter().all(|share| {
            if shared.uses_admission(&share.service) {
                return false;
            }
            let level = plan.level(&call.route, &share.service);
            shedding.is_shed(&share.service, level, now)
        });
    drop(shedding);
    if !is_shed {
        return Ok(());
    }
    record_demand(shared, call, None, true);
    Err(capacity_refusal(shared, call, Reason::Urgent.text(), call.route.target, Duration::ZERO))
}

/// Records for load shedding and fair shares that a request was sent for the first time, or refused for lack of capacity:
/// at `service`, or at all services of its route.
pub(super) fn record_demand<D: Dialect>(shared: &Shared<D>, call: &Call, service: Option<&Arc<str>>, refused: bool) {
    let Some(plan) = shared.current_plan().filter(|_| call.prompt.is_some()) else { return };
    let now = Moment::now();
    let fate = if refused { Fate::Short } else { Fate::Admitted };
    let mut shedding = shared.shedding.borrow_mut();
    for share in call.route.shares.iter().filter(|share| service.is_none_or(|service| *service == share.service)) {
        let level = plan.level(&call.route, &share.service);
        record_work(shared, call, (&share.service, level), fate);
        if shared.uses_admission(&share.service) {
            continue;
        }
        shedding.record(&share.service, level, refused, now);
    }
}

/// Refuses a stream if the prompts that its best engine processes first would make it miss its target by far, and delay the
/// streams behind it. Requests of higher priorities than the lowest may be late, as long as their callers wait, rather than
/// be refused while less urgent ones are served. The highest of several priorities is bounded by the slots alone.
fn check_expected_wait<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> Result<(), Refusal> {
    let Some(plan) = shared.current_plan() else { return Ok(()) };
    let GuardPolicy { hopeless, waiting, .. } = shared.options.policy.guard;
    let is_highest = plan.is_highest(&call.route, &choice.service);
    if call.route.kind != RouteKind::Stream || call.prompt.is_none() || is_highest || hopeless == 0.0 {
        return Ok(());
    }
    let backlog = backlog_at(shared, choice, plan.level(&call.route, &choice.service));
    let (wait, target) = (backlog.wait(), call.route.target);
    let is_lowest = !plan.has_lower(&call.route, &choice.service);
    let bounds = WaitBounds { target: hopeless, patience: waiting };
    if wait <= bounds.longest(&caller_of(call, Moment::now()), is_lowest) {
        return Ok(());
    }
    shared.log.write(What::CallHopeless {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        ahead: choice.ahead,
        queued: choice.queued,
        urgent_rate: backlog.rate as u64,
        capacity: backlog.capacity as u64,
        wait_ms: wait.as_millis() as u64,
        target_ms: target.as_millis() as u64,
    });
    record_demand(shared, call, Some(&choice.service), true);
    let base = if is_lowest { wait.saturating_sub(target / 2) } else { target };
    Err(capacity_refusal(shared, call, Reason::Wait.text(), base, Duration::ZERO))
}

/// What the caller of a request tolerates.
fn caller_of(call: &Call, now: Moment) -> Caller {
    Caller { target: call.route.target, gap: call.route.pause, remaining: call.deadline.saturating_duration_since(now) }
}

/// Decides whether a request is sent to the chosen engine: as [`check_expected_wait`] if its service is not contended.
pub(super) fn check_admission<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> Result<(), Refusal> {
    let Some(plan) = shared.current_plan().filter(|_| call.prompt.is_some()) else { return Ok(()) };
    if !shared.uses_admission(&choice.service) {
        return check_expected_wait(shared, call, choice);
    }
    let now = Moment::now();
    let level = plan.level(&call.route, &choice.service);
    let is_stream = call.route.kind == RouteKind::Stream;
    let predicted = if is_stream { predicted_first_event(shared, choice, level) } else { Duration::ZERO };
    let usage = shared.candidate_cache.borrow().usage(&choice.service);
    let mut admission = shared.admission.borrow_mut();
    let request = admission::Request {
        level,
        highest: plan.is_highest(&call.route, &choice.service),
        predicted,
        caller: caller_of(call, now),
        idle: usage.is_idle() && !admission.is_stale(now),
    };
    let decision = admission.decide(&choice.service, &request, now);
    drop(admission);
    decision.map_err(|reason| {
        if reason != Reason::Late {
            record_work(shared, call, (&choice.service, level), Fate::Short);
        }
        // The prediction is above the target here, and leaves out what lower priorities queue.
        let after_wait = predicted.saturating_sub(call.route.target / 2);
        let retry = if reason == Reason::Wait { after_wait } else { call.route.target };
        let figures = CapacityFigures { reason, service: &choice.service, predicted: Some(predicted) };
        record_capacity_refusal(shared, call, &figures);
        capacity_refusal(shared, call, reason.text(), retry, Duration::ZERO)
    })
}

/// Predicted time to the first event of a request at the chosen engine: as predicted by the choice, or else the wait for
/// the prompts ahead. Engines process those of lower priorities later. Unread tokens are not reported by priority: few of
/// the urgent requests still have theirs unread, and those are taken to be as long as this one's.
fn predicted_first_event<D: Dialect>(shared: &Shared<D>, choice: &Choice, level: Level) -> Duration {
    if let Some(predicted) = choice.predicted {
        return predicted;
    }
    let loads = shared.loads.borrow();
    let calls = f64::from(loads.at(&choice.endpoint).calls);
    let urgent = loads.known_at_or_above(level, &choice.endpoint, &choice.service);
    let wait = expected_wait(shared, choice);
    if urgent >= calls || choice.ahead == 0 {
        return wait;
    }
    let by_tokens = urgent * f64::from(choice.unread) / f64::from(choice.ahead);
    wait.mul_f64(by_tokens.min(urgent / calls))
}

/// Records a refusal for lack of capacity at all contended services of a route, of which none may be used. Returns whether
/// there are any.
pub(super) fn record_without_choice<D: Dialect>(shared: &Shared<D>, call: &Call, reason: Reason) -> bool {
    let contended = |service: &Arc<str>| call.prompt.is_some() && shared.uses_admission(service);
    let mut any = false;
    for share in call.route.shares.iter().filter(|share| contended(&share.service)) {
        record_capacity_refusal(shared, call, &CapacityFigures { reason, service: &share.service, predicted: None });
        any = true;
    }
    any
}

/// The prompts that are processed before those of a request of `level` at the chosen engine. Only those sent to the engines
/// of its lane compete for their capacity. All instances are taken to send as many urgent ones as this one.
pub(super) fn backlog_at<D: Dialect>(shared: &Shared<D>, choice: &Choice, level: Level) -> Backlog {
    let prefill = shared.prefill.borrow();
    let rate = shared.arrivals.borrow().rate_above(&choice.service, choice.lane, level, Moment::now());
    Backlog {
        queued: prefill.time_for(&choice.service, choice.queued),
        rate: rate * shared.admission.borrow().senders().max(1) as f64,
        capacity: prefill.speed(&choice.service) * 1000.0 * choice.lane_size as f64,
    }
}

/// Estimates how long an engine takes for the prompts queued ahead.
pub(super) fn expected_wait<D: Dialect>(shared: &Shared<D>, choice: &Choice) -> Duration {
    shared.prefill.borrow().time_for(&choice.service, choice.ahead)
}

/// Checks the key, the route and the quarantine again right before a request is sent, as they may have changed
/// meanwhile.
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
    if !shared.knows_departures() {
        return Err(refusal(OUTDATED));
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
    check_quarantine(shared, &call.tags, progress)
}
