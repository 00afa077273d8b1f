//! Fenced orders: bringing endpoints to the model, adapter and version that configuration wants.
//!
//! Only the leader sends them, each with a fence of term and count. For an endpoint that does not
//! check fences, a new leader first waits until no order of the one before can still be on its way.
//! All loads share one rate, for the weight store's sake.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_model::{EndpointId, Mark};

use crate::{Effect, Options, control::Control, event::Report, reach};

#[derive(Clone, Debug, Default)]
struct Target {
    loaded: Option<String>,
    polled: Option<Duration>,
    ordered: Option<Duration>,
}

/// Orders under way; empty at all but the leader.
#[derive(Debug, Default)]
pub struct Orders {
    targets: BTreeMap<EndpointId, Target>,
    count: u64,
    last: Option<Duration>,
}

impl Orders {
    /// Looks at endpoints with something to load, and sends the next order when it is time.
    pub(crate) fn tick(&mut self, now: Duration, control: &Control, options: &Options, out: &mut Vec<Effect>) {
        let Some(since) = control.leads_since(now) else {
            *self = Orders { count: self.count, ..Orders::default() };
            return;
        };
        // The ledger, not the view: what the leader orders must be what is committed.
        let config = &control.ledger.config;
        let targets =
            reach::iter_endpoints(config).filter(|(_, held)| !held.load.is_empty() && held.mark == Mark::None);
        let is_past = now >= since + options.replica.lease + options.order_timeout;
        let mut due = self.last.is_none_or(|last| now >= last + options.load_interval);
        for (name, endpoint) in targets {
            let target = self.targets.entry(EndpointId::from(name)).or_default();
            poll(now, name, endpoint, target, options, out);
            let settled = target.loaded.as_ref().is_none_or(|loaded| *loaded == endpoint.load);
            let tried = target.ordered.is_some_and(|at| now < at + options.order_timeout * 2);
            if settled || tried || !due || !(endpoint.checks || is_past) {
                continue;
            }
            due = false;
            self.last = Some(now);
            self.count += 1;
            target.ordered = Some(now);
            let fence = (control.replica.term(), self.count);
            let until = control.replica.lease_end().min(now + options.order_timeout);
            let (id, load) = (EndpointId::from(name), endpoint.load.clone());
            out.push(Effect::Log(What::Ordered { endpoint: id.clone(), load: load.clone(), fence }));
            out.push(Effect::Order { endpoint: id, address: endpoint.address.clone(), load, fence, until });
        }
    }

    /// Records what an endpoint says it has loaded.
    pub(crate) fn on_polled(&mut self, endpoint: &EndpointId, report: Option<&Report>) {
        if let Some(target) = self.targets.get_mut(endpoint) {
            target.loaded = report.map(|report| report.loaded.clone());
        }
    }

    /// Records whether an endpoint took an order; if not, it is tried again.
    pub(crate) fn on_ordered(&mut self, endpoint: &EndpointId, taken: bool) {
        if let Some(target) = self.targets.get_mut(endpoint).filter(|_| !taken) {
            target.ordered = None;
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
    if target.polled.is_some_and(|at| now < at + options.poll_interval) {
        return;
    }
    target.polled = Some(now);
    out.push(Effect::Poll { endpoint: EndpointId::from(name), address: endpoint.address.clone(), after: u64::MAX });
}
