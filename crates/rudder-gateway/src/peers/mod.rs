//! Links between instances: frames of `rmp-serde` over TCP, one connection in each direction.
//!
//! A message may be lost, doubled or late, and whoever needs it sends it again; so a link that is full
//! or broken drops what it holds.

use std::{collections::HashMap, rc::Rc, time::Duration};

use bytes::Bytes;
use crossbeam_channel::Sender;
use futures_util::{SinkExt, StreamExt as _};
use rudder_core::{Event, PeerMessage};
use rudder_model::InstanceId;
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::upstream;

/// Messages that wait for one instance.
const WAITING: usize = 512;
/// Largest frame; a snapshot travels in one.
const FRAME: usize = 32 << 20;
/// A link is given this long to come up.
const CONNECT: Duration = Duration::from_millis(400);
/// A frame that is not taken within this time is lost, and the link with it.
const TAKE: Duration = Duration::from_secs(2);
/// A link that had nothing to carry for this long is closed.
const REST: Duration = Duration::from_secs(20);

/// What one frame carries.
#[derive(Debug, Serialize, Deserialize)]
struct Parcel {
    from: InstanceId,
    message: PeerMessage,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME).new_codec()
}

/// Links to other instances; each starts with its first message.
#[derive(Debug)]
pub struct Links {
    me: InstanceId,
    open: HashMap<InstanceId, mpsc::Sender<Bytes>>,
}

impl Links {
    /// No links yet, for the instance `me`.
    pub fn new(me: InstanceId) -> Links {
        Links { me, open: HashMap::new() }
    }

    /// Sends a message, or drops it where the link is full.
    ///
    /// # Panics
    /// When the message cannot be encoded, which its type rules out.
    pub fn send(&mut self, to: &InstanceId, message: PeerMessage) {
        let parcel = Parcel { from: self.me.clone(), message };
        let frame = Bytes::from(rmp_serde::to_vec(&parcel).expect("messages hold only plain data"));
        let open = self.open.get(to).filter(|link| !link.is_closed());
        let Some(link) = open else {
            let (sender, receiver) = mpsc::channel(WAITING);
            // A new link has room.
            let _ = sender.try_send(frame);
            tokio::task::spawn_local(carry(to.clone(), receiver));
            self.open.insert(to.clone(), sender);
            return;
        };
        let _ = link.try_send(frame);
    }
}

/// Carries frames to one instance until the link breaks or rests.
async fn carry(to: InstanceId, mut frames: mpsc::Receiver<Bytes>) {
    let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(&*to)).await else { return };
    if upstream::tune(&stream).is_err() {
        return;
    }
    let mut link = Framed::new(stream, codec());
    while let Ok(Some(frame)) = timeout(REST, frames.recv()).await {
        if !matches!(timeout(TAKE, link.feed(frame)).await, Ok(Ok(()))) {
            return;
        }
        while let Ok(frame) = frames.try_recv() {
            if !matches!(timeout(TAKE, link.feed(frame)).await, Ok(Ok(()))) {
                return;
            }
        }
        if !matches!(timeout(TAKE, SinkExt::<Bytes>::flush(&mut link)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Takes in the messages of other instances until the runtime ends.
pub async fn accept(listener: TcpListener, inputs: Rc<Sender<Event>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let inputs = inputs.clone();
        tokio::task::spawn_local(async move { receive(stream, &inputs).await });
    }
}

async fn receive(stream: TcpStream, inputs: &Sender<Event>) {
    if upstream::tune(&stream).is_err() {
        return;
    }
    let mut link = Framed::new(stream, codec());
    while let Some(Ok(frame)) = link.next().await {
        let Ok(Parcel { from, message }) = rmp_serde::from_slice(&frame) else {
            spdlog::warn!("a frame of another instance cannot be read");
            return;
        };
        if inputs.send(Event::Peer { from, message }).is_err() {
            return;
        }
    }
}
