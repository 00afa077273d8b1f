//! A caller: it asks for the list of entries, keeps it as long as it may, connects to one of them,
//! and measures what it gets.

use std::{
    io::{BufRead as _, BufReader},
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use rudder_model::Ran;
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::{Agent, Body, http::Response};

/// Caller-side time-outs are far above every class's patience, so the system's own answer comes first.
const TIMEOUT: Duration = Duration::from_secs(120);
const CONNECT: Duration = Duration::from_secs(1);

/// A caller of one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    known: Vec<String>,
    key: String,
    until: Option<Instant>,
    next: usize,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// HTTP status; 0 when no connection could be made.
    pub status: u16,
    /// Code of a refusal.
    pub code: String,
    /// Whether a refused request ran.
    pub ran: Option<Ran>,
    /// How long to wait before asking again.
    pub retry: Option<Duration>,
    /// The whole answer came, with its terminator and no gap.
    pub whole: bool,
    /// Tokens of a streamed answer.
    pub tokens: u32,
    /// From sending to the first token or the answer.
    pub first: Duration,
    /// From sending to the end.
    pub total: Duration,
    /// The body of an answer that was not streamed.
    pub body: String,
}

#[derive(Deserialize)]
struct Entry {
    address: String,
}

#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
    keep_seconds: f64,
}

#[derive(Deserialize)]
struct Refused {
    error: RefusedError,
}

#[derive(Deserialize)]
struct RefusedError {
    #[serde(default)]
    code: Value,
    #[serde(default)]
    ran: Option<Ran>,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

impl Caller {
    /// A caller that knows these entries to begin with.
    pub fn new(known: &[String], key: &str) -> Caller {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .timeout_connect(Some(CONNECT))
            .http_status_as_error(false)
            .build();
        Caller { agent: config.into(), known: known.to_vec(), key: key.to_owned(), until: None, next: 0 }
    }

    /// A caller that keeps to one entry and never asks for the list.
    pub fn at(entry: &str, key: &str) -> Caller {
        let far = Instant::now() + Duration::from_secs(24 * 60 * 60);
        Caller { until: Some(far), ..Caller::new(&[entry.to_owned()], key) }
    }

    /// Starts the round over the entries at this one, so that callers spread.
    pub fn start_at(&mut self, next: usize) {
        self.next = next;
    }

    /// Asks for the list again if it may not be kept any longer.
    pub fn touch(&mut self) {
        if self.until.is_none_or(|until| Instant::now() >= until) {
            self.refresh();
        }
    }

    /// The next entry in turn; the list is asked for again once its keep time has passed.
    fn entry(&mut self) -> Result<String> {
        self.touch();
        self.next += 1;
        let count = self.known.len().max(1);
        self.known.get(self.next % count).cloned().ok_or_else(|| eyre!("no entry is known"))
    }

    fn refresh(&mut self) {
        for address in self.known.clone() {
            let Ok(mut answer) = self.agent.get(format!("http://{address}/v1/entries")).call() else { continue };
            let Ok(entries) = answer.body_mut().read_json::<Entries>() else { continue };
            if entries.entries.is_empty() {
                continue;
            }
            self.until = Some(Instant::now() + Duration::from_secs_f64(entries.keep_seconds));
            self.known = entries.entries.into_iter().map(|entry| entry.address).collect();
            return;
        }
    }

    /// A streamed chat completion.
    pub fn chat(&mut self, model: &str, class: &str, prompt: &str, key: Option<&str>) -> Reply {
        let body = json!({"model": model, "stream": true, "messages": [{"role": "user", "content": prompt}]});
        self.send("POST", "/v1/chat/completions", class, key, &body.to_string())
    }

    /// A call of a plain service.
    pub fn service(&mut self, service: &str, path: &str, class: &str, key: Option<&str>, body: &str) -> Reply {
        self.send("POST", &format!("/services/{service}/{path}"), class, key, body)
    }

    /// Sends one request to the next entry. An entry that cannot be connected to got nothing, so the
    /// next one is tried.
    pub fn send(&mut self, method: &str, path: &str, class: &str, key: Option<&str>, body: &str) -> Reply {
        let start = Instant::now();
        for _ in 0..=self.known.len() {
            let Ok(entry) = self.entry() else { break };
            let mut builder = ureq::http::Request::builder()
                .method(method)
                .uri(format!("http://{entry}{path}"))
                .header("authorization", format!("Bearer {}", self.key))
                .header("content-type", "application/json")
                .header("x-class", class);
            if let Some(key) = key {
                builder = builder.header("idempotency-key", key);
            }
            let Ok(request) = builder.body(body.as_bytes()) else { break };
            match self.agent.run(request) {
                Ok(response) => return take(response, start),
                Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                    self.until = None;
                }
                Err(_) => return Reply { total: start.elapsed(), ..Reply::default() },
            }
        }
        Reply { ran: Some(Ran::No), total: start.elapsed(), ..Reply::default() }
    }
}

fn take(response: Response<Body>, start: Instant) -> Reply {
    let status = response.status().as_u16();
    let streamed = response.headers().get("content-type").is_some_and(|value| value == "text/event-stream");
    if status == 200 && streamed {
        return stream(response, start);
    }
    let body = response.into_body().read_to_string();
    let total = start.elapsed();
    let whole = status < 400 && body.is_ok();
    let body = body.unwrap_or_default();
    let mut reply = Reply { status, whole, first: total, total, body, ..Reply::default() };
    note_refusal(&mut reply);
    reply
}

fn note_refusal(reply: &mut Reply) {
    let Ok(refused) = serde_json::from_str::<Refused>(&reply.body) else { return };
    refused.error.code.as_str().unwrap_or_default().clone_into(&mut reply.code);
    reply.ran = refused.error.ran;
    reply.retry = refused.error.retry_after_ms.map(Duration::from_millis);
}

fn stream(response: Response<Body>, start: Instant) -> Reply {
    let mut reply = Reply { status: 200, ..Reply::default() };
    let mut in_order = true;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else { break };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            reply.whole = in_order;
            continue;
        }
        if data.contains("\"error\"") {
            data.clone_into(&mut reply.body);
            note_refusal(&mut reply);
            continue;
        }
        if reply.tokens == 0 {
            reply.first = start.elapsed();
        }
        // The stand-in numbers its tokens, so a gap or a repeat shows.
        in_order &= data.contains(&format!("\"t{} \"", reply.tokens));
        reply.tokens += 1;
    }
    reply.total = start.elapsed();
    reply
}
