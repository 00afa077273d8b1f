//! Keeps a stream at the software version that began it, as events of two versions do not fit together.

use std::sync::Arc;

use rudder_core::{
    Event,
    origins::{Origin, StreamOrigin, StreamRoute},
};
use rudder_events::What;
use rudder_ledger::Software;
use rudder_model::{EndpointId, id};

use super::{Call, Progress, Refusal, refusal::not_run};
use crate::{Dialect, RouteKind, choose::Choice, shared::Shared};

/// The reason of a refusal if a stream was begun by one of several versions, and nobody knows by which.
const UNKNOWN_VERSION: &str = "the version that began the stream is not known";

/// Finds the version of a stream that a caller takes up, before it is sent anywhere.
///
/// # Errors
/// Refuses the request if several versions may have begun the stream.
pub(super) async fn check_taken_up<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
) -> Result<(), Refusal> {
    if call.last_event.is_none() || !call.route.resumable || progress.software.is_some() {
        return Ok(());
    }
    if find_version(shared, call, progress).await {
        return Ok(());
    }
    Err(not_run(UNKNOWN_VERSION, shared.options.retry_after))
}

/// Finds the version that began the stream of a call. Returns false if the stream must not go on.
pub async fn find_version<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress) -> bool {
    let route = stream_route(shared, call);
    let (origin, evidence) = shared.ask_origin(id::stream_tag(call.stream_id()), route).await;
    shared.metrics.record_taken_up(&origin);
    progress.software = match origin {
        Origin::Known(software) | Origin::Only(software) => Some(software),
        Origin::Unknown => None,
    };
    shared.log.write(What::StreamTakenUp {
        request: call.id.clone(),
        began: call.stream_id().to_owned(),
        version: progress.software.as_ref().map(|software| software.version.clone()),
        several: progress.software.is_none(),
        versions: evidence.versions,
        current: evidence.current,
        asked: evidence.asked,
        answered: evidence.answered,
        endpoints_ms: shared.endpoints_age().map(|age| age.as_millis() as u64),
    });
    progress.software.is_some()
}

/// Keeps a stream for another instance at the version that `choice` has, and returns it. The other instance is told once, with
/// the head of the answer.
pub fn bind_version(call: &Call, progress: &mut Progress, choice: &Choice) -> Option<Software> {
    if call.hop.is_none() || !call.route.resumable {
        return None;
    }
    Some(progress.software.get_or_insert_with(|| choice.software()).clone())
}

/// Records the version of a stream whose first event is about to be passed on to its caller. A stream for another instance is
/// recorded there: its events may be lost on the way, after which it begins anew. `endpoint` is the one that this instance asked.
pub fn record_version<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    software: Software,
    endpoint: Option<&EndpointId>,
) {
    if progress.software.is_some() || !call.route.resumable {
        return;
    }
    progress.software = Some(software.clone());
    if call.hop.is_some() {
        return;
    }
    let origin = StreamOrigin { stream: id::stream_tag(call.stream_id()), software: Some(software) };
    let route = stream_route(shared, call);
    shared.send_event(Event::StreamBegun { origin, route, endpoint: endpoint.cloned() });
}

/// Returns what may have begun the stream of a call. A route with a longer prefix may have been added since, so all routes
/// that match the call count.
fn stream_route<D: Dialect>(shared: &Shared<D>, call: &Call) -> Arc<StreamRoute> {
    let (host, path) = (&*call.host, call.uri.path());
    let plan = shared.current_plan();
    let matching =
        plan.iter().flat_map(|plan| plan.matching(host, path)).filter(|route| route.kind == RouteKind::Stream);
    let mut services: Vec<Arc<str>> = Vec::new();
    for share in matching.chain([&call.route]).flat_map(|route| &route.shares) {
        if !services.contains(&share.service) {
            services.push(share.service.clone());
        }
    }
    Arc::new(StreamRoute { services, places: id::place_tags(host, path).collect() })
}
