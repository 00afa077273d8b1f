//! What turns one version of a document into the next: most changes touch one place of a long document, and links
//! between instances are narrow.
//!
//! A document is opaque here, so it is cut after each closing brace, which ends an object in the usual text forms, or
//! after [`PIECE_MOST`] bytes. Pieces that the older version has too are named by their place there.

use std::{collections::HashMap, ops::Range};

use rudder_model::ShareTag;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use xxhash_rust::xxh3::xxh3_64;

use crate::Document;

/// Ends a piece.
const PIECE_END: u8 = b'}';
/// Bytes of a piece at most.
const PIECE_MOST: usize = 512;

/// A part of the newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// Bytes of the older version, from the first place up to the second.
    Kept(u32, u32),
    /// Other bytes.
    New(ByteBuf),
}

/// The newer version of a document, told by what differs from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Version that it starts from.
    pub base: u64,
    /// Version that it makes.
    pub version: u64,
    parts: Vec<Part>,
    /// Digest of the newer content.
    digest: u64,
    /// Shares of routes that only the older version has.
    #[serde(default)]
    left: Vec<ShareTag>,
    /// Shares of routes that only the newer version has.
    #[serde(default)]
    joined: Vec<ShareTag>,
}

impl Patch {
    /// The patch that makes `newer` of `older`.
    pub fn between(older: &Document, newer: &Document) -> Patch {
        let known: HashMap<&[u8], usize> =
            pieces(&older.body).map(|range| (&older.body[range.clone()], range.start)).collect();
        let mut parts: Vec<Part> = Vec::new();
        for range in pieces(&newer.body) {
            let piece = &newer.body[range];
            let kept = known.get(piece).map(|start| (*start as u32, (*start + piece.len()) as u32));
            match (parts.last_mut(), kept) {
                (Some(Part::Kept(_, end)), Some((next, until))) if *end == next => *end = until,
                (_, Some((start, end))) => parts.push(Part::Kept(start, end)),
                (Some(Part::New(bytes)), None) => bytes.extend_from_slice(piece),
                (_, None) => parts.push(Part::New(ByteBuf::from(piece))),
            }
        }
        Patch {
            base: older.version,
            version: newer.version,
            parts,
            digest: xxh3_64(&newer.body),
            left: difference(&older.shares, &newer.shares).collect(),
            joined: difference(&newer.shares, &older.shares).collect(),
        }
    }

    /// About its size in bytes.
    pub fn size(&self) -> usize {
        let bytes = |part: &Part| match part {
            Part::Kept(..) => size_of::<Part>(),
            Part::New(bytes) => size_of::<Part>() + bytes.len(),
        };
        let shares = self.left.len() + self.joined.len();
        self.parts.iter().map(bytes).sum::<usize>() + shares * size_of::<ShareTag>()
    }

    /// The newer version; `None` where `older` is not the version that the patch starts from.
    pub fn apply(&self, older: &Document) -> Option<Document> {
        if older.version != self.base {
            return None;
        }
        let mut body = Vec::with_capacity(older.body.len());
        for part in &self.parts {
            match part {
                Part::Kept(start, end) => body.extend_from_slice(older.body.get(*start as usize..*end as usize)?),
                Part::New(bytes) => body.extend_from_slice(bytes),
            }
        }
        let mut shares: Vec<ShareTag> = difference(&older.shares, &self.left).collect();
        shares.extend_from_slice(&self.joined);
        (xxh3_64(&body) == self.digest).then(|| Document::with_shares(self.version, body, shares))
    }
}

/// The shares of `of` that `without` lacks, both in ascending order.
pub(crate) fn difference(of: &[ShareTag], without: &[ShareTag]) -> impl Iterator<Item = ShareTag> {
    of.iter().copied().filter(|share| without.binary_search(share).is_err())
}

/// The pieces of a document, in order.
fn pieces(body: &[u8]) -> impl Iterator<Item = Range<usize>> + '_ {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = body.get(start..).filter(|rest| !rest.is_empty())?;
        let most = rest.len().min(PIECE_MOST);
        let length = rest[..most].iter().position(|byte| *byte == PIECE_END).map_or(most, |at| at + 1);
        let range = start..start + length;
        start = range.end;
        Some(range)
    })
}
