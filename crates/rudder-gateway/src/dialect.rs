//! The interface between the gateway and the formats that callers, operators and endpoints use.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, request, response};
use http_body_util::Full;
use rudder_core::{CallOutcome, DutyCall, Registration, duties::Fence};
use rudder_model::{Born, RequestRate};

use crate::{Plan, options::Duties, plan::Fault};

/// Why a configuration document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentFault {
    /// It cannot be parsed.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// It is inconsistent.
    #[error(transparent)]
    Invalid(#[from] Fault),
}

/// Why a report of an endpoint is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// It exceeds the size limit or broke off.
    #[error("it is too large or broke off")]
    TooLarge,
    /// It cannot be parsed.
    #[error("it cannot be read: {0}")]
    Unreadable(String),
    /// A field is empty or invalid.
    #[error("{0} holds what no endpoint says")]
    Value(&'static str),
    /// It omits the endpoint's start time, which earlier reports named.
    #[error("it does not tell the endpoint's start, which is known")]
    Born,
    /// It moves a known endpoint to a service that the configuration does not name.
    #[error("the configuration does not name its service")]
    Service,
}

impl ReportError {
    /// The reason's label in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            ReportError::TooLarge => "too_large",
            ReportError::Unreadable(_) => "unreadable",
            ReportError::Value(_) => "value",
            ReportError::Born => "born",
            ReportError::Service => "service",
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The work that a request asks of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Upper bound of the generated tokens.
    pub max_answer: u32,
    /// The caller's estimate of the generated tokens.
    pub answer_hint: Option<u32>,
    /// The prompt's parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The last shared part: the one before the request's own, or the only one.
    pub fn session(&self) -> Option<&PromptPart> {
        self.parts.iter().nth_back(1).or(self.parts.last())
    }

    /// Tokens of the session's part. The parts before it are shared so widely that every engine is taken to cache them.
    pub fn session_tokens(&self) -> u32 {
        if self.parts.len() < 2 { 0 } else { self.session().map_or(0, |part| part.tokens) }
    }

    /// Expected number of generated tokens: the caller's estimate, or the upper bound.
    pub fn expected_answer(&self) -> u32 {
        self.answer_hint.unwrap_or(self.max_answer)
    }

    /// Tokens outside the shared parts.
    pub fn own_tokens(&self) -> u32 {
        let shared: u32 = self.parts.iter().rev().skip(1).map(|part| part.tokens).sum();
        self.tokens.saturating_sub(shared)
    }
}

/// The parsed head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// The request's id; empty if the caller gave none.
    pub id: String,
    /// How long the caller waits for an answer.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The work for an engine, if the head describes any.
    pub prompt: Option<Prompt>,
    /// The model that it asks for, if it names one.
    pub model: Option<String>,
    /// Last event that the caller has received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumes: Option<String>,
}

/// What the gateway adds to a caller's head for an endpoint.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// The intended endpoint; any other rejects the request.
    pub endpoint: &'a str,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// The organisation that owns the caller's key.
    pub organisation: Option<&'a str>,
    /// Priority within the engine; 0 is the highest.
    pub tier: Option<u8>,
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
    /// Address of the endpoint that receives a copy of the request's memory while it runs.
    pub copy_to: Option<&'a str>,
    /// Address of the endpoint from which the intended one fetches cached parts of the prompt before it computes the
    /// rest.
    pub fetch_from: Option<&'a str>,
    /// Address under which the intended endpoint holds the copy that the request resumes from.
    pub resume_from: Option<&'a str>,
}

/// The load that an endpoint reports in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes there at present, as a multiple of the usual time.
    pub pace: Option<f64>,
}

