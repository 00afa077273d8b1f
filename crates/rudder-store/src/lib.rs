//! Durable storage of one replica: a data folder with checksummed, synced files.
//!
//! The file `state-N` holds the replica's identity, its snapshot and the log records appended
//! since. Every record is framed with two checksums. A new snapshot is written to a temporary file,
//! synced and renamed to `state-N+1`, so a crash leaves at least one complete file. Data is durable
//! only after the file and the folder are synced. [`notes`] lie in files of their own and are never synced.
#![deny(missing_docs, unsafe_code)]

pub mod disk;
pub mod frame;
pub mod medium;
pub mod notes;
pub mod open;
pub mod write;

pub use medium::Medium;
pub use notes::Notes;
pub use open::{open, open_as_founder, open_with};
pub use write::Store;
