//! Listeners and their connections.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use eyre::{Context as _, Result};
use http::{Request, Response, Version, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use rudder_clock::Moment;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::{
    Dialect,
    body::AnswerBody,
    buffers::Disconnect,
    call::{self, hop::PeerAddress},
    head_timer::{HeadTimer, TimedIo},
    operate,
    plan::Limits,
    shared::{Shared, Stage},
    upstream,
    upstream_io::{Exchange, ResettingStream},
};

/// Length of the queue of connections to accept.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept, as file descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Smallest read buffer that hyper accepts.
const MIN_HEAD_BUFFER: usize = 8192;

/// The kind of listener that accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Callers.
    Callers,
    /// Operators, endpoints, the directory and readiness checks.
    Control,
    /// Metrics.
    Metrics,
}

/// Counts a caller's connection as open until it is dropped.
struct OpenConnection<D: Dialect> {
    shared: Rc<Shared<D>>,
}

impl<D: Dialect> OpenConnection<D> {
    fn new(shared: &Rc<Shared<D>>) -> OpenConnection<D> {
        shared.open_connections.set(shared.open_connections.get() + 1);
        OpenConnection { shared: shared.clone() }
    }
}

impl<D: Dialect> Drop for OpenConnection<D> {
    fn drop(&mut self) {
        self.shared.open_connections.set(self.shared.open_connections.get() - 1);
    }
}

/// Listens at `address`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4().wrap_err("create a socket")?;
    socket.set_reuseaddr(true).wrap_err("set a socket option")?;
    socket.bind(address).wrap_err_with(|| format!("bind {address}"))?;
    socket.listen(BACKLOG).wrap_err_with(|| format!("listen on {address}"))
}

/// Accepts connections until the runtime ends.
pub async fn accept<D: Dialect>(shared: Rc<Shared<D>>, listener: TcpListener, via: Listener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move { serve(shared, stream, via).await });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve<D: Dialect>(shared: Rc<Shared<D>>, stream: TcpStream, via: Listener) {
    let closed = via == Listener::Callers && *shared.stage.borrow() == Stage::Closing;
    if closed || upstream::configure_socket(&stream).is_err() {
        // The caller has disconnected, or can safely retry elsewhere since nothing was read from it.
        return;
    }
    let _open = (via == Listener::Callers).then(|| OpenConnection::new(&shared));
    let peer = stream.peer_addr().map(|peer| PeerAddress(peer.ip())).ok();
    let limits = shared.current_plan().map_or_else(Limits::default, |plan| plan.limits);
    let timer = Rc::new(HeadTimer::default());
    let cut = Disconnect::default();
    let exchange = Rc::new(Exchange::default());
    let stream = ResettingStream::new(stream, exchange.clone());
    let service = service_fn(|mut request: Request<Incoming>| {
        timer.on_head();
        // HTTP/1.0 has no chunks, so that an orderly close would make a stream that breaks off look whole.
        exchange.in_flight.set(request.version() < Version::HTTP_11);
        exchange.unanswered.set(true);
        request.extensions_mut().insert(cut.clone());
        if let Some(peer) = peer {
            request.extensions_mut().insert(peer);
        }
        let (answered, timer, exchange) = (answer(shared.clone(), request, via), timer.clone(), exchange.clone());
        async move {
            let response = answered.await;
            timer.on_answer();
            exchange.unanswered.set(false);
            response
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(MIN_HEAD_BUFFER))
        .pipeline_flush(false)
        .serve_connection(TimedIo::new(TokioIo::new(stream), timer.clone()), service);
    let mut connection = std::pin::pin!(connection);
    let mut head_expired = std::pin::pin!(timer.expired(limits.head_time));
    let mut stages = shared.stage.subscribe();
    let closing = stages.wait_for(|stage| *stage == Stage::Closing);
    tokio::select! {
        ended = connection.as_mut() => return exchange.on_end(ended.is_ok()),
        () = head_expired.as_mut() => return,
        () = cut.notified() => return,
        _ = closing => {}
    }
    // Finishes the request in flight; an idle connection closes now.
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        ended = connection => exchange.on_end(ended.is_ok()),
        () = head_expired => {}
        () = cut.notified() => {}
    }
}

async fn answer<D: Dialect>(
    shared: Rc<Shared<D>>,
    request: Request<Incoming>,
    via: Listener,
) -> Result<Response<AnswerBody>, Infallible> {
    let serving = shared.clone();
    let mut response = match via {
        Listener::Callers => call::handle(shared, request).await,
        Listener::Metrics => operate::metrics(&shared, request.uri().path()),
        Listener::Control => operate::handle(shared, request, Moment::now()).await,
    };
    if *serving.stage.borrow() != Stage::Serving {
        response.headers_mut().insert(CONNECTION, http::HeaderValue::from_static("close"));
    }
    Ok(response)
}
