//! Frames that wait for the links to other instances, bounded in bytes for each link and for all together.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use bytes::Bytes;
use tokio::sync::Notify;

/// Bytes that wait for one link at most; a larger frame waits alone. About a second of the slowest link, 10 Mbit/s.
const MAX_LINK_BYTES: usize = 1 << 20;
/// Bytes that wait for all links together at most: a part of the 32 MB that control may take of an instance.
const MAX_TOTAL_BYTES: usize = 12 << 20;

/// A frame of so many bytes may wait alone on its link whatever the others hold: leases and the log go on by such frames.
const SMALL_FRAME_BYTES: usize = 16 << 10;

/// Bytes that wait for all links.
#[derive(Debug, Default)]
pub struct QueuedBytes {
    bytes: Cell<usize>,
    peak: Cell<usize>,
}

impl QueuedBytes {
    /// Bytes that wait now.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// The most that ever waited.
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

/// Frames that wait for one link; it is closed when its carrier ends.
#[derive(Debug)]
pub struct Queue {
    frames: RefCell<VecDeque<Bytes>>,
    bytes: Cell<usize>,
    arrived: Notify,
    closed: Cell<bool>,
    all: Rc<QueuedBytes>,
}

impl Queue {
    /// An empty queue, whose bytes count among `all`.
    pub fn new(all: Rc<QueuedBytes>) -> Queue {
        Queue { frames: RefCell::default(), bytes: Cell::new(0), arrived: Notify::new(), closed: Cell::new(false), all }
    }

    /// Adds a frame, unless too much waits already. Returns whether it was taken.
    pub fn push(&self, frame: Bytes) -> bool {
        let size = frame.len();
        let queued = self.bytes.get();
        let link_fits = queued == 0 || queued + size <= MAX_LINK_BYTES;
        // A leader may have a thousand links: one large frame for each would be far more than all may hold.
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

    /// The next frame, as soon as there is one.
    pub async fn pop(&self) -> Bytes {
        loop {
            if let Some(frame) = self.try_pop() {
                return frame;
            }
            self.arrived.notified().await;
        }
    }

    /// The next frame, if there is one.
    pub fn try_pop(&self) -> Option<Bytes> {
        let frame = self.frames.borrow_mut().pop_front()?;
        self.bytes.set(self.bytes.get() - frame.len());
        self.all.remove(frame.len());
        Some(frame)
    }

    /// Drops what waits and takes no more.
    pub fn close(&self) {
        self.closed.set(true);
        while self.try_pop().is_some() {}
    }

    /// True where no more is taken.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }
}
