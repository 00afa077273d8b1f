//! One request of a caller, from its head to the end of its answer.
//!
//! Everything said about "not run" is decided here, from what was sent: a request counts as not run
//! only while nothing was written for it, or while each endpoint it was sent to said that it did not
//! run it. [`Ran`] is kept for the whole request, and only [`Ran::No`] leads to a refusal that
//! promises it.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use rudder_events::What;
use rudder_model::{EndpointId, Ran};
use tokio::time::timeout_at;

use crate::{
    Dialect, Plan, Route, RouteKind,
    balance::Flight,
    body::AnswerBody,
    choose::{self, Choice, Inputs},
    dialect::{AnswerHead, CallHead, Forward, Prompt},
    health::Outcome,
    metrics::Ending,
    shared::Shared,
    stream,
    upstream::{self, Connection},
};

/// A caller that named no deadline waits this long at most.
const DEADLINE: Duration = Duration::from_secs(60);
/// Connections that may fail to come up before a request is refused.
const CONNECTS: u32 = 3;
/// Endpoints beyond the route's own bound that a request may go to when it did not run.
const UNRUN_EXTRA: u32 = 1;
/// An endpoint may be silent for this many times the target of a route, and at least for this long, before
/// a request that may be repeated is sent to another.
const PATIENCE: u32 = 2;
const LEAST: Duration = Duration::from_millis(150);
/// The same for streams, whose prompts may have to be read again.
const STREAM_PATIENCE: u32 = 3;
const STREAM_LEAST: Duration = Duration::from_millis(1200);
/// How long a request waits for proof that its route or key does not exist.
const DENIAL_WAIT: Duration = Duration::from_millis(400);
/// Largest answer that is held whole before it is passed on.
pub const WHOLE: usize = 8 << 20;

/// A request that has been read and may be sent.
#[derive(Debug)]
pub struct Call {
    /// The caller's id of it.
    pub id: String,
    /// When its head was read.
    pub arrived: Instant,
    /// When it is given up.
    pub until: Instant,
    /// Its route.
    pub route: Arc<Route>,
    /// The organisation that holds its key.
    pub organisation: Option<Arc<str>>,
    /// Its rank.
    pub tier: u8,
    /// The engine's work.
    pub prompt: Option<Prompt>,
    /// Last event that the caller had when it asked.
    pub last_event: Option<u64>,
    key: Option<String>,
    host: String,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

/// A final answer of the instance itself.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Why, in a few words.
    pub why: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry: Option<Duration>,
}

/// An attempt that an endpoint answered.
#[derive(Debug)]
pub struct Leg {
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
    pub sent: Instant,
}

