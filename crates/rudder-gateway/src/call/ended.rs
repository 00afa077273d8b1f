//! Whether an endpoint ended while a request was under way there, or only broke its connection off.

use rudder_events::What;
use rudder_model::ContentTag;

use super::Call;
use crate::{Dialect, choose::Choice, shared::Shared, upstream};

/// Looks whether the endpoint whose connection broke off under `call` has ended, and takes it in if so.
pub async fn note_if_ended<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> bool {
    if !upstream::has_ended(&choice.address).await {
        return false;
    }
    shared.log.write(What::EndedUnder {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        content: to_hex(call.content),
    });
    true
}

/// A content as it stands in logs.
pub(super) fn to_hex(content: ContentTag) -> String {
    format!("{content:016x}")
}
