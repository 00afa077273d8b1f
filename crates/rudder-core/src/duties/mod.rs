//! Duties that one instance at a time holds for all: calls to outside receivers that must not come from two.
//!
//! The leader of the replicated log holds them, under its lease. A new holder first lets the handover time pass, so that
//! two holders never act by turns within it. Every call carries a fence made of the term, which has one leader at
//! most and is durable at a quorum; so a fence is never used by two instances, and only rises, whatever is lost. The
//! thread that sends a call looks at the lease again right before it does ([`Effect::Call`]), so one that was paused
//! between sends nothing.
//!
//! - [`intake`]: counts of requests on their way into the log, and the closing of windows;
//! - [`reports`]: the report of each closed window, until it is acknowledged;
//! - [`scaling`]: orders of engines.

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

/// Fences of one term: its calls count up in the lower bits. A term that made one call a millisecond could last for 17
/// minutes before it would reach the next one's fences; calls are bounded to far fewer.
const FENCE_BITS: u32 = 20;
/// After the first call without success, the next one waits this long; each further one twice as long.
const BACKOFF: Duration = Duration::from_millis(400);
/// The longest such wait.
const BACKOFF_MOST: Duration = Duration::from_secs(3);

/// A call whose end is not told within this time is forgotten; calls are given up far sooner.
const FORGET: Duration = Duration::from_secs(10);
/// A command that the log has not taken after this long is proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_secs(1);

/// A number that rises with each holder.
pub type Fence = u64;

/// A call to an outside receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the requests of all organisations in one window.
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
        /// Of those that may be taken away, or of the others.
        cheap: bool,
        /// How many there should be.
        count: u32,
    },
}

impl DutyCall {
    /// What it is called in logs and figures.
    pub fn kind(&self) -> &'static str {
        match self {
            DutyCall::Usage { .. } => "usage",
            DutyCall::Scale { .. } => "scale",
        }
    }

    /// What it is about, for the log.
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
    /// It was carried out.
    Taken,
    /// A higher fence was seen, so another instance holds the duty.
    Outranked,
    /// No engines of this kind are to be had there now.
    NoneLeft,
    /// The receiver takes no more calls now; this one was not carried out.
    Busy,
    /// The lease ended before it was sent.
    Lapsed,
    /// No answer, or none that says more: it may have been carried out or still be.
    Unknown,
}

/// A call under way, about `subject`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flying<T> {
    ticket: u64,
    subject: T,
    since: Duration,
}

impl<T> Flying<T> {
    /// True where its end is no longer waited for.
    pub(crate) fn is_forgotten(&self, now: Duration) -> bool {
        now >= self.since + FORGET
    }
}

/// Waits between calls that do not succeed.
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

    /// Records a failure; `salt` spreads the waits of different callers.
    pub(crate) fn note_failure(&mut self, now: Duration, salt: u64) {
        let wait = (BACKOFF * 2_u32.saturating_pow(self.failures)).min(BACKOFF_MOST);
        let jitter = wait.mul_f64(id::rendezvous("backoff", &salt.to_string()) as f64 / u64::MAX as f64);
        self.failures += 1;
        self.until = now + wait / 2 + jitter / 2;
    }

    /// True while the next call has to wait.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        now < self.until
    }
}

/// The duties of this instance; idle at all but the leader.
#[derive(Debug, Default)]
pub struct Duties {
    intake: Intake,
    reports: Reports,
    scaling: Scaling,
    /// Counts all calls.
    tickets: u64,
    /// Term in which it holds them.
    held: Option<u64>,
    /// Term in which a receiver said that another instance holds them.
    outranked: Option<u64>,
}

/// The first fence of a term.
pub(crate) fn fence(term: u64) -> Fence {
    term << FENCE_BITS
}

/// What the duties of a leader work with at one moment.
pub(crate) struct Context<'a> {
    /// The instance's own time.
    pub now: Duration,
    /// The agreed time of day.
    pub time: Duration,
    /// The instance.
    pub me: &'a Me,
    /// The shared state.
    pub control: &'a mut Control,
    /// Its settings.
    pub options: &'a Options,
    /// What to do.
    pub out: &'a mut Vec<Effect>,
}

impl Context<'_> {
    /// Appends a command to the log. Returns its place there, or `None` where this instance no longer leads.
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
            self.lose(context.out);
            return;
        }
        if let Some(usage) = &options.duties.usage {
            self.intake.tick(&mut context, usage);
        }
        if !self.take_hold(&mut context) {
            return;
        }
        if let Some(usage) = &options.duties.usage {
            self.reports.tick(&mut context, usage, &mut self.tickets);
        }
    }

    /// True where this instance makes calls now.
    fn take_hold(&mut self, context: &mut Context) -> bool {
        let handover = context.options.duties.handover;
        let Some(term) = context.control.duty_term(context.now, handover) else { return false };
        if self.outranked == Some(term) {
            return false;
        }
        if self.held != Some(term) {
            self.held = Some(term);
            context.out.push(Effect::Log(What::DutyHeld { held: true, fence: fence(term) }));
        }
        true
    }

    /// Records how services stand, and orders what they lack.
    pub(crate) fn on_services(&mut self, mut context: Context, states: Vec<ServiceState>) {
        let options = context.options;
        let Some(scaling) = options.duties.scaling.as_ref().filter(|scaling| scaling.enabled) else { return };
        if context.control.leads_since(context.now).is_none() {
            return;
        }
        // Before the handover is over it watches, so that it knows all engines when it may order.
        let plans = self.scaling.plan(context.now, states, scaling);
        if self.take_hold(&mut context) {
            self.scaling.order_all(&mut context, plans, &mut self.tickets);
        }
    }

    fn lose(&mut self, out: &mut Vec<Effect>) {
        if let Some(term) = self.held.take() {
            out.push(Effect::Log(What::DutyHeld { held: false, fence: fence(term) }));
        }
        self.intake.clear();
        self.reports.clear();
        self.scaling.clear();
    }

    /// Handles a message of counts. Only a leader answers it.
    pub(crate) fn on_usage(&mut self, from: &InstanceId, news: UsageUpdate) {
        self.intake.note(from, news);
    }

    /// Records how a call ended.
    pub(crate) fn on_called(&mut self, now: Duration, ticket: u64, outcome: CallOutcome) {
        if outcome == CallOutcome::Outranked {
            self.outranked = self.held;
        }
        self.reports.on_called(now, ticket, outcome);
        self.scaling.on_called(now, ticket, outcome);
    }
}
