//! Reports of closed windows to their receiver, one at a time and oldest first, at the holder of the duties.
//!
//! A report is made from the replicated log, so retries have the same content, also those by another holder.

use std::{collections::BTreeMap, time::Duration};

use rudder_ledger::{Command, Window};

use super::{Backoff, CallOutcome, Context, DutyCall, InFlight, PROPOSE_RETRY_INTERVAL, fence};
use crate::{Effect, options::UsageOptions, usage::window_end};

/// State of the reports.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    in_flight: Option<InFlight<Window>>,
    backoff: Backoff,
    /// Windows acknowledged by the receiver, and when that was last proposed to the log.
    acknowledged: BTreeMap<Window, Option<Duration>>,
}

impl Reports {
    /// Drops everything.
    pub(crate) fn clear(&mut self) {
        *self = Reports::default();
    }

    /// Sends the next report if none is in flight. `tickets` counts the calls of all duties.
    pub(crate) fn tick(&mut self, context: &mut Context, usage: &UsageOptions, tickets: &mut u64) {
        self.propose_acknowledged(context);
        let now = context.now;
        self.in_flight.take_if(|in_flight| in_flight.has_timed_out(now));
        if self.in_flight.is_some() || self.backoff.is_active(now) {
            return;
        }
        let closed = context.control.ledger.usage.closed();
        let Some((window, counts)) = closed.iter().find(|(window, _)| !self.acknowledged.contains_key(window)) else {
            return;
        };
        *tickets += 1;
        self.in_flight = Some(InFlight { ticket: *tickets, subject: *window, since: now });
        let ended = window_end(*window, usage.window);
        context.out.push(Effect::Call {
            ticket: *tickets,
            fence: fence(context.control.replica.term()),
            age: context.time.saturating_sub(ended),
            call: DutyCall::Usage { window: *window, counts: counts.clone() },
        });
    }

    /// Proposes to the log that windows were acknowledged, so that it drops them.
    fn propose_acknowledged(&mut self, context: &mut Context) {
        let (now, closed) = (context.now, context.control.ledger.usage.closed());
        self.acknowledged.retain(|window, _| closed.contains_key(window));
        for (window, proposed) in &mut self.acknowledged {
            if proposed.is_some_and(|at| now < at + PROPOSE_RETRY_INTERVAL) {
                continue;
            }
            *proposed = Some(now);
            context.append(Command::Reported(*window));
        }
    }

    /// Records the outcome of a call.
    pub(crate) fn on_called(&mut self, now: Duration, ticket: u64, outcome: CallOutcome) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.ticket == ticket) else { return };
        if outcome == CallOutcome::Taken {
            self.backoff.clear();
            self.acknowledged.insert(in_flight.subject, None);
        } else {
            self.backoff.record_failure(now, ticket);
        }
    }
}
