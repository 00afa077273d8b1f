//! One attempt: chooses an endpoint, connects, sends the request and reads the head of the answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use rudder_clock::{Moment, timeout_at};
use rudder_core::{Event, limits::LimitKind};
use rudder_events::What;
use rudder_model::{EndpointId, Ran, RequestRate};
use rudder_route::admission::Reason;

use super::{
    Call, EndpointAnswer, Failure, HopNeed, Progress, Refusal, ResumePoint,
    checks::{
        backlog_at, check_admission, check_still_allowed, expected_wait, is_other_sooner, record_demand,
        record_without_choice, take_retry_for_silent,
    },
    permission::{report_rejection, take_permission},
    record_begun, record_if_terminated,
    send::MAX_BUFFERED_ANSWER,
};
use crate::{
    Dialect,
    choose::{self, Choice, Eligibility, Inputs, Unavailable},
    dialect::{LimitNotice, Pushback},
    health::Outcome,
    limits::{Permission, Recorded},
    link_probe,
    loads::{Demand, InFlight},
    returns::{capacity_refusal, reserved_room},
    shared::Shared,
    upstream::{self, Connection},
};

/// Attempts that may fail before anything is sent, by a failed connection or an exhausted rate limit, until the request
/// is refused. Connections to terminated endpoints fail at once, so the bound is high enough to get past a failed rack.
pub(super) const MAX_UNSENT_ATTEMPTS: u32 = 12;

/// The reason of a refusal if no engine may be sent one more request of its priority.
pub(super) const NO_ROOM: &str = Reason::Room.text();

/// Records that an endpoint did not run the request.
pub(super) async fn record_not_run<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    answer: EndpointAnswer,
) {
    progress.possible_runs = progress.possible_runs.saturating_sub(1);
    let misdirected = answer.head.misdirected;
    log_failure(
        shared,
        call,
        progress,
        &answer.choice,
        if misdirected { "another has its address" } else { "it is full" },
        Ran::No,
    );
    if misdirected {
        record_outcome(shared, &answer.choice.endpoint, Outcome::Replaced);
    } else if shared.uses_admission(&answer.choice.service) {
        shared.admission.borrow_mut().record_full(&answer.choice.endpoint, Moment::now());
    }
    let EndpointAnswer { choice, response, head, connection, flight, .. } = answer;
    let (_, body) = response.into_parts();
    let drained = timeout_at(call.deadline, Limited::new(body, MAX_BUFFERED_ANSWER).collect()).await;
    drop(flight);
    if matches!(drained, Ok(Ok(_))) && !misdirected {
        return_connection(shared, &choice.endpoint, connection, head.keep_alive);
    }
}

/// Returns a connection to the pool.
pub fn return_connection<D: Dialect>(
    shared: &Shared<D>,
    endpoint: &EndpointId,
    connection: Connection,
    keep_alive: Option<Duration>,
) {
    shared.pool.borrow_mut().put(endpoint, connection, keep_alive, Moment::now());
}

/// Records the outcome of a request at an endpoint, and logs an ejection that follows from it.
pub fn record_outcome<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, outcome: Outcome) {
    let failed = matches!(outcome, Outcome::Failed | Outcome::Unreachable);
    shared.loads.borrow_mut().note_end(endpoint, failed, Moment::now());
    if !shared.options.policy.guard.ejection && outcome != Outcome::Replaced {
        return;
    }
    let pause = shared.health.borrow_mut().note(endpoint, outcome, Moment::now());
    if let Some(pause) = pause {
        shared.candidate_cache.borrow_mut().clear();
        shared.metrics.record_ejection();
        let why = format!("{outcome:?}").to_lowercase();
        shared.log.write(What::Ejected { endpoint: endpoint.clone(), why, pause });
    }
}

/// Logs a failed attempt.
pub fn log_failure<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
    choice: &Choice,
    why: &str,
    ran: Ran,
) {
    shared.log.write(What::CallFailed {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        attempt: progress.sent,
        why: why.to_owned(),
        ran,
    });
}

