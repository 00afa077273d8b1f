//! When refused callers return: spread over time in the order of priority, at the rate of the room that comes free.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rudder_route::{
    first_deadline::FirstDeadline,
    returns::{Arrival, Attempt, HONOURED, ReturnSettings, Returns},
};

const SECOND: Duration = Duration::from_secs(1);
const SHORTEST: Duration = Duration::from_millis(300);
const NOW: Duration = Duration::from_secs(20);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn attempt(level: usize, content: u64, remaining: Duration) -> Attempt {
    Attempt { level, content, remaining, shortest: SHORTEST }
}

/// Admits requests of a level at `rate` a second, in the 10 s before [`NOW`] at 20 s.
fn admit(returns: &mut Returns, level: usize, rate: u64) {
    for number in 0..rate * 10 {
        returns.record_admitted(level, SECOND * 10 + SECOND * number as u32 / rate as u32);
    }
}

fn learned(rates: &[u64]) -> Returns {
    let mut returns = Returns::new(ReturnSettings::default());
    for (level, rate) in rates.iter().enumerate() {
        admit(&mut returns, level, *rate);
    }
    returns
}

/// Largest number of times within any 100 ms.
fn peak(times: &[Duration]) -> usize {
    let within = |from: &Duration| times.iter().filter(|time| (*from..*from + millis(100)).contains(time)).count();
    times.iter().map(within).max().unwrap_or_default()
}

macro_rules! bursts {
    ($($(#[$meta:meta])* $name:ident: $rate:expr, $count:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let (mut returns, mut random) = (learned(&[$rate]), Pcg64Mcg::seed_from_u64(7));
            let told: Vec<_> = (0..$count)
                .map(|content| returns.schedule(&attempt(0, content, SECOND * 15), Duration::ZERO, random.random(), NOW))
                .collect();
            let times = |scheduled: bool| -> Vec<Duration> {
                told.iter().filter(|told| told.position.is_some() == scheduled).map(|told| told.after).collect()
            };
            let (scheduled, late) = (times(true), times(false));
            // Half of the rate, and the draws of two neighbours.
            assert!(peak(&scheduled) as f64 <= f64::from($rate) * 0.1 / 2.0 + 2.0, "{scheduled:?}");
            assert!(scheduled.len() as f64 >= f64::from($count).min(f64::from($rate) * 1.5), "{}", scheduled.len());
            assert!(peak(&late) <= late.len() / 4 + 2, "{late:?}");
            assert!(scheduled.iter().all(|after| *after >= SHORTEST));
            assert!(told.iter().all(|told| told.after <= (SECOND * 15).mul_f64(HONOURED)));
        })*
    };
}

bursts! {
    /// Equal times would bring all of them back in the same moment.
    callers_refused_at_once_return_without_a_wave: 20, 30;
    more_callers_than_the_schedule_holds_are_spread_over_its_end: 20, 200;
    a_slow_instance_spreads_its_few_callers: 2, 6;
}

/// Less urgent callers that returned first would take the room of more urgent ones.
#[test]
fn higher_priorities_return_first_at_three_times_the_load() {
    let (mut returns, mut random) = (learned(&[20, 20]), Pcg64Mcg::seed_from_u64(7));
    let mut told = |level: usize, content: u64| {
        returns.schedule(&attempt(level, content, SECOND * 15), Duration::ZERO, random.random(), NOW).after
    };
    let urgent: Vec<Duration> = (0..10).map(|content| told(0, content)).collect();
    let others: Vec<Duration> = (10..20).map(|content| told(1, content)).collect();
    assert!(urgent.iter().max() < others.iter().min(), "{urgent:?} {others:?}");
}

/// Less urgent callers that are refused first must not add their wave to that of the urgent ones.
#[test]
fn priorities_refused_in_turn_return_within_the_common_rate() {
    let (mut returns, mut random) = (learned(&[20, 20]), Pcg64Mcg::seed_from_u64(7));
    let mut told: [Vec<Duration>; 2] = Default::default();
    for content in 0..40 {
        let level = usize::from(content % 2 == 0);
        let refused = attempt(level, content, SECOND * 15);
        told[level].push(returns.schedule(&refused, Duration::ZERO, random.random(), NOW).after);
    }
    let [urgent, others] = &told;
    assert!(urgent.iter().sum::<Duration>() < others.iter().sum(), "{told:?}");
    assert!(peak(&told.concat()) <= 40 / 10 + 2, "{told:?}");
}

