//! Commands that voters agree on, and their answers.

use std::time::Duration;

use rudder_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Change, Changed, Claim, Departure, Document, Evacuation, Findings, Forgotten, Outcome, Patch, StageChange,
    Standing, Tally, Window,
};

/// One command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces or deletes one configuration object.
    Change(Change),
    /// Replaces the whole configuration document, if its version is above the one held.
    Document(Document),
    /// The same, told by what differs from an earlier version.
    DocumentPatch(Patch),
    /// Claims a key for one attempt.
    Claim(Claim),
    /// The owner gives a claim back: the attempt did not run and never will.
    Release {
        /// The key claimed.
        key: String,
        /// The attempt that holds it.
        attempt: Attempt,
    },
    /// The owner reports how the attempt ended.
    Finish {
        /// The key claimed.
        key: String,
        /// The attempt that holds it.
        attempt: Attempt,
        /// How it ended.
        outcome: Outcome,
    },
    /// Adds to the counts of windows that are open.
    Tally(Tally),
    /// Closes a window of usage and all before it: their counts are final.
    CloseWindow(Window),
    /// The receiver has acknowledged the report of a window.
    Reported(Window),
    /// What became of contents under which endpoints ended.
    Findings(Findings),
    /// Evacuates a hall, or takes that back.
    Evacuate(Evacuation),
    /// Endpoints drain or have ended.
    Depart(Vec<Departure>),
    /// Drops departures whose endpoints are no longer remembered.
    ForgetDepartures(Forgotten),
    /// Versions of endpoints' software take steps.
    SetStages(Vec<StageChange>),
    /// Drops the moves of routes up to this log index.
    ForgetMoves(u64),
}

/// A command with the time at which its leader took it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamped {
    /// Wall-clock time since the Unix epoch, by the leader's clock.
    pub time: Duration,
    /// The instance that proposed it.
    pub proposer: InstanceId,
    /// The command.
    pub command: Command,
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Answer to [`Command::Change`].
    Changed(Changed),
    /// Answer to [`Command::Document`] and [`Command::DocumentPatch`]: the version held from here on. It is below that of
    /// a patch that does not fit, which changes nothing.
    Documented(u64),
    /// Answer to the three claim commands: how the key stands now.
    Claimed(Standing),
    /// Answer to the commands on usage: whether they changed anything.
    Counted(bool),
    /// Answer to [`Command::Findings`]: whether instances are to be told.
    Found(bool),
    /// Answer to [`Command::Evacuate`]: whether it changed anything. The order stands in either case.
    Evacuated(bool),
    /// Answer to [`Command::Depart`] and [`Command::ForgetDepartures`]: whether it changed anything. The departures stand in
    /// either case.
    Departed(bool),
    /// Answer to [`Command::SetStages`] and [`Command::ForgetMoves`]: whether it changed anything.
    StagesSet(bool),
}
