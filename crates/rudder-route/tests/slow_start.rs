//! Slow start: what all instances together send to an endpoint while it warms up, whatever each holds of the others.

use std::{collections::BTreeSet, time::Duration};

use rudder_route::slow_start::{SendHistory, Share, SlowStart};

const SECOND: Duration = Duration::from_secs(1);

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("10.0.0.{number}:7000")).collect()
}

/// The shares of those of `names` who send to `endpoint`, each of whom holds what `views` says of the others.
fn shares<'a>(rate: f64, endpoint: &str, names: &'a [String], views: impl Fn(&str) -> &'a [String]) -> Vec<Share> {
    let policy = SlowStart::default();
    let share = |me: &String| policy.share(endpoint, rate, me, views(me).iter().map(String::as_str));
    names.iter().filter_map(share).collect()
}

fn per_second(shares: &[Share]) -> f64 {
    shares.iter().map(|share| share.count as f64 / share.window.as_secs_f64()).sum()
}

macro_rules! rates {
    ($($name:ident: $instances:expr, $rate:expr;)*) => {
        $(#[test] fn $name() {
            let names = names($instances);
            for number in 0..200 {
                let shares = shares($rate, &format!("e-{number}"), &names, |_| &names);
                assert!(!shares.is_empty(), "somebody sends to each");
                assert!(per_second(&shares) <= $rate, "{shares:?}");
                assert!(per_second(&shares) >= $rate / 2.0, "little of it is left unused: {shares:?}");
            }
        })*
    };
}

rates! {
    the_shares_of_nine_add_up_to_the_rate: 9, 11.0;
    the_shares_of_eighty_add_up_to_the_rate: 81, 11.0;
    the_shares_of_a_thousand_add_up_to_the_rate: 1000, 11.0;
    one_instance_alone_has_all_of_it: 1, 11.0;
    few_requests_a_second_have_few_senders: 81, 2.0;
    less_than_one_a_second_is_spread_over_time: 81, 0.25;
    a_high_rate_is_used: 81, 300.0;
}

/// Half of the instances were lost to the others, and both halves name senders of their own.
#[test]
fn halves_that_do_not_see_each_other_send_twice_the_rate_at_most() {
    let names = names(81);
    let (one, other) = names.split_at(40);
    let view = |me: &str| if one.iter().any(|name| name == me) { one } else { other };
    for number in 0..200 {
        let shares = shares(11.0, &format!("e-{number}"), &names, view);
        assert!(per_second(&shares) <= 22.0, "{shares:?}");
    }
}

/// All start at once and know a part of the others at first: that would add up to far more, so that an instance has to know
/// the others for a while before it sends.
#[test]
fn lists_that_are_still_short_would_overrun_it() {
    let names = names(81);
    let shares: f64 = names
        .iter()
        .map(|me| {
            let known = std::slice::from_ref(me);
            let share = SlowStart::default().share("e", 11.0, me, known.iter().map(String::as_str));
            share.map_or(0.0, |share| share.count as f64)
        })
        .sum();
    assert!(shares > 100.0, "{shares}");
}

/// The work of sending is spread: it is not the same few for all endpoints.
#[test]
fn senders_differ_by_endpoint() {
    let names = names(81);
    let policy = SlowStart::default();
    let sends =
        |me: &&String, endpoint: &str| policy.share(endpoint, 11.0, me, names.iter().map(String::as_str)).is_some();
    let senders: BTreeSet<&String> =
        (0..90).flat_map(|number| names.iter().filter(move |me| sends(me, &format!("e-{number}")))).collect();
    assert!(senders.len() > 70, "{}", senders.len());
}

#[test]
fn no_more_is_sent_within_the_window() {
    let share = Share { count: 2, window: SECOND };
    let mut sent = SendHistory::default();
    let mut times = Vec::new();
    for millis in (0..5_000).step_by(10) {
        let now = Duration::from_millis(millis);
        if sent.has_room(now, share) {
            sent.note(now, share);
            times.push(now);
        }
    }
    assert_eq!(times.len(), 10);
    for (at, first) in times.iter().enumerate() {
        let within = times[at..].iter().filter(|later| **later < *first + SECOND).count();
        assert!(within <= 2, "{times:?}");
    }
}