/// Callers that come before their time must not get an earlier one, nor the room of those that waited.
#[test]
fn callers_that_do_not_wait_gain_nothing() {
    let mut returns = learned(&[5]);
    let told = returns.schedule(&attempt(0, 1, SECOND * 5), Duration::ZERO, 0.5, NOW);
    let soon = NOW + told.after / 2;
    let again = attempt(0, 1, (SECOND * 5).saturating_sub(told.after / 2));
    let seen = returns.recognise(&again, Some(SHORTEST), soon).expect("known by its content");
    assert_eq!(seen.arrival, Arrival::Early);
    let second = returns.schedule(&again, Duration::ZERO, 0.0, soon);
    assert_eq!(soon + second.after, NOW + told.after);
    let due = attempt(0, 1, (SECOND * 5).saturating_sub(told.after));
    assert_eq!(returns.recognise(&due, None, NOW + told.after).map(|seen| seen.arrival), Some(Arrival::Due));
}

/// New requests would take the room of those that are due.
#[test]
fn room_is_reserved_for_due_requests_of_the_same_and_higher_priorities() {
    let mut returns = learned(&[5, 5]);
    let told = returns.schedule(&attempt(1, 1, SECOND * 5), Duration::ZERO, 0.5, NOW);
    let due = NOW + told.after;
    assert_eq!(
        [NOW, due.saturating_sub(millis(100)), due + SECOND].map(|now| returns.reserved(now, 1) as u32),
        [0, 1, 0]
    );
    assert_eq!(returns.reserved(due, 0) as u32, 0);
    // A caller that another instance had told the same is admitted in its place.
    let seen = returns.recognise(&attempt(1, 2, (SECOND * 5).saturating_sub(told.after)), Some(told.after), due);
    assert_eq!(seen.map(|seen| seen.arrival), Some(Arrival::Due));
    assert_eq!(returns.reserved(due, 1) as u32, 0);
}

/// Serves `seconds` of new requests at `demand` a second with `capacity` a second, first to those that are due. Returns
/// the share of due requests that were admitted in the last third.
fn serve(returns: &mut Returns, demand: u64, capacity: impl Fn(u64) -> f64, seconds: u64, seed: u64) -> f64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (mut coming, mut room): (Vec<(Duration, u64)>, f64) = (Vec::new(), 0.0);
    let (mut came, mut admitted) = (0_u32, 0_u32);
    for step in 0..seconds * 100 {
        let now = NOW + millis(step * 10);
        room = (room + capacity(step / 100) / 100.0).min(2.0);
        coming.sort_unstable();
        while coming.first().is_some_and(|(at, _)| *at <= now) {
            let (at, content) = coming.remove(0);
            let asked = attempt(0, content, SECOND * 10);
            let Some(returned) = returns.recognise(&asked, None, at.max(now)) else { continue };
            let others = if returned.arrival == Arrival::Due { 0.0 } else { returns.reserved(now, 0) };
            let is_admitted = room - others >= 1.0;
            if is_admitted {
                room -= 1.0;
                returns.record_admitted(0, now);
            }
            if returned.arrival != Arrival::Due {
                continue;
            }
            returns.record_return(0, returned.age, is_admitted, now);
            if step >= seconds * 200 / 3 {
                came += 1;
                admitted += u32::from(is_admitted);
            }
        }
        if !random.random_bool(demand as f64 / 100.0) {
            continue;
        }
        if room - returns.reserved(now, 0) >= 1.0 {
            room -= 1.0;
            returns.record_admitted(0, now);
            continue;
        }
        let told = returns.schedule(&attempt(0, step, SECOND * 15), Duration::ZERO, random.random(), now);
        // Unscheduled callers return as well.
        coming.push((now + told.after, step));
    }
    assert!(came >= 20, "{came}");
    f64::from(admitted) / f64::from(came)
}

macro_rules! loads {
    ($($(#[$meta:meta])* $name:ident: $demand:expr, $capacity:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            for seed in 0..20 {
                let share = serve(&mut learned(&[10]), $demand, $capacity, 60, seed);
                assert!(share >= 0.9, "{share}, seed {seed}");
            }
        })*
    };
}

