//! The control thread: it owns the reducer and turns its effects into notices for the traffic thread.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use eyre::{Context as _, Result};
use rudder_clock::Moment;
use rudder_core::{
    Effect, Event, Me, PeerMessage, Registration, State, clock, limits::LimitReport, options::DutyOptions,
    origins::StreamOrigin, peer::Load,
};
use rudder_events::What;
use rudder_model::InstanceId;
use rudder_replica::{Durable, ReplicaId};
use rudder_route::{scale::ScaleOptions, shares::WorkReport};
use rudder_store::{
    disk::{self, Job, Report},
    notes,
};
use tokio::sync::mpsc::UnboundedSender;

use crate::{
    Options,
    control_load::ControlLoad,
    duty::DutyTask,
    logging::Log,
    metrics::ControlStatus,
    shared::{PublishedView, Reply},
};

/// Time between ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes of log commands after which a snapshot is taken.
const SNAPSHOT_BYTES: u64 = 512 << 10;
/// Log entries kept before the snapshot, for followers that lag slightly.
const SNAPSHOT_KEEP_ENTRIES: u64 = 4;

/// Share of a machine's link for pieces of large messages; the rest is for callers and for other control traffic.
const TRANSFER_SHARE: f64 = 0.5;

/// Heartbeats that an endpoint may miss before it counts as silent; one may be lost with the instance that received it.
const MAX_MISSED_HEARTBEATS: u32 = 2;
/// Tolerated delay of a heartbeat.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(2600);

/// Message entries, of about 200 bytes each, that may be queued for the traffic thread: about as much as for all links.
const MAX_BACKLOG_ENTRIES: usize = 60_000;
/// A message of up to this many entries is queued whatever the backlog, so that leases and log heartbeats go through.
const SMALL_MESSAGE_ENTRIES: usize = 16;

/// A message to the traffic thread.
#[derive(Debug)]
pub enum Notice {
    /// Send a message to another instance.
    Send(InstanceId, PeerMessage),
    /// The view changed.
    Published(Box<PublishedView>),
    /// The load of the other instances at endpoints as of this time; `None` if it has not changed.
    Others(Option<Vec<Load>>, Moment),
    /// The work of the other instances by organisation, as of this time. Not sent while there is none.
    Work(Vec<WorkReport>, Moment),
    /// The rate limits of endpoints, as of this time.
    Limits(Vec<LimitReport>, Moment),
    /// The view is proved to be the newest as of this time.
    Proved(Moment),
    /// The endpoints are proved to be the newest as of this time.
    EndpointsProved(Moment),
    /// The reply to a ticket.
    Reply(u64, Reply),
    /// Make a call of the holder of a duty.
    DutyCall(Box<DutyTask>),
}

/// State of the control thread.
pub struct Driver {
    state: State,
    epoch: Moment,
    notices: UnboundedSender<Vec<Notice>>,
    disk: Option<Sender<Job>>,
    log: Log,
    view_edition: u64,
    others_edition: u64,
    limits_edition: u64,
    others_at: Option<Duration>,
    /// The last notice of the other instances' work held some.
    others_worked: bool,
    proved: Option<Duration>,
    registry_proved: Option<Duration>,
    endpoints: Vec<Arc<Registration>>,
    batch: Vec<Notice>,
    status: Arc<ControlStatus>,
    /// The wall-clock time at `epoch` that was last reported to the reducer.
    clock_origin: Duration,
    handover: Duration,
    load: ControlLoad,
}

/// Opens the data folder and creates the reducer.
///
/// # Errors
/// Fails if the data folder cannot be opened or the disk thread cannot be started.
pub fn prepare(
    options: &Options,
    events: &Sender<Event>,
    notices: UnboundedSender<Vec<Notice>>,
    log: Log,
) -> Result<Driver> {
    let epoch = Moment::now();
    let name = options.name();
    let me = Me {
        name: name.clone(),
        hall: options.hall.clone(),
        start: rand::random(),
        address: options.listeners.callers.map(|callers| callers.to_string()),
        epoch: wall_clock_at(epoch),
    };
    let clock_origin = me.epoch;
    let handover = options.duties.as_ref().map(|duties| duties.core.handover).unwrap_or_default();
    let (disk, durable) = open_disk(options, &name, events)?;
    log.write(What::Started { hall: me.hall.clone(), start: me.start });
    let state = State::new(epoch.elapsed(), me, core_options(options), durable);
    let endpoints = Vec::new();
    Ok(Driver {
        state,
        epoch,
        notices,
        disk,
        log,
        view_edition: 0,
        others_edition: 0,
        limits_edition: 0,
        others_at: None,
        others_worked: false,
        proved: None,
        registry_proved: None,
        endpoints,
        batch: Vec::new(),
        status: Arc::default(),
        clock_origin,
        handover,
        load: ControlLoad::default(),
    })
}

