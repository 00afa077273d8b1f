//! The policy, rule by rule.

use std::{sync::Arc, time::Duration};

use rudder_model::{EndpointId, Limits, Promise, RefusalCode, RequestId};
use rudder_route::{Decision, EndpointSpec, GrantOutcome, HeldGrant, Options, Pool, SlotRequest};

const MS: Duration = Duration::from_millis(1);

struct Bench {
    pool: Pool,
    now: Duration,
    names: Vec<EndpointId>,
}

impl Bench {
    fn new(endpoints: usize, slots: u32, options: Options) -> Bench {
        let names: Vec<EndpointId> = (0..endpoints).map(|index| format!("e{index}").into()).collect();
        let mut bench = Bench { pool: Pool::new(options), now: Duration::from_secs(100), names };
        bench.configure(slots, &[]);
        bench
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

    fn to_ask(&self, request: RequestId, class: &str, tier: u8) -> SlotRequest {
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

    fn ask(&mut self, ask: SlotRequest) -> Vec<Decision> {
        let mut out = Vec::new();
        self.pool.request_slot(self.now, ask, &mut out);
        out
    }

    fn end(&mut self, request: RequestId, ending: &GrantOutcome) -> Vec<Decision> {
        let mut out = Vec::new();
        self.pool.end(self.now, request, ending, &mut out);
        out
    }

    fn done(&mut self, request: RequestId) -> Vec<Decision> {
        let ending = GrantOutcome::Done { tokens: 10, first: MS * 100, total: MS * 1000 };
        self.end(request, &ending)
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
fn a_higher_tier_goes_first_and_preempts_only_downwards() {
    let mut bench = Bench::new(1, 1, Options::default());
    assert_eq!(granted(&bench.ask(bench.to_ask(1, "low", 2))), [1]);
    bench.ask(bench.to_ask(2, "low", 2));
    let out = bench.ask(bench.to_ask(3, "top", 0));
    assert!(matches!(out.as_slice(), [Decision::Recall { request: 1, cause: 3, .. }]), "{out:?}");
    assert_eq!(granted(&bench.end(1, &GrantOutcome::Preempted)), [3]);
    // What was preempted goes before its class's later arrivals, and the top tier is left alone.
    assert_eq!(granted(&bench.done(3)), [1]);
    assert!(bench.pool.promises.tested(Promise::TierOrder) > 0);
}

#[test]
fn what_may_not_be_repeated_or_resumed_is_never_preempted() {
    let mut bench = Bench::new(1, 1, Options::default());
    bench.ask(SlotRequest { once: true, ..bench.to_ask(1, "low", 2) });
    assert_eq!(bench.ask(bench.to_ask(2, "top", 0)), []);
    bench.done(1);
    bench.done(2);
    bench.ask(SlotRequest { resumable: false, ..bench.to_ask(3, "low", 2) });
    assert_eq!(bench.ask(bench.to_ask(4, "top", 0)), []);
}

#[test]
fn a_recall_without_effect_is_repeated() {
    let mut bench = Bench::new(1, 1, Options::default());
    bench.ask(bench.to_ask(1, "low", 2));
    bench.ask(bench.to_ask(2, "top", 0));
    let again = bench.tick(1500);
    assert!(again.iter().any(|decision| matches!(decision, Decision::Recall { request: 1, .. })), "{again:?}");
}

#[test]
fn a_class_that_waits_gets_its_trickle() {
    let mut bench = Bench::new(1, 1, Options { preempt: false, ..Options::default() });
    bench.ask(bench.to_ask(1, "top", 0));
    bench.ask(SlotRequest { patience: Duration::from_secs(1000), ..bench.to_ask(2, "low", 2) });
    let mut running = 1;
    for request in 10..60 {
        bench.ask(bench.to_ask(request, "top", 0));
        bench.now += MS * 10;
        let next = granted(&bench.done(running));
        assert_eq!(next.len(), 1);
        running = next[0];
        if running == 2 {
            return;
        }
    }
    panic!("the low class was never served");
}

#[test]
fn organisations_share_a_class_by_work() {
    let mut bench = Bench::new(1, 1, Options::default());
    let of = |bench: &Bench, request, org: &str| SlotRequest { org: org.into(), ..bench.to_ask(request, "c", 1) };
    bench.ask(of(&bench, 1, "large"));
    for request in 2..10 {
        bench.ask(of(&bench, request, "large"));
    }
    bench.ask(of(&bench, 20, "small"));
    // The small organisation does not wait for all of the large one's earlier requests.
    let second = granted(&bench.done(1));
    let third = granted(&bench.done(second[0]));
    assert!(second == [20] || third == [20], "{second:?} {third:?}");
}

#[test]
fn what_would_wait_past_its_patience_is_refused_at_once_with_a_time_to_come_back() {
    let mut bench = Bench::new(1, 1, Options::default());
    bench.ask(bench.to_ask(1, "c", 1));
    bench.now += Duration::from_secs(4);
    bench.done(1);
    for request in 2..6 {
        bench.ask(bench.to_ask(request, "c", 1));
    }
    let out = bench.ask(bench.to_ask(9, "c", 1));
    assert_eq!(refused(&out), [(9, RefusalCode::Overloaded)]);
    let Decision::Refuse { refusal, .. } = &out[0] else { panic!("{out:?}") };
    assert!(refusal.retry.is_some());
    // A higher tier does not see the lower tier's queue.
    assert_eq!(refused(&bench.ask(bench.to_ask(10, "top", 0))), []);
}

#[test]
fn limits_are_kept_for_each_organisation() {
    let mut bench = Bench::new(1, 8, Options::default());
    let limits = Limits { inflight: 1, ..Limits::default() };
    assert_eq!(granted(&bench.ask(SlotRequest { limits, ..bench.to_ask(1, "c", 1) })), [1]);
    assert_eq!(refused(&bench.ask(SlotRequest { limits, ..bench.to_ask(2, "c", 1) })), [(2, RefusalCode::Limited)]);
    assert_eq!(granted(&bench.ask(SlotRequest { limits, org: "other".into(), ..bench.to_ask(3, "c", 1) })), [3]);
    bench.done(1);
    assert_eq!(granted(&bench.ask(SlotRequest { limits, ..bench.to_ask(4, "c", 1) })), [4]);
    let rate = Limits { rate: 2, ..Limits::default() };
    let grants = (10..20).filter(|request| {
        !granted(&bench.ask(SlotRequest { limits: rate, class: "r".into(), ..bench.to_ask(*request, "r", 1) }))
            .is_empty()
    });
    assert_eq!(grants.count(), 2);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_and_keeps_what_runs() {
    let mut bench = Bench::new(2, 2, Options::default());
    for request in 1..=4 {
        bench.ask(bench.to_ask(request, "c", 1));
    }
    bench.ask(bench.to_ask(5, "c", 1));
    bench.configure(2, &[0]);
    let at_leaving: Vec<RequestId> = (1..=4).filter(|request| bench.pool.place_of(*request) == Some("e0")).collect();
    assert_eq!(at_leaving.len(), 2);
    assert_eq!(granted(&bench.done(at_leaving[0])), []);
    let other = (1..=4).find(|request| bench.pool.place_of(*request) == Some("e1")).expect("one runs there");
    assert_eq!(granted(&bench.done(other)), [5]);
}

#[test]
fn an_unreachable_endpoint_is_ejected_at_once_and_probed_later() {
    let mut bench = Bench::new(2, 4, Options::default());
    bench.ask(bench.to_ask(1, "c", 1));
    let first = bench.pool.place_of(1).expect("granted").to_owned();
    let out = bench.end(1, &GrantOutcome::Failed { retryable: true, unsent: true, retry_after: None });
    assert!(out.iter().any(|decision| matches!(decision, Decision::Eject { why: "unreachable", .. })), "{out:?}");
    assert_ne!(bench.pool.place_of(1), Some(first.as_str()));
    for request in 2..6 {
        bench.ask(bench.to_ask(request, "c", 1));
        assert_ne!(bench.pool.place_of(request), Some(first.as_str()));
    }
    bench.tick(6000);
    assert_eq!(bench.pool.place_of(5), Some(first.as_str()), "one probe goes there");
    let mut out = Vec::new();
    bench.pool.first_token(5, MS * 50, &mut out);
    assert!(out.iter().any(|decision| matches!(decision, Decision::Restore { .. })), "{out:?}");
}

/// A rest is the endpoint's own word, and kept also where nothing is ejected.
#[test]
fn an_endpoint_that_asks_for_rest_gets_nothing_until_it_is_over() {
    let mut bench = Bench::new(2, 4, Options { eject: false, ..Options::default() });
    bench.ask(bench.to_ask(1, "c", 1));
    let resting = bench.pool.place_of(1).expect("granted").to_owned();
    bench.end(1, &GrantOutcome::Failed { retryable: true, unsent: false, retry_after: Some(MS * 3000) });
    assert_ne!(bench.pool.place_of(1), Some(resting.as_str()));
    for request in 2..8 {
        bench.ask(bench.to_ask(request, "c", 1));
        assert_ne!(bench.pool.place_of(request), Some(resting.as_str()));
    }
    bench.tick(2900);
    assert!((1..8).all(|request| bench.pool.place_of(request) != Some(resting.as_str())));
    bench.tick(200);
    assert!((1..8).any(|request| bench.pool.place_of(request) == Some(resting.as_str())), "it takes work again");
}

#[test]
fn suspicion_alone_never_ejects_more_than_the_ceiling() {
    let mut bench = Bench::new(4, 4, Options::default());
    let mut ejected = 0;
    for request in 1..60 {
        bench.ask(bench.to_ask(request, "c", 1));
        let out = bench.end(request, &GrantOutcome::Failed { retryable: false, unsent: false, retry_after: None });
        ejected += out.iter().filter(|decision| matches!(decision, Decision::Eject { .. })).count();
    }
    assert_eq!(ejected, 2, "half of four");
}

#[test]
fn retries_are_a_share_of_the_traffic() {
    let mut bench = Bench::new(3, 100, Options { eject: false, ..Options::default() });
    let retried = (1..200).filter(|request| {
        bench.ask(bench.to_ask(*request, "c", 1));
        let out = bench.end(*request, &GrantOutcome::Failed { retryable: true, unsent: false, retry_after: None });
        let again = !granted(&out).is_empty();
        bench.done(*request);
        again
    });
    let count = retried.count();
    assert!((20..=32).contains(&count), "{count} retries for 199 requests and a budget of 10% after 10");
}

#[test]
fn a_new_home_learns_what_runs_from_its_entries() {
    let mut bench = Bench::new(1, 2, Options::default());
    let holding = HeldGrant { request: bench.to_ask(1, "c", 1), endpoint: "e0".into() };
    let mut out = Vec::new();
    bench.pool.sync(bench.now, &"entry".into(), vec![holding], &mut out);
    assert_eq!(granted(&bench.ask(bench.to_ask(2, "c", 1))), [2]);
    assert_eq!(granted(&bench.ask(bench.to_ask(3, "c", 1))), []);
    // A grant that its entry does not report for a while is free again.
    bench.now += Duration::from_secs(3);
    let mut out = Vec::new();
    bench.pool.sync(bench.now, &"entry".into(), Vec::new(), &mut out);
    assert_eq!(granted(&out), [3]);
}

#[test]
fn asking_again_repeats_a_lost_grant() {
    let mut bench = Bench::new(1, 1, Options::default());
    assert_eq!(granted(&bench.ask(bench.to_ask(1, "c", 1))), [1]);
    assert_eq!(granted(&bench.ask(bench.to_ask(1, "c", 1))), [1]);
    assert_eq!(bench.pool.running(), 1);
}

#[test]
fn a_held_prefix_attracts_until_load_outweighs_it() {
    let mut bench = Bench::new(2, 8, Options::default());
    let with = |bench: &Bench, request| SlotRequest { prefix: 42, ..bench.to_ask(request, "c", 1) };
    bench.ask(with(&bench, 1));
    let home = bench.pool.place_of(1).expect("granted").to_owned();
    bench.done(1);
    let places: Vec<bool> = (2..10)
        .map(|request| {
            bench.ask(with(&bench, request));
            bench.pool.place_of(request) == Some(home.as_str())
        })
        .collect();
    assert_eq!(places[..2], [true, true]);
    assert!(places.contains(&false), "load beats affinity past a bound");
    bench.pool.on_evicted(&home, None);
    assert!(bench.pool.endpoint(&home).is_some());
}
