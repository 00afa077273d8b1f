//! Keeps a stream at the software version that began it, as events of two versions do not fit together.

use std::sync::Arc;

use rudder_core::{
    Event,
    origins::{Origin, StreamOrigin},
};
use rudder_events::What;
use rudder_model::id::stream_tag;

use super::{Call, Progress, Refusal, refusal::not_run};
use crate::{Dialect, choose::Choice, shared::Shared};

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
    if call.last_event.is_none() || !call.route.resumable || progress.version.is_some() {
        return Ok(());
    }
    let began = call.resumes.as_deref().unwrap_or(&call.id);
    if find_version(shared, call, progress, began).await {
        return Ok(());
    }
    Err(not_run(UNKNOWN_VERSION, shared.options.retry_after))
}

/// Finds the version that began the stream of the attempt `began`. Returns false if the stream must not go on.
pub async fn find_version<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, began: &str) -> bool {
    let first = call.route.shares.first().map(|share| &share.service);
    let Some(service) = progress.service.as_ref().or(first) else { return false };
    let (origin, evidence) = shared.ask_origin(stream_tag(began), service.clone()).await;
    shared.log.write(What::StreamTakenUp {
        request: call.id.clone(),
        began: began.to_owned(),
        version: match &origin {
            Origin::Version(version) => Some(version.clone()),
            Origin::Only | Origin::Unknown => None,
        },
        several: origin == Origin::Unknown,
        versions: evidence.versions,
        asked: evidence.asked,
        answered: evidence.answered,
        endpoints_ms: shared.endpoints_age().map(|age| age.as_millis() as u64),
    });
    shared.metrics.record_taken_up(&origin);
    match origin {
        Origin::Version(version) => progress.version = Some(version),
        Origin::Only => {}
        Origin::Unknown => return false,
    }
    true
}

/// Records the version of a stream whose first event is about to be passed on.
pub fn record_version<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, choice: &Choice) {
    if progress.version.is_some() || !call.route.resumable {
        return;
    }
    progress.version = Some(choice.version.clone());
    let (service, version): (Arc<str>, Arc<str>) = (choice.service.clone(), choice.version.clone());
    shared.send_event(Event::StreamBegun(StreamOrigin { stream: stream_tag(&call.id), service, version }));
}
