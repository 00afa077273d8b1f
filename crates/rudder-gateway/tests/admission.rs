//! Admission to contended services in the choice of an engine, by what the other instances report.

mod support;

use std::{collections::BTreeSet, time::Duration};

use rudder_core::{
    Registration,
    limits::{LimitKind, LimitReport},
    peer::{LEVELS, Load, LoadDetail},
};
use rudder_gateway::{
    Plan, Service,
    choose::{self, Candidates, Eligibility, Unavailable},
    contention::Contention,
    dialect::Prompt,
    loads::Work,
    plan::{Engine, Limits},
};
use rudder_model::{RequestRate, id};
use rudder_route::admission::{Demand, Reason};

use support::{Known, endpoint, roster, stream_route};

const URGENT: &str = "/chat/";
const LOWER: &str = "/drafts/";

fn plan() -> Plan {
    let mut plan = Plan::new(1, Limits::default());
    let engine = Some(Engine { slots: 64, memory: 300_000, copies: false, event_tokens: 5, move_speed: 0.0 });
    let service = Service { name: "svc".into(), connections: 100, engine, scaling: None, warm_up: None };
    plan.services.insert("svc".into(), service);
    for (tier, name) in ["chat", "drafts"].into_iter().enumerate() {
        let route = stream_route(name, 300, 200, tier as u8);
        plan.add_route(route).expect("a valid route");
    }
    plan
}

struct Scene {
    engines: Vec<Registration>,
    known: Known,
}

impl Scene {
    /// Four engines of a contended service, and a current report of the others' requests at each, by level.
    fn new(levels: [u32; LEVELS]) -> Scene {
        let engines: Vec<Registration> = (0..4).map(|number| endpoint(number, "a")).collect();
        let mut known = Known { plan: plan(), contention: Contention::new(true), ..Known::default() };
        let to_load = |engine: &Registration| {
            let detail = Some(Box::new(LoadDetail { levels, ..LoadDetail::default() }));
            Load { calls: levels.iter().sum(), detail, ..Load::none(id::endpoint_tag(&engine.endpoint)) }
        };
        known.loads.set_others(&engines.iter().map(to_load).collect::<Vec<_>>());
        known.now = known.now + Duration::from_secs(1);
        known.admission.record_report(known.now, 3, known.now);
        Scene { engines, known }
    }

    fn choose(&self, path: &str) -> Result<String, Unavailable> {
        self.choose_among(path, Eligibility::default())
    }

    fn choose_among(&self, path: &str, eligible: Eligibility) -> Result<String, Unavailable> {
        let (inputs, route) = (self.known.inputs(), self.known.plan.find("h", path).expect("a route"));
        let candidates = Candidates::new(roster(&self.engines).of("svc"), "svc", &inputs);
        let prompt = Prompt { tokens: 900, ..Prompt::default() };
        let chosen = choose::choose(&inputs, route, "svc", &candidates, Some(&prompt), eligible);
        chosen.map(|choice| choice.endpoint.to_string())
    }

    /// Updates the shares of the requests that yield, at an instance that has sent requests before.
    fn update_yielding(&mut self) {
        let Known { loads, admission, now, .. } = &mut self.known;
        admission.record_sent(&"svc".into(), &"e-0".into(), 1, true, *now);
        admission.options.settling = Duration::from_micros(1);
        admission.update_yielding(|service| loads.others_demand(service), *now);
    }

    /// The outcomes of an urgent request and of a lower one.
    fn outcomes(&self) -> [Option<Unavailable>; 2] {
        [URGENT, LOWER].map(|path| self.choose(path).err())
    }
}

