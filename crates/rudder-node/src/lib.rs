//! One running instance: the threads, sockets and files around the reducer.
//!
//! One thread owns the reducer's state ([`control`]). Traffic threads ([`entry`]) turn callers'
//! connections into events and verdicts into I/O; further threads save ([`rudder_store::disk`]), send to other
//! instances ([`link`]), take in their messages ([`peer`]), look at endpoints and order them
//! ([`endpoint`]) and write events ([`events`]).
#![deny(missing_docs, unsafe_code)]

pub mod admin;
pub mod control;
pub mod endpoint;
pub mod entry;
pub mod events;
pub mod input;
pub mod link;
pub mod listen;
pub mod metrics;
pub mod peer;
pub mod reply;
pub mod start;
pub mod upstream;
pub mod workers;

pub use input::{Input, Query, QueryReply, Status};
pub use start::{Listeners, Node, start};
