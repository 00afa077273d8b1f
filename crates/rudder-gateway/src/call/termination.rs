//! Endpoints that terminate while they serve a request, and the quarantine of the contents involved.

use rudder_clock::Moment;
use rudder_core::Event;
use rudder_events::What;
use rudder_model::ContentTag;

use super::{Call, Progress, Refusal, refusal::no_retry};
use crate::{Dialect, choose::Choice, contents::RequestTags, link_probe, shared::Shared, upstream};

/// A request is not retried once this many endpoints have terminated while serving its content.
const MAX_TERMINATED_ENDPOINTS: usize = 2;

/// Whole events after which a stream's parts are not suspected of the end of its endpoint: a part that ends endpoints does
/// so when they begin to write.
const MAX_SUSPECT_EVENTS: u64 = 1;

/// Checks whether the endpoint whose connection broke during `call`, after `events` whole events, has terminated, and
/// records it if so.
pub async fn record_if_terminated<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    choice: &Choice,
    events: u64,
) -> bool {
    let tags = if events <= MAX_SUSPECT_EVENTS { call.tags.clone() } else { call.tags.without_parts() };
    if !shared.is_replaced(&choice.endpoint) && !has_terminated(shared, choice).await {
        shared.contents.borrow_mut().note_broken(tags, &choice.endpoint);
        return false;
    }
    progress.terminated_endpoints += 1;
    shared.metrics.record_ended_under();
    shared.log.write(What::EndedUnder {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        content: to_hex(call.tags.content),
        parts: tags.parts.iter().copied().map(to_hex).collect(),
    });
    let findings = shared.contents.borrow().note_ended(&tags, &choice.endpoint, Moment::now());
    if let Some(findings) = findings {
        shared.send_event(Event::Findings(findings));
    }
    true
}

/// Whether an endpoint refuses connections, so that no process listens there, while others can be reached: an instance
/// whose links are lost is refused by all.
async fn has_terminated<D: Dialect>(shared: &Shared<D>, choice: &Choice) -> bool {
    let broke = Moment::now();
    let origin = shared.options.listeners.origin();
    upstream::refuses_connections(origin, &choice.address).await
        && link_probe::reaches_another(shared, &choice.endpoint, broke).await
}

/// Whether the close of its connection is the end of an answer whose end nothing else marks. A process that is killed closes
/// its connections in order too, so the close is an end only if the endpoint goes on; other endpoints tell nothing of that.
pub async fn confirms_end<D: Dialect>(shared: &Shared<D>, choice: &Choice) -> bool {
    let origin = shared.options.listeners.origin();
    !shared.is_replaced(&choice.endpoint) && upstream::keeps_connections(origin, &choice.address).await
}

/// Records that an endpoint answered a request completely, and reports it if endpoints terminated while serving its
/// content.
pub fn record_answered<D: Dialect>(shared: &Shared<D>, call: &Call) {
    let findings = shared.contents.borrow_mut().note_answered(&call.tags, Moment::now());
    if let Some(findings) = findings {
        shared.send_event(Event::Findings(findings));
    }
}

/// Returns true if too many endpoints have terminated while serving the content of `call` to retry it.
pub(super) fn is_content_suspect<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &Progress) -> bool {
    if !shared.options.policy.guard.quarantine {
        return false;
    }
    shared.contents.borrow().ended_count(&call.tags).max(progress.terminated_endpoints) >= MAX_TERMINATED_ENDPOINTS
}

/// Refuses a request whose content, or a part of whose prompt, is in quarantine.
pub(super) fn check_quarantine<D: Dialect>(
    shared: &Shared<D>,
    tags: &RequestTags,
    progress: &Progress,
) -> Result<(), Refusal> {
    if !shared.options.policy.guard.quarantine {
        return Ok(());
    }
    let Some(left) = shared.contents.borrow().refused_for(tags, Moment::now()) else { return Ok(()) };
    let refusal = no_retry(progress, "endpoints have ended under it", left);
    Err(Refusal { instance_bound: false, ..refusal })
}

/// Formats a content tag for logs.
pub fn to_hex(content: ContentTag) -> String {
    format!("{content:016x}")
}
