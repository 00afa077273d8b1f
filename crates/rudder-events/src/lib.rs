//! The event log. Each process writes one JSON object a line; [`timeline`] merges the files of all
//! processes by time, [`explain`] tells what happened to one request and why.
#![deny(missing_docs, unsafe_code)]

pub mod event;
pub mod explain;
pub mod timeline;

pub use event::{Line, StreamEnd, What};
pub use explain::{explain, explain_duty};
pub use timeline::timeline;
