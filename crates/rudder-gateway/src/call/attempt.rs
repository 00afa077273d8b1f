//! One endpoint: the choice, the connection, the request, the head of the answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use rudder_clock::{Moment, timeout_at};
use rudder_core::Event;
use rudder_events::What;
use rudder_model::{EndpointId, Ran, RequestRate};

use super::{
    Call, Failure, Leg, Progress, Refusal, Resume,
    limit::take_permit,
    note_begun, note_if_ended,
    permit::{check_not_hopeless, check_still_allowed, may_give_up, to_wait},
    send::WHOLE,
};
use crate::{
    Dialect,
    choose::{self, Choice, Eligibility, Inputs},
    dialect::{LimitNotice, Pushback},
    health::Outcome,
    limits::{Permit, Recorded},
    loads::InFlight,
    shared::Shared,
    upstream::{self, Connection},
};

/// Attempts that may end before anything is written until a request is refused: no connection comes up, or the endpoint's
/// rate limit is used up. An endpoint that has ended refuses a connection at once, so that many cost next to nothing; a rack
/// of them must not be taken for all.
pub(super) const UNSENT_MOST: u32 = 12;

/// Records that an endpoint did not run the request.
pub(super) async fn note_not_run<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, leg: Leg) {
    progress.ran = progress.ran.saturating_sub(1);
    let misdirected = leg.head.misdirected;
    log_failure(
        shared,
        call,
        progress,
        &leg.choice,
        if misdirected { "another has its address" } else { "it is full" },
        Ran::No,
    );
    if misdirected {
        note_outcome(shared, &leg.choice.endpoint, Outcome::Replaced);
    }
    let Leg { choice, response, head, connection, flight, .. } = leg;
    let (_, body) = response.into_parts();
    let drained = timeout_at(call.until, Limited::new(body, WHOLE).collect()).await;
    drop(flight);
    if matches!(drained, Ok(Ok(_))) && !misdirected {
        put_back(shared, &choice.endpoint, connection, head.keep_alive);
    }
}

/// Keeps a connection for the next request.
pub fn put_back<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, connection: Connection, keep: Option<Duration>) {
    shared.pool.borrow_mut().put(endpoint, connection, keep, Moment::now());
}

/// Records how a request ended at an endpoint.
pub fn note_outcome<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, outcome: Outcome) {
    let failed = matches!(outcome, Outcome::Failed | Outcome::Unreachable);
    shared.loads.borrow_mut().note_end(endpoint, failed, Moment::now());
    if !shared.options.policy.guard.ejection && outcome != Outcome::Replaced {
        return;
    }
    let pause = shared.health.borrow_mut().note(endpoint, outcome, Moment::now());
    if let Some(pause) = pause {
        shared.candidate_cache.borrow_mut().clear();
        shared.metrics.note_ejection();
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
/// A refusal, where the request must not be sent any more.
pub async fn attempt<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    from: Resume,
) -> Result<Result<Leg, Failure>, Refusal> {
    let Some(choice) = pick(shared, call, progress) else {
        progress.unsent = UNSENT_MOST;
        return Ok(Err(Failure::Unsent(unavailable_reason(shared, call))));
    };
    if progress.sent == 0 {
        check_not_hopeless(shared, call, &choice)?;
    }
    let permit = match take_permit(shared, call, &choice).await {
        Ok(permit) => permit,
        Err(why) => {
            progress.unsent += 1;
            log_failure(shared, call, progress, &choice, why, Ran::No);
            return Ok(Err(Failure::Unsent(why)));
        }
    };
    progress.tried.push(choice.endpoint.clone());
    let connection = match connect(shared, call, &choice).await {
        Ok(connection) => connection,
        Err(why) => {
            progress.unsent += 1;
            log_failure(shared, call, progress, &choice, why, Ran::No);
            note_outcome(shared, &choice.endpoint, Outcome::Unreachable);
            return Ok(Err(Failure::Unsent(why)));
        }
    };
    check_still_allowed(shared, call, progress)?;
    Ok(send_on(shared, call, progress, (choice, permit), connection, from).await)
}

/// Why there is no endpoint to choose.
fn unavailable_reason<D: Dialect>(shared: &Shared<D>, call: &Call) -> &'static str {
    if shared.blocked_for(&call.route).is_some() {
        "its endpoints take no more for now"
    } else if call.residency.is_some() {
        "no endpoint is in use where it may go"
    } else {
        "no endpoint of its service is in use"
    }
}

