//! Returns of refused callers at instances that decide alone.

use std::time::Duration;

use rudder_clock::Moment;
use rudder_gateway::{
    Plan,
    returns::{ReturnSchedules, Scheduled, spread},
};
use rudder_route::returns::{Arrival, Attempt, Return, ReturnSettings};

const SECOND: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(15);
const SHORTEST: Duration = Duration::from_millis(300);

fn request(content: u64, remaining: Duration) -> Scheduled {
    let attempt = Attempt { level: 0, content, remaining, shortest: SHORTEST };
    Scheduled { service: "svc".into(), route: "chat".into(), attempt }
}

/// An instance that took 5 first attempts a second for 10 s up to the returned moment, and admitted all.
fn instance() -> (ReturnSchedules, Moment) {
    let started = Moment::now();
    let mut returns = ReturnSchedules::new(ReturnSettings::default(), started);
    for number in 0..50 {
        let (asked, now) = (request(number, DEADLINE), started + SECOND * number as u32 / 5);
        assert_eq!(returns.recognise(&asked, Some(DEADLINE), now), None, "first attempts are new");
        returns.record_outcome(&asked, None, true, now);
    }
    (returns, started + SECOND * 10)
}

/// Refuses a request and returns the time that it is told.
fn refuse(returns: &mut ReturnSchedules, content: u64, now: Moment) -> Duration {
    returns.schedule(&request(content, DEADLINE), None, Duration::ZERO, 0.5, now).after
}

fn arrival(returned: Option<Return>) -> Option<Arrival> {
    returned.map(|returned| returned.arrival)
}

/// Callers choose an instance at random, so most return to one that has not refused them.
#[test]
fn a_caller_that_another_instance_refused_is_due_at_its_time() {
    let (mut first, now) = instance();
    let (mut second, _) = instance();
    let after = refuse(&mut first, 1000, now);
    refuse(&mut second, 2000, now);
    let (left, at) = (DEADLINE.saturating_sub(after), now + after);
    assert_eq!(arrival(second.recognise(&request(1000, left), Some(left), at)), Some(Arrival::Due));
}

/// It would be preferred to callers that waited.
#[test]
fn a_caller_that_returns_before_the_shortest_time_is_new_elsewhere() {
    let (mut first, now) = instance();
    let (mut second, _) = instance();
    refuse(&mut first, 1000, now);
    refuse(&mut second, 2000, now);
    let left = DEADLINE.saturating_sub(SHORTEST / 2);
    assert_eq!(second.recognise(&request(1000, left), Some(left), now + SHORTEST / 2), None);
}

/// Its caller does not come a third time, and a slot taken for it would stay empty.
#[test]
fn a_return_that_is_refused_again_takes_no_slot() {
    let (mut returns, now) = instance();
    let after = refuse(&mut returns, 1000, now);
    let asked = request(1000, DEADLINE.saturating_sub(after));
    let returned = returns.recognise(&asked, None, now + after);
    assert_eq!(arrival(returned), Some(Arrival::Due));
    assert_eq!(returns.schedule(&asked, returned, Duration::ZERO, 0.5, now + after).position, None);
    let next = returns.schedule(&request(1001, DEADLINE), None, Duration::ZERO, 0.5, now + after);
    assert_eq!(next.position, Some(1));
}

/// Endpoints that rest accept nobody before then.
#[test]
fn nobody_is_told_to_return_while_all_endpoints_are_blocked() {
    let (mut returns, now) = instance();
    for (content, blocked) in [(1, SECOND), (2, SECOND * 9)] {
        let told = returns.schedule(&request(content, DEADLINE), None, blocked, 0.5, now);
        assert!(told.after >= blocked, "{told:?}");
    }
}

/// State of services and routes that are gone would grow with the changes of the configuration.
#[test]
fn a_service_that_is_no_longer_configured_is_forgotten() {
    let (mut returns, now) = instance();
    let after = refuse(&mut returns, 1000, now);
    assert!(returns.reserved("svc", 0, now + after) > 0.5);
    returns.retain(&Plan::default());
    assert!(returns.reserved("svc", 0, now + after) < 0.5);
}

/// The new process knows nothing of those that the old one told to return. They count as new, not as strays for which
/// recognition is switched off.
#[test]
fn a_restarted_instance_recognises_returns_soon() {
    let now = Moment::now();
    let mut restarted = ReturnSchedules::new(ReturnSettings::default(), now);
    let left = DEADLINE.saturating_sub(SECOND * 2);
    for number in 0..20 {
        let at = now + SECOND * number / 10;
        assert_eq!(restarted.recognise(&request(0, DEADLINE), Some(DEADLINE), at), None);
        assert_eq!(restarted.recognise(&request(0, left), Some(left), at), None);
    }
    refuse(&mut restarted, 1, now + SECOND * 2);
    let seen = restarted.recognise(&request(0, left), Some(left), now + SECOND * 4);
    assert_eq!(arrival(seen), Some(Arrival::Due));
}

macro_rules! spreads {
    ($($(#[$meta:meta])* $name:ident: $base:expr, $remaining:expr, $draw:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let millis = Duration::from_millis;
            assert_eq!(spread(millis($base), millis(400), millis($remaining), $draw).as_millis(), $expected);
        })*
    };
}

spreads! {
    /// Callers refused together would return together, into the same overload, and be refused again.
    the_last_return_is_the_latest_that_callers_honour: 400, 3_000, 1.0 => 1_000;
    the_first_return_is_at_the_target: 400, 3_000, 0.0 => 400;
    returns_lie_between: 400, 3_000, 0.5 => 700;
    /// It can still be in time.
    an_earlier_return_is_told_as_it_is: 100, 3_000, 0.9 => 100;
    a_caller_with_little_time_returns_at_the_base: 400, 900, 1.0 => 400;
}
