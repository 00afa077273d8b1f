//! Permits and loans for requests to endpoints that have a limit.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_core::{
    Event,
    limits::LimitKind,
    permits::{LoanReturn, PermitAnswer, PermitRequest},
};

use tokio::sync::oneshot;

use super::Call;
use crate::{
    Dialect,
    choose::Choice,
    limits::{Loan, Permission, Permit},
    metrics::PermitOutcome,
    shared::{Reply, Shared},
};

/// Takes what a request to the chosen endpoint needs: nothing if the endpoint has no limit.
///
/// # Errors
/// Returns why the request may not be sent there.
pub(super) async fn take_permission<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    choice: &Choice,
) -> Result<Permission, &'static str> {
    let loan = take_loan(shared, call, choice).await?;
    let permit = take_permit(shared, call, choice).await?;
    Ok(Permission { permit, loan })
}

async fn take_permit<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    choice: &Choice,
) -> Result<Option<Permit>, &'static str> {
    let (endpoint, tier, asked) = (&choice.endpoint, call.route.tier, Moment::now());
    let Some(request) = to_request(shared, call, choice, LimitKind::Requests, asked) else { return Ok(None) };
    if let Some(permit) = shared.limits.borrow_mut().take_spare(endpoint, tier, asked) {
        return Ok(Some(permit));
    }
    let (ticket, reply) = shared.tickets.issue();
    shared.send_event(Event::AskPermit { ticket, request });
    let count = wait_for_grant(shared, choice, LimitKind::Requests, reply).await?;
    Ok(Some(shared.limits.borrow_mut().take_granted(endpoint, tier, count, asked)))
}

async fn take_loan<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> Result<Option<Loan>, &'static str> {
    let asked = Moment::now();
    let Some(request) = to_request(shared, call, choice, LimitKind::Rejections, asked) else { return Ok(None) };
    let (ticket, reply) = shared.tickets.issue();
    // A caller that leaves while the holder is asked returns it.
    let loan = Loan::new(request.to_return(ticket), asked, shared.events.clone());
    shared.send_event(Event::AskPermit { ticket, request });
    match wait_for_grant(shared, choice, LimitKind::Rejections, reply).await {
        Ok(_) => Ok(Some(loan)),
        Err(why) => {
            loan.discard();
            Err(why)
        }
    }
}

/// Waits for the holder's answer and returns the number of permits that it granted.
async fn wait_for_grant<D: Dialect>(
    shared: &Shared<D>,
    choice: &Choice,
    kind: LimitKind,
    reply: oneshot::Receiver<Reply>,
) -> Result<u32, &'static str> {
    let Ok(Reply::Permit(answer)) = reply.await else { return Err("the control thread has ended") };
    match answer {
        PermitAnswer::Granted(count) => {
            shared.metrics.record_permit(PermitOutcome::Granted);
            Ok(count)
        }
        PermitAnswer::Denied(retry) => {
            shared.metrics.record_permit(PermitOutcome::Denied);
            shared.limits.borrow_mut().record_denial(&choice.endpoint, kind, Moment::now() + retry);
            shared.candidate_cache.borrow_mut().clear();
            Err(match kind {
                LimitKind::Requests => "its rate limit is used up",
                LimitKind::Rejections => "all the room that it is known to have is taken",
            })
        }
    }
}

/// Reports to the holder that an endpoint which bears few rejections rejected a request that had no loan.
pub(super) fn report_rejection<D: Dialect>(shared: &Shared<D>, choice: &Choice) {
    let limit = shared.limits.borrow().report(&choice.endpoint, LimitKind::Rejections, Moment::now());
    let Some(limit) = limit else { return };
    let hall = shared.hall_of(&choice.endpoint);
    shared.send_event(Event::ReturnLoan(LoanReturn { ticket: None, endpoint: limit.endpoint, hall, rejected: true }));
}

fn to_request<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    choice: &Choice,
    kind: LimitKind,
    now: Moment,
) -> Option<PermitRequest> {
    let limits = shared.limits.borrow();
    let limit = limits.report(&choice.endpoint, kind, now)?;
    let wanted = limits.wanted(&choice.endpoint, now);
    let span = match kind {
        LimitKind::Requests => Duration::ZERO,
        LimitKind::Rejections => call.deadline.saturating_duration_since(now),
    };
    Some(PermitRequest { limit, hall: shared.hall_of(&choice.endpoint), tier: call.route.tier, wanted, span })
}
