//! The retry loop over endpoints.

use std::{rc::Rc, time::Duration};

use http::{Response, StatusCode};
use rudder_clock::{Moment, timeout_at};
use rudder_events::What;
use rudder_model::{EndpointId, Ran};
use rudder_route::admission::Reason;

use super::{
    Call, EndpointAnswer, Failure, HopNeed, Progress, Refusal, ResumePoint,
    attempt::{MAX_UNSENT_ATTEMPTS, attempt, record_not_run, record_outcome, return_connection},
    checks::{check_not_shed, record_without_choice},
    fairness::{check_share, record_bounced},
    hop::{HopAnswer, ISOLATED, must_pass_on, pass_on},
    origin::check_taken_up,
    record_answered, record_begun, record_if_terminated,
    refusal::{ALL_FULL, final_refusal, outcome_unknown, promises_not_run},
    strip_hop_headers, take_retry,
    termination::confirms_end,
};
use crate::{
    Dialect, RouteKind,
    body::AnswerBody,
    buffers::{BodyKind, read_whole},
    health::Outcome,
    link_probe,
    metrics::RequestOutcome,
    shared::Shared,
    stream::{self, Source},
    upstream::is_framed,
};

/// Largest answer in bytes that is buffered before it is forwarded.
pub const MAX_BUFFERED_ANSWER: usize = 8 << 20;

/// How long a request waits for the newest endpoints at an instance that may have missed a departure.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a request whose endpoints all have a new version of their software waits until it may begin there.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends a request until it is answered or no retry is left.
pub(super) async fn send<D: Dialect>(shared: &Rc<Shared<D>>, call: Call) -> Result<Response<AnswerBody>, Refusal> {
    if !shared.reachability.borrow().is_isolated() {
        check_not_shed(shared, &call)?;
        check_share(shared, &call)?;
    }
    let mut progress = Progress::after(call.hop.as_ref());
    let resume = ResumePoint { last_event: call.last_event, from_copy: false };
    shared.update_endpoints(UPDATE_TIMEOUT).await;
    check_taken_up(shared, &call, &mut progress).await?;
    if call.route.resumable && !progress.has_version() {
        shared.wait_admitted(&call.route, ADMISSION_TIMEOUT).await;
    }
    let mut fallback: Option<Response<AnswerBody>> = None;
    loop {
        link_probe::wait_verdict(shared).await;
        if must_pass_on(shared, &call, &progress) {
            let failure = match pass_on(shared, &call, &mut progress, call.last_event).await {
                Ok(answer) if call.route.kind == RouteKind::Stream && answer.response.status().is_success() => {
                    return Ok(stream::start(shared, call, progress, Source::from(answer)));
                }
                Ok(answer) => match relay_hop(shared, &call, answer).await {
                    Ok(response) => return Ok(response),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if take_retry_after(shared, &call, &mut progress, &failure) {
                continue;
            }
            return fallback.ok_or_else(|| final_refusal(shared, &call, &progress, &failure));
        }
        // A request of its own callers is tried over the links all the same: many endpoints may have ended at once.
        if call.hop.is_some() && shared.reachability.borrow().is_isolated() {
            progress.hop_need = HopNeed::Vain;
            return fallback.ok_or_else(|| final_refusal(shared, &call, &progress, &Failure::NotSent(ISOLATED)));
        }
        let answer = match attempt(shared, &call, &mut progress, resume).await? {
            Ok(answer) => answer,
            Err(failure) => {
                if take_retry_after(shared, &call, &mut progress, &failure) {
                    continue;
                }
                return fallback.ok_or_else(|| final_refusal(shared, &call, &progress, &failure));
            }
        };
        if answer.head.not_run || answer.head.misdirected {
            record_not_run(shared, &call, &mut progress, answer).await;
            if take_retry(shared, &call, &mut progress) {
                continue;
            }
            record_bounced(shared, &call, &progress);
            return fallback.ok_or_else(|| {
                let refusal = final_refusal(shared, &call, &progress, &Failure::NotSent(ALL_FULL));
                if refusal.ran == Ran::No {
                    record_without_choice(shared, &call, Reason::Rejected);
                }
                refusal
            });
        }
        if call.route.kind == RouteKind::Stream && answer.response.status().is_success() {
            return Ok(stream::start(shared, call, progress, Source::from(answer)));
        }
        // A plain service begins to run a request at once.
        record_begun(shared, &call, &mut progress, answer.sent);
        match relay(shared, &call, &mut progress, answer).await {
            Ok(response) => {
                let status = response.status();
                let failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
                if failed && call.route.may_repeat() && take_retry(shared, &call, &mut progress) {
                    fallback = Some(response);
                    continue;
                }
                // Without a not-run header, such a status would wrongly state that the request did not run.
                if promises_not_run(status) {
                    return Err(outcome_unknown("the endpoint failed"));
                }
                return Ok(response);
            }
            Err(failure) => {
                if take_retry_after(shared, &call, &mut progress, &failure) {
                    continue;
                }
                return fallback.ok_or_else(|| final_refusal(shared, &call, &progress, &failure));
            }
        }
    }
}

/// Takes a retry after a failed attempt. An attempt that sent nothing does not use up a retry.
pub fn take_retry_after<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    failure: &Failure,
) -> bool {
    match failure {
        Failure::NotSent(_) => {
            let has_target = progress.unsent_attempts < MAX_UNSENT_ATTEMPTS || must_pass_on(shared, call, progress);
            has_target && Moment::now() < call.deadline
        }
        Failure::Unresponsive => true,
        Failure::OutcomeUnknown(_) => call.route.may_repeat() && take_retry(shared, call, progress),
        Failure::DeadlineExceeded => false,
    }
}

/// Reads another instance's whole answer and returns it as the response to the caller.
async fn relay_hop<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    answer: HopAnswer,
) -> Result<Response<AnswerBody>, Failure> {
    let HopAnswer { instance, response, .. } = answer;
    let (mut parts, body) = response.into_parts();
    let whole = read_whole(&shared.buffers, body, MAX_BUFFERED_ANSWER, BodyKind::Answer(call.cut.clone()));
    let bytes = match timeout_at(call.deadline, whole).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(_)) => return Err(Failure::OutcomeUnknown("the other instance's answer broke off")),
        Err(_) => return Err(Failure::DeadlineExceeded),
    };
    strip_hop_headers(&mut parts.headers);
    record_answered_by(shared, call, instance, parts.status);
    Ok(Response::from_parts(parts, AnswerBody::whole(bytes)))
}

