//! Damaged frames are decoded as some message or rejected, without a panic or an excessive allocation.

mod mesh;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rudder_core::PeerMessage;
use rudder_ledger::{Command, EndedUnder, Findings};

/// The bytes of a message with some of them changed.
#[derive(Clone, Debug)]
struct Frame(Vec<u8>);

fn messages() -> Vec<PeerMessage> {
    let findings = Findings { ended: vec![EndedUnder { content: 7, endpoint: 9 }], answered: vec![7] };
    vec![
        PeerMessage::Notify,
        PeerMessage::WatchRequest(Box::new(mesh::watch_request("i-1", 4, 9))),
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
