//! The routing policy. A [`Pool`] manages the slots of the endpoints that serve one model or plain service in one
//! hall, and decides for each request which endpoint serves it, whether it is queued or whether it is refused.
//!
//! All decisions are pure: the crate reads no clock, draws no random numbers and does no I/O, so the same code runs in
//! instances and, in virtual time, under `hatchrudder measure`. That compares it with the baseline, which is the same
//! type with [`Options::baseline`].
#![deny(missing_docs, unsafe_code)]

pub mod admission;
pub mod admit;
pub mod concurrency_limit;
pub mod condition;
pub mod decay;
pub mod endpoint;
pub mod engine_cost;
pub mod estimate;
pub mod first_deadline;
pub mod health;
pub mod options;
pub mod pool;
pub mod preempt;
pub mod queue;
pub mod queue_wait;
pub mod rate_limit;
pub mod request;
pub mod returns;
pub mod scale;
pub mod schedule;
pub mod shares;
pub mod slow_start;
pub mod usage;
pub mod waiting;

pub use endpoint::{EndpointSpec, EndpointState};
pub use options::Options;
pub use pool::{Pool, grant_digest};
pub use request::{Decision, GrantOutcome, HeldGrant, SlotRequest};
