//! Retry budget, health, configuration, lanes, choice among engines, and events of a stream.

mod support;

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Phase, Registration, peer::Load};
use rudder_gateway::{
    Plan, Route, Service,
    budget::Budget,
    choose::{self, Candidates, Choice, Eligibility},
    dialect::{Prompt, PromptPart},
    health::{Health, Outcome},
    lanes::{self, LaneKind},
    loads::{Demand, EndpointLoads, InFlight},
    plan::{Engine, Fault, Limits, Organisation},
    policy::{GuardPolicy, LanePolicy},
    prefill::PrefillSpeeds,
    recent::{RecentOutcomes, Tally, suspects},
    stream::Events,
};
use rudder_model::{EndpointId, id};
use rudder_route::{admission::Caller, queue_wait::WaitBounds};

use support::{Known, endpoint, roster, stream_route};

fn route(name: &str, pause: u64, tier: u8) -> Route {
    Route { timeout: Duration::from_secs(5), ..stream_route(name, pause, pause, tier) }
}

fn plan() -> Plan {
    let mut plan = Plan::new(1, Limits::default());
    let engine = Some(Engine { slots: 64, memory: 300_000, copies: true, event_tokens: 6, move_speed: 4000.0 });
    plan.services
        .insert("svc".into(), Service { name: "svc".into(), connections: 100, engine, scaling: None, warm_up: None });
    for route in [route("recap", 1000, 2), route("answer", 400, 1), route("grade", 250, 0)] {
        plan.add_route(route).expect("a valid route");
    }
    plan
}

fn engines(count: usize) -> Vec<Registration> {
    (0..count).map(|number| endpoint(number, "a")).collect()
}

fn prompt(session: u64) -> Prompt {
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = vec![part(1, 2500), part(session, 3800), part(session * 1000, 2900)];
    Prompt { tokens: 9200, max_answer: 200, answer_hint: None, parts }
}

fn load(endpoint: &str, calls: u32, unread: u32) -> Load {
    Load { calls, unread, ..Load::none(id::endpoint_tag(endpoint)) }
}

/// A budget of ten seconds' window, and how many of a hundred retries it grants at some second after its start.
struct Retries {
    budget: Budget,
    started: Moment,
}

impl Retries {
    fn new(instances: usize, restarted: bool) -> Retries {
        let started = Moment::now();
        let mut budget = Budget::new(Duration::from_secs(10), 0.2, 50, started, restarted);
        budget.record_instances(instances, started);
        Retries { budget, started }
    }

    fn at(&self, second: u64) -> Moment {
        self.started + Duration::from_secs(second)
    }

    fn granted_at(&mut self, second: u64) -> usize {
        let at = self.at(second);
        (0..100).filter(|_| self.budget.try_take(&"svc".into(), at).granted).count()
    }
}

#[test]
fn retries_are_limited_to_a_ratio_of_the_requests_and_a_share_of_the_extra() {
    let mut retries = Retries::new(10, true);
    for _ in 0..100 {
        retries.budget.note_request(&"svc".into(), retries.at(11));
    }
    // (100 x 0.2 + 50 / 10) x 0.7
    assert_eq!(retries.granted_at(11), 17);
    assert_eq!(retries.granted_at(22), 3);
}

/// All instances that restart within a window would otherwise grant the fixed allowance once more.
#[test]
fn a_restart_does_not_renew_the_share_of_the_allowance() {
    let mut retries = Retries::new(10, true);
    assert_eq!(retries.granted_at(9), 0, "its former process may have used it");
    assert_eq!(retries.granted_at(11), 3);
    assert_eq!(Retries::new(10, false).granted_at(1), 3, "a system that starts for the first time has none");
}

/// Both sides of a partition would otherwise share the whole allowance among themselves.
#[test]
fn the_share_does_not_grow_at_once_when_instances_vanish() {
    let mut retries = Retries::new(10, true);
    retries.budget.record_instances(5, retries.at(3600));
    assert_eq!(retries.granted_at(3601), 3);
    assert_eq!(retries.granted_at(4100), 3);
    assert_eq!(retries.granted_at(4300), 7, "by then they have ended");
    retries.budget.record_instances(20, retries.at(4400));
    assert_eq!(retries.granted_at(4401), 1);
}

#[test]
fn a_failing_endpoint_is_ejected_for_longer_each_time_and_returns() {
    let (mut health, now) = (Health::default(), Moment::now());
    let endpoint = "e-1".into();
    assert_eq!(health.note(&endpoint, Outcome::Failed, now), None);
    let first = health.note(&endpoint, Outcome::Failed, now).expect("an ejection after two failures");
    assert!(health.is_ejected("e-1", now));
    let after = now + first;
    assert!(!health.is_ejected("e-1", after));
    let second = health.note(&endpoint, Outcome::Failed, after).expect("an ejection after one more failure");
    assert!(second > first);
    health.note(&endpoint, Outcome::Good, after + second);
    assert!(!health.is_ejected("e-1", after + second));
}

