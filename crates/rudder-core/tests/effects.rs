//! The order of effects is part of the contract with the threads that carry them out.

mod single;

use rudder_core::{Arrival, Effect, Event, Verdict};
use rudder_events::What;
use rudder_model::{RefusalCode, id};
use single::SingleInstance;

#[test]
fn the_verdict_of_a_refusal_comes_before_its_log_line() {
    let mut instance = SingleInstance::new();
    instance.run(2000);
    let arrival = Arrival {
        request: id::request_id(1, 1),
        bearer: "no such key".to_owned(),
        class: None,
        model: "m".into(),
        key: None,
        prefix: 0,
        resumable: false,
        patience: None,
    };
    let mut effects = Vec::new();
    instance.state.reduce(instance.now, Event::Arrive(Box::new(arrival)), &mut effects);
    // The caller's channel is dropped once the end of a request is logged.
    let [Effect::Verdict { verdict: Verdict::Refuse(refusal), .. }, Effect::Log(What::Refused { .. })] = &effects[..]
    else {
        panic!("{effects:?}")
    };
    assert_eq!(refusal.code, RefusalCode::WrongKey);
}
