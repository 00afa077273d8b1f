//! The load and experiment tool. It drives running processes over HTTP and reports what it measured;
//! the command line names each experiment.
#![deny(missing_docs, unsafe_code)]

pub mod calls;
pub mod changes;
pub mod figures;
pub mod streams;

pub use figures::Figures;
