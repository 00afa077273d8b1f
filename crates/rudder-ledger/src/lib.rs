//! The replicated state machine. Every voter applies the same commands in the same order, so a
//! command's answer depends on nothing but the commands before it: no clock, no random source.
#![deny(missing_docs, unsafe_code)]

pub mod apply;
pub mod claim;
pub mod command;
pub mod config;
pub mod departure;
pub mod document;
pub mod evacuation;
pub mod moves;
pub mod packing;
pub mod patch;
pub mod quarantine;
pub mod release;
pub mod snapshot;
pub mod usage;

pub use apply::Ledger;
pub use claim::{Attempt, Claim, Claims, Outcome, Standing};
pub use command::{Answer, Command, Stamped};
pub use config::{Change, Changed, Config, Delta, Held, Number};
pub use departure::{Departure, Departures, Forgotten};
pub use document::Document;
pub use evacuation::{Evacuation, Evacuations};
pub use moves::Moves;
pub use patch::Patch;
pub use quarantine::{EndedUnder, Findings, Quarantine, QuarantineNews};
pub use release::{Releases, Software, Stage, StageChange};
pub use usage::{Count, Counts, Source, Tally, Usage, Window};
