//! Rates of prompt tokens by priority.

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_gateway::{arrivals::Arrivals, lanes::LaneKind};

/// A burst must count within the time in which it would fill the engines, and not for long after its end.
#[test]
fn the_rate_of_urgent_prompts_follows_a_burst() {
    let (mut arrivals, start) = (Arrivals::default(), Moment::now());
    let service: Arc<str> = "svc".into();
    let at = |millis: u64| start + Duration::from_millis(millis);
    for tenth in 0..10 {
        arrivals.record(&service, LaneKind::Bulk, 0, 1_000, at(tenth * 100));
        arrivals.record(&service, LaneKind::Bulk, 2, 50_000, at(tenth * 100));
    }
    let rate = |level: usize, millis: u64| arrivals.rate_above("svc", LaneKind::Bulk, level, at(millis));
    assert!((8_000.0..12_000.0).contains(&rate(1, 950)), "{}", rate(1, 950));
    assert!((rate(2, 950) - rate(1, 950)).abs() < 1.0, "its own priority and lower ones do not count");
    assert!(rate(0, 950).abs() < 1.0, "nothing is above the highest priority");
    assert!(rate(1, 2_900) < 300.0, "{}", rate(1, 2_900));
    assert!(arrivals.rate_above("another", LaneKind::Bulk, 1, at(950)).abs() < 1.0);
}

/// State of services that are gone would grow with the changes of the configuration.
#[test]
fn a_service_that_is_no_longer_configured_is_forgotten() {
    let (mut arrivals, now) = (Arrivals::default(), Moment::now());
    let (kept, gone): (Arc<str>, Arc<str>) = ("kept".into(), "gone".into());
    for service in [&kept, &gone] {
        arrivals.record(service, LaneKind::Bulk, 0, 1_000, now);
    }
    arrivals.retain(|service| service == "kept");
    assert!(arrivals.rate_above("kept", LaneKind::Bulk, 1, now) > 1_000.0);
    assert!(arrivals.rate_above("gone", LaneKind::Bulk, 1, now) < 1.0);
}

/// Requests were refused for urgent prompts that other engines process.
#[test]
fn prompts_sent_to_the_other_lane_do_not_overtake() {
    let (mut arrivals, now) = (Arrivals::default(), Moment::now());
    let service: Arc<str> = "svc".into();
    arrivals.record(&service, LaneKind::Quick, 0, 50_000, now);
    arrivals.record(&service, LaneKind::Bulk, 0, 1_000, now);
    let rate = |lane: LaneKind| arrivals.rate_above("svc", lane, 1, now);
    assert!((rate(LaneKind::Bulk) - 2_000.0).abs() < 1.0, "{}", rate(LaneKind::Bulk));
    assert!((rate(LaneKind::Quick) - 100_000.0).abs() < 1.0, "{}", rate(LaneKind::Quick));
}
