//! Error answers of the instance itself.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Response, StatusCode, header};
use rudder_clock::Moment;
use rudder_events::What;
use rudder_model::Ran;
use rudder_route::{
    admission::{Level, Reason, level_index},
    returns::Told,
};

use super::{Call, Failure, HopNeed, Progress, attempt::NO_ROOM, hop::ISOLATED};
use crate::{Dialect, body::AnswerBody, returns::capacity_refusal, shared::Shared};

/// The reason of a refusal after all engines that were tried rejected the request as full.
pub(super) const ALL_FULL: &str = Reason::Rejected.text();

/// An error answer of the instance itself.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// The reason, as given to the caller and in metrics.
    pub why: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When the caller may retry.
    pub retry: Option<Duration>,
    /// The time scheduled for a caller of a contended service that was refused for lack of capacity.
    pub told: Option<Told>,
    /// What was refused; `None` before its route is known.
    pub subject: Option<Subject>,
    /// The reason lies with this instance, so another one may serve the request.
    pub instance_bound: bool,
}

impl Refusal {
    /// The refusal as another instance gets it that passed the request on.
    pub(super) fn for_instance(self) -> Refusal {
        if self.instance_bound && self.ran == Ran::No { misdirected(self.why) } else { self }
    }
}

/// The route and the priority of a refused request.
#[derive(Clone, Debug)]
pub struct Subject {
    route: Arc<str>,
    /// Priority level at the service of the route, for requests to engines.
    level: Option<Level>,
}

impl Subject {
    /// What is refused if `call` is.
    pub(super) fn of<D: Dialect>(shared: &Shared<D>, call: &Call) -> Subject {
        let service = call.route.shares.first().filter(|_| call.prompt.is_some()).map(|share| &share.service);
        let level = service.map(|service| shared.level(&call.route, service));
        Subject { route: call.route.name.clone(), level }
    }
}

/// Records a refusal and turns it into a response.
pub(super) fn refuse<D: Dialect>(shared: &Shared<D>, id: &str, refusal: &Refusal) -> Response<AnswerBody> {
    shared.metrics.record_refusal(refusal.why);
    shared.log.write(What::CallRefused {
        request: id.to_owned(),
        route: refusal.subject.as_ref().map(|subject| subject.route.clone()),
        level: refusal.subject.as_ref().and_then(|subject| subject.level).map(|level| level_index(level) as u8),
        status: refusal.status.as_u16(),
        why: refusal.why.to_owned(),
        ran: refusal.ran,
        retry_ms: refusal.retry.map(|retry| retry.as_millis() as u64),
        scheduled: refusal.told.map(|told| told.position.is_some()),
        position: refusal.told.and_then(|told| told.position),
    });
    let text = format!("{{\"error\":\"{}\"}}", refusal.why);
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = refusal.retry
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// A refusal that states that the request did not run and when to retry it.
pub(crate) fn not_run(why: &'static str, retry: Duration) -> Refusal {
    Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        why,
        ran: Ran::No,
        retry: Some(retry),
        told: None,
        subject: None,
        instance_bound: false,
    }
}

/// As [`not_run`], if another instance may serve the request.
pub(super) fn unready(why: &'static str, retry: Duration) -> Refusal {
    Refusal { instance_bound: true, ..not_run(why, retry) }
}

/// Why a request to a contended service is refused for lack of capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityFigures<'a> {
    /// The reason.
    pub reason: Reason,
    /// The service.
    pub service: &'a Arc<str>,
    /// Predicted time to the first event, if an engine was chosen.
    pub predicted: Option<Duration>,
}

/// Records, counts and logs that a contended service refuses a request for lack of capacity; once for each request and
/// service.
pub(super) fn record_capacity_refusal<D: Dialect>(shared: &Shared<D>, call: &Call, figures: &CapacityFigures) {
    let CapacityFigures { reason, service, predicted } = *figures;
    let now = Moment::now();
    let level = shared.level(&call.route, service);
    let usage = shared.candidate_cache.borrow().usage(service);
    let others = shared.loads.borrow().others_demand(service);
    let mut admission = shared.admission.borrow_mut();
    let demand = admission.demand(service, now).combine(others, u32::saturating_add);
    let report_age = admission.report_age(now);
    admission.record_refused(service, level, reason, now);
    drop(admission);
    shared.metrics.record_capacity_refusal(level, reason);
    shared.log.write(What::CallOverCapacity {
        request: call.id.clone(),
        service: service.clone(),
        level: level_index(level) as u8,
        reason: reason.label().to_owned(),
        predicted_ms: predicted.map(|wait| wait.as_millis() as u64),
        target_ms: call.route.target.as_millis() as u64,
        left_ms: call.deadline.saturating_duration_since(now).as_millis() as u64,
        taken: usage.taken,
        slots: usage.slots,
        waiting: usage.waiting,
        admitted: demand.admitted.to_vec(),
        refused: demand.refused.to_vec(),
        report_ms: report_age.map(|age| age.as_millis() as u64),
    });
}

/// The refusal of a request that is not retried: [`not_run`] if it cannot have run.
pub(super) fn no_retry(progress: &Progress, why: &'static str, retry: Duration) -> Refusal {
    if progress.possible_runs == 0 { unready(why, retry) } else { outcome_unknown(why) }
}

/// The refusal of a request that may have run.
pub(super) fn outcome_unknown(why: &'static str) -> Refusal {
    Refusal { ran: Ran::Unknown, ..denied(StatusCode::BAD_GATEWAY, why) }
}

/// The refusal of a request for a fault of its own.
pub(super) fn denied(status: StatusCode, why: &'static str) -> Refusal {
    Refusal { status, why, ran: Ran::No, retry: None, told: None, subject: None, instance_bound: false }
}

/// The refusal of a request that another instance may be able to serve.
pub(super) fn misdirected(why: &'static str) -> Refusal {
    denied(StatusCode::MISDIRECTED_REQUEST, why)
}

/// Returns true for statuses that callers take as a statement that the request did not run.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    promises.contains(&status)
}

/// The refusal after the last failed attempt.
pub(super) fn final_refusal<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
    failure: &Failure,
) -> Refusal {
    let why = match failure {
        Failure::NotSent(why) | Failure::OutcomeUnknown(why) => *why,
        Failure::Unresponsive => "the endpoint is silent",
        Failure::DeadlineExceeded => "time ran out",
    };
    let is_unsent = matches!(failure, Failure::NotSent(_));
    if is_unsent
        && progress.hop_need != HopNeed::None
        && call.hop.as_ref().is_some_and(|hop| hop.runs == progress.possible_runs)
    {
        return misdirected(ISOLATED);
    }
    if progress.possible_runs == 0 {
        // An earlier retry would be refused again, as no endpoint accepts requests before then.
        let blocked = shared.blocked_for(&call.route);
        let base = blocked.unwrap_or(shared.options.retry_after);
        if blocked.is_some() || [NO_ROOM, ALL_FULL].contains(&why) {
            return capacity_refusal(shared, call, why, base, blocked.unwrap_or_default());
        }
        return not_run(why, base);
    }
    let status = match failure {
        Failure::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    Refusal { status, ..outcome_unknown(why) }
}
