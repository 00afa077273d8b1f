//! The identity of an instance and the settings of its reducer.

use std::time::Duration;

use rudder_model::{HallId, InstanceId, Start};
use rudder_route::scale::ScaleOptions;

use crate::tree::Tree;

/// The identity of this instance.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: InstanceId,
    /// Its hall.
    pub hall: HallId,
    /// Number of its current start.
    pub start: Start,
    /// Address for callers; `None` if it accepts none.
    pub address: Option<String>,
    /// Time since the Unix epoch, by the local clock, at which the instance's own time was zero.
    pub epoch: Duration,
}

/// Settings of usage reports: requests by organisation and window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageOptions {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window by which its report is due.
    pub due: Duration,
    /// Maximum delay until the start of a request is known; plain services reveal it only with their answer.
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

/// Settings of the duties that one instance at a time holds for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DutyOptions {
    /// Time for which a new holder makes no calls, so that two holders never alternate within it.
    pub handover: Duration,
    /// Usage reports, if enabled.
    pub usage: Option<UsageOptions>,
    /// Scaling of engines, if enabled.
    pub scaling: Option<ScaleOptions>,
}

impl DutyOptions {
    /// Returns whether any duty is enabled.
    pub fn is_any(&self) -> bool {
        self.usage.is_some() || self.scaling.is_some()
    }
}

/// Settings of the reducer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instances to contact first when the leader is unknown.
    pub seeds: Vec<InstanceId>,
    /// Instances that found the log.
    pub founders: Vec<InstanceId>,
    /// Halls, nearest first.
    pub nearest: Vec<HallId>,
    /// Interval between watch requests.
    pub watch_interval: Duration,
    /// Maximum age of the freshness proof with which new work is started.
    pub max_proof_age: Duration,
    /// Time without a sign of life after which an instance is removed from the directory.
    pub liveness_timeout: Duration,
    /// Time for which callers may use a list of entries.
    pub entries_ttl: Duration,
    /// Interval between polls of an endpoint.
    pub poll_interval: Duration,
    /// Minimum interval between two load orders, over all endpoints.
    pub load_interval: Duration,
    /// Time after which an order is abandoned.
    pub order_timeout: Duration,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_every: u64,
    /// Bytes of commands after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// The relay tree.
    pub tree: Tree,
    /// Time without a heartbeat after which an endpoint is reported as silent.
    pub silence_timeout: Duration,
    /// Maximum time for acknowledging the departure of an endpoint.
    pub leave_timeout: Duration,
    /// Duties that one instance holds for all.
    pub duties: DutyOptions,
    /// Bytes per second at which pieces of large messages are sent.
    pub transfer_rate: u64,
    /// Settings of the replicated log.
    pub replica: rudder_replica::Options,
    /// Settings of the scheduling policy.
    pub route: rudder_route::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seeds: Vec::new(),
            founders: Vec::new(),
            nearest: Vec::new(),
            watch_interval: Duration::from_millis(400),
            max_proof_age: Duration::from_secs(3),
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
            transfer_rate: 4 << 20,
            replica: rudder_replica::Options::default(),
            route: rudder_route::Options::default(),
        }
    }
}
