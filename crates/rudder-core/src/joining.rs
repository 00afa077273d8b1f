//! Instances that join, at the leader: whom it serves, defers or sends to a relay.
//!
//! An instance that holds nothing yet needs the whole directory. When hundreds start together, the leader would send it to
//! each of them, and again as it grows. So it only records them while they keep coming; then it serves all, if that takes
//! little time at the rate of its link, or else the relays, which serve the others.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{HallId, InstanceId, id};

use crate::{
    WatchRequest,
    tree::{Directory, Tree, rank_for},
};

/// Time without many new instances after which all that start together count as known.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Time after which a deferred instance is to ask again, for each live instance: all of them may be deferred.
const DEFER_TIME_EACH: Duration = Duration::from_millis(1);

/// Number of relays that an instance may be sent to. If it were sent to any, the first ones that can serve would get all.
const PREFERRED_RELAYS: usize = 2;

/// What becomes of the request of an instance that joins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The leader serves it.
    Serve,
    /// It is to ask this relay.
    Relay(InstanceId),
    /// It is to ask again after this time.
    Defer(Duration),
}

/// The relays of a hall, derived from a version of the directory.
#[derive(Debug)]
struct HallRelays {
    version: u64,
    relays: Vec<InstanceId>,
}

/// Instances that have joined recently.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// Begin of the period in which `count` instances have joined.
    since: Duration,
    count: usize,
    /// Time of the last one that was one of many.
    crowded_at: Option<Duration>,
    relays: BTreeMap<HallId, HallRelays>,
}

impl Joining {
    /// Records an instance that was not known.
    pub(crate) fn record(&mut self, now: Duration, tree: &Tree) {
        if now >= self.since + SETTLE_TIME {
            (self.since, self.count) = (now, 0);
        }
        self.count += 1;
        if self.count > tree.direct {
            self.crowded_at = Some(now);
        }
    }

    /// Decides on a request of an instance that holds no directory. With `can_serve`, the leader needs no relays to serve all.
    /// `holds_directory` returns whether a relay does.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        watch: &WatchRequest,
        (tree, directory): (&Tree, &Directory),
        can_serve: bool,
        holds_directory: impl Fn(&InstanceId) -> bool,
    ) -> Admission {
        if !tree.has_relays(directory) {
            return Admission::Serve;
        }
        let deferral = defer_time(watch, directory.len());
        let unsettled = self.crowded_at.map_or(Duration::ZERO, |at| (at + SETTLE_TIME).saturating_sub(now));
        if unsettled > Duration::ZERO {
            // Those that are served here may come together.
            return Admission::Defer(if can_serve { deferral.min(unsettled) } else { deferral });
        }
        if can_serve {
            return Admission::Serve;
        }
        let listing = &watch.listing;
        let ranked = rank_for(&listing.name, self.relays_of(&listing.hall, tree, directory));
        if ranked.is_empty() {
            return Admission::Serve;
        }
        match ranked.into_iter().take(PREFERRED_RELAYS).find(|relay| holds_directory(relay)) {
            Some(relay) => Admission::Relay(relay),
            None => Admission::Defer(deferral),
        }
    }

    fn relays_of(&mut self, hall: &HallId, tree: &Tree, directory: &Directory) -> Vec<InstanceId> {
        let version = directory.version();
        let known = self.relays.entry(hall.clone()).or_insert(HallRelays { version: 0, relays: Vec::new() });
        if known.version != version {
            *known = HallRelays { version, relays: tree.relays_of(hall, directory) };
        }
        known.relays.clone()
    }
}

/// Returns a time after which the sender of `watch`, one of `live` instances, is to ask again. It differs between senders
/// and requests, so that those deferred together do not come together.
pub(crate) fn defer_time(watch: &WatchRequest, live: usize) -> Duration {
    let longest = DEFER_TIME_EACH * live as u32;
    let draw = id::rendezvous(&watch.round.to_string(), &watch.listing.name) % 1_000;
    longest / 2 + longest * draw as u32 / 1_000
}
