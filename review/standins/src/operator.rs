//! The operator: calls one node after the other until one acknowledges.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    record::{note, now},
};

/// The operator goes on to another node after so long without a response.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause after the first failed call; it grows.
const BACKOFF: Duration = Duration::from_millis(100);
/// An order that is not a configuration is sent again for no longer than this.
const LONGEST: Duration = Duration::from_secs(5);

/// Sends an order to the nodes in turn, the same each time, until one acknowledges it. Returns when that was.
pub fn order(nodes: &[(String, SocketAddr)], path: &str, body: &str) -> Option<Duration> {
    let began = Instant::now();
    let mut pause = BACKOFF;
    for (name, address) in nodes.iter().cycle() {
        if began.elapsed() > LONGEST {
            return None;
        }
        note(format!("the operator sends POST {path} to {name}"));
        let answer = http::exchange(*address, PATIENCE, &http::post(path, body));
        match answer {
            Ok((head, _)) if (200..300).contains(&head.status()) => {
                note(format!("{name} acknowledges POST {path} with {}", head.status()));
                return Some(now());
            }
            Ok((head, _)) => note(format!("{name} answers POST {path} with {}", head.status())),
            Err(error) => note(format!("no answer of {name} to POST {path}: {error}; the connection is closed")),
        }
        thread::sleep(pause);
        pause = pause.mul_f64(1.5);
    }
    None
}
