//! One exchange: a caller's connection on one side, one endpoint after the other on the other side.

use std::{
    io::{BufRead, BufReader, Write},
    time::{Duration, Instant},
};

use crossbeam_channel::Receiver;
use rudder_core::{Dispatch, Ended, Event, Stored, Verdict, calls::to_hex};
use rudder_model::{Refusal, RequestId, refusal::read_retry_after};
use serde::Deserialize;
use tiny_http::{Request, Response};
use ureq::{
    Agent, Body,
    http::{self, HeaderMap},
};

use crate::{
    Input,
    endpoint::Errand,
    entry::Shared,
    reply::{self, REQUEST_HEADER},
};

/// Largest whole answer.
const ANSWER: u64 = 16 << 20;
/// Buffer for each direction of a connection to an endpoint; the library's own 128 KB would be most of
/// what an open stream costs.
const BUFFER: usize = 8 * 1024;
/// Buffer for one event of a stream.
const LINE: usize = 2 * 1024;
/// Ends a stream of events.
const TERMINATOR: &[u8] = b"[DONE]";
const DATA: &[u8] = b"data:";

/// Connections to endpoints: a pooled agent, and one that opens a connection for each request.
pub(crate) struct Agents {
    pooled: Agent,
    fresh: Agent,
}

impl Agents {
    pub(crate) fn new(connect: Duration, idle: Duration) -> Agents {
        let config = || {
            Agent::config_builder()
                .http_status_as_error(false)
                .max_redirects(0)
                .allow_non_standard_methods(true)
                .timeout_connect(Some(connect))
                .timeout_recv_response(Some(idle))
                .timeout_per_read(Some(idle))
                .input_buffer_size(BUFFER)
                .output_buffer_size(BUFFER)
                .max_response_header_size(BUFFER)
                .user_agent("hatchrudder")
        };
        let pooled = config().max_idle_connections(1024).max_idle_connections_per_host(64).build();
        let fresh = config().max_idle_connections(0).max_idle_connections_per_host(0).build();
        Agents { pooled: pooled.into(), fresh: fresh.into() }
    }
}

/// What is asked of an endpoint.
pub(crate) struct Target {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) stream: bool,
    pub(crate) engine: bool,
}

/// How far the answer to the caller is.
enum Answer {
    /// Nothing was written.
    Untouched(Request),
    /// A stream of events is under way.
    Streaming(Box<dyn Write + Send>),
    /// A whole answer waits for its release.
    Held(Request, Stored),
    /// All was written.
    Ended,
}

/// One exchange.
pub(crate) struct Exchange<'a> {
    shared: &'a Shared,
    id: RequestId,
    answer: Answer,
    target: Target,
    body: Vec<u8>,
    content: Option<String>,
    key: Option<String>,
    produced: u32,
    sent: bool,
    /// The stream so far, kept only for a keyed request.
    kept: Vec<u8>,
}

/// Why reading a stream stopped.
enum Stop {
    Whole,
    Broken,
    Recalled,
    Left,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Usage,
}

