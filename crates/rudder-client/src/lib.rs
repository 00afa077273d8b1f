//! HTTP clients: [`Operator`] for the operators' interface, [`Caller`] for calls that follow the list
//! of entries the way callers are asked to.
#![deny(missing_docs, unsafe_code)]

pub mod caller;
pub mod operator;

pub use caller::{Caller, Reply};
pub use operator::{Operator, Shown};
pub use rudder_ledger::Changed;
