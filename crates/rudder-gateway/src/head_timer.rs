//! A timeout for reading a request's head, separate from the idle timeout of the connection.
//!
//! hyper has one timer for both. This one starts with the first byte of a head and stops when hyper has parsed it.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::rt::{Read, ReadBufCursor, Write};
use rudder_clock::Moment;
use tokio::sync::Notify;

/// Tracks whether a connection is reading a head, and since when.
#[derive(Debug, Default)]
pub struct HeadTimer {
    began: Cell<Option<Moment>>,
    /// A request is being served, so incoming bytes are its body or a pipelined head.
    serving: Cell<bool>,
    started: Notify,
}

impl HeadTimer {
    /// Starts the timer if the bytes that arrived begin a head.
    fn on_bytes(&self) {
        if !self.serving.get() && self.began.get().is_none() {
            self.began.set(Some(Moment::now()));
            self.started.notify_one();
        }
    }

    /// Stops the timer, as a head has been parsed.
    pub fn on_head(&self) {
        self.began.set(None);
        self.serving.set(true);
    }

    /// Records that a request has been answered.
    pub fn on_answer(&self) {
        self.serving.set(false);
    }

    /// Waits until reading a head has taken longer than `bound`.
    pub async fn expired(&self, bound: Duration) {
        loop {
            self.started.notified().await;
            let Some(began) = self.began.get() else { continue };
            rudder_clock::sleep_until(began + bound).await;
            if self.began.get() == Some(began) {
                return;
            }
        }
    }
}

/// A connection that notifies a [`HeadTimer`] of incoming bytes.
#[derive(Debug)]
pub struct TimedIo<T> {
    inner: T,
    timer: Rc<HeadTimer>,
}

impl<T> TimedIo<T> {
    /// Wraps `inner` and notifies `timer`.
    pub fn new(inner: T, timer: Rc<HeadTimer>) -> TimedIo<T> {
        TimedIo { inner, timer }
    }
}

impl<T: Read + Unpin> Read for TimedIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        // The end of the connection starts the timer too, which is harmless.
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.timer.on_bytes();
        }
        polled
    }
}

impl<T: Write + Unpin> Write for TimedIo<T> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
