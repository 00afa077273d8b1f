//! Bytes that the process holds for others: bodies that have been read from one side and not yet been taken by the other.
//!
//! Callers and endpoints may read slowly or not at all. What is held for all of them is bounded, as a part of the memory
//! that the process may take. At the bound, endpoints' answers are read no further until something is taken, and
//! requests whose body does not fit are refused. Where others have to wait, the caller that has left its answer unread for
//! longest is cut off: were it not, a hundred callers that read nothing would keep all others from their answers.

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

/// Part of the process's memory that may be held so: the rest is for the state, connections, links and log lines.
const PART: usize = 4;
/// Memory that a process is taken to have where its settings do not tell.
const USUAL_MEMORY: usize = 128 << 20;
/// An answer may be left unread for this long where others wait: a caller that reads takes a megabyte in less.
const UNREAD_MOST: Duration = Duration::from_secs(1);
/// Time between looks for such answers.
const LOOK: Duration = Duration::from_millis(100);
/// Looks after which one that waits gives up itself: what is held is neither taken nor left unread, but read by halves.
const LOOKS_MOST: u32 = 40;

/// Ends a caller's connection.
pub type Disconnect = Arc<Notify>;

/// What is held, and how much may be.
#[derive(Debug)]
pub struct BufferQuota {
    most: usize,
    held: AtomicUsize,
    peak: AtomicUsize,
    freed: Notify,
    count: AtomicU64,
    /// Answers that callers have not taken, in the order in which they became ready.
    unread: Mutex<BTreeMap<u64, Answer>>,
}

/// An answer that its caller has not taken.
#[derive(Debug)]
struct Answer {
    since: Moment,
    cut: Disconnect,
}

impl BufferQuota {
    /// The buffers of a process that may take `memory` bytes.
    pub fn new(memory: Option<usize>) -> Arc<BufferQuota> {
        Arc::new(BufferQuota {
            most: memory.unwrap_or(USUAL_MEMORY) / PART,
            held: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            freed: Notify::new(),
            count: AtomicU64::new(0),
            unread: Mutex::default(),
        })
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Most bytes that were ever held.
    pub fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Most bytes that may be held.
    pub fn most(&self) -> usize {
        self.most
    }

    fn try_add(&self, bytes: usize) -> bool {
        let next = self.held() + bytes;
        if next > self.most {
            return false;
        }
        self.held.store(next, Ordering::Relaxed);
        self.peak.fetch_max(next, Ordering::Relaxed);
        true
    }

    fn remove(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        self.freed.notify_waiters();
    }

    fn note_unread(&self, cut: Disconnect) -> u64 {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let answer = Answer { since: Moment::now(), cut };
        self.unread.lock().unwrap_or_else(PoisonError::into_inner).insert(number, answer);
        number
    }

    fn note_taken(&self, number: u64) {
        self.unread.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
    }

    /// Cuts off the caller that has left its answer unread for longest, where that is too long.
    fn cut_oldest(&self) {
        let unread = self.unread.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, answer)) = unread.first_key_value().filter(|(_, answer)| answer.since.elapsed() >= UNREAD_MOST)
        {
            answer.cut.notify_one();
        }
    }
}

/// The right to hold some bytes; they are free again when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: Arc<BufferQuota>,
    bytes: usize,
}

impl Reservation {
    /// The right to hold nothing yet.
    pub fn new(buffers: &Arc<BufferQuota>) -> Reservation {
        Reservation { buffers: buffers.clone(), bytes: 0 }
    }

    /// Adds `bytes` to it, where they fit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.buffers.try_add(bytes);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Adds `bytes` to it, once they fit.
    ///
    /// # Errors
    /// When they do not for so long that what is held will hardly be taken.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        for _ in 0..LOOKS_MOST {
            let buffers = self.buffers.clone();
            let mut freed = std::pin::pin!(buffers.freed.notified());
            // What is freed between the look and the wait must not be missed.
            freed.as_mut().enable();
            if self.try_grow(bytes) {
                return Ok(());
            }
            if timeout(LOOK, freed).await.is_err() {
                buffers.cut_oldest();
            }
        }
        Err(BodyError::Full)
    }

    /// The bytes that it was taken for; they are counted as long as any part of them is kept. Where they are an answer, `cut`
    /// ends its caller's connection.
    pub fn keep(self, data: Vec<u8>, cut: Option<Disconnect>) -> Bytes {
        let unread = cut.map(|cut| self.buffers.note_unread(cut));
        Bytes::from_owner(Kept { data, unread, hold: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffers.remove(self.bytes);
    }
}

struct Kept {
    data: Vec<u8>,
    unread: Option<u64>,
    hold: Reservation,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        if let Some(number) = self.unread {
            self.hold.buffers.note_taken(number);
        }
    }
}

/// Why a body could not be read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than may be.
    TooLarge,
    /// It broke off.
    Broken,
    /// More is held than it would fit beside.
    Full,
}

/// Whose body is read.
#[derive(Clone, Debug)]
pub enum BodyKind {
    /// A caller's request: where it does not fit, it is read no further.
    Request,
    /// An answer for a caller: it is read once it fits. The caller's connection is ended by this.
    Answer(Disconnect),
}

/// Reads a body of `limit` bytes at most.
///
/// # Errors
/// When it is longer, breaks off, or does not fit.
pub async fn read_whole(
    buffers: &Arc<BufferQuota>,
    mut body: Incoming,
    limit: usize,
    kind: BodyKind,
) -> Result<Bytes, BodyError> {
    let mut hold = Reservation::new(buffers);
    // Room for all of it is taken before it is read: of many that were read by halves none could be taken by its reader.
    let length = body.size_hint().exact().map_or(0, |length| length as usize);
    if length > limit {
        return Err(BodyError::TooLarge);
    }
    let cut = match kind {
        BodyKind::Request if !hold.try_grow(length) => return Err(BodyError::Full),
        BodyKind::Request => None,
        BodyKind::Answer(cut) => {
            hold.grow(length).await?;
            Some(cut)
        }
    };
    let mut data = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        let after = data.len() + part.len();
        if after > limit {
            return Err(BodyError::TooLarge);
        }
        let lacking = after.saturating_sub(hold.bytes);
        match cut {
            Some(_) => hold.grow(lacking).await?,
            None if hold.try_grow(lacking) => {}
            None => return Err(BodyError::Full),
        }
        data.extend_from_slice(&part);
    }
    Ok(hold.keep(data, cut))
}
