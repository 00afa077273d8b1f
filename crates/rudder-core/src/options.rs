//! Who this instance is, and its settings as the reducer needs them.

use std::time::Duration;

use rudder_model::{HallId, InstanceId, Start};
use rudder_route::scale::ScaleOptions;

use crate::tree::Tree;

/// Who this instance is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: InstanceId,
    /// Its hall.
    pub hall: HallId,
    /// Number of this start.
    pub start: Start,
    /// Where callers reach it; `None` where it takes none.
    pub address: Option<String>,
    /// Wall-clock time since the Unix epoch at which the instance's own time was zero.
    pub epoch: Duration,
}

/// Reports of requests by organisation and window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageOptions {
    /// Length of a window.
    pub window: Duration,
    /// A window's report is due this long after its end.
    pub due: Duration,
    /// When a request began is known this long after at the latest: plain services tell it only with their answer.
    pub settle: Duration,
}

impl Default for UsageOptions {
    fn default() -> Self {
        UsageOptions {
            window: Duration::from_secs(5),
            due: Duration::from_secs(10),
            settle: Duration::from_millis(1500),
        }
    }
}

/// Duties that one instance at a time holds for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DutyOptions {
    /// A new holder makes no call for this long, so that two never act by turns within it.
    pub handover: Duration,
    /// Reports of requests, where they are wanted.
    pub usage: Option<UsageOptions>,
    /// Orders of engines, where they are wanted.
    pub scaling: Option<ScaleOptions>,
}

impl DutyOptions {
    /// True where there is a duty at all.
    pub fn is_any(&self) -> bool {
        self.usage.is_some() || self.scaling.is_some()
    }
}

/// Settings of the reducer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instances that may lead: those with a disk.
    pub seeds: Vec<InstanceId>,
    /// Instances that found the log together.
    pub founders: Vec<InstanceId>,
    /// Halls, nearest first.
    pub nearest: Vec<HallId>,
    /// Time between questions for newer configuration.
    pub watch_interval: Duration,
    /// No new work is started without proof this young.
    pub freshness_bound: Duration,
    /// An instance silent for this long is taken off the directory.
    pub liveness_timeout: Duration,
    /// How long callers may keep the list of entries.
    pub entries_ttl: Duration,
    /// Time between looks at an endpoint.
    pub poll_interval: Duration,
    /// Time between two loads ordered, over all endpoints.
    pub load_interval: Duration,
    /// An order is given up after this long.
    pub order_timeout: Duration,
    /// Entries in the log that make a snapshot due.
    pub snapshot_every: u64,
    /// Bytes of commands in the log that make a snapshot due.
    pub snapshot_bytes: u64,
    /// Who asks the leader and who asks a relay.
    pub tree: Tree,
    /// An endpoint unheard for this long is shown as silent.
    pub silence_timeout: Duration,
    /// An endpoint's word that it leaves is acknowledged within this or not at all.
    pub leave_timeout: Duration,
    /// Duties held by one instance.
    pub duties: DutyOptions,
    /// The replicated log.
    pub replica: rudder_replica::Options,
    /// The policy.
    pub route: rudder_route::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seeds: Vec::new(),
            founders: Vec::new(),
            nearest: Vec::new(),
            watch_interval: Duration::from_millis(400),
            freshness_bound: Duration::from_secs(3),
            liveness_timeout: Duration::from_secs(2),
            entries_ttl: Duration::from_secs(10),
            poll_interval: Duration::from_secs(1),
            load_interval: Duration::from_secs(2),
            order_timeout: Duration::from_secs(2),
            snapshot_every: 5000,
            snapshot_bytes: 64 << 20,
            tree: Tree::default(),
            silence_timeout: Duration::from_secs(5),
            leave_timeout: Duration::from_millis(800),
            duties: DutyOptions::default(),
            replica: rudder_replica::Options::default(),
            route: rudder_route::Options::default(),
        }
    }
}
