//! Rate limit of an endpoint over all instances, granted by a single holder.
//!
//! The limiter is a token bucket that starts empty, as a new holder does not know what the previous one granted. Over
//! any time span it grants at most what the rate allows in that span plus half a second, and two requests more. More
//! urgent tiers go first, but each waiting tier below gets at least one of ten requests.

use std::time::Duration;

use rudder_model::RequestRate;

pub use crate::waiting::Tier;
use crate::waiting::WaitingTiers;

/// The bucket holds what the rate allows in this time.
const BURST: Duration = Duration::from_millis(500);
/// Smallest capacity of the bucket in tokens, so that low rates can be used by requests that arrive at irregular times.
const MIN_BURST_TOKENS: f64 = 2.0;
/// Longest interval between grants. An endpoint announces a higher rate only in its answers, so one whose rate is zero
/// still gets a request now and then.
const MAX_INTERVAL: Duration = Duration::from_secs(20);

/// Limits the rate of requests to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    tokens: f64,
    refilled: Option<Duration>,
    waiting: WaitingTiers,
}

impl RateLimiter {
    /// Grants up to `wanted` requests of a tier, but at least one.
    ///
    /// # Errors
    /// The time after which to retry.
    pub fn try_take(&mut self, now: Duration, rate: RequestRate, tier: Tier, wanted: u32) -> Result<u32, Duration> {
        let interval = rate.interval().min(MAX_INTERVAL);
        self.refill(now, interval);
        self.waiting.expire(now, interval);
        if self.tokens < 1.0 || self.waiting.must_yield(tier) {
            let missing = interval.mul_f64((1.0 - self.tokens).max(0.0));
            return Err(self.waiting.record_denial(now, tier, now + missing, interval));
        }
        let count = wanted.clamp(1, self.tokens as u32);
        self.tokens -= f64::from(count);
        self.waiting.record_grant(tier, count);
        Ok(count)
    }

    fn refill(&mut self, now: Duration, interval: Duration) {
        let Some(refilled) = self.refilled.replace(now) else { return };
        let capacity = (BURST.as_secs_f64() / interval.as_secs_f64()).max(MIN_BURST_TOKENS);
        let gained = now.saturating_sub(refilled).as_secs_f64() / interval.as_secs_f64();
        self.tokens = (self.tokens + gained).min(capacity);
    }
}