/// Converts `epoch` to wall-clock time by the current clock of this machine.
fn wall_clock_at(epoch: Moment) -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(epoch.elapsed())
}

type Disk = (Option<Sender<Job>>, Option<(ReplicaId, Durable)>);

fn open_disk(options: &Options, name: &str, events: &Sender<Event>) -> Result<Disk> {
    let Some(folder) = &options.data else { return Ok((None, None)) };
    let outcome = rudder_store::open_as_founder(folder, name, rand::random(), &founders(options))
        .wrap_err("open the data folder")?;
    restore_notes(&outcome.notes, events);
    let (sender, jobs) = unbounded();
    let (store, notes, events) = (outcome.store, outcome.notes.notes, events.clone());
    let run = move || {
        disk::run(store, notes, &jobs, |report| {
            let event = match report {
                Report::Saved(number) => Event::Saved { number },
                Report::Full => Event::DiskFull,
                Report::NotesLost(count) => Event::NotesLost { count, resumed: false },
                Report::NotesResumed(count) => Event::NotesLost { count, resumed: true },
            };
            events.send(event).is_ok()
        });
    };
    std::thread::Builder::new().name("disk".to_owned()).spawn(run).wrap_err("start the disk thread")?;
    Ok((Some(sender), Some((outcome.id, outcome.durable))))
}

/// Passes the notes of the data folder to the reducer.
fn restore_notes(notes: &notes::Outcome, events: &Sender<Event>) {
    for error in &notes.errors {
        spdlog::warn!("notes of the data folder: {error}");
    }
    if notes.cut > 0 {
        spdlog::warn!("cut {} bytes of unfinished notes", notes.cut);
    }
    let mut origins = Vec::new();
    for record in &notes.records {
        match rmp_serde::from_slice::<Vec<StreamOrigin>>(record) {
            Ok(read) => origins.extend(read),
            Err(error) => spdlog::warn!("a note of the data folder cannot be read: {error}"),
        }
    }
    if !origins.is_empty() {
        // The receiver is this thread's own, so that it cannot be gone.
        let _ = events.send(Event::OriginsNoted(origins));
    }
}

fn founders(options: &Options) -> Vec<InstanceId> {
    if options.bootstrap { options.seeds.clone() } else { Vec::new() }
}

fn core_options(options: &Options) -> rudder_core::Options {
    rudder_core::Options {
        seeds: options.seeds.clone(),
        founders: founders(options),
        watch_interval: options.poll_interval,
        max_proof_age: options.max_proof_age,
        liveness_timeout: Duration::from_millis(800),
        entries_ttl: options.entries_ttl,
        snapshot_bytes: SNAPSHOT_BYTES,
        silence_timeout: options.heartbeat * MAX_MISSED_HEARTBEATS + MAX_HEARTBEAT_DELAY,
        tree: options.policy.relays.clone(),
        duties: duty_options(options),
        transfer_rate: (options.link_rate as f64 * TRANSFER_SHARE) as u64,
        replica: rudder_replica::Options {
            heartbeat: Duration::from_millis(75),
            election: Duration::from_millis(400),
            lease: Duration::from_millis(300),
            replace: Duration::from_millis(1500),
            voters: options.voters,
            keep: SNAPSHOT_KEEP_ENTRIES,
            seed: rand::random(),
            ..rudder_replica::Options::default()
        },
        ..rudder_core::Options::default()
    }
}

