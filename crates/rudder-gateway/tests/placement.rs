//! Placement of requests: evacuated halls, restrictions to regions, and slow start of endpoints.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Registration, peer::Load};
use rudder_gateway::{
    Plan, Policy, Route, RouteKind, Service,
    choose::{self, Candidates, Choice, Eligibility},
    dialect::{Prompt, PromptPart},
    placement::{Placement, residency_of},
    plan::{Engine, Limits, Organisation, Share, WarmUp},
    slow_start::{Allowance, SlowStartState},
};
use rudder_ledger::{Evacuation, Evacuations};
use rudder_model::{HallId, RegionId, id};

use support::{Known, endpoint, roster};

const SECOND: Duration = Duration::from_secs(1);
/// Slow start rate of a cold endpoint, in requests per second.
const RATE: f64 = 11.0;
const SPAN: Duration = Duration::from_secs(3);

/// Nine endpoints, three in each of the halls a, b and c.
fn endpoints() -> Vec<Registration> {
    let endpoint = |number| Registration { slots: 24, ..endpoint(number, ["a", "b", "c"][number % 3]) };
    (0..9).map(endpoint).collect()
}

fn to_route(regions: &[&str]) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Stream,
        timeout: SECOND * 5,
        target: SECOND,
        pause: Some(SECOND),
        tier: 0,
        shares: vec![Share { service: "svc".into(), weight: 1 }],
        attempts: 1,
        open: false,
        resumable: false,
        residency: to_residency(regions),
    }
}

fn to_residency(regions: &[&str]) -> Option<Arc<[RegionId]>> {
    (!regions.is_empty()).then(|| regions.iter().map(|region| RegionId::from(*region)).collect())
}

fn to_plan(engine: bool) -> Plan {
    let engine =
        engine.then_some(Engine { slots: 24, memory: 300_000, copies: true, event_tokens: 5, move_speed: 1_000.0 });
    let warm_up = Some(WarmUp { span: SPAN, rate: RATE });
    let service = Service { name: "svc".into(), connections: 100, engine, scaling: None, warm_up };
    let mut plan = Plan::new(1, Limits::default());
    plan.services.insert("svc".into(), service);
    plan
}

fn evacuated(hall: &str) -> Arc<Evacuations> {
    let mut evacuations = Evacuations::default();
    evacuations.apply(1, Evacuation { hall: hall.into(), begins: true, as_of: 0 });
    Arc::new(evacuations)
}

/// The halls a and b lie in the region north, c in south.
fn placement() -> Placement {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    Placement::new(regions.into_iter().map(|(hall, region)| (hall.into(), region.into())).collect())
}

struct Scene {
    endpoints: Vec<Registration>,
    known: Known,
}

impl Scene {
    fn new(engine: bool) -> Scene {
        let mut known = Known { placement: placement(), plan: to_plan(engine), ..Known::default() };
        known.slow_start.set_senders(vec!["me".into()], known.now);
        known.now = known.now + SECOND * 10;
        Scene { endpoints: endpoints(), known }
    }

    /// The choice for a request restricted to `regions`, with an answer long enough for a backup.
    fn choose(&self, regions: &[&str]) -> Option<Choice> {
        let prompt = Prompt {
            tokens: 5_000,
            max_answer: 1_000,
            answer_hint: None,
            parts: vec![PromptPart { id: 1, tokens: 2_000 }, PromptPart { id: 2, tokens: 2_000 }],
        };
        let prompt = self.known.plan.services["svc"].engine.map(|_| &prompt);
        let inputs = self.known.inputs();
        let candidates = Candidates::new(roster(&self.endpoints).of("svc"), "svc", &inputs);
        let residency = to_residency(regions);
        let eligible = Eligibility { residency: residency.as_deref(), ..Eligibility::default() };
        choose::choose(&inputs, &to_route(&[]), "svc", &candidates, prompt, eligible).ok()
    }

    fn hall_of(&self, choice: &Choice) -> HallId {
        let endpoint = self.endpoints.iter().find(|endpoint| endpoint.endpoint == choice.endpoint);
        endpoint.expect("a known endpoint").hall.clone()
    }

