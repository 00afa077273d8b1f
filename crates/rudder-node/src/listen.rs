//! Listening sockets.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use socket2::{Domain, Socket, Type};

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
