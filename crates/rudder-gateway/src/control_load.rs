//! How late the control thread ticks, and what it spends its time on meanwhile.

use std::{collections::BTreeMap, time::Duration};

use rudder_clock::Moment;
use rudder_events::What;

use crate::delay_log::{DelayLog, lateness};

/// Events of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Handled {
    events: u32,
    time: Duration,
}

/// The events handled since the last log line, or since the last tick in time.
#[derive(Debug, Default)]
pub struct ControlLoad {
    handled: BTreeMap<&'static str, Handled>,
    log: DelayLog,
}

impl ControlLoad {
    /// Records an event and the time that it took.
    pub fn record(&mut self, kind: &'static str, time: Duration) {
        let handled = self.handled.entry(kind).or_default();
        handled.events += 1;
        handled.time += time;
    }

    /// Ends the period before a tick that was due at `due`, with `queued` events waiting. Returns a log line if the tick is
    /// late.
    pub fn on_tick(&mut self, due: Moment, now: Moment, queued: usize) -> Option<What> {
        let Some(late) = lateness(due, now) else {
            self.handled.clear();
            return None;
        };
        if !self.log.take(now) {
            return None;
        }
        let handled = std::mem::take(&mut self.handled);
        let (kind, most) = handled.iter().max_by_key(|(_, handled)| handled.time)?;
        Some(What::ControlLate {
            late_ms: late.as_millis() as u64,
            queued,
            events: handled.values().map(|handled| handled.events).sum(),
            busy_ms: handled.values().map(|handled| handled.time).sum::<Duration>().as_millis() as u64,
            busiest: (*kind).to_owned(),
            busiest_events: most.events,
            busiest_ms: most.time.as_millis() as u64,
        })
    }
}
