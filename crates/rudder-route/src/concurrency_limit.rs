//! Number of requests at once at an endpoint that falls over when it rejects too many, over all instances, lent by a
//! single holder.
//!
//! Each request takes a loan and returns it at its end. The endpoint does not tell how much room it has, so the limiter
//! learns it: a rejection sets the capacity to the loans that remain, and some time later one more is tried. A new loan
//! may be rejected until it is confirmed, as the endpoint may have lost room meanwhile. The loans that are not confirmed
//! and the recent rejections together stay below what the endpoint bears.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::RequestRate;

use crate::waiting::{Tier, WaitingTiers};

/// Time over which an endpoint counts its rejections.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Rejections count for this much longer, as they are learned of after the endpoint has counted them.
const REJECTION_SLACK: Duration = Duration::from_millis(250);
/// Share of the rejections that the loans may cause: instances that do not know of the holder may be rejected as well.
const REJECTION_SHARE: f64 = 0.8;
/// A loan without a rejection for this long is confirmed. Rejections are sent at once, so this covers the way of a request
/// to the endpoint and of its rejection to the holder.
const CONFIRM_TIME: Duration = Duration::from_millis(60);
/// Time until more than the capacity is tried after a rejection, for an endpoint that bears one a second.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest such time.
const MIN_RAISE_INTERVAL: Duration = Duration::from_secs(2);
/// Weight of a new loan in the mean time that loans are held.
const HOLD_WEIGHT: f64 = 0.2;
/// Bounds of the spacing of retries while all loans are out.
const RETRY_INTERVAL: std::ops::Range<Duration> = Duration::from_millis(5)..Duration::from_millis(250);

/// A request that may be running at the endpoint.
#[derive(Clone, Copy, Debug)]
struct Loan {
    granted: Duration,
    /// When it ends if it is not returned.
    until: Duration,
}

impl Loan {
    fn is_confirmed(&self, now: Duration) -> bool {
        now >= self.granted + CONFIRM_TIME
    }
}

/// Limits the requests at once to one endpoint. `K` identifies loans.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter<K> {
    loans: BTreeMap<K, Loan>,
    /// Requests at once that the endpoint is taken to accept; `None` until it rejects one.
    capacity: Option<usize>,
    /// When more than the capacity may be tried.
    raise_at: Duration,
    /// When the endpoint recently rejected requests.
    rejections: VecDeque<Duration>,
    /// Mean time that loans are held.
    hold: Option<Duration>,
    waiting: WaitingTiers,
}

impl<K> Default for ConcurrencyLimiter<K> {
    fn default() -> ConcurrencyLimiter<K> {
        ConcurrencyLimiter {
            loans: BTreeMap::new(),
            capacity: None,
            raise_at: Duration::ZERO,
            rejections: VecDeque::new(),
            hold: None,
            waiting: WaitingTiers::default(),
        }
    }
}

impl<K: Ord> ConcurrencyLimiter<K> {
    /// Lends one request of a tier to an endpoint that bears `rejections`. The loan ends after `span` if it is not
    /// returned.
    ///
    /// # Errors
    /// The time after which to retry.
    pub fn try_lend(
        &mut self,
        now: Duration,
        rejections: RequestRate,
        (key, span): (K, Duration),
        tier: Tier,
    ) -> Result<(), Duration> {
        self.expire(now);
        let free_at = self.risk_free_at(now, rejections).or_else(|| self.room_at(now));
        if free_at.is_some() || self.waiting.must_yield(tier) {
            let first = free_at.unwrap_or(now);
            return Err(self.waiting.record_denial(now, tier, first, self.retry_interval()));
        }
        if let Some(capacity) = self.capacity.as_mut().filter(|capacity| self.loans.len() >= **capacity) {
            *capacity += 1;
            self.raise_at = now + CONFIRM_TIME;
        }
        self.waiting.record_grant(tier, 1);
        self.loans.insert(key, Loan { granted: now, until: now + span });
        Ok(())
    }

    /// Takes a loan back at the end of its request.
    pub fn end(&mut self, now: Duration, key: &K) {
        let Some(loan) = self.loans.remove(key) else { return };
        let held = now.saturating_sub(loan.granted);
        self.hold = Some(self.hold.map_or(held, |mean| mean.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT)));
    }

    /// Records that the endpoint, which bears `rejections`, rejected a request, and takes its loan back if it had one.
    pub fn record_rejection(&mut self, now: Duration, rejections: RequestRate, key: Option<&K>) {
        if let Some(key) = key {
            self.loans.remove(key);
        }
        self.rejections.push_back(now);
        let capacity = self.loans.len().max(1);
        self.capacity = Some(self.capacity.map_or(capacity, |known| known.min(capacity)));
        self.raise_at = now + raise_interval(rejections);
    }

    /// Requests at once that the endpoint is taken to accept; `None` until it rejects one.
    pub fn capacity(&self) -> Option<usize> {
        self.capacity
    }

    /// Number of loans that were not returned.
    pub fn lent(&self) -> usize {
        self.loans.len()
    }

    fn expire(&mut self, now: Duration) {
        self.loans.retain(|_, loan| now < loan.until);
        while self.rejections.front().is_some_and(|at| now >= *at + REJECTION_WINDOW + REJECTION_SLACK) {
            self.rejections.pop_front();
        }
        self.waiting.expire(now, RETRY_INTERVAL.end);
    }

    /// When one more loan cannot cause more rejections than the endpoint bears; `None` if it cannot now.
    fn risk_free_at(&self, now: Duration, rejections: RequestRate) -> Option<Duration> {
        let unconfirmed = self.loans.values().filter(|loan| !loan.is_confirmed(now));
        let allowed = ((rejections.per_second() * REJECTION_SHARE) as usize).max(1);
        if unconfirmed.clone().count() + self.rejections.len() < allowed {
            return None;
        }
        let confirmed = unconfirmed.map(|loan| loan.granted + CONFIRM_TIME).min();
        let forgotten = self.rejections.front().map(|at| *at + REJECTION_WINDOW + REJECTION_SLACK);
        confirmed.into_iter().chain(forgotten).min()
    }

    /// When a loan is likely to be returned or one more than the capacity may be tried; `None` if there is room now.
    fn room_at(&self, now: Duration) -> Option<Duration> {
        let is_full = self.capacity.is_some_and(|capacity| self.loans.len() >= capacity);
        (is_full && now < self.raise_at).then(|| self.raise_at.min(now + self.retry_interval()))
    }

    /// Mean time between two returns of loans.
    fn retry_interval(&self) -> Duration {
        let hold = self.hold.unwrap_or(RETRY_INTERVAL.end);
        let between = hold / u32::try_from(self.loans.len().max(1)).unwrap_or(u32::MAX);
        between.clamp(RETRY_INTERVAL.start, RETRY_INTERVAL.end)
    }
}

fn raise_interval(rejections: RequestRate) -> Duration {
    let interval = RAISE_INTERVAL.div_f64(rejections.per_second().max(1.0));
    interval.max(MIN_RAISE_INTERVAL)
}