pub(super) async fn send_on<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    (choice, permit): (Choice, Option<Permit>),
    mut connection: Connection,
    from: Resume,
) -> Result<Leg, Failure> {
    let now = Moment::now();
    let left = call.until.saturating_duration_since(now);
    if left.is_zero() {
        return Err(Failure::Late);
    }
    if !shared.try_take_place(&choice, permit, now) {
        put_back(shared, &choice.endpoint, connection, None);
        return Err(Failure::Unsent("the endpoint takes no more for now"));
    }
    shared.metrics.note_attempt(progress.sent > 0);
    progress.sent += 1;
    progress.ran += 1;
    if progress.chosen.is_none() {
        shared.budget.borrow_mut().note_request(&choice.service, now);
        progress.chosen = Some(choice.service.clone());
    }
    log_sent(shared, call, progress, &choice, connection.carried > 0, left);
    progress.last = Some(choice.clone());
    let request = call.to_request(&shared.dialect, &choice, left, from);
    let prompt = call.prompt.as_ref();
    let unread = choice.unread;
    let memory = prompt.map_or(0, |prompt| prompt.tokens + prompt.expected_answer());
    let flight = InFlight::start(&shared.loads, &choice.endpoint, unread, memory);
    let response = wait_for_head(shared, call, progress, &choice, &mut connection, request).await?;
    let (parts, body) = response.into_parts();
    let head = shared.dialect.read_answer(&call.id, &parts);
    if let Some(pushback) = head.pushback {
        record_pushback(shared, &choice.endpoint, pushback);
    }
    // What an answer to another request does not say is no news.
    if head.id_matches || head.limit != LimitNotice::Unlimited {
        record_limit(shared, &choice.endpoint, head.limit, now);
    }
    if !head.id_matches {
        note_outcome(shared, &choice.endpoint, Outcome::Failed);
        log_failure(shared, call, progress, &choice, "it answered another request", Ran::Unknown);
        return Err(Failure::Lost("the endpoint answered another request"));
    }
    let response = Response::from_parts(parts, body);
    Ok(Leg { choice, response, head, connection, flight, sent: now, continued: from.copy })
}