/// How an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent.
    Unsent(&'static str),
    /// It was sent, and what became of it is unknown.
    Lost(&'static str),
    /// It was sent and nothing came for so long that it was given up for another attempt, whose right is
    /// already taken.
    Silent,
    /// Time ran out while it was under way.
    Late,
}

/// Counts a request as open while it lives.
struct Open<D>(Rc<Shared<D>>);

impl<D> Drop for Open<D> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Serves one request.
pub async fn handle<D: Dialect>(shared: Rc<Shared<D>>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Instant::now();
    shared.open.set(shared.open.get() + 1);
    let _open = Open(shared.clone());
    let (parts, body) = request.into_parts();
    let head = shared.dialect.read_call(&parts);
    let id = head.id.clone();
    let answer = match read(&shared, arrived, parts, head, body).await {
        Ok(call) => send(&shared, call).await,
        Err(refusal) => Err(refusal),
    };
    answer.unwrap_or_else(|refusal| {
        shared.metrics.note_end(None, Ending::Refused, arrived.elapsed());
        refuse(&shared, &id, &refusal)
    })
}

/// The answer to a refused request.
fn refuse<D: Dialect>(shared: &Shared<D>, id: &str, refusal: &Refusal) -> Response<AnswerBody> {
    shared.metrics.note_refusal(refusal.why);
    shared.log.write(What::CallRefused {
        request: id.to_owned(),
        status: refusal.status.as_u16(),
        why: refusal.why.to_owned(),
        ran: refusal.ran,
        retry_ms: refusal.retry.map(|retry| retry.as_millis() as u64),
    });
    let text = format!("{{\"error\":\"{}\"}}", refusal.why);
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = refusal.retry
        && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", retry.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// A refusal that promises that the request did not run, with a time to come back.
fn not_run(why: &'static str, retry: Duration) -> Refusal {
    Refusal { status: StatusCode::SERVICE_UNAVAILABLE, why, ran: Ran::No, retry: Some(retry) }
}

fn denied(status: StatusCode, why: &'static str) -> Refusal {
    Refusal { status, why, ran: Ran::No, retry: None }
}

/// What stands at a place and for a key under one plan.
fn admit(plan: &Plan, head: &CallHead, host: &str, path: &str) -> Result<(Arc<Route>, Option<usize>), Refusal> {
    let Some(route) = plan.find(host, path) else {
        return Err(denied(StatusCode::NOT_FOUND, "no route serves this place"));
    };
    let holder = head.key.as_deref().and_then(|key| plan.organisation_number(key));
    if plan.organisations.is_some() && !route.open && holder.is_none() {
        return Err(denied(StatusCode::UNAUTHORIZED, "the key is not known"));
    }
    Ok((route.clone(), holder))
}

/// Reads a request and finds its route and organisation.
async fn read<D: Dialect>(
    shared: &Shared<D>,
    arrived: Instant,
    parts: request::Parts,
    head: CallHead,
    body: Incoming,
) -> Result<Call, Refusal> {
    let come_back = shared.options.recover;
    let host = to_host(&parts);
    let path = parts.uri.path();
    let Some(mut plan) = shared.current_plan() else { return Err(not_run("no configuration yet", come_back)) };
    let mut admitted = admit(&plan, &head, &host, path);
    if admitted.is_err() && !shared.is_fresh(shared.options.fresh_denial) {
        if !shared.prove(arrived, DENIAL_WAIT).await {
            return Err(not_run("the configuration may be old", come_back));
        }
        plan = shared.current_plan().unwrap_or(plan);
        admitted = admit(&plan, &head, &host, path);
    }
    let (route, holder) = admitted?;
    let organisation = holder.and_then(|number| plan.organisations.as_ref()?.get(number));
    let allowed = head.deadline.unwrap_or(DEADLINE).min(route.timeout);
    let until = arrived + allowed;
    let tier = organisation.and_then(|organisation| organisation.tier).unwrap_or(route.tier);
    let organisation = organisation.map(|organisation| organisation.name.clone());
    let body = read_body(body, plan.limits.body, until).await?;
    shared.log.write(What::CallTaken {
        request: head.id.clone(),
        route: route.name.clone(),
        org: organisation.clone(),
        version: plan.version,
        proof_ms: shared.proof_age().unwrap_or_default().as_millis() as u64,
        left_ms: allowed.as_millis() as u64,
    });
    let mut headers = parts.headers;
    strip_hop_headers(&mut headers);
    Ok(Call {
        id: head.id,
        arrived,
        until,
        route,
        organisation,
        tier,
        prompt: head.prompt,
        last_event: head.last_event,
        key: head.key,
        host,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    })
}

fn to_host(parts: &request::Parts) -> String {
    let named = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

async fn read_body(body: Incoming, limit: usize, until: Instant) -> Result<Bytes, Refusal> {
    let collected = timeout_at(until.into(), Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        Ok(Err(_)) => Err(denied(StatusCode::BAD_REQUEST, "the body cannot be read")),
        Err(_) => Err(denied(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    }
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let hop = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    for name in hop {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// What has become of a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Endpoints that it went to or that could not be reached.
    pub tried: Vec<EndpointId>,
    /// Times that it was sent.
    pub sent: u32,
    /// Of these, the times that it ran or may have run.
    pub ran: u32,
    connects: u32,
    chosen: Option<Arc<str>>,
}

/// Sends a request until it is answered or given up.
async fn send<D: Dialect>(shared: &Rc<Shared<D>>, call: Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut progress = Progress::default();
    let mut spare: Option<Response<AnswerBody>> = None;
    loop {
        let leg = match attempt(shared, &call, &mut progress, call.last_event).await? {
            Ok(leg) => leg,
            Err(failure) => {
                if may_go_on(shared, &call, &mut progress, &failure) {
                    continue;
                }
                return spare.ok_or_else(|| give_up(shared, &progress, &failure));
            }
        };
        if leg.head.not_run || leg.head.misdirected {
            note_not_run(shared, &call, &mut progress, leg).await;
            if may_send_again(shared, &call, &mut progress) {
                continue;
            }
            return spare.ok_or_else(|| give_up(shared, &progress, &Failure::Unsent("all its endpoints are full")));
        }
        if call.route.kind == RouteKind::Stream && leg.response.status().is_success() {
            return Ok(stream::start(shared, call, progress, leg));
        }
        match relay(shared, &call, leg).await {
            Ok(response) => {
                let status = response.status();
                let failed = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
                if failed && call.route.may_repeat() && may_send_again(shared, &call, &mut progress) {
                    spare = Some(response);
                    continue;
                }
                // An endpoint's 429 or 503 without its word that it did not run would be a false promise.
                if is_promise(status) {
                    let why = "the endpoint failed";
                    return Err(Refusal { status: StatusCode::BAD_GATEWAY, why, ran: Ran::Unknown, retry: None });
                }
                return Ok(response);
            }
            Err(failure) => {
                if may_go_on(shared, &call, &mut progress, &failure) {
                    continue;
                }
                return spare.ok_or_else(|| give_up(shared, &progress, &failure));
            }
        }
    }
}

/// Statuses that promise that a request did not run.
fn is_promise(status: StatusCode) -> bool {
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    promises.contains(&status)
}

/// The final answer after the last failure.
fn give_up<D: Dialect>(shared: &Shared<D>, progress: &Progress, failure: &Failure) -> Refusal {
    let why = match failure {
        Failure::Unsent(why) | Failure::Lost(why) => why,
        Failure::Silent => "the endpoint is silent",
        Failure::Late => "time ran out",
    };
    if progress.ran == 0 {
        return not_run(why, shared.options.come_back);
    }
    let status = match failure {
        Failure::Late => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    Refusal { status, why, ran: Ran::Unknown, retry: None }
}

/// True where a failed attempt may be followed by another.
fn may_go_on<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, failure: &Failure) -> bool {
    match failure {
        Failure::Unsent(_) => progress.connects < CONNECTS && Instant::now() < call.until,
        Failure::Silent => true,
        Failure::Lost(_) => call.route.may_repeat() && may_send_again(shared, call, progress),
        Failure::Late => false,
    }
}

/// Takes the right to send a request once more, within the route's bound and the retry budget.
pub fn may_send_again<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress) -> bool {
    let now = Instant::now();
    let bound = call.route.attempts.max(1);
    if progress.ran >= bound || progress.sent >= bound + UNRUN_EXTRA || now >= call.until {
        return false;
    }
    let Some(service) = progress.chosen.clone() else { return true };
    let instances = shared.view.borrow().entries.len();
    shared.budget.borrow_mut().try_take(&service, now, instances)
}

/// Takes in that an endpoint did not run the request.
async fn note_not_run<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &mut Progress, leg: Leg) {
    progress.ran = progress.ran.saturating_sub(1);
    let misdirected = leg.head.misdirected;
    log_failure(
        shared,
        call,
        progress,
        &leg.choice,
        if misdirected { "another has its address" } else { "it is full" },
        Ran::No,
    );
    if misdirected {
        note_outcome(shared, &leg.choice.endpoint, Outcome::Replaced);
    }
    let Leg { choice, response, head, connection, flight, .. } = leg;
    let (_, body) = response.into_parts();
    let drained = timeout_at(call.until.into(), Limited::new(body, WHOLE).collect()).await;
    drop(flight);
    if matches!(drained, Ok(Ok(_))) && !misdirected {
        put_back(shared, &choice.endpoint, connection, head.keep);
    }
}

/// Keeps a connection for the next request.
pub fn put_back<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, connection: Connection, keep: Option<Duration>) {
    shared.pool.borrow_mut().put(endpoint, connection, keep, Instant::now());
}

/// Takes in how a request ended at an endpoint.
pub fn note_outcome<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, outcome: Outcome) {
    let pause = shared.health.borrow_mut().note(endpoint, outcome, Instant::now());
    if let Some(pause) = pause {
        shared.metrics.note_ejection();
        let why = format!("{outcome:?}").to_lowercase();
        shared.log.write(What::Ejected { endpoint: endpoint.clone(), why, pause });
    }
}

/// Logs a failed attempt.
pub fn log_failure<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
    choice: &Choice,
    why: &str,
    ran: Ran,
) {
    shared.log.write(What::CallFailed {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        attempt: progress.sent,
        why: why.to_owned(),
        ran,
    });
}

/// Sends the request to one endpoint and waits for the head of its answer.
///
/// # Errors
/// A refusal, where the request must not be sent any more.
pub async fn attempt<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    last_event: Option<u64>,
) -> Result<Result<Leg, Failure>, Refusal> {
    let Some(choice) = pick(shared, call, progress) else {
        progress.connects = CONNECTS;
        return Ok(Err(Failure::Unsent("no endpoint of its service is in use")));
    };
    if progress.sent == 0 {
        check_not_hopeless(shared, call, &choice)?;
    }
    progress.tried.push(choice.endpoint.clone());
    let connection = match connect(shared, call, &choice).await {
        Ok(connection) => connection,
        Err(why) => {
            progress.connects += 1;
            log_failure(shared, call, progress, &choice, why, Ran::No);
            note_outcome(shared, &choice.endpoint, Outcome::Unreachable);
            return Ok(Err(Failure::Unsent(why)));
        }
    };
    check_still_allowed(shared, call, progress)?;
    Ok(send_on(shared, call, progress, choice, connection, last_event).await)
}

