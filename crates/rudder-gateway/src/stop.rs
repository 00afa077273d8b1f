//! A planned stop: off the lists at once, callers with an old list served on, nothing cut off.

use std::{rc::Rc, time::Duration};

use rudder_clock::Moment;
use rudder_core::Event;
use rudder_events::What;

use crate::{
    Dialect,
    shared::{Shared, Stage},
};

/// Callers' lists are taken to have ended this long after their time.
const ENTRIES_TTL_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections have this long to end before the process does.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(300);
/// New requests are taken for this long, and for this part of the grace at the latest, whatever callers' lists
/// say: a long stream taken later might be cut off by the end of the grace, and a caller with an older list finds
/// a closed port at once and takes another instance.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2800);
const MAX_ACCEPT_SHARE: f64 = 0.35;
/// Part of the grace after which what is still under way is cut off.
const DRAIN_SHARE: f64 = 0.92;
/// Time between looks at what is under way.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Carries out a planned stop; returns when the process should end.
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
    while shared.open_requests.get() > 0 && began.elapsed() < drain_limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    shared.log.write(What::Stopped);
}
