//! Events: changes of state, and the decisions taken for single requests.

use std::{sync::Arc, time::Duration};

use rudder_model::{ClassId, EndpointId, HallId, InstanceId, ModelId, OrgId, Ran, RefusalCode};
use serde::{Deserialize, Serialize};

/// One line of the event log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Wall-clock time since the Unix epoch, in microseconds.
    pub at: u64,
    /// The process that wrote it.
    pub instance: InstanceId,
    /// Microseconds since the process started, by its steady clock; orders its lines when its
    /// wall clock jumps.
    #[serde(default)]
    pub uptime: u64,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
}

/// How a stream that went whole to its caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEnd {
    /// Events that the caller got.
    pub events: u64,
    /// Events whose id does not rise over the one before, including those that were dropped.
    pub repeated: u64,
    /// The end was marked; otherwise the endpoint closed its connection.
    pub framed: bool,
}

/// Whether a count is left out of a line.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// What happened. Request ids are written in hexadecimal, as callers see them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum What {
    /// The process started.
    Started {
        /// Its hall.
        hall: HallId,
        /// Its start number.
        start: u64,
    },
    /// The process can prove its configuration fresh, or no longer can.
    Fresh {
        /// Which of both.
        fresh: bool,
        /// Configuration index it holds.
        index: u64,
    },
    /// This instance leads, or no longer does.
    Leads {
        /// Which of both.
        leads: bool,
        /// In this term.
        term: u64,
    },
    /// The membership of the log changed.
    Voters {
        /// Names of the voters.
        voters: Vec<InstanceId>,
        /// Names of the learners.
        learners: Vec<InstanceId>,
    },
    /// A newer configuration is in force here.
    Configured {
        /// Its index.
        index: u64,
    },
    /// A newer configuration document is in force here.
    Documented {
        /// Its version.
        version: u64,
        /// The version before.
        before: u64,
        /// Size of the document in bytes.
        size: usize,
        /// Size of the update that made it, in bytes.
        received: usize,
        /// The update was a patch.
        patched: bool,
    },
    /// What came as a change of the document does not fit the one held here; the whole is asked for.
    PatchUnfit {
        /// Version held.
        held: u64,
    },
    /// The directory of live instances changed.
    Directory {
        /// Number of live instances.
        live: usize,
        /// Names of those that came, the first few of them.
        came: Vec<InstanceId>,
        /// Names of those that went, the first few of them.
        went: Vec<InstanceId>,
    },
    /// Whom this instance asks for news changed.
    Parent {
        /// The relays of its hall that it asks, the first one first; none where it asks the leader.
        relays: Vec<InstanceId>,
    },
    /// A planned stop began.
    Stopping,
    /// The process ended as planned.
    Stopped,
    /// The disk refuses writes.
    DiskFull,
    /// A request was taken in.
    Arrived {
        /// The request.
        request: String,
        /// Its class.
        class: ClassId,
        /// Its organisation.
        org: OrgId,
        /// Model or service.
        model: ModelId,
    },
    /// A request was asked of a pool.
    Asked {
        /// The request.
        request: String,
        /// The pool's hall.
        hall: HallId,
        /// The instance that decides for the pool.
        home: InstanceId,
    },
    /// A pool granted a request a slot.
    Granted {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// How long it waited in the pool.
        waited: Duration,
    },
    /// A request went out to an endpoint.
    Dispatched {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// Counts the times it was sent.
        attempt: u32,
        /// Output events that the caller already has.
        resume: u32,
    },
    /// An attempt at an endpoint failed.
    Failed {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the attempt ran.
        ran: Ran,
        /// It is tried again.
        again: bool,
    },
    /// A request was recalled to make room for one of a higher tier.
    Recalled {
        /// The request.
        request: String,
        /// The request it makes room for.
        cause: String,
    },
    /// A request was answered whole.
    Done {
        /// The request.
        request: String,
        /// The endpoint; empty for a stored answer.
        endpoint: EndpointId,
        /// Tokens, for engines.
        tokens: u32,
        /// From arrival to the first token or answer.
        first: Duration,
        /// From arrival to the end.
        total: Duration,
    },
    /// A request was refused.
    Refused {
        /// The request.
        request: String,
        /// Why.
        code: RefusalCode,
        /// In words.
        text: String,
        /// Whether it ran.
        ran: Ran,
    },
    /// The caller left.
    Left {
        /// The request.
        request: String,
    },
    /// An endpoint gets no work for a while.
    Ejected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        why: String,
        /// How long.
        pause: Duration,
    },
    /// An endpoint turned a request away and wants nothing from this instance for a while.
    AskedToRest {
        /// The endpoint.
        endpoint: EndpointId,
        /// For how long, in milliseconds.
        rest_ms: u64,
    },
    /// An endpoint said in an answer, for the first time, that it leaves.
    SaidLeaving {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An endpoint named another rate limit in an answer than it did before.
    LimitNamed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests a second that it takes from all instances together; `None` where it names no limit any more.
        per_second: Option<f64>,
    },
    /// An endpoint named, in an answer, other rejections than before beyond which it falls over.
    BrittleNamed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Rejections a second that it bears from all instances together; `None` where it names none any more.
        per_second: Option<f64>,
    },
    /// A service begins or ends to refuse requests in favour of more urgent ones that all instances refuse.
    Shedding {
        /// The service.
        service: Arc<str>,
        /// The most urgent priority level that is refused now; none if requests of all levels are served.
        level: Option<u8>,
        /// Requests of all instances of late that were sent, by level.
        admitted: Vec<u32>,
        /// Those refused for lack of capacity.
        refused: Vec<u32>,
    },
    /// The outcomes of all instances together make an endpoint suspect: it gets no work while they do.
    Suspect {
        /// The endpoint.
        endpoint: EndpointId,
        /// Requests that ended there of late.
        ended: u32,
        /// Of these, requests that failed by it.
        failed: u32,
    },
    /// An ejected endpoint is back.
    Restored {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A caller's request was read and its route found.
    CallTaken {
        /// The caller's id of the request.
        request: String,
        /// Its route.
        route: Arc<str>,
        /// The organisation that holds its key.
        org: Option<Arc<str>>,
        /// Its content, in hexadecimal: a request that comes again under another id bears the same one.
        content: String,
        /// Version of the configuration document that decided.
        version: u64,
        /// Age of the proof that it is the newest, in milliseconds.
        proof_ms: u64,
        /// Time that the caller and the route allow, in milliseconds.
        left_ms: u64,
        /// The instance that passed it on, if one did.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        via: Option<InstanceId>,
    },
    /// A request was passed to another instance, as this one reaches no endpoint.
    CallPassed {
        /// The request.
        request: String,
        /// The other instance.
        to: InstanceId,
        /// Attempts that may have run before.
        runs: u32,
    },
    /// A request went out to an endpoint.
    CallSent {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// Counts the endpoints it was sent to.
        attempt: u32,
        /// Requests known to be there, its own not counted.
        calls: u32,
        /// Prompt tokens known to be unread there, its own not counted.
        ahead: u32,
        /// Prompt tokens that it is expected to add.
        unread: u32,
        /// Predicted time to its first event, in milliseconds, where its service is contended.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        predicted_ms: Option<u64>,
        /// Of the tokens unread there, those of its priority and above, in other services.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        queued: Option<u32>,
        /// Predicted wait for these and for the more urgent ones still to come, in milliseconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_ms: Option<u64>,
        /// KV cache tokens that the requests known to be there may need, its own not counted.
        #[serde(default)]
        held: u32,
        /// Its priority at the engine, 0 being the highest, if an engine serves it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rank: Option<u8>,
        /// Age of the others' part of that count, in milliseconds.
        others_ms: u64,
        /// Age of the proof that the endpoints known here are the newest, in milliseconds.
        #[serde(default)]
        endpoints_ms: u64,
        /// Version of the endpoint's software, if it reports one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<Arc<str>>,
        /// The connection had carried requests before.
        reused: bool,
        /// Time left, in milliseconds.
        left_ms: u64,
        /// Address of the engine from which it takes the session's part of its prompt, where it takes it along.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        fetch_from: Option<String>,
        /// The engine that keeps a copy of its memory, where one does.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        keeper: Option<EndpointId>,
        /// Requests a second that the endpoint takes from all instances together, as far as is known here.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limit: Option<f64>,
        /// Rejections a second, over all instances, beyond which the endpoint falls over, as far as is known here.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        brittle: Option<f64>,
        /// Lasting time per output token of the engine, in microseconds, as known here, in a contended service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        token_us: Option<u64>,
        /// Lasting prefill speed of the engine in tokens per millisecond, likewise.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prefill_speed: Option<f64>,
        /// Present time of work there as a multiple of the lasting one, likewise.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pace: Option<f64>,
    },
    /// A retry was asked of the retry budget of a service.
    RetryAsked {
        /// The request.
        request: String,
        /// The service.
        service: Arc<str>,
        /// Whether the budget granted it.
        granted: bool,
        /// Retries of this instance within the window, this one included if it was granted.
        retries: u32,
        /// Retries that the budget allows this instance within the window.
        allowed: f64,
        /// Requests of this instance within the window.
        requests: u32,
        /// Number of instances that share the fixed part of the budget.
        instances: u32,
    },
    /// A request would come late at the best endpoint there is, so it is refused.
    CallHopeless {
        /// The request.
        request: String,
        /// The best endpoint.
        endpoint: EndpointId,
        /// Prompt tokens unread there.
        ahead: u32,
        /// Those of them that are read before the request's own, by priority.
        #[serde(default)]
        queued: u32,
        /// Tokens of more urgent prompts that all instances send to the engines of its lane per second.
        #[serde(default)]
        urgent_rate: u64,
        /// Tokens that all engines of that lane read per second.
        #[serde(default)]
        capacity: u64,
        /// Expected wait for them, in milliseconds.
        wait_ms: u64,
        /// The route's target, in milliseconds.
        target_ms: u64,
    },
    /// A request to a contended service is refused for lack of capacity.
    CallOverCapacity {
        /// The request.
        request: String,
        /// The service.
        service: Arc<str>,
        /// Its priority level, 0 being the highest.
        level: u8,
        /// Why.
        reason: String,
        /// Predicted time to its first event at the chosen engine, in milliseconds; `None` if none was chosen.
        predicted_ms: Option<u64>,
        /// The route's target, in milliseconds.
        target_ms: u64,
        /// Time left, in milliseconds.
        left_ms: u64,
        /// Slots taken at the service's engines.
        taken: u32,
        /// Slots of the service's engines.
        slots: u32,
        /// Requests that wait at the service's engines.
        waiting: u32,
        /// Requests that all instances recently sent, by level.
        admitted: Vec<u32>,
        /// Requests that all instances recently refused for lack of capacity, by level.
        refused: Vec<u32>,
        /// Age of the other instances' part of these figures, in milliseconds; `None` if they have not reported.
        report_ms: Option<u64>,
    },
    /// A request is refused because its organisation is over its fair share, while others are refused for lack of capacity.
    CallOverShare {
        /// The request.
        request: String,
        /// Its organisation.
        organisation: OrgId,
        /// The service.
        service: ModelId,
        /// The organisation's recently admitted work, in tokens, with output tokens weighted.
        admitted: u64,
        /// Its recently refused work, in tokens.
        refused: u64,
        /// The fair level of admitted work, in tokens.
        level: u64,
        /// Age of what was known of other instances, in milliseconds; `None` if only this instance's figures were used.
        others_ms: Option<u64>,
    },
    /// An attempt at an endpoint failed.
    CallFailed {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// Counts the endpoints it was sent to.
        attempt: u32,
        /// Why.
        why: String,
        /// Whether the attempt ran.
        ran: Ran,
    },
    /// An endpoint's answer went to the caller, whole.
    CallAnswered {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// HTTP status.
        status: u16,
        /// From arrival to the first byte, in milliseconds.
        first_ms: u64,
        /// From arrival to the end, in milliseconds.
        total_ms: u64,
        /// Longest time between two parts, in milliseconds.
        pause_ms: u64,
        /// How a stream ended.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        stream: Option<StreamEnd>,
    },
    /// The instance answered a request itself.
    CallRefused {
        /// The request.
        request: String,
        /// Its route, if one was found.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        route: Option<Arc<str>>,
        /// Its priority level at the service of its route, 0 being the highest, if that runs engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        level: Option<u8>,
        /// HTTP status.
        status: u16,
        /// Why.
        why: String,
        /// Whether the request ran.
        ran: Ran,
        /// When the caller was told to come back, in milliseconds.
        retry_ms: Option<u64>,
        /// Whether a time was free for it in the schedule, if its service is contended and it lacked capacity.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        scheduled: Option<bool>,
        /// Its position among the scheduled callers of the same and higher priorities.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        position: Option<u32>,
    },
    /// A caller that had been refused for lack of capacity came again.
    CallReturned {
        /// The request.
        request: String,
        /// `due`, `early` or `unscheduled`.
        arrival: Arc<str>,
        /// Time since its refusal, in milliseconds; since its first attempt if another instance refused it.
        age_ms: u64,
        /// Whether it was admitted.
        admitted: bool,
    },
    /// An answer under way was broken off, or its caller left.
    CallCut {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// Why.
        why: String,
        /// Events that the caller has.
        events: u64,
        /// The longest pause so far, the one that it broke off in included, in milliseconds. A stream that its engine
        /// preempts pauses until it runs again.
        #[serde(default)]
        pause_ms: u64,
        /// Events whose id does not rise over the one before, including those that were dropped.
        #[serde(default, skip_serializing_if = "is_zero")]
        repeated: u64,
    },
    /// The machine was suspended.
    Woke {
        /// For how long.
        after: Duration,
    },
    /// What an endpoint, or another writer in its name, said of itself was refused; what is known of it stands.
    WordRefused {
        /// The endpoint named.
        endpoint: String,
        /// Why.
        why: String,
    },
    /// This instance reaches no endpoint any more.
    EndpointsLost {
        /// Endpoints that could not be reached, one after the other.
        lost: u32,
        /// Endpoints probed then, all in vain.
        tried: u32,
    },
    /// This instance reaches endpoints again.
    EndpointsReached {
        /// How long it reached none.
        after: Duration,
    },
    /// An endpoint ended, connections to it are refused, while a request was under way there.
    EndedUnder {
        /// The request.
        request: String,
        /// The endpoint.
        endpoint: EndpointId,
        /// The request's content, in hexadecimal.
        content: String,
        /// The parts of its prompt that others may share, in hexadecimal, unless it had written on them before.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<String>,
    },
    /// So many endpoints ended under a content that it is refused.
    Quarantined {
        /// The content, or the part of a prompt, in hexadecimal.
        content: String,
        /// For how long at most after the last of them; a part is refused for less.
        refused: Duration,
    },
    /// Other halls are evacuated now: their endpoints get nothing from here.
    Evacuations {
        /// Log index of the change.
        index: u64,
        /// All halls that are evacuated.
        halls: Vec<HallId>,
    },
    /// An operator ordered the evacuation of a hall, or its end.
    EvacuationOrdered {
        /// The hall.
        hall: HallId,
        /// It begins; otherwise, it ends.
        begins: bool,
        /// HTTP status of the answer.
        status: u16,
        /// How long the answer took, in milliseconds.
        took_ms: u64,
    },
    /// An endpoint reported here that it drains or has ended.
    DepartureAnswered {
        /// The endpoint.
        endpoint: EndpointId,
        /// It has ended; otherwise it drains.
        ended: bool,
        /// HTTP status of the answer.
        status: u16,
        /// How long the answer took, in microseconds.
        took_us: u64,
    },
    /// A new leader has taken over the registry of endpoints.
    RegistryTaken {
        /// The term that it leads in.
        term: u64,
        /// Number of endpoints in its own copy.
        endpoints: usize,
        /// Number of those that drain or have ended.
        departed: usize,
    },
    /// An endpoint joined, changed its standing, or was taken off.
    Endpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its service.
        service: Arc<str>,
        /// Where it stands.
        phase: String,
        /// Sequence number of the heartbeat that said so.
        sequence: u64,
    },
    /// The versions of endpoints' software in service, by stage, have changed here.
    Releases {
        /// Log index of the change.
        index: u64,
        /// Number of versions over all services.
        count: usize,
        /// Service, version and stage of some of them.
        versions: Vec<String>,
        /// No further version is recorded.
        full: bool,
        /// Number of recent moves of routes.
        #[serde(default)]
        moves: usize,
    },
    /// Notes on the disk, such as what began streams, could not be written, or can be again.
    NotesLost {
        /// Number of notes lost.
        count: u64,
        /// They can be written again.
        resumed: bool,
    },
    /// The version that began a stream was asked for, so that the stream can go on.
    StreamTakenUp {
        /// The request.
        request: String,
        /// The attempt that brought the first event.
        began: String,
        /// The version, if it is known.
        version: Option<Arc<str>>,
        /// It is not known and one of several, so the stream may not go on.
        several: bool,
        /// Versions of the service that may have begun it, as known here.
        #[serde(default)]
        versions: usize,
        /// These are proved to be complete.
        #[serde(default)]
        current: bool,
        /// Instances that were asked for the version.
        #[serde(default)]
        asked: usize,
        /// Instances that answered.
        #[serde(default)]
        answered: usize,
        /// Age of the proof that the endpoints known here are the newest, in milliseconds; absent without a proof.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoints_ms: Option<u64>,
    },
    /// A configuration document came from an operator.
    DocumentPut {
        /// Its version; 0 where it could not be read.
        version: u64,
        /// HTTP status of the answer.
        status: u16,
        /// Version held then.
        held: u64,
        /// Why, where it was refused.
        why: String,
    },
    /// An operator read the configuration document.
    DocumentRead {
        /// The version returned; 0 if there is none.
        version: u64,
        /// HTTP status of the answer.
        status: u16,
        /// Age of the proof that the version is the newest, in milliseconds; `None` without a proof.
        proof_ms: Option<u64>,
    },
    /// This instance knows no leader and asks others for it.
    LeaderSearch {
        /// The instance asked now; `None` if no other instance is known.
        asked: Option<String>,
        /// Number of instances that may know the leader.
        candidates: u32,
    },
    /// The control thread ticks late.
    ControlLate {
        /// Delay of the tick in milliseconds.
        late_ms: u64,
        /// Number of events that wait.
        queued: usize,
        /// Number of events handled since the last such line or the last tick in time.
        events: u32,
        /// Time that they took, in milliseconds.
        busy_ms: u64,
        /// The kind of event that took most of it.
        busiest: String,
        /// Number of events of that kind.
        busiest_events: u32,
        /// Time that they took, in milliseconds.
        busiest_ms: u64,
    },
    /// The traffic thread is late: it serves callers, endpoints' heartbeats and the messages of other instances.
    TrafficLate {
        /// Delay of its housekeeping in milliseconds.
        late_ms: u64,
        /// Message entries from the control thread that wait for it.
        backlog: usize,
        /// Events that wait for the control thread.
        queued: usize,
    },
    /// Settings were read anew.
    Reloaded {
        /// What came of it.
        outcome: String,
    },
    /// Lines left out of the log in the last second.
    Dropped {
        /// Lines beyond the budget.
        budget: u64,
        /// Lines that the writer could not take in time.
        blocked: u64,
    },
    /// This instance holds the duties that one holds for all, or no longer does.
    DutyHeld {
        /// Which of both.
        held: bool,
        /// The first fence of its calls.
        fence: u64,
    },
    /// A window of usage was closed: its counts are final.
    WindowClosed {
        /// Its number.
        window: u64,
        /// Organisations with requests in it.
        organisations: usize,
        /// Requests in it.
        requests: u64,
        /// Instances that may have had more to tell.
        missing: usize,
        /// From its end to this, in milliseconds.
        lag_ms: u64,
    },
    /// The holder orders engines.
    EnginesWanted {
        /// Of this service.
        service: Arc<str>,
        /// In this hall.
        hall: HallId,
        /// Of those that may be taken away, or of the others.
        cheap: bool,
        /// How many there should be.
        wanted: u32,
        /// How many take work.
        there: u32,
        /// Requests under way.
        calls: u32,
        /// The order's fence.
        fence: u64,
    },
    /// A call that only the holder of a duty makes has ended.
    DutyCalled {
        /// The duty.
        duty: String,
        /// What it was about.
        subject: String,
        /// Its fence.
        fence: u64,
        /// How it ended.
        outcome: String,
        /// The beginning of what the receiver said.
        said: String,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// How long before it that happened which it told, in milliseconds.
        age_ms: u64,
    },
    /// An order went out to an endpoint.
    Ordered {
        /// The endpoint.
        endpoint: EndpointId,
        /// What it was told to load.
        load: String,
        /// The fence: term and count.
        fence: (u64, u64),
    },
}

