//! The socket of a connection to an endpoint. It is reset instead of closed while a request is in flight: what was not sent of
//! an abandoned request is discarded, and the endpoint learns of it at once. It fails if an endpoint sends too much before the
//! head of its answer is complete. The socket of a caller of HTTP/1.0 is reset likewise if its answer breaks off. A caller's
//! socket is asked itself whether the caller has left while its request is served.

use std::{
    cell::Cell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes that an endpoint may send before the head of its answer is complete, interim answers included.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// The state of the exchange on a connection.
#[derive(Debug, Default)]
pub struct Exchange {
    /// A request is in flight.
    pub in_flight: Cell<bool>,
    /// Bytes that the endpoint may still send before the head of its answer is complete; `None` once it is.
    head_bytes: Cell<Option<usize>>,
    /// A caller's request is served and has no answer yet.
    pub unanswered: Cell<bool>,
}

impl Exchange {
    /// Records that a request is sent.
    pub fn begin(&self) {
        self.in_flight.set(true);
        self.head_bytes.set(Some(MAX_HEAD_BYTES));
    }

    /// Records that the head of the answer is complete.
    pub fn on_head(&self) {
        self.head_bytes.set(None);
    }

    /// Records that the connection has ended, and whether its last answer is whole.
    pub fn on_end(&self, whole: bool) {
        self.in_flight.set(self.in_flight.get() && !whole);
    }

    /// Counts bytes that were read.
    fn on_read(&self, count: usize) -> io::Result<()> {
        let Some(left) = self.head_bytes.get() else { return Ok(()) };
        let left = left
            .checked_sub(count)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "the endpoint sends bytes that are no answer"))?;
        self.head_bytes.set(Some(left));
        Ok(())
    }
}

/// A socket that is reset when dropped with a request in flight.
#[derive(Debug)]
pub struct ResettingStream {
    stream: TcpStream,
    exchange: Rc<Exchange>,
}

impl ResettingStream {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, exchange: Rc<Exchange>) -> ResettingStream {
        ResettingStream { stream, exchange }
    }

    /// Looks for the end of the stream in the socket itself: the runtime may have read its events before the process was
    /// suspended.
    fn poll_end(&self) -> Poll<io::Result<()>> {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(0) => Poll::Ready(Ok(())),
            Ok(_) => Poll::Pending,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
                Poll::Pending
            }
            Err(error) => Poll::Ready(Err(error)),
        }
    }
}

impl Drop for ResettingStream {
    fn drop(&mut self) {
        if self.exchange.in_flight.get() {
            // Without the option the socket is closed in order, which is only slower.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ResettingStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.exchange.on_read(buffer.filled().len() - before)),
            Poll::Pending if self.exchange.unanswered.get() => self.poll_end(),
            other => other,
        }
    }
}

impl AsyncWrite for ResettingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
