//! Rate limit of an endpoint over all instances, granted by a single holder.
//!
//! The limiter is a token bucket that starts empty, as a new holder does not know what the previous one granted. Over
//! any time span it grants at most what the rate allows in that span plus half a second, and two requests more. More
//! urgent tiers go first, but each waiting tier below gets at least one of ten requests.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::RequestRate;

/// The bucket holds what the rate allows in this time.
const BURST: Duration = Duration::from_millis(500);
/// Smallest capacity of the bucket in tokens, so that low rates can be used by requests that arrive at irregular times.
const MIN_BURST_TOKENS: f64 = 2.0;
/// Longest interval between grants. An endpoint announces a higher rate only in its answers, so one whose rate is zero
/// still gets a request now and then.
const MAX_INTERVAL: Duration = Duration::from_secs(20);
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

/// Limits the rate of requests to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    tokens: f64,
    refilled: Option<Duration>,
    waiting: BTreeMap<Tier, WaitingTier>,
    /// Time at which the request denied last should be retried.
    last_retry: Duration,
}

impl RateLimiter {
    /// Grants up to `wanted` requests of a tier, but at least one.
    ///
    /// # Errors
    /// The time after which to retry.
    pub fn try_take(&mut self, now: Duration, rate: RequestRate, tier: Tier, wanted: u32) -> Result<u32, Duration> {
        let interval = rate.interval().min(MAX_INTERVAL);
        self.refill(now, interval);
        self.waiting.retain(|_, waiting| now < waiting.denied + WAITING_TIMEOUT.max(interval));
        if self.tokens < 1.0 || self.must_yield(tier) {
            self.waiting.entry(tier).or_default().denied = now;
            return Err(self.schedule_retry(now, interval));
        }
        let count = wanted.clamp(1, self.tokens as u32);
        self.tokens -= f64::from(count);
        self.waiting.remove(&tier);
        for (_, waiting) in self.waiting.range_mut(tier + 1..) {
            waiting.passed_over += count;
        }
        Ok(count)
    }

    fn refill(&mut self, now: Duration, interval: Duration) {
        let Some(refilled) = self.refilled.replace(now) else { return };
        let capacity = (BURST.as_secs_f64() / interval.as_secs_f64()).max(MIN_BURST_TOKENS);
        let gained = now.saturating_sub(refilled).as_secs_f64() / interval.as_secs_f64();
        self.tokens = (self.tokens + gained).min(capacity);
    }

    /// True if a more urgent tier is waiting and this one has not been passed over often enough.
    fn must_yield(&self, tier: Tier) -> bool {
        let urgent_waits = self.waiting.range(..tier).next().is_some();
        urgent_waits && self.waiting.get(&tier).is_none_or(|waiting| waiting.passed_over < MAX_PASSED_OVER)
    }

    /// Time until a denied request should be retried. Retries are spaced by the rate, so that they do not compete for
    /// one token.
    fn schedule_retry(&mut self, now: Duration, interval: Duration) -> Duration {
        let missing = interval.mul_f64((1.0 - self.tokens).max(0.0));
        let first = now + missing;
        let next = self.last_retry.max(first) + interval;
        self.last_retry = if next > first + MAX_RETRY_SPREAD.max(interval) { first } else { next };
        self.last_retry.saturating_sub(now)
    }
}
