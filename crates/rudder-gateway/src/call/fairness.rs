//! Fair shares between organisations: records the work of requests, and refuses those of an organisation over its share.

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_events::What;
use rudder_route::shares::{Excess, Fate, WORK_UNIT};

use super::{Call, Progress, Refusal};
use crate::{
    Dialect,
    returns::capacity_refusal,
    shared::Shared,
    shares::{group_of, units_of},
};

/// `Retry-After` of a request refused for fairness: the work of its organisation expires in steps of a second.
const OVER_SHARE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Records the work of a request at a service. Work at services that are not contended isn't recorded.
pub(super) fn record_work<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    (service, level): (&Arc<str>, usize),
    fate: Fate,
) {
    let Some(prompt) = call.prompt.as_ref() else { return };
    if !shared.options.policy.contention.shares || !shared.is_contended(service) {
        return;
    }
    let (organisation, units) = (call.organisation.as_deref(), units_of(prompt));
    shared.shares.borrow_mut().record(organisation, group_of(service, level), units, fate, Moment::now());
}

/// Records that all endpoints a request was sent to refused it as full.
pub(super) fn record_bounced<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &Progress) {
    let Some(service) = &progress.service else { return };
    let Some(plan) = shared.current_plan().filter(|_| progress.possible_runs == 0) else { return };
    record_work(shared, call, (service, plan.level(&call.route, service)), Fate::Bounced);
}

/// Refuses a request whose organisation is over its share at all services of its route.
pub(super) fn check_share<D: Dialect>(shared: &Shared<D>, call: &Call) -> Result<(), Refusal> {
    let Some(plan) = shared.current_plan() else { return Ok(()) };
    let Some(organisation) = call.organisation.as_ref().filter(|_| call.prompt.is_some()) else { return Ok(()) };
    if !shared.options.policy.contention.shares {
        return Ok(());
    }
    let mut first: Option<(&Arc<str>, Excess)> = None;
    for share in &call.route.shares {
        if !shared.is_contended(&share.service) {
            return Ok(());
        }
        let group = group_of(&share.service, plan.level(&call.route, &share.service));
        let excess = shared.shares.borrow_mut().excess(organisation, group, Moment::now());
        let Some(excess) = excess else { return Ok(()) };
        first.get_or_insert((&share.service, excess));
    }
    let Some((service, excess)) = first else { return Ok(()) };
    for share in &call.route.shares {
        let level = plan.level(&call.route, &share.service);
        record_work(shared, call, (&share.service, level), Fate::Unfair);
    }
    shared.metrics.record_over_share();
    log_over_share(shared, call, (organisation, service), excess);
    let retry = OVER_SHARE_RETRY_AFTER.max(call.route.target);
    Err(capacity_refusal(shared, call, "its organisation is over its share", retry, Duration::ZERO))
}

fn log_over_share<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    (organisation, service): (&Arc<str>, &Arc<str>),
    excess: Excess,
) {
    let Excess { work, level, age } = excess;
    shared.log.write(What::CallOverShare {
        request: call.id.clone(),
        organisation: organisation.clone(),
        service: service.clone(),
        admitted: u64::from(work.admitted) * WORK_UNIT,
        refused: u64::from(work.refused) * WORK_UNIT,
        level: level as u64 * WORK_UNIT,
        others_ms: age.map(|_| shared.work_age().as_millis() as u64),
    });
}
