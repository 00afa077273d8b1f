//! Requests that began here, by organisation and window, on their way to the replicated log.
//!
//! Counts are told straight to the leader, one numbered message at a time: the next goes only when the log holds the one
//! before, so none is lost or taken twice, whichever instance leads meanwhile. What a process that is killed had not
//! told yet is lost with it: at most what began within two periods.

use std::{collections::BTreeMap, time::Duration};

use rudder_ledger::{Count, Window};
use rudder_model::{InstanceId, OrgId, Start};
use serde::{Deserialize, Serialize};

use crate::{Effect, Me, PeerMessage, options::UsageOptions, view::View};

/// Time between two messages in a small fleet. A process that is killed loses what it had not told: 3 in 100 of what it
/// began in a window of five seconds on average.
const PERIOD: Duration = Duration::from_millis(300);
/// The same for each live instance, where that is more: the leader takes in 300 messages a second at most.
const PERIOD_EACH: Duration = Duration::from_micros(3300);
/// A message without an answer is sent again after this many periods.
const RETRY: u32 = 2;

/// Requests of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    /// The organisation.
    pub org: OrgId,
    /// When the request began to run, by this instance's own time.
    pub at: Duration,
}

/// A message of counts to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// The start of the sender.
    pub start: Start,
    /// Counts the sender's messages that carry counts from 1; 0 in one that carries none.
    pub sequence: u64,
    /// With this message, all that began here in windows before this one has been told.
    pub before: Window,
    /// The counts.
    pub counts: Vec<Count>,
}

/// The leader's word that the log holds a message's counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAck {
    /// The start of the message's sender.
    pub start: Start,
    /// Which message.
    pub sequence: u64,
    /// What it said of windows.
    pub before: Window,
}

#[derive(Debug)]
struct Carried {
    news: UsageUpdate,
    to: InstanceId,
    sent: Duration,
}

/// The counts of this instance.
#[derive(Debug, Default)]
pub(crate) struct UsageReporter {
    fresh: BTreeMap<(Window, OrgId), u64>,
    carried: Option<Carried>,
    sequence: u64,
    /// Who leads, and which windows it knows to be complete here.
    told: Option<(InstanceId, Window)>,
    next: Duration,
}

/// Number of the window that a time of day falls into.
pub fn window_of(time: Duration, length: Duration) -> Window {
    (time.as_micros() / length.as_micros().max(1)) as Window
}

/// Time of day at which a window ends.
pub fn window_end(window: Window, length: Duration) -> Duration {
    Duration::from_micros(length.as_micros() as u64 * (window + 1))
}

impl UsageReporter {
    /// Records requests that began here.
    pub(crate) fn note(&mut self, begun: Vec<StartedRequest>, view: &View, usage: &UsageOptions) {
        for StartedRequest { org, at } in begun {
            let window = window_of(view.clock.at(at), usage.window);
            *self.fresh.entry((window, org)).or_default() += 1;
        }
    }

    /// Tells the leader what is new when it is time to.
    pub(crate) fn tick(&mut self, now: Duration, me: &Me, view: &View, usage: &UsageOptions, out: &mut Vec<Effect>) {
        let (Some(time), Some(leader)) = (view.clock.agreed(now), view.leader()) else { return };
        let period = PERIOD.max(PERIOD_EACH * view.directory.len() as u32);
        if let Some(carried) = &mut self.carried {
            if carried.to != *leader || now >= carried.sent + period * RETRY {
                (carried.to, carried.sent) = (leader.clone(), now);
                out.push(to_effect(carried));
            }
            return;
        }
        if now < self.next {
            return;
        }
        self.next = now + period;
        let before = window_of(time.saturating_sub(usage.settle), usage.window);
        let known = self.told.as_ref().is_some_and(|(to, told)| to == leader && *told >= before);
        if self.fresh.is_empty() && known {
            return;
        }
        let carried = Carried { news: self.take_news(me, before), to: leader.clone(), sent: now };
        out.push(to_effect(&carried));
        self.carried = Some(carried);
    }

    fn take_news(&mut self, me: &Me, before: Window) -> UsageUpdate {
        let fresh = std::mem::take(&mut self.fresh).into_iter();
        let counts: Vec<Count> = fresh.map(|((window, org), requests)| Count { window, org, requests }).collect();
        if counts.is_empty() {
            return UsageUpdate { start: me.start, sequence: 0, before, counts };
        }
        self.sequence += 1;
        UsageUpdate { start: me.start, sequence: self.sequence, before, counts }
    }

    /// Requests that the log does not hold yet, as far as is known here.
    pub(crate) fn unreported_requests(&self) -> u64 {
        let carried = self.carried.iter().flat_map(|carried| &carried.news.counts).map(|count| count.requests);
        self.fresh.values().sum::<u64>() + carried.sum::<u64>()
    }

    /// Records the leader's word on a message.
    pub(crate) fn on_taken(&mut self, from: &InstanceId, taken: UsageAck) {
        let answers = |carried: &Carried| {
            carried.news.start == taken.start
                && carried.news.sequence == taken.sequence
                && carried.news.before == taken.before
        };
        if self.carried.take_if(|carried| answers(carried)).is_some() {
            self.told = Some((from.clone(), taken.before));
        }
    }
}

fn to_effect(carried: &Carried) -> Effect {
    Effect::Send { to: carried.to.clone(), message: PeerMessage::Usage(Box::new(carried.news.clone())) }
}
