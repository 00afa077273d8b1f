//! Sockets of callers.

use std::{
    future::poll_fn,
    io::Write as _,
    net::TcpStream,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    thread,
    time::Duration,
};

use rudder_gateway::upstream_io::{Exchange, ResettingStream};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, ReadBuf},
    net::TcpListener,
};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
/// Longer than the end of a connection takes over the loopback.
const PAUSE: Duration = Duration::from_millis(100);

/// Polls the stream for bytes once.
fn poll_read(stream: &mut ResettingStream, context: &mut Context<'_>) -> Poll<usize> {
    let mut bytes = [0; 64];
    let mut buffer = ReadBuf::new(&mut bytes);
    let polled = Pin::new(stream).poll_read(context, &mut buffer);
    polled.map(|read| read.map(|()| buffer.filled().len()).expect("the socket can be read"))
}

/// Reads a request, runs `change` while the runtime reads no events, and polls the stream again.
fn poll_after(change: impl FnOnce(TcpStream)) -> Poll<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut caller = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
        let (stream, _) = listener.accept().await.expect("a connection");
        let exchange = Rc::new(Exchange::default());
        exchange.unanswered.set(true);
        let mut stream = ResettingStream::new(stream, exchange);
        caller.write_all(REQUEST).expect("the socket takes a request");
        // Events are read here, without the end of the stream.
        assert_eq!(stream.read(&mut [0; 64]).await.ok(), Some(REQUEST.len()));
        change(caller);
        thread::sleep(PAUSE);
        poll_fn(|context| Poll::Ready(poll_read(&mut stream, context))).await
    })
}

macro_rules! reads {
    ($($(#[$doc:meta])* $name:ident: $change:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(poll_after($change), $expected);
        }
    )*};
}

reads! {
    /// Guards against a request that goes on after a suspension during which its caller left.
    the_end_of_a_served_connection_is_seen_without_an_event: drop => Poll::Ready(0);
    /// Guards against a connection that is given up although its caller waits for the answer.
    a_caller_that_waits_has_not_left: std::mem::forget => Poll::Pending;
    /// Guards against a connection that is given up because its caller has sent the next request.
    a_pipelined_request_is_no_end: |mut caller: TcpStream| {
        caller.write_all(REQUEST).expect("the socket takes a request");
        std::mem::forget(caller);
    } => Poll::Pending;
}
