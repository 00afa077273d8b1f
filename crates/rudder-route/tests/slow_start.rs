//! Slow start: the total rate of all instances to an endpoint that warms up, also while their lists of each other
//! differ.

use std::{collections::BTreeSet, time::Duration};

use rudder_route::slow_start::{SendHistory, Share, SlowStart};

const SECOND: Duration = Duration::from_secs(1);

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("10.0.0.{number}:7000")).collect()
}

/// The shares of the instances that send to `endpoint`. Each instance sees the others as listed by `views`.
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
                assert!(!shares.is_empty(), "each endpoint has a sender");
                assert!(per_second(&shares) <= $rate, "{shares:?}");
                assert!(per_second(&shares) >= $rate / 2.0, "at least half of the rate is used: {shares:?}");
            }
        })*
    };
}

rates! {
    shares_of_nine_instances_add_up_to_the_rate: 9, 11.0;
    shares_of_eighty_instances_add_up_to_the_rate: 81, 11.0;
    shares_of_a_thousand_instances_add_up_to_the_rate: 1000, 11.0;
    a_single_instance_has_the_whole_rate: 1, 11.0;
    a_low_rate_has_few_senders: 81, 2.0;
    a_rate_below_one_a_second_has_a_longer_window: 81, 0.25;
    a_high_rate_is_used: 81, 300.0;
}

/// Each side of a partition chooses its own senders.
#[test]
fn a_partition_at_most_doubles_the_rate() {
    let names = names(81);
    let (one, other) = names.split_at(40);
    let view = |me: &str| if one.iter().any(|name| name == me) { one } else { other };
    for number in 0..200 {
        let shares = shares(11.0, &format!("e-{number}"), &names, view);
        assert!(per_second(&shares) <= 22.0, "{shares:?}");
    }
}

/// Instances that know no others exceed the limit by far, so callers must wait for a complete list before they send.
#[test]
fn incomplete_instance_lists_exceed_the_rate() {
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
fn no_window_exceeds_the_share() {
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
    for (index, first) in times.iter().enumerate() {
        let within = times[index..].iter().filter(|later| **later < *first + SECOND).count();
        assert!(within <= 2, "{times:?}");
    }
}
