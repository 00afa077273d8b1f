//! The data folder of one replica.
//!
//! One file `state-N` holds the replica's identity, its snapshot and the records since. Every
//! record is framed with two checksums. A new snapshot is written to a new file that takes the old
//! one's place by a rename, so a crash leaves one of the two whole. Nothing counts as saved before
//! file and folder are synced.
#![deny(missing_docs, unsafe_code)]

pub mod disk;
pub mod frame;
pub mod medium;
pub mod open;
pub mod write;

pub use medium::Medium;
pub use open::open;
pub use write::Store;
