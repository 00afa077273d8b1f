//! Requests recalled in favour of a higher tier: how they resume, and how they are refused if they don't.

mod single;

use std::time::Duration;

use rudder_core::{Arrival, Ended, Event, Verdict};
use rudder_model::{Class, Endpoint, Object, Organisation, Ran, RequestId, Selector, id};
use single::{SingleInstance, engine};

/// A leader with one engine of one slot and two classes.
fn start() -> SingleInstance {
    let mut alone = SingleInstance::new();
    let patience = Duration::from_secs(5);
    let keys = vec![id::hex(&id::digest(b"key"))];
    alone.put("top", Object::Class(Class { tier: 0, patience, ..Class::default() }));
    alone.put("low", Object::Class(Class { tier: 2, patience, ..Class::default() }));
    alone.put("org", Object::Organisation(Organisation { keys, ..Organisation::default() }));
    alone.put("all", Object::Selector(Selector::default()));
    alone.put("engine", Object::Endpoint(Endpoint { slots: 1, ..engine() }));
    alone.run(2000);
    alone
}

fn call(alone: &mut SingleInstance, count: u64, class: &str) -> RequestId {
    let request = id::request_id(1, count);
    let arrival = Arrival {
        request,
        bearer: id::hex(&id::digest(b"key")),
        class: Some(class.into()),
        model: "m".into(),
        key: None,
        prefix: 0,
        resumable: true,
        patience: None,
    };
    alone.send_event(Event::Arrive(Box::new(arrival)));
    request
}

fn last(alone: &SingleInstance, of: RequestId) -> Option<&Verdict> {
    alone.verdicts.iter().rev().find(|(request, _)| *request == of).map(|(_, verdict)| verdict)
}

#[test]
fn a_recalled_request_is_never_refused_as_not_run() {
    let mut alone = start();
    let low = call(&mut alone, 1, "low");
    assert!(matches!(last(&alone, low), Some(Verdict::Dispatch(_))), "{:?}", alone.verdicts);
    let top = call(&mut alone, 2, "top");
    assert!(matches!(last(&alone, low), Some(Verdict::Recall)), "{:?}", alone.verdicts);
    alone.send_event(Event::Ended { request: low, ended: Ended::Recalled { produced: 3 } });
    assert!(matches!(last(&alone, top), Some(Verdict::Dispatch(_))), "{:?}", alone.verdicts);
    // The top request occupies the only slot until the low one's patience is used up.
    alone.run(9000);
    let Some(Verdict::Refuse(refusal)) = last(&alone, low) else { panic!("{:?}", alone.verdicts) };
    assert_eq!(refusal.ran, Ran::Yes, "{refusal:?}");
}

#[test]
fn a_recalled_request_resumes_after_the_tokens_already_sent() {
    let mut alone = start();
    let low = call(&mut alone, 1, "low");
    let top = call(&mut alone, 2, "top");
    alone.send_event(Event::Ended { request: low, ended: Ended::Recalled { produced: 3 } });
    let (first, total) = (Duration::from_millis(100), Duration::from_secs(1));
    alone.send_event(Event::Ended { request: top, ended: Ended::Done { tokens: 9, first, total, stored: None } });
    let Some(Verdict::Dispatch(dispatch)) = last(&alone, low) else { panic!("{:?}", alone.verdicts) };
    assert_eq!(dispatch.resume, 3);
}
