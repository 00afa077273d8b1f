//! The settings themselves.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use rudder_model::{HallId, InstanceId};
use serde::Deserialize;
use toml::Spanned;

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name; one of `peers`.
    pub name: Spanned<InstanceId>,
    /// Data folder; only instances with a disk have one.
    pub data: Option<PathBuf>,
    /// File that the event log is appended to.
    pub events: Option<PathBuf>,
    /// Key that operators send.
    pub admin_key: Spanned<String>,
    /// Key that instances send each other.
    pub peer_key: Spanned<String>,
    /// Halls, nearest first, this instance's own included.
    pub nearest: Spanned<Vec<HallId>>,
    /// All instances, this one included.
    pub peers: Vec<Peer>,
    /// Shared state.
    #[serde(default)]
    pub control: Control,
    /// Callers and endpoints.
    #[serde(default)]
    pub traffic: Traffic,
}

/// One instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: Spanned<InstanceId>,
    /// Its hall.
    pub hall: HallId,
    /// Where callers and operators reach it.
    pub address: Spanned<SocketAddr>,
    /// Where other instances reach it.
    pub peer: Spanned<SocketAddr>,
    /// One of the first voters of the replicated log.
    #[serde(default)]
    pub founder: bool,
    /// Has a data folder, so it may become a voter.
    #[serde(default)]
    pub disk: bool,
}

/// Settings of shared state.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Voters wanted.
    pub voters: usize,
    /// Time between a leader's heartbeats.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Shortest election time-out.
    #[serde(with = "humantime_serde")]
    pub election: Duration,
    /// Time between an instance's questions for newer configuration.
    #[serde(with = "humantime_serde")]
    pub watch: Duration,
    /// An instance whose configuration is not proved fresh for this long starts no new work.
    #[serde(with = "humantime_serde")]
    pub fresh: Duration,
    /// A voter silent for this long is replaced.
    #[serde(with = "humantime_serde")]
    pub replace: Duration,
    /// Time between two loads that endpoints are ordered to do, for the weight store's sake.
    #[serde(with = "humantime_serde")]
    pub load_interval: Duration,
    /// An order is given up after this long; a new leader waits it out.
    #[serde(with = "humantime_serde")]
    pub order_timeout: Duration,
}

impl Default for Control {
    fn default() -> Self {
        Control {
            voters: 3,
            heartbeat: Duration::from_millis(250),
            election: Duration::from_millis(800),
            watch: Duration::from_millis(600),
            fresh: Duration::from_secs(3),
            replace: Duration::from_secs(10),
            load_interval: Duration::from_secs(2),
            order_timeout: Duration::from_secs(2),
        }
    }
}

/// Settings of traffic.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Traffic {
    /// How long callers may keep the list of entries.
    #[serde(with = "humantime_serde")]
    pub keep: Duration,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Requests handled at the same time.
    pub open: usize,
    /// An endpoint must accept a connection within this time.
    #[serde(with = "humantime_serde")]
    pub connect: Duration,
    /// An endpoint that sends nothing for this long has failed.
    #[serde(with = "humantime_serde")]
    pub idle: Duration,
    /// Time between two looks at an endpoint's load and cache events.
    #[serde(with = "humantime_serde")]
    pub poll: Duration,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            keep: Duration::from_secs(10),
            body: 1 << 20,
            open: 2000,
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(15),
            poll: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// This instance among its peers.
    ///
    /// # Panics
    /// When the settings were not checked: reading checks that the instance is listed.
    pub fn me(&self) -> &Peer {
        let name = self.name.get_ref();
        self.peers.iter().find(|peer| peer.name.get_ref() == name).expect("checked when read")
    }
}
