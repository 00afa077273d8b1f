//! Settings of the entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::PathBuf,
    time::Duration,
};

use rudder_core::options::DutyOptions;
use rudder_model::{HallId, InstanceId, RegionId};

use crate::Policy;

/// Where an instance listens. Which listeners it has is its part in the deployment: one without a listener for callers
/// stands in no list that callers get, and serves the configuration and the lists of instances and endpoints only.
#[derive(Clone, Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For questions whether it takes callers.
    pub ready: Option<SocketAddr>,
    /// For operators and endpoints.
    pub operators: Option<SocketAddr>,
    /// For callers who ask which instances to use.
    pub directory: Option<SocketAddr>,
    /// For other instances; its text is the instance's name.
    pub peers: SocketAddr,
    /// For metrics, where they are wanted.
    pub metrics: Option<SocketAddr>,
}

impl Listeners {
    /// The listeners that are not for callers' requests, each address once: one address may serve several.
    pub fn control(&self) -> BTreeSet<SocketAddr> {
        [self.ready, self.operators, self.directory].into_iter().flatten().collect()
    }
}

/// Duties that one instance at a time holds for all, and whom its calls go to.
#[derive(Clone, Debug)]
pub struct Duties {
    /// Name under which this instance makes calls.
    pub holder: String,
    /// Who takes the calls.
    pub receiver: SocketAddr,
    /// What the reducer needs of it.
    pub core: DutyOptions,
}

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens.
    pub listeners: Listeners,
    /// Its hall.
    pub hall: HallId,
    /// The region of each hall of the deployment, where the settings tell it.
    pub regions: BTreeMap<HallId, RegionId>,
    /// Instances to start from: their addresses for other instances.
    pub seeds: Vec<InstanceId>,
    /// The system starts for the first time, so the seeds found the log.
    pub bootstrap: bool,
    /// The data folder, where there is a disk.
    pub data: Option<PathBuf>,
    /// Voters wanted.
    pub voters: usize,
    /// No keyed request starts without proof of the configuration this young.
    pub max_proof_age: Duration,
    /// A request is told that its route or key does not exist only with proof this young.
    pub max_denial_proof_age: Duration,
    /// How long callers may keep the list of entries.
    pub entries_ttl: Duration,
    /// Callers may keep it this many times as long.
    pub entries_ttl_factor: u32,
    /// From the signal to stop to the kill.
    pub grace: Duration,
    /// Requests sent again, as a share of the requests.
    pub retry_ratio: f64,
    /// Time over which that share counts.
    pub retry_window: Duration,
    /// Requests sent again beyond the share, in one window, over all instances.
    pub retry_extra: u32,
    /// A request refused because its endpoints are full is told to come back after this.
    pub retry_after: Duration,
    /// A request refused because this instance lacks proof of the configuration is told to come back
    /// after this: about the time that an election takes.
    pub recovery_retry_after: Duration,
    /// Time from a start until the configuration is proved where all instances start at once: an election and
    /// the spread of the configuration.
    pub startup_time: Duration,
    /// Time between an endpoint's heartbeats.
    pub heartbeat: Duration,
    /// Time between questions for news.
    pub poll_interval: Duration,
    /// Lines logged in a second at most.
    pub log_lines: u32,
    /// Bytes of memory that the process may take, where the settings tell it.
    pub memory: Option<usize>,
    /// Duties, where there are any.
    pub duties: Option<Duties>,
    /// Settings of the decisions.
    pub policy: Policy,
}

impl Options {
    /// The usual settings for the given place.
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
            policy: Policy::default(),
        }
    }

    /// Its name among the instances: where others reach it.
    pub fn name(&self) -> InstanceId {
        InstanceId::from(self.listeners.peers.to_string())
    }
}
