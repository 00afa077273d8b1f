//! Requests at once at an endpoint that falls over after too many rejections, in virtual time.

use std::time::Duration;

use rudder_model::RequestRate;
use rudder_route::{concurrency_limit::ConcurrencyLimiter, waiting::Tier};

const SPAN: Duration = Duration::from_secs(10);
/// Time after which a loan without a rejection is confirmed, and more.
const CONFIRMED: Duration = Duration::from_millis(100);

fn borne(rejections: f64) -> RequestRate {
    RequestRate::try_from_per_second(rejections).expect("a rate")
}

/// A limiter, the time and the next loan.
struct Fixture {
    limiter: ConcurrencyLimiter<u32>,
    rejections: RequestRate,
    now: Duration,
    next: u32,
}

impl Fixture {
    fn new(rejections: f64) -> Fixture {
        Fixture { limiter: ConcurrencyLimiter::default(), rejections: borne(rejections), now: SPAN, next: 0 }
    }

    fn lend(&mut self, tier: Tier) -> Result<u32, Duration> {
        self.next += 1;
        self.limiter.try_lend(self.now, self.rejections, (self.next, SPAN), tier).map(|()| self.next)
    }

    /// Loans that are granted at once.
    fn lend_all(&mut self) -> Vec<u32> {
        std::iter::from_fn(|| self.lend(0).ok()).collect()
    }

    /// Lends until `count` loans are confirmed.
    fn lend_confirmed(&mut self, count: usize) -> Vec<u32> {
        let mut loans = Vec::new();
        while loans.len() < count {
            loans.extend(self.lend(0).ok());
            self.now += CONFIRMED;
        }
        loans
    }

    fn reject(&mut self, loan: u32) {
        self.limiter.record_rejection(self.now, self.rejections, Some(&loan));
    }
}

/// Guards against an endpoint that gets more at once, before the first rejection is known, than it bears to reject.
#[test]
fn loans_that_are_not_confirmed_stay_within_what_is_borne() {
    for rejections in [0.0, 0.5, 1.0, 2.0, 5.0, 40.0] {
        let loans = Fixture::new(rejections).lend_all().len();
        assert!(loans as f64 <= rejections.max(1.0), "{loans} at once of {rejections} borne");
    }
}

/// Guards against rejections that add up over the loans of successive moments.
#[test]
fn rejections_within_a_second_stay_within_what_is_borne() {
    for rejections in [1.0, 2.0, 5.0, 40.0] {
        let mut fixture = Fixture::new(rejections);
        let mut rejected: Vec<Duration> = Vec::new();
        for _ in 0..4000 {
            for loan in fixture.lend_all() {
                fixture.reject(loan);
                rejected.push(fixture.now);
            }
            fixture.now += Duration::from_millis(5);
        }
        let within = |first: &Duration| {
            rejected.iter().filter(|at| (*first..*first + Duration::from_secs(1)).contains(at)).count()
        };
        let most = rejected.iter().map(within).max().unwrap_or_default();
        assert!(most as f64 <= rejections, "{most} in a second of {rejections} borne");
        assert!(rejected.len() >= 2, "an endpoint that rejected everything is tried again");
    }
}

/// Guards against requests refused while there is room for them.
#[test]
fn without_a_rejection_loans_are_not_limited() {
    let mut fixture = Fixture::new(1.0);
    assert_eq!(fixture.lend_confirmed(64).len(), 64);
    assert_eq!(fixture.limiter.capacity(), None);
}

/// Guards against a full endpoint that is tried again at once.
#[test]
fn a_rejection_limits_the_loans_to_those_that_were_accepted() {
    let mut fixture = Fixture::new(5.0);
    let loans = fixture.lend_confirmed(4);
    let beyond = fixture.lend(0).expect("not known to be full");
    fixture.reject(beyond);
    fixture.now += CONFIRMED;
    assert!(fixture.lend(0).is_err());
    fixture.limiter.end(fixture.now, &loans[0]);
    assert!(fixture.lend(0).is_ok(), "a loan was returned");
}

/// Guards against an endpoint whose room is never used again once it has grown.
#[test]
fn more_loans_are_tried_after_a_while() {
    let mut fixture = Fixture::new(5.0);
    let loan = fixture.lend(0).expect("the first");
    fixture.reject(loan);
    assert_eq!(fixture.limiter.capacity(), Some(1));
    fixture.now += Duration::from_secs(5);
    assert_eq!(fixture.lend_confirmed(16).len(), 16);
}

/// Guards against loans of lost instances that are never returned.
#[test]
fn loans_that_are_not_returned_end() {
    let mut fixture = Fixture::new(5.0);
    let mut loans = fixture.lend_confirmed(2);
    fixture.reject(loans.remove(0));
    assert_eq!(fixture.limiter.lent(), 1);
    fixture.now += SPAN + Duration::from_secs(1);
    assert!(fixture.lend(0).is_ok());
    assert_eq!(fixture.limiter.lent(), 1);
}

/// Guards against less urgent requests that take the room for which more urgent ones wait.
#[test]
fn more_urgent_tiers_go_first() {
    let mut fixture = Fixture::new(5.0);
    let mut loans = fixture.lend_confirmed(3);
    fixture.reject(loans.remove(0));
    fixture.now += Duration::from_millis(1300);
    assert!(fixture.lend(0).is_err(), "all are lent");
    fixture.limiter.end(fixture.now, &loans[0]);
    assert!(fixture.lend(1).is_err(), "a more urgent one waits");
    assert!(fixture.lend(0).is_ok());
}

/// Guards against denied requests that all come back at the same time, or never.
#[test]
fn retries_are_spread_and_bounded() {
    let mut fixture = Fixture::new(1.0);
    let loan = fixture.lend(0).expect("the first");
    fixture.reject(loan);
    let times: Vec<Duration> = (0..20).filter_map(|_| fixture.lend(0).err()).collect();
    assert_eq!(times.len(), 20);
    assert!(times.iter().all(|time| *time > Duration::ZERO && *time < Duration::from_secs(12)), "{times:?}");
    let mut distinct = times.clone();
    distinct.dedup();
    assert!(distinct.len() > 5, "{times:?}");
}
