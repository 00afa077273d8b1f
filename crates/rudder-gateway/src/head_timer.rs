//! A bound on the time that a request's head takes, apart from the time that a connection may rest.
//!
//! The HTTP library has one timer for both. This one starts with the first byte of a head and ends when
//! the library hands the head over.

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

/// Where a connection stands between heads.
#[derive(Debug, Default)]
pub struct HeadTimer {
    began: Cell<Option<Moment>>,
    /// A request is being served: what comes in is its body, or a head that waits its turn.
    serving: Cell<bool>,
    started: Notify,
}

impl HeadTimer {
    /// Records that bytes came.
    fn on_bytes(&self) {
        if !self.serving.get() && self.began.get().is_none() {
            self.began.set(Some(Moment::now()));
            self.started.notify_one();
        }
    }

    /// Records that a head was handed over.
    pub fn on_head(&self) {
        self.began.set(None);
        self.serving.set(true);
    }

    /// Records that a request was answered.
    pub fn on_answer(&self) {
        self.serving.set(false);
    }

    /// Returns once a head has taken longer than `bound`.
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

/// A connection that tells a [`HeadTimer`] when bytes come.
#[derive(Debug)]
pub struct TimedIo<T> {
    inner: T,
    timer: Rc<HeadTimer>,
}

impl<T> TimedIo<T> {
    /// Watches `inner` for `timer`.
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
        // An end of the connection counts as bytes too; then there is nothing left to bound.
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
