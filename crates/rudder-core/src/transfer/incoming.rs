//! Messages that this instance pulls.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use super::{BlobId, Transfer, send};
use crate::Effect;

/// Time without a piece after which it is asked for again.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of requests without a piece after which a message is given up.
const MAX_ATTEMPTS: u32 = 10;
/// Largest message.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Maximum number of messages pulled at a time.
const MAX_PULLS: usize = 16;

/// A message that is not complete.
#[derive(Debug)]
struct Pull {
    /// Who offered it; the latest one.
    offerer: InstanceId,
    /// Whom the next piece is asked of.
    holder: InstanceId,
    size: usize,
    document: bool,
    bytes: Vec<u8>,
    asked_at: Duration,
    /// Requests since the last piece.
    attempts: u32,
}

impl Pull {
    fn ask(&mut self, now: Duration, id: BlobId, out: &mut Vec<Effect>) {
        self.asked_at = now;
        self.attempts += 1;
        send(&self.holder, Transfer::Pull { id, offset: self.bytes.len() }, out);
    }
}

/// The messages that are pulled, by their digests.
#[derive(Debug, Default)]
pub(super) struct Incoming {
    pulls: BTreeMap<BlobId, Pull>,
}

impl Incoming {
    /// Begins to pull an offered message, unless it is under way. Of documents one at a time is pulled: the next update
    /// starts from it.
    pub(super) fn on_offer(
        &mut self,
        now: Duration,
        from: &InstanceId,
        (id, size, document): (BlobId, usize, bool),
        out: &mut Vec<Effect>,
    ) {
        if let Some(pull) = self.pulls.get_mut(&id) {
            pull.offerer = from.clone();
            return;
        }
        if document {
            // The instance that offered the other one may have ended.
            self.pulls.retain(|_, pull| !pull.document || pull.attempts <= 1);
        }
        let is_blocked = document && self.pulls.values().any(|pull| pull.document);
        if is_blocked || size > MAX_MESSAGE_BYTES || self.pulls.len() >= MAX_PULLS {
            return;
        }
        let (offerer, holder) = (from.clone(), from.clone());
        let mut pull = Pull { offerer, holder, size, document, bytes: Vec::new(), asked_at: now, attempts: 0 };
        pull.ask(now, id, out);
        self.pulls.insert(id, pull);
    }

    /// Appends a piece and asks for the next one. Returns the bytes of a message that is complete, and who offered it.
    pub(super) fn on_piece(
        &mut self,
        now: Duration,
        from: &InstanceId,
        id: BlobId,
        offset: usize,
        piece: &[u8],
        out: &mut Vec<Effect>,
    ) -> Option<(InstanceId, Vec<u8>)> {
        let pull = self.pulls.get_mut(&id)?;
        let fits = offset == pull.bytes.len() && offset + piece.len() <= pull.size && !piece.is_empty();
        if !fits {
            return None;
        }
        pull.bytes.extend_from_slice(piece);
        pull.attempts = 0;
        pull.holder = from.clone();
        if pull.bytes.len() < pull.size {
            pull.ask(now, id, out);
            return None;
        }
        let pull = self.pulls.remove(&id)?;
        (xxh3_64(&pull.bytes) == id).then_some((pull.offerer, pull.bytes))
    }

    /// Turns to another holder that the present one has named.
    pub(super) fn on_held_by(
        &mut self,
        now: Duration,
        from: &InstanceId,
        id: BlobId,
        holder: InstanceId,
        out: &mut Vec<Effect>,
    ) {
        let Some(pull) = self.pulls.get_mut(&id).filter(|pull| pull.holder == *from) else { return };
        pull.holder = holder;
        pull.ask(now, id, out);
    }

    /// Turns back to the instance that offered the message, or gives it up if it is that one.
    pub(super) fn on_not_held(&mut self, now: Duration, from: &InstanceId, id: BlobId, out: &mut Vec<Effect>) {
        let Some(pull) = self.pulls.get_mut(&id).filter(|pull| pull.holder == *from) else { return };
        if pull.offerer == *from {
            self.pulls.remove(&id);
            return;
        }
        pull.holder = pull.offerer.clone();
        pull.ask(now, id, out);
    }

    /// Asks again for pieces that do not come.
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.pulls.retain(|_, pull| pull.attempts < MAX_ATTEMPTS || now < pull.asked_at + PULL_TIMEOUT);
        for (id, pull) in &mut self.pulls {
            if now < pull.asked_at + PULL_TIMEOUT {
                continue;
            }
            pull.holder = pull.offerer.clone();
            pull.ask(now, *id, out);
        }
    }
}
