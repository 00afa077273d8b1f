//! Commits request counts of all instances to the replicated log and closes windows, at the leader.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_ledger::{Command, Count, Counts, Source, Tally, Usage, Window};
use rudder_model::{InstanceId, OrgId, Start};

use super::{Context, PROPOSE_RETRY_INTERVAL};
use crate::{
    Effect, PeerMessage,
    options::UsageOptions,
    tree::Directory,
    usage::{UsageAck, UsageUpdate, window_end, window_of},
};

/// Minimum time between two commands of counts; counts received in between are batched.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// A window is closed at least this long before its report is due, which leaves time for an election and a handover of
/// three seconds.
const REPORT_MARGIN: Duration = Duration::from_millis(3500);
/// Most empty windows reported after a time without any requests; older ones are skipped.
const MAX_EMPTY_WINDOWS: u64 = 24;

/// A message whose counts aren't committed yet.
#[derive(Debug)]
struct Pending {
    from: InstanceId,
    update: UsageUpdate,
}

/// Up to which window an instance has reported its requests.
#[derive(Debug)]
struct Progress {
    start: Start,
    /// It has reported everything before this window.
    before: Window,
    /// When it reported that.
    at: Duration,
}

/// Counts received from all instances.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    pending: BTreeMap<Start, Pending>,
    progress: BTreeMap<InstanceId, Progress>,
    /// The last command: its index in the log, and when it was proposed.
    batch: Option<(u64, Duration)>,
    /// Whether this instance has begun to lead, and expects reports of all live instances.
    leads: bool,
    /// The window last proposed to be closed, and when.
    closing: Option<(Window, Duration)>,
}

impl Intake {
    /// Drops everything; senders repeat their counts to the next leader.
    pub(crate) fn clear(&mut self) {
        *self = Intake::default();
    }

    /// Records a message with counts.
    pub(crate) fn record(&mut self, from: &InstanceId, update: UsageUpdate) {
        self.pending.insert(update.start, Pending { from: from.clone(), update });
    }

    /// Advances time, at the leader.
    pub(crate) fn tick(&mut self, context: &mut Context, usage: &UsageOptions) {
        let now = context.now;
        if !self.leads {
            self.leads = true;
            self.expect_reports(now, context.control.directory());
        }
        self.answer(now, &context.control.ledger.usage, context.out);
        self.progress.retain(|_, progress| now < progress.at + usage.due);
        self.propose_batch(context);
        self.close(context, usage);
    }

    /// Proposes the pending counts, one command at a time.
    fn propose_batch(&mut self, context: &mut Context) {
        let (now, applied) = (context.now, context.control.ledger.index);
        let in_flight = self.batch.is_some_and(|(index, at)| applied < index && now < at + PROPOSE_RETRY_INTERVAL);
        let too_soon = self.batch.is_some_and(|(_, at)| now < at + BATCH_INTERVAL);
        if in_flight || too_soon {
            return;
        }
        let tally = to_tally(&self.pending, &context.control.ledger.usage);
        if tally.sources.is_empty() {
            return;
        }
        let index = context.append(Command::Tally(tally));
        self.batch = index.map(|index| (index, now));
    }

    /// Expects a report of every instance that was live when this one began to lead, even if it is unreachable now.
    fn expect_reports(&mut self, now: Duration, directory: &Directory) {
        for listing in directory.values().filter(|listing| listing.address.is_some()) {
            let progress = Progress { start: listing.start, before: 0, at: now };
            self.progress.entry(listing.name.clone()).or_insert(progress);
        }
    }

    /// Acknowledges the messages whose counts are committed.
    fn answer(&mut self, now: Duration, usage: &Usage, out: &mut Vec<Effect>) {
        let progress = &mut self.progress;
        self.pending.retain(|start, pending| {
            let update = &pending.update;
            if update.sequence > usage.taken(*start) {
                return true;
            }
            progress.insert(pending.from.clone(), Progress { start: *start, before: update.before, at: now });
            let taken = UsageAck { start: *start, sequence: update.sequence, before: update.before };
            out.push(Effect::Send { to: pending.from.clone(), message: PeerMessage::UsageAck(taken) });
            false
        });
    }

    /// Closes the next window once all instances have reported it, or when its report can't wait any longer.
    fn close(&mut self, context: &mut Context, usage: &UsageOptions) {
        let (now, time) = (context.now, context.time);
        let committed = &context.control.ledger.usage;
        let Some(window) = next_window(committed, window_of(time, usage.window)) else { return };
        if self.closing.is_some_and(|(closing, at)| closing == window && now < at + PROPOSE_RETRY_INTERVAL) {
            return;
        }
        let lag = time.saturating_sub(window_end(window, usage.window));
        if lag < usage.settle {
            return;
        }
        let missing = self.missing(window, context.control.directory());
        if missing > 0 && lag < usage.due.saturating_sub(REPORT_MARGIN) {
            return;
        }
        self.closing = Some((window, now));
        let counts = committed.open(window);
        let requests = counts.map_or(0, |counts| counts.values().sum());
        let organisations = counts.map_or(0, Counts::len);
        let lag_ms = lag.as_millis() as u64;
        context.out.push(Effect::Log(What::WindowClosed { window, organisations, requests, missing, lag_ms }));
        context.append(Command::CloseWindow(window));
    }

    /// Number of instances that haven't reported all their requests of `window`: live ones, and those that reported recently
    /// and may only be unreachable. A restarted instance has nothing more to report for its earlier start.
    fn missing(&self, window: Window, directory: &Directory) -> usize {
        let live = directory.values().filter(|listing| listing.address.is_some());
        let behind = live.filter(|listing| {
            let progress = self.progress.get(&listing.name).filter(|progress| progress.start == listing.start);
            progress.is_none_or(|progress| progress.before <= window)
        });
        let gone = self
            .progress
            .iter()
            .filter(|(name, progress)| directory.get(&**name).is_none() && progress.before <= window);
        let pending =
            self.pending.values().filter(|pending| pending.update.counts.iter().any(|count| count.window <= window));
        behind.count() + gone.count() + pending.count()
    }
}

/// The window to close next; `None` if there is nothing to report yet.
fn next_window(usage: &Usage, current: Window) -> Option<Window> {
    let next = usage.next().or_else(|| usage.first_open())?;
    let oldest = usage.first_open().unwrap_or(current).max(next);
    Some(next.max(oldest.min(current.saturating_sub(MAX_EMPTY_WINDOWS))))
}

/// The counts of all messages that are next in the sequence of their sender.
fn to_tally(pending: &BTreeMap<Start, Pending>, usage: &Usage) -> Tally {
    let mut tally = Tally::default();
    let mut sums: BTreeMap<(Window, OrgId), u64> = BTreeMap::new();
    for (start, message) in pending {
        let source = Source { start: *start, sequence: message.update.sequence };
        if !usage.is_next(source) {
            continue;
        }
        tally.sources.push(source);
        for count in &message.update.counts {
            *sums.entry((count.window, count.org.clone())).or_default() += count.requests;
        }
    }
    tally.counts = sums.into_iter().map(|((window, org), requests)| Count { window, org, requests }).collect();
    tally
}