#[test]
fn an_unreachable_endpoint_is_ejected_at_once() {
    let (mut health, now) = (Health::default(), Moment::now());
    assert!(health.note(&"e-1".into(), Outcome::Unreachable, now).is_some());
    assert!(health.note(&"e-2".into(), Outcome::Replaced, now).is_some());
}

macro_rules! suspected {
    ($($(#[$meta:meta])* $name:ident: $tallies:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let tally = |(number, (ended, failed)): (usize, (u32, u32))| {
                (Arc::<str>::from(number.to_string()), Tally { ended, failed })
            };
            let tallies: Vec<_> = $tallies.into_iter().enumerate().map(tally).collect();
            let mut found: Vec<String> = suspects(&tallies).iter().map(ToString::to_string).collect();
            found.sort();
            let expected: &[&str] = &$expected;
            assert_eq!(found, expected);
        })*
    };
}

suspected! {
    an_endpoint_that_fails_more_often_than_others_is_suspect: [(10, 4), (10, 0), (12, 1), (9, 0)] => ["0"];
    few_failures_are_not_suspect: [(4, 2), (10, 0), (12, 0)] => [];
    none_is_suspect_if_most_fail: [(10, 4), (10, 5), (12, 5), (10, 0)] => [];
    none_is_suspect_if_all_fail_alike: [(40, 10), (40, 9), (40, 9), (40, 9)] => [];
    /// Without this limit, the remaining endpoints would be overloaded.
    at_most_two_in_five_are_suspect: [(9, 9), (9, 8), (9, 7), (9, 0), (9, 0), (9, 0)] => ["0", "1"];
    unused_endpoints_do_not_count: [(10, 9), (0, 0), (0, 0), (10, 0)] => ["0"];
}

#[test]
fn outcomes_count_for_five_seconds() {
    let mut recent = RecentOutcomes::default();
    let (endpoint, now): (Arc<str>, _) = ("e-1".into(), Moment::now());
    recent.note(&endpoint, true, now);
    recent.note(&endpoint, false, now + Duration::from_secs(2));
    assert_eq!(recent.at("e-1", now + Duration::from_secs(2)), Tally { ended: 2, failed: 1 });
    assert_eq!(recent.at("e-1", now + Duration::from_secs(6)), Tally { ended: 1, failed: 0 });
    recent.age(now + Duration::from_secs(9));
    assert_eq!(recent.endpoints().count(), 0);
}

/// What other instances have sent since their reports must be counted, or all would send to the same engines.
#[test]
fn unreported_requests_follow_from_the_rate_of_ends() {
    let mut endpoint_loads = EndpointLoads::default();
    endpoint_loads.set_others(&[Load { ended: 50, ..Load::none(id::endpoint_tag("e-1")) }]);
    let unreported = |endpoint: &str| endpoint_loads.unreported(endpoint, Duration::from_millis(200));
    assert!((unreported("e-1") - 2.0).abs() < 1e-9, "ends are those of five seconds");
    assert_eq!(unreported("e-2").to_bits(), 0.0_f64.to_bits());
}

/// A single instance sends too few requests to an endpoint to detect its failure soon.
#[test]
fn reported_outcomes_count_like_own_ones() {
    let (mut endpoint_loads, now) = (EndpointLoads::default(), Moment::now());
    endpoint_loads.note_end(&"e-1".into(), true, now);
    assert_eq!(
        endpoint_loads.to_loads(now, |_| None),
        vec![Load { ended: 1, failed: 1, ..Load::none(id::endpoint_tag("e-1")) }]
    );
    endpoint_loads.set_others(&[Load { ended: 5, failed: 2, ..Load::none(id::endpoint_tag("e-1")) }]);
    assert_eq!(endpoint_loads.tally("e-1", now), Tally { ended: 6, failed: 3 });
}

#[test]
fn the_longest_matching_prefix_is_found() {
    let mut plan = plan();
    let mut deeper = route("recap", 1000, 2);
    (deeper.name, deeper.prefix) = ("deeper".into(), "/recap/deep/".into());
    plan.add_route(deeper).expect("a valid route");
    let name = |path: &str| plan.find("h", path).map(|route| route.name.to_string());
    assert_eq!(name("/recap/deep/x").as_deref(), Some("deeper"));
    assert_eq!(name("/recap/x").as_deref(), Some("recap"));
    assert_eq!(name("/recapx/"), None);
    assert!(plan.find("other", "/recap/").is_none());
}

