//! Which engines keep a session: the same at all instances, few others when engines come or leave, and evenly spread.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Phase, Registration};
use rudder_gateway::{
    Plan, Policy,
    backoff::Backoff,
    balance::Balance,
    choose::{Field, Fields, Inputs},
    health::{Health, Outcome},
    places::Places,
    ramp::Ramp,
    reading::Reading,
    roster::Roster,
};
use rudder_model::EndpointId;

fn engines(count: usize) -> Vec<Registration> {
    let engine = |number: usize| Registration {
        endpoint: format!("e-{number}").into(),
        born: None,
        service: "svc".into(),
        address: format!("10.0.0.{number}:80").into(),
        hall: format!("hall-{}", number % 3).as_str().into(),
        slots: 64,
        cheap: false,
        warming: false,
        standby: false,
        phase: Phase::Ready,
        sequence: 1,
    };
    (0..count).map(engine).collect()
}

struct Scene {
    balance: Balance,
    health: Health,
    backoff: Backoff,
    reading: Reading,
    places: Places,
    ramp: Ramp,
    plan: Plan,
    policy: Policy,
}

impl Default for Scene {
    fn default() -> Self {
        Scene {
            balance: Balance::default(),
            health: Health::default(),
            backoff: Backoff::default(),
            reading: Reading::default(),
            places: Places::default(),
            ramp: Ramp::new("me".into(), Moment::now()),
            plan: Plan::default(),
            policy: Policy::default(),
        }
    }
}

impl Scene {
    fn inputs<'a>(&'a self, hall: &'a rudder_model::HallId, now: Moment) -> Inputs<'a> {
        Inputs {
            balance: &self.balance,
            work_age: Duration::ZERO,
            health: &self.health,
            backoff: &self.backoff,
            reading: &self.reading,
            places: &self.places,
            ramp: &self.ramp,
            hall,
            plan: &self.plan,
            policy: &self.policy,
            now,
        }
    }
}

fn homes(engines: &[Registration], session: u64, skipped: &str) -> Vec<EndpointId> {
    let (scene, hall) = (Scene::default(), "hall-0".into());
    let field = Field::new(
        Roster::new(engines.iter().cloned().map(Arc::new)).of("svc"),
        "svc",
        &scene.inputs(&hall, Moment::now()),
    );
    let homes = field.bulk.homes::<2>(session, |held| *held.endpoint == *skipped);
    homes.iter().map(|home| home.endpoint.clone()).collect()
}

#[test]
fn all_instances_name_the_same_engines_whatever_the_order() {
    let mut engines = engines(40);
    let before = homes(&engines, 77, "");
    engines.reverse();
    assert_eq!(homes(&engines, 77, ""), before);
    assert_eq!(before.len(), 2);
}

#[test]
fn an_engine_that_leaves_moves_its_own_sessions_alone() {
    let engines = engines(40);
    for session in 0..200 {
        let before = homes(&engines, session, "");
        let lost = before[0].clone();
        let rest: Vec<Registration> = engines.iter().filter(|held| held.endpoint != lost).cloned().collect();
        assert_eq!(homes(&rest, session, "")[0], before[1], "the second takes over");
        assert_eq!(homes(&engines, session, &lost)[0], before[1], "as where the first must not be used");
        let other =
            engines.iter().find(|held| !before.contains(&held.endpoint)).expect("many are there").endpoint.clone();
        let rest: Vec<Registration> = engines.iter().filter(|held| held.endpoint != other).cloned().collect();
        assert_eq!(homes(&rest, session, ""), before);
    }
}

#[test]
fn sessions_are_spread_evenly() {
    let engines = engines(20);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for session in 0..4_000 {
        *counts.entry(homes(&engines, session, "")[0].clone()).or_default() += 1;
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), 20);
    assert!(least > Some(&140) && most < Some(&260), "200 in the mean: {least:?} to {most:?}");
}

#[test]
fn a_field_is_worked_out_anew_when_an_engine_may_come_back() {
    let (mut scene, hall) = (Scene::default(), "hall-0".into());
    let roster = Roster::new(engines(3).iter().cloned().map(Arc::new));
    let (mut fields, service, now) = (Fields::default(), "svc".into(), Moment::now());
    scene.health.note(&"e-1".into(), Outcome::Unreachable, now);
    let count = |fields: &mut Fields, scene: &Scene, at: Moment| {
        fields.of(&service, &roster, &scene.inputs(&hall, at)).bulk.endpoints.len()
    };
    assert_eq!(count(&mut fields, &scene, now), 2);
    assert_eq!(count(&mut fields, &scene, now + Duration::from_millis(499)), 2);
    assert_eq!(count(&mut fields, &scene, now + Duration::from_millis(501)), 3);
}

#[test]
fn where_none_is_well_the_doubtful_are_left() {
    let (mut scene, hall) = (Scene::default(), "hall-0".into());
    let mut engines = engines(3);
    engines[0].phase = Phase::Silent;
    engines[1].phase = Phase::Leaving;
    let now = Moment::now();
    scene.health.note(&"e-2".into(), Outcome::Unreachable, now);
    let field =
        Field::new(Roster::new(engines.iter().cloned().map(Arc::new)).of("svc"), "svc", &scene.inputs(&hall, now));
    let names: Vec<&str> = field.doubtful.endpoints.iter().map(|held| &*held.endpoint).collect();
    assert!(field.bulk.endpoints.is_empty() && field.quick.endpoints.is_empty());
    assert_eq!(names, ["e-0", "e-2"]);
}