/// Records what an endpoint asks of this instance.
fn record_pushback<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, pushback: Pushback) {
    let (endpoint, now) = (endpoint.clone(), Moment::now());
    match pushback {
        Pushback::Backoff(rest) => {
            shared.backoff.borrow_mut().record_backoff(&endpoint, rest, now);
            shared.metrics.note_rest();
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
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

/// Records what an answer to a request sent at `sent` says of its endpoint's rate limit.
fn record_limit<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, notice: LimitNotice, sent: Moment) {
    let recorded = shared.limits.borrow_mut().record_answer(endpoint, notice, sent, Moment::now());
    let Some(Recorded { changed, report }) = recorded else { return };
    shared.tell(Event::Limit(report));
    if !changed {
        return;
    }
    shared.candidate_cache.borrow_mut().clear();
    shared.metrics.note_limit();
    shared.metrics.set_limited(shared.limits.borrow().count());
    let per_second = report.rate.map(RequestRate::per_second);
    shared.log.write(What::LimitNamed { endpoint: endpoint.clone(), per_second });
}

/// Waits for the head of an answer; where the request may be repeated, no longer than its patience.
async fn wait_for_head<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    choice: &Choice,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    let patience = call.patience() + to_wait(shared, choice).mul_f64(shared.options.policy.guard.patience);
    let sent = Moment::now();
    let patient_until = call.until.min(sent + patience);
    let outcome = async {
        tokio::select! {
            answer = connection.send(request) => answer.map_err(|_| "the connection ended before an answer"),
            () = shared.wait_replaced(&choice.endpoint) => Err("the endpoint has started again"),
        }
    };
    let mut answer = std::pin::pin!(outcome);
    let mut answered = timeout_at(patient_until, answer.as_mut()).await;
    let impatient = shared.options.policy.guard.impatience && call.route.may_repeat();
    if answered.is_err() && impatient && may_give_up(shared, call, progress) {
        note_outcome(shared, &choice.endpoint, Outcome::Failed);
        log_failure(shared, call, progress, choice, "it is silent", Ran::Unknown);
        return Err(Failure::Silent);
    }
    if answered.is_err() {
        answered = timeout_at(call.until, answer).await;
    }
    match answered {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(why)) => {
            if sent.elapsed() >= to_wait(shared, choice) {
                // Plain services begin at once, engines when what is ahead has been read: it has run, its answer is lost.
                note_begun(shared, call, progress, sent);
            }
            note_outcome(shared, &choice.endpoint, Outcome::Failed);
            log_failure(shared, call, progress, choice, why, Ran::Unknown);
            note_if_ended(shared, call, progress, choice).await;
            Err(Failure::Lost("the endpoint broke off"))
        }
        Err(_) => {
            log_failure(shared, call, progress, choice, "time ran out", Ran::Unknown);
            Err(Failure::Late)
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
    shared.log.write(What::CallSent {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        attempt: progress.sent,
        calls: choice.calls,
        ahead: choice.ahead,
        unread: choice.unread,
        others_ms: others.as_millis() as u64,
        reused,
        left_ms: left.as_millis() as u64,
        fetch_from: choice.fetch_from.as_deref().map(str::to_owned),
        keeper: choice.backup.as_ref().map(|backup| backup.endpoint.clone()),
        limit: shared.limits.borrow().rate(&choice.endpoint).map(RequestRate::per_second),
    });
}

/// The endpoint that the request would be sent to now; `None` where there is none that it has not been to.
pub(super) fn pick<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &Progress) -> Option<Choice> {
    let plan = shared.current_plan()?;
    let roster = shared.roster.borrow().clone();
    let loads = shared.loads.borrow();
    let (health, backoff) = (shared.health.borrow(), shared.backoff.borrow());
    let prefill = shared.prefill.borrow();
    let (placement, slow_start, limits) =
        (shared.placement.borrow(), shared.slow_start.borrow(), shared.limits.borrow());
    let inputs = Inputs {
        loads: &loads,
        work_age: shared.work_age(),
        health: &health,
        backoff: &backoff,
        prefill: &prefill,
        placement: &placement,
        slow_start: &slow_start,
        limits: &limits,
        hall: &shared.options.hall,
        plan: &plan,
        policy: &shared.options.policy,
        now: Moment::now(),
    };
    let eligible =
        Eligibility { tried: &progress.tried, residency: call.residency.as_deref(), unlimited: progress.unlimited };
    let first = choose::pick_service(&call.route, rand::random())?;
    let by_weight = progress.chosen.as_ref().unwrap_or(first);
    let others = call.route.shares.iter().map(|share| &share.service);
    let mut services = std::iter::once(by_weight).chain(others);
    services.find_map(|service| {
        let candidates = shared.candidate_cache.borrow_mut().of(service, &roster, &inputs);
        choose::choose(&inputs, &call.route, service, &candidates, call.prompt.as_ref(), eligible)
    })
}

pub(super) async fn connect<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    choice: &Choice,
) -> Result<Connection, &'static str> {
    let now = Moment::now();
    let once = !call.route.may_repeat();
    let rested = shared.pool.borrow_mut().take(&choice.endpoint, once, now);
    if let Some(connection) = rested {
        return Ok(connection);
    }
    let bound = upstream::CONNECT.min(call.until.saturating_duration_since(now));
    upstream::connect(&choice.address, bound).await.map_err(|_| "it cannot be reached")
}
