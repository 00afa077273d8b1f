//! The stand-in engine: it speaks the usual completions protocol, whole and streamed.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use eyre::Result;
use rudder_node::endpoint::{LoadReport, Order};
use serde::Deserialize;
use serde_json::json;
use tiny_http::{Request, Response};

use crate::{Faults, batch::Batch, cache::Cache, http};

/// A request waits at most this long for a slot.
const QUEUE_LIMIT: Duration = Duration::from_secs(60);
/// How often a hanging request looks whether the fault is over.
const HANG_LOOK: Duration = Duration::from_millis(100);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Requests worked on at the same time.
    pub slots: u32,
    /// Time between tokens with one request running.
    pub pace: Duration,
    /// How much slower the pace is with all slots taken, as a share.
    pub drag: f64,
    /// Time before the first token of a prompt not in the cache.
    pub prefill: Duration,
    /// Mean output length, in tokens.
    pub tokens: u32,
    /// Load reports and cache events are this old.
    pub lag: Duration,
    /// Prefixes that the cache holds.
    pub room: usize,
    /// Checks the fence of orders.
    pub checks: bool,
    /// Time that loading takes.
    pub load_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            slots: 8,
            pace: Duration::from_millis(20),
            drag: 0.5,
            prefill: Duration::from_millis(80),
            tokens: 40,
            lag: Duration::from_millis(500),
            room: 64,
            checks: true,
            load_time: Duration::from_millis(500),
        }
    }
}

/// What an engine has done.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests started.
    pub started: AtomicU64,
    /// Requests finished whole.
    pub finished: AtomicU64,
    /// Tokens generated.
    pub tokens: AtomicU64,
    /// Tokens generated for answers that nobody received whole.
    pub wasted: AtomicU64,
    /// Orders taken.
    pub orders: AtomicU64,
    /// Orders refused for their fence.
    pub fenced: AtomicU64,
    /// Prompts found in the cache.
    pub hits: AtomicU64,
}

#[derive(Debug, Default)]
struct Loaded {
    name: String,
    fence: (u64, u64),
}

/// A stand-in engine.
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    /// What it has done.
    pub counts: Counts,
    faults: RwLock<Faults>,
    batch: Batch,
    cache: Mutex<Cache>,
    cancelled: Mutex<BTreeSet<String>>,
    loaded: Mutex<Loaded>,
    reported: Mutex<(Instant, u32)>,
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    messages: serde_json::Value,
    #[serde(default)]
    prompt: serde_json::Value,
}

/// How generating ended.
#[derive(PartialEq, Eq)]
enum End {
    Whole,
    Cancelled,
    Cut,
}

impl Engine {
    /// Serves a new engine on `listener`.
    ///
    /// # Errors
    /// When the socket cannot be served.
    pub fn start(listener: TcpListener, options: EngineOptions) -> Result<(Arc<Engine>, SocketAddr)> {
        let engine = Arc::new(Engine {
            cache: Mutex::new(Cache::new(options.room, options.room)),
            options,
            counts: Counts::default(),
            faults: RwLock::default(),
            batch: Batch::default(),
            cancelled: Mutex::default(),
            loaded: Mutex::default(),
            reported: Mutex::new((Instant::now(), 0)),
        });
        let served = engine.clone();
        let address = http::serve(listener, move |request| served.serve(request))?;
        Ok((engine, address))
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.write().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    fn faults(&self) -> Faults {
        self.faults.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, mut request: Request) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        if path == "/standin/faults" {
            let faults = serde_json::from_reader(request.as_reader()).unwrap_or_default();
            self.set_faults(faults);
            return http::json(request, 200, "", "{}".to_owned());
        }
        if self.faults().crash {
            // Dropping the request answers with 500 and an empty body: as near to a crash as the library goes.
            return;
        }
        match path {
            "/v1/chat/completions" | "/v1/completions" => self.complete(request),
            "/load" => self.report(request, &url),
            "/orders" => self.order(request),
            "/standin/counts" => self.count(request),
            path if path.starts_with("/cancel/") => {
                let id = path.trim_start_matches("/cancel/").to_owned();
                self.cancelled.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
                http::json(request, 200, "", "{}".to_owned());
            }
            _ => drop(request.respond(Response::empty(404))),
        }
    }

    fn complete(&self, mut request: Request) {
        let id = http::header(&request, "x-request-id").unwrap_or_default();
        let number = |name: &str| http::header(&request, name).and_then(|text| text.parse::<u32>().ok());
        let priority = number("x-priority").unwrap_or(1).min(255) as u8;
        let resume = number("x-resume-offset").unwrap_or(0);
        let Ok(body) = serde_json::from_reader::<_, Completion>(request.as_reader()) else {
            return http::json(request, 400, &id, json!({"error": {"message": "not a completion"}}).to_string());
        };
        if self.faults().refuse {
            return http::json(request, 503, &id, json!({"error": {"message": "refused"}}).to_string());
        }
        if !self.batch.enter(self.options.slots, priority, QUEUE_LIMIT) {
            return http::json(request, 503, &id, json!({"error": {"message": "queue limit"}}).to_string());
        }
        self.counts.started.fetch_add(1, Ordering::Relaxed);
        self.cancelled.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        self.prefill(&body);
        let length = self.length(&body);
        if body.stream {
            self.stream(request, &id, &body.model, (resume, length));
        } else {
            self.whole(request, &id, &body.model, length);
        }
        self.batch.leave();
    }

