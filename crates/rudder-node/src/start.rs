//! Starting an instance from its settings.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::AtomicU64},
    thread::{self, JoinHandle},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam_channel::{Sender, bounded, unbounded};
use eyre::{Context as _, Result, eyre};
use rudder_core::{Event, Me, Options, State};
use rudder_events::What;
use rudder_model::{InstanceId, Start};
use rudder_replica::{Durable, ReplicaId};
use rudder_settings::Settings;
use rudder_store::{
    Store,
    disk::{self, Report},
};

use crate::{
    Input, Query, QueryReply, Status, admin,
    control::{Control, Outlets},
    endpoint, entry,
    entry::Shared,
    events::Log,
    link::{Links, Traffic},
    listen::{listen, serve},
    metrics::Metrics,
    peer,
    upstream::Agents,
};

/// The two listening sockets of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// For callers and operators.
    pub callers: TcpListener,
    /// For other instances.
    pub peers: TcpListener,
}

impl Listeners {
    /// Listens where the settings say.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn open(settings: &Settings) -> Result<Listeners> {
        let me = settings.me();
        let open = |address: SocketAddr| listen(address).wrap_err_with(|| format!("listen on {address}"));
        Ok(Listeners { callers: open(*me.address.get_ref())?, peers: open(*me.peer.get_ref())? })
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Node {
    inputs: Sender<Input>,
    control: JoinHandle<()>,
}

impl Node {
    /// Begins a planned stop; [`Node::join`] returns when it is complete.
    pub fn stop(&self) {
        let _ = self.inputs.send(Input::Event(Event::Stop));
    }

    /// Ends the instance's control at once, as a crash would; sockets stay until the process ends.
    pub fn halt(&self) {
        let _ = self.inputs.send(Input::Halt);
    }

    /// Waits until the instance has ended.
    ///
    /// # Errors
    /// When its control thread failed: a promise was about to break.
    pub fn join(self) -> Result<()> {
        self.control.join().map_err(|_| eyre!("the control thread failed"))
    }

    /// How the instance is; `None` once it has ended.
    pub fn status(&self) -> Option<Status> {
        match admin::ask(&self.inputs, Query::Status)? {
            QueryReply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// A handle that can stop the instance from another thread.
    pub fn stopper(&self) -> impl Fn() + Send + 'static {
        let inputs = self.inputs.clone();
        move || {
            let _ = inputs.send(Input::Event(Event::Stop));
        }
    }
}

/// Starts an instance.
///
/// # Errors
/// When its data folder or event log cannot be opened, or a socket cannot be served.
pub fn start(settings: &Settings, listeners: Listeners) -> Result<Node> {
    let epoch = Instant::now();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).wrap_err("the clock is before 1970")?;
    let start = wall.as_micros() as Start;
    let me = Me {
        name: settings.name.get_ref().clone(),
        hall: settings.me().hall.clone(),
        start,
        address: Some(settings.me().address.get_ref().to_string()),
        epoch: wall,
    };
    let traffic = Arc::new(Traffic::default());
    let metrics = Arc::new(Metrics::new(traffic.clone()));
    let (inputs, receiver) = unbounded();
    let (errands, errand_list) = unbounded();
    let (disk, durable) = open_disk(settings, &inputs)?;
    let log = Log::open(me.name.clone(), settings.events.as_deref()).wrap_err("open the event log")?;
    log.write(What::Started { hall: me.hall.clone(), start });
    let outlets = Outlets {
        links: Links::new(&me.name, settings.peer_key.get_ref(), others(settings), &inputs, &traffic),
        disk,
        errands: errands.clone(),
        log,
        metrics: metrics.clone(),
    };
    let state = State::new(epoch.elapsed(), me, to_options(settings), durable);
    let control = Control::new(state, epoch, receiver, outlets);
    let control = thread::Builder::new().name("control".to_owned()).spawn(move || control.run())?;
    endpoint::start(&errand_list, &inputs);
    let shared = Shared {
        inputs: inputs.clone(),
        errands,
        agents: Agents::new(settings.traffic.connect, settings.traffic.idle),
        metrics,
        start,
        count: AtomicU64::new(1),
        body: settings.traffic.body,
        admin_key: settings.admin_key.get_ref().clone(),
    };
    peer::start(&serve(listeners.peers)?, settings.peer_key.get_ref(), &inputs, &traffic);
    entry::start(serve(listeners.callers)?, Arc::new(shared), settings.traffic.open);
    Ok(Node { inputs, control })
}

type Disk = (Option<Sender<disk::Job>>, Option<(ReplicaId, Durable)>);

fn open_disk(settings: &Settings, inputs: &Sender<Input>) -> Result<Disk> {
    let Some(folder) = &settings.data else { return Ok((None, None)) };
    let outcome = rudder_store::open(folder, settings.name.get_ref(), rand::random())?;
    if outcome.cut > 0 {
        spdlog::warn!("{}: cut {} bytes of an unfinished write", settings.name.get_ref(), outcome.cut);
    }
    let (sender, jobs) = bounded(65_536);
    let (store, notes, inputs): (Store, _, _) = (outcome.store, outcome.notes.notes, inputs.clone());
    thread::Builder::new().name("disk".to_owned()).spawn(move || {
        disk::run(store, notes, &jobs, |report| {
            let event = match report {
                Report::Saved(number) => Event::Saved { number },
                Report::Full => Event::DiskFull,
                Report::NotesLost(count) => Event::NotesLost { count, resumed: false },
                Report::NotesResumed(count) => Event::NotesLost { count, resumed: true },
            };
            inputs.send(Input::Event(event)).is_ok()
        });
    })?;
    Ok((Some(sender), Some((outcome.id, outcome.durable))))
}

fn others(settings: &Settings) -> BTreeMap<InstanceId, SocketAddr> {
    let others = settings.peers.iter().filter(|peer| peer.name.get_ref() != settings.name.get_ref());
    others.map(|peer| (peer.name.get_ref().clone(), *peer.peer.get_ref())).collect()
}

fn to_options(settings: &Settings) -> Options {
    let control = &settings.control;
    let names = |chosen: fn(&&rudder_settings::Peer) -> bool| {
        settings.peers.iter().filter(chosen).map(|peer| peer.name.get_ref().clone()).collect()
    };
    Options {
        seeds: names(|peer| peer.disk),
        founders: names(|peer| peer.founder),
        nearest: settings.nearest.get_ref().clone(),
        watch_interval: control.watch,
        max_proof_age: control.fresh,
        entries_ttl: settings.traffic.keep,
        poll_interval: settings.traffic.poll,
        load_interval: control.load_interval,
        order_timeout: control.order_timeout,
        replica: rudder_replica::Options {
            heartbeat: control.heartbeat,
            election: control.election,
            lease: control.election.mul_f64(0.75),
            replace: control.replace,
            voters: control.voters,
            seed: rand::random(),
            ..rudder_replica::Options::default()
        },
        ..Options::default()
    }
}
