//! Links between instances: frames of `rmp-serde` over TCP, one connection in each direction.
//!
//! A message may be lost, doubled or late, and whoever needs it sends it again; so a link that is full
//! or broken drops what it holds. What waits is bounded in bytes ([`queue`]).

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

use self::queue::{Queue, QueuedBytes};
use crate::{
    metrics::{FrameOutcome, PeerMetrics},
    upstream,
};

/// Events that wait for the reducer, from which on messages of other instances are dropped.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// Largest frame; a snapshot travels in one.
const MAX_FRAME_BYTES: usize = 32 << 20;
/// A link is given this long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A frame that is not taken within this time is lost, and the link with it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A link that had nothing to carry for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// What one frame carries.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    from: InstanceId,
    message: PeerMessage,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Links to other instances; each starts with its first message.
#[derive(Debug)]
pub struct Links {
    name: InstanceId,
    queues: HashMap<InstanceId, Rc<Queue>>,
    queued: Rc<QueuedBytes>,
    metrics: PeerMetrics,
}

impl Links {
    /// No links yet, for the instance `name`.
    pub fn new(name: InstanceId, metrics: PeerMetrics) -> Links {
        Links { name, queues: HashMap::new(), queued: Rc::default(), metrics }
    }

    /// Sends a message, or drops it where too much waits already.
    ///
    /// # Panics
    /// When the message cannot be encoded, which its type rules out.
    pub fn send(&mut self, to: &InstanceId, message: PeerMessage) {
        let kind = message.kind();
        let envelope = Envelope { from: self.name.clone(), message };
        let frame = Bytes::from(rmp_serde::to_vec(&envelope).expect("messages hold only plain data"));
        let size = frame.len();
        let queued = self.queue_to(to).push(frame);
        let outcome = if queued { FrameOutcome::Sent } else { FrameOutcome::Dropped };
        self.metrics.record(outcome, kind, size);
        self.metrics.record_queued(self.queued.bytes(), self.queued.peak());
    }

    fn queue_to(&mut self, to: &InstanceId) -> Rc<Queue> {
        if let Some(open) = self.queues.get(to).filter(|queue| !queue.is_closed()) {
            return open.clone();
        }
        // Links to instances that ended stay behind closed; they go when a new one is needed.
        self.queues.retain(|_, queue| !queue.is_closed());
        let queue = Rc::new(Queue::new(self.queued.clone()));
        tokio::task::spawn_local(run_link(to.clone(), queue.clone()));
        self.queues.insert(to.clone(), queue.clone());
        queue
    }
}

async fn run_link(to: InstanceId, queue: Rc<Queue>) {
    send_frames(to, &queue).await;
    queue.close();
}

/// Carries frames to one instance until the link breaks or rests.
async fn send_frames(to: InstanceId, queue: &Queue) {
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(&*to)).await else { return };
    if upstream::configure_socket(&stream).is_err() {
        return;
    }
    let mut link = Framed::new(stream, codec());
    while let Ok(frame) = timeout(IDLE_TIMEOUT, queue.pop()).await {
        if !matches!(timeout(WRITE_TIMEOUT, link.feed(frame)).await, Ok(Ok(()))) {
            return;
        }
        while let Some(frame) = queue.try_pop() {
            if !matches!(timeout(WRITE_TIMEOUT, link.feed(frame)).await, Ok(Ok(()))) {
                return;
            }
        }
        if !matches!(timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(&mut link)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Receives the messages of other instances until the runtime ends.
pub async fn accept(listener: TcpListener, inputs: Rc<Sender<Event>>, metrics: PeerMetrics) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (inputs, metrics) = (inputs.clone(), metrics.clone());
        tokio::task::spawn_local(async move { receive(stream, &inputs, &metrics).await });
    }
}

async fn receive(stream: TcpStream, inputs: &Sender<Event>, metrics: &PeerMetrics) {
    if upstream::configure_socket(&stream).is_err() {
        return;
    }
    let mut link = Framed::new(stream, codec());
    while let Some(frame) = link.next().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                // Links break with every instance that ends, which the directory's lines tell; a bad frame is a fault.
                if error.kind() == std::io::ErrorKind::InvalidData {
                    spdlog::warn!("a link carries a frame that is too large: {error}");
                }
                return;
            }
        };
        let Ok(Envelope { from, message }) = rmp_serde::from_slice(&frame) else {
            spdlog::warn!("a frame of another instance cannot be read");
            return;
        };
        let kind = message.kind();
        if inputs.len() >= MAX_QUEUED_EVENTS {
            metrics.record(FrameOutcome::Dropped, kind, frame.len());
            continue;
        }
        metrics.record(FrameOutcome::Received, kind, frame.len());
        if inputs.send(Event::Peer { from, message }).is_err() {
            return;
        }
    }
}