#[test]
fn inconsistent_configurations_are_rejected() {
    let mut plan = plan();
    assert!(matches!(plan.add_route(route("recap", 1, 1)), Err(Fault::SamePlace { .. })));
    let mut stray = route("stray", 1, 1);
    stray.shares[0].service = "nobody".into();
    assert!(matches!(plan.add_route(stray), Err(Fault::UnknownService { .. })));
    let mut weightless = route("weightless", 1, 1);
    weightless.shares[0].weight = 0;
    assert!(matches!(plan.add_route(weightless), Err(Fault::NoWeight(_))));
    let mut timeless = route("timeless", 1, 1);
    timeless.timeout = Duration::ZERO;
    assert!(matches!(plan.add_route(timeless), Err(Fault::NoTimeout(_))));
    let organisation = |name: &str| Organisation { name: name.into(), tier: None, residency: None };
    plan.add_organisation(organisation("one"), vec!["k".into(), "k".into()])
        .expect("a repeated key of the same organisation");
    assert!(matches!(plan.add_organisation(organisation("two"), vec!["k".into()]), Err(Fault::SharedKey(..))));
}

#[test]
fn lanes_follow_the_pause_targets_of_routes() {
    let plan = plan();
    let policy = LanePolicy::default();
    let is_quick = |path: &str| {
        lanes::is_quick(&policy, &plan, plan.find("h", path).expect("a route"), "svc", &PrefillSpeeds::default())
    };
    assert_eq!([is_quick("/grade/"), is_quick("/answer/"), is_quick("/recap/")], [true, false, false]);
    assert!(lanes::quick_bound(&policy, &plan, "svc", &PrefillSpeeds::default()).is_some());
    assert!(lanes::quick_bound(&policy, &plan, "another", &PrefillSpeeds::default()).is_none());
    let at = |path: &str| {
        let route = plan.find("h", path).expect("a route");
        (plan.level(route, "svc"), plan.is_highest(route, "svc"), plan.has_lower(route, "svc"))
    };
    assert_eq!([at("/grade/"), at("/answer/"), at("/recap/")], [(0, true, true), (1, false, true), (2, false, false)]);
}

#[test]
fn the_quick_lane_grows_with_its_load_and_never_past_half() {
    let engines = engines(9);
    let size = |calls: u32| {
        let mut endpoint_loads = EndpointLoads::default();
        let loads: Vec<Load> = engines.iter().map(|engine| load(&engine.endpoint, calls, 0)).collect();
        endpoint_loads.set_others(&loads);
        lanes::divide(&LanePolicy::default(), engines.iter().collect(), "svc", &endpoint_loads).quick.len()
    };
    assert_eq!([size(0), size(64)], [2, 4]);
}

/// In a smaller lane, the loss of one engine ends too many quick streams.
#[test]
fn the_quick_lane_is_a_fifth_of_many_engines() {
    let size = |count: usize| {
        let engines = engines(count);
        lanes::divide(&LanePolicy::default(), engines.iter().collect(), "svc", &EndpointLoads::default()).quick.len()
    };
    assert_eq!([size(2), size(6), size(9), size(12), size(90)], [1, 2, 2, 2, 18]);
}

/// Quick streams stay in their hall, so an uneven lane would overload some halls.
#[test]
fn the_quick_lane_is_spread_evenly_over_halls() {
    let mut engines = engines(90);
    for (number, engine) in engines.iter_mut().enumerate() {
        engine.hall = format!("hall-{}", number % 3).as_str().into();
    }
    let lanes = lanes::divide(&LanePolicy::default(), engines.iter().collect(), "svc", &EndpointLoads::default());
    let count = |hall: &str| lanes.quick.iter().filter(|engine| &*engine.hall == hall).count();
    assert_eq!([count("hall-0"), count("hall-1"), count("hall-2")], [6, 6, 6]);
}

#[test]
fn lanes_do_not_depend_on_the_order_of_engines() {
    let mut engines = engines(9);
    let names = |engines: &[Registration]| -> Vec<String> {
        let lanes = lanes::divide(&LanePolicy::default(), engines.iter().collect(), "svc", &EndpointLoads::default());
        lanes.quick.iter().map(|engine| engine.endpoint.to_string()).collect()
    };
    let first = names(&engines);
    engines.reverse();
    assert_eq!(names(&engines), first);
}

struct Scene {
    engines: Vec<Registration>,
    known: Known,
}

impl Scene {
    fn new() -> Scene {
        Scene { engines: engines(9), known: Known { plan: plan(), ..Known::default() } }
    }

    fn choose(&self, path: &str, prompt: &Prompt, tried: &[Arc<str>]) -> Option<String> {
        self.choice(path, prompt, tried).map(|choice| choice.endpoint.to_string())
    }