/// Sends the request to one endpoint and waits for the head of its answer.
///
/// # Errors
/// Returns a refusal if the request must not be sent any more.
pub async fn attempt<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    resume: ResumePoint,
) -> Result<Result<EndpointAnswer, Failure>, Refusal> {
    let choice = match choose_endpoint(shared, call, progress) {
        Ok(choice) => choice,
        Err(unavailable @ (Unavailable::Full | Unavailable::Urgent)) if progress.sent == 0 => {
            record_demand(shared, call, None, true);
            return Err(no_room(shared, call, unavailable));
        }
        Err(unavailable) => {
            progress.unsent_attempts = MAX_UNSENT_ATTEMPTS;
            let blocked = shared.blocked_for(&call.route);
            if let Some(retry) = blocked.filter(|_| progress.sent == 0) {
                record_demand(shared, call, None, true);
                if record_without_choice(shared, call, Reason::Blocked) {
                    return Err(capacity_refusal(shared, call, Reason::Blocked.text(), retry, retry));
                }
            }
            return Ok(Err(Failure::NotSent(unavailable_reason(call, progress, unavailable, blocked.is_some()))));
        }
    };
    if progress.sent == 0 {
        check_admission(shared, call, &choice)?;
    }
    let permission = match take_permission(shared, call, &choice).await {
        Ok(permission) => permission,
        Err(why) => {
            progress.unsent_attempts += 1;
            log_failure(shared, call, progress, &choice, why, Ran::No);
            return Ok(Err(Failure::NotSent(why)));
        }
    };
    progress.tried.push(choice.endpoint.clone());
    let connection = match connect(shared, call, &choice).await {
        Ok(connection) => connection,
        Err(why) => {
            progress.unsent_attempts += 1;
            progress.hop_need = progress.hop_need.max(HopNeed::Possible);
            log_failure(shared, call, progress, &choice, why, Ran::No);
            record_outcome(shared, &choice.endpoint, Outcome::Unreachable);
            link_probe::record_lost(shared, &choice.endpoint);
            return Ok(Err(Failure::NotSent(why)));
        }
    };
    check_still_allowed(shared, call, progress)?;
    Ok(send_over(shared, call, progress, (choice, permission), connection, resume).await)
}

/// The refusal of a request whose engines have no room. The more urgent the route, the shorter its target, so urgent
/// callers return first.
fn no_room<D: Dialect>(shared: &Shared<D>, call: &Call, unavailable: Unavailable) -> Refusal {
    let reason = if unavailable == Unavailable::Urgent { Reason::Urgent } else { Reason::Room };
    record_without_choice(shared, call, reason);
    capacity_refusal(shared, call, reason.text(), call.route.target, Duration::ZERO)
}

/// Why no endpoint can be chosen.
fn unavailable_reason(call: &Call, progress: &Progress, unavailable: Unavailable, blocked: bool) -> &'static str {
    if unavailable == Unavailable::Full {
        NO_ROOM
    } else if unavailable == Unavailable::Urgent {
        Reason::Urgent.text()
    } else if blocked {
        Reason::Blocked.text()
    } else if progress.has_version() {
        "no endpoint of the version that began the stream is in use"
    } else if call.residency.is_some() {
        "no endpoint is in use where it may go"
    } else {
        "no endpoint of its service is in use"
    }
}

