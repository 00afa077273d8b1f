//! Policy settings: choice of endpoints, admission, retries, scaling and slow start.
//!
//! Each mechanism can be disabled and each weight be set, so that its effect can be measured. The defaults equal
//! `deploy/policy.toml`.

use std::path::{Path, PathBuf};

use rudder_core::tree::Tree;
use rudder_route::{engine_cost::TimingOptions, scale::ScaleOptions, slow_start::SlowStart};
use serde::Deserialize;

/// An error in a policy file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML or has an unknown field; the source names key and line.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// The parse error.
        source: toml::de::Error,
    },
    /// A value out of range.
    #[error("{key}: {value} is not between {min} and {max}")]
    Value {
        /// The key of the setting.
        key: &'static str,
        /// Its value.
        value: f64,
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
    },
}

/// All policy settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Engines reserved for streams that are sensitive to the prefill of long prompts.
    pub lanes: LanePolicy,
    /// Choice among engines.
    pub choice: ChoicePolicy,
    /// Admission control, ejection and retries.
    pub guard: GuardPolicy,
    /// Which instances poll the leader and which a relay.
    pub relays: Tree,
    /// Autoscaling of engines.
    pub scaling: ScaleOptions,
    /// Slow start of endpoints that warm up.
    pub slow_start: SlowStart,
    /// Mechanisms for contended services.
    pub contention: ContentionPolicy,
    /// Choice among the engines of contended services by predicted times.
    pub timing: TimingOptions,
}

/// Switches of the mechanisms that apply to contended services only.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools, reason = "each switches one mechanism")]
pub struct ContentionPolicy {
    /// Speeds and pace are learned for each endpoint and exchanged between instances.
    pub condition: bool,
    /// Engines are compared by the predicted time to the first event, and lanes are formed by speed.
    pub timing: bool,
    /// One admission decision by priority over the requests of all instances.
    pub admission: bool,
    /// Refused callers are scheduled to return.
    pub returns: bool,
    /// Fair shares between organisations.
    pub shares: bool,
    /// On-demand engines make room for the spot engines that are to replace them.
    pub release: bool,
}

impl Default for ContentionPolicy {
    fn default() -> Self {
        ContentionPolicy { condition: true, timing: true, admission: true, returns: true, shares: true, release: true }
    }
}

/// Engines reserved for streams that are sensitive to the prefill of long prompts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LanePolicy {
    /// Whether engines are reserved at all.
    pub enabled: bool,
    /// A route is quick if its pause target is at most this share of the longest one of its service.
    pub quick: f64,
    /// A route with the shortest pause target of its service is quick, too, if the pauses at an engine under constant
    /// prefill are at least this share of the target.
    pub crowded: f64,
    /// Share of the quick lane's slots in use above which the lane grows.
    pub fill: f64,
    /// Largest share of the engines in the quick lane.
    pub largest: f64,
    /// Smallest share of the engines in the quick lane: the loss of one engine must not end a large share of the quick
    /// streams.
    pub smallest: f64,
    /// Quick streams overflow to the other lane if the best engine of their own has at least this share of its slots in
    /// use; 0 disables overflow.
    pub overflow: f64,
}

impl Default for LanePolicy {
    fn default() -> Self {
        LanePolicy { enabled: true, quick: 0.3, crowded: 0.3, fill: 0.6, largest: 0.5, smallest: 0.2, overflow: 0.8 }
    }
}

/// Choice among engines. The costs are in prompt tokens to process before a request.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ChoicePolicy {
    /// Session affinity: requests prefer engines that are likely to have the session's prompt parts cached.
    pub sessions: bool,
    /// Cost of each request in flight at an engine.
    pub call_cost: u32,
    /// Cost of an engine whose KV cache would overflow, so that it would preempt its newest request.
    pub memory_cost: u32,
    /// Cost of each token of the session's prompt parts that an engine does not have cached: its prefill delays the
    /// engine's other requests, and a fetched copy evicts other entries.
    pub read_again: u32,
    /// An engine fetches at least this many cached tokens of a session from another engine, if that is faster than
    /// prefill; 0 disables fetching. Fewer tokens are processed in the time that it takes to set up a transfer.
    pub fetch_least: u32,
    /// Upper bound of the cost of missing tokens, as the tokens processed in this share of the route's target, so that
    /// a request leaves its session's engines before it would miss the target there.
    pub again_most: f64,
    /// Cost of an engine in another hall for a quick stream: a packet lost between halls is retransmitted after 200 ms,
    /// about the pause target of such a stream.
    pub far_cost: u32,
    /// Number of random engines to compare with those of a request's session.
    pub drawn: usize,
    /// The KV cache of quick streams with at least this many expected tokens is copied to a backup while they run, as
    /// the risk and the cost of losing the engine grow with the length; 0 disables copies.
    pub copied: u32,
    /// Copies are made only if transfer is this many times as fast as prefill: every copy uses the links, and few
    /// streams need theirs.
    pub copy_speed: f64,
}

impl Default for ChoicePolicy {
    fn default() -> Self {
        ChoicePolicy {
            sessions: true,
            call_cost: 60,
            memory_cost: 40_000,
            read_again: 8,
            fetch_least: 500,
            again_most: 0.7,
            far_cost: 900,
            drawn: 3,
            copied: 200,
            copy_speed: 20.0,
        }
    }
}

