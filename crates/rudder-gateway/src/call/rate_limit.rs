//! Permits for requests to endpoints that have a rate limit.

use rudder_clock::Moment;
use rudder_core::{
    Event,
    permits::{PermitAnswer, PermitRequest},
};

use super::Call;
use crate::{
    Dialect,
    choose::Choice,
    limits::Permit,
    metrics::PermitOutcome,
    shared::{Reply, Shared},
};

/// Takes a permit for a request to the chosen endpoint. Returns `None` if the endpoint has no rate limit.
///
/// # Errors
/// Returns why the request may not be sent there.
pub(super) async fn take_permit<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    choice: &Choice,
) -> Result<Option<Permit>, &'static str> {
    let (endpoint, tier, asked) = (&choice.endpoint, call.route.tier, Moment::now());
    let Some(request) = to_request(shared, call, choice, asked) else { return Ok(None) };
    if let Some(permit) = shared.limits.borrow_mut().take_spare(endpoint, tier, asked) {
        return Ok(Some(permit));
    }
    let (ticket, reply) = shared.tickets.issue();
    shared.send_event(Event::AskPermit { ticket, request });
    let Ok(Reply::Permit(answer)) = reply.await else { return Err("the control thread has ended") };
    match answer {
        PermitAnswer::Granted(count) => {
            shared.metrics.record_permit(PermitOutcome::Granted);
            Ok(Some(shared.limits.borrow_mut().take_granted(endpoint, tier, count, asked)))
        }
        PermitAnswer::Denied(retry) => {
            shared.metrics.record_permit(PermitOutcome::Denied);
            shared.limits.borrow_mut().record_denial(endpoint, Moment::now() + retry);
            shared.candidate_cache.borrow_mut().clear();
            Err("its rate limit is used up")
        }
    }
}

fn to_request<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice, now: Moment) -> Option<PermitRequest> {
    let limits = shared.limits.borrow();
    let limit = limits.report(&choice.endpoint, now)?;
    let roster = shared.roster.borrow();
    let hall = roster
        .get(&choice.endpoint)
        .map_or_else(|| shared.options.hall.clone(), |registration| registration.hall.clone());
    Some(PermitRequest { limit, hall, tier: call.route.tier, wanted: limits.wanted(&choice.endpoint, now) })
}
