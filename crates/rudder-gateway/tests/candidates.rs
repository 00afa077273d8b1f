//! Which engines keep a session: the same at all instances, few others when engines come or leave, and evenly spread.

mod support;

use std::{collections::BTreeMap, time::Duration};

use rudder_core::{Phase, Registration};
use rudder_gateway::{
    choose::{CandidateCache, Candidates},
    dialect::LimitNotice,
    health::Outcome,
};
use rudder_model::{EndpointId, RequestRate};

use support::{Known, endpoint, roster};

fn engines(count: usize) -> Vec<Registration> {
    (0..count).map(|number| endpoint(number, &format!("hall-{}", number % 3))).collect()
}

fn homes(engines: &[Registration], session: u64, skipped: &str) -> Vec<EndpointId> {
    let candidates = Candidates::new(roster(engines).of("svc"), "svc", &Known::default().inputs());
    let homes = candidates.bulk.top_ranked::<2>(session, |held| *held.endpoint == *skipped);
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
    let (mut known, roster) = (Known::default(), roster(&engines(3)));
    let (mut candidate_cache, service, now) = (CandidateCache::default(), "svc".into(), known.now);
    known.health.note(&"e-1".into(), Outcome::Unreachable, now);
    let mut count_after = |millis: u64| {
        known.now = now + Duration::from_millis(millis);
        candidate_cache.of(&service, &roster, &known.inputs()).bulk.endpoints.len()
    };
    assert_eq!(count_after(0), 2);
    assert_eq!(count_after(499), 2);
    assert_eq!(count_after(501), 3);
}

#[test]
fn where_none_is_well_the_doubtful_are_left() {
    let mut known = Known::default();
    let mut engines = engines(3);
    engines[0].phase = Phase::Silent;
    engines[1].phase = Phase::Leaving;
    known.health.note(&"e-2".into(), Outcome::Unreachable, known.now);
    let candidates = Candidates::new(roster(&engines).of("svc"), "svc", &known.inputs());
    let names: Vec<&str> = candidates.fallback.endpoints.iter().map(|held| &*held.endpoint).collect();
    assert!(candidates.bulk.endpoints.is_empty() && candidates.quick.endpoints.is_empty());
    assert_eq!(names, ["e-0", "e-2"]);
}

/// One that rests comes back when its rest is over, and is not in the fallback lane meanwhile.
#[test]
fn a_field_has_none_that_rests_or_leaves() {
    let (mut known, roster) = (Known::default(), roster(&engines(3)));
    let (mut candidate_cache, service, now) = (CandidateCache::default(), "svc".into(), known.now);
    known.backoff.record_backoff(&"e-1".into(), Duration::from_millis(150), now);
    known.backoff.record_leaving(&"e-2".into(), now);
    let mut count_after = |millis: u64| {
        known.now = now + Duration::from_millis(millis);
        let candidates = candidate_cache.of(&service, &roster, &known.inputs());
        (candidates.bulk.endpoints.len() + candidates.quick.endpoints.len(), candidates.fallback.endpoints.len())
    };
    assert_eq!(count_after(0), (1, 0));
    assert_eq!(count_after(149), (1, 0));
    assert_eq!(count_after(151), (2, 0));
}

/// One whose rate limit is used up comes back when its holder may grant again.
#[test]
fn a_field_has_none_whose_limit_is_used_up() {
    let (mut known, roster) = (Known::default(), roster(&engines(3)));
    let (mut candidate_cache, service, now) = (CandidateCache::default(), "svc".into(), known.now);
    let limit = LimitNotice::Limited(RequestRate::try_from_per_second(1.0).expect("a rate"));
    known.limits.record_answer(&"e-1".into(), limit, now, now);
    let mut count_after = |millis: u64, known: &mut Known| {
        known.now = now + Duration::from_millis(millis);
        candidate_cache.of(&service, &roster, &known.inputs()).bulk.endpoints.len()
    };
    assert_eq!(count_after(0, &mut known), 3);
    known.limits.record_denial("e-1", now + Duration::from_millis(300));
    assert_eq!(count_after(201, &mut known), 2);
    assert_eq!(count_after(299, &mut known), 2);
    assert_eq!(count_after(301, &mut known), 3);
}
