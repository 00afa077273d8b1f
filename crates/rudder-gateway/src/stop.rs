//! A planned stop: leaves the lists at once, serves callers with an old list, and drains callers' connections.

use std::{rc::Rc, time::Duration};

use rudder_clock::Moment;
use rudder_core::Event;
use rudder_events::What;

use crate::{
    Dialect,
    shared::{Shared, Stage},
};

/// Margin after which callers' cached lists are taken to have expired.
const ENTRIES_TTL_MARGIN: Duration = Duration::from_millis(700);
/// Time for idle connections to close before the process ends.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(300);
/// Longest time during which new requests are accepted. The end of the grace period might cut off a long stream that is
/// accepted later, whereas a caller whose connection is closed moves to another instance at once.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2800);
/// Share of the grace period during which new requests are accepted at most.
const MAX_ACCEPT_SHARE: f64 = 0.35;
/// Share of the grace period after which open connections are cut off.
const DRAIN_SHARE: f64 = 0.92;
/// Interval at which the number of open connections is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Performs a planned stop and returns when the process should end.
pub async fn stop<D: Dialect>(shared: &Rc<Shared<D>>) {
    let began = Moment::now();
    shared.stage.send_replace(Stage::Draining);
    shared.send_event(Event::Stop);
    let options = &shared.options;
    let entries_expire = options.entries_ttl * options.entries_ttl_factor + ENTRIES_TTL_MARGIN;
    let drain_limit = options.grace.mul_f64(DRAIN_SHARE);
    tokio::time::sleep(entries_expire.min(MAX_ACCEPT_TIME).min(options.grace.mul_f64(MAX_ACCEPT_SHARE))).await;
    shared.stage.send_replace(Stage::Closing);
    tokio::time::sleep(IDLE_CLOSE_TIME).await;
    while shared.open_connections.get() > 0 && began.elapsed() < drain_limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    shared.log.write(What::Stopped);
}
