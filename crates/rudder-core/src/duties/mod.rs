//! Duties: calls to outside receivers that only one instance at a time may make.
//!
//! The leader of the replicated log holds them under its lease. A new holder waits for the handover time before its first
//! call, so that calls of two holders don't interleave. Every call carries a fencing token derived from the term. A term has
//! at most one leader and is durable at a quorum, so a token is never used by two instances and only increases. The thread
//! that sends a call checks the lease again right before it ([`Effect::Call`]), so that a paused holder sends nothing.
//!
//! - `intake`: counts of requests to be committed to the log, and the closing of windows;
//! - `reports`: the report of each closed window, until it is acknowledged;
//! - [`scaling`]: orders that set the number of engines.

pub(crate) mod intake;
pub(crate) mod reports;
pub mod scaling;

use std::{sync::Arc, time::Duration};

use rudder_events::{What, explain::to_price};
use rudder_ledger::{Command, Counts, Window};
use rudder_model::{HallId, InstanceId, id};
use serde::{Deserialize, Serialize};

use self::{
    intake::Intake,
    reports::Reports,
    scaling::{Scaling, ServiceState},
};
use crate::{Effect, Me, Options, control::Control, usage::UsageUpdate};

/// Lower bits of a fence, which count the calls of a term: enough for one call per millisecond over 17 minutes, far more
/// than are made.
const FENCE_BITS: u32 = 20;
/// Delay after the first failed call; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest delay after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// How long to wait for the outcome of a call; usually it comes far sooner.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A command that isn't committed after this time is proposed again.
const PROPOSE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A fencing token, which increases with each holder.
pub type Fence = u64;

/// A call to an outside receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the number of requests by organisation in one window.
    Usage {
        /// The window.
        window: Window,
        /// Requests that began in it.
        counts: Counts,
    },
    /// Orders the number of engines of a service in a hall.
    Scale {
        /// The service.
        service: Arc<str>,
        /// The hall.
        hall: HallId,
        /// True for spot engines, false for on-demand ones.
        cheap: bool,
        /// The number of engines wanted.
        count: u32,
    },
}

impl DutyCall {
    /// Its name in logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            DutyCall::Usage { .. } => "usage",
            DutyCall::Scale { .. } => "scale",
        }
    }

    /// Its subject, for the log.
    pub fn subject(&self) -> String {
        match self {
            DutyCall::Usage { window, .. } => format!("window {window}"),
            DutyCall::Scale { service, hall, cheap, count } => {
                format!("{count} of {service} in {hall}, {}", to_price(*cheap))
            }
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The receiver carried it out.
    Taken,
    /// The receiver has seen a higher fence, so another instance holds the duty.
    Outranked,
    /// No engines of this kind are available in the hall now.
    NoneLeft,
    /// The receiver is overloaded and didn't carry it out.
    Busy,
    /// The lease ended before it was sent.
    Lapsed,
    /// No conclusive answer: it may have been carried out, or may still be.
    Unknown,
}

/// A call in flight, about `subject`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight<T> {
    ticket: u64,
    subject: T,
    since: Duration,
}

impl<T> InFlight<T> {
    /// True if its outcome is no longer expected.
    pub(crate) fn has_timed_out(&self, now: Duration) -> bool {
        now >= self.since + CALL_TIMEOUT
    }
}

/// Exponential backoff after failed calls.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    until: Duration,
}

impl Backoff {
    /// Records a success.
    pub(crate) fn clear(&mut self) {
        *self = Backoff::default();
    }

    /// Records a failure; `salt` seeds the jitter.
    pub(crate) fn record_failure(&mut self, now: Duration, salt: u64) {
        let delay = (INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures)).min(MAX_BACKOFF);
        let jitter = delay.mul_f64(id::rendezvous("backoff", &salt.to_string()) as f64 / u64::MAX as f64);
        self.failures += 1;
        self.until = now + delay / 2 + jitter / 2;
    }

    /// True while the next call has to wait.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// The duties of this instance; idle except at the leader.
