//! Candidate endpoints, and the ranking of engines for a session, which has to be consistent across instances and even.

mod support;

use std::{collections::BTreeMap, time::Duration};

use rudder_core::{Phase, Registration, limits::LimitKind};
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

fn top_ranked(engines: &[Registration], session: u64, skipped: &str) -> Vec<EndpointId> {
    let candidates = Candidates::new(roster(engines).of("svc"), "svc", &Known::default().inputs());
    let ranked = candidates.bulk.top_ranked::<2>(session, |engine| *engine.endpoint == *skipped);
    ranked.iter().map(|engine| engine.endpoint.clone()).collect()
}

#[test]
fn the_ranking_does_not_depend_on_the_order_of_engines() {
    let mut engines = engines(40);
    let before = top_ranked(&engines, 77, "");
    engines.reverse();
    assert_eq!(top_ranked(&engines, 77, ""), before);
    assert_eq!(before.len(), 2);
}

#[test]
fn only_the_sessions_of_a_removed_engine_move() {
    let engines = engines(40);
    for session in 0..200 {
        let before = top_ranked(&engines, session, "");
        let lost = before[0].clone();
        let rest: Vec<Registration> = engines.iter().filter(|engine| engine.endpoint != lost).cloned().collect();
        assert_eq!(top_ranked(&rest, session, "")[0], before[1], "the second engine takes over");
        assert_eq!(top_ranked(&engines, session, &lost)[0], before[1], "the same if the first engine is skipped");
        let other =
            engines.iter().find(|engine| !before.contains(&engine.endpoint)).expect("another engine").endpoint.clone();
        let rest: Vec<Registration> = engines.iter().filter(|engine| engine.endpoint != other).cloned().collect();
        assert_eq!(top_ranked(&rest, session, ""), before);
    }
}

#[test]
fn sessions_are_spread_evenly() {
    let engines = engines(20);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for session in 0..4_000 {
        *counts.entry(top_ranked(&engines, session, "")[0].clone()).or_default() += 1;
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), 20);
    assert!(least > Some(&140) && most < Some(&260), "200 on average: {least:?} to {most:?}");
}

#[test]
fn candidates_are_recomputed_when_an_ejection_ends() {
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
fn unhealthy_endpoints_are_the_fallback() {
    let mut known = Known::default();
    let mut engines = engines(3);
    engines[0].phase = Phase::Silent;
    engines[1].phase = Phase::Leaving;
    known.health.note(&"e-2".into(), Outcome::Unreachable, known.now);
    let candidates = Candidates::new(roster(&engines).of("svc"), "svc", &known.inputs());
    let names: Vec<&str> = candidates.fallback.endpoints.iter().map(|engine| &*engine.endpoint).collect();
    assert!(candidates.bulk.endpoints.is_empty() && candidates.quick.endpoints.is_empty());
    assert_eq!(names, ["e-0", "e-2"]);
}

/// A backed off endpoint returns when its backoff ends, and is not a fallback before.
#[test]
fn candidates_exclude_backed_off_and_draining_endpoints() {
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

/// After a denial, an endpoint returns when permits may be requested again.
#[test]
fn candidates_exclude_endpoints_without_permits() {
    let (mut known, roster) = (Known::default(), roster(&engines(3)));
    let (mut candidate_cache, service, now) = (CandidateCache::default(), "svc".into(), known.now);
    let limit = LimitNotice::Limited(RequestRate::try_from_per_second(1.0).expect("a rate"));
    known.limits.record_answer(&"e-1".into(), LimitKind::Requests, limit, now, now);
    let mut count_after = |millis: u64, known: &mut Known| {
        known.now = now + Duration::from_millis(millis);
        candidate_cache.of(&service, &roster, &known.inputs()).bulk.endpoints.len()
    };
    assert_eq!(count_after(0, &mut known), 3);
    known.limits.record_denial("e-1", LimitKind::Requests, now + Duration::from_millis(300));
    assert_eq!(count_after(201, &mut known), 2);
    assert_eq!(count_after(299, &mut known), 2);
    assert_eq!(count_after(301, &mut known), 3);
}
