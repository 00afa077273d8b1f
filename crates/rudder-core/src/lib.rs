//! The reducer of an instance: [`State::reduce`] takes an event and the time, changes the state and emits effects. It
//! reads no clock, random source or socket, so the same code runs in instances, in randomised simulations and in the
//! fault matrix.
//!
//! Modules:
//!
//! - [`control`]: the replicated log and the leader's replies to watch requests;
//! - [`view`]: the configuration and directory in force, and the proof of their freshness;
//! - [`tree`]: the relays of each hall; [`upstream`]: the target and schedule of watch requests;
//! - [`watchers`]: the instances that send watch requests to this one, and the loads that they report;
//! - [`document_history`]: older versions of the document, from which patches are made;
//! - [`transfer`]: large messages in pieces;
//! - [`delta_map`]: entries that are replicated from the leader as deltas;
//! - [`propose`]: proposals to the leader;
//! - [`calls`]: the requests of callers connected to this instance; [`idempotency`]: their idempotency keys;
//! - [`homes`]: the pools scheduled by this instance;
//! - [`registry`]: endpoints that register themselves by heartbeats; `departures`: their way into the log;
//! - [`loads`]: in-flight requests at endpoints, over all instances;
//! - [`work`]: work by organisation, over all instances;
//! - [`limits`]: rate limits reported by endpoints; [`permits`]: permits to send to such endpoints;
//! - [`origins`]: the versions that began streams; `releases`: the versions in service, in the log;
//! - `founding`: founding of the log;
//! - [`clock`]: the time of day that all instances agree on;
//! - [`usage`]: request counts by organisation, reported to the leader;
//! - [`duties`]: calls that one instance makes for all, under the leader's lease;
//! - [`orders`]: fenced orders to endpoints, sent by the leader only.
#![deny(missing_docs, unsafe_code)]

pub mod calls;
pub mod clock;
pub mod control;
pub mod delta_map;
pub(crate) mod departures;
pub mod document_history;
pub mod duties;
pub mod effect;
pub mod event;
pub(crate) mod founding;
pub(crate) mod hall_orders;
pub(crate) mod hall_tags;
pub mod homes;
pub mod idempotency;
mod joining;
pub mod limits;
pub mod lives;
pub mod loads;
pub mod options;
pub mod orders;
pub mod origins;
mod pacer;
pub mod peer;
pub mod permits;
pub mod propose;
pub mod reach;
pub mod reduce;
pub mod registry;
mod releases;
pub mod subset;
pub mod transfer;
pub mod tree;
pub mod upstream;
pub mod usage;
pub mod view;
pub mod watchers;
pub mod work;

pub use duties::{CallOutcome, DutyCall};
pub use effect::{Dispatch, Effect, Stored, Verdict};
pub use event::{Arrival, Ended, Event, Key};
pub use options::{Me, Options};
pub use peer::{Listing, PeerMessage, RelayGroup, WatchReply, WatchRequest};
pub use reduce::State;
pub use registry::{Phase, Registration, Registry};