/// The duties of the settings, with the scaling options of the policy.
fn duty_options(options: &Options) -> DutyOptions {
    let Some(duties) = &options.duties else { return DutyOptions::default() };
    let policy = &options.policy;
    let gradual_release = options.contended && policy.contention.release;
    let scaling = duties.core.scaling.as_ref().map(|_| ScaleOptions { gradual_release, ..policy.scaling.clone() });
    DutyOptions { scaling, ..duties.core.clone() }
}

impl Driver {
    /// The status that the thread updates, for the traffic thread.
    pub fn status(&self) -> Arc<ControlStatus> {
        self.status.clone()
    }

    /// When the process started: the zero of the reducer's time.
    pub fn epoch(&self) -> Moment {
        self.epoch
    }

    /// Reports steps of this machine's wall clock to the reducer.
    fn check_clock(&mut self) {
        let origin = wall_clock_at(self.epoch);
        if origin.abs_diff(self.clock_origin) >= clock::STEP {
            self.clock_origin = origin;
            self.reduce(Event::ClockStepped(origin));
        }
    }

    fn update_status(&self) {
        self.status.unreported_requests.store(self.state.unreported_requests(), Ordering::Relaxed);
        let Some(control) = &self.state.control else { return };
        let replica = &control.replica;
        self.status.term.store(replica.term(), Ordering::Relaxed);
        self.status.is_leader.store(replica.leads(self.epoch.elapsed()), Ordering::Relaxed);
        let duty_until = control.duty_until(self.epoch.elapsed(), self.handover).unwrap_or_default();
        self.status.duty_until.store(duty_until.as_micros() as u64, Ordering::Relaxed);
        self.status.unreported_windows.store(control.ledger.usage.closed().len() as u64, Ordering::Relaxed);
        self.status.late_requests.store(control.ledger.usage.late(), Ordering::Relaxed);
        self.status.commit_index.store(replica.commit(), Ordering::Relaxed);
        self.status.last_index.store(replica.last_index(), Ordering::Relaxed);
    }

