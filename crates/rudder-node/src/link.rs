//! Sending to other instances: one thread and one connection for each, many messages in one request.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender, bounded};
use rudder_core::{Event, PeerMessage};
use rudder_model::InstanceId;
use ureq::Agent;

use crate::{
    Input,
    peer::{FROM_HEADER, KEY_HEADER, PATH},
};

/// Messages that wait for one instance; more are dropped, as the protocols repeat what matters.
const WAITING: usize = 4096;
/// Messages in one request.
const BATCH: usize = 256;
/// An instance that does not take a request within this time has lost it.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer; a snapshot travels in one.
const ANSWER: u64 = 256 << 20;

/// Bytes exchanged with other instances, bodies only.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) requests: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
}

/// Links to other instances. Each starts with its first message: most instances talk to few others.
pub(crate) struct Links {
    me: InstanceId,
    key: String,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    open: BTreeMap<InstanceId, Sender<PeerMessage>>,
    inputs: Sender<Input>,
    traffic: Arc<Traffic>,
}

impl Links {
    /// Links from `me` to the instances at `addresses`.
    pub(crate) fn new(
        me: &InstanceId,
        key: &str,
        addresses: BTreeMap<InstanceId, SocketAddr>,
        inputs: &Sender<Input>,
        traffic: &Arc<Traffic>,
    ) -> Links {
        Links {
            me: me.clone(),
            key: key.to_owned(),
            addresses,
            open: BTreeMap::new(),
            inputs: inputs.clone(),
            traffic: traffic.clone(),
        }
    }

    /// Sends a message, or drops it where the link is full or unknown.
    pub(crate) fn send(&mut self, to: &InstanceId, message: PeerMessage) {
        let Some(address) = self.addresses.get(to).copied() else { return };
        if !self.open.contains_key(to) {
            let link = self.start(to, address);
            self.open.insert(to.clone(), link);
        }
        if let Some(link) = self.open.get(to) {
            // With a full link the receiver is slow or gone; a later message is worth more than this one.
            let _ = link.try_send(message);
        }
    }

    /// Starts the thread of one link.
    fn start(&self, to: &InstanceId, address: SocketAddr) -> Sender<PeerMessage> {
        let (sender, receiver) = bounded(WAITING);
        let url = format!("http://{address}{PATH}");
        let (me, key, traffic) = (self.me.to_string(), self.key.clone(), self.traffic.clone());
        let (peer, inputs) = (to.clone(), self.inputs.clone());
        thread::spawn(move || {
            let answered = |messages: Vec<PeerMessage>| {
                for message in messages {
                    let _ = inputs.send(Input::Event(Event::Peer { from: peer.clone(), message }));
                }
            };
            run(&url, &me, &key, &receiver, &traffic, answered);
        });
        sender
    }
}

fn run(
    url: &str,
    me: &str,
    key: &str,
    messages: &Receiver<PeerMessage>,
    traffic: &Traffic,
    answered: impl Fn(Vec<PeerMessage>),
) {
    let config = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .timeout_connect(Some(TIMEOUT / 4))
        .max_idle_connections_per_host(1)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .build();
    let agent: Agent = config.into();
    while let Ok(first) = messages.recv() {
        let mut batch = vec![first];
        batch.extend(messages.try_iter().take(BATCH - 1));
        let body = rmp_serde::to_vec(&batch).expect("messages hold only plain data");
        traffic.requests.fetch_add(1, Ordering::Relaxed);
        traffic.sent.fetch_add(body.len() as u64, Ordering::Relaxed);
        let sent = agent.post(url).header(KEY_HEADER, key).header(FROM_HEADER, me).send(&body[..]);
        // What is lost is sent again by those who need it.
        let Ok(mut answer) = sent else { continue };
        let Ok(body) = answer.body_mut().with_config().limit(ANSWER).read_to_vec() else { continue };
        traffic.received.fetch_add(body.len() as u64, Ordering::Relaxed);
        if let Ok(messages) = rmp_serde::from_slice(&body) {
            answered(messages);
        }
    }
}
