//! The callers' interface: reading a request, waiting for verdicts, carrying them out.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam_channel::{Receiver, Sender, unbounded};
use rudder_core::{Arrival, Event, Key, Verdict};
use rudder_model::{ClassId, ModelId, Ran, Refusal, RefusalCode, RequestId, Start, id};
use serde::Deserialize;
use serde_json::{json, value::RawValue};
use tiny_http::{Method, Request, Response, Server};

use crate::{
    Input, Query, QueryReply,
    admin::{self, ask},
    endpoint::Errand,
    metrics::Metrics,
    reply::{self, BodyError},
    upstream::{Agents, Exchange, Target},
    workers::Workers,
};

/// Bytes of a prompt's beginning that make its prefix.
const PREFIX_BYTES: usize = 256;

/// What all traffic threads share.
pub(crate) struct Shared {
    pub(crate) inputs: Sender<Input>,
    pub(crate) errands: Sender<Errand>,
    pub(crate) agents: Agents,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) start: Start,
    pub(crate) count: AtomicU64,
    pub(crate) body: usize,
    pub(crate) admin_key: String,
}

impl Shared {
    fn next_id(&self) -> RequestId {
        id::request_id(self.start, self.count.fetch_add(1, Ordering::Relaxed))
    }
}

/// Starts the thread that takes in callers' requests.
pub(crate) fn start(server: Arc<Server>, shared: Arc<Shared>, open: usize) {
    let handler = shared.clone();
    let workers = Workers::new(open, move |request| serve(&handler, request));
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let Err(request) = workers.give(request) else { continue };
            let text = "this instance handles as many requests as it may; use another entry";
            let refusal = Refusal::not_run(RefusalCode::Overloaded, text, Some(Duration::from_secs(1)));
            let _ = reply::refuse(request, shared.next_id(), &refusal);
        }
    });
}

fn serve(shared: &Shared, request: Request) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let is_get = *request.method() == Method::Get;
    match path.as_str() {
        "/v1/chat/completions" | "/v1/completions" => complete(shared, request, &path),
        "/v1/entries" if is_get => entries(shared, request),
        "/v1/models" if is_get => models(shared, request),
        "/healthz" => drop(request.respond(Response::from_string("ok\n"))),
        "/readyz" => ready(shared, request),
        "/metrics" => metrics(shared, request),
        path if path.starts_with(admin::PREFIX) => operate(shared, request),
        path if path.starts_with("/v1/requests/") && is_get => outcome(shared, request, path),
        path if path.starts_with("/services/") => service(shared, request, path),
        _ => drop(reply::json(
            request,
            404,
            &json!({"error": {"message": "no such path", "code": "unknown_path", "ran": "no"}}),
        )),
    }
}

fn entries(shared: &Shared, request: Request) {
    let Some(QueryReply::Entries(entries, keep)) = ask(&shared.inputs, Query::Entries) else { return };
    let list: Vec<_> = entries
        .iter()
        .map(|entry| json!({"instance": entry.name, "hall": entry.hall, "address": entry.address}))
        .collect();
    let _ = reply::json(request, 200, &json!({"entries": list, "keep_seconds": keep.as_secs_f64()}));
}

fn models(shared: &Shared, request: Request) {
    let query = Query::Models { bearer: bearer(&request) };
    let Some(QueryReply::Models(models)) = ask(&shared.inputs, query) else { return };
    let Some(models) = models else {
        let refusal = Refusal::not_run(RefusalCode::WrongKey, "no organisation has this key", None);
        let _ = reply::refuse(request, shared.next_id(), &refusal);
        return;
    };
    let data: Vec<_> = models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "hatchrudder"}))
        .collect();
    let _ = reply::json(request, 200, &json!({"object": "list", "data": data}));
}

fn ready(shared: &Shared, request: Request) {
    let ready = matches!(ask(&shared.inputs, Query::Status), Some(QueryReply::Status(status)) if status.ready);
    let (status, text) = if ready { (200, "ready\n") } else { (503, "not ready\n") };
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}

fn metrics(shared: &Shared, request: Request) {
    let Some(QueryReply::Status(status)) = ask(&shared.inputs, Query::Status) else { return };
    let header = reply::to_header("content-type", "application/openmetrics-text; version=1.0.0; charset=utf-8");
    let _ = request.respond(Response::from_string(shared.metrics.to_text(&status)).with_header(header));
}

fn operate(shared: &Shared, request: Request) {
    let expected = format!("Bearer {}", shared.admin_key);
    if reply::header(&request, "authorization").as_deref() != Some(expected.as_str()) {
        let _ = reply::json(request, 401, &json!({"error": "wrong operator key"}));
        return;
    }
    admin::serve(request, &shared.inputs);
}

fn outcome(shared: &Shared, request: Request, path: &str) {
    let text = path.trim_start_matches("/v1/requests/");
    let Ok(id) = RequestId::from_str_radix(text, 16) else {
        let _ = reply::json(request, 400, &json!({"error": {"message": "not a request id", "code": "bad_request"}}));
        return;
    };
    let Some(QueryReply::Outcome(outcome)) = ask(&shared.inputs, Query::Outcome(id)) else { return };
    let (status, word) = outcome.map_or((404, "unknown here".into()), |word| (200, word));
    let _ = reply::json(request, status, &json!({"request": text, "outcome": word}));
}

