//! Slow start: limits requests to an endpoint that has just started or has gone cold, until it is warm.
//!
//! The limit holds over all instances, and they cannot coordinate before each request. So only a few instances, chosen
//! by rendezvous hashing on the endpoint, send to it while it warms up, each within its own share of the limit. The
//! shares add up to the limit at most. If a partition splits the instances in two, each side may choose its own
//! senders, and the sum is at most twice the limit.

use std::{collections::VecDeque, time::Duration};

use rudder_model::id;
use serde::Deserialize;

/// Shortest window of a share: a second, as the limit is per second, and a quarter for the jitter of poor links.
const MIN_WINDOW: Duration = Duration::from_millis(1250);

/// Settings of slow start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowStart {
    /// Instances that send to one endpoint while it warms up. With a single one, the endpoint gets no requests while
    /// that instance is down; with many, each share becomes too small to be useful.
    pub senders: usize,
}

impl Default for SlowStart {
    fn default() -> Self {
        SlowStart { senders: 5 }
    }
}

/// One instance's share of an endpoint's limit: at most `count` requests in any time span of length `window`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Largest number of requests.
    pub count: usize,
    /// Length of the time span.
    pub window: Duration,
}

impl SlowStart {
    /// The share of the instance `me` in the limit of `endpoint` while it warms up, given as a `rate` in requests a
    /// second; `None` if `me` is not among the senders chosen from the live `instances`.
    pub fn share<'a>(
        &self,
        endpoint: &str,
        rate: f64,
        me: &str,
        instances: impl Iterator<Item = &'a str>,
    ) -> Option<Share> {
        let own = id::rendezvous(endpoint, me);
        let (mut live, mut rank) = (1, 0);
        for other in instances.filter(|name| *name != me) {
            live += 1;
            rank += usize::from(id::rendezvous(endpoint, other) > own);
        }
        // Each sender needs a share of at least one request a second.
        let senders = self.senders.min(rate as usize).min(live).max(1);
        if rank >= senders {
            return None;
        }
        let count = (rate / senders as f64).floor().max(1.0);
        // Below one request a second, the single sender gets a longer window.
        let needed = Duration::try_from_secs_f64(count * senders as f64 / rate).unwrap_or(Duration::MAX);
        Some(Share { count: count as usize, window: needed.max(MIN_WINDOW) })
    }
}

/// Times of the requests sent to one endpoint within the last window.
#[derive(Clone, Debug, Default)]
pub struct SendHistory {
    times: VecDeque<Duration>,
}

impl SendHistory {
    /// True if another request may be sent at `now`.
    pub fn has_room(&self, now: Duration, share: Share) -> bool {
        self.times.iter().filter(|sent| now < **sent + share.window).count() < share.count
    }

    /// Records a request sent at `now`.
    pub fn note(&mut self, now: Duration, share: Share) {
        self.times.retain(|sent| now < *sent + share.window);
        self.times.push_back(now);
    }

    /// Time of the last request.
    pub fn last(&self) -> Option<Duration> {
        self.times.back().copied()
    }
}
