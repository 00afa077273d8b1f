//! The gateway of an instance, on tokio and hyper.
//!
//! The traffic thread ([`run`](mod@run)) serves all sockets: callers, operators, endpoints' heartbeats and other instances. The
//! control thread ([`driver`]) owns the reducer, and a third thread the disk. A [`Dialect`] defines the formats on the
//! wire: it converts heads and bodies to typed messages and back.
//!
//! [`serve`] reads a request. [`call`] finds its route, checks its key and the freshness of the configuration, and
//! sends it to the endpoint that [`choose`] selects, over a connection of [`upstream`]. [`stream`] forwards events.
#![deny(missing_docs, unsafe_code)]

pub mod admission;
pub mod arrivals;
pub mod backoff;
pub mod body;
pub mod budget;
pub mod buffers;
pub mod call;
pub mod choose;
pub mod condition;
pub mod contention;
pub mod contents;
pub mod control_load;
pub mod delay_log;
pub mod dialect;
pub mod driver;
pub mod duty;
pub mod head_timer;
pub mod health;
pub mod lanes;
pub mod limits;
pub mod link_probe;
pub mod loads;
pub mod logging;
pub mod metrics;
pub mod neighbours;
pub mod operate;
pub mod options;
pub mod peers;
pub mod placement;
pub mod plan;
pub mod policy;
pub mod prefill;
pub mod reachability;
pub mod recent;
pub mod returns;
pub mod roster;
pub mod run;
pub mod scaling;
pub mod serve;
pub mod shared;
pub mod shares;
pub mod shedding;
pub mod slow_start;
pub mod stop;
pub mod stream;
pub mod upstream;
pub mod upstream_io;

pub use dialect::{Dialect, DocumentFault, Operation};
pub use options::{Listeners, Options};
pub use plan::{Plan, Route, RouteKind, Service};
pub use policy::Policy;
pub use run::run;
