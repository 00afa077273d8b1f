//! Events of streams: what a second source repeats is dropped, and nothing else.

use rudder_gateway::stream::Events;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

fn join(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// Pushes bytes in parts of `size` and returns what is passed on.
fn push(events: &mut Events, bytes: &str, size: usize) -> String {
    let passed: Vec<u8> = bytes.as_bytes().chunks(size).flat_map(|part| events.push(part)).collect();
    String::from_utf8(passed).expect("text")
}

/// Guards against a first source whose stream is changed, whatever its ids are.
#[test]
fn all_events_of_the_first_source_are_passed_on() {
    let mut events = Events::default();
    events.resume_after(None);
    let sent = join([1, 2, 2, 1, 3]);
    assert_eq!(push(&mut events, &sent, 7), sent);
    assert_eq!((events.count, events.repeated, events.last), (5, 2, Some(3)));
}

/// Guards against events that a second source repeats, however they come in parts, and against lost ones.
#[test]
fn what_a_second_source_repeats_is_dropped() {
    for size in [1, 7, 40, 1000] {
        let mut events = Events::default();
        events.resume_after(None);
        push(&mut events, &join(1..=3), size);
        events.resume_after(events.last);
        assert_eq!(push(&mut events, &join(1..=6), size), join(4..=6));
        assert_eq!((events.count, events.repeated, events.last), (6, 3, Some(6)));
    }
}

/// Guards against repeated events without an id, and against lost ones that come before or after the last one that the caller
/// has.
#[test]
fn an_event_without_an_id_goes_with_the_one_before_it() {
    let mut events = Events::default();
    events.resume_after(Some(2));
    let sent = [": first\n\n", &event(1), "data: of 1\n\n", &event(2), "data: of 2\n\n", &event(3), "data: of 3\n\n"];
    let passed = [": first\n\n", "data: of 2\n\n", &event(3), "data: of 3\n\n"];
    assert_eq!(push(&mut events, &sent.concat(), 1000), passed.concat());
    assert_eq!((events.count, events.repeated), (4, 3));
}
