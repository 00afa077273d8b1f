//! Operators' orders to evacuate halls, from their arrival until they are proposed.
//!
//! An order counts from what was known of all evacuations when it came (see [`rudder_ledger::evacuation`]). An instance may
//! know an older state then, so it waits for an answer to a question that was sent after the order came.

use std::time::Duration;

use rudder_model::HallId;

/// An order that waits.
#[derive(Debug)]
pub(crate) struct HallOrder {
    /// Identifies the waiting connection.
    pub ticket: u64,
    /// The hall.
    pub hall: HallId,
    /// It is to be evacuated; otherwise, an evacuation ends.
    pub begins: bool,
    /// When it came.
    pub arrived: Duration,
    /// When its outcome is called unknown.
    pub deadline: Duration,
}

/// All orders that wait.
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

    /// Takes those out that came before `proved`, as of which all is known here.
    pub(crate) fn take_proved(&mut self, proved: Option<Duration>) -> Vec<HallOrder> {
        self.take(|order| proved.is_some_and(|proved| order.arrived <= proved))
    }

    /// Takes those out that have waited too long.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<HallOrder> {
        self.take(|order| now >= order.deadline)
    }

    fn take(&mut self, is_meant: impl Fn(&HallOrder) -> bool) -> Vec<HallOrder> {
        let (taken, left) = std::mem::take(&mut self.waiting).into_iter().partition(is_meant);
        self.waiting = left;
        taken
    }
}
