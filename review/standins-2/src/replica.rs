//! Sound replicas: they register themselves, run a request at once and answer it whole, or as a stream of events that goes on
//! after the event that the request names.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, socket};

/// Interval of heartbeats on most deployments.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
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
    /// The tenant that it is run for.
    pub tenant: String,
    /// When it arrived.
    pub at: Instant,
    /// The last event that the client had, if the request takes up a stream.
    pub last_event: Option<u64>,
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
    /// Its answers.
    pub answers: Answers,
    /// Version of its software.
    pub version: &'static str,
    /// Interval of its heartbeats.
    pub heartbeat: Duration,
}

/// The answers of a replica.
#[derive(Clone, Copy)]
pub enum Answers {
    /// A body of so many bytes.
    Whole(usize),
    /// So many events, one after each pause; each tells the version that wrote it.
    Events(u64, Duration),
}

impl Kind {
    /// A replica of a plain service whose answers have so many bytes.
    pub fn plain(service: &'static str, work: Duration, body: usize) -> Kind {
        Kind { service, work, answers: Answers::Whole(body), version: "v1", heartbeat: HEARTBEAT }
    }
}

struct State {
    id: String,
    zone: &'static str,
    kind: Kind,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    sequence: AtomicU64,
    runs: Mutex<Vec<Run>>,
    /// Machines that have no path to it.
    cut: Mutex<Vec<IpAddr>>,
    open: Mutex<Vec<TcpStream>>,
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
        let state = State {
            id,
            zone,
            kind,
            address,
            control,
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            cut: Mutex::default(),
            open: Mutex::default(),
        };
        let replica = Replica { state: Arc::new(state) };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(stream) = accepting.admit(stream) else { continue };
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(&stream));
            }
        });
        let beating = replica.clone();
        thread::spawn(move || {
            let mut due = Instant::now();
            loop {
                beating.beat();
                due += beating.state.kind.heartbeat;
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        replica
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.state.id
    }

    /// Version of its software.
    pub fn version(&self) -> &'static str {
        self.state.kind.version
    }

    /// Its zone.
    pub fn zone(&self) -> &'static str {
        self.state.zone
    }

    /// The requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state.runs).clone()
    }

    /// Cuts these machines off from the replica, or none: their connections are reset, open ones and new ones.
    pub fn cut_off(&self, machines: &[IpAddr]) {
        let mut cut = lock(&self.state.cut);
        machines.clone_into(&mut cut);
        let mut open = lock(&self.state.open);
        let streams = std::mem::take(&mut *open);
        for stream in streams {
            let peer = stream.peer_addr().map(|peer| peer.ip());
            match peer {
                Ok(peer) if machines.contains(&peer) => socket::reset(stream),
                Ok(_) => open.push(stream),
                Err(_) => {}
            }
        }
    }

    /// Takes a new connection, unless its machine is cut off.
    fn admit(&self, stream: TcpStream) -> Option<TcpStream> {
        let peer = stream.peer_addr().ok()?.ip();
        let cut = lock(&self.state.cut);
        if cut.contains(&peer) {
            socket::reset(stream);
            return None;
        }
        lock(&self.state.open).push(stream.try_clone().ok()?);
        Some(stream)
    }

    /// Sends a heartbeat to one machine after the other until it is acknowledged.
    fn beat(&self) {
        let State { id, zone, kind, address, control, sequence, .. } = &*self.state;
        let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{address}","zone":"{zone}","version":"{}","capacity_slots":6,"state":"ready","warmup_left_ms":0,"sequence":{number}}}"#,
            kind.service, kind.version
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
        let last_event = http::find_header(head, "last-event-id").and_then(|last| last.parse().ok());
        let run = Run {
            id: attempt.to_owned(),
            path: path.to_owned(),
            from,
            tenant: http::find_header(head, "tenant").unwrap_or_default().to_owned(),
            at: Instant::now(),
            last_event,
            answered: false,
        };
        let number = {
            let mut held = lock(runs);
            held.push(run);
            held.len() - 1
        };
        thread::sleep(kind.work);
        let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Signature: sig-{id}-{attempt}\r\n");
        let written = match kind.answers {
            Answers::Whole(length) => {
                let head = format!("{head}Content-Length: {length}\r\n\r\n");
                stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&to_body(length)))
            }
            Answers::Events(count, pause) => {
                let events = last_event.unwrap_or(0) + 1..=count;
                write_events(stream, &head, kind.version, events, pause)
            }
        };
        lock(runs)[number].answered = written.is_ok();
        written.is_ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes a stream of events in chunks.
fn write_events(
    mut stream: &TcpStream,
    head: &str,
    version: &str,
    events: std::ops::RangeInclusive<u64>,
    pause: Duration,
) -> std::io::Result<()> {
    let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    for number in events {
        let event = format!("id: {number}\ndata: {version} writes {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n")
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