    fn choice(&self, path: &str, prompt: &Prompt, tried: &[Arc<str>]) -> Option<Choice> {
        let (inputs, route) = (self.known.inputs(), self.known.plan.find("h", path).expect("a route"));
        let candidates = Candidates::new(roster(&self.engines).of("svc"), "svc", &inputs);
        choose::choose(
            &inputs,
            route,
            "svc",
            &candidates,
            Some(prompt),
            Eligibility { tried, ..Eligibility::default() },
        )
        .ok()
    }
}

/// An engine that is out of memory must not preempt an urgent stream while a long prompt of a higher organisation runs on.
#[test]
fn requests_are_ranked_by_route_and_then_by_organisation() {
    let mut plan = plan();
    let organisation = Organisation { name: "o".into(), tier: Some(3), residency: None };
    plan.add_organisation(organisation, vec!["key".into()]).expect("a valid organisation");
    let rank = |path: &str, tier: u8| plan.engine_rank(plan.find("h", path).expect("a route"), tier, 10);
    let order = [rank("/grade/", 0), rank("/grade/", 3), rank("/answer/", 0), rank("/recap/", 0), rank("/recap/", 3)];
    assert_eq!(order, [0, 2, 3, 6, 8]);
}

/// Urgent streams must not wait behind less urgent requests at engines that are sent more than they have slots for.
#[test]
fn less_urgent_requests_are_refused_before_engines_are_full() {
    let mut scene = Scene::new();
    let fill = |scene: &mut Scene, calls: u32| {
        let loads: Vec<Load> = scene.engines.iter().map(|engine| load(&engine.endpoint, calls, 0)).collect();
        scene.known.loads.set_others(&loads);
    };
    let is_sent =
        |scene: &Scene| ["/grade/", "/answer/", "/recap/"].map(|path| scene.choice(path, &prompt(5), &[]).is_some());
    fill(&mut scene, 30);
    assert_eq!(is_sent(&scene), [true, true, true]);
    fill(&mut scene, 62);
    assert_eq!(is_sent(&scene), [true, false, false]);
    fill(&mut scene, 80);
    assert_eq!(is_sent(&scene), [false, false, false], "it would wait for a slot behind 16 others");
    scene.known.policy.guard.full = 0.0;
    assert_eq!(is_sent(&scene), [true, true, true], "the bound is disabled");
}

/// Long prompts that wait at an engine must not take the room of the requests that engines serve before them.
#[test]
fn requests_of_lower_priority_do_not_count_against_higher_ones() {
    let loads = Rc::new(RefCell::new(EndpointLoads::default()));
    let start = |level: usize| {
        let demand = Demand { service: "svc".into(), level, unread: 0, held: 0 };
        InFlight::start(&loads, &"e-1".into(), demand)
    };
    let mut flights: Vec<InFlight> = [0, 0, 2, 2, 2, 2, 2, 2].map(start).into();
    loads.borrow_mut().set_others(&[load("e-1", 40, 0), load("e-2", 40, 0)]);
    let calls =
        |endpoint: &str| [0, 1, 2].map(|level| loads.borrow().calls_at_or_above(level, endpoint, "svc").round() as u32);
    assert_eq!(calls("e-1"), [12, 12, 48], "three in four are of the lowest priority");
    assert_eq!(calls("e-2"), [10, 10, 40], "as they are over the whole service");
    flights.clear();
    assert_eq!(calls("e-1"), [40, 40, 40], "without own requests, nothing is known of the mix");
}

/// Urgent requests must not be refused, nor the engine's speed misjudged, for prompts that the engine processes after theirs.
#[test]
fn prompts_of_lower_priority_are_not_ahead_of_urgent_ones() {
    let loads = Rc::new(RefCell::new(EndpointLoads::default()));
    let start = |level: usize, unread: u32| {
        let demand = Demand { service: "svc".into(), level, unread, held: 0 };
        InFlight::start(&loads, &"e-1".into(), demand)
    };
    let mut flights = vec![start(1, 2_000), start(2, 3_000), start(2, 3_000)];
    loads.borrow_mut().set_others(&[load("e-1", 9, 40_000), load("e-2", 9, 40_000)]);
    let ahead = |endpoint: &str| [0, 1, 2].map(|level| loads.borrow().unread_at_or_above(level, endpoint, "svc"));
    assert_eq!(ahead("e-1"), [0, 12_000, 48_000], "a quarter is of the middle priority, here and at the others");
    assert_eq!(ahead("e-2"), [0, 10_000, 40_000]);
    flights.remove(0).note_read();
    assert_eq!(ahead("e-1"), [0, 0, 46_000], "a prompt that has been processed is not ahead");
    flights.clear();
    assert_eq!(ahead("e-2"), [40_000; 3], "without own prompts, nothing is known of the mix");
}