/// The parsed head of an endpoint's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// The answer names the id of the request.
    pub id_matches: bool,
    /// The endpoint reports that it did not run the request.
    pub not_run: bool,
    /// The endpoint reports that the request was intended for another one.
    pub misdirected: bool,
    /// How long the connection may be idle.
    pub keep_alive: Option<Duration>,
    /// The load that the endpoint reports.
    pub load: Option<LoadReport>,
    /// What the endpoint asks this instance to do.
    pub pushback: Option<Pushback>,
    /// What the endpoint reports of its rate limit.
    pub limit: LimitNotice,
    /// What the endpoint reports of the rejections in a second, over all instances, beyond which it falls over.
    pub brittle: LimitNotice,
}

/// What an answer reports of a limit of its endpoint, which all instances share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing usable.
    #[default]
    Unknown,
    /// There is no limit.
    Unlimited,
    /// The limit.
    Limited(RequestRate),
}

/// A request of an endpoint to the instance, sent with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// Send nothing for this long.
    Backoff(Duration),
    /// Send nothing more: the endpoint is leaving.
    Leaving,
}

/// A caller's query for the instances to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntriesQuery {
    /// The hall next to the caller.
    pub hall: Option<String>,
    /// The region that the caller is in.
    pub region: Option<String>,
    /// The host that the caller wants to reach.
    pub host: Option<String>,
}

/// An operation at one of the control listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Report whether this instance serves callers.
    Ready,
    /// List the instances that a caller should use.
    Entries(EntriesQuery),
    /// Replace the configuration document.
    ReplaceDocument,
    /// Read the configuration document.
    ReadDocument,
    /// Accept a heartbeat of this endpoint.
    Heartbeat(String),
    /// Deregister this endpoint.
    Deregister(String),
    /// Evacuate this hall: send no more requests to its endpoints.
    Evacuate(String),
    /// End the evacuation of this hall.
    EndEvacuation(String),
    /// Not a known operation.
    Unknown,
}

/// Converts between heads and bodies of messages and their typed forms.
pub trait Dialect: Clone + 'static {
    /// Number of priorities that endpoints tell apart.
    const RANKS: u8;

    /// Parses and validates a configuration document.
    ///
    /// # Errors
    /// Fails if the document cannot be parsed or is inconsistent.
    fn read_document(&self, body: &[u8]) -> Result<Plan, DocumentFault>;

    /// Parses the head of a caller's request.
    fn read_call(&self, head: &request::Parts) -> CallHead;

    /// Turns a caller's headers into those for an endpoint.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward);

    /// Prepares a caller's headers for another instance, which serves the request in the time that is left. `last_event` is
    /// the last event that the caller has received.
    fn write_hop(&self, headers: &mut HeaderMap, remaining: Duration, last_event: Option<u64>);

    /// Parses the head of an endpoint's answer to the request `id`.
    fn read_answer(&self, id: &str, head: &response::Parts) -> AnswerHead;

    /// Parses the operation of a request at a control listener.
    fn read_operation(&self, method: &Method, uri: &Uri) -> Operation;

    /// Parses a heartbeat of the endpoint `name`.
    ///
    /// # Errors
    /// Fails if the report is invalid.
    fn read_heartbeat(&self, name: &str, body: &[u8]) -> Result<Registration, ReportError>;

    /// Parses an endpoint's deregistration and returns the start time of the life that ends, if it is named.
    ///
    /// # Errors
    /// Fails if the report is invalid.
    fn read_leave(&self, body: &[u8]) -> Result<Option<Born>, ReportError>;

    /// Formats the answer to [`Operation::Entries`]; the caller may cache it for `ttl`.
    fn write_entries(&self, addresses: &[Arc<str>], ttl: Duration) -> Bytes;

    /// Formats the answer to a heartbeat.
    fn write_heartbeat(&self) -> Bytes;

    /// Builds the request for a call of the holder of a duty.
    fn write_duty(&self, duties: &Duties, fence: Fence, call: &DutyCall) -> Request<Full<Bytes>>;

    /// Interprets the answer to such a call.
    fn read_duty(&self, call: &DutyCall, status: StatusCode, body: &[u8]) -> CallOutcome;
}
