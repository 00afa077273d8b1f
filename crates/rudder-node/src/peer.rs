//! Taking in messages of other instances.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
};

use crossbeam_channel::{Sender, bounded};
use rudder_core::PeerMessage;
use rudder_model::InstanceId;
use tiny_http::{Request, Response, Server};

use crate::{Input, link::Traffic, reply};

/// Path of messages between instances.
pub(crate) const PATH: &str = "/peer/messages";
/// Header that names the sender.
pub(crate) const FROM_HEADER: &str = "x-from";
/// Header that carries the key shared by all instances.
pub(crate) const KEY_HEADER: &str = "x-peer-key";
/// Largest batch; a snapshot travels in one.
const BODY: usize = 256 << 20;
/// Threads that take in messages.
const THREADS: usize = 2;

/// Starts the threads that serve other instances.
pub(crate) fn start(server: &Arc<Server>, key: &str, inputs: &Sender<Input>, traffic: &Arc<Traffic>) {
    for _ in 0..THREADS {
        let (server, key, inputs, traffic) = (server.clone(), key.to_owned(), inputs.clone(), traffic.clone());
        thread::spawn(move || {
            while let Ok(request) = server.recv() {
                serve(request, &key, &inputs, &traffic);
            }
        });
    }
}

fn serve(mut request: Request, key: &str, inputs: &Sender<Input>, traffic: &Traffic) {
    if reply::header(&request, KEY_HEADER).as_deref() != Some(key) || request.url() != PATH {
        let _ = request.respond(Response::empty(403));
        return;
    }
    let Some(from) = reply::header(&request, FROM_HEADER) else {
        let _ = request.respond(Response::empty(400));
        return;
    };
    let Ok(body) = reply::read_body(&mut request, BODY) else {
        let _ = request.respond(Response::empty(413));
        return;
    };
    traffic.received.fetch_add(body.len() as u64, Ordering::Relaxed);
    let Ok(messages) = rmp_serde::from_slice::<Vec<PeerMessage>>(&body) else {
        let _ = request.respond(Response::empty(400));
        return;
    };
    let from = InstanceId::from(from);
    let (sender, receiver) = bounded(1);
    let _ = inputs.send(Input::Peer(from, messages, sender));
    let answers = receiver.recv().unwrap_or_default();
    if answers.is_empty() {
        let _ = request.respond(Response::empty(204));
        return;
    }
    let body = rmp_serde::to_vec(&answers).expect("messages hold only plain data");
    traffic.sent.fetch_add(body.len() as u64, Ordering::Relaxed);
    let _ = request.respond(Response::from_data(body));
}
