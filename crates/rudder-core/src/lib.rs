//! The one reducer of an instance: [`State::reduce`] takes an event and the time, changes the state
//! and pushes effects. It reads no clock, no random source and no socket, so the same code runs in
//! instances, in randomised runs and in the fault matrix.
//!
//! Its parts, each with a narrow face of its own:
//!
//! - [`control`]: the replicated log, and the leader's answers to those who ask it;
//! - [`view`]: the configuration and directory in force here, and whether they are fresh;
//! - [`tree`]: the relays of each hall; [`asking`]: whom an instance asks next, the leader or a relay;
//! - [`watchers`]: those who ask an instance, and the work they tell;
//! - [`document_history`]: older versions of the document, so that askers get what differs;
//! - [`delta_map`]: entries that spread from the leader as deltas;
//! - [`propose`]: commands on their way to the leader;
//! - [`calls`]: the requests whose callers are connected here;
//! - [`homes`]: the pools that this instance decides for;
//! - [`registry`]: endpoints that register themselves by heartbeats;
//! - [`loads`]: work under way at endpoints, as all instances tell it;
//! - [`limits`]: rate limits that endpoints name, as all instances know them; [`permits`]: who may send to such endpoints;
//! - `founding`: the start of the log;
//! - [`clock`]: the time of day that all agree on;
//! - [`usage`]: requests by organisation, on their way to the leader;
//! - [`duties`]: calls that one instance makes for all, under the leader's lease;
//! - [`orders`]: fenced orders to endpoints, sent by the leader only.
#![deny(missing_docs, unsafe_code)]

pub mod asking;
pub mod calls;
pub mod clock;
pub mod control;
pub mod delta_map;
pub mod document_history;
pub mod duties;
pub mod effect;
pub mod event;
pub(crate) mod founding;
pub(crate) mod hall_orders;
pub(crate) mod hall_tags;
pub mod homes;
pub mod idempotency;
pub mod limits;
pub mod lives;
pub mod loads;
pub mod options;
pub mod orders;
pub mod peer;
pub mod permits;
pub mod propose;
pub mod reach;
pub mod reduce;
pub mod registry;
pub mod subset;
pub mod tree;
pub mod usage;
pub mod view;
pub mod watchers;

pub use duties::{CallOutcome, DutyCall};
pub use effect::{Dispatch, Effect, Stored, Verdict};
pub use event::{Arrival, Ended, Event, Key};
pub use options::{Me, Options};
pub use peer::{Group, Listing, PeerMessage, Watch, Watched};
pub use reduce::State;
pub use registry::{Phase, Registration, Registry};
