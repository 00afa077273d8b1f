//! Stand-ins for the cases 4 to 6 of the review: a small deployment of the project's own program, replicas, clients and an
//! operator, on loopback addresses and the real clock. Built on the standard library alone.

pub mod case;
pub mod fleet;
pub mod http;
pub mod record;
pub mod replica;
pub mod socket;
