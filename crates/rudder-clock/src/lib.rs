//! A monotonic clock that includes time in system suspend, and timers that follow it.
//!
//! The monotonic clock behind [`std::time::Instant`] stops while the machine is suspended, so a lease or deadline measured
//! by it would expire later on this machine than on its peers. [`Moment`] reads `CLOCK_BOOTTIME` instead, which advances
//! during suspend. Tokio timers follow the monotonic clock; [`sleep_until`] and [`timeout_at`] re-check the deadline after
//! [`note_wake`] is called.
#![deny(missing_docs, unsafe_code)]

mod moment;
mod source;
mod wait;

pub use moment::Moment;
pub use source::{BootClock, Clock, simulate_suspension};
pub use wait::{Elapsed, WakeWatch, note_wake, sleep_until, timeout_at};
