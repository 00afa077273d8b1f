//! Reading requests and writing answers of `tiny_http`.

use std::io::{self, Read as _};

use rudder_core::calls::to_hex;
use rudder_model::{Refusal, RequestId};
use serde_json::{Value, json};
use tiny_http::{Header, Request, Response};

/// Header that carries the request id to callers and endpoints.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";

/// The value of a header.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// Why a body could not be read.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It exceeds the bound.
    TooLarge,
    /// The caller left or sent it wrongly.
    Broken,
}

/// Reads a body of at most `limit` bytes.
pub(crate) fn read_body(request: &mut Request, limit: usize) -> Result<Vec<u8>, BodyError> {
    let announced = request.body_length();
    if announced.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    let mut body = Vec::with_capacity(announced.unwrap_or_default());
    let mut reader = request.as_reader().take(limit as u64 + 1);
    reader.read_to_end(&mut body).map_err(|_| BodyError::Broken)?;
    if body.len() > limit {
        return Err(BodyError::TooLarge);
    }
    if announced.is_some_and(|length| length != body.len()) {
        return Err(BodyError::Broken);
    }
    Ok(body)
}

/// Builds a header from text that is known to be sound.
pub(crate) fn to_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .unwrap_or_else(|()| Header::from_bytes("x-header-dropped", "1").expect("a constant header is sound"))
}

/// Answers with JSON.
pub(crate) fn json(request: Request, status: u16, body: &Value) -> io::Result<()> {
    let header = to_header("content-type", "application/json");
    request.respond(Response::from_string(body.to_string()).with_status_code(status).with_header(header))
}

/// The body of a refusal, in the form that clients of the usual protocol read, and what we add to it.
pub(crate) fn to_error(id: RequestId, refusal: &Refusal) -> Value {
    let retry = refusal.retry.map(|retry| retry.as_millis() as u64);
    json!({
        "error": {
            "message": refusal.text,
            "type": if refusal.code.status() < 500 { "invalid_request_error" } else { "server_error" },
            "code": refusal.code,
            "param": null,
            "ran": refusal.ran,
            "retry_after_ms": retry,
            "request": to_hex(id),
        }
    })
}

/// Answers with a refusal.
pub(crate) fn refuse(request: Request, id: RequestId, refusal: &Refusal) -> io::Result<()> {
    let mut response = Response::from_string(to_error(id, refusal).to_string())
        .with_status_code(refusal.code.status())
        .with_header(to_header("content-type", "application/json"))
        .with_header(to_header(REQUEST_HEADER, &to_hex(id)));
    if let Some(retry) = refusal.retry {
        let seconds = retry.as_secs_f64().ceil().max(1.0);
        response.add_header(to_header("retry-after", &format!("{seconds}")));
    }
    request.respond(response)
}
