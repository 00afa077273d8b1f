//! Connections to endpoints: one request at a time on each, reused only while nothing is left on it.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rudder_clock::Moment;
use rudder_model::EndpointId;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle};

/// A connection to an endpoint is given this long to come up. One whose first packet is lost is tried again by
/// the system after a second only, so another endpoint is the better try.
pub const CONNECT: Duration = Duration::from_millis(200);
/// Bytes read from an endpoint before they are passed on, at most; the library would take 400 KB for each connection.
const READ_MOST: usize = 64 << 10;
/// A question whether an endpoint has ended is answered within this time, or left open.
const PROBE: Duration = Duration::from_millis(100);
/// An idle connection whose endpoint told no time is used again within this.
const REST: Duration = Duration::from_secs(4);
/// A connection is not used again this shortly before its endpoint closes it.
const MARGIN: Duration = Duration::from_millis(1200);
/// A request that runs at most once goes out only on a connection that has rested less than this.
const REST_ONCE: Duration = Duration::from_millis(800);
/// Data unacknowledged for this long, or this many probes unanswered, end a connection.
const SILENCE: Duration = Duration::from_millis(2500);

/// Ends a connection's task when dropped, and with it the request under way.
#[derive(Debug)]
struct Guard(JoinHandle<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _guard: Guard,
    /// Requests that it has carried.
    pub carried: u32,
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Moment,
    keep: Option<Duration>,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub struct Pool {
    resting: HashMap<EndpointId, Vec<Resting>>,
}

impl Pool {
    /// Takes an idle connection that can be used; the freshest first.
    pub fn take(&mut self, endpoint: &EndpointId, once: bool, now: Moment) -> Option<Connection> {
        let resting = self.resting.get_mut(endpoint)?;
        while let Some(last) = resting.pop() {
            let rested = now.saturating_duration_since(last.since);
            let bound = last.keep.map_or(REST, |keep| keep.saturating_sub(MARGIN));
            let bound = if once { bound.min(REST_ONCE) } else { bound };
            if rested < bound && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub fn put(&mut self, endpoint: &EndpointId, connection: Connection, keep: Option<Duration>, now: Moment) {
        if connection.sender.is_closed() || keep.is_some_and(|keep| keep <= MARGIN) {
            return;
        }
        let resting = self.resting.entry(endpoint.clone()).or_default();
        resting.push(Resting { connection, since: now, keep });
    }

    /// Closes what has rested too long.
    pub fn age(&mut self, now: Moment) {
        self.resting.retain(|_, resting| {
            resting.retain(|held| {
                let bound = held.keep.map_or(REST, |keep| keep.saturating_sub(MARGIN));
                now.saturating_duration_since(held.since) < bound && !held.connection.sender.is_closed()
            });
            !resting.is_empty()
        });
    }

    /// Idle connections.
    pub fn len(&self) -> usize {
        self.resting.values().map(Vec::len).sum()
    }

    /// True where no connection is idle.
    pub fn is_empty(&self) -> bool {
        self.resting.is_empty()
    }
}

/// Why no connection came up; nothing was sent.
#[derive(Debug, thiserror::Error)]
#[error("connect to {address}: {source}")]
pub struct Unreachable {
    /// Where to.
    pub address: String,
    /// What the system reported.
    pub source: std::io::Error,
}

/// Opens a connection.
///
/// # Errors
/// When it does not come up within `bound`.
pub async fn connect(address: &str, bound: Duration) -> Result<Connection, Unreachable> {
    let fault = |source: std::io::Error| Unreachable { address: address.to_owned(), source };
    let target: SocketAddr =
        address.parse().map_err(|_| fault(std::io::Error::new(std::io::ErrorKind::InvalidInput, "not an address")))?;
    let opened = tokio::time::timeout(bound, TcpStream::connect(target)).await;
    let stream = opened.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into())).map_err(fault)?;
    tune(&stream).map_err(fault)?;
    let handshake = http1::Builder::new().max_buf_size(READ_MOST).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| fault(std::io::Error::other(error)))?;
    let task = tokio::task::spawn_local(async move {
        // Its end is seen by the request that it carries.
        let _ = connection.await;
    });
    Ok(Connection { sender, _guard: Guard(task), carried: 0 })
}

/// True where nobody listens at `address` any more: connections are refused. Silence proves nothing, a packet may
/// have been lost.
pub async fn has_ended(address: &str) -> bool {
    let Ok(target) = address.parse::<SocketAddr>() else { return false };
    let probe = tokio::time::timeout(PROBE, TcpStream::connect(target)).await;
    matches!(probe, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// No delay for small writes, and an end to connections whose other side has gone silent.
///
/// # Errors
/// As the system reports.
pub fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE))?;
    let probe = Duration::from_secs(1);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(probe).with_interval(probe).with_retries(2))
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// When the connection ends first; whether the request ran is then unknown.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.carried += 1;
        self.sender.send_request(request).await
    }
}
