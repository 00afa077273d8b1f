//! One request of a caller, from its head to the end of its answer.
//!
//! Everything said about "not run" is decided here, from what was sent: a request counts as not run
//! only while nothing was written for it, or while each endpoint it was sent to said that it did not
//! run it. [`Progress`] keeps count for the whole request, and only a count of none leads to a refusal
//! that promises it.
//!
//! - [`admit`]: reading a request, its route and its key;
//! - [`send`]: the loop over endpoints, and the answer;
//! - [`checks`]: whether it may be sent, for the first time and once more;
//! - [`attempt`]: one endpoint, from the choice to the head of its answer;
//! - [`rate_limit`]: permits for endpoints that have a rate limit;
//! - [`copies`]: going on elsewhere, from a copy of its memory, with a stream whose endpoint has ended;
//! - [`ended`]: endpoints that end under requests;
//! - [`refusal`]: final answers of the instance itself.

pub mod admit;
pub mod attempt;
pub mod checks;
pub mod copies;
pub mod ended;
pub mod rate_limit;
pub mod refusal;
pub mod send;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri, request};
use http_body_util::Full;
use hyper::body::Incoming;
use rudder_clock::Moment;
use rudder_events::What;
use rudder_model::{ContentTag, EndpointId, id::name_of};

pub use admit::strip_hop_headers;
pub use attempt::{attempt, log_failure, record_outcome, return_connection};
pub use checks::{take_retry, take_retry_for_silent};
pub use copies::resume_from_copy;
pub use ended::{record_answered, record_if_ended, to_hex};
pub use refusal::Refusal;
pub use send::take_retry_after;

use crate::{
    Dialect, Route, RouteKind,
    balance::Flight,
    body::AnswerBody,
    choose::Choice,
    dialect::{AnswerHead, CallHead, Forward, Prompt},
    holdings::Cut,
    metrics::RequestOutcome,
    places::Residency,
    shared::{Shared, Stage},
    upstream::Connection,
};

/// An endpoint may be silent for this many times the target of a route, and at least for this long, before
/// a request that may be repeated is sent to another.
const SILENCE_FACTOR: u32 = 2;
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for streams, whose prompts may have to be read again.
const STREAM_SILENCE_FACTOR: u32 = 3;
const MIN_STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// A request that a stopping instance no longer takes can go to another at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A request that has been read and may be sent.
#[derive(Debug)]
pub struct Call {
    /// The caller's id of it.
    pub id: String,
    /// When its head was read.
    pub arrived: Moment,
    /// When it is given up.
    pub deadline: Moment,
    /// Its route.
    pub route: Arc<Route>,
    /// The organisation that holds its key.
    pub organisation: Option<Arc<str>>,
    /// Its rank.
    pub tier: u8,
    /// Its rank among an engine's requests.
    pub engine_rank: u8,
    /// The engine's work.
    pub prompt: Option<Prompt>,
    /// What its caller asks for, in short: the same when it comes again under another id.
    pub content: ContentTag,
    /// Where it may be run and kept.
    pub residency: Residency,
    /// Last event that the caller had when it asked.
    pub last_event: Option<u64>,
    /// Ends its caller's connection.
    pub cut: Cut,
    key: Option<String>,
    host: String,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// An attempt that an endpoint answered.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Where it went.
    pub choice: Choice,
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: AnswerHead,
    /// The connection that it came on.
    pub connection: Connection,
    /// Its count at the endpoint.
    pub flight: Flight,
    /// When it was sent.
    pub sent: Moment,
    /// It goes on with a run that began elsewhere.
    pub continued: bool,
}

/// How an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(&'static str),
    /// It was sent, and what became of it is unknown.
    OutcomeUnknown(&'static str),
    /// It was sent and nothing came for so long that it was given up for another attempt, whose right is
    /// already taken.
    Unresponsive,
    /// Time ran out while it was under way.
    DeadlineExceeded,
}

/// From where an endpoint takes a request up.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResumePoint {
    /// After this event, which the caller has.
    pub last_event: Option<u64>,
    /// From the copy of the request's memory that the endpoint keeps.
    pub from_copy: bool,
}

/// What has become of a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Endpoints that it went to or that could not be reached.
    pub tried: Vec<EndpointId>,
    /// Times that it was sent.
    pub sent: u32,
    /// Of these, the times that it ran or may have run.
    pub possible_runs: u32,
    /// Where it was sent last.
    pub last_choice: Option<Choice>,
    /// It has begun to run at an endpoint, and counts as one request of its organisation however often it does again.
    pub begun: bool,
    /// Endpoints that ended under it.
    pub ended_endpoints: usize,
    unsent_attempts: u32,
    /// It goes to endpoints without a rate limit alone.
    unlimited_only: bool,
    service: Option<Arc<str>>,
}

/// Counts a request as open while it lives. One that ends without an answer was dropped by the server
/// library, because its caller left.
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
    let mut open = OpenRequest { shared: shared.clone(), id: id.clone(), arrived, answered: false };
    let read = match *shared.stage.borrow() {
        // It came while its connection was being closed.
        Stage::Closing => Err(refusal::not_run("the instance is stopping", STOPPING_RETRY_AFTER)),
        Stage::Serving | Stage::Draining => Ok(()),
    };
    let answer = match read {
        Ok(()) => admit_and_send(&shared, arrived, parts, head, body).await,
        Err(refusal) => Err(refusal),
    };
    open.answered = true;
    answer.unwrap_or_else(|refusal| {
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
    send::send(shared, call).await
}

impl Call {
    /// How long an endpoint may be silent before another one is tried, where the request may be repeated.
    pub fn silence_timeout(&self) -> Duration {
        let streams = self.route.kind == RouteKind::Stream;
        let (factor, least) = if streams {
            (STREAM_SILENCE_FACTOR, MIN_STREAM_SILENCE_TIMEOUT)
        } else {
            (SILENCE_FACTOR, MIN_SILENCE_TIMEOUT)
        };
        (self.route.target * factor).max(least)
    }

    fn to_request<D: Dialect>(
        &self,
        dialect: &D,
        choice: &Choice,
        left: Duration,
        from: ResumePoint,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let tier = self.prompt.is_some().then_some(self.engine_rank);
        let organisation = self.organisation.as_deref();
        let forward = Forward {
            endpoint: name_of(&choice.endpoint, choice.born),
            remaining: left,
            organisation,
            tier,
            last_event: from.last_event,
            copy_to: choice.keeper.as_ref().map(|keeper| &*keeper.address),
            fetch_from: choice.fetch_from.as_deref().filter(|_| !from.from_copy),
            resume_from: from.from_copy.then_some(&*choice.address),
        };
        dialect.write_forward(&mut headers, &forward);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = to_origin_form(&self.uri);
        *request.headers_mut() = headers;
        request
    }
}

/// Counts a request that began to run at an endpoint at `at`, the first time that it does.
pub fn record_begun<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, at: Moment) {
    if !std::mem::replace(&mut progress.begun, true) {
        shared.record_begun(call.organisation.as_ref(), at);
    }
}

/// Path and query alone, as they go to an endpoint.
fn to_origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
