//! HTTP/1 connections to endpoints. Each carries one request at a time and is reused once the answer has been read
//! whole.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request, Response,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body_util::Full;
use hyper::{
    body::{Body as _, Incoming},
    client::conn::http1,
};
use hyper_util::rt::TokioIo;
use rudder_clock::Moment;
use rudder_model::EndpointId;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
};

use crate::upstream_io::{Exchange, ResettingStream};

/// Timeout for opening a connection. TCP resends a lost SYN only after a second, so another endpoint is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest read buffer of a connection in bytes; hyper's default is 400 KB.
const MAX_READ_BUFFER: usize = 64 << 10;
/// Timeout of the probe whether an endpoint refuses connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a connection that an endpoint accepted is watched. A process that is killed may close its listener after its other
/// connections; those that still wait to be accepted are reset then.
const ACCEPTED_WATCH: Duration = Duration::from_millis(20);
/// How long a connection may be idle before reuse if its endpoint names no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection is not reused this close to the end of its keep-alive time.
const CLOSE_MARGIN: Duration = Duration::from_millis(1200);
/// Longest idle time of a connection that is reused for a request that must run at most once.
const MAX_IDLE_BEFORE_ONCE: Duration = Duration::from_millis(800);
/// A connection ends when sent data stays unacknowledged for this long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

/// Aborts a connection's task when dropped, and with it the request in flight.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _guard: AbortOnDrop,
    exchange: Rc<Exchange>,
    /// Number of requests sent over it.
    pub carried: u32,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Moment,
    keep_alive: Option<Duration>,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<EndpointId, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the most recently used connection that is still usable. `once` is set for a request that must run at most
    /// once.
    pub fn take(&mut self, endpoint: &EndpointId, once: bool, now: Moment) -> Option<Connection> {
        let idle = self.idle.get_mut(endpoint)?;
        while let Some(last) = idle.pop() {
            let idle_for = now.saturating_duration_since(last.since);
            let bound =
                last.keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive| keep_alive.saturating_sub(CLOSE_MARGIN));
            let bound = if once { bound.min(MAX_IDLE_BEFORE_ONCE) } else { bound };
            if idle_for < bound && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds a connection whose answer has been read whole.
    pub fn put(&mut self, endpoint: &EndpointId, connection: Connection, keep_alive: Option<Duration>, now: Moment) {
        connection.exchange.in_flight.set(false);
        if connection.sender.is_closed() || keep_alive.is_some_and(|keep_alive| keep_alive <= CLOSE_MARGIN) {
            return;
        }
        let idle = self.idle.entry(endpoint.clone()).or_default();
        idle.push(IdleConnection { connection, since: now, keep_alive });
    }

    /// Closes the connections that have been idle too long.
    pub fn evict_expired(&mut self, now: Moment) {
        self.idle.retain(|_, idle| {
            idle.retain(|entry| {
                let bound =
                    entry.keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |keep_alive| keep_alive.saturating_sub(CLOSE_MARGIN));
                now.saturating_duration_since(entry.since) < bound && !entry.connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Returns true if no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

/// A connection could not be opened; nothing was sent.
#[derive(Debug, thiserror::Error)]
#[error("connect to {address}: {source}")]
pub struct ConnectError {
    /// The address.
    pub address: String,
    /// The underlying error.
    pub source: std::io::Error,
}

/// Opens a connection from the local address `origin`, by which the other side can tell instances apart.
///
/// # Errors
/// Fails if the connection is not open within `bound`.
pub async fn connect(origin: IpAddr, address: &str, bound: Duration) -> Result<Connection, ConnectError> {
    let fault = |source: io::Error| ConnectError { address: address.to_owned(), source };
    let opened = tokio::time::timeout(bound, open(origin, address)).await;
    let stream = opened.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(fault)?;
    configure_socket(&stream).map_err(fault)?;
    let exchange = Rc::new(Exchange::default());
    let stream = TokioIo::new(ResettingStream::new(stream, exchange.clone()));
    let handshake = http1::Builder::new().max_buf_size(MAX_READ_BUFFER).handshake(stream).await;
    let (sender, connection) = handshake.map_err(|error| fault(std::io::Error::other(error)))?;
    let task = tokio::task::spawn_local(async move {
        // An error reaches the request in flight through the sender.
        let _ = connection.await;
    });
    Ok(Connection { sender, _guard: AbortOnDrop(task), exchange, carried: 0 })
}

async fn open(origin: IpAddr, address: &str) -> io::Result<TcpStream> {
    let target: SocketAddr =
        address.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an address"))?;
    let socket = if target.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if origin.is_ipv4() == target.is_ipv4() {
        socket.bind(SocketAddr::new(origin, 0))?;
    }
    socket.connect(target).await
}

/// Returns true if connections from `origin` to `address` are refused, so that no process listens there. A timeout proves
/// nothing, as a packet may have been lost.
pub async fn refuses_connections(origin: IpAddr, address: &str) -> bool {
    let probe = tokio::time::timeout(PROBE_TIMEOUT, open(origin, address)).await;
    matches!(probe, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns true unless connections from `origin` to `address` fail, or end at once, so that the process there has ended. A
/// timeout proves nothing.
pub async fn keeps_connections(origin: IpAddr, address: &str) -> bool {
    let stream = match tokio::time::timeout(PROBE_TIMEOUT, open(origin, address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return false,
        Err(_) => return true,
    };
    let peeked = tokio::time::timeout(ACCEPTED_WATCH, stream.peek(&mut [0])).await;
    !matches!(peeked, Ok(Ok(0) | Err(_)))
}

/// Returns true if the end of an answer's body is marked otherwise than by the close of its connection.
pub fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    if let Some(codings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
        return last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    }
    headers.contains_key(CONTENT_LENGTH) || response.body().is_end_stream()
}

/// Disables Nagle's algorithm and enables the detection of dead peers.
///
/// # Errors
/// Fails if a socket option cannot be set.
pub fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probe = Duration::from_secs(1);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe).with_retries(2))
}

impl Connection {
    /// Whether the other side has not closed it.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails if the connection ends first; whether the request ran is then unknown.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.carried += 1;
        self.exchange.begin();
        let response = self.sender.send_request(request).await;
        self.exchange.on_head();
        response
    }
}
