//! The judge sees each promise broken: one break of each, put into a history in which all are kept.

use std::{ops::Range, time::Duration};

use rudder_soak::{
    Bounds, History, Promise, check,
    history::{
        Absence, Arrival, Call, Cold, Evacuation, Event, Isolation, Kind, Leave, Limit, Outcome, OwnEnd, Pushback,
        Removal, Stop, Stream, Try, Version,
    },
};

const GOOD: Outcome = Outcome::Answered { status: 200, whole: true, right: true };

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn call(id: &str, kind: Kind, sent: f64, outcome: Outcome) -> Call {
    Call {
        id: id.to_owned(),
        kind,
        instance: 0,
        key: "key-1".to_owned(),
        deadly: false,
        sent: at(sent),
        ended: at(sent + 0.1),
        outcome,
    }
}

fn arrival(call: &str, life: &str, seconds: f64) -> Arrival {
    let zone = "a".to_owned();
    Arrival {
        call: call.to_owned(),
        sender: None,
        life: life.to_owned(),
        zone,
        at: at(seconds),
        ran: true,
        deadly: false,
        part: None,
        pushback: None,
        limit: None,
    }
}

/// A try of a stream that brought events written by one version.
fn held_try(number: usize, status: Option<u16>, ids: Range<u64>, whole: bool) -> Try {
    let events = ids.map(|id| Event { id, version: "v1".to_owned() }).collect();
    let sent = at(3.0 + number as f64);
    Try { id: format!("s-{number}"), instance: number, sent, ended: sent + at(0.5), status, events, whole }
}

/// A stream that breaks off, is refused once and goes on to its end.
fn taken_up() -> Stream {
    let tries = vec![
        held_try(0, Some(200), 1..5, false),
        held_try(1, Some(503), 1..1, true),
        held_try(2, None, 1..1, false),
        held_try(3, Some(200), 5..9, true),
    ];
    Stream { tries, last: 8 }
}

/// Calls of each kind every second for half a minute, all served, and one of each other event.
fn kept() -> History {
    let mut history = History { calm: at(20.0), last: Some(3), ..History::default() };
    for second in 0..30 {
        for kind in Kind::ALL {
            let id = format!("{kind:?}-{second}");
            history.arrivals.push(arrival(&id, "e-1", f64::from(second) + 0.01));
            history.calls.push(call(&id, kind, f64::from(second), GOOD));
        }
    }
    history.streams.push(taken_up());
    history.leaves.push(Leave { life: "e-2".to_owned(), at: at(5.0) });
    history.arrivals.push(arrival("Once-0", "e-2", 1.0));
    history.arrivals.pop();
    history.accepted.extend([2, 3].map(|version| Version { version, at: at(version as f64) }));
    history.read.push(Version { version: 3, at: at(9.0) });
    history.removals.push(Removal { key: "key-9".to_owned(), at: at(1.0) });
    history.evacuations.push(Evacuation { zone: "b".to_owned(), from: at(6.0), until: at(14.0) });
    history.colds.push(Cold { life: "e-1".to_owned(), from: at(2.0), until: at(9.0) });
    history.stops.push(Stop { instance: 0, from: at(4.0), until: at(8.0), alone: true });
    history
}

/// Isolates instance 1 for a while, in which so many of 40 calls there are not served, but those at instance 0 are.
fn isolate(history: &mut History, failed: usize) {
    history.isolations.push(Isolation { instance: 1, from: at(8.0), until: at(18.0) });
    for number in 0..40 {
        let refused = Outcome::Answered { status: 503, whole: true, right: false };
        let outcome = if number < failed { refused } else { GOOD };
        let sent = 11.5 + number as f64 / 10.0;
        history.calls.push(Call { instance: 1, ..call(&format!("isolated-{number}"), Kind::Once, sent, outcome) });
    }
}

/// Has the endpoint that serves all calls name a limit for a while.
fn name_limit(history: &mut History, limit: f64) {
    let (from, until) = (at(8.0), at(19.0));
    for arrival in history.arrivals.iter_mut().filter(|arrival| (from..until).contains(&arrival.at)) {
        arrival.limit = Some(limit);
    }
    history.limits.push(Limit { life: "e-1".to_owned(), from, until, limit });
}

/// Which promises are broken once `spoil` has been done to the history.
fn broken_by(spoil: fn(&mut History)) -> Vec<Promise> {
    let mut history = kept();
    spoil(&mut history);
    let mut broken: Vec<Promise> =
        check(&history, &Bounds::default()).broken.into_iter().map(|broken| broken.promise).collect();
    broken.dedup();
    broken
}

macro_rules! breaks {
    ($($name:ident: $promise:ident, $spoil:expr;)*) => {
        $(#[test] fn $name() {
            assert_eq!(broken_by($spoil), vec![Promise::$promise]);
        })*
    };
}

