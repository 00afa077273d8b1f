//! Reports the requests started at this instance, by organisation and window, to the replicated log.
//!
//! Counts are sent directly to the leader in numbered updates. The next one is sent only after the last one is
//! committed, so counts are neither lost nor duplicated when the leader changes. A process that is killed loses the
//! counts that it had not reported, which are those of at most two send intervals.

use std::{collections::BTreeMap, time::Duration};

use rudder_ledger::{Count, Window};
use rudder_model::{InstanceId, OrgId, Start};
use serde::{Deserialize, Serialize};

use crate::{Effect, Me, PeerMessage, options::UsageOptions, view::View};

/// Minimum interval between updates of one instance. An instance that is killed loses the requests counted since its
/// last update.
const SEND_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between updates for each live instance, which limits the leader to about 300 updates per second.
const SEND_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(3300);
/// Number of intervals after which an unacknowledged update is sent again.
const RETRY_INTERVALS: u32 = 2;

/// A request that started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRequest {
    /// The organisation.
    pub org: OrgId,
    /// Start of the request, in this instance's own time.
    pub at: Duration,
}

/// An update of request counts, sent to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Number of the sender's start.
    pub start: Start,
    /// Sequence number of the sender's updates that carry counts, starting at 1; 0 if this one carries none.
    pub sequence: u64,
    /// With this update, the sender has reported all requests started in windows before this one.
    pub before: Window,
    /// The request counts.
    pub counts: Vec<Count>,
}

/// Acknowledges that the counts of an update are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAck {
    /// Number of the start of the update's sender.
    pub start: Start,
    /// Sequence number of the update.
    pub sequence: u64,
    /// The update's `before`.
    pub before: Window,
}

/// An update that has not been acknowledged.
#[derive(Debug)]
struct InFlight {
    update: UsageUpdate,
    to: InstanceId,
    sent: Duration,
}

/// Counts the requests started at this instance and reports them to the leader.
#[derive(Debug, Default)]
pub(crate) struct UsageReporter {
    /// Counts that have not been sent yet.
    pending: BTreeMap<(Window, OrgId), u64>,
    /// The update that waits for its acknowledgement.
    in_flight: Option<InFlight>,
    /// Number of updates with counts so far.
    sequence: u64,
    /// The leader of the last acknowledgement, and the window before which all requests are reported to it.
    acknowledged: Option<(InstanceId, Window)>,
    /// Time before which no update is sent.
    next_send: Duration,
}

/// Returns the number of the window that contains a time of day.
pub fn window_of(time: Duration, length: Duration) -> Window {
    (time.as_micros() / length.as_micros().max(1)) as Window
}

/// Returns the time of day at which a window ends.
pub fn window_end(window: Window, length: Duration) -> Duration {
    Duration::from_micros(length.as_micros() as u64 * (window + 1))
}

impl UsageReporter {
    /// Records requests started at this instance.
    pub(crate) fn record(&mut self, requests: Vec<StartedRequest>, view: &View, usage: &UsageOptions) {
        for StartedRequest { org, at } in requests {
            let window = window_of(view.clock.at(at), usage.window);
            *self.pending.entry((window, org)).or_default() += 1;
        }
    }

    /// Sends an update to the leader if one is due, or repeats the one in flight.
    pub(crate) fn tick(&mut self, now: Duration, me: &Me, view: &View, usage: &UsageOptions, out: &mut Vec<Effect>) {
        let (Some(time), Some(leader)) = (view.clock.agreed(now), view.leader()) else { return };
        let interval = SEND_INTERVAL.max(SEND_INTERVAL_PER_INSTANCE * view.directory.len() as u32);
        if let Some(in_flight) = &mut self.in_flight {
            if in_flight.to != *leader || now >= in_flight.sent + interval * RETRY_INTERVALS {
                (in_flight.to, in_flight.sent) = (leader.clone(), now);
                out.push(send_effect(in_flight));
            }
            return;
        }
        if now < self.next_send {
            return;
        }
        self.next_send = now + interval;
        let before = window_of(time.saturating_sub(usage.settle), usage.window);
        let is_known = self.acknowledged.as_ref().is_some_and(|(to, until)| to == leader && *until >= before);
        if self.pending.is_empty() && is_known {
            return;
        }
        let in_flight = InFlight { update: self.next_update(me, before), to: leader.clone(), sent: now };
        out.push(send_effect(&in_flight));
        self.in_flight = Some(in_flight);
    }

    fn next_update(&mut self, me: &Me, before: Window) -> UsageUpdate {
        let pending = std::mem::take(&mut self.pending).into_iter();
        let counts: Vec<Count> = pending.map(|((window, org), requests)| Count { window, org, requests }).collect();
        if counts.is_empty() {
            return UsageUpdate { start: me.start, sequence: 0, before, counts };
        }
        self.sequence += 1;
        UsageUpdate { start: me.start, sequence: self.sequence, before, counts }
    }

    /// Returns the number of requests whose counts are not known to be committed.
    pub(crate) fn unreported_requests(&self) -> u64 {
        let in_flight =
            self.in_flight.iter().flat_map(|in_flight| &in_flight.update.counts).map(|count| count.requests);
        self.pending.values().sum::<u64>() + in_flight.sum::<u64>()
    }

    /// Handles an acknowledgement.
    pub(crate) fn on_ack(&mut self, from: &InstanceId, ack: UsageAck) {
        let matches = |in_flight: &InFlight| {
            in_flight.update.start == ack.start
                && in_flight.update.sequence == ack.sequence
                && in_flight.update.before == ack.before
        };
        if self.in_flight.take_if(|in_flight| matches(in_flight)).is_some() {
            self.acknowledged = Some((from.clone(), ack.before));
        }
    }
}

fn send_effect(in_flight: &InFlight) -> Effect {
    Effect::Send { to: in_flight.to.clone(), message: PeerMessage::Usage(Box::new(in_flight.update.clone())) }
}
