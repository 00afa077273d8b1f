//! Replicas of a plain service that register themselves and answer every request well.

use std::{
    io::{self, BufReader, Write as _},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Head},
    record::{note, now},
};

/// Requests that a replica works on at once.
const SLOTS: u32 = 16;
/// How often a replica looks for new connections.
const POLL: Duration = Duration::from_millis(2);
/// Time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long a replica waits for an acknowledgement until it tries the next node.
const PATIENCE: Duration = Duration::from_secs(1);

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub replica: String,
    pub service: &'static str,
    pub zone: &'static str,
    /// The node that sent it, by its address.
    pub from: Option<IpAddr>,
    pub id: String,
}

/// All requests that replicas ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A replica.
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    /// How long it works on a request.
    pub work: Duration,
    /// Its answer's body.
    pub answer: usize,
    pub runs: Runs,
    /// It sends no more heartbeats.
    pub silent: AtomicBool,
    /// It has crashed.
    pub ended: AtomicBool,
    pub connections: Mutex<Vec<TcpStream>>,
}

impl Replica {
    /// Starts it: it serves, and sends heartbeats to the nodes at `control`, until it crashes or this program ends.
    pub fn start(self, listener: TcpListener, control: Vec<SocketAddr>) -> Arc<Replica> {
        let replica = Arc::new(self);
        let serving = replica.clone();
        listener.set_nonblocking(true).expect("a listener can be polled");
        thread::spawn(move || {
            while !serving.ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL);
                    continue;
                };
                stream.set_nonblocking(false).expect("a stream can block");
                serving.connections.lock().expect("connections").extend(stream.try_clone().ok());
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        let beating = replica.clone();
        thread::spawn(move || beating.beat(&control));
        replica
    }

    /// Sends no more heartbeats, and waits until none is under way.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(100));
    }

    /// Says that it leaves without having said that it drains, and serves on. Returns when the node has acknowledged that.
    pub fn deregister(&self, node: SocketAddr) -> Option<Duration> {
        let path = format!("/hatchrudder/instances/{}/deregister", self.id);
        let answer = http::exchange(node, PATIENCE, &http::post(&path, ""));
        answer.is_ok_and(|(head, _)| head.status() == 200).then(now)
    }

    /// Ends it without a word: its connections end, and its port refuses new ones.
    pub fn crash(&self) {
        note(format!("{} crashes", self.id));
        self.ended.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn beat(&self, control: &[SocketAddr]) {
        let mut next = 0;
        for sequence in 1_u64.. {
            if self.ended.load(Ordering::Relaxed) || self.silent.load(Ordering::Relaxed) {
                return;
            }
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","capacity_slots":{SLOTS},"state":"ready","warmup_left_ms":0,"sequence":{sequence}}}"#,
                self.service, self.address, self.zone
            );
            let path = format!("/hatchrudder/instances/{}/heartbeat", self.id);
            for _ in 0..control.len() {
                let answer = http::exchange(control[next % control.len()], PATIENCE, &http::post(&path, &body));
                if answer.is_ok_and(|(head, _)| head.status() == 200) {
                    break;
                }
                next += 1;
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let from = http::peer_of(&stream);
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let Ok(_body) = head.read_body(&mut reader) else { return };
            if self.answer(reader.get_mut(), &head, from).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head, from: Option<IpAddr>) -> io::Result<()> {
        if head.first.starts_with("GET /healthz") {
            let answer = format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return stream.write_all(answer.as_bytes());
        }
        let id = head.get("attempt-id").unwrap_or_default().to_owned();
        if head.get("target-instance").is_some_and(|target| target != self.id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nAttempt-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(answer.as_bytes());
        }
        note(format!(
            "{} of {} in {} runs {id} from {}",
            self.id,
            self.service,
            self.zone,
            from.map_or_else(String::new, |ip| ip.to_string())
        ));
        self.runs.lock().expect("runs").push(Run {
            at: now(),
            replica: self.id.clone(),
            service: self.service,
            zone: self.zone,
            from,
            id: id.clone(),
        });
        thread::sleep(self.work);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{}",
            self.id,
            self.answer,
            "x".repeat(self.answer)
        );
        stream.write_all(answer.as_bytes())
    }
}
