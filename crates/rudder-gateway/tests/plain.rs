//! The choice among endpoints of a plain service, by counts that are more or less old.

mod support;

use std::{collections::BTreeMap, time::Duration};

use rudder_core::{Registration, peer::Load};
use rudder_gateway::{
    Plan, Route, RouteKind, Service,
    choose::{self, Candidates, Eligibility},
    plan::{Limits, Share},
};
use rudder_model::{EndpointId, id};

use support::{Known, endpoint, roster};

const SLOTS: u32 = 6;
/// Requests that ended in the last five seconds, at each endpoint: 350 a second at six of them.
const ENDED: u32 = 290;

fn plan() -> Plan {
    let mut plan = Plan::new(1, Limits::default());
    plan.services.insert(
        "svc".into(),
        Service { name: "svc".into(), connections: 100, engine: None, scaling: None, warm_up: None },
    );
    let route = Route {
        name: "lock".into(),
        host: "h".into(),
        prefix: "/lock/".into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(150),
        pause: None,
        tier: 0,
        shares: vec![Share { service: "svc".into(), weight: 1 }],
        attempts: 1,
        open: false,
        resumable: false,
        residency: None,
    };
    plan.add_route(route).expect("it fits");
    plan
}

fn endpoints(count: usize) -> Vec<Registration> {
    let endpoint = |number| Registration { slots: SLOTS, ..endpoint(number, &format!("hall-{number}")) };
    (0..count).map(endpoint).collect()
}

/// How many of 600 instances in as many halls choose each endpoint, with `calls` known at each.
fn choices(calls: &[u32], age: Duration) -> BTreeMap<String, usize> {
    let roster = roster(&endpoints(calls.len()));
    let load = |(number, calls): (usize, &u32)| {
        let tag = id::endpoint_tag(&format!("e-{number}"));
        Load { calls: *calls, ended: ENDED, ..Load::none(tag) }
    };
    let loads: Vec<Load> = calls.iter().enumerate().map(load).collect();
    let mut known = Known { work_age: age, plan: plan(), ..Known::default() };
    known.loads.set_others(&loads);
    let mut counts = BTreeMap::new();
    for number in 0..600 {
        known.hall = format!("hall-{}", number % calls.len()).as_str().into();
        let (inputs, route) = (known.inputs(), known.plan.find("h", "/lock/").expect("a route"));
        let candidates = Candidates::new(roster.of("svc"), "svc", &inputs);
        let choice =
            choose::choose(&inputs, route, "svc", &candidates, None, Eligibility::default()).expect("one is there");
        *counts.entry(choice.endpoint.to_string()).or_default() += 1;
    }
    counts
}

/// All instances saw the same counts, half a second old, and sent all that came in that time to the one that looked best:
/// it rejected them, as it had six slots.
#[test]
fn old_counts_do_not_send_all_to_the_same_endpoint() {
    let counts = choices(&[3, 2, 0, 1, 3, 2], Duration::from_millis(400));
    assert_eq!(counts.len(), 6);
    assert!(counts.values().all(|count| *count < 200), "{counts:?}");
}

#[test]
fn new_counts_decide() {
    let counts = choices(&[3, 2, 0, 1, 3, 2], Duration::ZERO);
    assert_eq!(counts.get("e-2"), Some(&600));
}

#[test]
fn an_endpoint_that_is_nearly_full_is_not_taken_for_an_idle_one() {
    let counts = choices(&[3, 6, 0, 1, 3, 2], Duration::from_secs(1));
    assert_eq!(counts.get("e-1"), None, "{counts:?}");
}

/// Among hundreds a few are drawn; one that was tried is not chosen again, and the last one left is found.
#[test]
fn one_of_hundreds_is_found_that_was_not_tried() {
    let endpoints = endpoints(300);
    let known = Known { hall: "hall-7".into(), plan: plan(), ..Known::default() };
    let (inputs, route) = (known.inputs(), known.plan.find("h", "/lock/").expect("a route"));
    let candidates = Candidates::new(roster(&endpoints).of("svc"), "svc", &inputs);
    let choose = |tried: &[EndpointId]| {
        let eligible = Eligibility { tried, ..Eligibility::default() };
        choose::choose(&inputs, route, "svc", &candidates, None, eligible)
    };
    assert_eq!(&*choose(&[]).expect("one is there").endpoint, "e-7", "the one in the instance's own hall");
    assert_ne!(&*choose(&["e-7".into()]).expect("others are there").endpoint, "e-7");
    let all_but_one: Vec<EndpointId> =
        endpoints.iter().map(|held| held.endpoint.clone()).filter(|endpoint| **endpoint != *"e-123").collect();
    assert_eq!(&*choose(&all_but_one).expect("one is left").endpoint, "e-123");
}
