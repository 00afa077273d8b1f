//! Admission: checks that a call passes before a pool is asked for a slot.

use rudder_model::{ClassId, Kind, ModelId, OrgId, Ran, Refusal, RefusalCode};

use super::{Call, Context, Phase};
use crate::{
    Arrival, Options,
    reach::{self, PoolId},
    view::View,
};

/// Checks a call and looks up its class, organisation and pools.
pub(super) fn admit(context: &Context, arrival: Arrival) -> Result<Call, Refusal> {
    if !context.is_fresh() {
        return Err(stale(context.options));
    }
    let config = &context.view.config;
    let Some(org) = context.view.org_of_key(&arrival.bearer) else {
        return Err(Refusal::not_run(RefusalCode::WrongKey, "no organisation has this key", None));
    };
    let Some(class_id) = arrival.class.clone().or_else(|| reach::default_class(config, &org)) else {
        let text = "name a class in the header X-Class; no selector assigns one";
        return Err(Refusal::not_run(RefusalCode::UnknownClass, text, None));
    };
    let Some(class) = reach::class(config, &class_id).cloned() else {
        return Err(Refusal::not_run(RefusalCode::UnknownClass, format!("there is no class {class_id}"), None));
    };
    if !reach::is_served(config, &arrival.model) {
        let text = format!("no endpoint serves {}", arrival.model);
        return Err(Refusal::not_run(RefusalCode::UnknownModel, text, None));
    }
    if class.once && arrival.key.is_none() {
        let text = format!("calls of class {class_id} need the header Idempotency-Key");
        return Err(Refusal::not_run(RefusalCode::KeyMissing, text, None));
    }
    let pools = to_pools(context, &class_id, &org, &arrival);
    if pools.is_empty() {
        let text = format!("no selector lets class {class_id} of {org} reach {}", arrival.model);
        return Err(Refusal::not_run(RefusalCode::NotAllowed, text, None));
    }
    let patience = arrival.patience.map_or(class.patience, |requested| requested.min(class.patience));
    Ok(Call {
        arrived: context.now,
        deadline: context.now + patience,
        phase: Phase::Claiming { next: context.now },
        attempt: None,
        pools,
        pool_index: 0,
        dispatches: 0,
        produced: 0,
        first_output: None,
        ran: Ran::No,
        recalled: false,
        arrival,
        class_id,
        class,
        org,
    })
}

/// The pools to try, nearest hall first.
fn to_pools(context: &Context, class: &ClassId, org: &OrgId, arrival: &Arrival) -> Vec<PoolId> {
    let reached = reach::endpoints(&context.view.config, class, org, &arrival.model);
    let mut pools: Vec<PoolId> = reached.into_iter().map(|(pool, _)| pool).collect();
    let nearest = &context.options.nearest;
    let distance = |pool: &PoolId| nearest.iter().position(|hall| *hall == pool.0).unwrap_or(nearest.len());
    pools.sort_by_key(|pool| (distance(pool), pool.clone()));
    pools.dedup();
    pools
}

/// The refusal for an instance whose configuration may be stale.
pub(crate) fn stale(options: &Options) -> Refusal {
    let text = "this instance cannot prove that its configuration is fresh; use another entry";
    Refusal::not_run(RefusalCode::Stale, text, Some(options.watch_interval * 2))
}

/// Models and services that the organisation of an API key reaches in any class; `None` for an unknown key.
pub fn reachable_models(view: &View, bearer: &str) -> Option<Vec<ModelId>> {
    let config = &view.config;
    let org = view.org_of_key(bearer)?;
    let classes: Vec<ClassId> = config.iter_kind(Kind::Class).map(|(name, _)| ClassId::from(name)).collect();
    let served = reach::iter_endpoints(config).flat_map(|(_, endpoint)| endpoint.serves.iter().cloned());
    let models: std::collections::BTreeSet<ModelId> = served.collect();
    let reaches =
        |model: &ModelId| classes.iter().any(|class| !reach::endpoints(config, class, &org, model).is_empty());
    Some(models.into_iter().filter(reaches).collect())
}