/// Refuses a stream of the lowest rank at once where its engine, the best there is, has so much to read
/// that it would come late and make the streams behind it late too.
fn check_not_hopeless<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> Result<(), Refusal> {
    let Some(plan) = shared.current_plan() else { return Ok(()) };
    if call.route.kind != RouteKind::Stream || call.prompt.is_none() || !plan.is_lowest(&call.route, &choice.service) {
        return Ok(());
    }
    let wait = shared.reading.borrow().time_for(&choice.service, choice.ahead);
    if wait <= call.route.target {
        return Ok(());
    }
    shared.log.write(What::CallHopeless {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        ahead: choice.ahead,
        wait_ms: wait.as_millis() as u64,
        target_ms: call.route.target.as_millis() as u64,
    });
    Err(not_run("its engines have too much to read", wait.saturating_sub(call.route.target / 2)))
}

async fn send_on<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    choice: Choice,
    mut connection: Connection,
    last_event: Option<u64>,
) -> Result<Leg, Failure> {
    let now = Instant::now();
    let left = call.until.saturating_duration_since(now);
    if left.is_zero() {
        return Err(Failure::Late);
    }
    shared.metrics.note_attempt(progress.sent > 0);
    progress.sent += 1;
    progress.ran += 1;
    if progress.chosen.is_none() {
        shared.budget.borrow_mut().note_request(&choice.service, now);
        progress.chosen = Some(choice.service.clone());
    }
    log_sent(shared, call, progress, &choice, connection.carried > 0, left);
    let request = call.to_request(&shared.dialect, &choice.endpoint, left, last_event);
    let prompt = call.prompt.as_ref();
    let unread = choice.unread;
    let memory = prompt.map_or(0, |prompt| prompt.tokens + prompt.guess.unwrap_or(prompt.answer));
    let flight = Flight::start(&shared.balance, &choice.endpoint, unread, memory);
    let response = wait_for_head(shared, call, progress, &choice, &mut connection, request).await?;
    let (parts, body) = response.into_parts();
    let head = shared.dialect.read_answer(&call.id, &parts);
    if !head.own {
        note_outcome(shared, &choice.endpoint, Outcome::Failed);
        log_failure(shared, call, progress, &choice, "it answered another request", Ran::Unknown);
        return Err(Failure::Lost("the endpoint answered another request"));
    }
    Ok(Leg { choice, response: Response::from_parts(parts, body), head, connection, flight, sent: now })
}

