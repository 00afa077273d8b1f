//! The rules of the routing policy, each on a small pool.

use std::{sync::Arc, time::Duration};

use rudder_model::{EndpointId, Limits, Promise, RefusalCode, RequestId};
use rudder_route::{Decision, EndpointSpec, GrantOutcome, HeldGrant, Options, Pool, SlotRequest};

const MS: Duration = Duration::from_millis(1);

struct Fixture {
    pool: Pool,
    now: Duration,
    names: Vec<EndpointId>,
}

impl Fixture {
    fn new(endpoints: usize, slots: u32, options: Options) -> Fixture {
        let names: Vec<EndpointId> = (0..endpoints).map(|index| format!("e{index}").into()).collect();
        let mut fixture = Fixture { pool: Pool::new(options), now: Duration::from_secs(100), names };
        fixture.configure(slots, &[]);
        fixture
    }

    fn configure(&mut self, slots: u32, leaving: &[usize]) {
        let spec = |(index, id): (usize, &EndpointId)| EndpointSpec {
            id: id.clone(),
            slots,
            engine: true,
            leaving: leaving.contains(&index),
        };
        let specs: Vec<EndpointSpec> = self.names.iter().enumerate().map(spec).collect();
        self.pool.configure(&specs);
    }

    fn slot_request(&self, request: RequestId, class: &str, tier: u8) -> SlotRequest {
        SlotRequest {
            id: request,
            entry: "entry".into(),
            class: class.into(),
            tier,
            org: "org".into(),
            model: "m".into(),
            limits: Limits::default(),
            prefix: 0,
            once: false,
            resumable: true,
            slack: Duration::from_secs(5),
            patience: Duration::from_secs(10),
            reach: Arc::from(self.names.clone()),
        }
    }

    fn request_slot(&mut self, request: SlotRequest) -> Vec<Decision> {
        let mut out = Vec::new();
        self.pool.request_slot(self.now, request, &mut out);
        out
    }

    fn end(&mut self, request: RequestId, outcome: &GrantOutcome) -> Vec<Decision> {
        let mut out = Vec::new();
        self.pool.end(self.now, request, outcome, &mut out);
        out
    }

    fn done(&mut self, request: RequestId) -> Vec<Decision> {
        let outcome = GrantOutcome::Done { tokens: 10, first: MS * 100, total: MS * 1000 };
        self.end(request, &outcome)
    }

    fn tick(&mut self, millis: u32) -> Vec<Decision> {
        self.now += MS * millis;
        let mut out = Vec::new();
        self.pool.tick(self.now, &mut out);
        out
    }
}

fn granted(decisions: &[Decision]) -> Vec<RequestId> {
    let grants = decisions.iter().filter_map(|decision| match decision {
        Decision::Grant { request, .. } => Some(*request),
        _ => None,
    });
    grants.collect()
}

fn refused(decisions: &[Decision]) -> Vec<(RequestId, RefusalCode)> {
    let refusals = decisions.iter().filter_map(|decision| match decision {
        Decision::Refuse { request, refusal, .. } => Some((*request, refusal.code)),
        _ => None,
    });
    refusals.collect()
}

#[test]
fn a_higher_tier_goes_first_and_preempts_only_lower_tiers() {
    let mut fixture = Fixture::new(1, 1, Options::default());
    assert_eq!(granted(&fixture.request_slot(fixture.slot_request(1, "low", 2))), [1]);
    fixture.request_slot(fixture.slot_request(2, "low", 2));
    let out = fixture.request_slot(fixture.slot_request(3, "top", 0));
    assert!(matches!(out.as_slice(), [Decision::Recall { request: 1, cause: 3, .. }]), "{out:?}");
    assert_eq!(granted(&fixture.end(1, &GrantOutcome::Preempted)), [3]);
    // The preempted request is served before later arrivals of its class.
    assert_eq!(granted(&fixture.done(3)), [1]);
    assert!(fixture.pool.promises.tested(Promise::TierOrder) > 0);
}

#[test]
fn once_and_non_resumable_requests_are_never_preempted() {
    let mut fixture = Fixture::new(1, 1, Options::default());
    fixture.request_slot(SlotRequest { once: true, ..fixture.slot_request(1, "low", 2) });
    assert_eq!(fixture.request_slot(fixture.slot_request(2, "top", 0)), []);
    fixture.done(1);
    fixture.done(2);
    fixture.request_slot(SlotRequest { resumable: false, ..fixture.slot_request(3, "low", 2) });
    assert_eq!(fixture.request_slot(fixture.slot_request(4, "top", 0)), []);
}

#[test]
fn a_recall_without_effect_is_repeated() {
    let mut fixture = Fixture::new(1, 1, Options::default());
    fixture.request_slot(fixture.slot_request(1, "low", 2));
    fixture.request_slot(fixture.slot_request(2, "top", 0));
    let again = fixture.tick(1500);
    assert!(again.iter().any(|decision| matches!(decision, Decision::Recall { request: 1, .. })), "{again:?}");
}

