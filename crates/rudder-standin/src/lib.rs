//! Small stand-ins of the systems served, for the demo, tests and measurements: a model engine with
//! continuous batching, priorities, cancel, resume, a prefix cache and faults on demand; and a plain
//! service that counts the runs of each key.
#![deny(missing_docs, unsafe_code)]

pub mod batch;
pub mod cache;
pub mod engine;
pub mod fault;
pub mod http;
pub mod service;

pub use engine::{Engine, EngineOptions};
pub use fault::Faults;
pub use service::{Service, ServiceOptions};
