//! The operators' interface: objects, changes.

use crossbeam_channel::{Sender, bounded};
use rudder_ledger::{Change, Changed};
use rudder_model::Kind;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::{Input, Query, QueryReply, reply};

/// Path before all of the operators' interface.
pub(crate) const PREFIX: &str = "/admin/v1/";
/// Path before a hall's name.
const EVACUATIONS: &str = "evacuations/";
/// Largest change.
const BODY: usize = 1 << 20;

/// Serves one request of an operator, whose key has been checked.
pub(crate) fn serve(mut request: Request, inputs: &Sender<Input>) {
    let path = request.url().split('?').next().unwrap_or_default().to_owned();
    let path = path.strip_prefix(PREFIX).unwrap_or_default();
    let (status, body) = match (request.method(), path) {
        (Method::Post, "changes") => change(&mut request, inputs),
        (Method::Post, path) if path.starts_with(EVACUATIONS) => evacuate(&path[EVACUATIONS.len()..], true, inputs),
        (Method::Delete, path) if path.starts_with(EVACUATIONS) => evacuate(&path[EVACUATIONS.len()..], false, inputs),
        (Method::Get, "status") => status(inputs),
        (Method::Get, path) => objects(path, inputs),
        _ => (405, json!({"error": "POST changes, POST or DELETE evacuations/HALL, or GET status, KIND or KIND/NAME"})),
    };
    let _ = reply::json(request, status, &body);
}

fn change(request: &mut Request, inputs: &Sender<Input>) -> (u16, Value) {
    let Ok(body) = reply::read_body(request, BODY) else {
        return (413, json!({"error": "the change is too large or broken off"}));
    };
    let change: Change = match serde_json::from_slice(&body) {
        Ok(change) => change,
        Err(error) => return (400, json!({"error": format!("not a change: {error}")})),
    };
    if change.id.is_empty() || change.name.is_empty() {
        return (400, json!({"error": "id and name must not be empty"}));
    }
    if change.object.as_ref().is_some_and(|object| object.kind() != change.kind) {
        return (400, json!({"error": "the object is of another kind than the change says"}));
    }
    let (sender, receiver) = bounded(1);
    let _ = inputs.send(Input::Change(change, sender));
    match receiver.recv() {
        Ok(Some(changed)) => to_answer(&changed),
        _ => (
            503,
            json!({"error": "outcome unknown: no leader answered in time; send the same change again", "retry": true}),
        ),
    }
}

/// Evacuates a hall, or takes that back.
fn evacuate(hall: &str, begins: bool, inputs: &Sender<Input>) -> (u16, Value) {
    if hall.is_empty() {
        return (400, json!({"error": "the hall must not be empty"}));
    }
    let (answer, receiver) = bounded(1);
    let _ = inputs.send(Input::Evacuate { hall: hall.into(), begins, answer });
    match receiver.recv() {
        Ok(true) => (200, json!({"hall": hall, "evacuated": begins})),
        _ => (503, json!({"error": "outcome unknown: no leader answered in time; send the same again", "retry": true})),
    }
}

fn to_answer(changed: &Changed) -> (u16, Value) {
    let status = match changed {
        Changed::Accepted { .. } => 200,
        Changed::Conflict { .. } => 409,
        Changed::IdReused => 422,
        Changed::Invalid { .. } => 400,
    };
    (status, json!({"answer": changed}))
}

fn objects(path: &str, inputs: &Sender<Input>) -> (u16, Value) {
    let (word, name) = match path.split_once('/') {
        Some((word, name)) => (word, Some(name.to_owned())),
        None => (path, None),
    };
    let Some(kind) = Kind::from_word(word) else {
        let words: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
        return (404, json!({"error": format!("no kind {word}; there are {}", words.join(", "))}));
    };
    let one = name.is_some();
    let Some(QueryReply::Objects(objects, index)) = ask(inputs, Query::Objects(kind, name)) else {
        return (503, json!({"error": "the instance is ending"}));
    };
    if one && objects.is_empty() {
        return (404, json!({"error": "nothing has this name", "index": index}));
    }
    let objects: Vec<Value> = objects.into_iter().map(|(name, held)| json!({"name": name, "held": held})).collect();
    (200, json!({"index": index, "objects": objects}))
}

fn status(inputs: &Sender<Input>) -> (u16, Value) {
    let Some(QueryReply::Status(status)) = ask(inputs, Query::Status) else {
        return (503, json!({"error": "the instance is ending"}));
    };
    let body = json!({
        "ready": status.ready,
        "leads": status.leads,
        "term": status.term,
        "index": status.index,
        "voters": status.voters,
        "calls": status.calls,
        "waiting": status.waiting,
        "running": status.running,
        "keys": status.keys,
        "promises": status.promises,
    });
    (200, body)
}

/// Asks the control thread; `None` when it has ended.
pub(crate) fn ask(inputs: &Sender<Input>, query: Query) -> Option<QueryReply> {
    let (sender, receiver) = bounded(1);
    inputs.send(Input::Query(query, sender)).ok()?;
    receiver.recv().ok()
}
