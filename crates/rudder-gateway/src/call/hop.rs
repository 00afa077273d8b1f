//! Requests that this instance passes to another one, because it reaches no endpoint itself.
//!
//! A request takes one such hop at most. [`HOP`] marks it, and its receiver either serves it as one of its own callers'
//! requests or rejects it as misdirected, after which another instance is tried. The header holds the number of attempts
//! that may have run, so that all instances together keep the route's bound and never state wrongly that the request did
//! not run.

use std::{net::IpAddr, rc::Rc, sync::Arc};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, request};
use http_body_util::Full;
use hyper::body::Incoming;
use rudder_clock::{Moment, timeout_at};
use rudder_events::What;
use rudder_ledger::Software;
use rudder_model::{InstanceId, Ran};

use super::{
    Call, Failure, HopNeed, Progress, Refusal,
    attempt::MAX_UNSENT_ATTEMPTS,
    refusal::{misdirected, promises_not_run},
    to_origin_form,
};
use crate::{
    Dialect,
    metrics::HopOutcome,
    shared::Shared,
    upstream::{self, Connection},
};

/// Marks a request passed on by another instance: the number of attempts that may have run so far.
pub const HOP: HeaderName = HeaderName::from_static("hatchrudder-hop");
/// Names the software version that began the stream of which the request asks for the rest, and in an answer the one that
/// begins the stream.
pub const HOP_VERSION: HeaderName = HeaderName::from_static("hatchrudder-hop-version");
/// Names the service of that version.
pub const HOP_SERVICE: HeaderName = HeaderName::from_static("hatchrudder-hop-service");
/// Instances that are tried for one request.
const MAX_INSTANCES: usize = 4;
/// The reason of a refusal if neither this instance nor another one reaches an endpoint.
pub(super) const ISOLATED: &str = "no endpoint can be reached";

/// The address of the other side of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub IpAddr);

/// The hop by which a request came here.
#[derive(Clone, Debug)]
pub struct Hop {
    /// The instance that passed it on.
    pub from: InstanceId,
    /// Attempts that may have run before.
    pub runs: u32,
    /// The software version that has begun its stream.
    pub software: Option<Software>,
}

/// Another instance's answer, of which only the head has been read.
#[derive(Debug)]
pub struct HopAnswer {
    /// The instance.
    pub instance: InstanceId,
    /// The response; its body is still to be read.
    pub response: Response<Incoming>,
    /// The software version that begins its stream.
    pub software: Option<Software>,
    connection: Connection,
}

impl HopAnswer {
    /// The body, and the connection that carries it.
    pub fn into_body(self) -> (Incoming, Connection) {
        (self.response.into_body(), self.connection)
    }
}

/// Reads and removes the mark of a request that was passed on.
///
/// # Errors
/// Rejects a marked request that comes from no known instance.
pub(super) fn read_hop<D: Dialect>(shared: &Shared<D>, parts: &mut request::Parts) -> Result<Option<Hop>, Refusal> {
    let software = read_software(&mut parts.headers);
    let Some(value) = parts.headers.remove(HOP) else { return Ok(None) };
    let peer = parts.extensions.get::<PeerAddress>();
    let from = peer.and_then(|PeerAddress(address)| shared.instance_at(*address));
    let runs = value.to_str().ok().and_then(|runs| runs.parse().ok());
    let (Some(from), Some(runs)) = (from, runs) else {
        shared.metrics.record_hop(HopOutcome::Rejected);
        return Err(misdirected("it was passed on by no known instance"));
    };
    shared.metrics.record_hop(HopOutcome::Received);
    Ok(Some(Hop { from, runs, software }))
}

/// Reads and removes the version that began, or begins, a stream.
pub fn read_software(headers: &mut HeaderMap) -> Option<Software> {
    let mut read = |name| headers.remove(name)?.to_str().ok().map(Arc::from);
    let (service, version) = (read(HOP_SERVICE), read(HOP_VERSION));
    Some(Software { service: service?, version: version? })
}

/// Names the version that began, or begins, a stream.
pub fn write_software(headers: &mut HeaderMap, software: &Software) {
    let Software { service, version } = software;
    let values = (HeaderValue::from_str(service), HeaderValue::from_str(version));
    if let (Ok(service), Ok(version)) = values {
        headers.insert(HOP_SERVICE, service);
        headers.insert(HOP_VERSION, version);
    }
}

