//! The loop over endpoints, until a request is answered or given up.

use std::rc::Rc;

use http::{Response, StatusCode};
use rudder_clock::{Moment, timeout_at};
use rudder_events::What;

use super::{
    Call, Failure, Leg, Progress, Refusal, Resume,
    attempt::{UNSENT_MOST, attempt, note_not_run, note_outcome, put_back},
    may_send_again, note_answered, note_begun, note_if_ended,
    refusal::{final_refusal, is_promise, outcome_unknown},
    strip_hop_headers,
};
use crate::{
    Dialect, RouteKind,
    body::AnswerBody,
    buffers::{BodyKind, read_whole},
    health::Outcome,
    metrics::Ending,
    shared::Shared,
    stream,
};

/// Largest answer that is held whole before it is passed on.
pub const WHOLE: usize = 8 << 20;

/// Sends a request until it is answered or given up.
pub(super) async fn send<D: Dialect>(shared: &Rc<Shared<D>>, call: Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut progress = Progress::default();
    let from = Resume { last_event: call.last_event, copy: false };
    let mut spare: Option<Response<AnswerBody>> = None;
    loop {
        let leg = match attempt(shared, &call, &mut progress, from).await? {
            Ok(leg) => leg,
            Err(failure) => {
                if may_go_on(shared, &call, &mut progress, &failure) {
                    continue;
                }
                return spare.ok_or_else(|| final_refusal(shared, &call, &progress, &failure));
            }
        };
        if leg.head.not_run || leg.head.misdirected {
            note_not_run(shared, &call, &mut progress, leg).await;
            if may_send_again(shared, &call, &mut progress) {
                continue;
            }
            return spare.ok_or_else(|| {
                final_refusal(shared, &call, &progress, &Failure::Unsent("all its endpoints are full"))
            });
        }
        if call.route.kind == RouteKind::Stream && leg.response.status().is_success() {
            return Ok(stream::start(shared, call, progress, leg));
        }
        // A plain service begins at once.
        note_begun(shared, &call, &mut progress, leg.sent);
        match relay(shared, &call, &mut progress, leg).await {
            Ok(response) => {
                let status = response.status();
                let failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
                if failed && call.route.may_repeat() && may_send_again(shared, &call, &mut progress) {
                    spare = Some(response);
                    continue;
                }
                // An endpoint's 429 or 503 without its word that it did not run would be a false promise.
                if is_promise(status) {
                    return Err(outcome_unknown("the endpoint failed"));
                }
                return Ok(response);
            }
            Err(failure) => {
                if may_go_on(shared, &call, &mut progress, &failure) {
                    continue;
                }
                return spare.ok_or_else(|| final_refusal(shared, &call, &progress, &failure));
            }
        }
    }
}

/// True where a failed attempt may be followed by another. Where nothing was sent, the right that it had is not used up.
pub fn may_go_on<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, failure: &Failure) -> bool {
    match failure {
        Failure::Unsent(_) => progress.unsent < UNSENT_MOST && Moment::now() < call.until,
        Failure::Silent => true,
        Failure::Lost(_) => call.route.may_repeat() && may_send_again(shared, call, progress),
        Failure::Late => false,
    }
}

/// Reads an answer whole and makes it the caller's.
async fn relay<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    leg: Leg,
) -> Result<Response<AnswerBody>, Failure> {
    let Leg { choice, response, head, connection, flight, .. } = leg;
    let (mut parts, body) = response.into_parts();
    let whole = async {
        tokio::select! {
            read = read_whole(&shared.buffers, body, WHOLE, BodyKind::Answer(call.cut.clone())) => read.ok(),
            () = shared.wait_replaced(&choice.endpoint) => None,
        }
    };
    let collected = timeout_at(call.until, whole).await;
    drop(flight);
    let bytes = match collected {
        Ok(Some(bytes)) => bytes,
        Ok(None) => {
            note_outcome(shared, &choice.endpoint, Outcome::Failed);
            note_if_ended(shared, call, progress, &choice).await;
            return Err(Failure::Lost("the endpoint's answer broke off"));
        }
        Err(_) => return Err(Failure::Late),
    };
    put_back(shared, &choice.endpoint, connection, head.keep_alive);
    let good = !parts.status.is_server_error();
    note_outcome(shared, &choice.endpoint, if good { Outcome::Good } else { Outcome::Failed });
    if parts.status.is_success() {
        note_answered(shared, call);
    }
    strip_hop_headers(&mut parts.headers);
    let took = call.arrived.elapsed();
    let total_ms = took.as_millis() as u64;
    shared.metrics.note_first(&call.route, took);
    shared.metrics.note_end(Some(&call.route), Ending::Answered, took);
    shared.log.write(What::CallAnswered {
        request: call.id.clone(),
        endpoint: choice.endpoint,
        status: parts.status.as_u16(),
        first_ms: total_ms,
        total_ms,
        pause_ms: 0,
    });
    Ok(Response::from_parts(parts, AnswerBody::whole(bytes)))
}
