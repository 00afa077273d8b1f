//! The demo: three halls of instances, stand-in engines and a plain service in one process on
//! loopback, a burst past capacity, a slow engine, an endpoint marked leaving, an instance stopped.
//! Every promise is checked from outside, by what callers got and what endpoints did.
#![deny(missing_docs, unsafe_code)]

pub mod demo;
pub mod deploy;
pub mod load;
pub mod tally;

pub use demo::{Options, demo};
