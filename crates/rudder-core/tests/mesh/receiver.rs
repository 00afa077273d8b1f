//! The receiver of the calls of duties, which checks their rules: a report never changes, a fence belongs to one
//! instance, and two instances never alternate within the handover time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_core::{CallOutcome, DutyCall};
use rudder_ledger::{Counts, Window};
use rudder_model::HallId;

/// Time within which two holders must not alternate.
pub const HANDOVER: Duration = Duration::from_secs(3);

/// Maximum number of engines of a hall, both kinds together.
pub const MAX_ENGINES: u32 = 40;

/// How the receiver answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReceiverMode {
    /// It carries calls out and answers at once.
    #[default]
    Answers,
    /// It carries calls out, but its answers are lost.
    Mute,
    /// It answers that it is busy.
    Busy,
    /// It is unreachable.
    Down,
    /// It carries calls out after 4 s and does not answer.
    Late,
}

/// A call that was received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// Time of arrival.
    pub at: Duration,
    /// The calling instance.
    pub by: usize,
    /// Its fence.
    pub fence: u64,
    /// The call.
    pub call: DutyCall,
}

/// Receives the calls of duties.
#[derive(Debug, Default)]
pub struct Receiver {
    /// How it answers calls.
    pub mode: ReceiverMode,
    /// Calls carried out, in order; excludes those with an outdated fence.
    pub calls: Vec<ReceivedCall>,
    /// Reports received, by window.
    pub reports: BTreeMap<Window, Counts>,
    /// Engines ordered, by hall and kind; true for the cheap kind, which may be taken away.
    pub ordered: BTreeMap<(HallId, bool), u32>,
    /// Halls without available cheap engines.
    pub barred: BTreeSet<HallId>,
    /// Number of calls with an outdated fence.
    pub stale: u64,
    /// Violations of the rules.
    pub violations: Vec<String>,
    /// Calls to carry out later.
    late: Vec<(Duration, ReceivedCall)>,
    /// Highest fence by subject: `None` for reports, otherwise the hall of an order.
    highest: BTreeMap<Option<HallId>, u64>,
}

impl Receiver {
    /// Handles a call written by `by`.
    pub fn handle_call(&mut self, now: Duration, by: usize, fence: u64, call: DutyCall, reached: bool) -> CallOutcome {
        self.carry_out_due(now);
        let received = ReceivedCall { at: now, by, fence, call };
        match self.mode {
            _ if !reached => CallOutcome::Unknown,
            ReceiverMode::Down => CallOutcome::Unknown,
            ReceiverMode::Busy => CallOutcome::Busy,
            ReceiverMode::Answers => self.carry_out(received),
            ReceiverMode::Mute => {
                self.carry_out(received);
                CallOutcome::Unknown
            }
            ReceiverMode::Late => {
                self.late.push((now + Duration::from_secs(4), received));
                CallOutcome::Unknown
            }
        }
    }

    /// Carries out delayed calls that are due.
    pub fn carry_out_due(&mut self, now: Duration) {
        let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, received) in due {
            self.carry_out(received);
        }
    }

    fn carry_out(&mut self, received: ReceivedCall) -> CallOutcome {
        let subject = match &received.call {
            DutyCall::Usage { .. } => None,
            DutyCall::Scale { hall, .. } => Some(hall.clone()),
        };
        let highest = self.highest.entry(subject).or_default();
        if received.fence < *highest {
            self.stale += 1;
            return CallOutcome::Outranked;
        }
        *highest = received.fence;
        self.check_rules(&received);
        let outcome = match &received.call {
            DutyCall::Usage { window, counts } => {
                let held = self.reports.entry(*window).or_insert_with(|| counts.clone());
                if held != counts {
                    self.violations.push(format!("window {window} was reported as {held:?} and as {counts:?}"));
                }
                CallOutcome::Taken
            }
            DutyCall::Scale { cheap: true, hall, count, .. } if *count > 0 && self.barred.contains(hall) => {
                CallOutcome::NoneLeft
            }
            DutyCall::Scale { hall, cheap, count, .. } => {
                let other = self.ordered.get(&(hall.clone(), !cheap)).copied().unwrap_or_default();
                // Both kinds share one limit.
                self.ordered.insert((hall.clone(), *cheap), (*count).min(MAX_ENGINES.saturating_sub(other)));
                CallOutcome::Taken
            }
        };
        self.calls.push(received);
        outcome
    }

    fn check_rules(&mut self, received: &ReceivedCall) {
        if let Some(other) = self.calls.iter().find(|held| held.fence == received.fence && held.by != received.by) {
            self.violations.push(format!("fence {} was used by {} and {}", received.fence, other.by, received.by));
        }
        let recent = || self.calls.iter().rev().take_while(|held| received.at < held.at + HANDOVER);
        let between = recent().find(|held| held.by != received.by);
        let Some(between) = between else { return };
        if recent().any(|held| held.by == received.by && held.at <= between.at) {
            self.violations.push(format!("{} and {} alternated until {:?}", received.by, between.by, received.at));
        }
    }

    /// Returns the number of requests reported for `org` over all windows.
    pub fn reported(&self, org: &str) -> u64 {
        self.reports.values().filter_map(|counts| counts.get(org)).sum()
    }
}
