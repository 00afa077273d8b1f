//! Listening sockets.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Weak},
    thread,
    time::Duration,
};

use eyre::{Result, eyre};
use socket2::{Domain, Socket, Type};
use tiny_http::Server;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens on `address`. Accepted connections inherit that small writes go out at once: a token must
/// not wait for the acknowledgement of the one before it.
///
/// # Errors
/// As the system reports.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Time between notices.
const NUDGE: Duration = Duration::from_millis(200);
/// A notify that is not taken within this time is left.
const NUDGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a listening socket.
///
/// Note: `tiny_http` 0.12 hands a new connection to a thread that it counts as idle until that thread
/// has woken up. Two connections close together can be meant for the same thread; the second then
/// waits until some other connection closes, which with kept connections may be never. Any later
/// connection makes it start one more thread, which takes the stranded one too. So the instance
/// connects to itself at short intervals, which bounds the wait.
///
/// # Errors
/// When the socket cannot be served.
pub fn serve(listener: TcpListener) -> Result<Arc<Server>> {
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(|error| eyre!("serve {address}: {error}"))?;
    let server = Arc::new(server);
    let watched = Arc::downgrade(&server);
    thread::Builder::new().name("notify".to_owned()).stack_size(64 * 1024).spawn(move || notify(address, &watched))?;
    Ok(server)
}

fn notify(address: SocketAddr, server: &Weak<Server>) {
    while server.strong_count() > 0 {
        thread::sleep(NUDGE);
        // The connection itself is all that is wanted.
        drop(TcpStream::connect_timeout(&address, NUDGE_TIMEOUT));
    }
}
