//! Runs an instance from its settings to its planned stop.

use std::{rc::Rc, sync::atomic::Ordering, thread, time::Duration};

use crossbeam_channel::{Sender, unbounded};
use eyre::{Context as _, Result};
use rudder_clock::{Moment, WakeWatch, note_wake};
use rudder_core::{Event, peer::Load};
use rudder_events::What;
use rudder_model::{EndpointId, InstanceId};
use rudder_route::admission::level_index;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::LocalSet,
};

use crate::{
    Dialect, Options,
    delay_log::{DelayLog, lateness},
    driver,
    driver::Notice,
    duty, link_probe,
    logging::Log,
    peers::{self, Links},
    scaling,
    serve::{self, Listener},
    shared::Shared,
    stop,
};

/// Interval of housekeeping: closing idle connections and reporting load.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(60);
/// How long a planned stop waits for its last usage counts to be committed; fits into the rest of the grace period.
const FINAL_COUNTS_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of reports on scaled services to the reducer; short against the start of an engine.
const SERVICES_INTERVAL: Duration = Duration::from_millis(400);
/// Time for the log's writer thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(120);

/// Runs an instance until a signal has stopped it. `reload` reads the settings again and returns the seed instances.
///
/// # Errors
/// Fails if the data folder cannot be opened, an address cannot be bound or a thread cannot be started.
pub fn run<D: Dialect>(dialect: D, options: Options, reload: impl Fn() -> Result<Vec<InstanceId>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("start the runtime")?;
    let log = Log::start(options.name(), options.log_lines, std::io::stdout());
    let (events, received) = unbounded();
    let (notices, notices_received) = unbounded_channel();
    let driver = driver::prepare(&options, &events, notices, log.fork())?;
    let (status, started) = (driver.status(), driver.epoch());
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || driver.run(&received))
        .wrap_err("start the control thread")?;
    let shared = Rc::new(Shared::new(dialect, options, started, events, log, status));
    let local = LocalSet::new();
    local.block_on(&runtime, serve_all(shared.clone(), notices_received, reload))?;
    thread::sleep(LOG_FLUSH_TIME);
    Ok(())
}

async fn serve_all<D: Dialect>(
    shared: Rc<Shared<D>>,
    notices: UnboundedReceiver<Vec<Notice>>,
    reload: impl Fn() -> Result<Vec<InstanceId>>,
) -> Result<()> {
    let listeners = shared.options.listeners.clone();
    let events: Rc<Sender<Event>> = Rc::new(shared.events.clone());
    tokio::task::spawn_local(peers::accept(serve::listen(listeners.peers)?, events, shared.metrics.peers.clone()));
    for address in listeners.control() {
        tokio::task::spawn_local(serve::accept(shared.clone(), serve::listen(address)?, Listener::Control));
    }
    if let Some(address) = listeners.metrics {
        tokio::task::spawn_local(serve::accept(shared.clone(), serve::listen(address)?, Listener::Metrics));
    }
    if let Some(address) = listeners.callers {
        tokio::task::spawn_local(serve::accept(shared.clone(), serve::listen(address)?, Listener::Callers));
    }
    tokio::task::spawn_local(handle_notices(shared.clone(), notices));
    tokio::task::spawn_local(run_housekeeping(shared.clone()));
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listen for signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("listen for signals")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("listen for signals")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => apply_reload(&shared, reload()),
        }
    }
    tokio::select! {
        () = stop::stop(&shared) => {}
        () = ignore_reloads(&mut hangup) => {}
    }
    flush_begun(&shared).await;
    Ok(())
}

/// Waits up to [`FINAL_COUNTS_TIMEOUT`] until the usage counts of this instance are committed.
async fn flush_begun<D: Dialect>(shared: &Shared<D>) {
    if shared.options.duties.is_none() {
        return;
    }
    shared.report_begun();
    let end = Moment::now() + FINAL_COUNTS_TIMEOUT;
    loop {
        // Wait for a tick, as the control thread updates its status once per tick.
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        if shared.status.unreported_requests.load(Ordering::Relaxed) == 0 || Moment::now() >= end {
            return;
        }
    }
}

/// Discards reload signals while the instance stops.
async fn ignore_reloads(hangup: &mut tokio::signal::unix::Signal) {
    while hangup.recv().await.is_some() {}
    std::future::pending::<()>().await;
}

fn apply_reload<D: Dialect>(shared: &Shared<D>, seeds: Result<Vec<InstanceId>>) {
    let outcome = match seeds {
        Ok(seeds) => {
            let outcome = format!("starts from {}", seeds.join(", "));
            shared.send_event(Event::Seeds(seeds));
            outcome
        }
        Err(error) => format!("kept what was in force: {error:#}"),
    };
    shared.log.write(What::Reloaded { outcome });
}

