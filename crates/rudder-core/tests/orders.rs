//! Fenced orders to load models: their fences, rate and expiry.

mod single;

use rudder_model::{Endpoint, Object};
use single::{LOAD_INTERVAL, SingleInstance, engine};

/// A leader whose `endpoints` have something to load; the flag is true for those that check fences.
fn start(endpoints: &[(&str, bool)]) -> SingleInstance {
    let mut alone = SingleInstance::new();
    for (name, checks) in endpoints {
        let endpoint = Endpoint { load: "m:v2".to_owned(), checks: *checks, ..engine() };
        alone.put(name, Object::Endpoint(endpoint));
    }
    alone
}

#[test]
fn orders_share_one_rate_and_fences_increase() {
    let mut alone = start(&[("e1", true), ("e2", true), ("e3", true)]);
    alone.run(12_000);
    assert!(alone.orders.len() >= 3, "{:?}", alone.orders);
    for pair in alone.orders.windows(2) {
        assert!(pair[1].at >= pair[0].at + LOAD_INTERVAL, "two orders within the interval: {pair:?}");
        assert!(pair[1].fence > pair[0].fence, "a fence that doesn't increase: {pair:?}");
    }
}

#[test]
fn an_order_expires_with_the_lease() {
    let mut alone = start(&[("e1", true)]);
    alone.run(3000);
    let order = alone.orders.first().expect("an order");
    assert!(order.until > order.at && order.until <= order.at + alone.state.options.order_timeout);
}

#[test]
fn a_new_leader_waits_for_orders_of_its_predecessor_if_fences_are_not_checked() {
    let mut alone = start(&[("unchecked", false)]);
    alone.run(10_000);
    let options = &alone.state.options;
    let wait = options.replica.lease + options.order_timeout;
    let order = alone.orders.first().expect("an order");
    assert!(
        order.at >= alone.leader_since + wait,
        "ordered {:?} after it began to lead",
        order.at.saturating_sub(alone.leader_since)
    );
}

#[test]
fn an_endpoint_with_the_right_load_gets_no_order() {
    let mut alone = start(&[("e1", true)]);
    alone.run(3000);
    assert_eq!(alone.orders.len(), 1);
    alone.loaded = "m:v2";
    alone.run(20_000);
    assert_eq!(alone.orders.len(), 1, "ordered again though it was loaded");
}
