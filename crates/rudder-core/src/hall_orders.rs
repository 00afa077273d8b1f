//! Operators' orders to evacuate halls, from their arrival until they are proposed.
//!
//! An order refers to the evacuations in force when it arrived (see [`rudder_ledger::evacuation`]). This instance may hold an
//! older state then, so the order waits until the state here is proved to be at least as recent as the order.

use std::time::Duration;

use rudder_model::HallId;

/// An order to begin or end an evacuation.
#[derive(Debug)]
pub(crate) struct HallOrder {
    /// Identifies the waiting connection.
    pub ticket: u64,
    /// The hall.
    pub hall: HallId,
    /// True to evacuate the hall, false to end its evacuation.
    pub begins: bool,
    /// When it arrived.
    pub arrived: Duration,
    /// When its outcome is reported as unknown.
    pub deadline: Duration,
}

/// All waiting orders.
#[derive(Debug, Default)]
pub(crate) struct HallOrders {
    waiting: Vec<HallOrder>,
}

impl HallOrders {
    pub(crate) fn add(&mut self, order: HallOrder) {
        self.waiting.push(order);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes and returns the orders that arrived before `proved`, the time as of which the state here is proved.
    pub(crate) fn take_proved(&mut self, proved: Option<Duration>) -> Vec<HallOrder> {
        self.take(|order| proved.is_some_and(|proved| order.arrived <= proved))
    }

    /// Removes and returns the orders past their deadline.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<HallOrder> {
        self.take(|order| now >= order.deadline)
    }

    fn take(&mut self, is_due: impl Fn(&HallOrder) -> bool) -> Vec<HallOrder> {
        let (taken, left) = std::mem::take(&mut self.waiting).into_iter().partition(is_due);
        self.waiting = left;
        taken
    }
}
