//! The event-driven entry of an instance, on tokio and hyper.
//!
//! One thread serves all sockets ([`run`]): callers, operators, endpoints' heartbeats and other
//! instances. Another owns the reducer ([`driver`]), a third the disk. What callers speak is a
//! [`Dialect`]: it turns heads and bodies into typed calls and back, and nothing here knows its names.
//!
//! A request: [`serve`] reads it, [`call`] finds its route, checks key and freshness, and sends it to
//! the endpoint that [`choose`] picks, over a connection of [`upstream`]; [`stream`] passes events on.
#![deny(missing_docs, unsafe_code)]

pub mod backoff;
pub mod balance;
pub mod body;
pub mod budget;
pub mod call;
pub mod choose;
pub mod contents;
pub mod dialect;
pub mod driver;
pub mod duty;
pub mod head_timer;
pub mod health;
pub mod holdings;
pub mod lanes;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod operate;
pub mod options;
pub mod peers;
pub mod places;
pub mod plan;
pub mod policy;
pub mod ramp;
pub mod reading;
pub mod recent;
pub mod roster;
pub mod run;
pub mod scaling;
pub mod serve;
pub mod shared;
pub mod stop;
pub mod stream;
pub mod upstream;

pub use dialect::{Dialect, DocumentFault, Operation};
pub use options::{Listeners, Options};
pub use plan::{Plan, Route, RouteKind, Service};
pub use policy::Policy;
pub use run::run;