/// Waits for the head of an answer; where the request may be repeated, no longer than its patience.
async fn wait_for_head<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    choice: &Choice,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Failure> {
    let impatient = call.until.min(Instant::now() + call.patience());
    let mut answer = std::pin::pin!(connection.send(request));
    let mut answered = timeout_at(impatient.into(), answer.as_mut()).await;
    if answered.is_err() && call.route.may_repeat() && may_send_again(shared, call, progress) {
        note_outcome(shared, &choice.endpoint, Outcome::Failed);
        log_failure(shared, call, progress, choice, "it is silent", Ran::Unknown);
        return Err(Failure::Silent);
    }
    if answered.is_err() {
        answered = timeout_at(call.until.into(), answer).await;
    }
    match answered {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(_)) => {
            note_outcome(shared, &choice.endpoint, Outcome::Failed);
            log_failure(shared, call, progress, choice, "the connection ended before an answer", Ran::Unknown);
            Err(Failure::Lost("the endpoint broke off"))
        }
        Err(_) => {
            log_failure(shared, call, progress, choice, "time ran out", Ran::Unknown);
            Err(Failure::Late)
        }
    }
}

fn log_sent<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &Progress,
    choice: &Choice,
    reused: bool,
    left: Duration,
) {
    let others = shared.view.borrow().others_at.map_or(Duration::ZERO, |at| at.elapsed());
    shared.log.write(What::CallSent {
        request: call.id.clone(),
        endpoint: choice.endpoint.clone(),
        attempt: progress.sent,
        calls: choice.calls,
        ahead: choice.ahead,
        unread: choice.unread,
        others_ms: others.as_millis() as u64,
        reused,
        left_ms: left.as_millis() as u64,
    });
}