#[derive(Debug, Default)]
pub struct Duties {
    intake: Intake,
    reports: Reports,
    scaling: Scaling,
    /// Number of calls so far.
    tickets: u64,
    /// Term in which this instance holds the duties.
    held_term: Option<u64>,
    /// Term in which a receiver reported a higher fence.
    outranked_term: Option<u64>,
}

/// The first fence of a term.
pub(crate) fn fence(term: u64) -> Fence {
    term << FENCE_BITS
}

/// The parts of the instance that duties use.
pub(crate) struct Context<'a> {
    /// Monotonic time of the instance.
    pub now: Duration,
    /// The agreed time of day.
    pub time: Duration,
    /// The instance.
    pub me: &'a Me,
    /// The replicated state.
    pub control: &'a mut Control,
    /// Its settings.
    pub options: &'a Options,
    /// Resulting effects.
    pub out: &'a mut Vec<Effect>,
}

impl Context<'_> {
    /// Appends a command to the log. Returns its index, or `None` if this instance no longer leads.
    fn append(&mut self, command: Command) -> Option<u64> {
        self.control.append(self.now, self.me, command, self.options, self.out)
    }
}

impl Duties {
    /// Advances time.
    pub(crate) fn tick(&mut self, mut context: Context) {
        let options = context.options;
        if !options.duties.is_any() {
            return;
        }
        if context.control.leads_since(context.now).is_none() {
            self.release(context.out);
            return;
        }
        if let Some(usage) = &options.duties.usage {
            self.intake.tick(&mut context, usage);
        }
        if !self.acquire(&mut context) {
            return;
        }
        if let Some(usage) = &options.duties.usage {
            self.reports.tick(&mut context, usage, &mut self.tickets);
        }
    }

    /// Takes over the duties if the handover time has passed. Returns whether this instance may make calls now.
    fn acquire(&mut self, context: &mut Context) -> bool {
        let handover = context.options.duties.handover;
        let Some(term) = context.control.duty_term(context.now, handover) else { return false };
        if self.outranked_term == Some(term) {
            return false;
        }
        if self.held_term != Some(term) {
            self.held_term = Some(term);
            context.out.push(Effect::Log(What::DutyHeld { held: true, fence: fence(term) }));
        }
        true
    }

    /// Records the state of the services, and orders engines where needed.
    pub(crate) fn on_services(&mut self, mut context: Context, states: Vec<ServiceState>) {
        let options = context.options;
        let Some(scaling) = options.duties.scaling.as_ref().filter(|scaling| scaling.enabled) else { return };
        if context.control.leads_since(context.now).is_none() {
            return;
        }
        // Plans also during the handover, so that the demand is known when orders are allowed.
        let plans = self.scaling.plan(context.now, states, scaling);
        if self.acquire(&mut context) {
            self.scaling.order_all(&mut context, plans, &mut self.tickets);
        }
    }

    /// Gives up the duties.
    fn release(&mut self, out: &mut Vec<Effect>) {
        if let Some(term) = self.held_term.take() {
            out.push(Effect::Log(What::DutyHeld { held: false, fence: fence(term) }));
        }
        self.intake.clear();
        self.reports.clear();
        self.scaling.clear();
    }

    /// Handles a message with request counts. Only a leader answers it.
    pub(crate) fn on_usage(&mut self, from: &InstanceId, update: UsageUpdate) {
        self.intake.record(from, update);
    }

    /// Records the outcome of a call.
    pub(crate) fn on_called(&mut self, now: Duration, ticket: u64, outcome: CallOutcome) {
        if outcome == CallOutcome::Outranked {
            self.outranked_term = self.held_term;
        }
        self.reports.on_called(now, ticket, outcome);
        self.scaling.on_called(now, ticket, outcome);
    }
}
