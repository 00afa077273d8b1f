//! Settings of the decisions: which engines a request may go to, which it goes to, what is refused and sent again.
//!
//! Each mechanism can be switched off and each weight be set, so that what it is worth can be measured. The defaults
//! are what ships; where a figure comes from stands beside it and, with its measurements, in docs/DECISIONS.md.

use std::path::{Path, PathBuf};

use rudder_core::tree::Tree;
use rudder_route::{scale::ScaleOptions, slow_start::SlowStart};
use serde::Deserialize;

/// Why a policy file is refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: std::io::Error,
    },
    /// It is no TOML, or names a field that does not exist; the text tells key and line.
    #[error("{path}: {source}")]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: toml::de::Error,
    },
    /// A figure that cannot be used.
    #[error("{key}: {value} is not between {least} and {most}")]
    Value {
        /// The field.
        key: &'static str,
        /// Its value.
        value: f64,
        /// Smallest value that can be used.
        least: f64,
        /// Largest value that can be used.
        most: f64,
    },
}

/// All settings of the decisions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Engines set apart for streams that suffer from long prompts beside them.
    pub lanes: LanePolicy,
    /// The choice among engines.
    pub choice: ChoicePolicy,
    /// What is refused, left out and sent again.
    pub guard: GuardPolicy,
    /// Who asks the leader for news and who a relay.
    pub relays: Tree,
    /// How many engines are ordered.
    pub scaling: ScaleOptions,
    /// What endpoints get while they warm up.
    pub slow_start: SlowStart,
}

/// Engines set apart for streams that suffer from long prompts beside them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LanePolicy {
    /// Engines are set apart at all.
    pub enabled: bool,
    /// A route is quick when it allows at most this part of the longest pause of its service.
    pub quick: f64,
    /// A route with the shortest pauses of its service is quick as well when the pause that an engine makes which
    /// reads all the time is at least this part of what the route allows.
    pub crowded: f64,
    /// Part of the quick lane's slots that is used before the lane grows.
    pub fill: f64,
    /// The quick lane never takes more than this part of the engines.
    pub largest: f64,
    /// Part of the engines that the quick lane has at least: the loss of one must not take a large part of the quick
    /// streams with it.
    pub smallest: f64,
    /// Part of an engine's slots: a quick stream goes to the other engines when the best of its own has as many in use;
    /// 0 for never.
    pub overflow: f64,
}

impl Default for LanePolicy {
    fn default() -> Self {
        LanePolicy { enabled: true, quick: 0.3, crowded: 0.3, fill: 0.6, largest: 0.5, smallest: 0.2, overflow: 0.8 }
    }
}

/// The choice among engines: the one with the least to read, all else counted as prompt tokens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ChoicePolicy {
    /// Requests of a session go where its part of the prompt is likely to be kept.
    pub sessions: bool,
    /// Each request under way at an engine counts as this many prompt tokens ahead.
    pub call_cost: u32,
    /// An engine whose memory would run out counts as this many prompt tokens behind: it would preempt its newest request.
    pub memory_cost: u32,
    /// Each token of its session's part that an engine lacks counts as this many prompt tokens ahead there: it is read
    /// again, for which the engine's other requests wait as well, or taken over, and its copy takes others' place.
    pub read_again: u32,
    /// An engine takes over a session's part of at least this many tokens from the engine that keeps it, where that is
    /// quicker than reading it; 0 for never. Setting up a move takes some ms, in which about as many are read.
    pub fetch_least: u32,
    /// What an engine lacks never counts for more than the reading of this part of the route's target, so that a
    /// request leaves its engines before it would come late there.
    pub again_most: f64,
    /// An engine of another hall counts as this many prompt tokens behind for a quick stream: a packet lost between
    /// halls is sent again after 200 ms, about the pause that the stream allows.
    pub far_cost: u32,
    /// Engines drawn by lot beside those of a request's session.
    pub drawn: usize,
    /// Quick streams expected to have at least this many tokens, which take about a second, have their memory copied
    /// while they run: the longer one runs, the likelier its engine ends under it, and the more is lost with it; 0 for
    /// no copies.
    pub copied: u32,
    /// They are copied only where the link moves tokens this many times as fast as engines read them: a copy takes part of
    /// the links for all streams, and pays for the few whose engine ends.
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

