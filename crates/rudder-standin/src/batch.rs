//! Continuous batching: slots, a queue by priority, and a pace that falls with the load.

use std::{
    collections::BTreeSet,
    sync::{Condvar, Mutex, PoisonError},
    time::Duration,
};

/// Slots of one engine and the requests that wait for them.
#[derive(Debug, Default)]
pub struct Batch {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    count: u64,
    running: u32,
    /// Priority and order of arrival.
    waiting: BTreeSet<(u8, u64)>,
}

impl Batch {
    /// Waits for one of `slots`; a lower `priority` number goes first. False after `limit`.
    pub fn enter(&self, slots: u32, priority: u8, limit: Duration) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.count += 1;
        let ticket = (priority, state.count);
        state.waiting.insert(ticket);
        let is_next = |state: &mut State| state.running >= slots || state.waiting.first() != Some(&ticket);
        let waited = self.changed.wait_timeout_while(state, limit, is_next);
        let (mut state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        state.waiting.remove(&ticket);
        self.changed.notify_all();
        if timeout.timed_out() {
            return false;
        }
        state.running += 1;
        true
    }

    /// Gives the slot back.
    pub fn leave(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.running = state.running.saturating_sub(1);
        self.changed.notify_all();
    }

    /// Requests running and waiting.
    pub fn load(&self) -> (u32, u32) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.running, state.waiting.len() as u32)
    }
}
