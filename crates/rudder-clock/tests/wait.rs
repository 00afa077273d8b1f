//! Waits end by the time that counts suspensions. One test, since a suspension is the whole process's.

use std::time::{Duration, Instant};

use rudder_clock::{Elapsed, Moment, WakeWatch, note_wake, sleep_until, suspend, timeout_at};

const LONG: Duration = Duration::from_secs(600);

#[tokio::test]
async fn waits_end_when_their_time_came_during_a_suspension() {
    let (began, steady) = (Moment::now(), Instant::now());
    let mut watch = WakeWatch::default();
    assert_eq!(watch.look(), None);
    let slept = tokio::spawn(sleep_until(began + LONG));
    let waited = tokio::spawn(timeout_at(began + LONG, std::future::pending::<()>()));
    tokio::time::sleep(Duration::from_millis(20)).await;
    suspend(LONG);
    assert!(began.elapsed() >= LONG);
    let span = watch.look().expect("it was suspended");
    assert!(span.abs_diff(LONG) < Duration::from_millis(100), "{span:?}");
    assert_eq!(watch.look(), None, "once");
    note_wake();
    slept.await.expect("it ends");
    assert_eq!(waited.await.expect("it ends"), Err(Elapsed));
    assert_eq!(timeout_at(began, async { 7 }).await, Ok(7), "what is ready is taken, also late");
    assert!(steady.elapsed() < Duration::from_secs(60));
}