/// Sends the request over a connection and waits for the head of the answer.
pub(super) async fn send_over<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    (choice, permission): (Choice, Permission),
    mut connection: Connection,
    resume: ResumePoint,
) -> Result<EndpointAnswer, Failure> {
    let now = Moment::now();
    let left = call.deadline.saturating_duration_since(now);
    if left.is_zero() {
        return Err(Failure::DeadlineExceeded);
    }
    if !shared.try_reserve(&choice, &permission, now) {
        return_connection(shared, &choice.endpoint, connection, None);
        return Err(Failure::NotSent("the endpoint takes no more for now"));
    }
    shared.metrics.record_attempt(progress.sent > 0);
    progress.sent += 1;
    progress.possible_runs += 1;
    let is_first = progress.sent == 1;
    if progress.service.is_none() && is_first {
        shared.budget.borrow_mut().note_request(&choice.service, now);
        record_demand(shared, call, Some(&choice.service), false);
    }
    progress.service.get_or_insert_with(|| choice.service.clone());
    log_sent(shared, call, progress, &choice, connection.carried > 0, left);
    progress.last_choice = Some(choice.clone());
    let request = call.to_request(&shared.dialect, &choice, left, resume);
    let prompt = call.prompt.as_ref();
    let level = shared.level(&call.route, &choice.service);
    if prompt.is_some() {
        shared.arrivals.borrow_mut().record(&choice.service, choice.lane, level, choice.unread, now);
    }
    if prompt.is_some() && shared.uses_admission(&choice.service) {
        shared.admission.borrow_mut().record_sent(&choice.service, &choice.endpoint, level, is_first, now);
    }
    let demand = Demand {
        service: choice.service.clone(),
        level,
        unread: choice.unread,
        held: prompt.map_or(0, |prompt| prompt.tokens + prompt.expected_answer()),
    };
    let mut flight = InFlight::start(&shared.loads, &choice.endpoint, demand);
    let response = wait_for_head(shared, call, progress, &choice, &mut connection, request).await?;
    link_probe::record_answer(shared, &connection);
    let (parts, body) = response.into_parts();
    let head = shared.dialect.read_answer(&call.id, &parts);
    if head.id_matches && head.load.is_some_and(|load| load.pace.is_some()) {
        shared.contention.borrow_mut().record_pace(&choice.service, Moment::now());
    }
    let report = head.load.filter(|_| head.id_matches && shared.learns_speeds(&choice.service));
    if let Some(report) = report {
        shared.conditions.borrow_mut().record_report(&choice.endpoint, &report, Moment::now());
    }
    if let Some(pushback) = head.pushback {
        record_pushback(shared, &choice.endpoint, pushback);
    }
    for (kind, notice) in [(LimitKind::Requests, head.limit), (LimitKind::Rejections, head.brittle)] {
        // A missing limit in an answer to another request does not lift the limit.
        if head.id_matches || notice != LimitNotice::Unlimited {
            record_limit(shared, &choice.endpoint, (kind, notice), now);
        }
    }
    let is_rejected = head.id_matches && head.not_run && !head.misdirected;
    match permission.loan {
        Some(loan) if is_rejected => loan.reject(),
        None if is_rejected => report_rejection(shared, &choice),
        loan => flight.loan = loan,
    }
    if !head.id_matches {
        record_outcome(shared, &choice.endpoint, Outcome::Failed);
        log_failure(shared, call, progress, &choice, "it answered another request", Ran::Unknown);
        return Err(Failure::OutcomeUnknown("the endpoint answered another request"));
    }
    let response = Response::from_parts(parts, body);
    Ok(EndpointAnswer { choice, response, head, connection, flight, sent: now, resumed: resume.from_copy })
}

/// Applies the pushback of an endpoint to this instance.
fn record_pushback<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, pushback: Pushback) {
    let (endpoint, now) = (endpoint.clone(), Moment::now());
    match pushback {
        Pushback::Backoff(pause) => {
            shared.backoff.borrow_mut().record_backoff(&endpoint, pause, now);
            shared.metrics.record_backoff();
            let rest_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            shared.log.write(What::AskedToRest { endpoint, rest_ms });
        }
        Pushback::Leaving => {
            if !shared.backoff.borrow_mut().record_leaving(&endpoint, now) {
                return;
            }
            shared.log.write(What::SaidLeaving { endpoint });
        }
    }
    shared.candidate_cache.borrow_mut().clear();
}

