//! Shared state and traffic over nine real processes: kills, pauses, lost folders, planned stops.

mod fleet;

use std::thread;

use fleet::{CALLER_KEY, Fleet, HALLS, selector_change, until};
use rudder_client::{Caller, Changed};
use rudder_model::Ran;

#[test]
fn a_second_loss_right_after_the_repair_loses_nothing() {
    let mut fleet = Fleet::start();
    for number in 1..=5 {
        assert_eq!(fleet.change("node-9", "kept"), number);
    }
    for _ in 0..2 {
        let leader = fleet.leader();
        fleet.kill(&leader);
        let next = fleet.leader();
        assert_ne!(next, leader);
        until("the lost voter is replaced", || {
            let voters = fleet.voters(&next);
            (voters.len() == 3 && !voters.contains(&leader)).then_some(())
        });
    }
    until("the changes are still there", || fleet.number("node-9", "kept").filter(|held| *held == 5));
    assert_eq!(fleet.change("node-9", "kept"), 6);
}

#[test]
fn a_paused_leader_accepts_nothing_and_only_moves_forward() {
    let fleet = Fleet::start();
    assert_eq!(fleet.change("node-9", "kept"), 1);
    let paused = fleet.leader();
    until("the leader holds the change", || fleet.number(&paused, "kept").filter(|held| *held == 1));
    fleet.signal(&paused, "STOP");
    // The others go on without it.
    assert_eq!(fleet.change("node-9", "kept"), 2);
    fleet.signal(&paused, "CONT");
    until("the paused leader follows", || {
        let held = fleet.number(&paused, "kept")?;
        assert!(held == 1 || held == 2, "the view of the paused leader holds {held}");
        (held == 2).then_some(())
    });
    assert_eq!(fleet.change(&paused, "kept"), 3);
}

#[test]
fn all_killed_at_once_come_back_with_everything() {
    let mut fleet = Fleet::start();
    let operator = fleet.operator("node-1");
    let mut answers = Vec::new();
    for number in 0..40 {
        let change = selector_change(&format!("change-{number}"), &format!("s{}", number % 4), number / 4);
        let answer = operator.change(&change).expect("an answer");
        assert!(matches!(answer, Changed::Accepted { .. }), "{answer:?}");
        answers.push((change, answer));
    }
    // Two operators with equal numbers: one wins, the other is shown what stands.
    let loser = operator.change(&selector_change("late", "s0", 0)).expect("an answer");
    assert!(matches!(&loser, Changed::Conflict { standing } if standing.number == 10), "{loser:?}");
    for name in fleet.names.clone() {
        fleet.kill(&name);
    }
    for name in fleet.names.clone() {
        fleet.run(&name);
    }
    for name in fleet.names.clone() {
        fleet.wait_ready(&name);
    }
    for name in ["s0", "s1", "s2", "s3"] {
        until("the numbers are the same", || fleet.number("node-8", name).filter(|held| *held == 10));
    }
    let operator = fleet.operator("node-8");
    for (change, answer) in answers {
        assert_eq!(operator.change(&change).expect("an answer"), answer, "sent again after the restart");
    }
}

#[test]
fn a_voter_with_an_emptied_folder_is_a_new_voter() {
    let mut fleet = Fleet::start();
    assert_eq!(fleet.change("node-9", "kept"), 1);
    let leader = fleet.leader();
    let lost = fleet.names[..3].iter().find(|name| **name != leader).cloned().expect("another founder");
    fleet.kill(&lost);
    fleet.wipe(&lost);
    fleet.run(&lost);
    fleet.wait_ready(&lost);
    // The lost replica is replaced; nothing is founded anew and nothing is lost.
    until("three voters", || (fleet.voters(&leader).len() == 3).then_some(()));
    assert_eq!(fleet.change("node-9", "kept"), 2);
    until("it holds the configuration", || fleet.number(&lost, "kept").filter(|held| *held == 2));
}

#[test]
fn a_key_runs_once_whatever_happens_to_its_entry() {
    let mut fleet = Fleet::start();
    let service = fleet.stand_in(&["--service", "--time", "700ms"]);
    fleet.configure_service(&service);
    let runs = |key: &str| -> u64 {
        let mut answer = ureq::get(format!("http://{service}/standin/runs")).call().expect("counts");
        answer.body_mut().read_json::<serde_json::Value>().expect("counts")[key].as_u64().unwrap_or(0)
    };
    let entry = fleet.addresses["node-6"].clone();
    let call = |entry: String, key: &'static str| {
        let mut caller = Caller::at(&entry, CALLER_KEY);
        caller.service("lasku", "notes", "claim", Some(key), "{}")
    };
    // A finished key returns the stored answer, at any entry.
    let first = call(entry.clone(), "note-1");
    let again = call(fleet.addresses["node-7"].clone(), "note-1");
    assert!(first.whole && again.whole, "{first:?} {again:?}");
    assert_eq!((first.body.as_str(), runs("note-1")), (again.body.as_str(), 1));
    // The owner dies while the key runs: unknown for ever after, and never run again.
    let caller = thread::spawn(move || call(entry, "note-2"));
    until("the key runs", || (runs("note-2") == 1).then_some(()));
    fleet.kill("node-6");
    let _ = caller.join();
    let code = until("the owner is known to be gone", || {
        let reply = call(fleet.addresses["node-7"].clone(), "note-2");
        (reply.code != "key_running").then_some(reply.code)
    });
    assert_eq!((code.as_str(), runs("note-2")), ("owner_gone", 1));
}

#[test]
fn a_planned_stop_cuts_nothing_off() {
    let mut fleet = Fleet::start();
    let service = fleet.stand_in(&["--service", "--time", "2s"]);
    fleet.configure_service(&service);
    let entry = fleet.addresses["node-8"].clone();
    let caller = thread::spawn(move || Caller::at(&entry, CALLER_KEY).service("lasku", "slow", "read", None, ""));
    until("the call is under way", || fleet.status("node-8").filter(|status| status["calls"] == 1));
    fleet.signal("node-8", "TERM");
    let reply = caller.join().expect("the caller");
    assert!(reply.whole, "{reply:?}");
    assert_eq!(fleet.wait_exit("node-8"), Some(0));
}

/// The order comes to one instance, and all obey it; what runs is finished, and what waits or comes is told that it did not run.
#[test]
fn an_evacuated_hall_gets_no_new_work_at_any_instance() {
    let mut fleet = Fleet::start();
    let service = fleet.stand_in(&["--service", "--time", "10ms"]);
    fleet.configure_service(&service);
    let entry = fleet.addresses["node-8"].clone();
    let call = || Caller::at(&entry, CALLER_KEY).service("lasku", "slow", "read", None, "");
    assert!(call().whole, "it serves");
    let operator = fleet.operator("node-5");
    operator.evacuate(HALLS[0], true).expect("acknowledged");
    let refused = until("it gets no more", || Some(call()).filter(|reply| !reply.whole));
    assert_eq!(refused.ran, Some(Ran::No), "{refused:?}");
    let leader = fleet.leader();
    fleet.kill(&leader);
    fleet.leader();
    let reply = call();
    assert!(!reply.whole, "with another leader as well: {reply:?}");
    fleet.operator("node-9").evacuate(HALLS[0], false).expect("acknowledged");
    until("it serves again", || call().whole.then_some(()));
}
