//! The pools whose home is this instance, which schedules their requests. Their state is soft: the entries, the instances
//! that callers are connected to, report their grants again.

use std::{collections::BTreeMap, time::Duration};

use rudder_events::What;
use rudder_model::{EndpointId, EndpointKind, InstanceId, Promises};
use rudder_route::{Decision, EndpointSpec, Pool};

use crate::{
    Effect, Me, Options, PeerMessage,
    calls::to_hex,
    event::Report,
    peer::{FromPool, ToPool},
    reach::{self, PoolId},
    view::View,
};

/// Polling state of an endpoint.
#[derive(Clone, Debug, Default)]
struct Polled {
    last: Option<Duration>,
    /// Number of the next cache event to ask for.
    next_event: u64,
}

/// The pools whose home is this instance.
#[derive(Debug, Default)]
pub struct Homes {
    pools: BTreeMap<PoolId, Pool>,
    polls: BTreeMap<EndpointId, Polled>,
    /// Promises checked by pools that have moved to another home.
    retired: Promises,
}

impl Homes {
    /// Requests that wait, over all pools.
    pub fn waiting(&self) -> usize {
        self.pools.values().map(Pool::waiting).sum()
    }

    /// Requests that run, over all pools.
    pub fn running(&self) -> usize {
        self.pools.values().map(Pool::running).sum()
    }

    /// Promises checked by all pools.
    pub fn to_promises(&self) -> Promises {
        let mut promises = self.retired.clone();
        for pool in self.pools.values() {
            promises.merge(&pool.promises);
        }
        promises
    }

    /// Handles a message for a pool. It is served even if the view here names another home: with two homes for a short time
    /// requests may queue in an engine, but no promise is broken.
    pub(crate) fn on_message(
        &mut self,
        now: Duration,
        from: &InstanceId,
        id: &PoolId,
        message: ToPool,
        context: (&View, &Options),
        out: &mut Vec<Effect>,
    ) {
        let (view, options) = context;
        let pool = self.pools.entry(id.clone()).or_insert_with(|| to_pool(view, id, options));
        let mut decisions = Vec::new();
        match message {
            ToPool::Ask(ask) => pool.request_slot(now, ask, &mut decisions),
            ToPool::Withdraw(request) => pool.withdraw(now, request, &mut decisions),
            ToPool::First(request, after) => pool.first_token(request, after, &mut decisions),
            ToPool::End(request, ending) => pool.end(now, request, &ending, &mut decisions),
            ToPool::Digest(digest) => {
                if !pool.digest_matches(from, digest) {
                    let (hall, model) = id.clone();
                    out.push(Effect::Send { to: from.clone(), message: PeerMessage::Resync { hall, model } });
                }
            }
            ToPool::Sync(holdings) => pool.sync(now, from, holdings, &mut decisions),
        }
        send(decisions, out);
    }

    /// Advances time.
    pub(crate) fn tick(&mut self, now: Duration, me: &Me, view: &View, options: &Options, out: &mut Vec<Effect>) {
        let mut decisions = Vec::new();
        for pool in self.pools.values_mut() {
            pool.tick(now, &mut decisions);
        }
        send(decisions, out);
        self.poll(now, me, view, options, out);
    }

    /// Updates all pools after a change of the view.
    pub(crate) fn on_view(&mut self, now: Duration, me: &Me, view: &View, out: &mut Vec<Effect>) {
        let mut decisions = Vec::new();
        let moved: Vec<PoolId> = self
            .pools
            .keys()
            .filter(|(hall, model)| view.home(hall, model).is_some_and(|home| home != me.name))
            .cloned()
            .collect();
        for id in moved {
            // The entries see the same change and ask the new home.
            let Some(pool) = self.pools.remove(&id) else { continue };
            self.retired.merge(&pool.promises);
        }
        for (id, pool) in &mut self.pools {
            pool.configure(&to_specs(view, id));
            pool.set_reach(|ask| reach::in_pool(&view.config, &ask.class, &ask.org, &ask.model, id));
            pool.retain_live(now, |ask| view.is_entry_alive(&ask.entry, ask.id), &mut decisions);
        }
        send(decisions, out);
    }

