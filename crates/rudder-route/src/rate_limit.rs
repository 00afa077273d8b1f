//! A rate that an endpoint bears from all instances together, handed out by one holder.
//!
//! A token bucket that starts empty: a holder that follows another one does not know what that has granted. Over any span,
//! no more is granted than the rate allows in that span and half a second more, and two requests beside. More urgent tiers go
//! first, but one of ten requests is granted to each tier below that waits.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::RequestRate;

/// What the rate allows in this time is kept for later.
const BURST: Duration = Duration::from_millis(500);
/// The least that is kept for later: at a low rate callers seldom come just when a token does.
const BURST_LEAST: f64 = 2.0;
/// An endpoint that takes nothing gets a request now and then all the same: it says in its answers alone that it takes some
/// again.
const PROBE: Duration = Duration::from_secs(20);
/// A tier that was denied waits for this long.
const WAITS: Duration = Duration::from_secs(1);
/// Requests granted to more urgent tiers for one of a tier that waits.
const PASSED_MOST: u32 = 9;
/// Those denied are told to come back over this time at most.
const SPREAD: Duration = Duration::from_secs(2);

/// How urgent a request is: 0 is the most urgent.
pub type Tier = u8;

/// A tier that was denied.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    denied: Duration,
    /// Requests granted to more urgent tiers since.
    passed: u32,
}

/// What one endpoint has been given.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    level: f64,
    at: Option<Duration>,
    waiting: BTreeMap<Tier, Waiting>,
    /// When those who were denied last are to come back.
    promised: Duration,
}

impl RateLimiter {
    /// Grants up to `wanted` requests of a tier, one at least.
    ///
    /// # Errors
    /// When to come back, from now.
    pub fn try_take(&mut self, now: Duration, rate: RequestRate, tier: Tier, wanted: u32) -> Result<u32, Duration> {
        let interval = rate.interval().min(PROBE);
        self.refill(now, interval);
        self.waiting.retain(|_, waiting| now < waiting.denied + WAITS.max(interval));
        if self.level < 1.0 || self.must_yield(tier) {
            self.waiting.entry(tier).or_default().denied = now;
            return Err(self.next_turn(now, interval));
        }
        let count = wanted.clamp(1, self.level as u32);
        self.level -= f64::from(count);
        self.waiting.remove(&tier);
        for (_, waiting) in self.waiting.range_mut(tier + 1..) {
            waiting.passed += count;
        }
        Ok(count)
    }

    fn refill(&mut self, now: Duration, interval: Duration) {
        let Some(at) = self.at.replace(now) else { return };
        let most = (BURST.as_secs_f64() / interval.as_secs_f64()).max(BURST_LEAST);
        let gained = now.saturating_sub(at).as_secs_f64() / interval.as_secs_f64();
        self.level = (self.level + gained).min(most);
    }

    /// True where a more urgent tier waits, and it is not this one's turn.
    fn must_yield(&self, tier: Tier) -> bool {
        let urgent_waits = self.waiting.range(..tier).next().is_some();
        urgent_waits && self.waiting.get(&tier).is_none_or(|waiting| waiting.passed < PASSED_MOST)
    }

    /// Those who are denied come back one after the other, as the rate allows, and not all for one token.
    fn next_turn(&mut self, now: Duration, interval: Duration) -> Duration {
        let missing = interval.mul_f64((1.0 - self.level).max(0.0));
        let first = now + missing;
        let next = self.promised.max(first) + interval;
        self.promised = if next > first + SPREAD.max(interval) { first } else { next };
        self.promised.saturating_sub(now)
    }
}
