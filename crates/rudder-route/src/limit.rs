//! Limits of an organisation within its class: token buckets that refill with time.

use std::time::Duration;

use rudder_model::Limits;

/// A bucket that refills at `rate` a second and holds one second's worth.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    level: f64,
    at: Option<Duration>,
}

impl Bucket {
    fn refill(&mut self, now: Duration, rate: f64) {
        let Some(at) = self.at.replace(now) else {
            self.level = rate;
            return;
        };
        let gained = now.saturating_sub(at).as_secs_f64() * rate;
        self.level = (self.level + gained).min(rate);
    }

    /// How long until the bucket is out of debt; zero when it can be drawn from.
    pub fn wait(&mut self, now: Duration, rate: u32, amount: f64) -> Duration {
        if rate == 0 {
            return Duration::ZERO;
        }
        let rate = f64::from(rate);
        self.refill(now, rate);
        let short = amount.min(rate) - self.level;
        if short <= 0.0 { Duration::ZERO } else { Duration::from_secs_f64(short / rate) }
    }

    /// Draws `amount`; the level may fall below zero, as output lengths are known only afterwards.
    pub fn draw(&mut self, amount: f64) {
        self.level -= amount;
    }
}

/// One organisation's use of one class in a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    rate: Bucket,
    tokens: Bucket,
    /// Requests waiting or running.
    pub open: u32,
}

impl Usage {
    /// Draws for one request, or says how long to wait.
    ///
    /// # Errors
    /// How long until the limit allows another request.
    pub fn try_take(&mut self, now: Duration, limits: &Limits, tokens: f64) -> Result<(), Duration> {
        if limits.inflight > 0 && self.open >= limits.inflight {
            return Err(Duration::from_secs(1));
        }
        let wait = self.rate.wait(now, limits.rate, 1.0).max(self.tokens.wait(now, limits.tokens, 0.0));
        if !wait.is_zero() {
            return Err(wait);
        }
        self.rate.draw(if limits.rate > 0 { 1.0 } else { 0.0 });
        self.charge(limits, tokens);
        self.open += 1;
        Ok(())
    }

    /// Corrects the tokens charged by `tokens`, which may be negative.
    pub fn charge(&mut self, limits: &Limits, tokens: f64) {
        if limits.tokens > 0 {
            self.tokens.draw(tokens);
        }
    }
}
