//! Patches of documents: whatever the two versions, applying one gives the other exactly.

use quickcheck::quickcheck;
use rudder_ledger::{Document, Patch};

fn document(version: u64, body: &[u8]) -> Document {
    Document::new(version, body.to_vec())
}

/// Few different bytes, so that versions share pieces.
fn body(draws: &[u8]) -> Vec<u8> {
    draws.iter().map(|draw| b"{}ab"[usize::from(draw % 4)]).collect()
}

quickcheck! {
    fn a_patch_makes_the_newer_version(older: Vec<u8>, newer: Vec<u8>) -> bool {
        let (older, newer) = (document(3, &body(&older)), document(7, &body(&newer)));
        Patch::between(&older, &newer).apply(&older) == Some(newer)
    }

    fn long_versions_without_braces_are_made_too(older: Vec<u8>, newer: Vec<u8>) -> bool {
        let long = |draws: &[u8]| draws.iter().flat_map(|draw| vec![b'a' + draw % 3; 300]).collect::<Vec<u8>>();
        let (older, newer) = (document(3, &long(&older)), document(7, &long(&newer)));
        Patch::between(&older, &newer).apply(&older) == Some(newer)
    }
}

fn routes(changed: usize) -> Vec<u8> {
    let route =
        |number: usize| format!("{{\"route\":{number},\"timeout\":{}}},", if number == changed { 7 } else { 9 });
    (0..250).map(route).collect::<String>().into_bytes()
}

#[test]
fn one_change_in_a_long_document_makes_a_short_patch() {
    let (older, newer) = (document(3, &routes(250)), document(7, &routes(120)));
    let patch = Patch::between(&older, &newer);
    assert!(patch.size() < 200, "{} of {}", patch.size(), newer.body.len());
    assert_eq!(patch.apply(&older), Some(newer));
}

#[test]
fn a_patch_of_another_version_or_content_makes_nothing() {
    let (older, newer) = (document(3, &routes(250)), document(7, &routes(120)));
    let patch = Patch::between(&older, &newer);
    assert_eq!(patch.apply(&document(4, &routes(250))), None);
    assert_eq!(patch.apply(&document(3, &routes(17))), None);
    assert_eq!(patch.apply(&document(3, b"")), None);
}