breaks! {
    an_answer_of_another_call: OwnAnswer, |history| {
        history.calls[4].outcome = Outcome::Answered { status: 200, whole: true, right: false };
    };
    a_stream_taken_up_at_another_version: Order, |history| {
        for event in &mut history.streams[0].tries[3].events {
            event.version = "v2".to_owned();
        }
    };
    a_stream_of_two_versions_in_one_answer: Order, |history| {
        history.streams[0].tries[0].events[3].version = "v2".to_owned();
    };
    an_event_that_comes_twice: Order, |history| history.streams[0].tries[3] = held_try(3, Some(200), 4..9, true);
    an_event_that_is_left_out: Order, |history| history.streams[0].tries[3] = held_try(3, Some(200), 6..9, true);
    a_stream_without_its_first_event: Order, |history| {
        history.streams[0].tries.remove(0);
    };
    events_that_go_back: Order, |history| history.streams[0].tries[0].events.swap(1, 2);
    a_stream_that_is_whole_before_its_last_event: Order, |history| {
        history.streams[0].tries[3] = held_try(3, Some(200), 5..8, true);
    };
    a_stream_that_is_whole_without_events: Order, |history| {
        history.streams[0].tries = vec![held_try(0, Some(200), 1..1, true)];
    };
    a_try_of_a_stream_at_an_endpoint_that_left: Drained, |history| {
        history.streams[0].tries[3].sent = at(7.4);
        history.arrivals.push(arrival("s-3", "e-2", 7.5));
    };
    a_call_that_runs_twice: AtMostOnce, |history| history.arrivals.push(arrival("Once-3", "e-9", 3.2));
    a_call_called_not_run_that_ran: NotRun, |history| {
        history.calls[1].outcome = Outcome::Answered { status: 503, whole: true, right: false };
    };
    new_work_at_an_endpoint_that_left: Drained, |history| history.arrivals.push(arrival("Again-7", "e-2", 7.5));
    new_work_from_an_instance_that_was_away_long_ago: Drained, |history| {
        history.absences.push(Absence { instance: 0, from: at(2.0), until: at(4.4) });
        history.arrivals.push(arrival("Again-7", "e-2", 7.5));
    };
    new_work_while_another_instance_was_away: Drained, |history| {
        history.absences.push(Absence { instance: 3, from: at(5.0), until: at(7.0) });
        history.arrivals.push(arrival("Again-7", "e-2", 7.5));
    };
    new_work_at_an_endpoint_that_told_the_instance_that_it_leaves: Drained, |history| {
        history.arrivals[0].pushback = Some(Pushback::Leaving);
    };
    work_at_an_endpoint_that_rests: Rested, |history| {
        let asking = history.arrivals.iter_mut().find(|arrival| arrival.call == "Again-10");
        asking.expect("it is there").pushback = Some(Pushback::Backoff(at(1.5)));
    };
    work_in_an_evacuated_zone: Evacuated, |history| {
        let late = arrival("Again-12", "e-7", 12.5);
        history.arrivals.retain(|arrival| arrival.call != late.call);
        history.arrivals.push(Arrival { zone: "b".to_owned(), ..late });
    };
    more_at_an_endpoint_than_its_limit: Limited, |history| name_limit(history, 1.0);
    more_at_an_endpoint_than_its_limit_from_two_instances: Limited, |history| {
        name_limit(history, 1.0);
        for call in history.calls.iter_mut().skip(1).step_by(2) {
            call.instance = 1;
        }
    };
    more_at_a_cold_endpoint_than_it_bears: SlowStart, |history| {
        for number in 0..9 {
            let call = call(&format!("more-{number}"), Kind::Again, 4.4, GOOD);
            history.arrivals.push(arrival(&call.id, "e-1", 4.5));
            history.calls.push(call);
        }
    };
    an_older_configuration_read: NeverReverts, |history| history.read.push(Version { version: 2, at: at(6.0) });
    a_configuration_lost_in_the_end: NeverReverts, |history| history.last = Some(2);
    no_configuration_in_the_end: NeverReverts, |history| history.last = None;
    a_configuration_that_cannot_work_accepted: NeverReverts, |history| history.invalid_taken = 1;
    a_key_that_was_taken_away: KeyTaken, |history| history.calls[40].key = "key-9".to_owned();
    a_content_that_goes_on_ending_endpoints: Quarantine, |history| {
        for number in 0..9 {
            let arrival = arrival(&format!("deadly-{number}"), &format!("d-{number}"), 2.0 * f64::from(number));
            history.arrivals.push(Arrival { deadly: true, ..arrival });
        }
    };
    a_part_that_goes_on_ending_endpoints: Quarantine, |history| {
        for number in 0..12 {
            let arrival = arrival(&format!("part-{number}"), &format!("d-{number}"), f64::from(number));
            history.arrivals.push(Arrival { deadly: true, part: Some("p".to_owned()), ..arrival });
        }
    };
    callers_of_an_instance_without_links_not_served: Reached, |history| isolate(history, 24);
    more_sent_again_than_allowed: Budget, |history| {
        for number in 0..90 {
            history.arrivals.push(arrival("Again-5", "e-3", 5.1 + f64::from(number) / 100.0));
        }
    };
    a_planned_stop_that_cuts_a_call_off: PlannedStop, |history| history.calls[21].outcome = Outcome::Lost;
    a_planned_stop_that_lasts: PlannedStop, |history| history.stops[0].until = at(13.0);
    a_kind_that_is_not_served_again: Served, |history| {
        for call in history.calls.iter_mut().filter(|call| call.kind == Kind::Stream && call.sent > at(26.0)) {
            call.outcome = Outcome::Answered { status: 502, whole: true, right: false };
        }
    };
    a_process_that_ends_by_itself: OwnEnd, |history| {
        history.own_ends.push(OwnEnd { instance: 1, at: at(3.0), code: Some(101) });
    };
}

