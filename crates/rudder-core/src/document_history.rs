//! Recent versions of the configuration document, from which patches to the newest are made.

use std::{collections::VecDeque, sync::Arc};

use rudder_ledger::{Document, Patch, document::Body};
use rudder_model::ShareTag;

use crate::peer::{DocumentUpdate, PackedUpdate};

/// Versions kept, as changes may come faster than they reach all instances.
const MAX_VERSIONS: usize = 16;
/// Encoded bytes of all versions above which only the newest and the one before are kept.
const MAX_OLD_BYTES: usize = 2 << 20;
/// A patch is sent if it is smaller than the document by at least this factor.
const MIN_SIZE_RATIO: usize = 2;
/// An update of up to this size is part of a reply.
const MAX_SMALL_BYTES: usize = 4 << 10;
/// Large updates kept in their encoded form, as many instances need the same one in sequence.
const MAX_PACKED: usize = 4;

/// An update of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// One that fits into a reply.
    Small(DocumentUpdate),
    /// One that is sent apart.
    Large(PackedUpdate),
}

/// A version in its encoded form, which takes less memory.
#[derive(Debug)]
struct Version {
    number: u64,
    encoded: Vec<u8>,
    shares: Arc<[ShareTag]>,
}

impl Version {
    fn to_document(&self) -> Option<Document> {
        let body = Body::from_encoded(self.encoded.clone()).ok()?;
        Some(Document { version: self.number, body: body.into(), shares: self.shares.clone() })
    }
}

/// The newest versions, oldest first.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    versions: VecDeque<Version>,
    /// Recent updates to the newest version, by the version that they start from.
    updates: VecDeque<(u64, Update)>,
}

impl DocumentHistory {
    /// Records the newest document.
    pub fn record(&mut self, newest: &Document) {
        if self.versions.back().is_some_and(|last| last.number >= newest.version) {
            return;
        }
        let (encoded, shares) = (newest.body.encoded().to_vec(), newest.shares.clone());
        self.versions.push_back(Version { number: newest.version, encoded, shares });
        self.updates.clear();
        let bytes = |versions: &VecDeque<Version>| versions.iter().map(|held| held.encoded.len()).sum::<usize>();
        while self.versions.len() > MAX_VERSIONS || (self.versions.len() > 2 && bytes(&self.versions) > MAX_OLD_BYTES) {
            self.versions.pop_front();
        }
    }

    /// Returns the update that brings the holder of version `held` to `newest`: a patch, or the whole document.
    pub fn update_from(&mut self, held: u64, newest: &Document) -> Update {
        if let Some((_, update)) = self.updates.iter().find(|(base, _)| *base == held) {
            return update.clone();
        }
        let update = match self.patch_from(held, newest) {
            Some(patch) => DocumentUpdate::Patch(patch),
            None => DocumentUpdate::Whole(newest.clone()),
        };
        let update = if update.size() <= MAX_SMALL_BYTES {
            Update::Small(update)
        } else {
            Update::Large(PackedUpdate::new(&update))
        };
        self.updates.truncate(MAX_PACKED - 1);
        self.updates.push_front((held, update.clone()));
        update
    }

    fn patch_from(&self, held: u64, newest: &Document) -> Option<Patch> {
        let older = self.versions.iter().find(|version| version.number == held)?.to_document()?;
        let patch = Patch::between(&older, newest);
        (patch.size() * MIN_SIZE_RATIO <= newest.body.len()).then_some(patch)
    }
}
