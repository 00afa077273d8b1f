//! Counters, gauges and latency histograms in the `OpenMetrics` text format.
//!
//! Label sets are small and bounded: kinds of route, outcomes and the endpoints known now.

use std::{
    cell::RefCell,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

use rudder_clock::Moment;
use rudder_core::{CallOutcome, origins::Origin};
use rudder_events::StreamEnd;
use rudder_route::admission::{LEVELS, Level, Reason, level_index};

use crate::{Dialect, RouteKind, condition::ConditionCounts, plan::Route, shared::Shared};

/// Histogram buckets of latencies in seconds; they cover the targets of routes.
const LATENCY_BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.42, 0.8, 1.2, 2.5, 5.0, 15.0];
/// Histogram buckets of the time that frames wait for their link, in seconds.
const WAIT_BUCKETS: [f64; 6] = [0.005, 0.02, 0.1, 0.3, 1.0, 2.5];
/// Histogram buckets of the time to the first event as a multiple of the predicted one.
const PREDICTION_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 8.0, 16.0];
/// Lower bound of predicted times in that ratio: below, it tells nothing about the engine.
const MIN_PREDICTION: Duration = Duration::from_millis(1);
/// Bytes per page in `/proc/self/statm`.
const PAGE_SIZE: i64 = 4096;

/// Status of the control thread and the replica, written by the control thread and read by the traffic thread.
#[derive(Debug, Default)]
pub struct ControlStatus {
    /// The replica's term; 0 without a disk.
    pub term: AtomicU64,
    /// The replica is the leader.
    pub is_leader: AtomicBool,
    /// End of this instance's lease on the duties, in microseconds since the process started; 0 without a lease.
    pub duty_until: AtomicU64,
    /// Closed usage windows whose report is not acknowledged yet.
    pub unreported_windows: AtomicU64,
    /// Requests reported after their usage window was closed, which no report contains.
    pub late_requests: AtomicU64,
    /// Requests begun here that are not yet committed to the log.
    pub unreported_requests: AtomicU64,
    /// Commit index of the log.
    pub commit_index: AtomicU64,
    /// Index of the last log entry.
    pub last_index: AtomicU64,
    /// Message entries queued for the traffic thread.
    pub backlog: AtomicUsize,
    /// Messages dropped because the backlog was full.
    pub dropped_messages: AtomicU64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    tier: u8,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    why: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CapacityLabels {
    level: u8,
    why: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DutyLabels {
    duty: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReturnLabels {
    level: usize,
    outcome: &'static str,
}

/// What becomes of callers of contended services that are told to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnOutcome {
    /// Returned and admitted.
    Admitted,
    /// Returned and refused again.
    Refused,
    /// Told to return although no time was free.
    Unscheduled,
}

/// The answer of the holder of an endpoint's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request may be sent.
    Granted,
    /// The request may not be sent, or the holder did not answer.
    Denied,
}

/// The outcome of a request passed between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The other instance answered.
    Answered,
    /// The other instance cannot be reached, or reaches no endpoint either.
    Unfit,
    /// The other instance broke off, or did not answer in time.
    Failed,
    /// Another instance passed it on to this one.
    Received,
    /// It was marked as passed on, but came from no known instance.
    Rejected,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndpointLabel {
    endpoint: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerLabels {
    fate: &'static str,
    message: &'static str,
}

/// The outcome of a frame between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// Queued on its link.
    Sent,
    /// Received and passed to the reducer.
    Received,
    /// Dropped because a queue was full.
    Dropped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabel {
    message: &'static str,
}

/// Metrics of messages between instances, by kind of message.
#[derive(Clone, Debug)]
pub struct PeerMetrics {
    frames: Family<PeerLabels, Counter>,
    bytes: Family<PeerLabels, Counter>,
    waits: Family<MessageLabel, Histogram>,
    queued: Gauge,
    peak: Gauge,
}

impl Default for PeerMetrics {
    fn default() -> Self {
        PeerMetrics {
            frames: Family::default(),
            bytes: Family::default(),
            waits: Family::new_with_constructor(|| Histogram::new(WAIT_BUCKETS)),
            queued: Gauge::default(),
            peak: Gauge::default(),
        }
    }
}

impl PeerMetrics {
    /// Counts a frame of `size` bytes that carries a message of the kind `message`.
    pub fn record(&self, frame: FrameOutcome, message: &'static str, size: usize) {
        let fate = match frame {
            FrameOutcome::Sent => "sent",
            FrameOutcome::Received => "received",
            FrameOutcome::Dropped => "dropped",
        };
        let label = PeerLabels { fate, message };
        self.frames.get_or_create(&label).inc();
        self.bytes.get_or_create(&label).inc_by(size as u64);
    }

    /// Records how long a frame waited until it was written to its link.
    pub fn record_wait(&self, message: &'static str, wait: Duration) {
        self.waits.get_or_create(&MessageLabel { message }).observe(wait.as_secs_f64());
    }

    /// Sets the number of bytes queued for links and its peak.
    pub fn record_queued(&self, bytes: usize, peak: usize) {
        self.queued.set((bytes as u64).cast_signed());
        self.peak.set((peak as u64).cast_signed());
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("peer_frames", "Frames between instances, by fate and message", self.frames.clone());
        registry.register("peer_bytes", "Bytes between instances, by fate and message", self.bytes.clone());
        let help = "Time that frames wait until they are written to their link, by message";
        registry.register("peer_wait_seconds", help, self.waits.clone());
        registry.register("peer_waiting_bytes", "Bytes that wait for links to instances", self.queued.clone());
        registry.register("peer_waiting_most_bytes", "Most bytes that ever waited so", self.peak.clone());
    }
}

/// The outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered completely.
    Answered,
    /// Refused or failed by the instance itself.
    Refused,
    /// Interrupted after the answer had begun.
    Interrupted,
    /// The caller disconnected.
    CallerLeft,
}

/// All metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    capacity_refusals: Family<CapacityLabels, Counter>,
    attempts: Counter,
    retries: Counter,
    denied_retries: Counter,
    resumes: Counter,
    ejections: Counter,
    backoffs: Counter,
    limit_changes: Counter,
    permits: Family<PermitLabel, Counter>,
    returns: Family<ReturnLabels, Counter>,
    ended_under: Counter,
    hops: Family<OutcomeLabel, Counter>,
    taken_up: Family<OutcomeLabel, Counter>,
    stream_ends: Family<OutcomeLabel, Counter>,
    repeated_events: Counter,
    held_back: Counter,
    over_share: Counter,
    refused_reports: Family<ReasonLabel, Counter>,
    duties: Family<DutyLabels, Counter>,
    first_byte: Family<KindLabel, Histogram>,
    total: Family<KindLabel, Histogram>,
    pauses: Histogram,
    prediction: Histogram,
    /// Metrics of messages between instances.
    pub peers: PeerMetrics,
    state: RefCell<Gauges>,
}

