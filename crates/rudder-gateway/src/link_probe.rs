//! Feeds [`Reachability`](crate::reachability::Reachability) with what becomes of connections, and probes the links to
//! endpoints when they are in doubt.

use std::{net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use futures_util::future::join_all;
use rand::seq::IndexedRandom as _;
use rudder_clock::Moment;
use rudder_core::{Phase, Registration};
use rudder_events::What;
use rudder_model::EndpointId;

use crate::{
    Dialect,
    reachability::MIN_LOST,
    shared::{PublishedView, Shared},
    upstream::{self, Connection},
};

/// Endpoints probed at once.
const PROBES: usize = 4;
/// Time between probes of an isolated instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout for opening a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a probe's connection must stay open: a link may accept connections and reset them at once.
const PROBE_HOLD: Duration = Duration::from_millis(60);

/// Records that an endpoint could not be reached, and probes the links if it is one of several.
pub fn record_lost<D: Dialect>(shared: &Rc<Shared<D>>, endpoint: &EndpointId) {
    let known = ready_endpoints(&shared.view.borrow()).take(MIN_LOST).count();
    if shared.reachability.borrow_mut().record_lost(endpoint, known, Moment::now()) {
        tokio::task::spawn_local(probe_links(shared.clone()));
    }
}

/// Probes the links if all endpoints are silent.
pub fn check_silence<D: Dialect>(shared: &Rc<Shared<D>>) {
    let in_flight = shared.loads.borrow().has_own();
    if shared.reachability.borrow_mut().check_silence(in_flight, Moment::now()) {
        tokio::task::spawn_local(probe_links(shared.clone()));
    }
}

/// Waits while the links are in doubt: a request that is sent meanwhile may be lost with its outcome unknown.
pub async fn wait_verdict<D: Dialect>(shared: &Shared<D>) {
    let mut verdicts = shared.probed.subscribe();
    while shared.reachability.borrow().is_suspected() && verdicts.changed().await.is_ok() {}
}

/// Records an answer's head that came over `connection`.
pub fn record_answer<D: Dialect>(shared: &Shared<D>, connection: &Connection) {
    let now = Moment::now();
    if connection.carried > 1 {
        // Open connections may live on while new ones fail.
        shared.reachability.borrow_mut().record_heard(now);
        return;
    }
    record_reached(shared, now);
}

fn record_reached<D: Dialect>(shared: &Shared<D>, now: Moment) {
    let isolated_for = shared.reachability.borrow_mut().record_reached(now);
    shared.probed.send_replace(());
    let Some(after) = isolated_for else { return };
    // Failures of an isolated instance say nothing of its endpoints.
    shared.health.borrow_mut().reset();
    shared.candidate_cache.borrow_mut().clear();
    shared.metrics.set_isolated(false);
    shared.log.write(What::EndpointsReached { after });
}

/// Probes endpoints until one can be reached.
async fn probe_links<D: Dialect>(shared: Rc<Shared<D>>) {
    loop {
        let targets = choose_targets(&shared, None);
        let tried = targets.len();
        let reached = probe_all(&shared, targets, PROBE_HOLD).await;
        if reached || shared.reachability.borrow().is_connected() {
            return;
        }
        if let Some(lost) = shared.reachability.borrow_mut().record_unreached(Moment::now()) {
            shared.loads.borrow_mut().forget_outcomes();
            shared.metrics.set_isolated(true);
            shared.log.write(What::EndpointsLost { lost: lost as u32, tried: tried as u32 });
            shared.probed.send_replace(());
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Whether any endpoint other than `endpoint` can be reached. True if there is no other, as nothing speaks against the links
/// then.
pub async fn reaches_another<D: Dialect>(shared: &Shared<D>, endpoint: &EndpointId, since: Moment) -> bool {
    if shared.reachability.borrow().has_reached_since(since) {
        return true;
    }
    let targets = choose_targets(shared, Some(endpoint));
    targets.is_empty() || probe_all(shared, targets, Duration::ZERO).await
}

/// Probes endpoints and keeps the connections to those that can be reached, which stay open for `hold`. Returns whether any
/// can.
async fn probe_all<D: Dialect>(shared: &Shared<D>, targets: Vec<Arc<Registration>>, hold: Duration) -> bool {
    let origin = shared.options.listeners.origin();
    let probes = targets.into_iter().map(async |target| (target.clone(), probe(origin, &target, hold).await));
    let mut reached = false;
    for (target, connection) in join_all(probes).await {
        let Some(connection) = connection else { continue };
        reached = true;
        shared.pool.borrow_mut().put(&target.endpoint, connection, None, Moment::now());
    }
    if reached {
        record_reached(shared, Moment::now());
    }
    reached
}

/// Endpoints to probe, without `except`: some that were not lost yet, if there are any.
fn choose_targets<D: Dialect>(shared: &Shared<D>, except: Option<&EndpointId>) -> Vec<Arc<Registration>> {
    let view = shared.view.borrow();
    let reachability = shared.reachability.borrow();
    let is_lost = |known: &&Arc<Registration>| reachability.is_lost(&known.endpoint);
    let eligible = ready_endpoints(&view).filter(|known| Some(&known.endpoint) != except);
    let (lost, others): (Vec<_>, Vec<_>) = eligible.partition(is_lost);
    let preferred = if others.is_empty() { &lost } else { &others };
    preferred.sample(&mut rand::rng(), PROBES).map(|target| Arc::clone(target)).collect()
}

fn ready_endpoints(view: &PublishedView) -> impl Iterator<Item = &Arc<Registration>> {
    view.endpoints.iter().filter(|known| known.phase == Phase::Ready)
}

/// Opens a connection that stays open for `hold`.
async fn probe(origin: IpAddr, target: &Registration, hold: Duration) -> Option<Connection> {
    let connection = upstream::connect(origin, &target.address, PROBE_TIMEOUT).await.ok()?;
    tokio::time::sleep(hold).await;
    connection.is_open().then_some(connection)
}
