//! The log: it keeps to its budget, never blocks, and reports the lines that it dropped.

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
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Buffer {
    fn lines(&self) -> Vec<Line> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).expect("lines are text");
        text.lines().map(|line| serde_json::from_str(line).expect("each line is one object")).collect()
    }
}

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> Result<usize, Error> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<(), Error> {
        Ok(())
    }
}

/// A writer whose pipe is full, so that a write never returns.
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
        predicted_ms: None,
        queued: None,
        wait_ms: None,
        held: 0,
        rank: None,
        others_ms: 0,
        endpoints_ms: 0,
        version: None,
        reused: false,
        left_ms: 10,
        fetch_from: None,
        keeper: None,
        limit: None,
        brittle: None,
        token_us: None,
        prefill_speed: None,
        pace: None,
    }
}

fn refusal(number: u32) -> What {
    let why = "full".to_owned();
    What::CallRefused {
        request: format!("r-{number}"),
        route: None,
        level: None,
        status: 503,
        why,
        ran: Ran::No,
        retry_ms: Some(300),
        scheduled: None,
        position: None,
    }
}

#[test]
fn routine_lines_are_dropped_first_and_failures_have_a_reserve() {
    let buffer = Buffer::default();
    let log = Log::start("i".into(), 100, buffer.clone());
    for number in 0..500 {
        log.write(routine(number));
    }
    for number in 0..500 {
        log.write(refusal(number));
    }
    assert_eq!(log.dropped().0, 900);
    thread::sleep(Duration::from_millis(300));
    let lines = buffer.lines();
    let refused = lines.iter().filter(|line| matches!(line.what, What::CallRefused { .. })).count();
    assert_eq!((lines.len(), refused), (100, 40));
}

#[test]
fn dropped_lines_are_reported_in_the_next_second() {
    let buffer = Buffer::default();
    let log = Log::start("i".into(), 10, buffer.clone());
    for number in 0..50 {
        log.write(refusal(number));
    }
    thread::sleep(Duration::from_millis(1100));
    log.write(refusal(99));
    thread::sleep(Duration::from_millis(300));
    let reported = buffer.lines().into_iter().find_map(|line| match line.what {
        What::Dropped { budget, .. } => Some(budget),
        _ => None,
    });
    assert_eq!(reported, Some(40));
}

#[test]
fn a_blocked_writer_drops_lines_without_delay() {
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
