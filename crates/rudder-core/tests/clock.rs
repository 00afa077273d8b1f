//! The agreed time of day: correct while most clocks are, and learned with an error of at most half the round trip.

use std::time::Duration;

use rudder_core::{
    clock::Clock,
    usage::{window_end, window_of},
};

const TRUE: Duration = Duration::from_secs(1_000_000);
const STEP: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a leader's clock after readings of `right` correct clocks and of `wrong` clocks that are 2 s ahead.
fn leader(own: Duration, right: usize, wrong: usize) -> Clock {
    let mut clock = Clock::new(own);
    let now = ms(100);
    for number in 0..right + wrong {
        let step = if number < right { Duration::ZERO } else { STEP };
        clock.record_reading(now, &format!("i-{number}").as_str().into(), TRUE + now + step);
    }
    clock.tick(now, true);
    clock
}

macro_rules! agrees {
    ($($name:ident: $own:expr, $right:literal right, $wrong:literal wrong;)*) => {
        $(
            #[test]
            fn $name() {
                let clock = leader($own, $right, $wrong);
                assert_eq!(clock.agreed(ms(5000)), Some(TRUE + ms(5000)));
            }
        )*
    };
}

agrees! {
    its_own_clock_alone: TRUE, 0 right, 0 wrong;
    some_clocks_are_wrong: TRUE, 5 right, 4 wrong;
    its_own_clock_is_wrong: TRUE + STEP, 5 right, 3 wrong;
}

#[test]
fn a_step_of_the_leaders_own_clock_moves_nothing() {
    let mut clock = leader(TRUE, 4, 0);
    clock.set_local(ms(200), TRUE.saturating_sub(STEP));
    clock.tick(ms(1500), true);
    assert_eq!(clock.agreed(ms(1500)), Some(TRUE + ms(1500)));
}

#[test]
fn a_new_leader_keeps_the_time_it_learned_until_it_has_readings() {
    let mut clock = Clock::new(TRUE + STEP);
    clock.learn(ms(10), ms(8), TRUE + ms(9));
    clock.tick(ms(1000), true);
    assert_eq!(clock.agreed(ms(1000)), Some(TRUE + ms(1000)));
    for name in ["a", "b", "c"] {
        clock.record_reading(ms(1900), &name.into(), TRUE + ms(1900));
    }
    clock.tick(ms(2100), true);
    assert_eq!(clock.agreed(ms(2100)), Some(TRUE + ms(2100)));
}

#[test]
fn a_slow_answer_does_not_spoil_a_good_one() {
    let mut clock = Clock::new(TRUE + STEP);
    clock.learn(ms(12), ms(10), TRUE + ms(11));
    assert_eq!(clock.agreed(ms(12)), Some(TRUE + ms(12)));
    // Answered at once, but the reply took 400 ms.
    clock.learn(ms(1400), ms(1000), TRUE + ms(1000));
    assert_eq!(clock.agreed(ms(1400)), Some(TRUE + ms(1400)));
}

#[test]
fn a_leader_that_corrects_itself_is_followed() {
    let mut clock = Clock::new(TRUE);
    clock.learn(ms(12), ms(10), TRUE + STEP + ms(11));
    clock.learn(ms(1003), ms(1000), TRUE + ms(1001));
    let time = clock.agreed(ms(1003)).expect("a known time");
    assert!(time.abs_diff(TRUE + ms(1003)) <= ms(2), "{time:?}");
}

#[test]
fn a_relay_sends_the_median_of_its_watchers() {
    let mut clock = Clock::new(TRUE + STEP);
    for name in ["a", "b"] {
        clock.record_reading(ms(50), &name.into(), TRUE + ms(50));
    }
    assert_eq!(clock.reading(ms(60)), TRUE + ms(60));
}

/// Guards against a jump of most clocks that is reverted soon after.
#[test]
fn a_jump_of_the_own_clock_is_not_followed_until_it_has_lasted() {
    let mut clock = Clock::new(TRUE);
    clock.set_local(ms(1_000), TRUE + STEP);
    assert_eq!(clock.reading(ms(2_000)), TRUE + ms(2_000));
    clock.set_local(ms(9_000), TRUE + STEP + ms(5));
    clock.tick(ms(601_000), false);
    assert_eq!(clock.reading(ms(602_000)), TRUE + STEP + ms(5) + ms(602_000));
}

#[test]
fn a_jump_that_comes_back_is_forgotten() {
    let mut clock = Clock::new(TRUE);
    clock.set_local(ms(1_000), TRUE + STEP);
    clock.set_local(ms(6_000), TRUE + ms(3));
    clock.tick(ms(700_000), false);
    assert_eq!(clock.reading(ms(700_000)), TRUE + ms(3) + ms(700_000));
}

#[test]
fn a_window_holds_the_time_up_to_its_end() {
    for length in [ms(100), Duration::from_secs(5)] {
        let now = Duration::from_secs(1_787_162_896);
        let end = window_end(window_of(now, length), length);
        assert!(now < end && end <= now + length, "{end:?}");
        assert_eq!(window_of(end, length), window_of(now, length) + 1);
    }
}
