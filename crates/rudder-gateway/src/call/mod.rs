//! The life of a caller's request, from its head to the end of its answer.
//!
//! This module decides whether an answer may state that the request was not run: only if no attempt
//! wrote anything, or if every endpoint that received the request reported that it did not run it.
//! [`Progress::possible_runs`] counts the attempts for which this does not hold.
//!
//! - [`admit`]: reads a request and checks its route and key;
//! - [`send`]: the retry loop over endpoints;
//! - [`checks`]: whether a request may be sent or retried;
//! - [`origin`]: keeps a stream at the version that began it;
//! - [`hop`]: passes a request to another instance if this one reaches no endpoint;
//! - [`attempt`](mod@attempt): one attempt, from the choice of an endpoint to the head of its answer;
//! - [`fairness`]: fair shares between organisations;
//! - [`permission`]: permits and loans for endpoints that have a limit;
//! - [`copies`]: resumes a stream from a copy of its memory after its endpoint has terminated;
//! - [`termination`]: endpoints that terminate during a request;
//! - [`refusal`]: error answers of the instance itself.

pub mod admit;
pub mod attempt;
pub mod checks;
pub mod copies;
pub mod fairness;
pub mod hop;
pub mod origin;
mod permission;
pub mod refusal;
pub mod send;
pub mod termination;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri, request};
use http_body_util::Full;
use hyper::body::Incoming;
use rudder_clock::Moment;
use rudder_events::What;
use rudder_ledger::Software;
use rudder_model::{EndpointId, id::name_of};
use rudder_route::returns::Return;

pub use admit::strip_hop_headers;
pub use attempt::{attempt, log_failure, record_outcome, return_connection};
pub use checks::{take_retry, take_retry_for_silent};
pub use copies::resume_from_copy;
pub use hop::{Hop, HopAnswer, must_pass_on, pass_on};
pub use refusal::{Refusal, Subject};
pub use send::take_retry_after;
pub use termination::{confirms_end, record_answered, record_if_terminated, to_hex};

use crate::{
    Dialect, Route, RouteKind,
    body::AnswerBody,
    buffers::Disconnect,
    choose::Choice,
    contents::RequestTags,
    dialect::{AnswerHead, CallHead, Forward, Prompt},
    loads::InFlight,
    metrics::RequestOutcome,
    placement::Residency,
    returns::Pending,
    shared::{Shared, Stage},
    upstream::Connection,
};

/// Silence of an endpoint, as a multiple of the route's target, after which a repeatable request is sent to another
/// one.
const SILENCE_FACTOR: u32 = 2;
/// Lower bound of the timeout that follows from [`SILENCE_FACTOR`].
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
/// As [`SILENCE_FACTOR`], for streams: a retry may repeat the prefill.
const STREAM_SILENCE_FACTOR: u32 = 3;
/// As [`MIN_SILENCE_TIMEOUT`], for streams.
const MIN_STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// `Retry-After` of a stopping instance: another instance can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// An admitted request.
#[derive(Debug)]
pub struct Call {
    /// The id that the caller gave it.
    pub id: String,
    /// When its head was read.
    pub arrived: Moment,
    /// When it is abandoned.
    pub deadline: Moment,
    /// Its route.
    pub route: Arc<Route>,
    /// The organisation that owns its key.
    pub organisation: Option<Arc<str>>,
    /// Its priority within an engine.
    pub engine_rank: u8,
    /// Its prompt, if an engine serves it.
    pub prompt: Option<Prompt>,
    /// What it may share with others: a repetition under another id has the same content.
    pub tags: RequestTags,
    /// The regions in which it may be processed.
    pub residency: Residency,
    /// Last event that the caller had received when it sent the request.
    pub last_event: Option<u64>,
    /// Closes the caller's connection.
    pub cut: Disconnect,
    /// It was refused before, as far as is known.
    pub returned: Option<Return>,
    /// Id of the attempt that brought the first event of the stream that it takes up.
    pub resumes: Option<String>,
    /// How it came here, if another instance passed it on.
    pub hop: Option<Hop>,
    key: Option<String>,
    host: String,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// An endpoint's answer, of which only the head has been read.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// The endpoint that answered.
    pub choice: Choice,
    /// The response; its body is still to be read.
    pub response: Response<Incoming>,
    /// The fields of its head.
    pub head: AnswerHead,
    /// The connection that carries it.
    pub connection: Connection,
    /// Counts the request as in flight at the endpoint.
    pub flight: InFlight,
    /// When the request was sent.
    pub sent: Moment,
    /// The endpoint resumed from a copy, so the run counts as begun.
    pub resumed: bool,
}

/// Why an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(&'static str),
    /// The request was sent, and whether it ran is unknown.
    OutcomeUnknown(&'static str),
    /// The endpoint stayed silent past the timeout; a retry has already been taken from the budget.
    Unresponsive,
    /// The deadline passed while the request was in flight.
    DeadlineExceeded,
}

/// Where an endpoint resumes a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumePoint {
    /// Last event that the caller has received.
    pub last_event: Option<u64>,
    /// The endpoint resumes from the copy of the request's memory that it holds.
    pub from_copy: bool,
}

