//! The fault matrix: every fault at every step of a call with an idempotency key, of a change and of the departure of
//! an endpoint. The world asserts the promises throughout; each cell also retries the call and the change at other
//! instances and checks the recovery.

mod world;

use rudder_ledger::Change;
use rudder_model::{Kind, Mark, Object, Ran, Selector};
use world::{Fault, Step, World, endpoint};

const KEY: &str = "credit-note";

fn selector(id: &str) -> Change {
    let object = Some(Object::Selector(Selector::default()));
    Change { id: id.to_owned(), kind: Kind::Selector, name: "cell".to_owned(), replaces: 0, object }
}

fn leaving() -> Change {
    let object = Some(endpoint(1, Mark::Leaving));
    Change { id: "leave".to_owned(), kind: Kind::Endpoint, name: "app-2".to_owned(), replaces: 1, object }
}

/// Runs one cell of the matrix with one seed.
fn run_cell(step: Step, fault: Fault, seed: u64) {
    let mut world = World::ready(seed);
    world.pending_fault = Some((step, fault));
    let first = world.call(7, Some(KEY)).expect("node 7 runs");
    world.change(8, selector("cell"));
    world.change(8, leaving());
    world.advance(1500);
    // The caller and the operator retry at other instances while the fault persists.
    world.call(4, Some(KEY));
    world.call(6, Some(KEY));
    world.change(6, selector("cell"));
    world.advance(9000);
    assert!(world.fault_injected, "{step:?} was never reached");
    world.heal();
    world.advance(30_000);
    world.heal();
    world.advance(4000);
    world.change(5, selector("cell"));
    let last = world.call(3, Some(KEY)).expect("node 3 runs");
    let other = world.call(2, Some("another")).expect("node 2 runs");
    world.advance(7000);
    assert!(world.answer_to("cell").is_some(), "the change never got its answer");
    let answered = |request| world.calls[&request].answer_count == 1;
    assert!(answered(last) && answered(other), "no answer after recovery");
    assert_eq!(world.calls[&other].refused, None, "new work is refused after recovery");
    // After recovery the key has an answer, or its outcome is unknown, but never "not run".
    let runs = world.runs.get(KEY).copied().unwrap_or(0);
    let refused = world.calls[&last].refused;
    assert!(refused != Some(Ran::No), "the key cannot be used any more: {runs} runs, {refused:?}");
    assert!(runs <= 1 && world.calls[&first].answer_count <= 1);
}

macro_rules! matrix {
    ($($name:ident: $step:ident;)*) => {
        $(#[test]
        fn $name() {
            for fault in FAULTS {
                for seed in 0..3 {
                    run_cell(Step::$step, fault, seed);
                }
            }
        })*
    };
}

const FAULTS: [Fault; 13] = [
    Fault::CrashActor,
    Fault::CrashLeader,
    Fault::WipeLeader,
    Fault::PauseActor,
    Fault::PauseLeader,
    Fault::CutActor,
    Fault::CutLeader,
    Fault::LoseMessages,
    Fault::FullDisks,
    Fault::EndpointDown,
    Fault::EndpointSilent,
    Fault::StopActor,
    Fault::TwoAtOnce,
];

matrix! {
    every_fault_when_a_command_is_proposed: Proposed;
    every_fault_when_the_leader_saves: Saving;
    every_fault_when_the_leader_answers: Answered;
    every_fault_when_a_slot_is_asked_for: Asked;
    every_fault_when_a_slot_is_granted: Granted;
    every_fault_when_the_request_is_sent: Dispatched;
    every_fault_when_its_end_is_recorded: Finishing;
    every_fault_when_configuration_is_distributed: Distributed;
}
