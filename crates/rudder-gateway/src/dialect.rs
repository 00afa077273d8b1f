//! What callers, operators and endpoints speak, as the entry sees it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, request, response};
use http_body_util::Full;
use rudder_core::{CallOutcome, DutyCall, Registration, duties::Fence};
use rudder_model::{Born, RequestRate};

use crate::{Plan, options::Duties, plan::Fault};

/// Why a configuration document is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentFault {
    /// It cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// Its parts do not fit together.
    #[error(transparent)]
    Invalid(#[from] Fault),
}

/// Why a word of an endpoint is refused: it comes from another writer, and names no endpoint to use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// It is longer than any endpoint's, or broke off.
    #[error("it is too large or broke off")]
    TooLarge,
    /// Its bytes, fields or types are not those of an endpoint's word.
    #[error("it cannot be read: {0}")]
    Unreadable(String),
    /// A field is empty, or holds what no endpoint says.
    #[error("{0} holds what no endpoint says")]
    Value(&'static str),
    /// It leaves out the start that the endpoint tells.
    #[error("it does not tell the endpoint's start, which is known")]
    Born,
    /// It takes a known endpoint to a service that the configuration does not name.
    #[error("the configuration does not name its service")]
    Service,
}

impl ReportError {
    /// The fault's name in metrics.
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

/// One part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request says of the work it asks of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens generated at most.
    pub max_answer: u32,
    /// The caller's guess of the tokens generated.
    pub answer_hint: Option<u32>,
    /// Its parts in order; the last one is the request's own or its session's.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The last part that other requests share: the one before the request's own.
    pub fn session(&self) -> Option<&PromptPart> {
        self.parts.iter().nth_back(1).or(self.parts.last())
    }

    /// Tokens of the session's part. The parts before it are shared by so many requests that every
    /// engine keeps them.
    pub fn session_tokens(&self) -> u32 {
        if self.parts.len() < 2 { 0 } else { self.session().map_or(0, |part| part.tokens) }
    }

    /// Tokens that will be generated, as far as the caller can tell.
    pub fn expected_answer(&self) -> u32 {
        self.answer_hint.unwrap_or(self.max_answer)
    }

    /// Tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        let shared: u32 = self.parts.iter().rev().skip(1).map(|part| part.tokens).sum();
        self.tokens.saturating_sub(shared)
    }
}

/// What a caller's head says.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Identifies the request; empty where the caller gave none.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// Its key.
    pub key: Option<String>,
    /// The engine's work, where it names any.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a stream it takes up.
    pub last_event: Option<u64>,
}

/// What the entry tells an endpoint beside the caller's own head.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// The endpoint meant; any other refuses.
    pub endpoint: &'a str,
    /// How long the answer is waited for.
    pub remaining: Duration,
    /// The organisation that holds the caller's key.
    pub organisation: Option<&'a str>,
    /// Rank among the engine's requests; 0 is the highest.
    pub tier: Option<u8>,
    /// Last event that the caller has already.
    pub last_event: Option<u64>,
    /// Address of the endpoint that shall keep a copy of the request's memory while it runs.
    pub copy_to: Option<&'a str>,
    /// Address of the endpoint from which the one meant takes what that keeps of the prompt, before it reads the rest.
    pub fetch_from: Option<&'a str>,
    /// Address under which the endpoint meant keeps the copy that the request goes on from.
    pub resume_from: Option<&'a str>,
}

/// What an endpoint's answer says beside its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// It answers the request whose id was sent.
    pub id_matches: bool,
    /// The endpoint says that it did not run the request.
    pub not_run: bool,
    /// It was meant for another endpoint.
    pub misdirected: bool,
    /// How long the connection may rest.
    pub keep_alive: Option<Duration>,
    /// What the endpoint asks of this instance.
    pub pushback: Option<Pushback>,
    /// What it says of its rate limit.
    pub limit: LimitNotice,
}

/// What an answer says of the requests that its endpoint takes from all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing that can be told.
    #[default]
    Unknown,
    /// Any number.
    Unlimited,
    /// No more than this.
    Limited(RequestRate),
}

/// What an endpoint asks, in an answer, of the instance that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// To send it nothing for this long.
    Backoff(Duration),
    /// To send it nothing more: it leaves.
    Leaving,
}

/// Who asks which instances to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntriesQuery {
    /// The hall next to the caller.
    pub hall: Option<String>,
    /// The region that the caller is in.
    pub region: Option<String>,
    /// The host that it wants to reach.
    pub host: Option<String>,
}

/// What a request at one of the other listeners asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Whether this instance takes callers.
    Ready,
    /// Which instances to use, for this caller.
    Entries(EntriesQuery),
    /// Replace the configuration document.
    Replace,
    /// Read the configuration document.
    Read,
    /// A heartbeat of this endpoint.
    Heartbeat(String),
    /// This endpoint ends.
    Leave(String),
    /// The endpoints of this hall are to get nothing more.
    Evacuate(String),
    /// The evacuation of this hall ends.
    Return(String),
    /// Nothing that is known.
    Unknown,
}

/// Turns heads and bodies into typed calls and back.
pub trait Dialect: Clone + 'static {
    /// Reads a configuration document whole.
    ///
    /// # Errors
    /// When it cannot be read, or could not be put in force.
    fn read_document(&self, body: &[u8]) -> Result<Plan, DocumentFault>;

    /// Reads a caller's head.
    fn read_call(&self, head: &request::Parts) -> CallHead;

    /// Makes a caller's headers those that an endpoint gets.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &Forward);

    /// Reads the head of an endpoint's answer to the request `id`.
    fn read_answer(&self, id: &str, head: &response::Parts) -> AnswerHead;

    /// What a request at another listener than the callers' asks for.
    fn read_operation(&self, method: &Method, uri: &Uri) -> Operation;

    /// Reads a heartbeat of the endpoint `name`.
    ///
    /// # Errors
    /// When it is not what an endpoint says.
    fn read_heartbeat(&self, name: &str, body: &[u8]) -> Result<Registration, ReportError>;

    /// Reads an endpoint's word that it ends: the start of the life that does, where it tells it.
    ///
    /// # Errors
    /// When it is not what an endpoint says.
    fn read_leave(&self, body: &[u8]) -> Result<Option<Born>, ReportError>;

    /// The answer to [`Operation::Entries`].
    fn write_entries(&self, addresses: &[Arc<str>], keep: Duration) -> Bytes;

    /// The answer to a heartbeat.
    fn write_heartbeat(&self) -> Bytes;

    /// A call that the holder of a duty makes.
    fn write_duty(&self, duties: &Duties, fence: Fence, call: &DutyCall) -> Request<Full<Bytes>>;

    /// What the answer to such a call says.
    fn read_duty(&self, call: &DutyCall, status: StatusCode, body: &[u8]) -> CallOutcome;
}
