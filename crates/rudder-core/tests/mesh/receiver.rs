//! Who takes the calls that one instance makes for all, and judges them: a report never changes, a fence belongs to one
//! instance, and two instances never act by turns within the handover time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_core::{CallOutcome, DutyCall};
use rudder_ledger::{Counts, Window};
use rudder_model::HallId;

/// Two holders that act by turns within this time break the rule.
pub const HANDOVER: Duration = Duration::from_secs(3);

/// Engines of a hall at most, both kinds together.
pub const ENGINES_MOST: u32 = 40;

/// How it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReceiverMode {
    /// At once.
    #[default]
    Answers,
    /// It carries calls out, but its answers are lost.
    Mute,
    /// It takes no calls.
    Busy,
    /// It cannot be reached.
    Down,
    /// It carries calls out 4 s after they came, and answers nothing.
    Late,
}

/// A call that was carried out.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// When it came.
    pub at: Duration,
    /// By which instance.
    pub by: usize,
    /// Its fence.
    pub fence: u64,
    /// The call.
    pub call: DutyCall,
}

/// Takes the calls.
#[derive(Debug, Default)]
pub struct Receiver {
    /// How it answers.
    pub mode: ReceiverMode,
    /// Calls that came, in order, those with a low fence left out.
    pub calls: Vec<ReceivedCall>,
    /// Reports carried out.
    pub reports: BTreeMap<Window, Counts>,
    /// Engines ordered, by hall and kind: true for those that may be taken away.
    pub ordered: BTreeMap<(HallId, bool), u32>,
    /// Halls in which none of those are to be had.
    pub barred: BTreeSet<HallId>,
    /// Calls that came with a fence lower than one seen.
    pub stale: u64,
    /// What broke a rule.
    pub violations: Vec<String>,
    /// Calls to carry out later.
    late: Vec<(Duration, ReceivedCall)>,
    /// The highest fence seen, by subject: the reports together, the orders of each hall.
    highest: BTreeMap<Option<HallId>, u64>,
}

impl Receiver {
    /// Records a call that `by` writes.
    pub fn take(&mut self, now: Duration, by: usize, fence: u64, call: DutyCall, reached: bool) -> CallOutcome {
        self.carry_out_late(now);
        let made = ReceivedCall { at: now, by, fence, call };
        match self.mode {
            _ if !reached => CallOutcome::Unknown,
            ReceiverMode::Down => CallOutcome::Unknown,
            ReceiverMode::Busy => CallOutcome::Busy,
            ReceiverMode::Answers => self.carry_out(made),
            ReceiverMode::Mute => {
                self.carry_out(made);
                CallOutcome::Unknown
            }
            ReceiverMode::Late => {
                self.late.push((now + Duration::from_secs(4), made));
                CallOutcome::Unknown
            }
        }
    }

    /// Carries out what has waited long enough.
    pub fn carry_out_late(&mut self, now: Duration) {
        let (due, rest) = std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = rest;
        for (_, made) in due {
            self.carry_out(made);
        }
    }

    fn carry_out(&mut self, made: ReceivedCall) -> CallOutcome {
        let subject = match &made.call {
            DutyCall::Usage { .. } => None,
            DutyCall::Scale { hall, .. } => Some(hall.clone()),
        };
        let highest = self.highest.entry(subject).or_default();
        if made.fence < *highest {
            self.stale += 1;
            return CallOutcome::Outranked;
        }
        *highest = made.fence;
        self.judge(&made);
        let outcome = match &made.call {
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
                // Both kinds share a bound; an order beyond it is cut.
                self.ordered.insert((hall.clone(), *cheap), (*count).min(ENGINES_MOST.saturating_sub(other)));
                CallOutcome::Taken
            }
        };
        self.calls.push(made);
        outcome
    }

    fn judge(&mut self, made: &ReceivedCall) {
        if let Some(other) = self.calls.iter().find(|held| held.fence == made.fence && held.by != made.by) {
            self.violations.push(format!("fence {} was used by {} and {}", made.fence, other.by, made.by));
        }
        let recent = || self.calls.iter().rev().take_while(|held| made.at < held.at + HANDOVER);
        let between = recent().find(|held| held.by != made.by);
        let Some(between) = between else { return };
        if recent().any(|held| held.by == made.by && held.at <= between.at) {
            self.violations.push(format!("{} and {} acted by turns until {:?}", made.by, between.by, made.at));
        }
    }

    /// Requests reported for `org` in all windows.
    pub fn reported(&self, org: &str) -> u64 {
        self.reports.values().filter_map(|counts| counts.get(org)).sum()
    }
}
