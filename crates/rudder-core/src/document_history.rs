//! Recent versions of the configuration document, from which patches to the newest are made.

use std::collections::VecDeque;

use rudder_ledger::{Document, Patch};

use crate::peer::DocumentUpdate;

/// Versions kept, as changes may come faster than they reach all instances.
const MAX_VERSIONS: usize = 4;
/// Bytes of all versions above which only the newest is kept.
const MAX_OLD_BYTES: usize = 1 << 20;
/// A patch is sent if it is smaller than the document by at least this factor.
const MIN_SIZE_RATIO: usize = 2;

/// The newest versions, oldest first.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    documents: VecDeque<Document>,
    /// The last patch and its size; many instances need the same one in sequence.
    patch: Option<(Patch, usize)>,
}

impl DocumentHistory {
    /// Records the newest document.
    pub fn record(&mut self, newest: &Document) {
        if self.documents.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.documents.push_back(newest.clone());
        self.patch = None;
        let bytes = |documents: &VecDeque<Document>| documents.iter().map(|held| held.body.len()).sum::<usize>();
        while self.documents.len() > MAX_VERSIONS
            || (self.documents.len() > 1 && bytes(&self.documents) > MAX_OLD_BYTES)
        {
            self.documents.pop_front();
        }
    }

    /// The update that brings the holder of version `held` to `newest`: a patch, or the whole document.
    pub fn to_news(&mut self, held: u64, newest: &Document) -> DocumentUpdate {
        match self.patch_from(held, newest) {
            Some(patch) => DocumentUpdate::Patch(patch),
            None => DocumentUpdate::Whole(newest.clone()),
        }
    }

    fn patch_from(&mut self, held: u64, newest: &Document) -> Option<Patch> {
        let fits = |patch: &Patch| patch.base == held && patch.version == newest.version;
        if self.patch.as_ref().is_none_or(|(patch, _)| !fits(patch)) {
            let older = self.documents.iter().find(|document| document.version == held)?;
            let patch = Patch::between(older, newest);
            let size = patch.size();
            self.patch = Some((patch, size));
        }
        let (patch, size) = self.patch.as_ref()?;
        (size * MIN_SIZE_RATIO <= newest.body.len()).then(|| patch.clone())
    }
}
