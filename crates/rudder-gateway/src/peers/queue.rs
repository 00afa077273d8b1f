//! Queues of frames for the links to other instances, bounded in bytes for each link and in total.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use bytes::Bytes;
use rudder_clock::Moment;
use tokio::sync::Notify;

/// Largest number of bytes queued for one link; a larger frame is queued alone. A link of 10 Mbit/s sends it in about a
/// second.
const MAX_LINK_BYTES: usize = 1 << 20;
/// Largest number of bytes queued for all links: a part of the 32 MB that an instance has for control.
const MAX_TOTAL_BYTES: usize = 12 << 20;

/// A frame of up to this size is queued on an empty link whatever the total, so that leases and log heartbeats go
/// through.
const SMALL_FRAME_BYTES: usize = 16 << 10;

/// The number of bytes queued for all links.
#[derive(Debug, Default)]
pub struct QueuedBytes {
    bytes: Cell<usize>,
    peak: Cell<usize>,
}

impl QueuedBytes {
    /// Bytes queued now.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Most bytes that were ever queued.
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    fn add(&self, bytes: usize) {
        let sum = self.bytes.get() + bytes;
        self.bytes.set(sum);
        self.peak.set(self.peak.get().max(sum));
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
    }
}

/// A queued frame.
#[derive(Clone, Debug)]
pub struct Frame {
    /// Its encoded content.
    pub bytes: Bytes,
    /// The kind of message that it carries.
    pub kind: &'static str,
    /// When it was queued.
    pub queued_at: Moment,
}

impl Frame {
    /// Creates a frame that is queued now.
    pub fn new(bytes: Bytes, kind: &'static str) -> Frame {
        Frame { bytes, kind, queued_at: Moment::now() }
    }
}

/// The frames queued for one link; closed when the link ends.
#[derive(Debug)]
pub struct Queue {
    frames: RefCell<VecDeque<Frame>>,
    bytes: Cell<usize>,
    arrived: Notify,
    closed: Cell<bool>,
    all: Rc<QueuedBytes>,
}

impl Queue {
    /// Creates an empty queue whose bytes count towards `all`.
    pub fn new(all: Rc<QueuedBytes>) -> Queue {
        Queue { frames: RefCell::default(), bytes: Cell::new(0), arrived: Notify::new(), closed: Cell::new(false), all }
    }

    /// Appends a frame, unless too many bytes are queued or the queue is closed. Returns whether it was appended.
    pub fn push(&self, frame: Frame) -> bool {
        let size = frame.bytes.len();
        let queued = self.bytes.get();
        let link_fits = queued == 0 || queued + size <= MAX_LINK_BYTES;
        // A leader may have a thousand links, so one large frame on each must not bypass the total bound.
        let all_fit = self.all.bytes() == 0
            || self.all.bytes() + size <= MAX_TOTAL_BYTES
            || (queued == 0 && size <= SMALL_FRAME_BYTES);
        if self.closed.get() || !link_fits || !all_fit {
            return false;
        }
        self.frames.borrow_mut().push_back(frame);
        self.bytes.set(queued + size);
        self.all.add(size);
        self.arrived.notify_one();
        true
    }

    /// Waits for the next frame and removes it.
    pub async fn pop(&self) -> Frame {
        loop {
            if let Some(frame) = self.try_pop() {
                return frame;
            }
            self.arrived.notified().await;
        }
    }

    /// Removes the next frame, if there is one.
    pub fn try_pop(&self) -> Option<Frame> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.bytes.set(self.bytes.get() - frame.bytes.len());
        self.all.remove(frame.bytes.len());
        Some(frame)
    }

    /// Drops the queued frames and rejects further ones.
    pub fn close(&self) {
        self.closed.set(true);
        while self.try_pop().is_some() {}
    }

    /// Returns true once the queue is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
}