#[test]
fn a_class_passed_over_too_often_is_served() {
    let mut fixture = Fixture::new(1, 1, Options { preempt: false, ..Options::default() });
    fixture.request_slot(fixture.slot_request(1, "top", 0));
    fixture.request_slot(SlotRequest { patience: Duration::from_secs(1000), ..fixture.slot_request(2, "low", 2) });
    let mut running = 1;
    for request in 10..60 {
        fixture.request_slot(fixture.slot_request(request, "top", 0));
        fixture.now += MS * 10;
        let next = granted(&fixture.done(running));
        assert_eq!(next.len(), 1);
        running = next[0];
        if running == 2 {
            return;
        }
    }
    panic!("the low class was never served");
}

#[test]
fn organisations_share_a_class_fairly() {
    let mut fixture = Fixture::new(1, 1, Options::default());
    let from_org = |fixture: &Fixture, request, org: &str| SlotRequest {
        org: org.into(),
        ..fixture.slot_request(request, "c", 1)
    };
    fixture.request_slot(from_org(&fixture, 1, "large"));
    for request in 2..10 {
        fixture.request_slot(from_org(&fixture, request, "large"));
    }
    fixture.request_slot(from_org(&fixture, 20, "small"));
    // The small organisation does not wait for all earlier requests of the large one.
    let second = granted(&fixture.done(1));
    let third = granted(&fixture.done(second[0]));
    assert!(second == [20] || third == [20], "{second:?} {third:?}");
}

#[test]
fn requests_expected_to_exceed_their_patience_are_refused_with_a_retry_delay() {
    let mut fixture = Fixture::new(1, 1, Options::default());
    fixture.request_slot(fixture.slot_request(1, "c", 1));
    fixture.now += Duration::from_secs(4);
    fixture.done(1);
    for request in 2..6 {
        fixture.request_slot(fixture.slot_request(request, "c", 1));
    }
    let out = fixture.request_slot(fixture.slot_request(9, "c", 1));
    assert_eq!(refused(&out), [(9, RefusalCode::Overloaded)]);
    let Decision::Refuse { refusal, .. } = &out[0] else { panic!("{out:?}") };
    assert!(refusal.retry.is_some());
    // Queued requests of a lower tier do not count for a higher one.
    assert_eq!(refused(&fixture.request_slot(fixture.slot_request(10, "top", 0))), []);
}