    /// Records the report of a polled endpoint; `None` if it didn't answer.
    pub(crate) fn on_polled(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        report: Option<&Report>,
        view: &View,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = reach::endpoint(&view.config, endpoint).and_then(reach::pool_of) else { return };
        let Some(pool) = self.pools.get_mut(&id) else { return };
        let polled = self.polls.entry(endpoint.clone()).or_default();
        let mut decisions = Vec::new();
        match report {
            None => pool.on_poll_failed(now, endpoint, &mut decisions),
            Some(report) => {
                pool.set_reported_load(endpoint, report.load);
                let gap = report.first_event != polled.next_event;
                pool.on_evicted(endpoint, if gap { None } else { Some(&report.evicted) });
                polled.next_event = report.first_event + report.evicted.len() as u64;
            }
        }
        send(decisions, out);
    }

    fn poll(&mut self, now: Duration, me: &Me, view: &View, options: &Options, out: &mut Vec<Effect>) {
        let due = |polled: &Polled| polled.last.is_none_or(|last| now >= last + options.poll_interval);
        for (name, endpoint) in reach::iter_endpoints(&view.config) {
            let Some((hall, model)) = reach::pool_of(endpoint) else { continue };
            let is_home = self.pools.contains_key(&(hall.clone(), model.clone()))
                && view.home(&hall, &model).as_ref() == Some(&me.name);
            if !is_home || endpoint.kind != EndpointKind::Engine {
                continue;
            }
            let polled = self.polls.entry(EndpointId::from(name)).or_default();
            if !due(polled) {
                continue;
            }
            polled.last = Some(now);
            let (endpoint_id, address) = (EndpointId::from(name), endpoint.address.clone());
            out.push(Effect::Poll { endpoint: endpoint_id, address, after: polled.next_event });
        }
    }
}

fn to_pool(view: &View, id: &PoolId, options: &Options) -> Pool {
    let mut pool = Pool::new(options.route.clone());
    pool.configure(&to_specs(view, id));
    pool
}

fn to_specs(view: &View, id: &PoolId) -> Vec<EndpointSpec> {
    let endpoints =
        reach::iter_endpoints(&view.config).filter(|(_, endpoint)| reach::pool_of(endpoint).as_ref() == Some(id));
    let spec = |(name, endpoint): (&str, &rudder_model::Endpoint)| EndpointSpec {
        id: EndpointId::from(name),
        slots: endpoint.slots,
        engine: endpoint.kind == EndpointKind::Engine,
        leaving: !view.is_usable(endpoint),
    };
    endpoints.map(spec).collect()
}

fn send(decisions: Vec<Decision>, out: &mut Vec<Effect>) {
    for decision in decisions {
        match decision {
            Decision::Grant { request, entry, endpoint, waited } => {
                send_to(entry, request, FromPool::Grant(endpoint, waited), out);
            }
            Decision::Refuse { request, entry, refusal } => send_to(entry, request, FromPool::Refuse(refusal), out),
            Decision::Recall { request, entry, cause } => {
                out.push(Effect::Log(What::Recalled { request: to_hex(request), cause: to_hex(cause) }));
                send_to(entry, request, FromPool::Recall(cause), out);
            }
            Decision::Eject { endpoint, why, pause } => {
                out.push(Effect::Log(What::Ejected { endpoint, why: why.to_owned(), pause }));
            }
            Decision::Restore { endpoint } => out.push(Effect::Log(What::Restored { endpoint })),
        }
    }
}

fn send_to(to: InstanceId, request: rudder_model::RequestId, message: FromPool, out: &mut Vec<Effect>) {
    out.push(Effect::Send { to, message: PeerMessage::FromPool { request, message } });
}
