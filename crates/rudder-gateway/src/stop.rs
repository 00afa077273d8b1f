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
const LIST_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections have this long to end before the process does.
const CLOSE: Duration = Duration::from_millis(300);
/// New requests are taken for this long, and for this part of the grace at the latest, whatever callers' lists
/// say: a long stream taken later might be cut off by the end of the grace, and a caller with an older list finds
/// a closed port at once and takes another instance.
const SERVE: Duration = Duration::from_millis(2800);
const SERVE_MOST: f64 = 0.35;
/// Part of the grace after which what is still under way is cut off.
const CUT: f64 = 0.92;
/// Time between looks at what is under way.
const LOOK: Duration = Duration::from_millis(50);

/// Carries out a planned stop; returns when the process should end.
pub async fn stop<D: Dialect>(shared: &Rc<Shared<D>>) {
    let began = Moment::now();
    shared.stage.send_replace(Stage::Leaving);
    shared.tell(Event::Stop);
    let options = &shared.options;
    let lists = options.entries_ttl * options.entries_ttl_factor + LIST_MARGIN;
    let last = options.grace.mul_f64(CUT);
    tokio::time::sleep(lists.min(SERVE).min(options.grace.mul_f64(SERVE_MOST))).await;
    shared.stage.send_replace(Stage::Closing);
    tokio::time::sleep(CLOSE).await;
    while shared.open.get() > 0 && began.elapsed() < last {
        tokio::time::sleep(LOOK).await;
    }
    shared.log.write(What::Stopped);
}
