//! Choice among the endpoints of a plain service, depending on the age of the load reports.

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
/// Requests that ended at each endpoint in the last five seconds: 350 per second at six endpoints.
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
    plan.add_route(route).expect("a valid route");
    plan
}

fn endpoints(count: usize) -> Vec<Registration> {
    let endpoint = |number| Registration { slots: SLOTS, ..endpoint(number, &format!("hall-{number}")) };
    (0..count).map(endpoint).collect()
}

/// How often each endpoint is chosen by 600 instances, spread over the halls, given the requests in flight at each.
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
            choose::choose(&inputs, route, "svc", &candidates, None, Eligibility::default()).expect("a choice");
        *counts.entry(choice.endpoint.to_string()).or_default() += 1;
    }
    counts
}

/// All instances see the same outdated counts, and must not overload the endpoint with the lowest one.
#[test]
fn outdated_counts_do_not_send_all_requests_to_the_same_endpoint() {
    let counts = choices(&[3, 2, 0, 1, 3, 2], Duration::from_millis(400));
    assert_eq!(counts.len(), 6);
    assert!(counts.values().all(|count| *count < 200), "{counts:?}");
}

#[test]
fn current_counts_decide() {
    let counts = choices(&[3, 2, 0, 1, 3, 2], Duration::ZERO);
    assert_eq!(counts.get("e-2"), Some(&600));
}

#[test]
fn a_full_endpoint_does_not_tie_with_an_idle_one() {
    let counts = choices(&[3, 6, 0, 1, 3, 2], Duration::from_secs(1));
    assert_eq!(counts.get("e-1"), None, "{counts:?}");
}

/// Only a sample of hundreds is compared. Tried endpoints are excluded, and the last untried one is found.
#[test]
fn an_untried_endpoint_is_found_among_hundreds() {
    let endpoints = endpoints(300);
    let known = Known { hall: "hall-7".into(), plan: plan(), ..Known::default() };
    let (inputs, route) = (known.inputs(), known.plan.find("h", "/lock/").expect("a route"));
    let candidates = Candidates::new(roster(&endpoints).of("svc"), "svc", &inputs);
    let choose = |tried: &[EndpointId]| {
        let eligible = Eligibility { tried, ..Eligibility::default() };
        choose::choose(&inputs, route, "svc", &candidates, None, eligible)
    };
    assert_eq!(&*choose(&[]).expect("a choice").endpoint, "e-7", "the endpoint in the instance's own hall");
    assert_ne!(&*choose(&["e-7".into()]).expect("a choice").endpoint, "e-7");
    let all_but_one: Vec<EndpointId> =
        endpoints.iter().map(|endpoint| endpoint.endpoint.clone()).filter(|endpoint| **endpoint != *"e-123").collect();
    assert_eq!(&*choose(&all_but_one).expect("a choice").endpoint, "e-123");
}