#[derive(Debug, Default)]
struct Gauges {
    open_requests: Gauge,
    idle_connections: Gauge,
    ready: Gauge,
    document_version: Gauge,
    proof_age: Gauge,
    term: Gauge,
    is_leader: Gauge,
    commit_lag: Gauge,
    holds_duties: Gauge,
    unreported_windows: Gauge,
    late_requests: Gauge,
    isolated: Gauge,
    dropped_messages: Gauge,
    instances: Gauge,
    resident_bytes: Gauge,
    dropped_lines: Gauge,
    quarantined_contents: Gauge,
    evacuated_halls: Gauge,
    limited_endpoints: Gauge,
    timed_engines: Gauge,
    slow_engines: Gauge,
    slowed_engines: Gauge,
    organisations_over: Gauge,
    held_bytes: Gauge,
    held_peak: Gauge,
    held_limit: Gauge,
    endpoint_calls: Family<EndpointLabel, Gauge>,
    unread_tokens: Family<EndpointLabel, Gauge>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS);
        let mut metrics = Metrics {
            registry: Registry::with_prefix("hatchrudder"),
            requests: Family::default(),
            refusals: Family::default(),
            capacity_refusals: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            denied_retries: Counter::default(),
            resumes: Counter::default(),
            ejections: Counter::default(),
            backoffs: Counter::default(),
            limit_changes: Counter::default(),
            permits: Family::default(),
            returns: Family::default(),
            ended_under: Counter::default(),
            hops: Family::default(),
            taken_up: Family::default(),
            stream_ends: Family::default(),
            repeated_events: Counter::default(),
            held_back: Counter::default(),
            over_share: Counter::default(),
            refused_reports: Family::default(),
            duties: Family::default(),
            first_byte: Family::new_with_constructor(histogram),
            total: Family::new_with_constructor(histogram),
            pauses: histogram(),
            prediction: Histogram::new(PREDICTION_BUCKETS),
            peers: PeerMetrics::default(),
            state: RefCell::default(),
        };
        metrics.register();
        metrics
    }
}