/// Digest of the bearer key, in hexadecimal; that of nothing where there is none.
fn bearer(request: &Request) -> String {
    let value = reply::header(request, "authorization").unwrap_or_default();
    let key = value.strip_prefix("Bearer ").unwrap_or_default();
    id::hex(&id::digest(key.as_bytes()))
}

/// The parts of a completion's body that matter here; the engine gets the body as it came.
#[derive(Deserialize)]
struct Completion<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
}

fn complete(shared: &Shared, request: Request, path: &str) {
    let id = shared.next_id();
    if *request.method() != Method::Post {
        let refusal = Refusal::not_run(RefusalCode::BadRequest, "use POST", None);
        let _ = reply::refuse(request, id, &refusal);
        return;
    }
    let Some((request, body)) = read_or_refuse(shared, request, id) else { return };
    let parsed: Completion = match serde_json::from_slice(&body) {
        Ok(parsed) => parsed,
        Err(error) => {
            let refusal = Refusal::not_run(RefusalCode::BadRequest, format!("the body cannot be read: {error}"), None);
            return drop(reply::refuse(request, id, &refusal));
        }
    };
    let prompt = parsed.messages.or(parsed.prompt).map(RawValue::get).unwrap_or_default();
    let model = ModelId::from(parsed.model.as_str());
    let arrival = Arrival {
        prefix: to_prefix(&model, prompt),
        resumable: parsed.stream,
        ..to_arrival(&request, id, model, &body)
    };
    let target = Target { method: "POST".to_owned(), path: path.to_owned(), stream: parsed.stream, engine: true };
    run(shared, request, arrival, target, body);
}

fn service(shared: &Shared, request: Request, path: &str) {
    let id = shared.next_id();
    let rest = path.trim_start_matches("/services/");
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let query = request.url().split_once('?').map(|(_, query)| format!("?{query}")).unwrap_or_default();
    let target =
        Target { method: request.method().to_string(), path: format!("/{rest}{query}"), stream: false, engine: false };
    let Some((request, body)) = read_or_refuse(shared, request, id) else { return };
    let model = ModelId::from(format!("{}{name}", id::SERVICE_PREFIX));
    let arrival = to_arrival(&request, id, model, &body);
    run(shared, request, arrival, target, body);
}

/// Reads the body; a request whose body cannot be taken is refused here.
fn read_or_refuse(shared: &Shared, mut request: Request, id: RequestId) -> Option<(Request, Vec<u8>)> {
    let refusal = match reply::read_body(&mut request, shared.body) {
        Ok(body) => return Some((request, body)),
        Err(BodyError::TooLarge) => {
            Refusal::not_run(RefusalCode::TooLarge, format!("the body exceeds {} bytes", shared.body), None)
        }
        Err(BodyError::Broken) => Refusal::not_run(RefusalCode::BadRequest, "the body broke off", None),
    };
    let _ = reply::refuse(request, id, &refusal);
    None
}

fn to_arrival(request: &Request, id: RequestId, model: ModelId, body: &[u8]) -> Arrival {
    let key = reply::header(request, "idempotency-key").map(|name| {
        let mut whole = format!("{} {}\n", request.method(), request.url()).into_bytes();
        whole.extend_from_slice(body);
        Key { name, digest: id::digest(&whole) }
    });
    let patience = reply::header(request, "x-patience-ms").and_then(|text| text.parse().ok());
    Arrival {
        request: id,
        bearer: bearer(request),
        class: reply::header(request, "x-class").map(ClassId::from),
        model,
        key,
        prefix: 0,
        resumable: false,
        patience: patience.map(Duration::from_millis),
    }
}

fn to_prefix(model: &str, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let head = &bytes[..bytes.len().min(PREFIX_BYTES)];
    if head.is_empty() { 0 } else { xxhash_rust::xxh3::xxh3_64_with_seed(head, id::rendezvous(model, "")) }
}

/// Carries out verdicts until the request has its answer.
fn run(shared: &Shared, request: Request, arrival: Arrival, target: Target, body: Vec<u8>) {
    let (id, keyed) = (arrival.request, arrival.key.is_some());
    let key = arrival.key.as_ref().map(|key| key.name.clone());
    let content = reply::header(&request, "content-type");
    let (sender, verdicts) = unbounded();
    let sent = shared.inputs.send(Input::Call(id, Event::Arrive(Box::new(arrival)), sender));
    let mut exchange = Exchange::new(shared, id, request, target, (body, content, key));
    if sent.is_err() {
        exchange.refuse(&ending(Ran::No));
        return;
    }
    obey(&mut exchange, &verdicts, keyed);
}

fn obey(exchange: &mut Exchange, verdicts: &Receiver<Verdict>, keyed: bool) {
    loop {
        match verdicts.recv() {
            Ok(Verdict::Dispatch(dispatch)) => {
                if !exchange.dispatch(&dispatch, verdicts, keyed) {
                    return;
                }
            }
            Ok(Verdict::Refuse(refusal)) => return exchange.refuse(&refusal),
            Ok(Verdict::Stored(stored)) => return exchange.answer(stored),
            Ok(Verdict::Release) => return exchange.release(),
            // It came after the attempt it meant had ended.
            Ok(Verdict::Recall) => {}
            Err(_) => {
                let ran = if exchange.is_sent() { Ran::Unknown } else { Ran::No };
                return exchange.refuse(&ending(ran));
            }
        }
    }
}

fn ending(ran: Ran) -> Refusal {
    let text = "this instance is ending; use another entry";
    Refusal { code: RefusalCode::Stopping, text: text.to_owned(), retry: Some(Duration::from_secs(1)), ran }
}
