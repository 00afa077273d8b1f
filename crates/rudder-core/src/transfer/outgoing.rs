//! Messages that this instance holds for others, sent in pieces at a bounded rate.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use rudder_model::InstanceId;
use serde_bytes::ByteBuf;

use super::{BlobId, PIECE_BYTES, Transfer, send};
use crate::{Effect, pacer::Pacer};

/// Time since its last use after which a message is dropped.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Bytes of all messages above which the ones that were unused longest are dropped.
const MAX_HELD_BYTES: usize = 12 << 20;
/// Maximum number of receivers served at a time, so that each is done soon and can serve others.
const MAX_RECEIVERS: usize = 2;
/// Maximum number of receivers directed to one of the other holders.
const MAX_DIRECTED: u32 = 2;
/// Time without a request after which a receiver no longer counts as being served.
const RECEIVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the rate may be saved up; longer than the interval between ticks.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Another instance that holds a message.
#[derive(Debug)]
struct Holder {
    name: InstanceId,
    /// Receivers that were directed to it.
    directed: u32,
}

/// A message that is held for others.
#[derive(Debug)]
struct Held {
    bytes: Arc<[u8]>,
    used_at: Duration,
    holders: Vec<Holder>,
}

/// A request for a piece.
#[derive(Debug)]
struct Request {
    from: InstanceId,
    id: BlobId,
    offset: usize,
    at: Duration,
}

/// The messages held for others and the requests for them.
#[derive(Debug)]
pub(super) struct Outgoing {
    held: BTreeMap<BlobId, Held>,
    /// Requests of the receivers that are being served; `due` ones wait only for the rate.
    served: Vec<Served>,
    /// Requests of receivers that wait for their turn.
    waiting: VecDeque<Request>,
    pacer: Pacer,
}

/// A receiver that is being served.
#[derive(Debug)]
struct Served {
    request: Request,
    /// The request is not answered yet.
    due: bool,
}

impl Outgoing {
    pub(super) fn new(rate: u64) -> Outgoing {
        Outgoing {
            held: BTreeMap::new(),
            served: Vec::new(),
            waiting: VecDeque::new(),
            pacer: Pacer::new(rate, BURST_TIME),
        }
    }

    /// Holds a message for others.
    pub(super) fn hold(&mut self, now: Duration, id: BlobId, bytes: impl FnOnce() -> Arc<[u8]>) {
        let held = self.held.entry(id).or_insert_with(|| Held { bytes: bytes(), used_at: now, holders: Vec::new() });
        held.used_at = now;
        while self.held.len() > 1 && self.held.values().map(|held| held.bytes.len()).sum::<usize>() > MAX_HELD_BYTES {
            let oldest = self.held.iter().filter(|(held, _)| **held != id).min_by_key(|(_, held)| held.used_at);
            let Some(oldest) = oldest.map(|(oldest, _)| *oldest) else { return };
            self.held.remove(&oldest);
        }
    }

    /// Returns the bytes of a message, if it is held.
    pub(super) fn get(&mut self, now: Duration, id: BlobId) -> Option<Arc<[u8]>> {
        let held = self.held.get_mut(&id)?;
        held.used_at = now;
        Some(held.bytes.clone())
    }

    /// Handles a request for a piece.
    pub(super) fn on_pull(
        &mut self,
        now: Duration,
        from: &InstanceId,
        id: BlobId,
        offset: usize,
        out: &mut Vec<Effect>,
    ) {
        let Some(held) = self.held.get_mut(&id).filter(|held| offset < held.bytes.len()) else {
            send(from, Transfer::NotHeld { id }, out);
            return;
        };
        held.used_at = now;
        let request = Request { from: from.clone(), id, offset, at: now };
        let known = |other: &Request| other.from == *from && other.id == id;
        if let Some(served) = self.served.iter_mut().find(|served| known(&served.request)) {
            *served = Served { request, due: true };
        } else if let Some(waiting) = self.waiting.iter_mut().find(|waiting| known(waiting)) {
            *waiting = request;
        } else {
            self.waiting.push_back(request);
        }
        self.serve(now, out);
    }

    /// Advances time.
    pub(super) fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.served.retain(|served| served.due || now < served.request.at + RECEIVER_TIMEOUT);
        let waited = RECEIVER_TIMEOUT * 4;
        self.waiting.retain(|request| now < request.at + waited);
        self.held.retain(|_, held| now < held.used_at + HOLD_TIME);
        self.serve(now, out);
    }

    /// Admits receivers and sends the pieces that the rate allows.
    fn serve(&mut self, now: Duration, out: &mut Vec<Effect>) {
        loop {
            self.admit(out);
            if self.pacer.wait(now) > Duration::ZERO {
                return;
            }
            let Some(position) = self.served.iter().position(|served| served.due) else { return };
            self.send_piece(now, position, out);
        }
    }

    /// Directs waiting receivers to other holders, and begins to serve as many of the rest as are served at a time.
    fn admit(&mut self, out: &mut Vec<Effect>) {
        for _ in 0..self.waiting.len() {
            let Some(request) = self.waiting.pop_front() else { return };
            let Some(held) = self.held.get_mut(&request.id) else { continue };
            let is_free = |holder: &&mut Holder| holder.directed < MAX_DIRECTED && holder.name != request.from;
            if let Some(holder) = held.holders.iter_mut().find(is_free) {
                holder.directed += 1;
                send(&request.from, Transfer::HeldBy { id: request.id, holder: holder.name.clone() }, out);
            } else if self.served.len() < MAX_RECEIVERS {
                self.served.push(Served { request, due: true });
            } else {
                self.waiting.push_back(request);
            }
        }
    }

    /// Sends the piece that the receiver at `position` asks for. With its last one it becomes a holder.
    fn send_piece(&mut self, now: Duration, position: usize, out: &mut Vec<Effect>) {
        let served = &mut self.served[position];
        served.due = false;
        let Request { from, id, offset, .. } = &served.request;
        let Some(held) = self.held.get_mut(id) else { return };
        let end = (offset + PIECE_BYTES).min(held.bytes.len());
        let bytes = ByteBuf::from(&held.bytes[*offset..end]);
        self.pacer.record(now, bytes.len());
        send(from, Transfer::Piece { id: *id, offset: *offset, bytes }, out);
        if end == held.bytes.len() {
            held.holders.push(Holder { name: from.clone(), directed: 0 });
            self.served.remove(position);
        } else {
            // Receivers take turns.
            self.served[position..].rotate_left(1);
        }
    }
}
