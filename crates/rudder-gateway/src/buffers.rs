//! Memory quota for buffered bodies: bytes received from one side that the other side has not consumed yet.
//!
//! Callers and endpoints may read slowly or not at all, so the total is limited to a share of the memory available to the
//! process. At the limit, reading from endpoints pauses until memory is released, and requests whose body does not fit
//! are rejected. While others wait for memory, the caller whose answer has been unread for longest is disconnected, so
//! that stalled callers cannot block all others.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use rudder_clock::Moment;
use tokio::{sync::Notify, time::timeout};

/// Divisor of the process's memory that gives the quota. The rest is for state, connections, links and logs.
const MEMORY_DIVISOR: usize = 4;
/// Memory assumed for the process if the settings do not name it, in bytes.
const DEFAULT_MEMORY: usize = 128 << 20;
/// Longest time that an answer may stay unread while others wait for memory.
const MAX_UNREAD: Duration = Duration::from_secs(1);
/// Interval between checks for such answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which a waiting reservation fails, if all callers read, but too slowly.
const MAX_CHECKS: u32 = 40;

/// Signal that closes a caller's connection.
pub type Disconnect = Arc<Notify>;

/// The quota and its use.
#[derive(Debug)]
pub struct BufferQuota {
    limit: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
    released: Notify,
    next_id: AtomicU64,
    /// Answers that callers have not read, in the order of their completion.
    unread: Mutex<BTreeMap<u64, Answer>>,
}

/// An answer that its caller has not read.
#[derive(Debug)]
struct Answer {
    since: Moment,
    disconnect: Disconnect,
}

impl BufferQuota {
    /// The quota of a process that may use `memory` bytes.
    pub fn new(memory: Option<usize>) -> Arc<BufferQuota> {
        Arc::new(BufferQuota {
            limit: memory.unwrap_or(DEFAULT_MEMORY) / MEMORY_DIVISOR,
            used: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            released: Notify::new(),
            next_id: AtomicU64::new(0),
            unread: Mutex::default(),
        })
    }

    /// Bytes in use.
    pub fn held(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Largest number of bytes that were ever in use.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// The quota, in bytes.
    pub fn most(&self) -> usize {
        self.limit
    }

    fn try_add(&self, bytes: usize) -> bool {
        let next = self.held() + bytes;
        if next > self.limit {
            return false;
        }
        self.used.store(next, Ordering::Relaxed);
        self.peak.fetch_max(next, Ordering::Relaxed);
        true
    }

    fn remove(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
        self.released.notify_waiters();
    }

    fn add_unread(&self, disconnect: Disconnect) -> u64 {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let answer = Answer { since: Moment::now(), disconnect };
        self.unread.lock().unwrap_or_else(PoisonError::into_inner).insert(id, answer);
        id
    }

    fn remove_unread(&self, id: u64) {
        self.unread.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
    }

    /// Disconnects the caller whose answer has been unread for longest, if that exceeds the limit.
    fn disconnect_slowest(&self) {
        let unread = self.unread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, answer)) = unread.first_key_value().filter(|(_, answer)| answer.since.elapsed() >= MAX_UNREAD) {
            answer.disconnect.notify_one();
        }
    }
}

/// Reserved bytes of the quota, released on drop.
#[derive(Debug)]
pub struct Reservation {
    quota: Arc<BufferQuota>,
    bytes: usize,
}

impl Reservation {
    /// An empty reservation.
    pub fn new(quota: &Arc<BufferQuota>) -> Reservation {
        Reservation { quota: quota.clone(), bytes: 0 }
    }

    /// Reserves another `bytes` if they fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.quota.try_add(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Waits until another `bytes` fit, and reserves them.
    ///
    /// # Errors
    /// When they do not fit after `MAX_CHECKS` checks.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        for _ in 0..MAX_CHECKS {
            let quota = self.quota.clone();
            let mut released = std::pin::pin!(quota.released.notified());
            // Registers for notifications first, so that none is missed between the check and the wait.
            released.as_mut().enable();
            if self.try_grow(bytes) {
                return Ok(());
            }
            if timeout(CHECK_INTERVAL, released).await.is_err() {
                quota.disconnect_slowest();
            }
        }
        Err(BodyError::Full)
    }

    /// Ties the reservation to its data: it is released once no part of the data is referenced. For an answer,
    /// `disconnect` closes its caller's connection.
    pub fn keep(self, data: Vec<u8>, disconnect: Option<Disconnect>) -> Bytes {
        let unread_id = disconnect.map(|disconnect| self.quota.add_unread(disconnect));
        Bytes::from_owner(ReservedData { data, unread_id, reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.quota.remove(self.bytes);
    }
}

struct ReservedData {
    data: Vec<u8>,
    unread_id: Option<u64>,
    reservation: Reservation,
}

impl AsRef<[u8]> for ReservedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for ReservedData {
    fn drop(&mut self) {
        if let Some(id) = self.unread_id {
            self.reservation.quota.remove_unread(id);
        }
    }
}

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds the size limit.
    TooLarge,
    /// The connection failed.
    Broken,
    /// It does not fit into the quota.
    Full,
}

/// The kind of a body, which decides what happens if it does not fit.
#[derive(Clone, Debug)]
pub enum BodyKind {
    /// A caller's request: reading fails.
    Request,
    /// An answer for a caller, whose connection the signal closes: reading waits until it fits.
    Answer(Disconnect),
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// When it is longer, the connection fails, or it does not fit into the quota.
pub async fn read_whole(
    quota: &Arc<BufferQuota>,
    mut body: Incoming,
    limit: usize,
    kind: BodyKind,
) -> Result<Bytes, BodyError> {
    let mut reservation = Reservation::new(quota);
    // Reserves the whole length up front, as partly read bodies could block each other.
    let length = body.size_hint().exact().map_or(0, |length| length as usize);
    if length > limit {
        return Err(BodyError::TooLarge);
    }
    let disconnect = match kind {
        BodyKind::Request if !reservation.try_grow(length) => return Err(BodyError::Full),
        BodyKind::Request => None,
        BodyKind::Answer(disconnect) => {
            reservation.grow(length).await?;
            Some(disconnect)
        }
    };
    let mut data = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        let new_length = data.len() + part.len();
        if new_length > limit {
            return Err(BodyError::TooLarge);
        }
        let missing = new_length.saturating_sub(reservation.bytes);
        match disconnect {
            Some(_) => reservation.grow(missing).await?,
            None if reservation.try_grow(missing) => {}
            None => return Err(BodyError::Full),
        }
        data.extend_from_slice(&part);
    }
    Ok(reservation.keep(data, disconnect))
}