/// What is refused, left out and sent again.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools, reason = "each switches one mechanism")]
pub struct GuardPolicy {
    /// Streams of the lowest rank are refused at once where they would wait at the best engine for more than this part of
    /// their target; 0 for never.
    pub hopeless: f64,
    /// A stream that waits for its first event is patient for this many times the wait expected at its engine, beside what
    /// all are.
    pub patience: f64,
    /// Endpoints that fail are left out for a while, by this instance's own outcomes.
    pub ejection: bool,
    /// Endpoints that fail far more than the others are left out, by the outcomes of all instances.
    pub suspects: bool,
    /// What may be repeated and is left without an answer goes to another endpoint.
    pub impatience: bool,
    /// Contents under which endpoints ended one after the other are refused.
    pub quarantine: bool,
}

impl Default for GuardPolicy {
    fn default() -> Self {
        GuardPolicy { hopeless: 0.7, patience: 4.0, ejection: true, suspects: true, impatience: true, quarantine: true }
    }
}

/// Longest time in seconds for which demand may be remembered: a day.
const HOLD_MOST: f64 = 86_400.0;
/// Largest factor of a time or speed that can be meant.
const FACTOR_MOST: f64 = 1000.0;

/// Largest number of instances that can be meant.
const COUNT_MOST: usize = 100_000;
/// With fewer live instances all ask the leader: with one or two there is none to be a relay beside it.
const DIRECT_LEAST: usize = 3;
/// Periods of 100 ms in a question to a relay, at most: a proof of 1.5 s is wanted where a request is told that its route
/// or key does not exist, and half of that may pass between two questions.
const PERIODS_MOST: f64 = 7.0;

/// Checks that counts lie between their least and [`COUNT_MOST`].
fn check_counts(counts: &[(&'static str, usize, usize)]) -> Result<(), Error> {
    for &(key, count, least) in counts {
        if !(least..=COUNT_MOST).contains(&count) {
            return Err(Error::Value { key, value: count as f64, least: least as f64, most: COUNT_MOST as f64 });
        }
    }
    Ok(())
}

/// Checks that figures lie between 0 and `most`.
fn check_all(figures: &[(&'static str, f64)], most: f64) -> Result<(), Error> {
    let least = 0.0;
    for &(key, value) in figures {
        if !(least..=most).contains(&value) {
            return Err(Error::Value { key, value, least, most });
        }
    }
    Ok(())
}

impl Policy {
    /// Reads a policy from a TOML file; what it does not name has its default.
    ///
    /// # Errors
    /// When the file cannot be read, names an unknown field or holds a figure that cannot be used.
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
            ("scaling.slots", self.scaling.target_utilisation),
            ("scaling.floor", self.scaling.on_demand_share),
        ];
        let factors = [
            ("choice.copy_speed", self.choice.copy_speed),
            ("guard.hopeless", self.guard.hopeless),
            ("guard.patience", self.guard.patience),
        ];
        check_all(&shares, 1.0)?;
        check_all(&factors, FACTOR_MOST)?;
        check_all(&[("scaling.pressing", self.scaling.overload_factor)], FACTOR_MOST)?;
        check_all(&[("scaling.hold", self.scaling.hold_seconds)], HOLD_MOST)?;
        check_counts(&[
            ("relays.direct", self.relays.direct, DIRECT_LEAST),
            ("relays.askers", self.relays.askers, 1),
            ("relays.least", self.relays.least, 1),
            ("slow_start.senders", self.slow_start.senders, 1),
        ])?;
        check_counts(&[("relays.periods", self.relays.periods as usize, 1)])?;
        check_all(&[("relays.periods", f64::from(self.relays.periods))], PERIODS_MOST)
    }
}