/// Whether a request needs another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum HopNeed {
    /// No connection to an endpoint has failed.
    #[default]
    None,
    /// One has failed.
    Possible,
    /// No other instance could serve the request either.
    Vain,
}

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Endpoints that were tried, including unreachable ones.
    pub tried: Vec<EndpointId>,
    /// Attempts that were sent.
    pub sent: u32,
    /// Sent attempts that ran or may have run.
    pub possible_runs: u32,
    /// The endpoint of the last attempt.
    pub last_choice: Option<Choice>,
    /// An endpoint has begun to run it. Retries do not count again towards the organisation's usage.
    pub begun: bool,
    /// Endpoints that terminated while they served it.
    pub terminated_endpoints: usize,
    unsent_attempts: u32,
    hop_need: HopNeed,
    /// Only endpoints without a rate limit are eligible.
    unlimited_only: bool,
    /// Uniform draw from 0 to 1 that decides whether it yields to more urgent requests.
    yield_draw: f64,
    service: Option<Arc<str>>,
    /// The software version that has begun the stream, of which events were passed on.
    software: Option<Software>,
}

impl Progress {
    /// Returns whether the version that has begun the stream is known.
    pub fn has_version(&self) -> bool {
        self.software.is_some()
    }

    /// The progress of a request that came by `hop`, if it was passed on.
    fn after(hop: Option<&Hop>) -> Progress {
        let runs = hop.map_or(0, |hop| hop.runs);
        Progress {
            sent: runs,
            possible_runs: runs,
            // The instance that passed it on has counted it.
            begun: runs > 0,
            yield_draw: rand::random(),
            software: hop.and_then(|hop| hop.software.clone()),
            ..Progress::default()
        }
    }
}

/// Counts a request as open until it is dropped. The HTTP server drops it unanswered when its caller disconnects.
struct OpenRequest<D: Dialect> {
    shared: Rc<Shared<D>>,
    id: String,
    arrived: Moment,
    answered: bool,
}

impl<D: Dialect> Drop for OpenRequest<D> {
    fn drop(&mut self) {
        self.shared.open_requests.set(self.shared.open_requests.get() - 1);
        if !self.answered {
            self.shared.metrics.record_end(None, RequestOutcome::CallerLeft, self.arrived.elapsed());
            self.shared.log.write(What::Left { request: std::mem::take(&mut self.id) });
        }
    }
}

/// Serves one request.
pub async fn handle<D: Dialect>(shared: Rc<Shared<D>>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Moment::now();
    shared.open_requests.set(shared.open_requests.get() + 1);
    let (parts, body) = request.into_parts();
    let head = shared.dialect.read_call(&parts);
    let id = head.id.clone();
    let is_hop = parts.headers.contains_key(hop::HOP);
    let mut open = OpenRequest { shared: shared.clone(), id: id.clone(), arrived, answered: false };
    let read = match *shared.stage.borrow() {
        // The request arrived while its connection was being closed.
        Stage::Closing => Err(refusal::unready("the instance is stopping", STOPPING_RETRY_AFTER)),
        Stage::Serving | Stage::Draining => Ok(()),
    };
    let answer = match read {
        Ok(()) => admit_and_send(&shared, arrived, parts, head, body).await,
        Err(refusal) => Err(refusal),
    };
    open.answered = true;
    answer.unwrap_or_else(|refusal| {
        let refusal = if is_hop { refusal.for_instance() } else { refusal };
        shared.metrics.record_end(None, RequestOutcome::Refused, arrived.elapsed());
        refusal::refuse(&shared, &id, &refusal)
    })
}

async fn admit_and_send<D: Dialect>(
    shared: &Rc<Shared<D>>,
    arrived: Moment,
    parts: request::Parts,
    head: CallHead,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let call = admit::read(shared, arrived, parts, head, body).await?;
    let pending = Pending::of(shared, &call);
    let subject = Subject::of(shared, &call);
    let answer = send::send(shared, call).await.map_err(|refusal| Refusal { subject: Some(subject), ..refusal });
    let admitted = match &answer {
        Ok(_) => Some(true),
        Err(refusal) => refusal.told.map(|_| false),
    };
    if let (Some(pending), Some(admitted)) = (pending, admitted) {
        pending.record(shared, admitted);
    }
    answer
}

impl Call {
    /// Identifies the stream that the call begins or takes up: the id of the attempt that brought its first event.
    pub fn stream_id(&self) -> &str {
        self.resumes.as_deref().unwrap_or(&self.id)
    }

    /// How long an endpoint may stay silent before a repeatable request is sent to another one.
    pub fn silence_timeout(&self) -> Duration {
        let streams = self.route.kind == RouteKind::Stream;
        let (factor, min) = if streams {
            (STREAM_SILENCE_FACTOR, MIN_STREAM_SILENCE_TIMEOUT)
        } else {
            (SILENCE_FACTOR, MIN_SILENCE_TIMEOUT)
        };
        (self.route.target * factor).max(min)
    }

    fn to_request<D: Dialect>(
        &self,
        dialect: &D,
        choice: &Choice,
        left: Duration,
        resume: ResumePoint,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let tier = self.prompt.is_some().then_some(self.engine_rank);
        let organisation = self.organisation.as_deref();
        let forward = Forward {
            endpoint: name_of(&choice.endpoint, choice.born),
            remaining: left,
            organisation,
            tier,
            last_event: resume.last_event,
            copy_to: choice.backup.as_ref().map(|backup| &*backup.address),
            fetch_from: choice.fetch_from.as_deref().filter(|_| !resume.from_copy),
            resume_from: resume.from_copy.then_some(&*choice.address),
        };
        dialect.write_forward(&mut headers, &forward);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = to_origin_form(&self.uri);
        *request.headers_mut() = headers;
        request
    }
}

/// Counts a request towards usage the first time that an endpoint begins to run it.
pub fn record_begun<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, at: Moment) {
    if !std::mem::replace(&mut progress.begun, true) {
        shared.record_begun(call.organisation.as_ref(), at);
    }
}

/// Reduces a URI to path and query.
fn to_origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
