//! A whole configuration under a version that only rises, beside the numbered objects.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// One whole configuration. Its body is opaque here: who sends it has checked it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version; the highest one holds.
    pub version: u64,
    /// Its content, as it was sent.
    pub body: Arc<ByteBuf>,
}

impl Document {
    /// A document of `version` with `body`.
    pub fn new(version: u64, body: Vec<u8>) -> Document {
        Document { version, body: Arc::new(ByteBuf::from(body)) }
    }
}

/// True when `version` is above what is held.
pub fn is_newer(held: Option<&Document>, version: u64) -> bool {
    held.is_none_or(|held| version > held.version)
}