impl What {
    /// The request this event is about, if it is about one.
    pub fn request(&self) -> Option<&str> {
        match self {
            What::Arrived { request, .. }
            | What::Asked { request, .. }
            | What::Granted { request, .. }
            | What::Dispatched { request, .. }
            | What::Failed { request, .. }
            | What::Recalled { request, .. }
            | What::Done { request, .. }
            | What::Refused { request, .. }
            | What::CallTaken { request, .. }
            | What::CallPassed { request, .. }
            | What::CallSent { request, .. }
            | What::CallFailed { request, .. }
            | What::CallHopeless { request, .. }
            | What::CallOverCapacity { request, .. }
            | What::CallOverShare { request, .. }
            | What::RetryAsked { request, .. }
            | What::StreamTakenUp { request, .. }
            | What::CallAnswered { request, .. }
            | What::CallRefused { request, .. }
            | What::CallReturned { request, .. }
            | What::CallCut { request, .. }
            | What::EndedUnder { request, .. }
            | What::Left { request } => Some(request),
            _ => None,
        }
    }

    /// The endpoint this event is about, if it is about one.
    pub fn endpoint(&self) -> Option<&str> {
        match self {
            What::Granted { endpoint, .. }
            | What::Dispatched { endpoint, .. }
            | What::Failed { endpoint, .. }
            | What::Done { endpoint, .. }
            | What::CallSent { endpoint, .. }
            | What::CallFailed { endpoint, .. }
            | What::CallHopeless { endpoint, .. }
            | What::CallAnswered { endpoint, .. }
            | What::CallCut { endpoint, .. }
            | What::EndedUnder { endpoint, .. }
            | What::Endpoint { endpoint, .. }
            | What::DepartureAnswered { endpoint, .. }
            | What::Ejected { endpoint, .. }
            | What::AskedToRest { endpoint, .. }
            | What::SaidLeaving { endpoint }
            | What::LimitNamed { endpoint, .. }
            | What::BrittleNamed { endpoint, .. }
            | What::Suspect { endpoint, .. }
            | What::Restored { endpoint }
            | What::Ordered { endpoint, .. } => Some(endpoint),
            _ => None,
        }
    }
}
