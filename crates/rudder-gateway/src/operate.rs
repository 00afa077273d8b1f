//! Operations at the control listeners: readiness, entries, configuration documents, heartbeats and evacuations.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use rudder_clock::Moment;
use rudder_core::{Event, Phase, Registration};
use rudder_events::What;
use rudder_ledger::Document;
use rudder_model::HallId;

use crate::{
    Dialect, Operation,
    body::AnswerBody,
    dialect::{EntriesQuery, ReportError},
    shared::{Reply, Shared},
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Content type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Largest configuration document in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;
/// Largest heartbeat in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;
/// Characters of a rejected report's endpoint name that are logged.
const MAX_LOGGED_NAME: usize = 64;
/// How long a read of the configuration waits for a proof that it is the newest.
const READ_PROOF_TIMEOUT: Duration = Duration::from_millis(850);
/// How long an operator's change waits to be committed.
const DECISION_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long a heartbeat waits to be accepted.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Serves the metrics of the instance.
pub fn metrics<D: Dialect>(shared: &Shared<D>, path: &str) -> Response<AnswerBody> {
    if path != METRICS_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let mut response = Response::new(AnswerBody::whole(shared.metrics.to_text(shared)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_CONTENT_TYPE));
    response
}

/// Serves a request at a control listener.
pub async fn handle<D: Dialect>(
    shared: Rc<Shared<D>>,
    request: Request<Incoming>,
    arrived: Moment,
) -> Response<AnswerBody> {
    match shared.dialect.read_operation(request.method(), request.uri()) {
        Operation::Ready => empty(if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }),
        Operation::Entries(query) => entries(&shared, &query),
        Operation::ReplaceDocument => replace(&shared, request.into_body()).await,
        Operation::ReadDocument => read(&shared, arrived).await,
        Operation::Heartbeat(endpoint) => heartbeat(&shared, &endpoint, request.into_body()).await,
        Operation::Deregister(endpoint) => leave(&shared, &endpoint, request.into_body()).await,
        Operation::Evacuate(hall) => evacuate(&shared, hall.into(), true).await,
        Operation::EndEvacuation(hall) => evacuate(&shared, hall.into(), false).await,
        Operation::Unknown => empty(StatusCode::NOT_FOUND),
    }
}

fn entries<D: Dialect>(shared: &Shared<D>, query: &EntriesQuery) -> Response<AnswerBody> {
    let addresses = shared.entries_for(query);
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    json(StatusCode::OK, shared.dialect.write_entries(&addresses, shared.options.entries_ttl))
}

async fn replace<D: Dialect>(shared: &Shared<D>, body: Incoming) -> Response<AnswerBody> {
    let Ok(body) = Limited::new(body, MAX_DOCUMENT_BYTES).collect().await else {
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large or broke off");
    };
    let body = body.to_bytes();
    let plan = match shared.dialect.read_document(&body) {
        Ok(plan) => plan,
        Err(error) => {
            let why = error.to_string();
            let status = StatusCode::BAD_REQUEST;
            shared.log.write(What::DocumentPut { version: 0, status: status.as_u16(), held: 0, why: why.clone() });
            return error_response(status, &why);
        }
    };
    let (ticket, reply) = shared.tickets.issue();
    let document = Document::with_shares(plan.version, body.to_vec(), plan.stream_shares());
    drop(body);
    shared.send_event(Event::PutDocument { ticket, document });
    let version_held = match tokio::time::timeout(DECISION_TIMEOUT, reply).await {
        Ok(Ok(Reply::Documented(version))) => version,
        _ => None,
    };
    let status = if version_held.is_some() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let why = if version_held.is_some() { String::new() } else { "no leader decided in time".to_owned() };
    shared.log.write(What::DocumentPut {
        version: plan.version,
        status: status.as_u16(),
        held: version_held.unwrap_or_default(),
        why,
    });
    match version_held {
        Some(_) => json(status, Bytes::from_static(b"{}")),
        None => error_response(status, "the outcome is unknown; send the same again"),
    }
}

/// Returns the document once it is proved to be the newest as of this request.
async fn read<D: Dialect>(shared: &Shared<D>, arrived: Moment) -> Response<AnswerBody> {
    let proved = shared.wait_for_proof(arrived, READ_PROOF_TIMEOUT).await;
    let document = shared.view.borrow().document.clone();
    let (version, response) = match document.filter(|_| proved) {
        Some(document) => (document.version, json(StatusCode::OK, Bytes::copy_from_slice(&document.body))),
        None if proved => (0, error_response(StatusCode::SERVICE_UNAVAILABLE, "there is no configuration yet")),
        None => (0, error_response(StatusCode::SERVICE_UNAVAILABLE, "the newest configuration is not known here")),
    };
    let proof_ms = shared.proof_age().map(|age| age.as_millis() as u64);
    shared.log.write(What::DocumentRead { version, status: response.status().as_u16(), proof_ms });
    response
}