impl<'a> Exchange<'a> {
    pub(crate) fn new(
        shared: &'a Shared,
        id: RequestId,
        request: Request,
        target: Target,
        content: (Vec<u8>, Option<String>, Option<String>),
    ) -> Exchange<'a> {
        let (body, content, key) = content;
        let answer = Answer::Untouched(request);
        Exchange { shared, id, answer, target, body, content, key, produced: 0, sent: false, kept: Vec::new() }
    }

    /// True once any endpoint may have got the request.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent
    }

    /// Refuses: as a whole answer, or as the last event of a stream that has begun.
    pub(crate) fn refuse(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.answer, Answer::Ended) {
            Answer::Untouched(request) | Answer::Held(request, _) => {
                let _ = reply::refuse(request, self.id, refusal);
            }
            Answer::Streaming(mut writer) => {
                // No terminator follows: a client must not take the stream for a whole one.
                let event = format!("data: {}\n\n", reply::to_error(self.id, refusal));
                let _ = write_chunk(&mut writer, event.as_bytes());
                let _ = write_chunk(&mut writer, b"");
            }
            Answer::Ended => {}
        }
    }

    /// Answers with what was stored.
    pub(crate) fn answer(&mut self, stored: Stored) {
        if let Answer::Untouched(request) = std::mem::replace(&mut self.answer, Answer::Ended) {
            self.respond(request, stored);
        }
    }

    /// Passes on the end that was held until the record of a keyed request was durable.
    pub(crate) fn release(&mut self) {
        match std::mem::replace(&mut self.answer, Answer::Ended) {
            Answer::Held(request, stored) => self.respond(request, stored),
            Answer::Streaming(mut writer) => {
                let _ = end_stream(&mut writer);
            }
            Answer::Untouched(_) | Answer::Ended => {}
        }
    }

    fn respond(&self, request: Request, stored: Stored) {
        let response = Response::from_data(stored.body)
            .with_status_code(stored.status)
            .with_header(reply::to_header("content-type", &stored.content))
            .with_header(reply::to_header(REQUEST_HEADER, &to_hex(self.id)));
        let _ = request.respond(response);
    }

    /// Sends the request to an endpoint and passes its answer on. Returns whether more verdicts follow.
    pub(crate) fn dispatch(&mut self, dispatch: &Dispatch, verdicts: &Receiver<Verdict>, keyed: bool) -> bool {
        let start = Instant::now();
        let ended = match self.send(dispatch) {
            Err(error) => {
                let sent = !is_unsent(&error);
                self.sent |= sent;
                Ended::Failed { sent, refused: false, retry_after: None, produced: self.produced }
            }
            Ok(response) => {
                self.sent = true;
                self.take(response, verdicts, keyed, start)
            }
        };
        let stopped = matches!(ended, Ended::Recalled { .. } | Ended::Left);
        if stopped && self.target.engine {
            let (address, request) = (dispatch.address.clone(), to_hex(self.id));
            let _ = self.shared.errands.send(Errand::Cancel { address, request });
        }
        let goes_on = match &ended {
            Ended::Done { stored, .. } => stored.is_some(),
            Ended::Left => false,
            Ended::Failed { .. } | Ended::Recalled { .. } => true,
        };
        let _ = self.shared.inputs.send(Input::Event(Event::Ended { request: self.id, ended }));
        goes_on
    }

    fn send(&self, dispatch: &Dispatch) -> Result<http::Response<Body>, ureq::Error> {
        let uri = format!("http://{}{}", dispatch.address, self.target.path);
        let mut builder = http::Request::builder()
            .method(self.target.method.as_str())
            .uri(uri)
            .header(REQUEST_HEADER, to_hex(self.id))
            .header("x-priority", dispatch.tier.to_string());
        if dispatch.resume > 0 {
            builder = builder.header("x-resume-offset", dispatch.resume.to_string());
        }
        if let Some(content) = &self.content {
            builder = builder.header("content-type", content);
        }
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        let agent = if dispatch.once { &self.shared.agents.fresh } else { &self.shared.agents.pooled };
        // These methods must carry a body, if only an empty one; the others go without where there is none.
        let carries = matches!(self.target.method.as_str(), "POST" | "PUT" | "PATCH");
        if self.body.is_empty() && !carries {
            return agent.run(builder.body(()).map_err(ureq::Error::Http)?);
        }
        agent.run(builder.body(&self.body[..]).map_err(ureq::Error::Http)?)
    }

    fn take(
        &mut self,
        response: http::Response<Body>,
        verdicts: &Receiver<Verdict>,
        keyed: bool,
        start: Instant,
    ) -> Ended {
        let status = response.status().as_u16();
        let refused = matches!(status, 429 | 503);
        let broken = if self.target.engine { status >= 500 } else { matches!(status, 502 | 504) };
        if refused || broken || !self.is_own(response.headers()) {
            let retry_after = response.headers().get("retry-after").filter(|_| status == 503);
            let retry_after = retry_after.and_then(|value| read_retry_after(value.to_str().ok()?));
            return Ended::Failed { sent: true, refused, retry_after, produced: self.produced };
        }
        let streams = self.target.stream && status == 200;
        if streams {
            return self.stream(response, verdicts, keyed, start);
        }
        if self.produced > 0 {
            // A stream that has begun cannot go on as a whole answer.
            return Ended::Failed { sent: true, refused: false, retry_after: None, produced: self.produced };
        }
        self.whole(response, keyed, start)
    }

    /// An endpoint that names a request in its answer must name this one.
    fn is_own(&self, headers: &HeaderMap) -> bool {
        headers.get(REQUEST_HEADER).is_none_or(|held| held.as_bytes() == to_hex(self.id).as_bytes())
    }

    fn whole(&mut self, response: http::Response<Body>, keyed: bool, start: Instant) -> Ended {
        let status = response.status().as_u16();
        let content = to_content(response.headers());
        let read = response.into_body().with_config().limit(ANSWER).read_to_vec();
        let Ok(body) = read else {
            return Ended::Failed { sent: true, refused: false, retry_after: None, produced: 0 };
        };
        let total = start.elapsed();
        let tokens = serde_json::from_slice::<WithUsage>(&body).map_or(0, |with| with.usage.completion_tokens);
        let stored = Stored { status, content, body };
        let Answer::Untouched(request) = std::mem::replace(&mut self.answer, Answer::Ended) else {
            return Ended::Left;
        };
        if keyed {
            self.answer = Answer::Held(request, stored.clone());
            return Ended::Done { tokens, first: total, total, stored: Some(stored) };
        }
        self.respond(request, stored);
        Ended::Done { tokens, first: total, total, stored: None }
    }

    fn stream(
        &mut self,
        response: http::Response<Body>,
        verdicts: &Receiver<Verdict>,
        keyed: bool,
        start: Instant,
    ) -> Ended {
        let mut first = None;
        let mut reader = BufReader::with_capacity(LINE, response.into_body().into_reader());
        let before = self.produced;
        let stop = loop {
            match self.next_event(&mut reader, keyed) {
                Some(stop) => break stop,
                None if first.is_none() => {
                    let after = start.elapsed();
                    first = Some(after);
                    let _ = self.shared.inputs.send(Input::Event(Event::FirstOutput { request: self.id, after }));
                }
                None => {}
            }
            if matches!(verdicts.try_recv(), Ok(Verdict::Recall)) {
                break Stop::Recalled;
            }
        };
        let produced = self.produced;
        match stop {
            Stop::Broken => Ended::Failed { sent: true, refused: false, retry_after: None, produced },
            Stop::Recalled => Ended::Recalled { produced },
            Stop::Left => Ended::Left,
            Stop::Whole => {
                let (total, tokens) = (start.elapsed(), produced - before);
                let first = first.unwrap_or(total);
                let content = || "text/event-stream".to_owned();
                let stored = keyed.then(|| Stored { status: 200, content: content(), body: self.kept.clone() });
                if !keyed && !self.end_whole() {
                    return Ended::Left;
                }
                Ended::Done { tokens, first, total, stored }
            }
        }
    }

    fn end_whole(&mut self) -> bool {
        match std::mem::replace(&mut self.answer, Answer::Ended) {
            Answer::Streaming(mut writer) => end_stream(&mut writer).is_ok(),
            // A stream without any event is whole all the same.
            Answer::Untouched(request) => begin_stream(request, self.id).and_then(|mut w| end_stream(&mut w)).is_ok(),
            Answer::Held(..) | Answer::Ended => false,
        }
    }

    /// Reads one event and passes it on; says why to stop, if so.
    fn next_event(&mut self, reader: &mut impl BufRead, keyed: bool) -> Option<Stop> {
        let mut event = Vec::new();
        loop {
            let from = event.len();
            match reader.read_until(b'\n', &mut event) {
                Ok(0) | Err(_) => return Some(Stop::Broken),
                Ok(_) => {}
            }
            let line = event[from..].trim_ascii();
            if line.is_empty() && from > 0 {
                break;
            }
            if line.is_empty() {
                event.clear();
            }
        }
        let data = event.trim_ascii().strip_prefix(DATA).map(<[u8]>::trim_ascii_start);
        if data == Some(TERMINATOR) {
            if keyed {
                self.kept.extend_from_slice(&event);
            }
            return Some(Stop::Whole);
        }
        self.pass(&event, keyed)
    }

    fn pass(&mut self, event: &[u8], keyed: bool) -> Option<Stop> {
        if let Answer::Untouched(_) = self.answer {
            let Answer::Untouched(request) = std::mem::replace(&mut self.answer, Answer::Ended) else { return None };
            match begin_stream(request, self.id) {
                Ok(writer) => self.answer = Answer::Streaming(writer),
                Err(_) => return Some(Stop::Left),
            }
        }
        let Answer::Streaming(writer) = &mut self.answer else { return Some(Stop::Left) };
        if write_chunk(writer, event).is_err() {
            return Some(Stop::Left);
        }
        self.produced += 1;
        if keyed {
            self.kept.extend_from_slice(event);
        }
        None
    }
}

fn to_content(headers: &HeaderMap) -> String {
    let held = headers.get("content-type").and_then(|value| value.to_str().ok());
    held.unwrap_or("application/octet-stream").to_owned()
}

/// Only a failed connect is sure not to have reached the endpoint.
fn is_unsent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => true,
        _ => false,
    }
}

/// Writes the head of a stream. `Request::into_writer` is used because `Response` holds chunks back.
fn begin_stream(request: Request, id: RequestId) -> std::io::Result<Box<dyn Write + Send>> {
    let mut writer = request.into_writer();
    write!(
        writer,
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-cache\r\n\
         transfer-encoding: chunked\r\n{REQUEST_HEADER}: {}\r\n\r\n",
        to_hex(id)
    )?;
    Ok(writer)
}

/// Writes one chunk; an empty one ends the body.
fn write_chunk(writer: &mut impl Write, data: &[u8]) -> std::io::Result<()> {
    write!(writer, "{:x}\r\n", data.len())?;
    writer.write_all(data)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}

fn end_stream(writer: &mut impl Write) -> std::io::Result<()> {
    write_chunk(writer, b"data: [DONE]\n\n")?;
    write_chunk(writer, b"")
}
