//! Fenced orders: one leader's take effect, at one shared rate.

mod single;

use rudder_model::{Endpoint, Object};
use single::{LOAD_INTERVAL, SingleInstance, engine};

/// A leader whose `endpoints` want something loaded; true for those that check fences.
fn wanting(endpoints: &[(&str, bool)]) -> SingleInstance {
    let mut alone = SingleInstance::new();
    for (name, checks) in endpoints {
        let endpoint = Endpoint { load: "m:v2".to_owned(), checks: *checks, ..engine() };
        alone.put(name, Object::Endpoint(endpoint));
    }
    alone
}

#[test]
fn loads_share_one_rate_and_fences_rise() {
    let mut alone = wanting(&[("e1", true), ("e2", true), ("e3", true)]);
    alone.run(12_000);
    assert!(alone.orders.len() >= 3, "{:?}", alone.orders);
    for pair in alone.orders.windows(2) {
        assert!(pair[1].at >= pair[0].at + LOAD_INTERVAL, "two loads within the interval: {pair:?}");
        assert!(pair[1].fence > pair[0].fence, "a fence that does not rise: {pair:?}");
    }
}

#[test]
fn an_order_is_not_to_be_sent_after_the_lease() {
    let mut alone = wanting(&[("e1", true)]);
    alone.run(3000);
    let order = alone.orders.first().expect("an order");
    assert!(order.until > order.at && order.until <= order.at + alone.state.options.order_timeout);
}

#[test]
fn a_new_leader_waits_out_the_one_before_where_fences_are_not_checked() {
    let mut alone = wanting(&[("unchecked", false)]);
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
fn an_endpoint_that_has_what_it_should_gets_no_order() {
    let mut alone = wanting(&[("e1", true)]);
    alone.run(3000);
    assert_eq!(alone.orders.len(), 1);
    alone.loaded = "m:v2";
    alone.run(20_000);
    assert_eq!(alone.orders.len(), 1, "ordered again though it was loaded");
}
