//! Transfers of large messages in pieces that the receiver pulls, so that small messages pass between them.
//!
//! A sender offers a large message by the digest of its encoding. The receiver pulls one piece after the other and
//! handles the message once it is complete. An offer that is repeated, also by another instance, changes nothing: a
//! message is never under way twice to one receiver, and a transfer that broke off continues where it stopped.
//!
//! Pieces are sent at a bounded rate and to few receivers at a time ([`outgoing`]). Further receivers are directed to
//! instances that hold the message already, so that the time until all hold it grows with the logarithm of their number.

mod incoming;
mod outgoing;

use std::{sync::Arc, time::Duration};

use rudder_model::InstanceId;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::xxh3_64;

use self::{incoming::Incoming, outgoing::Outgoing};
use crate::{Effect, PeerMessage};

/// A message whose encoding may exceed this is transferred in pieces of this size.
pub const PIECE_BYTES: usize = 16 << 10;

/// Identifies a message by the digest of its encoding.
pub type BlobId = u64;

/// A message of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transfer {
    /// The sender has a message for the receiver.
    Offer {
        /// The message.
        id: BlobId,
        /// Bytes of its encoding.
        size: usize,
        /// It is a document update, of which one at a time is pulled.
        document: bool,
    },
    /// Asks for the piece at `offset`.
    Pull {
        /// The message.
        id: BlobId,
        /// Bytes that the sender of this holds.
        offset: usize,
    },
    /// A piece.
    Piece {
        /// The message.
        id: BlobId,
        /// Where the piece begins.
        offset: usize,
        /// Its bytes.
        bytes: ByteBuf,
    },
    /// Names another instance that holds the message.
    HeldBy {
        /// The message.
        id: BlobId,
        /// The other instance.
        holder: InstanceId,
    },
    /// The sender does not hold the message.
    NotHeld {
        /// The message.
        id: BlobId,
    },
}

/// The transfers of an instance in both directions.
#[derive(Debug)]
pub(crate) struct Transfers {
    incoming: Incoming,
    outgoing: Outgoing,
}

impl Transfers {
    /// Creates the transfers of an instance that sends at most `rate` bytes of pieces a second.
    pub(crate) fn new(rate: u64) -> Transfers {
        Transfers { incoming: Incoming::default(), outgoing: Outgoing::new(rate) }
    }

    /// Returns what is sent in place of a message: the message itself, or an offer if it is large.
    pub(crate) fn prepare(&mut self, now: Duration, message: PeerMessage) -> PeerMessage {
        if message.bulk_size() <= PIECE_BYTES {
            return message;
        }
        let document = matches!(message, PeerMessage::Document(_));
        let bytes = rmp_serde::to_vec(&message).expect("messages are serializable");
        let (id, size) = (xxh3_64(&bytes), bytes.len());
        self.outgoing.hold(now, id, || bytes.into());
        PeerMessage::Transfer(Transfer::Offer { id, size, document })
    }

    /// Handles a message of a transfer. Returns a message that is now complete, and the instance that offered it.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        from: &InstanceId,
        transfer: Transfer,
        out: &mut Vec<Effect>,
    ) -> Option<(InstanceId, PeerMessage)> {
        match transfer {
            Transfer::Offer { id, size, document } => match self.outgoing.get(now, id) {
                Some(bytes) => return decode(&bytes).map(|message| (from.clone(), message)),
                None => self.incoming.on_offer(now, from, (id, size, document), out),
            },
            Transfer::Pull { id, offset } => self.outgoing.on_pull(now, from, id, offset, out),
            Transfer::Piece { id, offset, bytes } => {
                let (offerer, bytes) = self.incoming.on_piece(now, from, id, offset, &bytes, out)?;
                let bytes: Arc<[u8]> = bytes.into();
                self.outgoing.hold(now, id, || bytes.clone());
                return decode(&bytes).map(|message| (offerer, message));
            }
            Transfer::HeldBy { id, holder } => self.incoming.on_held_by(now, from, id, holder, out),
            Transfer::NotHeld { id } => self.incoming.on_not_held(now, from, id, out),
        }
        None
    }

    /// Advances time.
    pub(crate) fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.incoming.tick(now, out);
        self.outgoing.tick(now, out);
    }
}

/// Decodes a complete message. One that holds a transfer itself is invalid.
fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    rmp_serde::from_slice(bytes).ok().filter(|message| !matches!(message, PeerMessage::Transfer(_)))
}

fn send(to: &InstanceId, transfer: Transfer, out: &mut Vec<Effect>) {
    out.push(Effect::Send { to: to.clone(), message: PeerMessage::Transfer(transfer) });
}
