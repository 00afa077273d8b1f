//! What callers, endpoints and operators saw. Times are counted from the start of the soak.

use std::time::Duration;

/// What a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A call that runs once at most.
    Once,
    /// A call that may be repeated.
    Again,
    /// A stream that runs once at most.
    Stream,
    /// A stream that can be taken up elsewhere.
    Resume,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 4] = [Kind::Once, Kind::Again, Kind::Stream, Kind::Resume];

    /// True where it may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Once | Kind::Stream)
    }
}

/// What became of a call, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer looked whole.
        whole: bool,
        /// It is what an endpoint made for this very call, all of it where it looked whole.
        right: bool,
    },
    /// The connection ended, or nothing came in time.
    Lost,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What it asked for.
    pub kind: Kind,
    /// The instance it went to.
    pub instance: usize,
    /// The key it bore.
    pub key: String,
    /// The content ends endpoints.
    pub deadly: bool,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended for its caller.
    pub ended: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

/// A call that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The call's id.
    pub call: String,
    /// The instance that sent it, which may be another than the one called; `None` where that is not known.
    pub sender: Option<usize>,
    /// The life of the endpoint.
    pub life: String,
    /// The zone of the endpoint.
    pub zone: String,
    /// When.
    pub at: Duration,
    /// It began to run.
    pub ran: bool,
    /// It bore a content that ends endpoints.
    pub deadly: bool,
    /// The part of its prompt that ends endpoints, where it bore one.
    pub part: Option<String>,
    /// What the endpoint asked for beside its answer.
    pub pushback: Option<Pushback>,
    /// The limit that its answer named, in requests a second.
    pub limit: Option<f64>,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id.
    pub id: u64,
    /// The software version of the endpoint that wrote it.
    pub version: String,
}

/// One try of a caller to get a stream, or the rest of it.
#[derive(Clone, Debug)]
pub struct Try {
    /// The id of the call.
    pub id: String,
    /// The instance it went to.
    pub instance: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended for its caller.
    pub ended: Duration,
    /// HTTP status; `None` where no answer came.
    pub status: Option<u16>,
    /// The events that came complete, in order.
    pub events: Vec<Event>,
    /// The answer looked whole.
    pub whole: bool,
}

/// A stream that its caller takes up again when it breaks off.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Its tries, in order.
    pub tries: Vec<Try>,
    /// The id of the last event of the whole stream; the first has 1.
    pub last: u64,
}

/// What an endpoint asks of the instance that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// To send it nothing for this long.
    Backoff(Duration),
    /// To send it nothing more: it leaves.
    Leaving,
}

/// An endpoint's word that it takes no more work, acknowledged.
#[derive(Clone, Debug)]
pub struct Leave {
    /// The life of the endpoint.
    pub life: String,
    /// When it was acknowledged.
    pub at: Duration,
}

/// A zone that was to get nothing.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// Which.
    pub zone: String,
    /// When that was acknowledged.
    pub from: Duration,
    /// When it was taken back.
    pub until: Duration,
}

/// A span in which an endpoint was cold, from when all could know it.
#[derive(Clone, Debug)]
pub struct Cold {
    /// The life of the endpoint.
    pub life: String,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A span in which an endpoint named a rate limit in all its answers.
#[derive(Clone, Debug)]
pub struct Limit {
    /// The life of the endpoint.
    pub life: String,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
    /// Requests a second that it takes from all instances together.
    pub limit: f64,
}

/// A span in which an instance had no links to any endpoint.
#[derive(Clone, Debug)]
pub struct Isolation {
    /// Which instance.
    pub instance: usize,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A configuration that was acknowledged or read.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its version.
    pub version: u64,
    /// When it was acknowledged; when it was asked for.
    pub at: Duration,
}

/// A key that was taken away.
#[derive(Clone, Debug)]
pub struct Removal {
    /// The key.
    pub key: String,
    /// When that was acknowledged.
    pub at: Duration,
}

/// A planned stop.
#[derive(Clone, Debug)]
pub struct Stop {
    /// Which instance.
    pub instance: usize,
    /// When it was asked for.
    pub from: Duration,
    /// When the process had ended.
    pub until: Duration,
    /// No other fault was under way from a little before to its end.
    pub alone: bool,
}

/// A span in which an instance was down, paused or suspended.
#[derive(Clone, Debug)]
pub struct Absence {
    /// Which instance.
    pub instance: usize,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A process that ended though nobody ended it.
#[derive(Clone, Debug)]
pub struct OwnEnd {
    /// Which instance.
    pub instance: usize,
    /// When it was seen.
    pub at: Duration,
    /// Its exit code, where there is one.
    pub code: Option<i32>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Calls.
    pub calls: Vec<Call>,
    /// Streams that callers take up again.
    pub streams: Vec<Stream>,
    /// What reached endpoints.
    pub arrivals: Vec<Arrival>,
    /// Acknowledged leaves.
    pub leaves: Vec<Leave>,
    /// Evacuations.
    pub evacuations: Vec<Evacuation>,
    /// Endpoints that were cold.
    pub colds: Vec<Cold>,
    /// Limits that endpoints named.
    pub limits: Vec<Limit>,
    /// Instances without links.
    pub isolations: Vec<Isolation>,
    /// Acknowledged configurations, in order of their acknowledgement.
    pub accepted: Vec<Version>,
    /// Configurations read back.
    pub read: Vec<Version>,
    /// The version read at the end; `None` where none could be had.
    pub last: Option<u64>,
    /// A configuration that cannot be put in force was acknowledged.
    pub invalid_taken: u64,
    /// Keys taken away.
    pub removals: Vec<Removal>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Spans in which instances were not there.
    pub absences: Vec<Absence>,
    /// Processes that ended by themselves.
    pub own_ends: Vec<OwnEnd>,
    /// From then on no fault was under way.
    pub calm: Duration,
}