/// Label value of a route's kind.
fn kind_label(route: &Route) -> &'static str {
    match route.kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::Once => "once",
        RouteKind::Stream => "stream",
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by kind, tier and outcome", self.requests.clone());
        registry.register("refusals", "Final answers of the instance itself, by reason", self.refusals.clone());
        registry.register(
            "capacity_refusals",
            "Requests to contended services refused for lack of capacity, by priority level and reason",
            self.capacity_refusals.clone(),
        );
        registry.register("attempts", "Requests sent to endpoints", self.attempts.clone());
        registry.register("retries", "Requests sent to endpoints again", self.retries.clone());
        registry.register("denied_retries", "Retries that the retry budget denied", self.denied_retries.clone());
        registry.register("resumes", "Streams taken up at another endpoint", self.resumes.clone());
        registry.register("ejections", "Endpoints left out for a while", self.ejections.clone());
        registry.register(
            "rests",
            "Answers of endpoints that asked to be sent nothing for a while",
            self.backoffs.clone(),
        );
        registry.register("limits_named", "Changes of rate limits that endpoints name", self.limit_changes.clone());
        registry.register(
            "permits",
            "Answers to requests for endpoints with a rate limit, by outcome",
            self.permits.clone(),
        );
        let help = "Callers of contended services told to return, by priority level and outcome";
        registry.register("returns", help, self.returns.clone());
        registry.register("ended_under", "Requests under which their endpoint ended", self.ended_under.clone());
        let help = "Requests passed between instances of which one reaches no endpoint, by outcome";
        registry.register("hops", help, self.hops.clone());
        let help = "Streams that were to go on, by what is known of the version that began them";
        registry.register("streams_taken_up", help, self.taken_up.clone());
        let help = "Streams that went whole to their callers, by what marked their end: framing or a closed connection";
        registry.register("stream_ends", help, self.stream_ends.clone());
        let help = "Events of streams whose id does not rise over the one before";
        registry.register("repeated_events", help, self.repeated_events.clone());
        let help = "Requests that a choice took to an endpoint which took no more: it warms up, rests, leaves, or its hall is evacuated";
        registry.register("held_back", help, self.held_back.clone());
        let help = "Requests refused because their organisation is over its share";
        registry.register("over_share", help, self.over_share.clone());
        registry.register(
            "refused_words",
            "What endpoints said and was not taken in, by reason",
            self.refused_reports.clone(),
        );
        registry.register("duty_calls", "Calls of the holder of a duty, by duty and outcome", self.duties.clone());
        let seconds = Unit::Seconds;
        registry.register_with_unit(
            "first",
            "From arrival to the first byte",
            seconds.clone(),
            self.first_byte.clone(),
        );
        registry.register_with_unit("total", "From arrival to the end", seconds.clone(), self.total.clone());
        registry.register_with_unit("pause", "Between parts of a stream", seconds, self.pauses.clone());
        let help = "From sending to the first event as a multiple of the predicted time, for contended services";
        registry.register("first_event_prediction", help, self.prediction.clone());
        self.peers.register(registry);
        let state = self.state.borrow();
        registry.register("open_requests", "Requests under way", state.open_requests.clone());
        registry.register("idle_connections", "Idle connections to endpoints", state.idle_connections.clone());
        registry.register("ready", "Takes callers", state.ready.clone());
        registry.register("isolated", "Reaches no endpoint", state.isolated.clone());
        registry.register("document_version", "Version of the configuration in force", state.document_version.clone());
        let help = "Age of the proof that the configuration is the newest, in ms; -1 for none";
        registry.register("proof_age_milliseconds", help, state.proof_age.clone());
        registry.register("term", "Term of the replicated log; 0 without a disk", state.term.clone());
        registry.register("leads", "Leads the replicated log", state.is_leader.clone());
        registry.register("commit_lag", "Entries not known as committed", state.commit_lag.clone());
        registry.register(
            "holds_duties",
            "Makes the calls that one instance makes for all",
            state.holds_duties.clone(),
        );
        let help = "Closed windows of usage whose report is not acknowledged; known where there is a disk";
        registry.register("usage_windows_waiting", help, state.unreported_windows.clone());
        let help = "Requests told after their window was closed; known where there is a disk";
        registry.register("usage_late_requests", help, state.late_requests.clone());
        let help = "Messages to instances left out as too much waited for the traffic thread";
        registry.register("peer_left_out_messages", help, state.dropped_messages.clone());
        registry.register("instances", "Live instances known", state.instances.clone());
        registry.register("resident_bytes", "Memory of the process", state.resident_bytes.clone());
        registry.register("log_lines_left_out", "Log lines left out in the last second", state.dropped_lines.clone());
        let help = "Contents refused because endpoints ended under them";
        registry.register("quarantined_contents", help, state.quarantined_contents.clone());
        let help = "Bytes of bodies held for callers and endpoints that have not taken them";
        registry.register("held_bytes", help, state.held_bytes.clone());
        registry.register("held_peak_bytes", "Most bytes that were ever held so", state.held_peak.clone());
        registry.register("held_most_bytes", "Bytes that may be held so", state.held_limit.clone());
        registry.register("limited_endpoints", "Endpoints that have a rate limit", state.limited_endpoints.clone());
        let help = "Engines of contended services whose speed is known";
        registry.register("timed_engines", help, state.timed_engines.clone());
        let help = "Engines that are lastingly slower than the median of their contended service";
        registry.register("slow_engines", help, state.slow_engines.clone());
        let help = "Engines of contended services that are slower now than they usually are";
        registry.register("slowed_engines", help, state.slowed_engines.clone());
        let help = "Known organisations over their share, over all services and priorities";
        registry.register("organisations_over_share", help, state.organisations_over.clone());
        registry.register("evacuated_halls", "Halls whose endpoints get nothing", state.evacuated_halls.clone());
        registry.register("endpoint_calls", "Requests known to be at an endpoint", state.endpoint_calls.clone());
        registry.register("endpoint_unread_tokens", "Prompt tokens unread at an endpoint", state.unread_tokens.clone());
    }

    /// Counts the end of a request; `route` is `None` if it ended before its route was known.
    pub fn record_end(&self, route: Option<&Route>, ending: RequestOutcome, took: Duration) {
        let kind = route.map_or("none", kind_label);
        let outcome = match ending {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Refused => "refused",
            RequestOutcome::Interrupted => "cut",
            RequestOutcome::CallerLeft => "left",
        };
        let tier = route.map_or(0, |route| route.tier);
        self.requests.get_or_create(&RequestLabels { kind, tier, outcome }).inc();
        if ending == RequestOutcome::Answered {
            self.total.get_or_create(&KindLabel { kind }).observe(took.as_secs_f64());
        }
    }

    /// Counts an error answer of the instance itself.
    pub fn record_refusal(&self, why: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { why }).inc();
    }

    /// Counts a request to a contended service that was refused for lack of capacity.
    pub fn record_capacity_refusal(&self, level: Level, reason: Reason) {
        let level = level_index(level) as u8;
        self.capacity_refusals.get_or_create(&CapacityLabels { level, why: reason.label() }).inc();
    }

    /// Counts an attempt; `again` marks a retry.
    pub fn record_attempt(&self, again: bool) {
        self.attempts.inc();
        if again {
            self.retries.inc();
        }
    }

    /// Counts a retry that the retry budget denied.
    pub fn record_denied_retry(&self) {
        self.denied_retries.inc();
    }

    /// Counts a stream resumed at another endpoint.
    pub fn record_resume(&self) {
        self.resumes.inc();
    }

    /// Counts an ejected endpoint.
    pub fn record_ejection(&self) {
        self.ejections.inc();
    }

    /// Counts an answer in which an endpoint asked for a backoff.
    pub fn record_backoff(&self) {
        self.backoffs.inc();
    }

    /// Counts a change of the rate limit that an endpoint reports.
    pub fn record_limit_change(&self) {
        self.limit_changes.inc();
    }

    /// Counts an answer of the holder of a rate limit.
    pub fn record_permit(&self, outcome: PermitOutcome) {
        let outcome = match outcome {
            PermitOutcome::Granted => "granted",
            PermitOutcome::Denied => "denied",
        };
        self.permits.get_or_create(&PermitLabel { outcome }).inc();
    }

    /// Counts a caller that was told to return or has returned.
    pub fn record_return(&self, level: usize, outcome: ReturnOutcome) {
        let outcome = match outcome {
            ReturnOutcome::Admitted => "admitted",
            ReturnOutcome::Refused => "refused",
            ReturnOutcome::Unscheduled => "unscheduled",
        };
        self.returns.get_or_create(&ReturnLabels { level: level.min(LEVELS - 1), outcome }).inc();
    }

    /// Sets the number of endpoints with a rate limit.
    pub fn set_limited(&self, endpoints: usize) {
        self.state.borrow().limited_endpoints.set((endpoints as u64).cast_signed());
    }

    /// Sets the numbers of engines by condition.
    fn set_conditions(&self, counts: ConditionCounts) {
        let state = self.state.borrow();
        let gauges = [
            (&state.timed_engines, counts.known),
            (&state.slow_engines, counts.slow),
            (&state.slowed_engines, counts.slowed),
        ];
        for (gauge, engines) in gauges {
            gauge.set((engines as u64).cast_signed());
        }
    }

    /// Counts a request whose endpoint terminated while serving it.
    pub fn record_ended_under(&self) {
        self.ended_under.inc();
    }

    /// Counts a stream that was to go on, by what is known of the version that began it.
    pub fn record_taken_up(&self, origin: &Origin) {
        let outcome = match origin {
            Origin::Known(_) => "version",
            Origin::Only(_) => "only",
            Origin::Unknown => "unknown",
        };
        self.taken_up.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Counts a stream that went whole to its caller.
    pub fn record_stream_end(&self, end: StreamEnd) {
        let outcome = if end.framed { "framed" } else { "closed" };
        self.stream_ends.get_or_create(&OutcomeLabel { outcome }).inc();
        self.repeated_events.inc_by(end.repeated);
    }

    /// Counts a request passed between instances.
    pub fn record_hop(&self, outcome: HopOutcome) {
        let outcome = match outcome {
            HopOutcome::Answered => "answered",
            HopOutcome::Unfit => "unfit",
            HopOutcome::Failed => "failed",
            HopOutcome::Received => "received",
            HopOutcome::Rejected => "rejected",
        };
        self.hops.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Sets whether no endpoint can be reached.
    pub fn set_isolated(&self, isolated: bool) {
        self.state.borrow().isolated.set(i64::from(isolated));
    }

    /// Counts a rejected report of an endpoint.
    pub fn record_refused_report(&self, why: &'static str) {
        self.refused_reports.get_or_create(&ReasonLabel { why }).inc();
    }

    /// Sets the number of contents in quarantine.
    pub fn set_quarantined(&self, contents: usize) {
        self.state.borrow().quarantined_contents.set((contents as u64).cast_signed());
    }

    /// Counts a request whose chosen endpoint no longer accepted requests.
    pub fn record_held_back(&self) {
        self.held_back.inc();
    }

    /// Counts a request refused for fairness.
    pub fn record_over_share(&self) {
        self.over_share.inc();
    }

    /// Sets the number of evacuated halls.
    pub fn set_evacuated(&self, halls: usize) {
        self.state.borrow().evacuated_halls.set((halls as u64).cast_signed());
    }

    /// Counts a call of the holder of a duty.
    pub fn record_duty(&self, duty: &'static str, outcome: CallOutcome) {
        let outcome = match outcome {
            CallOutcome::Taken => "taken",
            CallOutcome::NoneLeft => "none_left",
            CallOutcome::Outranked => "outranked",
            CallOutcome::Busy => "busy",
            CallOutcome::Lapsed => "lapsed",
            CallOutcome::Unknown => "unknown",
        };
        self.duties.get_or_create(&DutyLabels { duty, outcome }).inc();
    }

    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, route: &Route, after: Duration) {
        self.first_byte.get_or_create(&KindLabel { kind: kind_label(route) }).observe(after.as_secs_f64());
    }

    /// Records the predicted and the actual time from sending a request to its first event.
    pub fn record_prediction(&self, predicted: Duration, actual: Duration) {
        self.prediction.observe(actual.as_secs_f64() / predicted.as_secs_f64().max(MIN_PREDICTION.as_secs_f64()));
    }

    /// Records the pause between two parts of a stream.
    pub fn record_pause(&self, pause: Duration) {
        self.pauses.observe(pause.as_secs_f64());
    }

    /// Encodes all metrics as text.
    pub fn to_text<D: Dialect>(&self, shared: &Shared<D>) -> String {
        self.set_gauges(shared);
        let mut text = String::new();
        // Formatting into a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn set_gauges<D: Dialect>(&self, shared: &Shared<D>) {
        self.set_conditions(shared.conditions.borrow().counts(Moment::now()));
        let state = self.state.borrow();
        let number = |count: u64| count.cast_signed();
        state.open_requests.set(number(shared.open_requests.get()));
        state.idle_connections.set(number(shared.pool.borrow().len() as u64));
        state.ready.set(i64::from(shared.is_ready()));
        state.document_version.set(number(shared.current_plan().map_or(0, |plan| plan.version)));
        state.proof_age.set(shared.proof_age().map_or(-1, |age| number(age.as_millis() as u64)));
        let status: &Arc<ControlStatus> = &shared.status;
        state.term.set(number(status.term.load(Ordering::Relaxed)));
        state.is_leader.set(i64::from(status.is_leader.load(Ordering::Relaxed)));
        let (last, commit) = (status.last_index.load(Ordering::Relaxed), status.commit_index.load(Ordering::Relaxed));
        state.commit_lag.set(number(last.saturating_sub(commit)));
        state.holds_duties.set(i64::from(shared.holds_duties()));
        state.unreported_windows.set(number(status.unreported_windows.load(Ordering::Relaxed)));
        state.late_requests.set(number(status.late_requests.load(Ordering::Relaxed)));
        state.dropped_messages.set(number(status.dropped_messages.load(Ordering::Relaxed)));
        let view = shared.view.borrow();
        state.instances.set(number(view.entries.len() as u64));
        state.resident_bytes.set(resident_bytes().unwrap_or_default());
        state.held_bytes.set(number(shared.buffers.held() as u64));
        state.held_peak.set(number(shared.buffers.peak() as u64));
        state.held_limit.set(number(shared.buffers.most() as u64));
        let (budget, blocked) = shared.log.dropped();
        state.dropped_lines.set(number(budget + blocked));
        let over = shared.shares.borrow().count_over(Moment::now());
        state.organisations_over.set(number(over as u64));
        state.endpoint_calls.clear();
        state.unread_tokens.clear();
        let loads = shared.loads.borrow();
        for registration in &view.endpoints {
            let work = loads.at(&registration.endpoint);
            let at = EndpointLabel { endpoint: registration.endpoint.to_string() };
            state.endpoint_calls.get_or_create(&at).set(i64::from(work.calls));
            state.unread_tokens.get_or_create(&at).set(i64::from(work.unread));
        }
    }
}

/// Resident memory of the process in bytes, if the system reports it.
fn resident_bytes() -> Option<i64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: i64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_SIZE)
}

/// Measures the pauses between the parts of one stream.
#[derive(Debug, Default)]
pub struct PauseMeter {
    before: Option<Moment>,
    /// The longest pause so far.
    pub longest: Duration,
}

impl PauseMeter {
    /// Records a part and returns the pause before it; `None` for the first part.
    pub fn record(&mut self, now: Moment) -> Option<Duration> {
        let before = self.before.replace(now)?;
        let pause = now.saturating_duration_since(before);
        self.longest = self.longest.max(pause);
        Some(pause)
    }

    /// The longest pause, including the one that lasts at `now`.
    pub fn longest_at(&self, now: Moment) -> Duration {
        let current = self.before.map_or(Duration::ZERO, |before| now.saturating_duration_since(before));
        self.longest.max(current)
    }
}
