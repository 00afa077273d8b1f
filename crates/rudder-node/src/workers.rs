//! Threads for callers' requests: as many as there are requests, reused, with small stacks.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

/// Stack of one thread; the deepest path parses JSON and speaks HTTP.
const STACK: usize = 256 * 1024;
/// A thread without work ends after this long.
const IDLE: Duration = Duration::from_secs(5);

/// Threads that each handle one item at a time.
pub(crate) struct Workers<T, H> {
    sender: Sender<T>,
    receiver: Receiver<T>,
    count: Arc<AtomicUsize>,
    limit: usize,
    handle: Arc<H>,
}

impl<T: Send + 'static, H: Fn(T) + Send + Sync + 'static> Workers<T, H> {
    pub(crate) fn new(limit: usize, handle: H) -> Workers<T, H> {
        let (sender, receiver) = bounded(0);
        Workers { sender, receiver, count: Arc::default(), limit, handle: Arc::new(handle) }
    }

    /// Hands an item to an idle thread or a new one.
    ///
    /// # Errors
    /// Gives the item back when all threads that may exist are busy.
    pub(crate) fn give(&self, item: T) -> Result<(), T> {
        let item = match self.sender.try_send(item) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(item) | TrySendError::Disconnected(item)) => item,
        };
        if self.count.load(Ordering::Relaxed) >= self.limit {
            return Err(item);
        }
        self.count.fetch_add(1, Ordering::Relaxed);
        let (receiver, count, handle) = (self.receiver.clone(), self.count.clone(), self.handle.clone());
        let mut first = Some(item);
        let body = move || {
            if let Some(item) = first.take() {
                handle(item);
            }
            while let Ok(item) = receiver.recv_timeout(IDLE) {
                handle(item);
            }
            count.fetch_sub(1, Ordering::Relaxed);
        };
        let spawned = thread::Builder::new().stack_size(STACK).spawn(body);
        if spawned.is_err() {
            // The item is lost with its thread; its connection closes, which the caller sees.
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
