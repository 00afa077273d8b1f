//! Options of an instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use rudder_core::options::DutyOptions;
use rudder_model::{HallId, InstanceId, RegionId};

use crate::Policy;

/// Bytes per second of a link of which the settings tell nothing.
const DEFAULT_LINK_RATE: u64 = 1_250_000;

/// Addresses at which an instance listens, which define its role. An instance without a listener for callers appears in
/// no list for callers and serves only the configuration and the lists of instances and endpoints.
#[derive(Clone, Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For readiness checks.
    pub ready: Option<SocketAddr>,
    /// For operators and endpoints.
    pub operators: Option<SocketAddr>,
    /// For callers that query the instances to use.
    pub directory: Option<SocketAddr>,
    /// For other instances; the address is also the instance's name.
    pub peers: SocketAddr,
    /// For metrics.
    pub metrics: Option<SocketAddr>,
}

impl Listeners {
    /// The local address of this instance's connections.
    pub fn origin(&self) -> IpAddr {
        self.peers.ip()
    }

    /// The distinct addresses of the listeners for readiness, operators and the directory, which may share one.
    pub fn control(&self) -> BTreeSet<SocketAddr> {
        [self.ready, self.operators, self.directory].into_iter().flatten().collect()
    }
}

/// Duties that one instance at a time holds for all, and the receiver of its calls.
#[derive(Clone, Debug)]
pub struct Duties {
    /// Name of this instance in its calls.
    pub holder: String,
    /// Address of the receiver.
    pub receiver: SocketAddr,
    /// Options for the reducer.
    pub core: DutyOptions,
}

/// Options of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The addresses at which it listens.
    pub listeners: Listeners,
    /// Its hall.
    pub hall: HallId,
    /// The region of each hall of the deployment, as far as configured.
    pub regions: BTreeMap<HallId, RegionId>,
    /// Seed instances, by their addresses for other instances.
    pub seeds: Vec<InstanceId>,
    /// The system starts for the first time, so the seeds create the log.
    pub bootstrap: bool,
    /// The data folder, if there is a disk.
    pub data: Option<PathBuf>,
    /// Target number of voters.
    pub voters: usize,
    /// Largest age of the proof of the configuration with which requests are sent.
    pub max_proof_age: Duration,
    /// Largest age of the proof with which a request is refused because its route or key does not exist.
    pub max_denial_proof_age: Duration,
    /// Maximum age of the proof that the endpoints are the newest with which a request is sent to one.
    pub max_endpoints_age: Duration,
    /// Bytes per second of this machine's link in each direction.
    pub link_rate: u64,
    /// How long callers may cache the list of entries.
    pub entries_ttl: Duration,
    /// Callers may exceed `entries_ttl` by up to this factor.
    pub entries_ttl_factor: u32,
    /// Grace period from the stop signal to the kill.
    pub grace: Duration,
    /// Retry budget as a share of the requests.
    pub retry_ratio: f64,
    /// Time window of the retry budget.
    pub retry_window: Duration,
    /// Retries per window beyond the share, over all instances.
    pub retry_extra: u32,
    /// `Retry-After` of a request that was refused because its endpoints are full.
    pub retry_after: Duration,
    /// `Retry-After` of a request that was refused for lack of a proof of the configuration: about the time of an
    /// election.
    pub recovery_retry_after: Duration,
    /// Time until the configuration is proved when all instances start at once: an election and the distribution of the
    /// configuration.
    pub startup_time: Duration,
    /// Interval of endpoints' heartbeats.
    pub heartbeat: Duration,
    /// Interval at which the view is polled for updates.
    pub poll_interval: Duration,
    /// Largest number of log lines per second and thread.
    pub log_lines: u32,
    /// Memory limit of the process in bytes, if configured.
    pub memory: Option<usize>,
    /// Duties, if any.
    pub duties: Option<Duties>,
    /// Whether the mechanisms for contended services apply to all services.
    pub contended: bool,
    /// Policy of routing decisions.
    pub policy: Policy,
}

impl Options {
    /// Default options for the given listeners and hall.
    pub fn new(listeners: Listeners, hall: HallId) -> Options {
        Options {
            listeners,
            hall,
            regions: BTreeMap::new(),
            seeds: Vec::new(),
            bootstrap: false,
            data: None,
            voters: 3,
            max_proof_age: Duration::from_millis(4500),
            max_denial_proof_age: Duration::from_millis(1500),
            max_endpoints_age: Duration::from_millis(4500),
            link_rate: DEFAULT_LINK_RATE,
            entries_ttl: Duration::from_secs(4),
            entries_ttl_factor: 3,
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_extra: 50,
            retry_after: Duration::from_millis(300),
            recovery_retry_after: Duration::from_millis(700),
            startup_time: Duration::from_secs(1),
            heartbeat: Duration::from_millis(1200),
            poll_interval: Duration::from_millis(100),
            log_lines: 600,
            memory: None,
            duties: None,
            contended: false,
            policy: Policy::default(),
        }
    }

    /// The instance's name: its address for other instances.
    pub fn name(&self) -> InstanceId {
        InstanceId::from(self.listeners.peers.to_string())
    }
}
