//! Requests that a holder denied and that will be retried: which tiers wait, and when each request should return.

use std::{collections::BTreeMap, time::Duration};

/// A tier counts as waiting for this long after it was denied.
const WAITING_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests granted to more urgent tiers before a waiting tier gets its turn.
const MAX_PASSED_OVER: u32 = 9;
/// Retries of denied requests are spread over at most this time.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(2);

/// Priority of a request; 0 is the most urgent.
pub type Tier = u8;

/// A tier whose last request was denied.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingTier {
    denied: Duration,
    /// Requests granted to more urgent tiers since its last grant.
    passed_over: u32,
}

/// The tiers that wait. More urgent ones go first, but each waiting tier below gets at least one of ten requests.
#[derive(Clone, Debug, Default)]
pub struct WaitingTiers {
    waiting: BTreeMap<Tier, WaitingTier>,
    /// Time at which the request denied last should be retried.
    last_retry: Duration,
}

impl WaitingTiers {
    /// Drops tiers that have not been denied for a while, which is longer if grants are longer apart.
    pub fn expire(&mut self, now: Duration, interval: Duration) {
        self.waiting.retain(|_, waiting| now < waiting.denied + WAITING_TIMEOUT.max(interval));
    }

    /// True if a more urgent tier is waiting and this one has not been passed over often enough.
    pub fn must_yield(&self, tier: Tier) -> bool {
        let urgent_waits = self.waiting.range(..tier).next().is_some();
        urgent_waits && self.waiting.get(&tier).is_none_or(|waiting| waiting.passed_over < MAX_PASSED_OVER)
    }

    /// Records that `count` requests of a tier were granted.
    pub fn record_grant(&mut self, tier: Tier, count: u32) {
        self.waiting.remove(&tier);
        for (_, waiting) in self.waiting.range_mut(tier + 1..) {
            waiting.passed_over += count;
        }
    }

    /// Records a denial and returns the time until the request should be retried, at `first` or later. Retries are spaced
    /// by `interval`, so that they do not compete for the same grant.
    pub fn record_denial(&mut self, now: Duration, tier: Tier, first: Duration, interval: Duration) -> Duration {
        self.waiting.entry(tier).or_default().denied = now;
        let next = self.last_retry.max(first) + interval;
        self.last_retry = if next > first + MAX_RETRY_SPREAD.max(interval) { first } else { next };
        self.last_retry.saturating_sub(now)
    }
}