macro_rules! rooms {
    ($($(#[$meta:meta])* $name:ident: $levels:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() { assert_eq!(Scene::new($levels).outcomes(), $expected); })*
    };
}

rooms! {
    /// This instance has no requests there itself, so a guess by its own mix would refuse the urgent ones.
    lower_requests_of_other_instances_leave_room_for_urgent_ones: [10, 90, 0, 0] => [None, Some(Unavailable::Full)];
    urgent_requests_of_other_instances_take_the_room: [64, 0, 0, 0] => [Some(Unavailable::Full); 2];
    requests_are_sent_while_there_is_room: [20, 20, 0, 0] => [None, None];
}

/// Each instance sees few refusals of its own, and would send lower requests for seconds while others refuse urgent ones.
#[test]
fn lower_requests_yield_to_urgent_ones_that_other_instances_refuse() {
    let mut scene = Scene::new([20, 20, 0, 0]);
    let demand = Demand { refused: [1, 0, 0, 0], ..Demand::default() };
    let service = Load::of_service(id::endpoint_tag("svc"), demand);
    scene.known.loads.set_others(std::slice::from_ref(&service));
    scene.update_yielding();
    assert_eq!(scene.outcomes(), [None, None], "the engines are idle");
    let busy = |engine: &Registration| Load { calls: 40, ..Load::none(id::endpoint_tag(&engine.endpoint)) };
    let loads: Vec<Load> = scene.engines.iter().map(busy).chain([service]).collect();
    scene.known.loads.set_others(&loads);
    assert_eq!(scene.outcomes(), [None, Some(Unavailable::Urgent)]);
    scene.known.policy.contention.admission = false;
    assert_eq!(scene.outcomes(), [None, None], "the mechanism is off");
}

/// A stream whose engine ends is continued elsewhere; refusing it would waste what was done and cut it at its caller.
#[test]
fn requests_that_have_run_do_not_yield() {
    let mut scene = Scene::new([20, 20, 0, 0]);
    scene.known.admission.record_refused(&"svc".into(), 0, Reason::Room, scene.known.now);
    scene.update_yielding();
    assert_eq!(scene.choose(LOWER), Err(Unavailable::Urgent));
    let again = Eligibility { may_have_run: true, ..Eligibility::default() };
    assert!(scene.choose_among(LOWER, again).is_ok());
}

/// Engines that name rate limits have free slots while urgent requests find no permit.
#[test]
fn engines_with_rate_limits_do_not_make_a_service_idle() {
    let mut scene = Scene::new([1, 1, 0, 0]);
    for engine in &scene.engines {
        let endpoint = id::endpoint_tag(&engine.endpoint);
        let report =
            LimitReport { endpoint, rate: RequestRate::try_from_per_second(4.0), age_ms: 0, kind: LimitKind::Requests };
        scene.known.limits.record_report(report, scene.known.now);
    }
    scene.known.admission.record_refused(&"svc".into(), 0, Reason::Blocked, scene.known.now);
    scene.update_yielding();
    assert_eq!(scene.outcomes(), [None, Some(Unavailable::Urgent)]);
}

/// A request must not be sent again to engines that have just rejected another one as full.
#[test]
fn engines_that_rejected_a_request_as_full_get_none_until_the_next_report() {
    let mut scene = Scene::new([20, 20, 0, 0]);
    for engine in &scene.engines[1..] {
        scene.known.admission.record_full(&engine.endpoint, scene.known.now);
    }
    for _ in 0..20 {
        assert_eq!(scene.choose(URGENT), Ok("e-0".into()));
    }
    scene.known.admission.record_full(&scene.engines[0].endpoint, scene.known.now);
    assert_eq!(scene.outcomes(), [Some(Unavailable::Full); 2]);
    scene.known.now = scene.known.now + Duration::from_millis(450);
    assert_eq!(scene.outcomes(), [None, None]);
}

/// An instance that is cut off, or that has just restarted, must not take the room of 400 others.
#[test]
fn without_current_reports_an_instance_sends_only_its_share() {
    let mut scene = Scene::new([0; LEVELS]);
    scene.known.admission.set_senders(400);
    scene.engines = (0..100).map(|number| endpoint(number, "a")).collect();
    let used = |scene: &Scene| (0..500).filter_map(|_| scene.choose(URGENT).ok()).collect::<BTreeSet<String>>().len();
    assert!(used(&scene) > 90, "the reports are current");
    scene.known.now = scene.known.now + Duration::from_secs(2);
    assert!((8..=24).contains(&used(&scene)), "one request at one of six engines");
    scene.known = Known { plan: plan(), contention: Contention::new(true), ..Known::default() };
    scene.known.admission.set_senders(400);
    assert!((8..=24).contains(&used(&scene)), "there are no reports yet");
}

/// An instance that is cut off while the engines are full must not refuse all requests until it is connected again.
#[test]
fn counts_and_refusals_that_others_reported_long_ago_do_not_count() {
    let mut scene = Scene::new([64, 0, 0, 0]);
    let loads = |engine: &Registration| {
        let detail = Some(Box::new(LoadDetail { levels: [64, 0, 0, 0], ..LoadDetail::default() }));
        Load { calls: 64, unread: 1_000_000, detail, ..Load::none(id::endpoint_tag(&engine.endpoint)) }
    };
    let demand = Demand { refused: [9, 0, 0, 0], ..Demand::default() };
    let service = Load::of_service(id::endpoint_tag("svc"), demand);
    scene.known.loads.set_others(&scene.engines.iter().map(loads).chain([service]).collect::<Vec<_>>());
    scene.known.admission.set_senders(4);
    scene.known.now = scene.known.now + Duration::from_secs(2);
    scene.known.loads.set_outdated(true);
    scene.update_yielding();
    assert_eq!(scene.outcomes(), [None, None]);
    assert_eq!(scene.known.loads.at("e-0"), Work::default());
    scene.known.loads.set_outdated(false);
    scene.known.now = scene.known.now + Duration::from_secs(1);
    scene.update_yielding();
    scene.known.admission.record_report(scene.known.now, 3, scene.known.now);
    assert_eq!(scene.outcomes(), [Some(Unavailable::Full), Some(Unavailable::Urgent)]);
}

/// Services that are not contended keep the last report of the other instances, as their loads have no details.
#[test]
fn old_reports_of_services_that_are_not_contended_still_count() {
    let mut known = Known::default();
    known.loads.set_others(&[Load { calls: 9, ended: 4, ..Load::none(id::endpoint_tag("e-0")) }]);
    known.loads.set_outdated(true);
    assert_eq!(known.loads.at("e-0").calls, 9);
    assert_eq!(known.loads.tally("e-0", known.now).ended, 4);
}

/// What an instance admits and refuses reaches the others, and is no longer sent once it is past.
#[test]
fn demand_is_reported_while_it_is_recent() {
    let mut scene = Scene::new([0; LEVELS]);
    let now = scene.known.now;
    scene.known.admission.record_sent(&"svc".into(), &"e-0".into(), 1, true, now);
    scene.known.admission.record_refused(&"svc".into(), 0, Reason::Room, now);
    let loads: Vec<Load> = scene.known.admission.to_loads(now).collect();
    scene.known.loads.set_others(&loads);
    let demand = scene.known.loads.others_demand("svc");
    assert_eq!(demand, Demand { admitted: [0, 1, 0, 0], refused: [1, 0, 0, 0] });
    assert_eq!(scene.known.admission.to_loads(now + Duration::from_secs(1)).count(), 0);
}

/// New requests would take the room of callers that were told to return, and those would be refused again.
#[test]
fn new_requests_leave_room_for_callers_that_are_due() {
    let mut scene = Scene::new([40, 0, 0, 0]);
    scene.known.admission.set_senders(4);
    let with = |reserved: f64| Eligibility { reserved, ..Eligibility::default() };
    assert!(scene.choose_among(URGENT, with(0.0)).is_ok());
    assert!(scene.choose_among(URGENT, with(10.0)).is_ok(), "10 due at each of 4 instances are 10 at each engine");
    assert_eq!(scene.choose_among(URGENT, with(30.0)), Err(Unavailable::Full));
}
