//! The policy. A [`Pool`] owns the slots of the endpoints that serve one model or plain service in
//! one hall, and decides request by request which endpoint serves, what waits and what is refused.
//!
//! It knows no clock, no random source and no socket; the same code runs in instances and, in virtual
//! time, under `hatchrudder measure`. The baseline it is measured against is the same type with
//! [`Options::baseline`].
#![deny(missing_docs, unsafe_code)]

pub mod admit;
pub mod ask;
pub mod choose;
pub mod estimate;
pub mod health;
pub mod limit;
pub mod options;
pub mod pool;
pub mod preempt;
pub mod queue;
pub mod rate_limit;
pub mod scale;
pub mod site;
pub mod slow_start;

pub use ask::{Decision, GrantOutcome, HeldGrant, SlotRequest};
pub use options::Options;
pub use pool::{Pool, grant_digest};
pub use site::{EndpointSpec, EndpointState};
