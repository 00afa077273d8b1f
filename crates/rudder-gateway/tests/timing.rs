//! Choice among the engines of contended services by predicted times, and lanes by speed.

mod support;

use std::{
    cell::Cell,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use rudder_core::{Registration, peer::Load};
use rudder_gateway::{
    Plan, Service,
    admission::Admissions,
    choose::{self, CandidateCache, Candidates, Choice, Eligibility, Lane},
    contention::Contention,
    dialect::{Prompt, PromptPart},
    plan::{Engine, Limits},
    policy::GuardPolicy,
};
use rudder_model::{EndpointId, id};
use rudder_route::{admission::Demand, condition::EngineSpeed, engine_cost::is_sooner};

use support::{Known, endpoint, paced, roster, stream_route};

const ENGINES: usize = 90;
/// Lasting speeds of the two kinds of engines, relative to the usual one.
const SLOW: f64 = 0.55;
const FAST: f64 = 1.2;

fn plan() -> Plan {
    let mut plan = Plan::new(1, Limits::default());
    let engine = Some(Engine { slots: 16, memory: 352_746, copies: false, event_tokens: 5, move_speed: 0.0 });
    let service = Service { name: "svc".into(), connections: 100, engine, scaling: None, warm_up: None };
    plan.services.insert("svc".into(), service);
    for route in [stream_route("drafts", 300, 200, 1), stream_route("chat", 150, 120, 0)] {
        plan.add_route(route).expect("a valid route");
    }
    plan
}

fn draft(session: u64) -> Prompt {
    let parts = [(1, 2_520), (session, 3_780), (session << 20, 2_890)];
    let parts = parts.into_iter().map(|(id, tokens)| PromptPart { id, tokens }).collect();
    Prompt { tokens: 9_190, max_answer: 50, answer_hint: None, parts }
}

fn chat(session: u64) -> Prompt {
    let parts = [(2, 119), (session, 79), (session << 20, 628)];
    let parts = parts.into_iter().map(|(id, tokens)| PromptPart { id, tokens }).collect();
    Prompt { tokens: 826, max_answer: 290, answer_hint: None, parts }
}

fn speed(relative: f64) -> EngineSpeed {
    EngineSpeed {
        token_time: Duration::from_secs_f64(0.0065 / relative),
        prefill_speed: 110.0 * relative,
        pace: 1.0,
        samples: 50,
    }
}

fn is_slow(engine: &Registration) -> bool {
    number(&engine.endpoint).is_multiple_of(4)
}

fn number(endpoint: &EndpointId) -> usize {
    endpoint[2..].parse().expect("a number")
}

fn names(lane: &Lane) -> Vec<EndpointId> {
    lane.endpoints.iter().map(|engine| engine.endpoint.clone()).collect()
}

/// A contended service of which a quarter of the engines are slow, in three halls.
struct Scene {
    engines: Vec<Registration>,
    known: Known,
    sessions: Cell<u64>,
}

impl Scene {
    fn new() -> Scene {
        let to_engine =
            |number: usize| Registration { slots: 16, ..endpoint(number, &format!("hall-{}", number / 4 % 3)) };
        let engines: Vec<Registration> = (0..ENGINES).map(to_engine).collect();
        let known = Known {
            plan: plan(),
            hall: "hall-0".into(),
            contention: paced(),
            work_age: Duration::from_millis(200),
            ..Known::default()
        };
        let mut scene = Scene { engines, known, sessions: Cell::new(10) };
        scene.set_speeds(|engine| speed(if is_slow(engine) { SLOW } else { FAST }));
        scene
    }

    fn set_speeds(&mut self, speed: impl Fn(&Registration) -> EngineSpeed) {
        self.known.set_speeds(&self.engines, speed);
    }

    /// Sets the requests and the unread tokens at each engine.
    fn set_loads(&mut self, load: impl Fn(&Registration) -> (u32, u32)) {
        let to_load = |engine: &Registration| {
            let (calls, unread) = load(engine);
            Load { calls, unread, ..Load::none(id::endpoint_tag(&engine.endpoint)) }
        };
        let loads: Vec<Load> = self.engines.iter().map(to_load).collect();
        self.known.loads.set_others(&loads);
    }

    fn candidates(&self) -> Candidates {
        Candidates::new(roster(&self.engines).of("svc"), "svc", &self.known.inputs())
    }

    fn choose(&self, path: &str, prompt: &Prompt) -> Choice {
        let route = self.known.plan.find("h", path).expect("a route");
        let candidates = self.candidates();
        choose::choose(&self.known.inputs(), route, "svc", &candidates, Some(prompt), Eligibility::default())
            .expect("a choice")
    }

    /// Choices for `count` requests of different sessions.
    fn choices(&self, path: &str, count: usize) -> Vec<Choice> {
        let next = || self.sessions.replace(self.sessions.get() + 1);
        let prompt = || if path == "/chat/" { chat(next()) } else { draft(next()) };
        (0..count).map(|_| self.choose(path, &prompt())).collect()
    }

    fn engine(&self, choice: &Choice) -> &Registration {
        &self.engines[number(&choice.endpoint)]
    }
}

/// Slow engines miss the gap target of quick streams beside prefill, and the other requests need their capacity.
#[test]
fn a_quarter_of_the_engines_at_half_speed_serve_no_quick_streams() {
    let scene = Scene::new();
    let lanes = scene.candidates();
    assert_eq!((lanes.quick.endpoints.len(), lanes.bulk.endpoints.len()), (18, 72));
    assert!(!lanes.quick.endpoints.iter().any(|engine| is_slow(engine)));
    assert_eq!(lanes.quick.local.len(), 6, "the lane is spread over the halls");
    assert!(!scene.choices("/chat/", 200).iter().any(|choice| is_slow(scene.engine(choice))));
    let drafts = scene.choices("/drafts/", 200);
    assert!(drafts.iter().any(|choice| is_slow(scene.engine(choice))), "slow engines serve the rest");
}

/// A lane of slow engines would make every quick stream late when all fast engines are in use.
#[test]
fn a_loaded_quick_lane_does_not_grow_to_slow_engines() {
    let mut scene = Scene::new();
    scene.set_loads(|_| (15, 0));
    let lanes = scene.candidates();
    assert_eq!(lanes.quick.endpoints.len(), 45);
    assert!(!lanes.quick.endpoints.iter().any(|engine| is_slow(engine)));
    scene.engines.retain(|engine| is_slow(engine) || number(&engine.endpoint) < 40);
    assert_eq!(scene.candidates().quick.endpoints.len(), 26, "all but three in ten are fast: largest share");
}

/// Streams sent to an engine during a slowdown miss their gap target.
#[test]
fn quick_streams_avoid_engines_slow_for_600_ms() {
    let mut scene = Scene::new();
    let is_slow_now = |engine: &Registration| number(&engine.endpoint) % 7 == 1;
    let at = |engine: &Registration| speed(if is_slow(engine) { SLOW } else { FAST });
    scene.set_speeds(|engine| EngineSpeed { pace: if is_slow_now(engine) { 2.5 } else { 1.0 }, ..at(engine) });
    scene.set_loads(|_| (4, 2_000));
    assert!(scene.candidates().quick.endpoints.iter().any(|engine| is_slow_now(engine)), "the lanes stay");
    let chosen = scene.choices("/chat/", 300);
    assert!(!chosen.iter().any(|choice| is_slow_now(scene.engine(choice))));
}

/// An engine can prefill a short prompt in time and still be too slow for the gaps of its stream. Ranked by the first event
/// alone, it would win against busier engines that meet both targets.
#[test]
fn quick_streams_avoid_engines_that_miss_the_gap_target_with_a_first_event_in_time() {
    let mut scene = Scene::new();
    let misses_gaps = |engine: &Registration| number(&engine.endpoint) % 5 == 1;
    // Five tokens take 27 ms, or 125 ms at this pace; the targets are 120 ms for gaps and 150 ms for the first event.
    scene.set_speeds(|engine| EngineSpeed { pace: if misses_gaps(engine) { 4.6 } else { 1.0 }, ..speed(FAST) });
    let prompt = Prompt { tokens: 60, max_answer: 290, answer_hint: None, parts: Vec::new() };
    scene.set_loads(|engine| if misses_gaps(engine) { (0, 0) } else { (6, 14_000) });
    let lanes = scene.candidates();
    assert!(lanes.quick.endpoints.iter().any(|engine| misses_gaps(engine)), "the lane has both kinds");
    for _ in 0..200 {
        let choice = scene.choose("/chat/", &prompt);
        assert!(!misses_gaps(scene.engine(&choice)), "{choice:?}");
        assert!(choice.predicted.is_some_and(|predicted| predicted <= Duration::from_millis(150)), "{choice:?}");
    }
    // The first events there are in time: without another engine, one of them is chosen with such a prediction.
    scene.engines.retain(|engine| misses_gaps(engine));
    let route = scene.known.plan.find("h", "/chat/").expect("a route");
    let only =
        choose::choose(&scene.known.inputs(), route, "svc", &scene.candidates(), Some(&prompt), Eligibility::default());
    let predicted = only.expect("a choice").predicted.expect("a prediction");
    assert!(predicted <= Duration::from_millis(150), "{predicted:?}");
}

/// Requests were refused for the wait at their session's engine while others were free. The second number of tokens is
/// processed within the target, but not within the margin for it.
#[test]
fn three_times_the_load_on_sessions_sends_none_to_a_late_engine() {
    for unread in [4_000, 22_000] {
        let mut scene = Scene::new();
        // All but one in ten engines have more to process than the target allows.
        let is_free = |engine: &Registration| number(&engine.endpoint) % 10 == 3;
        scene.set_loads(|engine| if is_free(engine) { (10, unread) } else { (10, 60_000) });
        let chosen = scene.choices("/drafts/", 300);
        for choice in &chosen {
            assert!(choice.predicted.is_some_and(|predicted| predicted <= Duration::from_millis(300)), "{choice:?}");
        }
        let used: BTreeSet<_> = chosen.into_iter().map(|choice| choice.endpoint).collect();
        let lanes = scene.candidates();
        let free = lanes.bulk.endpoints.iter().filter(|engine| is_free(engine)).map(|engine| engine.endpoint.clone());
        assert_eq!(used, free.collect(), "the requests are spread over all engines in time");
    }
}

/// Affinity saves prefill as long as the session's engine is in time.
#[test]
fn a_session_stays_at_its_engine_while_that_is_in_time() {
    let mut scene = Scene::new();
    let prompt = draft(77);
    let home = scene.choose("/drafts/", &prompt).endpoint;
    scene.set_loads(|engine| if engine.endpoint == home { (5, 3_000) } else { (3, 0) });
    for _ in 0..20 {
        assert_eq!(scene.choose("/drafts/", &prompt).endpoint, home);
    }
}

/// Long prompts must not be confined to busy engines while fast ones are idle.
#[test]
fn long_prompts_use_idle_engines_of_the_quick_lane() {
    let mut scene = Scene::new();
    let quick = names(&scene.candidates().quick);
    let is_used =
        |scene: &Scene| scene.choices("/drafts/", 100).iter().filter(|choice| quick.contains(&choice.endpoint)).count();
    scene.set_loads(|engine| if quick.contains(&engine.endpoint) { (0, 0) } else { (10, 60_000) });
    assert_eq!(is_used(&scene), 100);
    scene.set_loads(|engine| if quick.contains(&engine.endpoint) { (6, 0) } else { (10, 60_000) });
    assert_eq!(is_used(&scene), 0, "they would delay quick streams");
}

#[test]
fn quick_streams_overflow_to_fast_engines_first() {
    let mut scene = Scene::new();
    let quick = names(&scene.candidates().quick);
    scene.known.policy.lanes.largest = scene.known.policy.lanes.smallest;
    scene.set_loads(|engine| if quick.contains(&engine.endpoint) { (15, 0) } else { (3, 0) });
    for choice in scene.choices("/chat/", 100) {
        assert!(!quick.contains(&choice.endpoint) && !is_slow(scene.engine(&choice)), "{choice:?}");
    }
}

/// A stream of pseudo-random numbers between 0 and 1.
/// Instances that send requests in [`sent_by_the_same_counts`].
const SENDERS: u64 = 72;

/// Quick streams that each engine gets from all instances while they know the same counts, which are 200 ms old. Each
/// instance sends three.
fn sent_by_the_same_counts(scene: &mut Scene) -> HashMap<EndpointId, u32> {
    let mut sent: HashMap<EndpointId, u32> = HashMap::new();
    let service = "svc".into();
    for seed in 0..SENDERS {
        let now = scene.known.now;
        let mut admission = Admissions::new(&GuardPolicy::default(), seed, now);
        admission.set_senders(SENDERS as usize);
        let reported = now;
        scene.known.now = now + Duration::from_millis(200);
        admission.record_report(reported, seed, scene.known.now);
        scene.known.admission = admission;
        for session in 0..3 {
            let route = scene.known.plan.find("h", "/chat/").expect("a route");
            let prompt = chat(100 + seed * 10 + session);
            let candidates = scene.candidates();
            let chosen =
                choose::choose(&scene.known.inputs(), route, "svc", &candidates, Some(&prompt), Eligibility::default());
            let Ok(choice) = chosen else { continue };
            scene.known.admission.record_sent(&service, &choice.endpoint, 0, true, scene.known.now);
            *sent.entry(choice.endpoint).or_default() += 1;
        }
    }
    sent
}

/// All instances would find the same few engines best until the next report, and send each of them several times what it
/// has slots for.
#[test]
fn instances_with_the_same_counts_share_the_free_slots() {
    let mut scene = Scene::new();
    let calls = |engine: &Registration| if number(&engine.endpoint) % 11 == 1 { 4 } else { 14 };
    let to_load =
        |engine: &Registration| Load { calls: calls(engine), ..Load::none(id::endpoint_tag(&engine.endpoint)) };
    let demand = Demand { admitted: [216, 0, 0, 0], ..Demand::default() };
    let service = Load::of_service(id::endpoint_tag("svc"), demand);
    let loads: Vec<Load> = scene.engines.iter().map(to_load).chain([service]).collect();
    scene.known.loads.set_others(&loads);
    let sent = sent_by_the_same_counts(&mut scene);
    let total = |engine: &Registration| calls(engine) + sent.get(&engine.endpoint).copied().unwrap_or_default();
    let totals: Vec<u32> = scene.engines.iter().map(total).collect();
    assert!(totals.iter().all(|total| *total <= 2 * 16), "{totals:?}");
}

fn noise(seed: u64) -> f64 {
    (id::number_key(seed) >> 11) as f64 / (1u64 << 53) as f64
}

/// Streams of one instance would meet the long prompts of another.
#[test]
fn instances_with_slightly_different_speeds_agree_on_the_lanes() {
    let mut expected = None;
    for instance in 0..20_u64 {
        let mut scene = Scene::new();
        let (roster, mut cache) = (roster(&scene.engines), CandidateCache::default());
        for round in 0..10_u64 {
            scene.set_speeds(|engine| {
                let seed = (instance * 10 + round) * 1000 + number(&engine.endpoint) as u64;
                let base = if is_slow(engine) { SLOW } else { FAST };
                speed(base * (0.85 + 0.3 * noise(seed)))
            });
            let candidates = cache.of(&"svc".into(), &roster, &scene.known.inputs());
            let quick = names(&candidates.quick);
            assert_eq!(*expected.get_or_insert_with(|| quick.clone()), quick, "instance {instance}, round {round}");
        }
    }
}

/// A class depends on the one before, so an instance that starts after a peak could keep another division than those that
/// have seen the peak. Their streams would meet the long prompts of the others until the next peak. The speeds are those of
/// one deployment: a step takes 6.08 ms and 0.0413 ms for each running request, times 0.55 at a quarter of the engines and
/// 1.2 at the others.
#[test]
fn an_instance_that_starts_after_a_peak_agrees_on_the_lanes() {
    for running in [0.0, 3.0, 6.0, 10.0, 14.0] {
        let mut scene = Scene::new();
        let at = |running: f64| {
            move |engine: &Registration| {
                let factor = if is_slow(engine) { 0.55 } else { 1.2 };
                let token_time = Duration::from_secs_f64((6.08 + 0.0413 * running) * factor / 1000.0);
                EngineSpeed { token_time, prefill_speed: 110.0 / factor, ..speed(1.0) }
            }
        };
        let roster = roster(&scene.engines);
        let quick = |scene: &Scene, cache: &mut CandidateCache| {
            names(&cache.of(&"svc".into(), &roster, &scene.known.inputs()).quick)
        };
        let [mut before, mut after] = [CandidateCache::default(), CandidateCache::default()];
        scene.set_speeds(at(16.0));
        quick(&scene, &mut before);
        scene.set_speeds(at(running));
        assert_eq!(quick(&scene, &mut before), quick(&scene, &mut after), "{running} requests running");
    }
}

/// An engine near a limit would change its lane with each sample. `seen` are the classes while a third of the engines has
/// these speeds one after the other.
fn check_classes<const N: usize>(gap_margin: f64, speeds: [f64; N], seen: [bool; N]) {
    let mut scene = Scene::new();
    scene.known.policy.timing.gap_margin = gap_margin;
    let (roster, mut cache) = (roster(&scene.engines), CandidateCache::default());
    let mut is_quick = |relative: f64| {
        scene.set_speeds(|engine| speed(if number(&engine.endpoint) < 30 { relative } else { 1.0 }));
        let candidates = cache.of(&"svc".into(), &roster, &scene.known.inputs());
        candidates.quick.endpoints.iter().any(|engine| number(&engine.endpoint) < 30)
    };
    assert_eq!(speeds.map(&mut is_quick), seen);
}

#[test]
fn an_engine_near_the_limit_keeps_its_class() {
    let speeds = [0.78, 0.72, 0.78, 0.72, 0.82, 0.9, 0.78];
    check_classes(1.5, speeds, [true, false, false, false, false, true, true]);
}

#[test]
fn an_engine_near_the_gap_target_keeps_its_class() {
    check_classes(3.0, [0.85, 0.8, 0.85, 0.9, 0.95, 0.85], [true, false, false, false, true, true]);
}

/// Without figures, nothing tells a slow engine from a new one.
#[test]
fn engines_of_unknown_speed_are_not_slow() {
    let mut scene = Scene::new();
    let before = names(&scene.candidates().quick);
    scene.set_speeds(|engine| EngineSpeed { samples: 0, ..speed(if is_slow(engine) { SLOW } else { FAST }) });
    let unknown = names(&scene.candidates().quick);
    assert_ne!(unknown, before);
    scene.known.contention = Contention::default();
    assert_eq!(names(&scene.candidates().quick), unknown, "the division of services that aren't contended");
    assert!(scene.choices("/chat/", 50).iter().all(|choice| choice.predicted.is_none()));
}

#[test]
fn without_timing_the_division_ignores_speeds() {
    let mut scene = Scene::new();
    scene.known.policy.contention.timing = false;
    let disabled = names(&scene.candidates().quick);
    scene.known.policy.contention.timing = true;
    scene.known.contention = Contention::default();
    assert_eq!(names(&scene.candidates().quick), disabled);
    assert!(scene.candidates().quick.endpoints.iter().any(|engine| is_slow(engine)));
}

/// Without the condition of engines, predictions would be based on the assumed initial speeds.
#[test]
fn without_timing_or_condition_nothing_is_predicted() {
    for (condition, timing) in [(false, true), (true, false), (false, false)] {
        let mut scene = Scene::new();
        scene.known.policy.contention.condition = condition;
        scene.known.policy.contention.timing = timing;
        let quick = names(&scene.candidates().quick);
        assert!(scene.choices("/chat/", 50).iter().all(|choice| choice.predicted.is_none()));
        scene.known.contention = Contention::default();
        assert_eq!(names(&scene.candidates().quick), quick, "condition {condition}, timing {timing}");
    }
}

macro_rules! given_up {
    ($($(#[$meta:meta])* $name:ident: other $other:literal, predicted $predicted:literal, after $elapsed:literal => $expected:literal;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let [other, predicted, elapsed] = [$other, $predicted, $elapsed].map(Duration::from_millis);
            assert_eq!(is_sooner(other, predicted, elapsed), $expected);
        })*
    };
}

given_up! {
    a_request_that_is_not_due_yet_is_not_given_up_for_a_later_one: other 500, predicted 1500, after 1200 => false;
    a_request_that_is_not_due_yet_is_given_up_for_a_sooner_one: other 200, predicted 1500, after 1200 => true;
    a_request_that_is_due_is_not_given_up: other 100, predicted 1250, after 1200 => false;
    /// A request at an engine that hangs would otherwise wait until its deadline.
    a_request_that_is_long_overdue_is_given_up: other 400, predicted 100, after 1200 => true;
}

/// Engines that are alike gain nothing by predicted times, and the quick lane would be lent to long prompts.
#[test]
fn services_without_reported_paces_are_not_timed() {
    let mut scene = Scene::new();
    scene.known.contention = Contention::new(true);
    assert!(scene.choices("/chat/", 50).iter().all(|choice| choice.predicted.is_none()));
}