/// Admission control, ejection and retries.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools, reason = "each switches one mechanism")]
pub struct GuardPolicy {
    /// Requests are sent to an engine while fewer of the same and higher priorities than this multiple of its slots are
    /// in flight there, and rejected at once if there is no such engine; 0 disables the bound.
    pub full: f64,
    /// Share of the room of each priority that the next lower one leaves free.
    pub headroom: f64,
    /// Streams of the lowest priority are rejected at once if their expected wait at the best engine exceeds this multiple of
    /// their target. Those of the highest priority wait for slots alone. 0 disables rejection of all priorities.
    pub hopeless: f64,
    /// Streams of all other priorities are rejected at once if their expected wait exceeds this share of their callers'
    /// patience. The rest is a margin: predictions are too short while the load rises.
    pub waiting: f64,
    /// Requests for engines are rejected at once while the service rejects more urgent ones for lack of capacity.
    pub shedding: bool,
    /// A stream's timeout for its first event is extended by this multiple of the expected wait at its engine.
    pub patience: f64,
    /// Endpoints are ejected for a while after failures that this instance observes.
    pub ejection: bool,
    /// Endpoints are ejected if they fail far more often than others, by the outcomes of all instances.
    pub suspects: bool,
    /// Retryable requests without a timely answer are sent to another endpoint.
    pub impatience: bool,
    /// Request contents under which several endpoints crashed are rejected.
    pub quarantine: bool,
}

impl Default for GuardPolicy {
    fn default() -> Self {
        GuardPolicy {
            full: 1.0,
            headroom: 0.2,
            hopeless: 0.5,
            waiting: 0.8,
            shedding: true,
            patience: 4.0,
            ejection: true,
            suspects: true,
            impatience: true,
            quarantine: true,
        }
    }
}

/// Longest time for which demand is held, in seconds.
const MAX_HOLD_SECONDS: f64 = 86_400.0;
/// Largest share of the slots that a priority leaves to the next higher one: with all of them, it would get none.
const MAX_HEADROOM: f64 = 0.9;
/// Largest factor of a time or speed.
const MAX_FACTOR: f64 = 1000.0;

/// Largest number of instances.
const MAX_COUNT: usize = 100_000;
/// Smallest number of live instances for which relays can be used: with fewer, none is left beside the leader.
const MIN_DIRECT: usize = 3;
/// Longest interval between polls of a relay, in periods of 100 ms: at most half of the 1.5 s for which a proof is valid
/// that a route or key does not exist.
const MAX_PERIODS: f64 = 7.0;

/// Checks that counts lie between their minimum and [`MAX_COUNT`].
fn check_counts(counts: &[(&'static str, usize, usize)]) -> Result<(), Error> {
    for &(key, count, min) in counts {
        if !(min..=MAX_COUNT).contains(&count) {
            return Err(Error::Value { key, value: count as f64, min: min as f64, max: MAX_COUNT as f64 });
        }
    }
    Ok(())
}

/// Checks that values lie between 0 and `max`.
fn check_values(values: &[(&'static str, f64)], max: f64) -> Result<(), Error> {
    let min = 0.0;
    for &(key, value) in values {
        if !(min..=max).contains(&value) {
            return Err(Error::Value { key, value, min, max });
        }
    }
    Ok(())
}

impl Policy {
    /// Reads a policy from a TOML file. Missing settings have their defaults.
    ///
    /// # Errors
    /// When the file cannot be read, has an unknown field or has a value out of range.
    pub fn read(path: &Path) -> Result<Policy, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
        let policy: Policy = toml::from_str(&text).map_err(|source| Error::Parse { path: path.to_owned(), source })?;
        policy.check()?;
        Ok(policy)
    }

    fn check(&self) -> Result<(), Error> {
        let shares = [
            ("lanes.quick", self.lanes.quick),
            ("lanes.crowded", self.lanes.crowded),
            ("lanes.fill", self.lanes.fill),
            ("lanes.overflow", self.lanes.overflow),
            ("lanes.largest", self.lanes.largest),
            ("lanes.smallest", self.lanes.smallest),
            ("choice.again_most", self.choice.again_most),
            ("timing.slow", self.timing.slow),
            ("timing.recovered", self.timing.recovered),
            ("timing.idle", self.timing.idle),
            ("guard.waiting", self.guard.waiting),
            ("scaling.slots", self.scaling.target_utilisation),
            ("scaling.floor", self.scaling.on_demand_share),
        ];
        let factors = [
            ("choice.copy_speed", self.choice.copy_speed),
            ("timing.stream_delay", self.timing.stream_delay),
            ("timing.read_again", self.timing.read_again),
            ("timing.gap_margin", self.timing.gap_margin),
            ("guard.full", self.guard.full),
            ("guard.hopeless", self.guard.hopeless),
            ("guard.patience", self.guard.patience),
            ("timing.queue", self.timing.queue),
            ("timing.search", self.timing.search),
        ];
        check_values(&shares, 1.0)?;
        check_values(&factors, MAX_FACTOR)?;
        check_values(&[("guard.headroom", self.guard.headroom)], MAX_HEADROOM)?;
        check_values(&[("scaling.pressing", self.scaling.overload_factor)], MAX_FACTOR)?;
        check_values(&[("scaling.hold", self.scaling.hold_seconds)], MAX_HOLD_SECONDS)?;
        check_counts(&[
            ("relays.direct", self.relays.direct, MIN_DIRECT),
            ("relays.askers", self.relays.askers, 1),
            ("relays.least", self.relays.least, 1),
            ("slow_start.senders", self.slow_start.senders, 1),
        ])?;
        check_counts(&[("relays.periods", self.relays.periods as usize, 1)])?;
        check_values(&[("relays.periods", f64::from(self.relays.periods))], MAX_PERIODS)
    }
}
