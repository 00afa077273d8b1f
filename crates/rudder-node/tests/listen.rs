//! Connections that arrive close together are all served, though none of them closes.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use rudder_node::listen::{listen, serve};
use tiny_http::Response;

/// Ends a test that would fail; nothing is timed.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn no_connection_of_a_burst_is_stranded() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("listen");
    let address = listener.local_addr().expect("an address");
    let server = serve(listener).expect("serve");
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let _ = request.respond(Response::from_string("here"));
        }
    });
    let mut kept = Vec::new();
    for _ in 0..20 {
        let burst: Vec<TcpStream> = (0..12).map(|_| TcpStream::connect(address).expect("connect")).collect();
        for mut stream in burst {
            stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
            stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("write");
            let mut head = [0; 12];
            stream.read_exact(&mut head).expect("an answer, though the other connections stay open");
            assert_eq!(&head, b"HTTP/1.1 200");
            kept.push(stream);
        }
    }
}
