//! Slow start: an endpoint that has just started, or has gone cold, bears few requests until it is warm.
//!
//! What it bears is a bound for all instances together, and no instance can ask the others before it sends. So a few
//! instances, named by a hash of the endpoint, send to it while it warms up, each no more than its own part of the bound;
//! all others send nothing. The parts add up to the bound at most. Where two halves of the instances hold different lists
//! of each other, both halves may name their own few, and the sum is twice that.

use std::{collections::VecDeque, time::Duration};

use rudder_model::id;
use serde::Deserialize;

/// Shortest time over which requests are counted: what an endpoint bears counts by the second, and of two requests the later
/// one may take less time on its way, by a quarter of a second where links are poor.
const WINDOW: Duration = Duration::from_millis(1250);

/// Settings of slow start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowStart {
    /// Instances that send to one endpoint while it warms up. With one, the endpoint gets nothing where that one is
    /// down; with many, each may send too seldom to be of use.
    pub senders: usize,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart { senders: 5 }
    }
}

/// One instance's part of what an endpoint bears: so many requests within any span of this length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Requests.
    pub count: usize,
    /// Length of the span.
    pub window: Duration,
}

impl SlowStart {
    /// The part of the instance `me` in the `rate`, in requests a second, that `endpoint` bears while it warms up; `None`
    /// where others of the live `instances` send to it.
    pub fn share<'a>(
        &self,
        endpoint: &str,
        rate: f64,
        me: &str,
        instances: impl Iterator<Item = &'a str>,
    ) -> Option<Share> {
        let own = id::rendezvous(endpoint, me);
        let (mut live, mut ahead) = (1, 0);
        for other in instances.filter(|name| *name != me) {
            live += 1;
            ahead += usize::from(id::rendezvous(endpoint, other) > own);
        }
        // No more senders than requests in a second: each has one at least.
        let senders = self.senders.min(rate as usize).min(live).max(1);
        if ahead >= senders {
            return None;
        }
        let count = (rate / senders as f64).floor().max(1.0);
        // Below one request a second, the only sender waits longer.
        let needed = Duration::try_from_secs_f64(count * senders as f64 / rate).unwrap_or(Duration::MAX);
        Some(Share { count: count as usize, window: needed.max(WINDOW) })
    }
}

/// When requests were sent to one endpoint, as far back as a share's window reaches.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    times: VecDeque<Duration>,
}

impl SendHistory {
    /// True where one more may be sent at `now`.
    pub fn has_room(&self, now: Duration, share: Share) -> bool {
        self.times.iter().filter(|sent| now < **sent + share.window).count() < share.count
    }

    /// Records that one is sent at `now`.
    pub fn note(&mut self, now: Duration, share: Share) {
        self.times.retain(|sent| now < *sent + share.window);
        self.times.push_back(now);
    }

    /// When the last one was sent.
    pub fn last(&self) -> Option<Duration> {
        self.times.back().copied()
    }
}