/// Engines reserved for quick streams must not process little while urgent requests are refused for lack of room at the
/// others. A prompt longer than a step would delay the streams.
#[test]
fn urgent_prompts_of_one_step_use_the_other_lane_when_their_own_is_full() {
    let mut scene = Scene::new();
    let lanes = Candidates::new(roster(&scene.engines).of("svc"), "svc", &scene.known.inputs());
    let quick: Vec<EndpointId> = lanes.quick.endpoints.iter().map(|engine| engine.endpoint.clone()).collect();
    let fill = |scene: &mut Scene, unread: u32| {
        let to_load = |engine: &Registration| {
            let is_quick = quick.contains(&engine.endpoint);
            load(&engine.endpoint, if is_quick { 20 } else { 62 }, if is_quick { unread } else { 40_000 })
        };
        let loads: Vec<Load> = scene.engines.iter().map(to_load).collect();
        scene.known.loads.set_others(&loads);
    };
    let short = Prompt { tokens: 1_800, max_answer: 30, answer_hint: None, parts: Vec::new() };
    fill(&mut scene, 0);
    let chosen = scene.choose("/answer/", &short, &[]);
    assert!(chosen.is_some_and(|engine| quick.iter().any(|id| **id == *engine)));
    assert_eq!(scene.choose("/answer/", &prompt(5), &[]), None, "a long prompt takes several steps");
    assert_eq!(scene.choose("/recap/", &short, &[]), None, "it is of the lowest priority");
    fill(&mut scene, 1_000);
    assert_eq!(scene.choose("/answer/", &short, &[]), None, "another prompt is processed there");
}

/// The wait at an engine was predicted from the capacity of engines that other requests use.
#[test]
fn a_choice_names_the_lane_that_the_engine_is_in() {
    let mut scene = Scene::new();
    let short = Prompt { tokens: 1_800, max_answer: 30, answer_hint: None, parts: Vec::new() };
    // The lane of the choice, and whether its size is that of the lane.
    let lane = |scene: &Scene, path: &str| {
        let lanes = Candidates::new(roster(&scene.engines).of("svc"), "svc", &scene.known.inputs());
        let choice = scene.choice(path, &short, &[]).expect("a choice");
        let engines = if choice.lane == LaneKind::Quick { &lanes.quick } else { &lanes.bulk }.endpoints.len();
        (choice.lane, choice.lane_size == engines)
    };
    assert_eq!(lane(&scene, "/grade/"), (LaneKind::Quick, true));
    assert_eq!(lane(&scene, "/recap/"), (LaneKind::Bulk, true));
    let fill = |scene: &mut Scene, calls: [u32; 2]| {
        let quick = Candidates::new(roster(&scene.engines).of("svc"), "svc", &scene.known.inputs()).quick.endpoints;
        let is_quick = |engine: &Registration| quick.iter().any(|own| own.endpoint == engine.endpoint);
        let to_load = |engine: &Registration| load(&engine.endpoint, calls[usize::from(!is_quick(engine))], 0);
        let loads: Vec<Load> = scene.engines.iter().map(to_load).collect();
        scene.known.loads.set_others(&loads);
    };
    fill(&mut scene, [20, 62]);
    assert_eq!(lane(&scene, "/answer/"), (LaneKind::Quick, true), "a prompt of one step is lent to the other lane");
    // The lane grows to its largest size first.
    for _ in 0..4 {
        fill(&mut scene, [60, 3]);
    }
    assert_eq!(lane(&scene, "/grade/"), (LaneKind::Bulk, true), "a quick stream overflows");
}

/// When the load rises in steps, less urgent requests were served until just before the last step. Urgent ones that would
/// be answered in time must not be refused then.
#[test]
fn urgent_requests_are_sent_while_their_callers_surely_wait() {
    let GuardPolicy { hopeless, waiting, .. } = GuardPolicy::default();
    let bounds = WaitBounds { target: hopeless, patience: waiting };
    let millis = Duration::from_millis;
    let caller = |left: u64| Caller { target: millis(400), gap: Some(millis(400)), remaining: millis(left) };
    let is_sent = |wait: u64, left: u64| millis(wait) <= bounds.longest(&caller(left), false);
    assert_eq!([is_sent(1_760, 3_000), is_sent(2_300, 3_000)], [true, true]);
    assert_eq!([is_sent(2_700, 3_000), is_sent(1_760, 2_000)], [false, false], "a late caller is gone");
}

/// Headroom must not add up to all slots of an engine, and an engine that reports none takes one request at a time.
#[test]
fn every_priority_has_room_at_an_idle_engine() {
    let mut scene = Scene::new();
    for tier in 3..12 {
        scene.known.plan.add_route(route(&format!("tier-{tier}"), 1000, tier)).expect("a valid route");
    }
    scene.engines.iter_mut().for_each(|engine| engine.slots = 0);
    assert!(scene.choice("/tier-11/", &prompt(5), &[]).is_some());
}

