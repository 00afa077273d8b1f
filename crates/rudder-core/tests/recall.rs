//! A request stopped for a higher tier: what its caller is told if it never goes on.

use std::time::Duration;

use rudder_core::{Arrival, Effect, Ended, Event, Me, Options, State, Verdict};
use rudder_ledger::Change;
use rudder_model::{Class, Endpoint, Object, Organisation, Ran, RequestId, Selector, id};
use rudder_replica::Durable;

/// One instance that is its own quorum, with one engine of one slot.
struct Alone {
    state: State,
    now: Duration,
    verdicts: Vec<(RequestId, Verdict)>,
}

impl Alone {
    fn new() -> Alone {
        let me = Me { name: "a".into(), hall: "h".into(), start: 1, address: "a".to_owned(), epoch: Duration::ZERO };
        let options = Options {
            seats: vec!["a".into()],
            founders: vec!["a".into()],
            nearest: vec!["h".into()],
            replica: rudder_replica::Options { voters: 1, ..Default::default() },
            ..Options::default()
        };
        let now = Duration::from_secs(1);
        let state = State::new(now, me, options, Some((1, Durable::default())));
        let mut alone = Alone { state, now, verdicts: Vec::new() };
        alone.run(4000);
        let patience = Duration::from_secs(5);
        let keys = vec![id::hex(&id::digest(b"key"))];
        let endpoint = Endpoint {
            hall: "h".into(),
            address: "127.0.0.1:9".to_owned(),
            serves: vec!["m".into()],
            slots: 1,
            ..Endpoint::default()
        };
        alone.put("top", Object::Class(Class { tier: 0, patience, ..Class::default() }));
        alone.put("low", Object::Class(Class { tier: 2, patience, ..Class::default() }));
        alone.put("org", Object::Organisation(Organisation { keys, ..Organisation::default() }));
        alone.put("all", Object::Selector(Selector::default()));
        alone.put("engine", Object::Endpoint(endpoint));
        alone.run(2000);
        alone
    }

    fn put(&mut self, name: &str, object: Object) {
        let (kind, name) = (object.kind(), name.to_owned());
        let change = Change { id: name.clone(), kind, name, replaces: 0, object: Some(object) };
        self.give(Event::Admin { ticket: 1, change });
    }

    fn give(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.state.reduce(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Save { number, .. } | Effect::SaveSnapshot { number, .. } => self.give(Event::Saved { number }),
                Effect::Verdict { request, verdict } => self.verdicts.push((request, verdict)),
                _ => {}
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.give(Event::Tick);
        }
    }

    fn call(&mut self, count: u64, class: &str) -> RequestId {
        let request = id::request_id(1, count);
        let arrival = Arrival {
            request,
            bearer: id::hex(&id::digest(b"key")),
            class: Some(class.into()),
            model: "m".into(),
            key: None,
            prompt: 1,
            prefix: 0,
            resumable: true,
            patience: None,
        };
        self.give(Event::Arrive(Box::new(arrival)));
        request
    }

    fn last(&self, of: RequestId) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(request, _)| *request == of).map(|(_, verdict)| verdict)
    }
}

#[test]
fn a_request_that_was_stopped_half_way_is_never_called_not_run() {
    let mut alone = Alone::new();
    let low = alone.call(1, "low");
    assert!(matches!(alone.last(low), Some(Verdict::Dispatch(_))), "{:?}", alone.verdicts);
    let top = alone.call(2, "top");
    assert!(matches!(alone.last(low), Some(Verdict::Recall)), "{:?}", alone.verdicts);
    alone.give(Event::Ended { request: low, ended: Ended::Recalled { produced: 3 } });
    assert!(matches!(alone.last(top), Some(Verdict::Dispatch(_))), "{:?}", alone.verdicts);
    // The top request holds the only slot past the low one's patience.
    alone.run(9000);
    let Some(Verdict::Refuse(refusal)) = alone.last(low) else { panic!("{:?}", alone.verdicts) };
    assert_eq!(refusal.ran, Ran::Yes, "{refusal:?}");
}

#[test]
fn a_request_that_was_stopped_goes_on_after_what_its_caller_has() {
    let mut alone = Alone::new();
    let low = alone.call(1, "low");
    let top = alone.call(2, "top");
    alone.give(Event::Ended { request: low, ended: Ended::Recalled { produced: 3 } });
    let (first, total) = (Duration::from_millis(100), Duration::from_secs(1));
    alone.give(Event::Ended { request: top, ended: Ended::Done { tokens: 9, first, total, stored: None } });
    let Some(Verdict::Dispatch(dispatch)) = alone.last(low) else { panic!("{:?}", alone.verdicts) };
    assert_eq!(dispatch.resume, 3);
}
