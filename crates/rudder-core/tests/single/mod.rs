//! A single instance that forms a quorum by itself. Saves are durable at once, and time is virtual.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::time::Duration;

use rudder_core::{Effect, Event, Me, Options, State, Verdict, event::Report};
use rudder_ledger::Change;
use rudder_model::{Endpoint, Object, RequestId};
use rudder_replica::Durable;

pub const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// An order and the time at which it was issued.
#[derive(Debug)]
pub struct Order {
    pub at: Duration,
    pub fence: (u64, u64),
    pub until: Duration,
}

pub struct SingleInstance {
    pub state: State,
    pub now: Duration,
    pub verdicts: Vec<(RequestId, Verdict)>,
    pub orders: Vec<Order>,
    /// Start of its leadership.
    pub leader_since: Duration,
    /// What every endpoint reports as loaded.
    pub loaded: &'static str,
}

impl SingleInstance {
    /// Creates an instance and runs it until it leads.
    pub fn new() -> SingleInstance {
        let me =
            Me { name: "a".into(), hall: "h".into(), start: 1, address: Some("a".to_owned()), epoch: Duration::ZERO };
        let options = Options {
            seeds: vec!["a".into()],
            founders: vec!["a".into()],
            nearest: vec!["h".into()],
            load_interval: LOAD_INTERVAL,
            replica: rudder_replica::Options { voters: 1, ..Default::default() },
            ..Options::default()
        };
        let now = Duration::from_secs(1);
        let state = State::new(now, me, options, Some((1, Durable::default())));
        let mut instance = SingleInstance {
            state,
            now,
            verdicts: Vec::new(),
            orders: Vec::new(),
            leader_since: Duration::ZERO,
            loaded: "m:v1",
        };
        while instance.leader_since.is_zero() {
            instance.tick();
        }
        instance
    }

    pub fn put(&mut self, name: &str, object: Object) {
        let (kind, name) = (object.kind(), name.to_owned());
        let change = Change { id: name.clone(), kind, name, replaces: 0, object: Some(object) };
        self.send_event(Event::Admin { ticket: 1, change });
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(50);
        self.send_event(Event::Tick);
        let leads = self.state.control.as_ref().is_some_and(|control| control.replica.leads(self.now));
        if leads && self.leader_since.is_zero() {
            self.leader_since = self.now;
        }
    }

    pub fn send_event(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.reduce(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Save { number, .. } | Effect::SaveSnapshot { number, .. } => {
                    self.send_event(Event::Saved { number });
                }
                Effect::Verdict { request, verdict } => self.verdicts.push((request, verdict)),
                Effect::Poll { endpoint, .. } => {
                    let report = Report { loaded: self.loaded.to_owned(), ..Report::default() };
                    self.send_event(Event::Polled { endpoint, report: Some(report) });
                }
                Effect::Order { fence, until, .. } => self.orders.push(Order { at: self.now, fence, until }),
                _ => {}
            }
        }
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.tick();
        }
    }
}

/// An engine of the only hall; nothing listens at its address.
pub fn engine() -> Endpoint {
    Endpoint { hall: "h".into(), address: "127.0.0.1:9".to_owned(), serves: vec!["m".into()], ..Endpoint::default() }
}
