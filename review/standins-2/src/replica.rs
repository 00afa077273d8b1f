//! Replicas of a plain service: sound ones, that register themselves, run a request at once and answer it whole.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError, atomic::AtomicU64, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How long a replica waits for the acknowledgement of a heartbeat before it calls the next machine.
const PATIENCE: Duration = Duration::from_secs(1);

/// One request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: String,
    /// The machine that it came from.
    pub from: IpAddr,
    /// When it arrived.
    pub at: Instant,
    /// The answer was handed to the connection whole.
    pub answered: bool,
}

/// What a replica is.
#[derive(Clone)]
pub struct Kind {
    /// Its service.
    pub service: &'static str,
    /// Time that a request takes.
    pub work: Duration,
    /// Length of an answer's body in bytes.
    pub body: usize,
}

struct State {
    id: String,
    zone: &'static str,
    kind: Kind,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
}

/// A replica.
#[derive(Clone)]
pub struct Replica {
    state: Arc<State>,
}

impl Replica {
    /// Starts a replica that sends its heartbeats to these machines.
    pub fn start(ip: Ipv4Addr, zone: &'static str, kind: Kind, control: Vec<SocketAddr>) -> Replica {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let id = format!("i-{:08x}", u32::from(ip).wrapping_mul(2_654_435_761) ^ u32::from(address.port()));
        let state = State { id, zone, kind, address, control, sequence: AtomicU64::new(0), runs: Mutex::default() };
        let replica = Replica { state: Arc::new(state) };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(&stream));
            }
        });
        let beating = replica.clone();
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        replica
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Its zone.
    pub fn zone(&self) -> &'static str {
        self.state.zone
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a heartbeat to one machine after the other until it is acknowledged.
    fn beat(&self) {
        let State { id, zone, kind, address, control, sequence, .. } = &*self.state;
        let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{address}","zone":"{zone}","version":"v1","capacity_slots":6,"state":"ready","warmup_left_ms":0,"sequence":{number}}}"#,
            kind.service
        );
        let path = format!("/hatchrudder/instances/{id}/heartbeat");
        for attempt in 0..control.len() {
            let to = control[(number as usize + attempt) % control.len()];
            if http::post(to, &path, &body, PATIENCE).is_ok_and(|answer| answer.status == 200) {
                return;
            }
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some((head, body_length)) = read_head(&mut reader) {
            let mut body = vec![0; body_length];
            if reader.read_exact(&mut body).is_err() || !self.answer(stream, &head, peer.ip()) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection lives on.
    fn answer(&self, mut stream: &TcpStream, head: &str, from: IpAddr) -> bool {
        let State { id, kind, runs, .. } = &*self.state;
        let mut words = head.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let attempt = http::find_header(head, "attempt-id").unwrap_or_default();
        if method == "GET" && path == "/healthz" {
            return stream
                .write_all(format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes())
                .is_ok();
        }
        if http::find_header(head, "target-instance").is_some_and(|target| target != id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let run = Run { id: attempt.to_owned(), path: path.to_owned(), from, at: Instant::now(), answered: false };
        let lock = || runs.lock().unwrap_or_else(PoisonError::into_inner);
        let number = {
            let mut held = lock();
            held.push(run);
            held.len() - 1
        };
        thread::sleep(kind.work);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: sig-{id}-{attempt}\r\nContent-Length: {}\r\n\r\n",
            kind.body
        );
        let body = to_body(kind.body);
        let written = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body)).is_ok();
        lock()[number].answered = written;
        written
    }
}

/// A body of `length` bytes.
pub fn to_body(length: usize) -> Vec<u8> {
    (0..length).map(|place| b'a' + (place % 23) as u8).collect()
}

/// Reads a request's head and the length of its body.
fn read_head(reader: &mut BufReader<&TcpStream>) -> Option<(String, usize)> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        if line.trim_end().is_empty() {
            break;
        }
        head.push_str(&line);
    }
    let length = http::find_header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    Some((head, length))
}