macro_rules! quick_bounds {
    ($($(#[$meta:meta])* $name:ident: [$($pause:literal),+] of $tokens:literal tokens => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let mut plan = Plan::new(1, Limits::default());
            let engine = Some(Engine { slots: 64, memory: 300_000, copies: true, event_tokens: $tokens, move_speed: 0.0 });
            plan.services.insert("svc".into(), Service { name: "svc".into(), connections: 100, engine, scaling: None, warm_up: None });
            for pause in [$($pause),+] {
                plan.add_route(route(&format!("p{pause}"), pause, 0)).expect("a valid route");
            }
            let bound = lanes::quick_bound(&LanePolicy::default(), &plan, "svc", &PrefillSpeeds::default());
            assert_eq!(bound.map(|bound| bound.as_millis()), $expected);
        })*
    };
}

// At the initial prefill speed of 30 tokens per millisecond, a chunk takes 68 ms.
quick_bounds! {
    pause_targets_far_below_the_longest_are_quick: [1000, 400, 250] of 6 tokens => Some(300);
    /// Under constant prefill, an event of three tokens takes 205 ms.
    the_shortest_pause_target_is_quick_if_prefill_would_miss_it: [300, 200] of 3 tokens => Some(200);
    long_pause_targets_need_no_lane: [5000, 2000] of 3 tokens => None;
    a_single_pause_target_needs_no_lane: [200] of 3 tokens => None;
}

/// Overloads the engine of a session, and returns the resulting choice and the address of that engine.
fn choose_with_busy_home(move_speed: f64, sessions: bool) -> (Choice, Arc<str>) {
    let mut scene = Scene::new();
    let engine = Engine { slots: 64, memory: 300_000, copies: true, event_tokens: 6, move_speed };
    scene.known.plan.services.get_mut("svc").expect("a service").engine = Some(engine);
    scene.known.policy.choice.sessions = sessions;
    let home = scene.choice("/recap/", &prompt(7), &[]).expect("a choice");
    let busy: Vec<Load> = scene
        .engines
        .iter()
        .filter(|engine| engine.endpoint == home.endpoint)
        .map(|engine| load(&engine.endpoint, 30, 90_000))
        .collect();
    scene.known.loads.set_others(&busy);
    (scene.choice("/recap/", &prompt(7), &[]).expect("a choice"), home.address)
}

/// Requests must not queue in a full quick lane while engines of the other lane are idle.
#[test]
fn quick_streams_overflow_from_a_crowded_lane() {
    let mut scene = Scene::new();
    let lane = |scene: &Scene| -> Vec<EndpointId> {
        let lanes = lanes::divide(&LanePolicy::default(), scene.engines.iter().collect(), "svc", &scene.known.loads);
        lanes.quick.iter().map(|engine| engine.endpoint.clone()).collect()
    };
    let fill = |scene: &mut Scene, calls: u32| {
        let quick = lane(scene);
        let calls_at = |engine: &Registration| if quick.contains(&engine.endpoint) { calls } else { 3 };
        let loads: Vec<Load> = scene.engines.iter().map(|engine| load(&engine.endpoint, calls_at(engine), 0)).collect();
        scene.known.loads.set_others(&loads);
    };
    for _ in 0..4 {
        fill(&mut scene, 40);
    }
    let chosen = scene.choice("/grade/", &prompt(3), &[]).expect("a choice").endpoint;
    assert!(lane(&scene).contains(&chosen), "its lane has free slots");
    fill(&mut scene, 60);
    let chosen = scene.choice("/grade/", &prompt(3), &[]).expect("a choice").endpoint;
    assert!(!lane(&scene).contains(&chosen), "it would queue for a slot in its lane");
    scene.known.policy.lanes.overflow = 0.0;
    let chosen = scene.choice("/grade/", &prompt(3), &[]).expect("a choice").endpoint;
    assert!(lane(&scene).contains(&chosen), "overflow is disabled");
}

#[test]
fn a_request_away_from_its_session_fetches_the_cached_prompt() {
    let (away, home) = choose_with_busy_home(280.0, true);
    assert_ne!(away.address, home);
    assert_eq!(away.fetch_from, Some(home));
    // Only the request's own part needs prefill.
    assert_eq!(away.unread, 2900);
}

/// After an engine joins, the one that served the session before is the next in rank.
#[test]
fn the_engine_of_a_session_fetches_from_the_next_in_rank() {
    let mut scene = Scene::new();
    let engine = Engine { slots: 64, memory: 300_000, copies: true, event_tokens: 6, move_speed: 280.0 };
    scene.known.plan.services.get_mut("svc").expect("a service").engine = Some(engine);
    let home = scene.choice("/recap/", &prompt(7), &[]).expect("a choice");
    let before: Vec<EndpointId> = scene.engines.iter().map(|engine| engine.endpoint.clone()).collect();
    scene.engines.retain(|engine| engine.endpoint != home.endpoint);
    let next = scene.choice("/recap/", &prompt(7), &[]).expect("a choice");
    assert!(before.contains(&next.endpoint));
    assert_eq!(home.fetch_from, Some(next.address));
}

