//! Versions of the configuration document that askers may still hold, and the patches from them to the newest.

use std::collections::VecDeque;

use rudder_ledger::{Document, Patch};

use crate::peer::DocumentUpdate;

/// Versions kept: changes may follow each other faster than all have learned of them.
const KEPT: usize = 4;
/// Bytes of all versions kept, but for the newest.
const KEPT_BYTES: usize = 1 << 20;
/// A patch is sent where it is at most this part of the whole.
const WORTH: usize = 2;

/// The newest versions, oldest first.
#[derive(Debug, Default)]
pub struct DocumentHistory {
    documents: VecDeque<Document>,
    /// The patch that was asked for last: many ask for the same one after the other.
    patch: Option<(Patch, usize)>,
}

impl DocumentHistory {
    /// Records which document is the newest.
    pub fn record(&mut self, newest: &Document) {
        if self.documents.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.documents.push_back(newest.clone());
        self.patch = None;
        let bytes = |documents: &VecDeque<Document>| documents.iter().map(|held| held.body.len()).sum::<usize>();
        while self.documents.len() > KEPT || (self.documents.len() > 1 && bytes(&self.documents) > KEPT_BYTES) {
            self.documents.pop_front();
        }
    }

    /// What the holder of version `held` is sent to hold `newest`.
    pub fn to_news(&mut self, held: u64, newest: &Document) -> DocumentUpdate {
        match self.patch_from(held, newest) {
            Some(patch) => DocumentUpdate::Patch(patch),
            None => DocumentUpdate::Whole(newest.clone()),
        }
    }

    fn patch_from(&mut self, held: u64, newest: &Document) -> Option<Patch> {
        let made = |patch: &Patch| patch.base == held && patch.version == newest.version;
        if self.patch.as_ref().is_none_or(|(patch, _)| !made(patch)) {
            let older = self.documents.iter().find(|document| document.version == held)?;
            let patch = Patch::between(older, newest);
            let size = patch.size();
            self.patch = Some((patch, size));
        }
        let (patch, size) = self.patch.as_ref()?;
        (size * WORTH <= newest.body.len()).then(|| patch.clone())
    }
}
