//! Rate limiting by a holder, under arbitrary sequences of requests.

use std::time::Duration;

use quickcheck::quickcheck;
use rudder_model::RequestRate;
use rudder_route::rate_limit::{RateLimiter, Tier};

const SECOND: Duration = Duration::from_secs(1);

fn rate(requests: f64) -> RequestRate {
    RequestRate::try_from_per_second(requests).expect("a rate")
}

/// Requests granted to each tier within `span` at a rate of `requests` a second, when each asks for one every 10 ms.
fn granted(limiter: &mut RateLimiter, requests: f64, tiers: &[Tier], from: Duration, span: Duration) -> Vec<u32> {
    let mut counts = vec![0; tiers.len()];
    let mut now = from;
    while now < from + span {
        for (count, tier) in counts.iter_mut().zip(tiers) {
            *count += limiter.try_take(now, rate(requests), *tier, 1).unwrap_or(0);
        }
        now += Duration::from_millis(10);
    }
    counts
}

quickcheck! {
    /// Any span gets at most what the rate allows in it plus half a second, and two requests more.
    fn no_span_gets_more_than_the_rate(pauses: Vec<(u16, u8, u8)>, per_second: u8) -> bool {
        let per_second = f64::from(per_second) / 8.0;
        let mut limiter = RateLimiter::default();
        let (mut now, mut grants) = (Duration::ZERO, Vec::new());
        for (pause, tier, wanted) in pauses {
            now += Duration::from_millis(u64::from(pause % 2000));
            if let Ok(count) = limiter.try_take(now, rate(per_second), tier % 3, u32::from(wanted % 40)) {
                grants.push((now, count));
            }
        }
        grants.iter().enumerate().all(|(first, (begin, _))| {
            let mut sum = 0;
            grants[first..].iter().all(|(at, count)| {
                sum += count;
                let span = at.saturating_sub(*begin).as_secs_f64();
                f64::from(sum) <= per_second.max(0.05) * (span + 0.5) + 2.0 + 1e-6
            })
        })
    }
}

macro_rules! usage {
    ($($name:ident: $requests:expr => $range:expr;)*) => {
        $(#[test] fn $name() {
            let count = granted(&mut RateLimiter::default(), $requests, &[0], SECOND, SECOND * 40)[0];
            assert!($range.contains(&count), "{count}");
        })*
    };
}

usage! {
    a_rate_of_one_a_second_is_used: 1.0 => 39..=40;
    a_rate_below_one_a_second_is_used: 0.1 => 3..=4;
    a_high_rate_is_used: 80.0 => 3190..=3200;
    a_rate_of_zero_still_allows_probes: 0.0 => 1..=2;
    a_huge_rate_denies_almost_nothing: 1e300 => 3999..=4000;
}

/// A new holder must not add to what the previous one granted just before.
#[test]
fn a_new_limiter_starts_empty() {
    let mut limiter = RateLimiter::default();
    let retry = limiter.try_take(SECOND, rate(4.0), 0, 1).expect_err("the bucket is empty");
    assert!(retry >= Duration::from_millis(250) && retry <= SECOND, "{retry:?}");
}

#[test]
fn a_lowered_rate_takes_effect_at_once() {
    let mut limiter = RateLimiter::default();
    granted(&mut limiter, 400.0, &[0], Duration::ZERO, SECOND);
    let after = granted(&mut limiter, 1.0, &[0], SECOND * 3, SECOND * 4)[0];
    assert!(after <= 6, "{after}");
}

#[test]
fn urgent_tiers_go_first_and_no_tier_starves() {
    let counts = granted(&mut RateLimiter::default(), 20.0, &[2, 1, 0], Duration::ZERO, SECOND * 60);
    let total: u32 = counts.iter().sum();
    assert!(total >= 1180, "the rate is used: {counts:?}");
    assert!(counts[2] > 900, "the most urgent tier gets most: {counts:?}");
    assert!(counts[1] >= 60 && counts[0] >= 60, "each tier gets some: {counts:?}");
}

#[test]
fn capacity_left_by_urgent_tiers_is_used() {
    let mut limiter = RateLimiter::default();
    let (mut urgent, mut other) = (0, 0);
    for step in 0..6000_u32 {
        let now = Duration::from_millis(u64::from(step) * 10);
        other += limiter.try_take(now, rate(20.0), 1, 1).unwrap_or(0);
        if step % 50 == 0 {
            urgent += limiter.try_take(now, rate(20.0), 0, 1).unwrap_or(0);
        }
    }
    assert!(urgent + other >= 900, "{urgent} urgent and {other} others of 1,200");
}

/// Requests denied at the same time must not all retry at the same time.
#[test]
fn retries_of_denied_requests_are_spread() {
    let mut limiter = RateLimiter::default();
    let retries: Vec<Duration> =
        (0..6).map(|_| limiter.try_take(SECOND, rate(4.0), 0, 1).expect_err("the bucket is empty")).collect();
    assert!(retries.is_sorted() && retries[0] < retries[5], "{retries:?}");
}