/// Whether the next step for a request is to pass it on: this instance is isolated, or all endpoints were tried and some
/// of them could not be reached.
pub fn must_pass_on<D: Dialect>(shared: &Shared<D>, call: &Call, progress: &Progress) -> bool {
    let is_exhausted = progress.hop_need == HopNeed::Possible && progress.unsent_attempts >= MAX_UNSENT_ATTEMPTS;
    let is_lost = is_exhausted || shared.reachability.borrow().is_isolated();
    is_lost && call.hop.is_none() && progress.hop_need != HopNeed::Vain
}

/// Passes a request to another instance and waits for the head of its answer.
///
/// # Errors
/// Fails if no instance can serve it, which sends nothing, or if the one that got it does not answer.
pub async fn pass_on<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: &Call,
    progress: &mut Progress,
    last_event: Option<u64>,
) -> Result<HopAnswer, Failure> {
    for (instance, address) in shared.hop_targets::<MAX_INSTANCES>(&call.residency) {
        let left = call.deadline.saturating_duration_since(Moment::now());
        if left.is_zero() {
            return Err(Failure::DeadlineExceeded);
        }
        let origin = shared.options.listeners.origin();
        // A request on a connection that is opened for it was never read by the other side if that closes it before.
        let connected = upstream::connect(origin, &address, upstream::CONNECT_TIMEOUT.min(left)).await;
        let Ok(connection) = connected else {
            record_unfit(shared, call, &instance, "it cannot be reached");
            continue;
        };
        if let Some(answer) = send_over(shared, call, progress, last_event, (instance, connection)).await? {
            return Ok(answer);
        }
    }
    progress.hop_need = HopNeed::Vain;
    Err(Failure::NotSent(ISOLATED))
}

/// Sends a request to an instance; `None` if that reaches no endpoint either.
async fn send_over<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    progress: &mut Progress,
    last_event: Option<u64>,
    (instance, mut connection): (InstanceId, Connection),
) -> Result<Option<HopAnswer>, Failure> {
    let runs = progress.possible_runs;
    let request = to_request(&shared.dialect, call, progress, last_event);
    shared.log.write(What::CallPassed { request: call.id.clone(), to: instance.clone(), runs });
    progress.possible_runs += 1;
    match timeout_at(call.deadline, connection.send(request)).await {
        Ok(Ok(response)) if response.status() == StatusCode::MISDIRECTED_REQUEST => {
            progress.possible_runs = runs;
            record_unfit(shared, call, &instance, "it reaches no endpoint either");
            Ok(None)
        }
        Ok(Ok(mut response)) => {
            if promises_not_run(response.status()) {
                progress.possible_runs = runs;
            }
            shared.neighbours.borrow_mut().record(&instance, true, Moment::now());
            shared.metrics.record_hop(HopOutcome::Answered);
            let software = read_software(response.headers_mut());
            Ok(Some(HopAnswer { instance, response, software, connection }))
        }
        Ok(Err(_)) => {
            shared.neighbours.borrow_mut().record(&instance, false, Moment::now());
            shared.metrics.record_hop(HopOutcome::Failed);
            log_failure(shared, call, &instance, "the other instance broke off", Ran::Unknown);
            Err(Failure::OutcomeUnknown("the other instance broke off"))
        }
        Err(_) => {
            shared.metrics.record_hop(HopOutcome::Failed);
            Err(Failure::DeadlineExceeded)
        }
    }
}

fn record_unfit<D: Dialect>(shared: &Shared<D>, call: &Call, instance: &InstanceId, why: &str) {
    shared.neighbours.borrow_mut().record(instance, false, Moment::now());
    shared.metrics.record_hop(HopOutcome::Unfit);
    log_failure(shared, call, instance, why, Ran::No);
}

fn log_failure<D: Dialect>(shared: &Shared<D>, call: &Call, instance: &InstanceId, why: &str, ran: Ran) {
    let (request, endpoint) = (call.id.clone(), instance.clone());
    shared.log.write(What::CallFailed { request, endpoint, attempt: 0, why: why.to_owned(), ran });
}

/// The request as its caller sent it, with the time that is left.
fn to_request<D: Dialect>(
    dialect: &D,
    call: &Call,
    progress: &Progress,
    last_event: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let left = call.deadline.saturating_duration_since(Moment::now());
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = to_origin_form(&call.uri);
    *request.headers_mut() = call.headers.clone();
    dialect.write_hop(request.headers_mut(), left, last_event);
    request.headers_mut().insert(HOP, HeaderValue::from(progress.possible_runs));
    if let Some(software) = &progress.software {
        write_software(request.headers_mut(), software);
    }
    request
}
