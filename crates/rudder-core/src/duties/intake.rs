//! Counts of requests on their way into the replicated log, at the leader, and the closing of windows.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_ledger::{Command, Count, Counts, Source, Tally, Usage, Window};
use rudder_model::{InstanceId, OrgId, Start};

use super::{Context, PROPOSE_AGAIN};
use crate::{
    Effect, PeerMessage,
    options::UsageOptions,
    tree::Directory,
    usage::{UsageAck, UsageUpdate, window_end, window_of},
};

/// Time between two commands of counts: what comes in between goes into one.
const BATCH: Duration = Duration::from_millis(150);
/// A report is sent this long before it is due at the latest, so that a change of holders and a slow receiver
/// still leave time: an election and a handover of three seconds.
const REPORT_MARGIN: Duration = Duration::from_millis(3500);
/// Windows without any requests that are reported after a time in which nothing served. Older ones are passed over.
const GAP_MOST: u64 = 24;

/// A message whose counts the log does not hold yet.
#[derive(Debug)]
struct Waiting {
    from: InstanceId,
    news: UsageUpdate,
}

/// What an instance has said of its windows.
#[derive(Debug)]
struct Known {
    start: Start,
    before: Window,
    at: Duration,
}

/// Counts that have come in.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    waiting: BTreeMap<Start, Waiting>,
    known: BTreeMap<InstanceId, Known>,
    /// The command under way: the index that it has in the log, and when it was proposed.
    batch: Option<(u64, Duration)>,
    /// Those who were live when this instance began to lead are expected to tell.
    leads: bool,
    /// When a window was last proposed to be closed.
    closing: Option<(Window, Duration)>,
}

impl Intake {
    /// Forgets all: senders tell the next leader again.
    pub(crate) fn clear(&mut self) {
        *self = Intake::default();
    }

    /// Handles a message.
    pub(crate) fn note(&mut self, from: &InstanceId, news: UsageUpdate) {
        self.waiting.insert(news.start, Waiting { from: from.clone(), news });
    }

    /// Advances time, at the leader.
    pub(crate) fn tick(&mut self, context: &mut Context, usage: &UsageOptions) {
        let now = context.now;
        if !self.leads {
            self.leads = true;
            self.expect(now, context.control.directory());
        }
        self.answer(now, &context.control.ledger.usage, context.out);
        self.known.retain(|_, known| now < known.at + usage.due);
        self.propose_batch(context);
        self.close(context, usage);
    }

    /// Proposes the counts that have come in, one command at a time.
    fn propose_batch(&mut self, context: &mut Context) {
        let (now, applied) = (context.now, context.control.ledger.index);
        let runs = self.batch.is_some_and(|(index, at)| applied < index && now < at + PROPOSE_AGAIN);
        let rests = self.batch.is_some_and(|(_, at)| now < at + BATCH);
        if runs || rests {
            return;
        }
        let tally = to_tally(&self.waiting, &context.control.ledger.usage);
        if tally.sources.is_empty() {
            return;
        }
        let index = context.append(Command::Tally(tally));
        self.batch = index.map(|index| (index, now));
    }

    /// A new leader knows of nobody what it has told. Who was live may be out of reach since and come back.
    fn expect(&mut self, now: Duration, directory: &Directory) {
        for listing in directory.values().filter(|listing| listing.address.is_some()) {
            let known = Known { start: listing.start, before: 0, at: now };
            self.known.entry(listing.name.clone()).or_insert(known);
        }
    }

    /// Answers the senders whose counts the log holds.
    fn answer(&mut self, now: Duration, usage: &Usage, out: &mut Vec<Effect>) {
        let known = &mut self.known;
        self.waiting.retain(|start, waiting| {
            let news = &waiting.news;
            if news.sequence > usage.taken(*start) {
                return true;
            }
            known.insert(waiting.from.clone(), Known { start: *start, before: news.before, at: now });
            let taken = UsageAck { start: *start, sequence: news.sequence, before: news.before };
            out.push(Effect::Send { to: waiting.from.clone(), message: PeerMessage::UsageAck(taken) });
            false
        });
    }

    /// Closes the next window once all have told what began in it, or when its report cannot wait any longer.
    fn close(&mut self, context: &mut Context, usage: &UsageOptions) {
        let (now, time) = (context.now, context.time);
        let held = &context.control.ledger.usage;
        let Some(window) = next_window(held, window_of(time, usage.window)) else { return };
        if self.closing.is_some_and(|(closing, at)| closing == window && now < at + PROPOSE_AGAIN) {
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
        let counts = held.open(window);
        let requests = counts.map_or(0, |counts| counts.values().sum());
        let organisations = counts.map_or(0, Counts::len);
        let lag_ms = lag.as_millis() as u64;
        context.out.push(Effect::Log(What::WindowClosed { window, organisations, requests, missing, lag_ms }));
        context.append(Command::CloseWindow(window));
    }

    /// Instances that have not told all that began there in `window`: live ones, and those that told something of late
    /// and may only be out of reach. One that has started anew has nothing more to tell of its earlier start.
    fn missing(&self, window: Window, directory: &Directory) -> usize {
        let live = directory.values().filter(|listing| listing.address.is_some());
        let silent = live.filter(|listing| {
            let known = self.known.get(&listing.name).filter(|known| known.start == listing.start);
            known.is_none_or(|known| known.before <= window)
        });
        let gone = self.known.iter().filter(|(name, known)| directory.get(&**name).is_none() && known.before <= window);
        let waiting =
            self.waiting.values().filter(|waiting| waiting.news.counts.iter().any(|told| told.window <= window));
        silent.count() + gone.count() + waiting.count()
    }
}

/// The window to close next; `None` where there is nothing to report yet.
fn next_window(usage: &Usage, current: Window) -> Option<Window> {
    let next = usage.next().or_else(|| usage.first_open())?;
    let oldest = usage.first_open().unwrap_or(current).max(next);
    Some(next.max(oldest.min(current.saturating_sub(GAP_MOST))))
}

/// The counts of all messages that can be taken now.
fn to_tally(waiting: &BTreeMap<Start, Waiting>, usage: &Usage) -> Tally {
    let mut tally = Tally::default();
    let mut sums: BTreeMap<(Window, OrgId), u64> = BTreeMap::new();
    for (start, waiting) in waiting {
        let source = Source { start: *start, sequence: waiting.news.sequence };
        if !usage.is_next(source) {
            continue;
        }
        tally.sources.push(source);
        for count in &waiting.news.counts {
            *sums.entry((count.window, count.org.clone())).or_default() += count.requests;
        }
    }
    tally.counts = sums.into_iter().map(|((window, org), requests)| Count { window, org, requests }).collect();
    tally
}