#[test]
fn a_session_is_not_fetched_if_prefill_is_faster() {
    let (away, home) = choose_with_busy_home(5.0, true);
    assert_ne!(away.address, home);
    assert_eq!(away.fetch_from, None);
    assert!(away.unread > 2900, "{away:?}");
}

#[test]
fn without_session_affinity_nothing_is_fetched() {
    assert_eq!(choose_with_busy_home(280.0, false).0.fetch_from, None);
}

#[test]
fn a_session_stays_at_its_engine_until_that_has_far_more_to_prefill() {
    let mut scene = Scene::new();
    let prompt = prompt(77);
    let home = scene.choose("/recap/", &prompt, &[]).expect("a choice");
    for _ in 0..20 {
        assert_eq!(scene.choose("/recap/", &prompt, &[]).as_deref(), Some(home.as_str()));
    }
    scene.known.loads.set_others(&[load(&home, 3, 14_000)]);
    let kept = scene.choose("/recap/", &prompt, &[]).expect("a choice");
    assert_eq!(kept, home, "prefill of half of 3,800 tokens costs more than 14,000 queued tokens");
    scene.known.loads.set_others(&[load(&home, 3, 16_000)]);
    let second = scene.choose("/recap/", &prompt, &[]).expect("a choice");
    assert_ne!(second, home, "the second engine may have part of it cached and is idle");
    for _ in 0..20 {
        assert_eq!(scene.choose("/recap/", &prompt, &[]).as_deref(), Some(second.as_str()));
    }
    scene.known.loads.set_others(&[load(&home, 9, 60_000), load(&second, 9, 60_000)]);
    let third = scene.choose("/recap/", &prompt, &[]).expect("a choice");
    assert!(third != home && third != second);
}

/// The cost of missing tokens is bounded by the target, so that affinity does not make a long session late.
#[test]
fn a_long_session_leaves_its_engine_before_missing_its_target() {
    let mut scene = Scene::new();
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = Prompt { tokens: 16_500, parts: vec![part(1, 2500), part(5, 11_000), part(9, 3000)], ..prompt(5) };
    let home = scene.choose("/recap/", &prompt, &[]).expect("a choice");
    let loads: Vec<Load> = scene.engines.iter().map(|engine| load(&engine.endpoint, 1, 1000)).collect();
    let with_home = |unread: u32| {
        let mut loads = loads.clone();
        loads.retain(|load| load.endpoint != id::endpoint_tag(&home));
        loads.push(load(&home, 1, unread));
        loads
    };
    scene.known.loads.set_others(&with_home(20_000));
    assert_eq!(scene.choose("/recap/", &prompt, &[]).as_deref(), Some(home.as_str()));
    scene.known.loads.set_others(&with_home(23_000));
    assert_ne!(scene.choose("/recap/", &prompt, &[]).as_deref(), Some(home.as_str()));
}

/// A retransmission between halls takes about as long as the pause target of a quick stream.
#[test]
fn quick_streams_stay_in_their_hall_until_it_is_busy() {
    let mut scene = Scene::new();
    scene.engines = engines(30);
    for (number, engine) in scene.engines.iter_mut().enumerate() {
        engine.hall = if number % 3 == 0 { "a".into() } else { "b".into() };
    }
    let lane = lanes::divide(&LanePolicy::default(), scene.engines.iter().collect(), "svc", &scene.known.loads).quick;
    let local: Vec<String> =
        lane.iter().filter(|engine| &*engine.hall == "a").map(|engine| engine.endpoint.to_string()).collect();
    assert!(!local.is_empty() && local.len() < lane.len(), "the lane has engines in both halls: {local:?}");
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt =
        |session| Prompt { tokens: 700, parts: vec![part(1, 100), part(session, 70), part(9, 530)], ..prompt(5) };
    for session in 0..50 {
        let chosen = scene.choose("/grade/", &prompt(session + 2), &[]).expect("a choice");
        assert!(local.contains(&chosen), "{chosen}");
    }
    let busy: Vec<Load> = local.iter().map(|endpoint| load(endpoint, 30, 1000)).collect();
    scene.known.loads.set_others(&busy);
    let remote = (0..50).filter(|session| {
        let chosen = scene.choose("/grade/", &prompt(session + 2), &[]).expect("a choice");
        !local.contains(&chosen)
    });
    assert!(remote.count() > 40);
}

