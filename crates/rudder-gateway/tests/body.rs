//! Bodies of streams: whole only if the task that forwards them says so.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use rudder_gateway::body::{AnswerBody, Interrupted, Part};
use tokio::sync::mpsc;

const EVENT: Bytes = Bytes::from_static(b"id: 1\n\n");

/// Reads a body whose sender is dropped after `parts`.
async fn read(parts: Vec<Part>) -> Result<Bytes, Interrupted> {
    let (sender, receiver) = mpsc::channel(4);
    for part in parts {
        sender.send(part).await.expect("the queue has room");
    }
    drop(sender);
    AnswerBody::Parts(receiver).collect().await.map(http_body_util::Collected::to_bytes)
}

/// Guards against a stream that looks whole to its caller though the task that forwards it ended before its last part.
#[tokio::test]
async fn a_body_whose_sender_is_dropped_is_broken_off() {
    assert_eq!(read(vec![Part::Data(EVENT)]).await, Err(Interrupted));
    assert_eq!(read(Vec::new()).await, Err(Interrupted));
}

/// Guards against whole streams that look broken off.
#[tokio::test]
async fn a_body_is_whole_after_its_end() {
    assert_eq!(read(vec![Part::Data(EVENT), Part::End]).await, Ok(EVENT));
}

/// Guards against a body that breaks off, or goes on, after its end.
#[tokio::test]
async fn nothing_follows_the_end_of_a_body() {
    let (sender, receiver) = mpsc::channel(4);
    let mut body = AnswerBody::Parts(receiver);
    for part in [Part::End, Part::Data(EVENT)] {
        sender.send(part).await.expect("the queue has room");
    }
    assert!(body.frame().await.is_none() && body.frame().await.is_none());
}
