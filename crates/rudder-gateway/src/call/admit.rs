//! Admission: reads a request and checks its route, key and body against the configured limits.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header, request, uri::PathAndQuery};
use hyper::body::Incoming;
use rudder_clock::{Moment, timeout_at};
use rudder_events::What;
use rudder_model::content_tag;

use super::{
    Call, Progress, Refusal,
    hop::read_hop,
    refusal::{denied, not_run, unready},
    termination::{check_quarantine, to_hex},
};
use crate::{
    Dialect, Plan, Route,
    buffers::{BodyError, BodyKind, Disconnect, read_whole},
    contents::RequestTags,
    dialect::CallHead,
    placement::residency_of,
    returns::recognise,
    shared::Shared,
};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// How long a request waits for a proof that its route or key does not exist.
const DENIAL_PROOF_TIMEOUT: Duration = Duration::from_millis(400);

/// Finds the route of a request and the organisation that owns its key.
fn admit(plan: &Plan, head: &CallHead, host: &str, path: &str) -> Result<(Arc<Route>, Option<usize>), Refusal> {
    let Some(route) = plan.find(host, path) else {
        return Err(denied(StatusCode::NOT_FOUND, "no route serves this place"));
    };
    let holder = head.key.as_deref().and_then(|key| plan.organisation_number(key));
    if plan.organisations.is_some() && !route.open && holder.is_none() {
        return Err(denied(StatusCode::UNAUTHORIZED, "the key is not known"));
    }
    Ok((route.clone(), holder))
}

/// Reads a request and admits it under a plan that is fresh enough to deny it.
pub(super) async fn read<D: Dialect>(
    shared: &Shared<D>,
    arrived: Moment,
    mut parts: request::Parts,
    head: CallHead,
    body: Incoming,
) -> Result<Call, Refusal> {
    let hop = read_hop(shared, &mut parts)?;
    let retry_after = shared.recovery_time();
    let host = host_of(&parts);
    let path = parts.uri.path();
    let Some(mut plan) = shared.current_plan() else { return Err(unready("no configuration yet", retry_after)) };
    let mut admitted = admit(&plan, &head, &host, path);
    if admitted.is_err() && !shared.is_fresh(shared.options.max_denial_proof_age) {
        if !shared.wait_for_proof(arrived, DENIAL_PROOF_TIMEOUT).await {
            return Err(unready("the configuration may be old", retry_after));
        }
        plan = shared.current_plan().unwrap_or(plan);
        admitted = admit(&plan, &head, &host, path);
    }
    let (route, holder) = admitted?;
    let organisation = holder.and_then(|number| plan.organisations.as_ref()?.get(number));
    let allowed = head.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let deadline = arrived + allowed;
    let tier = organisation.and_then(|organisation| organisation.tier).unwrap_or(route.tier);
    let residency = residency_of(&route, organisation);
    let organisation = organisation.map(|organisation| organisation.name.clone());
    let body = read_body(shared, body, plan.limits.body, deadline).await?;
    let caller = organisation.as_deref().unwrap_or_default();
    let target = parts.uri.path_and_query().map_or(path, PathAndQuery::as_str);
    let content = content_tag(caller, parts.method.as_str(), &host, target, &body);
    let tags = RequestTags::new(content, head.model.as_deref(), head.prompt.as_ref());
    shared.log.write(What::CallTaken {
        request: head.id.clone(),
        route: route.name.clone(),
        org: organisation.clone(),
        content: to_hex(content),
        version: plan.version,
        proof_ms: shared.proof_age().unwrap_or_default().as_millis() as u64,
        left_ms: allowed.as_millis() as u64,
        via: hop.as_ref().map(|hop| hop.from.clone()),
    });
    check_quarantine(shared, &tags, &Progress::default())?;
    let mut headers = parts.headers;
    strip_hop_headers(&mut headers);
    let engine_rank = plan.engine_rank(&route, tier, D::RANKS);
    let mut call = Call {
        id: head.id,
        arrived,
        deadline,
        route,
        organisation,
        engine_rank,
        prompt: head.prompt,
        tags,
        residency,
        last_event: head.last_event,
        resumes: head.resumes,
        key: head.key,
        host,
        cut: parts.extensions.remove::<Disconnect>().unwrap_or_default(),
        returned: None,
        hop,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    };
    call.returned = recognise(shared, &call, head.deadline);
    Ok(call)
}

fn host_of(parts: &request::Parts) -> String {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

async fn read_body<D: Dialect>(
    shared: &Shared<D>,
    body: Incoming,
    limit: usize,
    deadline: Moment,
) -> Result<Bytes, Refusal> {
    match timeout_at(deadline, read_whole(&shared.buffers, body, limit, BodyKind::Request)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")),
        Ok(Err(BodyError::Broken)) => Err(denied(StatusCode::BAD_REQUEST, "the body cannot be read")),
        Ok(Err(BodyError::Full)) => Err(not_run("too much is held for others", shared.options.retry_after)),
        Err(_) => Err(denied(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}

/// Removes hop-by-hop headers.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let hop = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    for name in hop {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
