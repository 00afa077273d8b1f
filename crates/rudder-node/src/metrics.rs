//! Counters and gauges.

use std::sync::{Arc, atomic::Ordering};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use rudder_events::What;
use rudder_model::Promise;

use crate::{Status, link::Traffic};

/// Bounds of the time to the first token, in seconds; the targets lie between them.
const FIRST_BOUNDS: [f64; 10] = [0.01, 0.05, 0.1, 0.2, 0.42, 0.8, 1.5, 3.0, 10.0, 60.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Reason {
    code: String,
    ran: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Name {
    name: String,
}

/// Counters of one instance.
pub(crate) struct Metrics {
    registry: Registry,
    done: Counter,
    tokens: Counter,
    refused: Family<Reason, Counter>,
    dispatched: Counter,
    failed: Counter,
    recalled: Counter,
    left: Counter,
    first: Histogram,
    ejected: Family<Name, Counter>,
    gauges: Family<Name, Gauge>,
    tested: Family<Name, Gauge>,
    broken: Family<Name, Gauge>,
    traffic: Arc<Traffic>,
}

impl Metrics {
    pub(crate) fn new(traffic: Arc<Traffic>) -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("hatchrudder"),
            done: Counter::default(),
            tokens: Counter::default(),
            refused: Family::default(),
            dispatched: Counter::default(),
            failed: Counter::default(),
            recalled: Counter::default(),
            left: Counter::default(),
            first: Histogram::new(FIRST_BOUNDS),
            ejected: Family::default(),
            gauges: Family::default(),
            tested: Family::default(),
            broken: Family::default(),
            traffic,
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("done", "Requests answered whole", self.done.clone());
        registry.register("tokens", "Tokens passed to callers", self.tokens.clone());
        registry.register("refused", "Requests refused", self.refused.clone());
        registry.register("dispatched", "Attempts sent to endpoints", self.dispatched.clone());
        registry.register("failed", "Attempts that failed", self.failed.clone());
        registry.register("recalled", "Requests recalled for a higher tier", self.recalled.clone());
        registry.register("left", "Callers that left", self.left.clone());
        registry.register("first_seconds", "From arrival to the first token", self.first.clone());
        registry.register("ejected", "Ejections by endpoint", self.ejected.clone());
        registry.register("state", "State of the instance", self.gauges.clone());
        registry.register("promise_tested", "Checks of each promise", self.tested.clone());
        registry.register("promise_broken", "Failed checks of each promise", self.broken.clone());
    }

    /// Counts an event.
    pub(crate) fn count(&self, what: &What) {
        match what {
            What::Done { tokens, first, .. } => {
                self.done.inc();
                self.tokens.inc_by(u64::from(*tokens));
                self.first.observe(first.as_secs_f64());
            }
            What::Refused { code, ran, .. } => {
                let reason = Reason { code: format!("{code:?}"), ran: format!("{ran:?}") };
                self.refused.get_or_create(&reason).inc();
            }
            What::Dispatched { .. } => drop(self.dispatched.inc()),
            What::Failed { .. } => drop(self.failed.inc()),
            What::Recalled { .. } => drop(self.recalled.inc()),
            What::Left { .. } => drop(self.left.inc()),
            What::Ejected { endpoint, .. } => {
                self.ejected.get_or_create(&Name { name: endpoint.to_string() }).inc();
            }
            _ => {}
        }
    }

    /// Writes all figures in the usual text form.
    pub(crate) fn to_text(&self, status: &Status) -> String {
        let set = |name: &str, value: u64| {
            self.gauges.get_or_create(&Name { name: name.to_owned() }).set(value.cast_signed());
        };
        set("ready", u64::from(status.ready));
        set("leads", u64::from(status.leads));
        set("term", status.term);
        set("config_index", status.index);
        set("calls", status.calls as u64);
        set("waiting", status.waiting as u64);
        set("running", status.running as u64);
        set("keys", status.keys as u64);
        set("peer_requests", self.traffic.requests.load(Ordering::Relaxed));
        set("peer_bytes_sent", self.traffic.sent.load(Ordering::Relaxed));
        set("peer_bytes_received", self.traffic.received.load(Ordering::Relaxed));
        for promise in Promise::ALL {
            let name = Name { name: format!("{promise:?}") };
            self.tested.get_or_create(&name).set(status.promises.tested(promise).cast_signed());
            self.broken.get_or_create(&name).set(status.promises.broken(promise).cast_signed());
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
