//! Response bodies for callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off. The caller's connection is closed, so that the answer does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Interrupted;

/// A part of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes of it.
    Data(Bytes),
    /// All of it has been sent.
    End,
}

/// The body of a response.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body; `None` once it has been read.
    Whole(Option<Bytes>),
    /// Parts of a stream. Its sender marks the end: a sender that is dropped before [`Part::End`] has broken off.
    Parts(mpsc::Receiver<Part>),
}

impl AnswerBody {
    /// Creates a whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        let bytes = bytes.into();
        AnswerBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let body = self.get_mut();
        let parts = match body {
            AnswerBody::Whole(bytes) => return Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            AnswerBody::Parts(parts) => parts,
        };
        parts.poll_recv(context).map(|part| match part {
            Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => {
                *body = AnswerBody::Whole(None);
                None
            }
            None => Some(Err(Interrupted)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            AnswerBody::Parts(_) => SizeHint::default(),
        }
    }
}
