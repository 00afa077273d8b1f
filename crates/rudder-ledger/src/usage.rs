//! Requests of each organisation by window of time, agreed on before they are reported to anybody.
//!
//! A window first takes counts, then it is closed, and its report can never change any more: whoever sends it, and
//! however often, sends the same. It stays until its receiver has acknowledged it.

use std::collections::BTreeMap;

use rudder_model::{OrgId, Start};
use serde::{Deserialize, Serialize};

/// Number of a window: windows are equally long and counted from the Unix epoch.
pub type Window = u64;
/// Requests by organisation.
pub type Counts = BTreeMap<OrgId, u64>;

/// Closed windows kept for a receiver that cannot be reached; the oldest go first. An hour of windows of five seconds.
const CLOSED_MOST: usize = 720;
/// A source that has told nothing for this many windows is forgotten. What it may still send belongs to windows that
/// are closed long since.
const SOURCE_WINDOWS: u64 = 24;

/// Requests of one organisation that began in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The window.
    pub window: Window,
    /// The organisation.
    pub org: OrgId,
    /// Requests, beyond those told before.
    pub requests: u64,
}

/// One message of counts: the `sequence`-th of a start of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The start.
    pub start: Start,
    /// Counts its messages from 1.
    pub sequence: u64,
}

/// Counts of several messages together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The messages; at most one of each start.
    pub sources: Vec<Source>,
    /// Their counts.
    pub counts: Vec<Count>,
}

/// What was last taken from a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Last {
    sequence: u64,
    /// The newest window known of at that time.
    window: Window,
}

/// Counts of all windows that are not yet reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    open: BTreeMap<Window, Counts>,
    closed: BTreeMap<Window, Counts>,
    next: Option<Window>,
    sources: BTreeMap<Start, Last>,
    late: u64,
    dropped: u64,
}

impl Usage {
    /// The oldest window that still takes counts; `None` before the first was closed.
    pub fn next(&self) -> Option<Window> {
        self.next
    }

    /// The oldest window that holds counts and is still open.
    pub fn first_open(&self) -> Option<Window> {
        self.open.keys().next().copied()
    }

    /// Closed windows that are not yet acknowledged, the oldest first.
    pub fn closed(&self) -> &BTreeMap<Window, Counts> {
        &self.closed
    }

    /// Counts of a window that is still open.
    pub fn open(&self, window: Window) -> Option<&Counts> {
        self.open.get(&window)
    }

    /// Requests told after their window was closed, in no report.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// Reports given up because too many waited.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The last message taken of `start`; 0 for none.
    pub fn taken(&self, start: Start) -> u64 {
        self.sources.get(&start).map_or(0, |last| last.sequence)
    }

    /// True where `source` is a message not taken yet and none before it is missing.
    pub fn is_next(&self, source: Source) -> bool {
        // The messages of an unknown source that came before were taken and are forgotten.
        self.sources.get(&source.start).is_none_or(|last| source.sequence == last.sequence + 1)
    }

    /// Adds counts, all of them or, where one of the messages was taken before, none.
    pub(crate) fn take(&mut self, tally: Tally) -> bool {
        if !tally.sources.iter().all(|source| self.is_next(*source)) {
            return false;
        }
        let newest = tally.counts.iter().map(|count| count.window).max().max(self.next).unwrap_or_default();
        for source in tally.sources {
            self.sources.insert(source.start, Last { sequence: source.sequence, window: newest });
        }
        let next = self.next.unwrap_or_default();
        for count in tally.counts {
            if count.window < next {
                self.late += count.requests;
                continue;
            }
            *self.open.entry(count.window).or_default().entry(count.org).or_default() += count.requests;
        }
        true
    }

    /// Closes `window` and every open one before it. A window that was closed before stays as it is.
    pub(crate) fn close(&mut self, window: Window) -> bool {
        if self.next.is_some_and(|next| window < next) {
            return false;
        }
        let later = self.open.split_off(&(window + 1));
        let ended = std::mem::replace(&mut self.open, later);
        self.closed.extend(ended);
        self.closed.entry(window).or_default();
        self.next = Some(window + 1);
        self.sources.retain(|_, last| last.window + SOURCE_WINDOWS > window);
        while self.closed.len() > CLOSED_MOST {
            self.closed.pop_first();
            self.dropped += 1;
        }
        true
    }

    /// Forgets a window whose report was acknowledged.
    pub(crate) fn end(&mut self, window: Window) -> bool {
        self.closed.remove(&window).is_some()
    }
}
