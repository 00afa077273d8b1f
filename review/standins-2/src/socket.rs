//! Options of single sockets that the standard library does not offer.

use std::{
    ffi::c_int,
    io,
    net::{SocketAddrV4, TcpStream},
    os::fd::{AsRawFd, FromRawFd as _, OwnedFd},
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOCK_CLOEXEC: c_int = 0o2_000_000;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const SO_LINGER: c_int = 13;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;

/// `struct sockaddr_in`.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_int, length: u32) -> c_int;
    fn connect(socket: c_int, address: *const Address, length: u32) -> c_int;
}

fn set(socket: &impl AsRawFd, level: c_int, name: c_int, value: c_int) -> io::Result<()> {
    // SAFETY: the descriptor is open, and the value is an integer of the length given.
    let result = unsafe { setsockopt(socket.as_raw_fd(), level, name, &raw const value, 4) };
    if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    // Lingering is on, and for no time: the last handle's end resets the connection.
    let linger: [c_int; 2] = [1, 0];
    // SAFETY: the descriptor is open, and the value is a whole `struct linger`.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Connects over segments of at most `segment` bytes with a receive buffer of `window` bytes, as over a narrow link.
pub fn connect_narrow(to: SocketAddrV4, segment: i32, window: i32) -> io::Result<TcpStream> {
    // SAFETY: plain system calls; the descriptor that the first one returns is owned from there on.
    let raw = unsafe { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    if raw < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor is new and owned by nobody else.
    let socket = unsafe { OwnedFd::from_raw_fd(raw) };
    set(&socket, IPPROTO_TCP, TCP_MAXSEG, segment)?;
    set(&socket, SOL_SOCKET, SO_RCVBUF, window)?;
    let address = Address { family: AF_INET as u16, port: to.port().to_be_bytes(), ip: to.ip().octets(), zero: [0; 8] };
    // SAFETY: the address is a whole `sockaddr_in` that outlives the call.
    let result = unsafe { connect(socket.as_raw_fd(), &raw const address, size_of::<Address>() as u32) };
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(TcpStream::from(socket))
}