#[test]
fn limits_are_enforced_for_each_organisation() {
    let mut fixture = Fixture::new(1, 8, Options::default());
    let limits = Limits { inflight: 1, ..Limits::default() };
    assert_eq!(granted(&fixture.request_slot(SlotRequest { limits, ..fixture.slot_request(1, "c", 1) })), [1]);
    assert_eq!(
        refused(&fixture.request_slot(SlotRequest { limits, ..fixture.slot_request(2, "c", 1) })),
        [(2, RefusalCode::Limited)]
    );
    assert_eq!(
        granted(&fixture.request_slot(SlotRequest { limits, org: "other".into(), ..fixture.slot_request(3, "c", 1) })),
        [3]
    );
    fixture.done(1);
    assert_eq!(granted(&fixture.request_slot(SlotRequest { limits, ..fixture.slot_request(4, "c", 1) })), [4]);
    let rate = Limits { rate: 2, ..Limits::default() };
    let grants = (10..20).filter(|request| {
        !granted(&fixture.request_slot(SlotRequest {
            limits: rate,
            class: "r".into(),
            ..fixture.slot_request(*request, "r", 1)
        }))
        .is_empty()
    });
    assert_eq!(grants.count(), 2);
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests_and_keeps_its_running_ones() {
    let mut fixture = Fixture::new(2, 2, Options::default());
    for request in 1..=4 {
        fixture.request_slot(fixture.slot_request(request, "c", 1));
    }
    fixture.request_slot(fixture.slot_request(5, "c", 1));
    fixture.configure(2, &[0]);
    let at_leaving: Vec<RequestId> =
        (1..=4).filter(|request| fixture.pool.endpoint_of(*request) == Some("e0")).collect();
    assert_eq!(at_leaving.len(), 2);
    assert_eq!(granted(&fixture.done(at_leaving[0])), []);
    let other = (1..=4).find(|request| fixture.pool.endpoint_of(*request) == Some("e1")).expect("one runs there");
    assert_eq!(granted(&fixture.done(other)), [5]);
}

#[test]
fn an_unreachable_endpoint_is_ejected_at_once_and_probed_later() {
    let mut fixture = Fixture::new(2, 4, Options::default());
    fixture.request_slot(fixture.slot_request(1, "c", 1));
    let first = fixture.pool.endpoint_of(1).expect("granted").to_owned();
    let out = fixture.end(1, &GrantOutcome::Failed { retryable: true, unsent: true, retry_after: None });
    assert!(out.iter().any(|decision| matches!(decision, Decision::Eject { why: "unreachable", .. })), "{out:?}");
    assert_ne!(fixture.pool.endpoint_of(1), Some(first.as_str()));
    for request in 2..6 {
        fixture.request_slot(fixture.slot_request(request, "c", 1));
        assert_ne!(fixture.pool.endpoint_of(request), Some(first.as_str()));
    }
    fixture.tick(6000);
    assert_eq!(fixture.pool.endpoint_of(5), Some(first.as_str()), "one probe goes there");
    let mut out = Vec::new();
    fixture.pool.first_token(5, MS * 50, &mut out);
    assert!(out.iter().any(|decision| matches!(decision, Decision::Restore { .. })), "{out:?}");
}

/// The backoff that an endpoint asks for is also observed while ejection is disabled.
#[test]
fn an_endpoint_in_backoff_gets_no_requests() {
    let mut fixture = Fixture::new(2, 4, Options { eject: false, ..Options::default() });
    fixture.request_slot(fixture.slot_request(1, "c", 1));
    let backing_off = fixture.pool.endpoint_of(1).expect("granted").to_owned();
    fixture.end(1, &GrantOutcome::Failed { retryable: true, unsent: false, retry_after: Some(MS * 3000) });
    assert_ne!(fixture.pool.endpoint_of(1), Some(backing_off.as_str()));
    for request in 2..8 {
        fixture.request_slot(fixture.slot_request(request, "c", 1));
        assert_ne!(fixture.pool.endpoint_of(request), Some(backing_off.as_str()));
    }
    fixture.tick(2900);
    assert!((1..8).all(|request| fixture.pool.endpoint_of(request) != Some(backing_off.as_str())));
    fixture.tick(200);
    assert!(
        (1..8).any(|request| fixture.pool.endpoint_of(request) == Some(backing_off.as_str())),
        "it gets requests again"
    );
}

#[test]
fn failures_never_eject_more_than_the_largest_share() {
    let mut fixture = Fixture::new(4, 4, Options::default());
    let mut ejected = 0;
    for request in 1..60 {
        fixture.request_slot(fixture.slot_request(request, "c", 1));
        let out = fixture.end(request, &GrantOutcome::Failed { retryable: false, unsent: false, retry_after: None });
        ejected += out.iter().filter(|decision| matches!(decision, Decision::Eject { .. })).count();
    }
    assert_eq!(ejected, 2, "half of four endpoints");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut fixture = Fixture::new(3, 100, Options { eject: false, ..Options::default() });
    let retried = (1..200).filter(|request| {
        fixture.request_slot(fixture.slot_request(*request, "c", 1));
        let out = fixture.end(*request, &GrantOutcome::Failed { retryable: true, unsent: false, retry_after: None });
        let again = !granted(&out).is_empty();
        fixture.done(*request);
        again
    });
    let count = retried.count();
    assert!((20..=32).contains(&count), "{count} retries for 199 requests and a budget of 10% after 10");
}

#[test]
fn a_new_home_restores_grants_from_its_entries() {
    let mut fixture = Fixture::new(1, 2, Options::default());
    let grant = HeldGrant { request: fixture.slot_request(1, "c", 1), endpoint: "e0".into() };
    let mut out = Vec::new();
    fixture.pool.sync(fixture.now, &"entry".into(), vec![grant], &mut out);
    assert_eq!(granted(&fixture.request_slot(fixture.slot_request(2, "c", 1))), [2]);
    assert_eq!(granted(&fixture.request_slot(fixture.slot_request(3, "c", 1))), []);
    // A grant that its entry no longer reports is released.
    fixture.now += Duration::from_secs(3);
    let mut out = Vec::new();
    fixture.pool.sync(fixture.now, &"entry".into(), Vec::new(), &mut out);
    assert_eq!(granted(&out), [3]);
}

#[test]
fn a_repeated_request_gets_its_grant_again() {
    let mut fixture = Fixture::new(1, 1, Options::default());
    assert_eq!(granted(&fixture.request_slot(fixture.slot_request(1, "c", 1))), [1]);
    assert_eq!(granted(&fixture.request_slot(fixture.slot_request(1, "c", 1))), [1]);
    assert_eq!(fixture.pool.running(), 1);
}

#[test]
fn a_cached_prefix_attracts_requests_until_load_outweighs_it() {
    let mut fixture = Fixture::new(2, 8, Options::default());
    let with_prefix = |fixture: &Fixture, request| SlotRequest { prefix: 42, ..fixture.slot_request(request, "c", 1) };
    fixture.request_slot(with_prefix(&fixture, 1));
    let cached = fixture.pool.endpoint_of(1).expect("granted").to_owned();
    fixture.done(1);
    let at_cached: Vec<bool> = (2..10)
        .map(|request| {
            fixture.request_slot(with_prefix(&fixture, request));
            fixture.pool.endpoint_of(request) == Some(cached.as_str())
        })
        .collect();
    assert_eq!(at_cached[..2], [true, true]);
    assert!(at_cached.contains(&false), "load outweighs affinity at some point");
    fixture.pool.on_evicted(&cached, None);
    assert!(fixture.pool.endpoint(&cached).is_some());
}
