//! Serving: one thread for each request.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
};

use eyre::Result;
use tiny_http::{Header, Request, Response};

/// Stack of a thread that serves one request.
const STACK: usize = 128 * 1024;

/// Serves `listener` until the process ends.
///
/// # Errors
/// When the socket cannot be served.
pub fn serve(listener: TcpListener, handle: impl Fn(Request) + Send + Sync + 'static) -> Result<SocketAddr> {
    let address = listener.local_addr()?;
    let server = rudder_node::listen::serve(listener)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let handle = handle.clone();
            let _ = thread::Builder::new().stack_size(STACK).spawn(move || handle(request));
        }
    });
    Ok(address)
}

/// The value of a header.
pub fn header(request: &Request, name: &str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Answers with JSON, naming the request.
pub fn json(request: Request, status: u16, id: &str, body: String) {
    let mut response = Response::from_string(body).with_status_code(status);
    for (name, value) in [("content-type", "application/json"), ("x-request-id", id)] {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

/// Writes one chunk of a chunked body; an empty one ends it.
///
/// # Errors
/// When the peer has gone.
pub fn chunk(writer: &mut impl Write, data: &[u8]) -> io::Result<()> {
    write!(writer, "{:x}\r\n", data.len())?;
    writer.write_all(data)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}