/// Copies cost bandwidth, and pay off for long streams only.
#[test]
fn only_long_quick_streams_have_a_backup() {
    let scene = Scene::new();
    let backup = |path: &str, answer_hint: Option<u32>| {
        let prompt = Prompt { max_answer: 2000, answer_hint, ..prompt(5) };
        let choice = scene.choice(path, &prompt, &[]).expect("a choice");
        choice.backup.map(|backup| (backup.endpoint != choice.endpoint, backup.address.to_string()))
    };
    assert!(backup("/grade/", Some(200)).is_some_and(|(another, _)| another));
    assert!(backup("/grade/", None).is_some_and(|(another, _)| another));
    assert_eq!(backup("/grade/", Some(199)), None);
    assert_eq!(backup("/recap/", Some(900)), None);
}

/// Copies over slow links cost more than they save.
#[test]
fn there_is_no_backup_if_transfer_is_slow() {
    let mut scene = Scene::new();
    let engine = Engine { slots: 64, memory: 300_000, copies: true, event_tokens: 6, move_speed: 280.0 };
    scene.known.plan.services.get_mut("svc").expect("a service").engine = Some(engine);
    let prompt = Prompt { max_answer: 2000, ..prompt(5) };
    assert_eq!(scene.choice("/grade/", &prompt, &[]).expect("a choice").backup, None);
}

/// Affinity must not concentrate a busy session with a short shared prompt on two engines.
#[test]
fn quick_streams_of_one_session_use_the_whole_lane() {
    let mut scene = Scene::new();
    scene.engines = engines(30);
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = Prompt { tokens: 700, parts: vec![part(1, 100), part(5, 70), part(9, 530)], ..prompt(5) };
    let mut calls = std::collections::BTreeMap::<String, u32>::new();
    for _ in 0..120 {
        let chosen = scene.choose("/grade/", &prompt, &[]).expect("a choice");
        *calls.entry(chosen).or_default() += 1;
        let loads: Vec<Load> = calls.iter().map(|(endpoint, calls)| load(endpoint, *calls, 0)).collect();
        scene.known.loads.set_others(&loads);
    }
    assert!(calls.len() >= 6, "{calls:?}");
    let most = calls.values().max().copied().unwrap_or_default();
    assert!(most <= 27, "{calls:?}");
}

#[test]
fn long_prompts_and_quick_streams_use_disjoint_engines() {
    let scene = Scene::new();
    let mut recaps: Vec<String> = (0..200).filter_map(|s| scene.choose("/recap/", &prompt(s + 2), &[])).collect();
    let mut grades: Vec<String> = (0..200).filter_map(|s| scene.choose("/grade/", &prompt(s + 2), &[])).collect();
    recaps.sort_unstable();
    recaps.dedup();
    grades.sort_unstable();
    grades.dedup();
    assert!(recaps.iter().all(|engine| !grades.contains(engine)), "{recaps:?} {grades:?}");
    assert_eq!((recaps.len(), grades.len()), (7, 2));
}

#[test]
fn tried_draining_and_failing_engines_are_excluded() {
    let mut scene = Scene::new();
    let prompt = prompt(5);
    let home = scene.choose("/recap/", &prompt, &[]).expect("a choice");
    assert_ne!(scene.choose("/recap/", &prompt, &[home.as_str().into()]), Some(home.clone()));
    scene.known.health.note(&home.as_str().into(), Outcome::Unreachable, Moment::now());
    assert_ne!(scene.choose("/recap/", &prompt, &[]), Some(home));
    for engine in &mut scene.engines {
        engine.phase = Phase::Leaving;
    }
    assert_eq!(scene.choose("/recap/", &prompt, &[]), None);
    scene.engines[4].phase = Phase::Silent;
    assert_eq!(scene.choose("/recap/", &prompt, &[]).as_deref(), Some("e-4"), "a silent engine is the fallback");
}

#[test]
fn prefill_speed_follows_samples_under_load() {
    let mut prefill = PrefillSpeeds::default();
    let service: Arc<str> = "svc".into();
    let before = prefill.time_for("svc", 30_000);
    for _ in 0..200 {
        prefill.note(&service, 20_000, Duration::from_secs(2));
        prefill.note(&service, 100, Duration::from_secs(2));
    }
    let after = prefill.time_for("svc", 30_000);
    assert!(after > before * 2, "{before:?} {after:?}");
    assert!((Duration::from_millis(2900)..Duration::from_millis(3100)).contains(&after), "{after:?}");
}

#[test]
fn events_are_complete_for_any_chunk_size() {
    let text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 7\ndata: c\n\nid: 8\nda";
    for size in 1..text.len() {
        let mut events = Events::default();
        let mut passed = Vec::new();
        for chunk in text.chunks(size) {
            passed.extend_from_slice(&events.push(chunk));
        }
        assert_eq!((events.count, events.last), (3, Some(7)), "chunks of {size}");
        assert_eq!(passed, &text[..text.len() - 8], "chunks of {size}");
        assert_eq!(events.pending(), b"id: 8\nda");
    }
}
