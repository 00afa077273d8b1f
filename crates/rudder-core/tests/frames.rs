//! Damaged frames are decoded as some message or rejected, without a panic or an excessive allocation.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, watch_request};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rudder_core::{PeerMessage, usage::UsageAck};
use rudder_ledger::{Command, EndedUnder, Findings};

/// The bytes of a message with some of them changed.
#[derive(Clone, Debug)]
struct Frame(Vec<u8>);

fn messages() -> Vec<PeerMessage> {
    let findings = Findings { ended: vec![EndedUnder { content: 7, endpoint: 9 }], answered: vec![7] };
    vec![
        PeerMessage::Notify,
        PeerMessage::WatchRequest(Box::new(watch_request("i-1", 4, 9))),
        PeerMessage::Propose { ticket: 3, start: 9, command: Command::Findings(findings) },
        PeerMessage::Redirect { leader: Some("i-2".into()) },
    ]
}

impl Arbitrary for Frame {
    fn arbitrary(g: &mut Gen) -> Frame {
        let messages = messages();
        let message = g.choose(&messages).expect("non-empty list");
        let mut bytes = rmp_serde::to_vec(message).expect("messages are serializable");
        for _ in 0..=u8::arbitrary(g) % 6 {
            let at = usize::arbitrary(g) % bytes.len().max(1);
            match u8::arbitrary(g) % 4 {
                0 => bytes.truncate(at),
                1 => bytes.insert(at, u8::arbitrary(g)),
                // An array header with the maximum length.
                2 => drop(bytes.splice(at..at, [0xdd, 0xff, 0xff, 0xff, 0xff])),
                _ => bytes.iter_mut().skip(at).take(1).for_each(|byte| *byte = byte.wrapping_add(1 + at as u8)),
            }
        }
        Frame(bytes)
    }
}

#[test]
fn damaged_frames_do_no_harm() {
    #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(frame: Frame) -> bool {
        let read = rmp_serde::from_slice::<PeerMessage>(&frame.0);
        // A small frame must not decode to a large message.
        read.map_or(true, |message| rmp_serde::to_vec(&message).is_ok_and(|bytes| bytes.len() < 4096))
    }
    let generator = Gen::from_size_and_seed(60, 1);
    QuickCheck::new().rng(generator).tests(20_000).quickcheck(holds as fn(Frame) -> bool);
}

/// Guards against a renamed variant changing the encoding, which instances of another version must still understand.
#[test]
fn renamed_messages_keep_their_encoded_names() {
    let mut mesh = Mesh::start(3, 3);
    mesh.run(Duration::from_secs(4));
    let leader = mesh.leader().expect("a leader");
    let reply = mesh.watch(leader, watch_request("i-1", 4, 9));
    let ack = UsageAck { start: 1, sequence: 2, before: 3 };
    let encoded = [
        (PeerMessage::WatchRequest(Box::new(watch_request("i-1", 4, 9))), "Watch"),
        (PeerMessage::WatchReply(Box::new(reply)), "Watched"),
        (PeerMessage::Redirect { leader: None }, "Elsewhere"),
        (PeerMessage::UsageAck(ack), "UsageTaken"),
    ];
    for (message, name) in encoded {
        let bytes = rmp_serde::to_vec(&message).expect("messages are serializable");
        // A map of one entry, whose key is the name as a short string.
        let prefix = [&[0x81, 0xa0 | name.len() as u8], name.as_bytes()].concat();
        assert!(bytes.starts_with(&prefix), "{name}: {bytes:?}");
    }
}
