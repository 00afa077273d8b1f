//! The log: bounded by a budget, never waited for, and honest about what it left out.

use std::{
    io::{Error, Write},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use rudder_clock::Moment;
use rudder_events::{Line, What};
use rudder_gateway::logging::Log;
use rudder_model::Ran;

#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Memory {
    fn lines(&self) -> Vec<Line> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).expect("lines are text");
        text.lines().map(|line| serde_json::from_str(line).expect("each line is one object")).collect()
    }
}

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<(), Error> {
        Ok(())
    }
}

/// A reader that has stopped reading: the pipe is full and a write does not return.
struct Blocked;

impl Write for Blocked {
    fn write(&mut self, _: &[u8]) -> Result<usize, Error> {
        loop {
            thread::park();
        }
    }

    fn flush(&mut self) -> Result<(), Error> {
        Ok(())
    }
}

fn routine(number: u32) -> What {
    What::CallSent {
        request: format!("r-{number}"),
        endpoint: "e-1".into(),
        attempt: 1,
        calls: 0,
        ahead: 0,
        unread: 0,
        others_ms: 0,
        reused: false,
        left_ms: 10,
        fetch_from: None,
        keeper: None,
        limit: None,
    }
}

fn refusal(number: u32) -> What {
    let why = "full".to_owned();
    What::CallRefused { request: format!("r-{number}"), status: 503, why, ran: Ran::No, retry_ms: Some(300) }
}

#[test]
fn routine_lines_are_left_out_first_and_failures_keep_a_reserve() {
    let memory = Memory::default();
    let log = Log::start("i".into(), 100, memory.clone());
    for number in 0..500 {
        log.write(routine(number));
    }
    for number in 0..500 {
        log.write(refusal(number));
    }
    assert_eq!(log.dropped().0, 900);
    thread::sleep(Duration::from_millis(300));
    let lines = memory.lines();
    let refused = lines.iter().filter(|line| matches!(line.what, What::CallRefused { .. })).count();
    assert_eq!((lines.len(), refused), (100, 40));
}

#[test]
fn what_was_left_out_is_said_in_the_next_second() {
    let memory = Memory::default();
    let log = Log::start("i".into(), 10, memory.clone());
    for number in 0..50 {
        log.write(refusal(number));
    }
    thread::sleep(Duration::from_millis(1100));
    log.write(refusal(99));
    thread::sleep(Duration::from_millis(300));
    let said = memory.lines().into_iter().find_map(|line| match line.what {
        What::Dropped { budget, .. } => Some(budget),
        _ => None,
    });
    assert_eq!(said, Some(40));
}

#[test]
fn a_reader_that_stopped_costs_lines_and_no_time() {
    let log = Log::start("i".into(), 1_000_000, Blocked);
    let began = Moment::now();
    for number in 0..20_000 {
        log.write(refusal(number));
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    let (budget, blocked) = log.dropped();
    assert_eq!(budget, 0);
    assert!(blocked > 15_000, "{blocked}");
}
