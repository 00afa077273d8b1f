//! Settings of one instance. A process learns its addresses and its hall from here and nowhere else.
//!
//! Every refusal names file, line and key.
#![deny(missing_docs, unsafe_code)]

pub mod check;
pub mod read;
pub mod settings;

pub use read::{Error, read, read_toml};
pub use settings::{Control, Peer, Settings, Traffic};