/// Begins or ends the evacuation of a hall.
async fn evacuate<D: Dialect>(shared: &Shared<D>, hall: HallId, begins: bool) -> Response<AnswerBody> {
    if !shared.placement.borrow().knows(&hall) {
        return error_response(StatusCode::NOT_FOUND, "there is no such hall");
    }
    let started = Moment::now();
    let (ticket, reply) = shared.tickets.issue();
    shared.send_event(Event::Evacuate { ticket, hall: hall.clone(), begins });
    let answer = tokio::time::timeout(DECISION_TIMEOUT, reply).await;
    let decided = matches!(answer, Ok(Ok(Reply::Evacuated(true))));
    let status = if decided { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let took_ms = started.elapsed().as_millis() as u64;
    shared.log.write(What::EvacuationOrdered { hall, begins, status: status.as_u16(), took_ms });
    if decided {
        return json(status, Bytes::from_static(b"{}"));
    }
    error_response(status, "the outcome is unknown; send the same again")
}

async fn heartbeat<D: Dialect>(shared: &Shared<D>, name: &str, body: Incoming) -> Response<AnswerBody> {
    let Ok(body) = Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await else {
        return refuse_report(shared, name, &ReportError::TooLarge);
    };
    let read = shared.dialect.read_heartbeat(name, &body.to_bytes());
    match read.and_then(|registration| check_registration(shared, registration)) {
        Ok(registration) => register(shared, registration).await,
        Err(fault) => refuse_report(shared, name, &fault),
    }
}

/// Validates a heartbeat against the known endpoint of its name: it must not move the endpoint to a service that the
/// configuration does not name, nor omit a start time that earlier heartbeats named.
fn check_registration<D: Dialect>(shared: &Shared<D>, reported: Registration) -> Result<Registration, ReportError> {
    let view = shared.view.borrow();
    let known = view.endpoints.iter().find(|known| known.name() == reported.name() && known.phase < Phase::Gone);
    let Some(known) = known else { return Ok(reported) };
    if known.born.is_some() && reported.born.is_none() {
        return Err(ReportError::Born);
    }
    let plan = shared.current_plan();
    let is_named = plan.is_none_or(|plan| plan.services.contains_key(&*reported.service));
    if !is_named && known.service != reported.service {
        return Err(ReportError::Service);
    }
    Ok(reported)
}

/// Deregisters an endpoint: the life that the request names, or the latest known one if it names none.
async fn leave<D: Dialect>(shared: &Shared<D>, name: &str, body: Incoming) -> Response<AnswerBody> {
    let Ok(body) = Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await else {
        return refuse_report(shared, name, &ReportError::TooLarge);
    };
    let born = match shared.dialect.read_leave(&body.to_bytes()) {
        Ok(born) => born,
        Err(fault) => return refuse_report(shared, name, &fault),
    };
    let view = shared.view.borrow().clone();
    let is_wanted = |known: &&Arc<Registration>| {
        known.name() == name && known.phase != Phase::Replaced && born.is_none_or(|born| known.born == Some(born))
    };
    let known = view.endpoints.iter().find(is_wanted);
    // An endpoint that is unknown here may be known to another instance.
    let registration = known.map_or_else(
        || Registration::end_of(name, born, shared.options.hall.clone()),
        |known| Registration { phase: Phase::Gone, ..Registration::clone(known) },
    );
    register(shared, registration).await
}

/// Rejects a report in an endpoint's name; the known state of the endpoint is unchanged.
fn refuse_report<D: Dialect>(shared: &Shared<D>, name: &str, error: &ReportError) -> Response<AnswerBody> {
    shared.metrics.record_refused_report(error.reason());
    shared.log.write(What::WordRefused { endpoint: truncate_name(name), why: error.to_string() });
    error_response(StatusCode::BAD_REQUEST, &error.to_string())
}

/// Truncates a name for the log, as its length is up to the sender.
fn truncate_name(name: &str) -> String {
    name.chars().take(MAX_LOGGED_NAME).collect()
}

async fn register<D: Dialect>(shared: &Shared<D>, registration: Registration) -> Response<AnswerBody> {
    let (ticket, reply) = shared.tickets.issue();
    let started = Moment::now();
    let departure = (registration.phase >= Phase::Leaving).then(|| registration.endpoint.clone());
    let ended = registration.has_ended();
    shared.send_event(Event::Register { ticket, registration });
    let answer = tokio::time::timeout(HEARTBEAT_TIMEOUT, reply).await;
    let accepted = matches!(answer, Ok(Ok(Reply::Registered(true))));
    let status = if accepted { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    if let Some(endpoint) = departure {
        let took_us = started.elapsed().as_micros() as u64;
        shared.log.write(What::DepartureAnswered { endpoint, ended, status: status.as_u16(), took_us });
    }
    if accepted {
        return json(status, shared.dialect.write_heartbeat());
    }
    error_response(status, "this instance has lost touch with the others")
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

fn json(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(status: StatusCode, why: &str) -> Response<AnswerBody> {
    json(status, Bytes::from(serde_json::json!({ "error": why }).to_string()))
}