loads! {
    /// A schedule that tells more callers to return than there is room for refuses them twice.
    nine_in_ten_are_admitted_at_three_times_the_load: 30, |_| 10.0;
    nine_in_ten_are_admitted_at_six_times_the_load: 60, |_| 10.0;
    /// The spacing was learned for twice the room.
    nine_in_ten_are_admitted_again_after_the_rate_has_dropped_to_a_half: 30, |second| if second < 20 { 10.0 } else { 5.0 };
}

/// Without this, times told at the old rate would be refused for as long as the load lasts.
#[test]
fn the_spacing_follows_the_outcomes() {
    let told = |outcomes: &[bool]| {
        let mut returns = learned(&[10]);
        for admitted in outcomes {
            returns.record_return(0, Duration::ZERO, *admitted, NOW);
        }
        let late = (0..200).filter(|content| {
            returns.schedule(&attempt(0, *content, SECOND * 15), Duration::ZERO, 0.5, NOW).position.is_some()
        });
        late.count()
    };
    assert!(told(&[false; 4]) * 3 < told(&[]) * 2);
    assert!(told(&[true; 40]) > told(&[]));
    assert_eq!(told(&[false; 100]), told(&[false; 1000]), "the spacing is bounded");
}

/// Without a known rate, scheduled times would be invented.
#[test]
fn a_restarted_instance_schedules_nobody_until_it_admits() {
    let mut returns = Returns::new(ReturnSettings::default());
    let told = returns.schedule(&attempt(0, 1, SECOND * 15), Duration::ZERO, 0.5, NOW);
    assert_eq!(told.position, None);
    assert!(told.after > SECOND * 4);
    assert_eq!(returns.reserved(NOW + told.after, 0) as u32, 0);
    admit(&mut returns, 0, 5);
    assert!(returns.schedule(&attempt(0, 2, SECOND * 15), Duration::ZERO, 0.5, NOW).position.is_some());
}

/// A jump of time must neither reserve room for callers of before nor delay those of now.
#[test]
fn a_frozen_instance_drops_the_promises_that_lie_behind() {
    let (mut returns, later) = (learned(&[5]), NOW + SECOND * 30);
    for content in 0..20 {
        returns.schedule(&attempt(0, content, SECOND * 15), Duration::ZERO, 0.5, NOW);
    }
    assert_eq!(returns.reserved(later, 0) as u32, 0);
    for number in 0..20 {
        returns.record_admitted(0, later + millis(number * 100));
    }
    let told = returns.schedule(&attempt(0, 30, SECOND * 15), Duration::ZERO, 0.5, later + SECOND * 2);
    assert_eq!(told.position, Some(1));
    assert!(told.after < SECOND, "{told:?}");
}

/// Share of `count` requests, stated as given and each told to return if `told`, that are taken as returns.
fn taken_as_returns(stated: impl Fn(u64) -> Duration, told: impl Fn(u64) -> bool) -> f64 {
    let mut first = FirstDeadline::default();
    let mut taken = 0;
    for number in 0..600 {
        let now = millis(number * 100);
        let is_taken = first.recognise(stated(number), SHORTEST, now).is_some();
        taken += u32::from(is_taken && number >= 300);
        if told(number) {
            first.record_told(now);
        }
    }
    f64::from(taken) / 300.0
}

macro_rules! deadlines {
    ($($(#[$meta:meta])* $name:ident: $stated:expr, $told:expr => $range:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let share = taken_as_returns($stated, $told);
            assert!($range.contains(&share), "{share}");
        })*
    };
}

deadlines! {
    callers_that_return_are_known: |number| millis(if number % 3 == 2 { 4000 } else { 5000 }), |number| number % 3 == 0 => 0.3..0.34;
    /// They would be preferred to all others.
    callers_that_always_state_less_are_new: |number| millis(if number % 3 == 2 { 4000 } else { 5000 }), |_| false => 0.0..0.01;
    callers_that_state_less_are_new_while_few_return: |number| millis(if number % 2 == 1 { 4000 } else { 5000 }), |number| number % 20 == 0 => 0.0..0.02;
    /// The largest time tells nothing about a request then.
    widely_varied_deadlines_are_not_told_apart: |number| millis(3500 + number * 37 % 1500), |_| true => 0.0..0.02;
}