/// Reads a whole answer and returns it as the response to the caller.
async fn relay<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    answer: EndpointAnswer,
) -> Result<Response<AnswerBody>, Failure> {
    let EndpointAnswer { choice, response, head, connection, flight, .. } = answer;
    let framed = is_framed(&response);
    let (mut parts, body) = response.into_parts();
    let whole = async {
        let bytes = tokio::select! {
            read = read_whole(&shared.buffers, body, MAX_BUFFERED_ANSWER, BodyKind::Answer(call.cut.clone())) => read.ok()?,
            () = shared.wait_replaced(&choice.endpoint) => return None,
        };
        (framed || confirms_end(shared, &choice).await).then_some(bytes)
    };
    let collected = timeout_at(call.deadline, whole).await;
    drop(flight);
    let bytes = match collected {
        Ok(Some(bytes)) => bytes,
        Ok(None) => {
            record_outcome(shared, &choice.endpoint, Outcome::Failed);
            record_if_terminated(shared, call, progress, &choice, 0).await;
            return Err(Failure::OutcomeUnknown("the endpoint's answer broke off"));
        }
        Err(_) => return Err(Failure::DeadlineExceeded),
    };
    return_connection(shared, &choice.endpoint, connection, head.keep_alive);
    let good = !parts.status.is_server_error();
    record_outcome(shared, &choice.endpoint, if good { Outcome::Good } else { Outcome::Failed });
    if parts.status.is_success() {
        record_answered(shared, call);
    }
    strip_hop_headers(&mut parts.headers);
    record_answered_by(shared, call, choice.endpoint, parts.status);
    Ok(Response::from_parts(parts, AnswerBody::whole(bytes)))
}

/// Records that an endpoint, or another instance, has answered a request whole.
fn record_answered_by<D: Dialect>(shared: &Shared<D>, call: &Call, endpoint: EndpointId, status: StatusCode) {
    let took = call.arrived.elapsed();
    let total_ms = took.as_millis() as u64;
    shared.metrics.record_first_byte(&call.route, took);
    shared.metrics.record_end(Some(&call.route), RequestOutcome::Answered, took);
    shared.log.write(What::CallAnswered {
        request: call.id.clone(),
        endpoint,
        status: status.as_u16(),
        first_ms: total_ms,
        total_ms,
        pause_ms: 0,
        stream: None,
    });
}
