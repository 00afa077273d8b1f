//! A replicated log in the manner of Raft, as a state machine without clock, disk or socket.
//!
//! Time comes in with every call, what must be saved or sent goes out as [`Output`]. Beyond the
//! plain algorithm: pre-vote, a leader lease measured from when a heartbeat was *sent*, learners,
//! one change of membership at a time, snapshots, and replacement of silent voters by spares.
//! A replica's id lives in its data folder, so an emptied folder makes a new replica, never a voter
//! that has forgotten its votes.
#![deny(missing_docs, unsafe_code)]

pub mod election;
pub mod log;
pub mod message;
pub mod repair;
pub mod replica;
pub mod replicate;

pub use log::{Entry, Log, Payload, Snapshot};
pub use message::{Envelope, Message, Output, Record};
pub use repair::Spare;
pub use replica::{Durable, Member, Members, Options, Replica, ReplicaId, Role};
