//! Cost of a choice, and of the periodic work that it depends on, by the number of endpoints.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{rc::Rc, time::Duration};

use divan::{Bencher, black_box};
use rudder_core::{Registration, peer::Load};
use rudder_gateway::{
    Plan, Route, RouteKind, Service,
    choose::{self, Candidates, Eligibility},
    dialect::{Prompt, PromptPart},
    plan::{Engine, Limits, Share},
    roster::Roster,
};
use rudder_model::id;
use rudder_route::condition::EngineSpeed;

use support::{Known, endpoint, roster};

#[global_allocator]
static ALLOCATOR: divan::AllocProfiler = divan::AllocProfiler::system();

const ENDPOINTS: [usize; 4] = [20, 200, 3_000, 12_000];
/// Endpoints of a contended service: those of one deployment, and the most.
const CONTENDED: [usize; 2] = [90, 12_000];

fn main() {
    divan::main();
}

/// A service of which half the endpoints are busy, with a quick and a slow route.
struct Scene {
    roster: Roster,
    loads: Vec<Load>,
    known: Known,
}

impl Scene {
    fn new(count: usize, engines: bool) -> Scene {
        let endpoints: Vec<Registration> =
            (0..count).map(|number| endpoint(number, &format!("hall-{}", number % 3))).collect();
        let load = |endpoint: &Registration| Load {
            endpoint: id::endpoint_tag(&endpoint.endpoint),
            calls: 9,
            unread: 4_000,
            held: 60_000,
            ended: 40,
            failed: 0,
            detail: None,
        };
        let loads: Vec<Load> = endpoints.iter().step_by(2).map(load).collect();
        let mut known = Known {
            work_age: Duration::from_millis(200),
            hall: "hall-0".into(),
            plan: to_plan(engines),
            ..Known::default()
        };
        known.loads.set_others(&loads);
        Scene { roster: roster(&endpoints), loads, known }
    }

    /// The same as a contended service. With `overloaded`, all endpoints would miss the targets of requests.
    fn contended(count: usize, overloaded: bool) -> Scene {
        let mut scene = Scene::new(count, true);
        scene.known.contention = support::paced();
        let engines: Vec<Registration> = scene.roster.of("svc").iter().map(|engine| (**engine).clone()).collect();
        let speed = EngineSpeed { prefill_speed: 110.0, samples: 8, ..EngineSpeed::default() };
        scene.known.set_speeds(&engines, |_| speed);
        if overloaded {
            let tags = scene.roster.of("svc").iter().map(|engine| id::endpoint_tag(&engine.endpoint));
            scene.loads = tags.map(|tag| Load { calls: 30, unread: 200_000, ..Load::none(tag) }).collect();
            scene.known.loads.set_others(&scene.loads);
        }
        scene
    }

    fn candidates(&self) -> Candidates {
        Candidates::new(self.roster.of("svc"), "svc", &self.known.inputs())
    }
}

fn to_plan(engines: bool) -> Plan {
    let engine = Engine { slots: 64, memory: 290_000, copies: true, event_tokens: 7, move_speed: 3_000.0 };
    let service = Service {
        name: "svc".into(),
        connections: 800,
        engine: engines.then_some(engine),
        scaling: None,
        warm_up: None,
    };
    let mut plan = Plan::new(1, Limits::default());
    plan.services.insert("svc".into(), service);
    for (name, pause) in [("quick", 300), ("slow", 1_200)] {
        let route = Route {
            name: name.into(),
            host: "h".into(),
            prefix: format!("/{name}/").into(),
            kind: RouteKind::Stream,
            timeout: Duration::from_secs(4),
            target: Duration::from_millis(pause),
            pause: Some(Duration::from_millis(pause)),
            tier: 1,
            shares: vec![Share { service: "svc".into(), weight: 1 }],
            attempts: 1,
            open: false,
            resumable: false,
            residency: None,
        };
        plan.add_route(route).expect("a valid route");
    }
    plan
}

fn prompt(session: u64) -> Prompt {
    let parts = [(1, 2_500), (session, 3_800), (session << 20, 2_900)];
    let parts = parts.into_iter().map(|(id, tokens)| PromptPart { id, tokens }).collect();
    Prompt { tokens: 9_200, max_answer: 50, answer_hint: None, parts }
}

fn choose_on(bencher: Bencher, scene: &Scene, path: &str, prompt: Option<&Prompt>) {
    let candidates = scene.candidates();
    let route = scene.known.plan.find("h", path).expect("a route");
    bencher.bench_local(|| {
        choose::choose(&scene.known.inputs(), route, "svc", &candidates, black_box(prompt), Eligibility::default())
    });
}

#[divan::bench(args = ENDPOINTS)]
fn long_prompt(bencher: Bencher, count: usize) {
    choose_on(bencher, &Scene::new(count, true), "/slow/", Some(&prompt(7)));
}

#[divan::bench(args = ENDPOINTS)]
fn quick_stream(bencher: Bencher, count: usize) {
    choose_on(bencher, &Scene::new(count, true), "/quick/", Some(&prompt(7)));
}

#[divan::bench(args = CONTENDED)]
fn contended_long_prompt(bencher: Bencher, count: usize) {
    choose_on(bencher, &Scene::contended(count, false), "/slow/", Some(&prompt(7)));
}

#[divan::bench(args = CONTENDED)]
fn contended_quick_stream(bencher: Bencher, count: usize) {
    choose_on(bencher, &Scene::contended(count, false), "/quick/", Some(&prompt(7)));
}

/// The longest search: no endpoint meets the targets.
#[divan::bench(args = CONTENDED)]
fn contended_overload(bencher: Bencher, count: usize) {
    choose_on(bencher, &Scene::contended(count, true), "/quick/", Some(&prompt(7)));
}

#[divan::bench(args = CONTENDED)]
fn contended_divide_lanes(bencher: Bencher, count: usize) {
    let scene = Scene::contended(count, false);
    bencher.bench_local(|| Rc::new(scene.candidates()));
}

#[divan::bench(args = ENDPOINTS)]
fn plain_call(bencher: Bencher, count: usize) {
    choose_on(bencher, &Scene::new(count, false), "/slow/", None);
}

#[divan::bench(args = ENDPOINTS)]
fn divide_lanes(bencher: Bencher, count: usize) {
    let scene = Scene::new(count, true);
    bencher.bench_local(|| Rc::new(scene.candidates()));
}

#[divan::bench(args = ENDPOINTS)]
fn set_loads(bencher: Bencher, count: usize) {
    let mut scene = Scene::new(count, true);
    let loads = scene.loads.clone();
    bencher.bench_local(|| scene.known.loads.set_others(black_box(&loads)));
}
