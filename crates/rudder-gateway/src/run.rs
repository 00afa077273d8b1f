//! One instance, from its settings to its planned end.

use std::{rc::Rc, sync::atomic::Ordering, thread, time::Duration};

use crossbeam_channel::{Sender, unbounded};
use eyre::{Context as _, Result};
use rudder_clock::{Moment, WakeWatch, note_wake};
use rudder_core::Event;
use rudder_events::What;
use rudder_model::InstanceId;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    task::LocalSet,
};

use crate::{
    Dialect, Options, driver,
    driver::Notice,
    duty,
    logging::Log,
    peers::{self, Links},
    scaling,
    serve::{self, Listener},
    shared::Shared,
    stop,
};

/// Time between looks at idle connections and reports of load.
const HOUSEKEEPING: Duration = Duration::from_millis(60);
/// A planned stop waits this long for its last counts to be taken: about one message and its commit, and no longer than
/// the grace time leaves after the last request was given up.
const LAST_COUNTS: Duration = Duration::from_millis(400);
/// Time between descriptions of services to the holder of duties: a tenth of the time that an engine takes to start.
const DESCRIBE: Duration = Duration::from_millis(400);
/// Lines that are still in the log's queue get this long.
const LAST_LINES: Duration = Duration::from_millis(120);

/// Runs an instance until a signal to stop has been carried out. `reload` reads the settings anew and
/// tells which instances to start from.
///
/// # Errors
/// When the data folder cannot be opened, an address not be bound, or a thread not be started.
pub fn run<D: Dialect>(dialect: D, options: Options, reload: impl Fn() -> Result<Vec<InstanceId>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().wrap_err("start the runtime")?;
    let log = Log::start(options.name(), options.log_lines, std::io::stdout());
    let (inputs, received) = unbounded();
    let (notices, to_traffic) = unbounded_channel();
    let driver = driver::prepare(&options, &inputs, notices, log.fork())?;
    let (standing, started) = (driver.standing(), driver.epoch());
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || driver.run(&received))
        .wrap_err("start the control thread")?;
    let shared = Rc::new(Shared::new(dialect, options, started, inputs, log, standing));
    let local = LocalSet::new();
    local.block_on(&runtime, serve_all(shared.clone(), to_traffic, reload))?;
    thread::sleep(LAST_LINES);
    Ok(())
}

async fn serve_all<D: Dialect>(
    shared: Rc<Shared<D>>,
    notices: UnboundedReceiver<Vec<Notice>>,
    reload: impl Fn() -> Result<Vec<InstanceId>>,
) -> Result<()> {
    let listeners = shared.options.listeners.clone();
    let inputs: Rc<Sender<Event>> = Rc::new(shared.inputs.clone());
    tokio::task::spawn_local(peers::accept(serve::listen(listeners.peers)?, inputs, shared.metrics.peers.clone()));
    for address in listeners.others() {
        tokio::task::spawn_local(serve::accept(shared.clone(), serve::listen(address)?, Listener::Others));
    }
    if let Some(address) = listeners.metrics {
        tokio::task::spawn_local(serve::accept(shared.clone(), serve::listen(address)?, Listener::Metrics));
    }
    if let Some(address) = listeners.callers {
        tokio::task::spawn_local(serve::accept(shared.clone(), serve::listen(address)?, Listener::Callers));
    }
    tokio::task::spawn_local(take_notices(shared.clone(), notices));
    tokio::task::spawn_local(keep_house(shared.clone()));
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listen for signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("listen for signals")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("listen for signals")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => take_settings(&shared, reload()),
        }
    }
    tokio::select! {
        () = stop::stop(&shared) => {}
        () = ignore(&mut hangup) => {}
    }
    tell_last(&shared).await;
    Ok(())
}

/// Waits until the log holds the number of requests that began here, at most for [`LAST_COUNTS`].
async fn tell_last<D: Dialect>(shared: &Shared<D>) {
    if shared.options.duties.is_none() {
        return;
    }
    shared.tell_begun();
    let end = Moment::now() + LAST_COUNTS;
    loop {
        // The control thread's word is as old as its last tick.
        tokio::time::sleep(HOUSEKEEPING).await;
        if shared.standing.untold.load(Ordering::Relaxed) == 0 || Moment::now() >= end {
            return;
        }
    }
}

/// A reload while the instance stops changes nothing more.
async fn ignore(hangup: &mut tokio::signal::unix::Signal) {
    while hangup.recv().await.is_some() {}
    std::future::pending::<()>().await;
}

fn take_settings<D: Dialect>(shared: &Shared<D>, seeds: Result<Vec<InstanceId>>) {
    let outcome = match seeds {
        Ok(seeds) => {
            let outcome = format!("starts from {}", seeds.join(", "));
            shared.tell(Event::Seeds(seeds));
            outcome
        }
        Err(error) => format!("kept what was in force: {error:#}"),
    };
    shared.log.write(What::Reloaded { outcome });
}

async fn take_notices<D: Dialect>(shared: Rc<Shared<D>>, mut notices: UnboundedReceiver<Vec<Notice>>) {
    let mut links = Links::new(shared.name.clone(), shared.metrics.peers.clone());
    while let Some(batch) = notices.recv().await {
        for notice in batch {
            match notice {
                Notice::Send(to, message) => {
                    shared.standing.backlog.fetch_sub(message.weight(), Ordering::Relaxed);
                    links.send(&to, message);
                }
                Notice::Published(published) => shared.publish(*published),
                Notice::Others(others, at) => shared.take_others(others.as_deref(), at),
                Notice::Limits(reports, at) => shared.take_limits(&reports, at),
                Notice::Proved(proved) => drop(shared.proof.send_replace(Some(proved))),
                Notice::Reply(ticket, reply) => shared.tickets.reply(ticket, reply),
                Notice::Errand(errand) => drop(tokio::task::spawn_local(duty::run(shared.clone(), *errand))),
            }
        }
    }
    // The control thread ends only by a failed promise; without it nothing here may go on.
    spdlog::critical!("the control thread has failed");
    std::process::exit(4);
}

/// Closes what has rested too long, and tells the reducer what is under way.
async fn keep_house<D: Dialect>(shared: Rc<Shared<D>>) {
    let mut told = Vec::new();
    let mut described = Moment::now();
    let mut watch = WakeWatch::default();
    loop {
        tokio::time::sleep(HOUSEKEEPING).await;
        if let Some(span) = watch.look() {
            // Whatever waits for a time that came meanwhile looks at it again; what is sent is checked by itself.
            note_wake();
            shared.log.write(What::Woke { after: span });
        }
        shared.pool.borrow_mut().age(Moment::now());
        shared.slow_start.borrow_mut().age(Moment::now());
        let roster = shared.roster.borrow().clone();
        shared.backoff.borrow_mut().age(Moment::now(), |endpoint| roster.knows(endpoint));
        shared.tell_begun();
        if shared.standing.leads.load(Ordering::Relaxed) && described.elapsed() >= DESCRIBE {
            described = Moment::now();
            shared.tell(Event::Services(scaling::to_states(&shared)));
        }
        let loads = shared.loads.borrow_mut().to_loads(Moment::now());
        if loads != told {
            told.clone_from(&loads);
            shared.tell(Event::Loads(loads));
        }
    }
}
