//! Clients that send one request after the other to their node.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{http::Connection, record::note};

/// How long a client waits for an answer.
pub const DEADLINE: Duration = Duration::from_millis(1000);
/// The host and the key of all requests.
pub const HOST: &str = "svc.example";
pub const KEY: &str = "key-of-tenant-one";

/// The text of a request without a body.
pub fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Sends a request of one kind every `gap` to `node` on a kept connection, until `stop`.
pub fn start(
    name: String,
    node: SocketAddr,
    (method, path): (&'static str, &'static str),
    gap: Duration,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut connection: Option<Connection> = None;
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{name}-{number}");
            let opened = connection.take().or_else(|| Connection::open(node, DEADLINE).ok());
            if let Some(mut open) = opened {
                note(format!("client {name} sends {method} {path} as {id}"));
                let sent = open.send(&request(method, path, &id)).and_then(|()| open.read());
                match sent {
                    Ok((head, _)) => {
                        note(format!("client {name} gets {} for {id}", head.status()));
                        let closes = head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                        connection = Some(open).filter(|_| !closes);
                    }
                    Err(error) => note(format!("client {name} gets no answer for {id}: {error}")),
                }
            }
            thread::sleep(gap);
        }
    })
}