/// The key and the route are looked at again just before a request goes out: it may have waited.
fn check_still_allowed<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &Progress) -> Result<(), Refusal> {
    let come_back = shared.options.recover;
    let refusal = |why| {
        if progress.ran == 0 {
            return not_run(why, come_back);
        }
        Refusal { status: StatusCode::BAD_GATEWAY, why, ran: Ran::Unknown, retry: None }
    };
    if !shared.is_fresh(shared.options.fresh) {
        return Err(refusal("the configuration may be old"));
    }
    let Some(plan) = shared.current_plan() else { return Err(refusal("no configuration yet")) };
    let known = call.key.as_deref().is_some_and(|key| plan.organisation_of(key).is_some());
    if plan.organisations.is_some() && !call.route.open && !known {
        return Err(refusal("the key was taken away"));
    }
    let same = plan.find(&call.host, call.uri.path()).is_some_and(|route| route.shares == call.route.shares);
    if !same {
        return Err(refusal("the route has changed"));
    }
    Ok(())
}

fn pick<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &Progress) -> Option<Choice> {
    let plan = shared.current_plan()?;
    let view = shared.view.borrow().clone();
    let balance = shared.balance.borrow();
    let health = shared.health.borrow();
    let inputs = Inputs {
        endpoints: &view.endpoints,
        balance: &balance,
        health: &health,
        hall: &shared.options.hall,
        plan: &plan,
        now: Instant::now(),
    };
    let first = choose::service_of(&call.route, rand::random())?;
    let by_weight = progress.chosen.as_ref().unwrap_or(first);
    let others = call.route.shares.iter().map(|share| &share.service);
    let mut services = std::iter::once(by_weight).chain(others);
    services.find_map(|service| choose::choose(&inputs, &call.route, service, call.prompt.as_ref(), &progress.tried))
}

async fn connect<D: Dialect>(shared: &Shared<D>, call: &Call, choice: &Choice) -> Result<Connection, &'static str> {
    let now = Instant::now();
    let once = !call.route.may_repeat();
    let rested = shared.pool.borrow_mut().take(&choice.endpoint, once, now);
    if let Some(connection) = rested {
        return Ok(connection);
    }
    let bound = upstream::CONNECT.min(call.until.saturating_duration_since(now));
    upstream::connect(&choice.address, bound).await.map_err(|_| "it cannot be reached")
}

/// Reads an answer whole and makes it the caller's.
async fn relay<D: Dialect>(shared: &Shared<D>, call: &Call, leg: Leg) -> Result<Response<AnswerBody>, Failure> {
    let Leg { choice, response, head, connection, flight, .. } = leg;
    let (mut parts, body) = response.into_parts();
    let collected = timeout_at(call.until.into(), Limited::new(body, WHOLE).collect()).await;
    drop(flight);
    let bytes = match collected {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(_)) => {
            note_outcome(shared, &choice.endpoint, Outcome::Failed);
            return Err(Failure::Lost("the endpoint's answer broke off"));
        }
        Err(_) => return Err(Failure::Late),
    };
    put_back(shared, &choice.endpoint, connection, head.keep);
    let good = !parts.status.is_server_error();
    note_outcome(shared, &choice.endpoint, if good { Outcome::Good } else { Outcome::Failed });
    strip_hop_headers(&mut parts.headers);
    let took = call.arrived.elapsed();
    let total_ms = took.as_millis() as u64;
    shared.metrics.note_first(&call.route, took);
    shared.metrics.note_end(Some(&call.route), Ending::Answered, took);
    shared.log.write(What::CallAnswered {
        request: call.id.clone(),
        endpoint: choice.endpoint,
        status: parts.status.as_u16(),
        first_ms: total_ms,
        total_ms,
    });
    Ok(Response::from_parts(parts, AnswerBody::whole(bytes)))
}

impl Call {
    /// How long an endpoint may be silent before another one is tried, where the request may be repeated.
    pub fn patience(&self) -> Duration {
        let streams = self.route.kind == RouteKind::Stream;
        let (factor, least) = if streams { (STREAM_PATIENCE, STREAM_LEAST) } else { (PATIENCE, LEAST) };
        (self.route.target * factor).max(least)
    }

    fn to_request<D: Dialect>(
        &self,
        dialect: &D,
        endpoint: &str,
        left: Duration,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let tier = self.prompt.is_some().then_some(self.tier);
        let organisation = self.organisation.as_deref();
        dialect.write_forward(&mut headers, &Forward { endpoint, left, organisation, tier, last_event });
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = to_origin(&self.uri);
        *request.headers_mut() = headers;
        request
    }
}

/// Path and query alone, as they go to an endpoint.
fn to_origin(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
