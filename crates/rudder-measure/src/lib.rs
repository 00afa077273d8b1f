//! Measures the policy: the very code that instances run, on small fakes of engines and callers in
//! virtual time. Baseline and present stand side by side, with the same seeds; the same seed gives
//! the same table.
#![deny(missing_docs, unsafe_code)]

pub mod cost;
pub mod engine;
pub mod report;
pub mod run;
pub mod scenario;
pub mod variant;

pub use report::{Report, report};
pub use scenario::{Scenario, scenario};
pub use variant::Variant;
