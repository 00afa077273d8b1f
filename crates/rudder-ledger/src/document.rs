//! A whole configuration under a version that only rises, beside the numbered objects.

use std::{
    ops::Deref,
    sync::{Arc, OnceLock},
};

use rudder_model::ShareTag;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use serde_bytes::ByteBuf;

use crate::packing;

/// One whole configuration. Its body is opaque here: who sends it has checked it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version; the highest one holds.
    pub version: u64,
    /// Its content, as it was sent.
    pub body: Arc<Body>,
    /// The services of its routes for streams, by place, in ascending order (see [`rudder_model::id::share_tag`]).
    #[serde(default)]
    pub shares: Arc<[ShareTag]>,
}

impl Document {
    /// A document of `version` with `body`, without routes for streams.
    pub fn new(version: u64, body: Vec<u8>) -> Document {
        Document::with_shares(version, body, Vec::new())
    }

    /// The same with the services of its routes for streams, in any order.
    pub fn with_shares(version: u64, body: Vec<u8>, mut shares: Vec<ShareTag>) -> Document {
        shares.sort_unstable();
        shares.dedup();
        Document { version, body: Arc::new(Body::from(body)), shares: shares.into() }
    }
}

/// The content of a document. It is encoded in packed form where that is smaller.
#[derive(Clone, Debug, Default)]
pub struct Body {
    bytes: Vec<u8>,
    /// The packed form, once it is needed; `None` in it if there is none.
    packed: OnceLock<Option<Vec<u8>>>,
}

impl Body {
    /// Decodes a body from its encoded form.
    ///
    /// # Errors
    /// Fails if it is packed and damaged.
    pub fn from_encoded(encoded: Vec<u8>) -> Result<Body, packing::Error> {
        if !packing::is_packed(&encoded) {
            return Ok(Body::from(encoded));
        }
        let bytes = packing::unpack(&encoded)?;
        Ok(Body { bytes, packed: OnceLock::from(Some(encoded)) })
    }

    /// Returns the encoded form: the packed one, or else the content itself.
    pub fn encoded(&self) -> &[u8] {
        self.packed.get_or_init(|| packing::pack(&self.bytes)).as_deref().unwrap_or(&self.bytes)
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Body {
        Body { bytes, packed: OnceLock::new() }
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Body) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Body {}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.encoded())
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Body, D::Error> {
        Body::from_encoded(ByteBuf::deserialize(deserializer)?.into_vec()).map_err(D::Error::custom)
    }
}

/// True when `version` is above what is held.
pub fn is_newer(held: Option<&Document>, version: u64) -> bool {
    held.is_none_or(|held| version > held.version)
}