/// Records what an endpoint reported of a limit in its answer to a request sent at `sent`.
fn record_limit<D: Dialect>(
    shared: &Shared<D>,
    endpoint: &EndpointId,
    (kind, notice): (LimitKind, LimitNotice),
    sent: Moment,
) {
    let recorded = shared.limits.borrow_mut().record_answer(endpoint, kind, notice, sent, Moment::now());
    let Some(Recorded { changed, report }) = recorded else { return };
    shared.send_event(Event::Limit(report));
    if !changed {
        return;
    }
    shared.candidate_cache.borrow_mut().clear();
    shared.metrics.record_limit_change();
    shared.metrics.set_limited(shared.limits.borrow().count());
    let per_second = report.rate.map(RequestRate::per_second);
    shared.log.write(match kind {
        LimitKind::Requests => What::LimitNamed { endpoint: endpoint.clone(), per_second },
        LimitKind::Rejections => What::BrittleNamed { endpoint: endpoint.clone(), per_second },
    });
}

/// Waits for the head of an answer. A repeatable request is abandoned after the silence timeout if a retry is
/// available.
async fn wait_for_head<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    choice: &Choice,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    let timeout = call.silence_timeout() + expected_wait(shared, choice).mul_f64(shared.options.policy.guard.patience);
    let sent = Moment::now();
    let silence_deadline = call.deadline.min(sent + timeout);
    let outcome = async {
        tokio::select! {
            answer = connection.send(request) => answer.map_err(|_| "the connection ended before an answer"),
            () = shared.wait_replaced(&choice.endpoint) => Err("the endpoint has started again"),
        }
    };
    let mut answer = std::pin::pin!(outcome);
    let mut answered = timeout_at(silence_deadline, answer.as_mut()).await;
    let may_abandon = shared.options.policy.guard.impatience && call.route.may_repeat();
    while answered.is_err() && may_abandon {
        if is_other_sooner(shared, call, progress, choice, sent) && take_retry_for_silent(shared, call, progress) {
            record_outcome(shared, &choice.endpoint, Outcome::Failed);
            log_failure(shared, call, progress, choice, "it is silent", Ran::Unknown);
            return Err(Failure::Unresponsive);
        }
        let now = Moment::now();
        if choice.predicted.is_none() || now >= call.deadline {
            break;
        }
        // The other engines may become sooner than this one.
        answered = timeout_at(call.deadline.min(now + call.silence_timeout()), answer.as_mut()).await;
    }
    if answered.is_err() {
        answered = timeout_at(call.deadline, answer).await;
    }
    match answered {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(why)) => {
            if sent.elapsed() >= expected_wait(shared, choice) {
                // Plain services start at once, engines after the prompts queued ahead, so the request has started by
                // now.
                record_begun(shared, call, progress, sent);
            }
            record_outcome(shared, &choice.endpoint, Outcome::Failed);
            log_failure(shared, call, progress, choice, why, Ran::Unknown);
            link_probe::record_lost(shared, &choice.endpoint);
            record_if_terminated(shared, call, progress, choice, 0).await;
            Err(Failure::OutcomeUnknown("the endpoint broke off"))
        }
        Err(_) => {
            log_failure(shared, call, progress, choice, "time ran out", Ran::Unknown);
            Err(Failure::DeadlineExceeded)
        }
    }
}

fn log_sent<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
    choice: &Choice,
    reused: bool,
    left: Duration,
) {
    let others = shared.others_age();
    let uses_speed = call.prompt.is_some() && shared.learns_speeds(&choice.service);
    let speed = uses_speed.then(|| shared.conditions.borrow().speed(&choice.endpoint, &choice.service, Moment::now()));
    let backlog = (call.prompt.is_some() && !shared.uses_admission(&choice.service))
        .then(|| backlog_at(shared, choice, shared.level(&call.route, &choice.service)));
    let limit_of = |kind| shared.limits.borrow().rate(&choice.endpoint, kind).map(RequestRate::per_second);
    shared.log.write(What::CallSent {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        attempt: progress.sent,
        calls: choice.calls,
        ahead: choice.ahead,
        unread: choice.unread,
        predicted_ms: choice.predicted.map(|predicted| predicted.as_millis() as u64),
        queued: backlog.map(|_| choice.queued),
        wait_ms: backlog.map(|backlog| backlog.wait().as_millis() as u64),
        held: choice.held,
        rank: call.prompt.as_ref().map(|_| call.engine_rank),
        others_ms: others.as_millis() as u64,
        version: (!choice.version.is_empty()).then(|| choice.version.clone()),
        endpoints_ms: shared.endpoints_age().unwrap_or_default().as_millis() as u64,
        reused,
        left_ms: left.as_millis() as u64,
        fetch_from: choice.fetch_from.as_deref().map(str::to_owned),
        keeper: choice.backup.as_ref().map(|backup| backup.endpoint.clone()),
        limit: limit_of(LimitKind::Requests),
        brittle: limit_of(LimitKind::Rejections),
        token_us: speed.map(|speed| speed.token_time.as_micros() as u64),
        prefill_speed: speed.map(|speed| round(speed.prefill_speed)),
        pace: speed.map(|speed| round(speed.pace)),
    });
}

