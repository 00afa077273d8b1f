//! Soaks: schedules of faults drawn from a seed, what was seen from outside, and the judgement of it.
//!
//! A soak runs the real program as processes and breaks them from outside ([`schedule`]). What callers, endpoints and operators
//! saw is kept ([`history`]) and judged afterwards ([`check`]), so the judge knows nothing of the program. A schedule that
//! fails is shortened by leaving out faults while it still does ([`shrink`]).
#![deny(missing_docs, unsafe_code)]

pub mod check;
pub mod history;
pub mod schedule;
pub mod shrink;

pub use check::{Bounds, Broken, Promise, Verdict, check};
pub use history::History;
pub use schedule::{Entry, Fault, Schedule, Size};