    /// Runs until the instance ends.
    pub fn run(mut self, events: &Receiver<Event>) {
        let mut next = Moment::now();
        loop {
            match events.recv_timeout(next.saturating_duration_since(Moment::now())) {
                Ok(event) => self.reduce(event),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Ticks must go on while events keep arriving.
            let now = Moment::now();
            if now >= next {
                if let Some(late) = self.load.on_tick(next, now, events.len()) {
                    self.log.write(late);
                }
                self.check_clock();
                self.reduce(Event::Tick);
                self.update_status();
                next = Moment::now() + TICK_INTERVAL;
            }
        }
    }

    fn reduce(&mut self, event: Event) {
        let (kind, started) = (event.kind(), Moment::now());
        let now = self.epoch.elapsed();
        let mut effects = Vec::new();
        self.state.reduce(now, event, &mut effects);
        self.publish();
        for effect in effects {
            self.perform(effect);
        }
        if !self.batch.is_empty() {
            let _ = self.notices.send(std::mem::take(&mut self.batch));
        }
        self.load.record(kind, started.elapsed());
    }

    /// Queues notices of changes in the view; the proof of a view follows the view.
    fn publish(&mut self) {
        let view = &self.state.view;
        if view.revision != self.view_edition {
            self.view_edition = view.revision;
            let endpoints: Vec<Arc<Registration>> = view.registry.used_in(&self.state.me.hall).cloned().collect();
            let published = PublishedView {
                document: view.document.clone(),
                endpoints: endpoints.clone(),
                entries: view.directory.values().cloned().collect(),
                quarantine: view.quarantine.clone(),
                evacuations: view.evacuations.clone(),
                releases: view.releases.clone(),
            };
            log_endpoints(&self.log, &self.endpoints, &endpoints);
            self.endpoints = endpoints;
            self.batch.push(Notice::Published(Box::new(published)));
        }
        let view = &self.state.view;
        if let Some(at) = view.remote_loads_at().filter(|at| Some(*at) != self.others_at) {
            let changed = view.load_revision != self.others_edition;
            (self.others_edition, self.others_at) = (view.load_revision, Some(at));
            self.batch.push(Notice::Others(changed.then(|| view.remote_loads.clone()), self.epoch + at));
            let has_work = !view.remote_work.is_empty();
            if std::mem::replace(&mut self.others_worked, has_work) || has_work {
                self.batch.push(Notice::Work(view.remote_work.clone(), self.epoch + at));
            }
        }
        if view.limits.edition() != self.limits_edition {
            self.limits_edition = view.limits.edition();
            let now = self.epoch.elapsed();
            let reports = view.limits.reports(now).collect();
            self.batch.push(Notice::Limits(reports, self.epoch + now));
        }
        if view.proved() != self.proved {
            self.proved = view.proved();
            self.batch.extend(self.proved.map(|proved| Notice::Proved(self.epoch + proved)));
        }
        if view.registry_proved() != self.registry_proved {
            self.registry_proved = view.registry_proved();
            self.batch.extend(self.registry_proved.map(|proved| Notice::EndpointsProved(self.epoch + proved)));
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(to, message),
            Effect::Save { number, records } => self.save(Job::Append(number, records)),
            Effect::SaveSnapshot { number, snapshot, records } => {
                self.save(Job::Replace(number, snapshot, records));
            }
            Effect::Documented { ticket, version } => {
                self.batch.push(Notice::Reply(ticket, Reply::Documented(version)));
            }
            Effect::Evacuated { ticket, decided } => {
                self.batch.push(Notice::Reply(ticket, Reply::Evacuated(decided)));
            }
            Effect::Registered { ticket, accepted } => {
                self.batch.push(Notice::Reply(ticket, Reply::Registered(accepted)));
            }
            Effect::OriginFound { ticket, origin, evidence } => {
                self.batch.push(Notice::Reply(ticket, Reply::Origin(origin, evidence)));
            }
            Effect::NoteOrigins(origins) => {
                let note = rmp_serde::to_vec(&origins).expect("origins hold only plain data");
                self.save(Job::Note(note));
            }
            Effect::Permitted { ticket, answer } => self.batch.push(Notice::Reply(ticket, Reply::Permit(answer))),
            Effect::Log(what) => self.log.write(what),
            Effect::Call { ticket, fence, age, call } => {
                self.batch.push(Notice::DutyCall(Box::new(DutyTask { ticket, fence, age, call })));
            }
            // The traffic thread handles requests and completes a planned stop itself.
            Effect::Verdict { .. }
            | Effect::Admin { .. }
            | Effect::Poll { .. }
            | Effect::Order { .. }
            | Effect::Exit => {}
        }
    }

    /// Queues a message for the traffic thread, or drops it if the backlog is too large. Its sender resends if needed.
    fn send(&mut self, to: InstanceId, message: PeerMessage) {
        let weight = message.weight();
        let backlog = &self.status.backlog;
        if weight > SMALL_MESSAGE_ENTRIES && backlog.load(Ordering::Relaxed) + weight > MAX_BACKLOG_ENTRIES {
            self.status.dropped_messages.fetch_add(1, Ordering::Relaxed);
            return;
        }
        backlog.fetch_add(weight, Ordering::Relaxed);
        self.batch.push(Notice::Send(to, message));
    }

    fn save(&self, job: Job) {
        if let Some(disk) = &self.disk {
            let _ = disk.send(job);
        }
    }
}

/// Logs the endpoints that were added, removed or changed phase. Both lists are ordered by id and share unchanged
/// entries.
fn log_endpoints(log: &Log, before: &[Arc<Registration>], after: &[Arc<Registration>]) {
    let write = |registration: &Registration, phase: String| {
        log.write(What::Endpoint {
            endpoint: registration.endpoint.clone(),
            service: registration.service.clone(),
            phase,
            sequence: registration.sequence,
        });
    };
    let mut old = before.iter().peekable();
    for new in after {
        while let Some(gone) = old.next_if(|old| old.endpoint < new.endpoint) {
            write(gone, "forgotten".to_owned());
        }
        let known = old.next_if(|old| old.endpoint == new.endpoint);
        if known.is_none_or(|old| !Arc::ptr_eq(old, new) && old.phase != new.phase) {
            write(new, format!("{:?}", new.phase).to_lowercase());
        }
    }
    for gone in old {
        write(gone, "forgotten".to_owned());
    }
}