/// Rounds to hundredths, which are enough in a log line.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// Chooses an endpoint that has not been tried for the request, if there is one.
///
/// # Errors
/// Returns why there is none.
pub(super) fn choose_endpoint<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
) -> Result<Choice, Unavailable> {
    let Some(plan) = shared.current_plan() else { return Err(Unavailable::Absent) };
    let roster = shared.roster.borrow().clone();
    let loads = shared.loads.borrow();
    let (health, backoff) = (shared.health.borrow(), shared.backoff.borrow());
    let (prefill, conditions) = (shared.prefill.borrow(), shared.conditions.borrow());
    let (contention, admission) = (shared.contention.borrow(), shared.admission.borrow());
    let (placement, slow_start, limits) =
        (shared.placement.borrow(), shared.slow_start.borrow(), shared.limits.borrow());
    let inputs = Inputs {
        loads: &loads,
        work_age: shared.work_age(),
        health: &health,
        backoff: &backoff,
        prefill: &prefill,
        conditions: &conditions,
        contention: &contention,
        placement: &placement,
        slow_start: &slow_start,
        limits: &limits,
        admission: &admission,
        hall: &shared.options.hall,
        plan: &plan,
        policy: &shared.options.policy,
        now: Moment::now(),
    };
    let view = shared.view.borrow();
    let eligible = Eligibility {
        version: progress.software.as_ref().map(|software| &*software.version),
        admitted: call.route.resumable.then_some(&*view.releases),
        tried: &progress.tried,
        residency: call.residency.as_deref(),
        unlimited: progress.unlimited_only,
        may_have_run: progress.possible_runs > 0,
        yield_draw: progress.yield_draw,
        reserved: 0.0,
    };
    let Some(first) = choose::pick_service(&call.route, rand::random()) else { return Err(Unavailable::Absent) };
    let by_weight = progress.service.as_ref().unwrap_or(first);
    let others = call.route.shares.iter().map(|share| &share.service);
    let mut unavailable = Unavailable::Absent;
    for service in std::iter::once(by_weight).chain(others) {
        if progress.software.as_ref().is_some_and(|software| software.service != *service) {
            continue;
        }
        let candidates = shared.candidate_cache.borrow_mut().of(service, &roster, &inputs);
        let eligible = Eligibility {
            reserved: reserved_room(shared, call, service, plan.level(&call.route, service)),
            ..eligible
        };
        match choose::choose(&inputs, &call.route, service, &candidates, call.prompt.as_ref(), eligible) {
            Ok(choice) => return Ok(choice),
            Err(Unavailable::Absent) => {}
            Err(refused) => unavailable = refused,
        }
    }
    Err(unavailable)
}

pub(super) async fn connect<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    choice: &Choice,
) -> Result<Connection, &'static str> {
    let now = Moment::now();
    let once = !call.route.may_repeat();
    let idle = shared.pool.borrow_mut().take(&choice.endpoint, once, now);
    if let Some(connection) = idle {
        return Ok(connection);
    }
    let bound = upstream::CONNECT_TIMEOUT.min(call.deadline.saturating_duration_since(now));
    upstream::connect(shared.options.listeners.origin(), &choice.address, bound)
        .await
        .map_err(|_| "it cannot be reached")
}
