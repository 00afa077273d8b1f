//! Links between instances: `MessagePack` frames over TCP, one connection in each direction.
//!
//! Delivery is not reliable: messages may be lost, duplicated or delayed, and the protocols above resend them. A link
//! that is full or broken therefore drops its messages. Queues are bounded in bytes ([`queue`]).

pub mod queue;

use std::{collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use crossbeam_channel::Sender;
use futures_util::{SinkExt, StreamExt as _};
use rudder_core::{Event, PeerMessage};
use rudder_model::InstanceId;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use self::queue::{Frame, Queue, QueuedBytes};
use crate::{
    metrics::{FrameOutcome, PeerMetrics},
    upstream,
};

/// Events queued for the reducer from which on messages of other instances are dropped.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// Largest frame; a snapshot is sent in one frame.
const MAX_FRAME_BYTES: usize = 32 << 20;
/// Timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for writing a frame. The link is closed when it expires.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A link that is idle for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The content of a frame.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    from: InstanceId,
    message: PeerMessage,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Links to other instances; each is opened with its first message.
#[derive(Debug)]
pub struct Links {
    name: InstanceId,
    queues: HashMap<InstanceId, Rc<Queue>>,
    queued: Rc<QueuedBytes>,
    metrics: PeerMetrics,
}

impl Links {
    /// Creates the links of the instance `name`, none of them open.
    pub fn new(name: InstanceId, metrics: PeerMetrics) -> Links {
        Links { name, queues: HashMap::new(), queued: Rc::default(), metrics }
    }

    /// Sends a message, or drops it if too many bytes are queued.
    ///
    /// # Panics
    /// Panics if the message cannot be encoded, which its type rules out.
    pub fn send(&mut self, to: &InstanceId, message: PeerMessage) {
        let kind = message.kind();
        let envelope = Envelope { from: self.name.clone(), message };
        let frame = Bytes::from(rmp_serde::to_vec(&envelope).expect("messages hold only plain data"));
        let size = frame.len();
        let queued = self.queue_to(to).push(Frame::new(frame, kind));
        let outcome = if queued { FrameOutcome::Sent } else { FrameOutcome::Dropped };
        self.metrics.record(outcome, kind, size);
        self.metrics.record_queued(self.queued.bytes(), self.queued.peak());
    }

    fn queue_to(&mut self, to: &InstanceId) -> Rc<Queue> {
        if let Some(open) = self.queues.get(to).filter(|queue| !queue.is_closed()) {
            return open.clone();
        }
        // Closed links are removed only here.
        self.queues.retain(|_, queue| !queue.is_closed());
        let queue = Rc::new(Queue::new(self.queued.clone()));
        tokio::task::spawn_local(run_link(to.clone(), queue.clone(), self.metrics.clone()));
        self.queues.insert(to.clone(), queue.clone());
        queue
    }
}

async fn run_link(to: InstanceId, queue: Rc<Queue>, metrics: PeerMetrics) {
    send_frames(to, &queue, &metrics).await;
    queue.close();
}

/// Sends frames to one instance until the link breaks or becomes idle.
async fn send_frames(to: InstanceId, queue: &Queue, metrics: &PeerMetrics) {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*to)).await else { return };
    if upstream::configure_socket(&stream).is_err() {
        return;
    }
    let mut link = Framed::new(stream, codec());
    while let Ok(frame) = timeout(IDLE_TIMEOUT, queue.pop()).await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            if !matches!(timeout(WRITE_TIMEOUT, link.feed(frame.bytes)).await, Ok(Ok(()))) {
                return;
            }
            metrics.record_wait(frame.kind, frame.queued_at.elapsed());
            next = queue.try_pop();
        }
        if !matches!(timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(&mut link)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Receives the messages of other instances until the runtime ends.
pub async fn accept(listener: TcpListener, events: Rc<Sender<Event>>, metrics: PeerMetrics) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (events, metrics) = (events.clone(), metrics.clone());
        tokio::task::spawn_local(async move { receive(stream, &events, &metrics).await });
    }
}

async fn receive(stream: TcpStream, events: &Sender<Event>, metrics: &PeerMetrics) {
    if upstream::configure_socket(&stream).is_err() {
        return;
    }
    let mut link = Framed::new(stream, codec());
    while let Some(frame) = link.next().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                // A link breaks whenever an instance ends, which the directory logs. An invalid frame is a fault.
                if error.kind() == std::io::ErrorKind::InvalidData {
                    spdlog::warn!("peer sent an oversized frame: {error}");
                }
                return;
            }
        };
        let Ok(Envelope { from, message }) = rmp_serde::from_slice(&frame) else {
            spdlog::warn!("cannot decode frame from peer");
            return;
        };
        let kind = message.kind();
        if events.len() >= MAX_QUEUED_EVENTS {
            metrics.record(FrameOutcome::Dropped, kind, frame.len());
            continue;
        }
        metrics.record(FrameOutcome::Received, kind, frame.len());
        if events.send(Event::Peer { from, message }).is_err() {
            return;
        }
    }
}