/// What breaks off is no promise broken, whatever its version.
#[test]
fn streams_that_end_early_break_nothing_while_their_events_fit() {
    let spoil = |history: &mut History| {
        history.streams[0].tries.truncate(3);
        let mut other = taken_up();
        for event in other.tries.iter_mut().flat_map(|held| &mut held.events) {
            event.version = "v2".to_owned();
        }
        history.streams.push(other);
        history.streams.push(Stream { tries: vec![held_try(0, None, 1..1, false)], last: 8 });
    };
    assert_eq!(broken_by(spoil), Vec::new());
}

#[test]
fn streams_that_are_taken_up_and_that_go_on_are_counted() {
    let mut history = kept();
    let mut refused = taken_up();
    refused.tries.truncate(2);
    let begun_late =
        Stream { tries: vec![held_try(0, None, 1..1, false), held_try(1, Some(200), 1..9, true)], last: 8 };
    history.streams.extend([refused, begun_late]);
    let verdict = check(&history, &Bounds::default());
    assert_eq!((verdict.taken_up, verdict.gone_on), (2, 1));
}

/// A pause of 2.5 s over a leave: the instance's proof was 2.98 s old when it sent, within its bound.
#[test]
fn an_instance_that_was_away_may_not_have_learned_of_a_leave() {
    let spoil = |history: &mut History| {
        history.absences.push(Absence { instance: 0, from: at(4.0), until: at(7.0) });
        history.arrivals.push(arrival("Again-7", "e-2", 7.5));
    };
    assert_eq!(broken_by(spoil), Vec::new());
}

/// A process that has ended since knows nothing of what it was asked for.
#[test]
fn an_instance_that_started_again_does_not_know_what_was_asked_of_the_one_before() {
    let spoil = |history: &mut History| {
        let asking = history.arrivals.iter_mut().find(|arrival| arrival.call == "Again-10");
        asking.expect("it is there").pushback = Some(Pushback::Backoff(at(1.5)));
        history.absences.push(Absence { instance: 0, from: at(10.1), until: at(10.6) });
    };
    assert_eq!(broken_by(spoil), Vec::new());
}

/// Four calls a second come, which a limit of four allows, as one of one does for an instance that has just started again.
#[test]
fn what_a_limit_allows_breaks_nothing() {
    assert_eq!(broken_by(|history| name_limit(history, 4.0)), Vec::new());
    let spoil = |history: &mut History| {
        name_limit(history, 1.0);
        for second in 0..6 {
            let from = at(9.0 + 2.0 * f64::from(second));
            history.absences.push(Absence { instance: 0, from, until: from + at(0.1) });
        }
    };
    assert_eq!(broken_by(spoil), Vec::new());
}

#[test]
fn all_promises_kept_are_all_tested() {
    let mut history = kept();
    name_limit(&mut history, 4.0);
    isolate(&mut history, 10);
    for number in 0..4 {
        let arrival = arrival(&format!("deadly-{number}"), &format!("d-{number}"), f64::from(number));
        history.arrivals.push(Arrival { deadly: true, ..arrival });
    }
    history.arrivals.push(arrival("Again-3", "e-2", 3.2));
    history.calls.push(Call { key: "key-9".to_owned(), ..call("other", Kind::Once, 9.0, Outcome::Lost) });
    history.calls.push(call("full", Kind::Once, 9.0, Outcome::Answered { status: 503, whole: true, right: false }));
    let last = history.arrivals.iter_mut().find(|arrival| arrival.call == "Resume-29");
    last.expect("it is there").pushback = Some(Pushback::Backoff(at(1.0)));
    let verdict = check(&history, &Bounds::default());
    assert_eq!(verdict.broken, Vec::new());
    assert_eq!(verdict.tested.len(), 17, "{:?}", verdict.tested);
}
