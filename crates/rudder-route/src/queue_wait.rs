//! Waits at engines that process prompts by priority, and how long a request may wait.
//!
//! The prompts of less urgent requests are no wait for a request, and more urgent ones that arrive while it waits are.

use std::time::Duration;

use crate::admission::Caller;

/// Largest share of the engines' capacity that more urgent prompts are taken to use: the wait grows without bound towards
/// the whole capacity.
const MAX_URGENT_SHARE: f64 = 0.9;

/// The prompts that the engines of a lane process before those of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Backlog {
    /// Time that the chosen engine takes for those of the request's priority and above that it has.
    pub queued: Duration,
    /// Tokens of more urgent prompts that all instances send to these engines per second.
    pub rate: f64,
    /// Tokens per second that all engines of the lane process.
    pub capacity: f64,
}

impl Backlog {
    /// Predicted wait of the request: while the engine works off what is queued, more urgent prompts arrive.
    pub fn wait(&self) -> Duration {
        let urgent = if self.capacity > 0.0 { self.rate / self.capacity } else { 0.0 };
        self.queued.div_f64(1.0 - urgent.clamp(0.0, MAX_URGENT_SHARE))
    }
}

/// How long requests may wait for the prompts ahead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitBounds {
    /// Share of its target that a request of the lowest priority may wait: one that is late delays those behind it.
    pub target: f64,
    /// Share of its caller's patience that any other request may wait: a late answer is better than a refusal while less
    /// urgent requests are served.
    pub patience: f64,
}

impl WaitBounds {
    /// The longest wait of a request. `lowest` tells whether its priority is the lowest of its service.
    pub fn longest(&self, caller: &Caller, lowest: bool) -> Duration {
        if lowest { caller.target.mul_f64(self.target) } else { caller.patience().mul_f64(self.patience) }
    }
}