async fn handle_notices<D: Dialect>(shared: Rc<Shared<D>>, mut notices: UnboundedReceiver<Vec<Notice>>) {
    let mut links = Links::new(shared.name.clone(), shared.metrics.peers.clone());
    while let Some(batch) = notices.recv().await {
        for notice in batch {
            match notice {
                Notice::Send(to, message) => {
                    shared.status.backlog.fetch_sub(message.weight(), Ordering::Relaxed);
                    links.send(&to, message);
                }
                Notice::Published(published) => shared.publish(*published),
                Notice::Others(others, at) => shared.apply_others(others.as_deref(), at),
                Notice::Work(reports, at) => shared.shares.borrow_mut().set_others(&reports, at),
                Notice::Limits(reports, at) => shared.apply_limits(&reports, at),
                Notice::Proved(proved) => drop(shared.proof.send_replace(Some(proved))),
                Notice::EndpointsProved(proved) => drop(shared.endpoints_proof.send_replace(Some(proved))),
                Notice::Reply(ticket, reply) => shared.tickets.reply(ticket, reply),
                Notice::DutyCall(task) => drop(tokio::task::spawn_local(duty::run(shared.clone(), *task))),
            }
        }
    }
    // The control thread ends early only by a panic. Traffic must not continue without it.
    spdlog::critical!("the control thread has failed");
    std::process::exit(4);
}

/// Logs that this thread is late for what was due at `due`.
fn log_delay<D: Dialect>(shared: &Shared<D>, due: Moment, log: &mut DelayLog) {
    let now = Moment::now();
    let Some(late) = lateness(due, now).filter(|_| log.take(now)) else { return };
    shared.log.write(What::TrafficLate {
        late_ms: late.as_millis() as u64,
        backlog: shared.status.backlog.load(Ordering::Relaxed),
        queued: shared.events.len(),
    });
}

/// Closes idle connections, discards expired state, and reports load and usage to the reducer.
async fn run_housekeeping<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut reported = Vec::new();
    let mut reported_work = Vec::new();
    let mut described = Moment::now();
    let mut watch = WakeWatch::default();
    let mut delay_log = DelayLog::default();
    loop {
        let due = Moment::now() + HOUSEKEEPING_INTERVAL;
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        log_delay(&shared, due, &mut delay_log);
        if let Some(span) = watch.look() {
            // Tasks that wait for a time check it again. Attempts check their freshness themselves.
            note_wake();
            shared.log.write(What::Woke { after: span });
        }
        shared.pool.borrow_mut().evict_expired(Moment::now());
        shared.slow_start.borrow_mut().age(Moment::now());
        shared.neighbours.borrow_mut().age(Moment::now());
        let roster = shared.roster.borrow().clone();
        shared.backoff.borrow_mut().age(Moment::now(), |endpoint| roster.knows(endpoint));
        shared.report_begun();
        if shared.status.is_leader.load(Ordering::Relaxed) && described.elapsed() >= SERVICES_INTERVAL {
            described = Moment::now();
            shared.send_event(Event::Services(scaling::service_states(&shared)));
        }
        link_probe::check_silence(&shared);
        shared.update_outdated();
        let now = Moment::now();
        shared.conditions.borrow_mut().update(now);
        let (contention, conditions) = (shared.contention.borrow(), shared.conditions.borrow());
        let detail = |endpoint: &EndpointId| {
            let known = roster.get(endpoint)?;
            contention.is_contended(&known.service, now).then(|| conditions.detail(endpoint, now))
        };
        let mut loads = shared.loads.borrow_mut().to_loads(now, detail);
        let mut admission = shared.admission.borrow_mut();
        admission.age_out(now, |service| contention.is_contended(service, now));
        admission.update_yielding(|service| shared.loads.borrow().others_demand(service), now);
        loads.extend(admission.to_loads(now));
        loads.extend(update_shedding(&shared, now));
        loads.sort_by_key(|load| load.endpoint);
        drop((admission, contention, conditions));
        if loads != reported {
            reported.clone_from(&loads);
            shared.send_event(Event::Loads(loads));
        }
        let work = shared.shares.borrow_mut().to_reports(now);
        if work != reported_work {
            reported_work.clone_from(&work);
            shared.send_event(Event::Work(work));
        }
    }
}

/// Applies what the other instances refuse for lack of capacity, and returns what this instance reports of it.
fn update_shedding<D: Dialect>(shared: &Shared<D>, now: Moment) -> Vec<Load> {
    let mut shedding = shared.shedding.borrow_mut();
    for change in shedding.update(|service| shared.loads.borrow().others_demand(service), now) {
        shared.log.write(What::Shedding {
            service: change.service,
            level: change.level.map(|level| level_index(level) as u8),
            admitted: change.demand.admitted.to_vec(),
            refused: change.demand.refused.to_vec(),
        });
    }
    shedding.to_loads(now, |service| !shared.uses_admission(service)).collect()
}
