//! The other doors: readiness, entries, configuration documents, heartbeats.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use rudder_core::{Event, Phase, Registration};
use rudder_events::What;
use rudder_ledger::Document;

use crate::{
    Dialect, Operation,
    body::AnswerBody,
    shared::{Reply, Shared},
};

/// Path of the figures.
const METRICS_PATH: &str = "/metrics";
/// Form of the figures.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Largest configuration document.
const DOCUMENT: usize = 4 << 20;
/// Largest heartbeat.
const HEARTBEAT: usize = 64 << 10;
/// A reader of the configuration waits this long for proof that it is the newest.
const READ_WAIT: Duration = Duration::from_millis(850);
/// An operator waits this long for the log to decide.
const DECIDE_WAIT: Duration = Duration::from_millis(2600);
/// An endpoint waits this long for its heartbeat to be taken in.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(900);

/// Serves the figures of the instance.
pub fn metrics<D: Dialect>(shared: &Shared<D>, path: &str) -> Response<AnswerBody> {
    if path != METRICS_PATH {
        return empty(StatusCode::NOT_FOUND);
    }
    let mut response = Response::new(AnswerBody::whole(shared.metrics.to_text(shared)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_TYPE));
    response
}

/// Serves one request.
pub async fn handle<D: Dialect>(
    shared: Rc<Shared<D>>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Response<AnswerBody> {
    match shared.dialect.read_operation(request.method(), request.uri()) {
        Operation::Ready => empty(if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }),
        Operation::Entries(hall) => entries(&shared, hall.as_deref()),
        Operation::Replace => replace(&shared, request.into_body()).await,
        Operation::Read => read(&shared, arrived).await,
        Operation::Heartbeat(endpoint) => heartbeat(&shared, &endpoint, request.into_body()).await,
        Operation::Leave(endpoint) => leave(&shared, endpoint).await,
        Operation::Unknown => empty(StatusCode::NOT_FOUND),
    }
}

fn entries<D: Dialect>(shared: &Shared<D>, hall: Option<&str>) -> Response<AnswerBody> {
    let addresses = shared.to_entries(hall);
    if addresses.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    json(StatusCode::OK, shared.dialect.write_entries(&addresses, shared.options.keep))
}

async fn replace<D: Dialect>(shared: &Shared<D>, body: Incoming) -> Response<AnswerBody> {
    let Ok(body) = Limited::new(body, DOCUMENT).collect().await else {
        return fault(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large or broke off");
    };
    let body = body.to_bytes();
    let plan = match shared.dialect.read_document(&body) {
        Ok(plan) => plan,
        Err(error) => {
            let why = error.to_string();
            let status = StatusCode::BAD_REQUEST;
            shared.log.write(What::DocumentPut { version: 0, status: status.as_u16(), held: 0, why: why.clone() });
            return fault(status, &why);
        }
    };
    let (ticket, reply) = shared.tickets.draw();
    let document = Document::new(plan.version, body.to_vec());
    drop(body);
    shared.tell(Event::PutDocument { ticket, document });
    let held = match tokio::time::timeout(DECIDE_WAIT, reply).await {
        Ok(Ok(Reply::Documented(held))) => held,
        _ => None,
    };
    let status = if held.is_some() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let why = if held.is_some() { String::new() } else { "no leader decided in time".to_owned() };
    shared.log.write(What::DocumentPut {
        version: plan.version,
        status: status.as_u16(),
        held: held.unwrap_or_default(),
        why,
    });
    match held {
        Some(_) => json(status, Bytes::from_static(b"{}")),
        None => fault(status, "the outcome is unknown; send the same again"),
    }
}

/// Answers with the document only when it is proved the newest as of this request.
async fn read<D: Dialect>(shared: &Shared<D>, arrived: Instant) -> Response<AnswerBody> {
    if !shared.prove(arrived, READ_WAIT).await {
        return fault(StatusCode::SERVICE_UNAVAILABLE, "the newest configuration is not known here");
    }
    let document = shared.view.borrow().document.clone();
    match document {
        Some(document) => json(StatusCode::OK, Bytes::copy_from_slice(&document.body)),
        None => fault(StatusCode::SERVICE_UNAVAILABLE, "there is no configuration yet"),
    }
}

async fn heartbeat<D: Dialect>(shared: &Shared<D>, endpoint: &str, body: Incoming) -> Response<AnswerBody> {
    let Ok(body) = Limited::new(body, HEARTBEAT).collect().await else {
        return fault(StatusCode::BAD_REQUEST, "the heartbeat is too large or broke off");
    };
    match shared.dialect.read_heartbeat(endpoint, &body.to_bytes()) {
        Ok(registration) => register(shared, registration).await,
        Err(why) => fault(StatusCode::BAD_REQUEST, &why),
    }
}

async fn leave<D: Dialect>(shared: &Shared<D>, endpoint: String) -> Response<AnswerBody> {
    let view = shared.view.borrow().clone();
    let held = view.endpoints.iter().find(|registration| *registration.endpoint == *endpoint);
    let registration = match held {
        Some(held) => Registration { phase: Phase::Gone, ..held.clone() },
        // Unknown here, but another instance may know it.
        None => Registration {
            endpoint: endpoint.into(),
            service: "".into(),
            address: "".into(),
            hall: shared.options.hall.clone(),
            slots: 0,
            cheap: false,
            phase: Phase::Gone,
            sequence: 0,
        },
    };
    register(shared, registration).await
}

async fn register<D: Dialect>(shared: &Shared<D>, registration: Registration) -> Response<AnswerBody> {
    let (ticket, reply) = shared.tickets.draw();
    shared.tell(Event::Register { ticket, registration });
    match tokio::time::timeout(HEARTBEAT_WAIT, reply).await {
        Ok(Ok(Reply::Registered(true))) => json(StatusCode::OK, shared.dialect.write_heartbeat()),
        _ => fault(StatusCode::SERVICE_UNAVAILABLE, "this instance has lost touch with the others"),
    }
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

fn fault(status: StatusCode, why: &str) -> Response<AnswerBody> {
    json(status, Bytes::from(serde_json::json!({ "error": why }).to_string()))
}
