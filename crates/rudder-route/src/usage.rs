//! Limits of an organisation within its class, enforced with token buckets.

use std::time::Duration;

use rudder_model::Limits;

/// A token bucket that refills at `rate` a second and holds one second's worth.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    level: f64,
    refilled: Option<Duration>,
}

impl TokenBucket {
    fn refill(&mut self, now: Duration, rate: f64) {
        let Some(refilled) = self.refilled.replace(now) else {
            self.level = rate;
            return;
        };
        let gained = now.saturating_sub(refilled).as_secs_f64() * rate;
        self.level = (self.level + gained).min(rate);
    }

    /// Time until `amount` is available; zero if it is now or if the rate is unlimited.
    pub fn time_until(&mut self, now: Duration, rate: u32, amount: f64) -> Duration {
        if rate == 0 {
            return Duration::ZERO;
        }
        let rate = f64::from(rate);
        self.refill(now, rate);
        let missing = amount.min(rate) - self.level;
        if missing <= 0.0 { Duration::ZERO } else { Duration::from_secs_f64(missing / rate) }
    }

    /// Takes `amount`. The level may become negative, as output lengths are only known afterwards.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }
}

/// One organisation's usage of one class in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrgUsage {
    rate: TokenBucket,
    tokens: TokenBucket,
    /// Requests queued or running.
    pub open_requests: u32,
}

impl OrgUsage {
    /// Charges one request with an estimate of its output tokens.
    ///
    /// # Errors
    /// How long until the limits allow another request.
    pub fn try_take(&mut self, now: Duration, limits: &Limits, tokens: f64) -> Result<(), Duration> {
        if limits.inflight > 0 && self.open_requests >= limits.inflight {
            return Err(Duration::from_secs(1));
        }
        let wait = self.rate.time_until(now, limits.rate, 1.0).max(self.tokens.time_until(now, limits.tokens, 0.0));
        if !wait.is_zero() {
            return Err(wait);
        }
        self.rate.take(if limits.rate > 0 { 1.0 } else { 0.0 });
        self.charge(limits, tokens);
        self.open_requests += 1;
        Ok(())
    }

    /// Charges `tokens`; a negative amount corrects an estimate that was too high.
    pub fn charge(&mut self, limits: &Limits, tokens: f64) {
        if limits.tokens > 0 {
            self.tokens.take(tokens);
        }
    }
}
