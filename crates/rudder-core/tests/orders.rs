//! Fenced orders: one leader's take effect, at one shared rate.

use std::time::Duration;

use rudder_core::{Effect, Event, Me, Options, State, event::Report};
use rudder_ledger::Change;
use rudder_model::{Endpoint, Object};
use rudder_replica::Durable;

const LOADS: Duration = Duration::from_secs(2);

/// One instance that is its own quorum, with `endpoints` that want something loaded.
struct Alone {
    state: State,
    now: Duration,
    orders: Vec<(Duration, String, (u64, u64), Duration)>,
    led: Duration,
    /// What every endpoint says it has loaded.
    loaded: &'static str,
}

impl Alone {
    fn new(endpoints: &[(&str, bool)]) -> Alone {
        let me = Me { name: "a".into(), hall: "h".into(), start: 1, address: "a".to_owned(), epoch: Duration::ZERO };
        let options = Options {
            seats: vec!["a".into()],
            founders: vec!["a".into()],
            nearest: vec!["h".into()],
            load_interval: LOADS,
            replica: rudder_replica::Options { voters: 1, ..Default::default() },
            ..Options::default()
        };
        let now = Duration::from_secs(1);
        let state = State::new(now, me, options, Some((1, Durable::default())));
        let mut alone = Alone { state, now, orders: Vec::new(), led: Duration::ZERO, loaded: "m:v1" };
        while alone.led.is_zero() {
            alone.tick();
        }
        for (name, checks) in endpoints {
            let endpoint = Endpoint {
                hall: "h".into(),
                address: "127.0.0.1:9".to_owned(),
                serves: vec!["m".into()],
                load: "m:v2".to_owned(),
                checks: *checks,
                ..Endpoint::default()
            };
            let object = Some(Object::Endpoint(endpoint));
            let kind = rudder_model::Kind::Endpoint;
            let change = Change { id: (*name).to_owned(), kind, name: (*name).to_owned(), replaces: 0, object };
            alone.give(Event::Admin { ticket: 1, change });
        }
        alone
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(50);
        self.give(Event::Tick);
        let leads = self.state.control.as_ref().is_some_and(|control| control.replica.leads(self.now));
        if leads && self.led.is_zero() {
            self.led = self.now;
        }
    }

    /// Saves are durable at once.
    fn give(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.reduce(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Save { number, .. } | Effect::SaveSnapshot { number, .. } => self.give(Event::Saved { number }),
                Effect::Poll { endpoint, .. } => {
                    let report = Report { loaded: self.loaded.to_owned(), ..Report::default() };
                    self.give(Event::Polled { endpoint, report: Some(report) });
                }
                Effect::Order { endpoint, fence, until, .. } => {
                    self.orders.push((self.now, endpoint.to_string(), fence, until));
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.tick();
        }
    }
}

#[test]
fn loads_share_one_rate_and_fences_rise() {
    let mut alone = Alone::new(&[("e1", true), ("e2", true), ("e3", true)]);
    alone.run(12);
    assert!(alone.orders.len() >= 3, "{:?}", alone.orders);
    for pair in alone.orders.windows(2) {
        assert!(pair[1].0 >= pair[0].0 + LOADS, "two loads within the interval: {pair:?}");
        assert!(pair[1].2 > pair[0].2, "a fence that does not rise: {pair:?}");
    }
}

#[test]
fn an_order_is_not_to_be_sent_after_the_lease() {
    let mut alone = Alone::new(&[("e1", true)]);
    alone.run(3);
    let (at, .., until) = alone.orders.first().expect("an order");
    assert!(until > at && *until <= *at + alone.state.options.order_timeout);
}

#[test]
fn a_new_leader_waits_out_the_one_before_where_fences_are_not_checked() {
    let mut alone = Alone::new(&[("unchecked", false)]);
    alone.run(10);
    let options = &alone.state.options;
    let wait = options.replica.lease + options.order_timeout;
    let (at, ..) = alone.orders.first().expect("an order");
    assert!(*at >= alone.led + wait, "ordered {:?} after it began to lead", at.saturating_sub(alone.led));
}

#[test]
fn an_endpoint_that_has_what_it_should_gets_no_order() {
    let mut alone = Alone::new(&[("e1", true)]);
    alone.run(3);
    assert_eq!(alone.orders.len(), 1);
    alone.loaded = "m:v2";
    alone.run(20);
    assert_eq!(alone.orders.len(), 1, "ordered again though it was loaded");
}
