//! Fenced orders that make endpoints load the model, adapter and version in the configuration.
//!
//! Only the leader sends them, each with a fencing token of term and count. For endpoints that don't check tokens, a new
//! leader first waits until no order of its predecessor can be in flight. All orders share one rate limit, which protects
//! the weight store.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_model::{EndpointId, Mark};

use crate::{Effect, Options, control::Control, event::Report, reach};

#[derive(Clone, Debug, Default)]
struct Target {
    /// What the endpoint reported as loaded.
    loaded: Option<String>,
    last_poll: Option<Duration>,
    last_order: Option<Duration>,
}

/// State of all orders; empty except at the leader.
#[derive(Debug, Default)]
pub struct Orders {
    targets: BTreeMap<EndpointId, Target>,
    count: u64,
    last: Option<Duration>,
}

impl Orders {
    /// Polls the endpoints with something to load, and sends the next order if it is due.
    pub(crate) fn tick(&mut self, now: Duration, control: &Control, options: &Options, out: &mut Vec<Effect>) {
        let Some(since) = control.leads_since(now) else {
            *self = Orders { count: self.count, ..Orders::default() };
            return;
        };
        // Uses the ledger and not the view, so that only committed configuration is ordered.
        let config = &control.ledger.config;
        let targets =
            reach::iter_endpoints(config).filter(|(_, held)| !held.load.is_empty() && held.mark == Mark::None);
        let predecessor_done = now >= since + options.replica.lease + options.order_timeout;
        let mut due = self.last.is_none_or(|last| now >= last + options.load_interval);
        for (name, endpoint) in targets {
            let target = self.targets.entry(EndpointId::from(name)).or_default();
            poll(now, name, endpoint, target, options, out);
            let is_loaded = target.loaded.as_ref().is_none_or(|loaded| *loaded == endpoint.load);
            let in_flight = target.last_order.is_some_and(|at| now < at + options.order_timeout * 2);
            if is_loaded || in_flight || !due || !(endpoint.checks || predecessor_done) {
                continue;
            }
            due = false;
            self.last = Some(now);
            self.count += 1;
            target.last_order = Some(now);
            let fence = (control.replica.term(), self.count);
            let until = control.replica.lease_end().min(now + options.order_timeout);
            let (id, load) = (EndpointId::from(name), endpoint.load.clone());
            out.push(Effect::Log(What::Ordered { endpoint: id.clone(), load: load.clone(), fence }));
            out.push(Effect::Order { endpoint: id, address: endpoint.address.clone(), load, fence, until });
        }
    }

    /// Records what an endpoint reports as loaded.
    pub(crate) fn on_polled(&mut self, endpoint: &EndpointId, report: Option<&Report>) {
        if let Some(target) = self.targets.get_mut(endpoint) {
            target.loaded = report.map(|report| report.loaded.clone());
        }
    }

    /// Records whether an endpoint accepted an order; if not, it is retried.
    pub(crate) fn on_ordered(&mut self, endpoint: &EndpointId, taken: bool) {
        if let Some(target) = self.targets.get_mut(endpoint).filter(|_| !taken) {
            target.last_order = None;
        }
    }
}

fn poll(
    now: Duration,
    name: &str,
    endpoint: &rudder_model::Endpoint,
    target: &mut Target,
    options: &Options,
    out: &mut Vec<Effect>,
) {
    if target.last_poll.is_some_and(|at| now < at + options.poll_interval) {
        return;
    }
    target.last_poll = Some(now);
    out.push(Effect::Poll { endpoint: EndpointId::from(name), address: endpoint.address.clone(), after: u64::MAX });
}