    /// Output length: unknown to callers, the same for the same prompt.
    fn length(&self, body: &Completion) -> u32 {
        let text = format!("{}{}", body.messages, body.prompt);
        let hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
        let mean = u64::from(self.options.tokens);
        let drawn = (mean / 2 + hash % mean.max(1)).max(1) as u32;
        body.max_tokens.map_or(drawn, |most| drawn.min(most.max(1)))
    }

    fn prefill(&self, body: &Completion) {
        let text = format!("{}{}", body.messages, body.prompt);
        let head: String = text.chars().take(64).collect();
        let prefix = xxhash_rust::xxh3::xxh3_64(head.as_bytes());
        let hit = self.cache.lock().unwrap_or_else(PoisonError::into_inner).touch(prefix);
        if hit {
            self.counts.hits.fetch_add(1, Ordering::Relaxed);
        }
        let time = if hit { self.options.prefill / 4 } else { self.options.prefill };
        thread::sleep(self.faults().stretch(time));
    }

    /// Generates one token; false once the request is cancelled.
    fn step(&self, id: &str) -> bool {
        let (running, _) = self.batch.load();
        let share = f64::from(running) / f64::from(self.options.slots.max(1));
        let pace = self.options.pace.mul_f64(1.0 + self.options.drag * share);
        thread::sleep(self.faults().stretch(pace));
        while self.faults().hang {
            thread::sleep(HANG_LOOK);
        }
        self.counts.tokens.fetch_add(1, Ordering::Relaxed);
        !self.cancelled.lock().unwrap_or_else(PoisonError::into_inner).remove(id)
    }

    fn stream(&self, request: Request, id: &str, model: &str, range: (u32, u32)) {
        let (resume, length) = range;
        let mut writer = request.into_writer();
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nx-request-id: {id}\r\n\r\n"
        );
        let mut made = 0;
        let mut end = if writer.write_all(head.as_bytes()).is_ok() { End::Whole } else { End::Cancelled };
        for token in resume..length {
            if end != End::Whole {
                break;
            }
            let cut = self.faults().cut;
            if cut > 0 && token >= cut && resume == 0 {
                end = End::Cut;
                break;
            }
            if !self.step(id) {
                end = End::Cancelled;
                break;
            }
            made += 1;
            let event = format!(
                "data: {}\n\n",
                json!({"id": id, "object": "chat.completion.chunk", "created": 0, "model": model, "choices": [
                    {"index": 0, "delta": {"content": format!("t{token} ")}, "finish_reason": null}]})
            );
            if http::chunk(&mut writer, event.as_bytes()).is_err() {
                end = End::Cancelled;
            }
        }
        if end == End::Whole {
            let ended = http::chunk(&mut writer, b"data: [DONE]\n\n").and_then(|()| http::chunk(&mut writer, b""));
            if ended.is_ok() {
                self.counts.finished.fetch_add(1, Ordering::Relaxed);
                return;
            }
        }
        if end == End::Cut {
            // A body that ends without its terminator, as after a lost process.
            let _ = http::chunk(&mut writer, b"");
            return;
        }
        self.counts.wasted.fetch_add(made, Ordering::Relaxed);
    }

    fn whole(&self, request: Request, id: &str, model: &str, length: u32) {
        use std::fmt::Write as _;
        let mut text = String::new();
        for token in 0..length {
            if !self.step(id) {
                self.counts.wasted.fetch_add(u64::from(token), Ordering::Relaxed);
                return http::json(request, 500, id, json!({"error": {"message": "cancelled"}}).to_string());
            }
            let _ = write!(text, "t{token} ");
        }
        self.counts.finished.fetch_add(1, Ordering::Relaxed);
        let body = json!({"id": id, "object": "chat.completion", "created": 0, "model": model,
            "choices": [{"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}],
            "usage": {"prompt_tokens": 0, "completion_tokens": length, "total_tokens": length}});
        http::json(request, 200, id, body.to_string());
    }

    fn report(&self, request: Request, url: &str) {
        let after = url.split_once("after=").and_then(|(_, text)| text.parse().ok()).unwrap_or(0);
        let (running, waiting) = self.batch.load();
        let load = {
            let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
            let old = reported.1;
            if reported.0.elapsed() >= self.options.lag {
                *reported = (Instant::now(), running + waiting);
            }
            old
        };
        let (first_event, evicted) =
            self.cache.lock().unwrap_or_else(PoisonError::into_inner).events(after, self.options.lag);
        let loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner).name.clone();
        let report = LoadReport { load, loaded, first_event, evicted };
        http::json(request, 200, "", json!(report).to_string());
    }

    fn order(&self, mut request: Request) {
        let Ok(order) = serde_json::from_reader::<_, Order>(request.as_reader()) else {
            return http::json(request, 400, "", json!({"error": "not an order"}).to_string());
        };
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        let fence = (order.term, order.count);
        if self.options.checks && fence <= loaded.fence {
            self.counts.fenced.fetch_add(1, Ordering::Relaxed);
            return http::json(request, 409, "", json!({"error": "a later order was taken"}).to_string());
        }
        loaded.fence = fence;
        thread::sleep(self.options.load_time);
        loaded.name = order.load;
        self.counts.orders.fetch_add(1, Ordering::Relaxed);
        http::json(request, 200, "", "{}".to_owned());
    }

    fn count(&self, request: Request) {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let counts = &self.counts;
        let body = json!({"started": read(&counts.started), "finished": read(&counts.finished),
            "tokens": read(&counts.tokens), "wasted": read(&counts.wasted), "orders": read(&counts.orders),
            "fenced": read(&counts.fenced), "hits": read(&counts.hits)});
        http::json(request, 200, "", body.to_string());
    }
}
