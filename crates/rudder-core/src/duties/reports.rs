//! Reports of closed windows to their receiver, one at a time and the oldest first, at the holder.
//!
//! What is sent is what the replicated log holds of a closed window, so every repeat is the same, by whichever holder.

use std::{collections::BTreeMap, time::Duration};

use rudder_ledger::{Command, Window};

use super::{Backoff, CallOutcome, Context, DutyCall, Flying, PROPOSE_AGAIN, fence};
use crate::{Effect, options::UsageOptions, usage::window_end};

/// Reports under way.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    flying: Option<Flying<Window>>,
    backoff: Backoff,
    /// Windows acknowledged, with when that was last proposed to the log.
    done: BTreeMap<Window, Option<Duration>>,
}

impl Reports {
    /// Forgets all.
    pub(crate) fn clear(&mut self) {
        *self = Reports::default();
    }

    /// Sends the next report where none is under way. `tickets` counts the calls of all duties.
    pub(crate) fn tick(&mut self, context: &mut Context, usage: &UsageOptions, tickets: &mut u64) {
        self.record_done(context);
        let now = context.now;
        self.flying.take_if(|flying| flying.is_forgotten(now));
        if self.flying.is_some() || self.backoff.holds(now) {
            return;
        }
        let closed = context.control.ledger.usage.closed();
        let Some((window, counts)) = closed.iter().find(|(window, _)| !self.done.contains_key(window)) else { return };
        *tickets += 1;
        self.flying = Some(Flying { ticket: *tickets, subject: *window, since: now });
        let ended = window_end(*window, usage.window);
        context.out.push(Effect::Call {
            ticket: *tickets,
            fence: fence(context.control.replica.term()),
            age: context.time.saturating_sub(ended),
            call: DutyCall::Usage { window: *window, counts: counts.clone() },
        });
    }

    /// Lets the log forget the windows that were acknowledged.
    fn record_done(&mut self, context: &mut Context) {
        let (now, closed) = (context.now, context.control.ledger.usage.closed());
        self.done.retain(|window, _| closed.contains_key(window));
        for (window, proposed) in &mut self.done {
            if proposed.is_some_and(|at| now < at + PROPOSE_AGAIN) {
                continue;
            }
            *proposed = Some(now);
            context.append(Command::Reported(*window));
        }
    }

    /// Records how a call ended.
    pub(crate) fn on_called(&mut self, now: Duration, ticket: u64, outcome: CallOutcome) {
        let Some(flying) = self.flying.take_if(|flying| flying.ticket == ticket) else { return };
        if outcome == CallOutcome::Taken {
            self.backoff.clear();
            self.done.insert(flying.subject, None);
        } else {
            self.backoff.note_failure(now, ticket);
        }
    }
}