    /// How many of 200 choices fall on each hall.
    fn halls(&self, regions: &[&str]) -> BTreeMap<HallId, u32> {
        let mut counts = BTreeMap::new();
        for _ in 0..200 {
            let Some(choice) = self.choose(regions) else { continue };
            *counts.entry(self.hall_of(&choice)).or_default() += 1;
        }
        counts
    }
}

macro_rules! both_kinds {
    ($($(#[$meta:meta])* $name:ident: $test:expr;)*) => {
        $(mod $name {
            use super::*;
            $(#[$meta])* #[test] fn engines() { let test: fn(Scene) = $test; test(Scene::new(true)); }
            $(#[$meta])* #[test] fn plain_services() { let test: fn(Scene) = $test; test(Scene::new(false)); }
        })*
    };
}

both_kinds! {
    an_evacuated_hall_gets_no_requests: |mut scene| {
        scene.known.placement.set_evacuations(evacuated("a"));
        let halls = scene.halls(&[]);
        assert!(!halls.contains_key("a") && !halls.is_empty(), "{halls:?}");
    };
    /// Not even if no other hall has endpoints.
    evacuated_endpoints_are_no_fallback: |mut scene| {
        scene.endpoints.retain(|endpoint| *endpoint.hall == *"a");
        scene.known.placement.set_evacuations(evacuated("a"));
        assert_eq!(scene.choose(&[]), None);
    };
    requests_stay_in_their_regions: |scene| {
        let halls = scene.halls(&["south"]);
        assert_eq!(halls.keys().map(|hall| &**hall).collect::<Vec<_>>(), ["c"]);
    };
    a_request_without_endpoints_in_its_regions_is_not_sent: |mut scene| {
        scene.endpoints.retain(|endpoint| *endpoint.hall != *"c");
        assert_eq!(scene.choose(&["south"]), None);
    };
    a_hall_of_unknown_region_is_in_no_residency: |mut scene| {
        scene.known.placement = Placement::default();
        assert_eq!(scene.choose(&["south"]), None);
        assert!(scene.choose(&[]).is_some());
    };
    /// As the only sender, this instance gets the whole rate.
    a_cold_endpoint_gets_at_most_its_rate: |mut scene| {
        scene.endpoints.truncate(1);
        scene.endpoints[0].warming = true;
        let mut sent = 0;
        for _ in 0..50 {
            let Some(choice) = scene.choose(&[]) else { break };
            let allowance = scene.known.slow_start.allowance(&scene.endpoints[0], Some(WarmUp { span: SPAN, rate: RATE }), &scene.known.policy.slow_start, scene.known.now);
            assert!(scene.known.slow_start.try_take(&choice.endpoint, allowance, scene.known.now));
            sent += 1;
        }
        assert_eq!(sent, 11);
        scene.known.now = scene.known.now + SECOND * 2;
        assert!(scene.choose(&[]).is_some());
    };
    the_endpoints_of_a_returned_hall_are_cold: |mut scene| {
        scene.endpoints.truncate(1);
        scene.known.slow_start.record_hall_return(&"a".into(), scene.known.now);
        let warm_up = Some(WarmUp { span: SPAN, rate: RATE });
        let allowance_at = |scene: &Scene, at: Moment| scene.known.slow_start.allowance(&scene.endpoints[0], warm_up, &scene.known.policy.slow_start, at);
        assert!(matches!(allowance_at(&scene, scene.known.now + SPAN - SECOND / 10), Allowance::Limited(_)));
        assert_eq!(allowance_at(&scene, scene.known.now + SPAN), Allowance::Unlimited);
    };
}

/// Restrictions to regions also apply to copies of the KV cache.
#[test]
fn backups_and_fetches_stay_in_the_regions_of_the_request() {
    let scene = Scene::new(true);
    let addresses: Vec<&str> =
        scene.endpoints.iter().filter(|endpoint| *endpoint.hall == *"c").map(|endpoint| &*endpoint.address).collect();
    for _ in 0..200 {
        let choice = scene.choose(&["south"]).expect("a choice");
        for other in [choice.fetch_from.as_deref(), choice.backup.as_ref().map(|backup| &*backup.address)] {
            assert!(other.is_none_or(|other| addresses.contains(&other)), "{choice:?}");
        }
    }
}

/// A random sample of a large service rarely includes the few endpoints that warm up, which must be found if all others
/// are busy.
#[test]
fn idle_warming_endpoints_are_found_among_many() {
    let mut scene = Scene::new(true);
    scene.endpoints = (0..200)
        .map(|number| Registration {
            endpoint: format!("e-{number}").into(),
            warming: number < 4,
            ..endpoints().remove(number % 9)
        })
        .collect();
    let load = |endpoint: &Registration| Load {
        calls: 24,
        unread: 60_000,
        ..Load::none(id::endpoint_tag(&endpoint.endpoint))
    };
    let busy: Vec<Load> = scene.endpoints.iter().filter(|endpoint| !endpoint.warming).map(load).collect();
    scene.known.loads.set_others(&busy);
    for _ in 0..50 {
        let choice = scene.choose(&[]).expect("a choice");
        let chosen = scene.endpoints.iter().find(|endpoint| endpoint.endpoint == choice.endpoint);
        assert!(chosen.is_some_and(|endpoint| endpoint.warming), "{choice:?}");
    }
}

#[test]
fn a_new_instance_sends_nothing_to_cold_endpoints() {
    let now = Moment::now();
    let mut slow_start = SlowStartState::new("me".into(), now);
    slow_start.set_senders(vec!["me".into()], now);
    let cold = Registration { warming: true, ..endpoints().remove(0) };
    let warm_up = Some(WarmUp { span: SPAN, rate: RATE });
    let policy = Policy::default().slow_start;
    assert_eq!(slow_start.allowance(&cold, warm_up, &policy, now + SECOND), Allowance::Denied);
    assert!(matches!(slow_start.allowance(&cold, warm_up, &policy, now + SECOND * 2), Allowance::Limited(_)));
    assert_eq!(slow_start.allowance(&cold, None, &policy, now), Allowance::Unlimited, "its service has no slow start");
}

/// A return is a change of the known evacuations. Without an earlier state, it is reported at the first update.
#[test]
fn the_return_of_a_hall_is_reported_once() {
    let mut placement = placement();
    assert!(placement.set_evacuations(evacuated("a")).is_empty());
    let mut ended = Evacuations::clone(&evacuated("a"));
    ended.apply(2, Evacuation { hall: "a".into(), begins: false, as_of: 1 });
    let ended = Arc::new(ended);
    assert_eq!(placement.set_evacuations(ended.clone()), [HallId::from("a")]);
    assert!(placement.set_evacuations(ended.clone()).is_empty());
    assert_eq!(Placement::default().set_evacuations(ended), [HallId::from("a")]);
}

macro_rules! residencies {
    ($($name:ident: $route:expr, $organisation:expr => $expected:expr;)*) => {
        $(#[test] fn $name() {
            let organisation = Organisation { name: "o".into(), tier: None, residency: to_residency(&$organisation) };
            let residency = residency_of(&to_route(&$route), Some(&organisation));
            let names = residency.as_ref().map(|regions| regions.iter().map(|region| &**region).collect::<Vec<&str>>());
            let expected: Option<Vec<&str>> = $expected;
            assert_eq!(names, expected);
        })*
    };
}

residencies! {
    without_regions_a_request_is_unrestricted: [], [] => None;
    the_regions_of_a_route_apply: ["north"], [] => Some(vec!["north"]);
    the_regions_of_an_organisation_apply: [], ["north"] => Some(vec!["north"]);
    the_regions_of_route_and_organisation_are_intersected: ["north", "south"], ["south", "east"] => Some(vec!["south"]);
    disjoint_regions_leave_none: ["north"], ["south"] => Some(Vec::new());
}
