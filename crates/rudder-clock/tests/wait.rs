//! Timers must expire if their deadline passes during a suspension.
//!
//! This is a single test because a simulated suspension affects the whole process.

use std::time::{Duration, Instant};

use rudder_clock::{Elapsed, Moment, WakeWatch, note_wake, simulate_suspension, sleep_until, timeout_at};

const SUSPENSION: Duration = Duration::from_secs(600);

#[tokio::test]
async fn timers_expire_when_their_deadline_passes_during_a_suspension() {
    let (start, monotonic_start) = (Moment::now(), Instant::now());
    let mut watch = WakeWatch::default();
    assert_eq!(watch.look(), None);
    let sleep = tokio::spawn(sleep_until(start + SUSPENSION));
    let timeout = tokio::spawn(timeout_at(start + SUSPENSION, std::future::pending::<()>()));
    tokio::time::sleep(Duration::from_millis(20)).await;
    simulate_suspension(SUSPENSION);
    assert!(start.elapsed() >= SUSPENSION);
    let measured = watch.look().expect("a suspension is detected");
    assert!(measured.abs_diff(SUSPENSION) < Duration::from_millis(100), "{measured:?}");
    assert_eq!(watch.look(), None, "a suspension is reported once");
    note_wake();
    sleep.await.expect("the task finishes");
    assert_eq!(timeout.await.expect("the task finishes"), Err(Elapsed));
    assert_eq!(timeout_at(start, async { 7 }).await, Ok(7), "a ready future completes after the deadline");
    assert!(monotonic_start.elapsed() < Duration::from_secs(60));
}
