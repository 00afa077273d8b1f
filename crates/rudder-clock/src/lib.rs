//! Time that counts the suspension of a machine, and waits that end by it.
//!
//! The steady clock stands still while a machine is suspended. A lease, a proof, a deadline or a pause that is measured by it
//! would outlive by that much what others hold of it. [`Moment`] is taken from the boot-time clock instead, which goes on.
//! Timers of the runtime follow the steady clock; [`sleep_until`] and [`timeout_at`] look again once [`note_wake`] has found
//! that the machine was suspended.
#![deny(missing_docs, unsafe_code)]

mod moment;
mod source;
mod wait;

pub use moment::Moment;
pub use source::{Boot, Source, suspend};
pub use wait::{Elapsed, WakeWatch, note_wake, sleep_until, timeout_at};
