//! Moves of routes between documents, and the shares that documents carry for them.

use std::{sync::Arc, time::Duration};

use quickcheck::quickcheck;
use rudder_ledger::{Command, Document, Ledger, Patch, Stamped};
use rudder_model::ShareTag;

/// Applies commands to a new state machine.
fn apply(commands: impl IntoIterator<Item = Command>) -> Ledger {
    let mut ledger = Ledger::default();
    for (number, command) in commands.into_iter().enumerate() {
        let stamped = Stamped { time: Duration::ZERO, proposer: "core-0".into(), command };
        ledger.apply(number as u64 + 1, stamped);
    }
    ledger
}

fn document(version: u64, shares: &[ShareTag]) -> Document {
    Document::with_shares(version, vec![version as u8], shares.to_vec())
}

/// The shares that are held as moved after these documents, of 0 to 9.
fn moved(documents: &[Document]) -> Vec<ShareTag> {
    let ledger = apply(documents.iter().cloned().map(Command::Document));
    (0..10).filter(|share| ledger.releases.moves().contains(*share)).collect()
}

/// Guards against a first document that counts as a move.
#[test]
fn the_first_document_moves_nothing() {
    assert_eq!(moved(&[document(1, &[1, 2])]), []);
}

/// Guards against moves that are missing because their route was added or removed.
#[test]
fn shares_that_come_and_go_are_held() {
    assert_eq!(moved(&[document(1, &[3, 1]), document(2, &[1, 4]), document(3, &[1])]), [3, 4]);
}

/// Guards against moves to a document that is not in force.
#[test]
fn an_older_document_moves_nothing() {
    assert_eq!(moved(&[document(2, &[1]), document(1, &[2])]), []);
}

/// Guards against moves that are lost where a document is proposed as a patch.
#[test]
fn a_patch_moves_what_its_document_would() {
    let (older, newer) = (document(1, &[1, 2]), document(2, &[2, 3]));
    let patch = Patch::between(&older, &newer);
    let ledger = apply([Command::Document(older), Command::DocumentPatch(patch)]);
    assert_eq!(ledger.document, Some(newer));
    assert_eq!(ledger.releases.moves().len(), 2);
}

/// Guards against later moves that are dropped together with earlier ones.
#[test]
fn moves_are_dropped_up_to_an_index() {
    let documents = [document(1, &[1]), document(2, &[2]), document(3, &[2, 3])];
    let ledger = apply(documents.map(Command::Document).into_iter().chain([Command::ForgetMoves(2)]));
    let moves = ledger.releases.moves();
    assert!(!moves.contains(1) && !moves.contains(2) && moves.contains(3));
    assert_eq!(ledger.releases.index(), 4, "instances are told");
}

/// Guards against a share whose earlier move ends its later one.
#[test]
fn a_share_that_moves_again_is_held_for_longer() {
    let documents = [document(1, &[1]), document(2, &[]), document(3, &[1])];
    let ledger = apply(documents.map(Command::Document).into_iter().chain([Command::ForgetMoves(2)]));
    assert!(ledger.releases.moves().contains(1));
}

/// Guards against a data folder of an earlier version that cannot be read.
#[test]
fn a_document_without_shares_is_read() {
    #[derive(serde::Serialize)]
    struct Earlier(u64, serde_bytes::ByteBuf);
    let bytes = rmp_serde::to_vec(&Earlier(7, serde_bytes::ByteBuf::from(*b"{}"))).expect("it is serializable");
    let read: Document = rmp_serde::from_slice(&bytes).expect("the earlier form is known");
    assert_eq!((read.version, &**read.body, read.shares), (7, b"{}".as_slice(), Arc::from([])));
}

quickcheck! {
    fn a_patch_makes_the_shares_of_the_newer_version(older: Vec<u64>, newer: Vec<u64>) -> bool {
        let few = |draws: &[u64]| draws.iter().map(|draw| draw % 8).collect::<Vec<_>>();
        let (older, newer) = (document(3, &few(&older)), document(7, &few(&newer)));
        Patch::between(&older, &newer).apply(&older) == Some(newer)
    }
}
