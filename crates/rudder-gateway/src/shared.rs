//! State shared by the tasks of the traffic thread.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crossbeam_channel::Sender;
use rudder_clock::Moment;
use rudder_core::{
    Event, Listing, Phase, Registration,
    limits::{LimitKind, LimitReport},
    origins::{Evidence, Origin, StreamRoute, StreamTag},
    peer::Load,
    permits::PermitAnswer,
    usage::StartedRequest,
};
use rudder_events::What;
use rudder_ledger::{Document, Evacuations, Quarantine, Releases};
use rudder_model::{EndpointId, HallId, InstanceId};
use rudder_route::{admission::Level, returns::ReturnSettings};
use tokio::sync::{oneshot, watch};

use crate::{
    Dialect, Options, Plan, Route,
    admission::Admissions,
    arrivals::Arrivals,
    backoff::Backoff,
    budget::Budget,
    buffers::BufferQuota,
    call::to_hex,
    choose::{CandidateCache, Choice},
    condition::Conditions,
    contention::Contention,
    contents::{Contents, REFUSED_FOR},
    dialect::EntriesQuery,
    health::Health,
    limits::{EndpointLimits, Permission},
    loads::EndpointLoads,
    logging::Log,
    metrics::{ControlStatus, Metrics},
    neighbours::Neighbours,
    placement::{Placement, Residency},
    prefill::PrefillSpeeds,
    reachability::Reachability,
    recent::{self, Tally},
    returns::ReturnSchedules,
    roster::Roster,
    shares::Shares,
    shedding::Shedding,
    slow_start::SlowStartState,
    upstream::Pool,
};

/// Instances in a caller's hall that are enough for its list. With fewer, the list also holds instances of its region.
const MIN_NEAR_INSTANCES: usize = 2;

/// The part of the reducer's view that traffic uses.
#[derive(Clone, Debug, Default)]
pub struct PublishedView {
    /// The configuration document.
    pub document: Option<Document>,
    /// Registered endpoints.
    pub endpoints: Vec<Arc<Registration>>,
    /// Live instances.
    pub entries: Vec<Listing>,
    /// Contents in quarantine.
    pub quarantine: Arc<Quarantine>,
    /// Evacuated halls, whose endpoints receive no requests.
    pub evacuations: Arc<Evacuations>,
    /// Versions of endpoints' software in service.
    pub releases: Arc<Releases>,
}

impl PublishedView {
    /// Live instances that serve callers, and therefore send requests to endpoints.
    pub fn senders(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.entries.iter().filter(|listing| listing.address.is_some()).map(|listing| listing.name.clone())
    }
}

/// The reducer's reply to a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The version of the document in force after a proposal; `None` if the outcome is unknown.
    Documented(Option<u64>),
    /// Whether a heartbeat was accepted.
    Registered(bool),
    /// Whether an evacuation order is committed; false if the outcome is unknown.
    Evacuated(bool),
    /// The answer of the holder of an endpoint's rate limit.
    Permit(PermitAnswer),
    /// What is known of the version that began a stream.
    Origin(Origin, Evidence),
}

/// Tasks that wait for a reply of the reducer.
#[derive(Debug, Default)]
pub struct Tickets {
    last: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
}

impl Tickets {
    /// Issues a ticket and returns it with the receiver of its reply.
    pub fn issue(&self) -> (u64, oneshot::Receiver<Reply>) {
        let ticket = self.last.get() + 1;
        self.last.set(ticket);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Delivers a reply, or drops it if the waiting task is gone.
    pub fn reply(&self, ticket: u64, reply: Reply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            let _ = waiting.send(reply);
        }
    }
}

/// The stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No stop was requested.
    Serving,
    /// The instance is off the lists, and each answer closes its connection.
    Draining,
    /// Idle connections are closed too.
    Closing,
}

/// State of the traffic thread.
#[derive(Debug)]
pub struct Shared<D> {
    /// The dialect of callers, operators and endpoints.
    pub dialect: D,
    /// Settings.
    pub options: Options,
    /// When the process started: the zero of the reducer's time.
    pub started: Moment,
    /// This instance's name.
    pub name: InstanceId,
    /// The reducer's queue of events.
    pub events: Sender<Event>,
    /// Tasks that wait for a reply of the reducer.
    pub tickets: Tickets,
    /// The latest view of the reducer.
    pub view: RefCell<Rc<PublishedView>>,
    /// Endpoints by service.
    pub roster: RefCell<Rc<Roster>>,
    /// Endpoints that are eligible now, by service.
    pub candidate_cache: RefCell<CandidateCache>,
    /// The parsed configuration document.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// The time as of which the plan is proved the newest.
    pub proof: watch::Sender<Option<Moment>>,
    /// The time as of which the endpoints are proved the newest.
    pub endpoints_proof: watch::Sender<Option<Moment>>,
    /// The time of the last known load of the other instances.
    pub others_at: Cell<Option<Moment>>,
    /// Requests in flight at endpoints.
    pub loads: Rc<RefCell<EndpointLoads>>,
    /// The other instances as receivers of requests.
    pub neighbours: RefCell<Neighbours>,
    /// Notifies of the outcome of probes of the links.
    pub probed: watch::Sender<()>,
    /// Whether endpoints can be reached from here.
    pub reachability: RefCell<Reachability>,
    /// Recent outcomes at endpoints, and ejections.
    pub health: RefCell<Health>,
    /// Endpoints that have asked for a backoff or are leaving.
    pub backoff: RefCell<Backoff>,
    /// Rate limits of endpoints.
    pub limits: RefCell<EndpointLimits>,
    /// Outcomes by content, and the quarantine.
    pub contents: RefCell<Contents>,
    /// Prefill speed of engines.
    pub prefill: RefCell<PrefillSpeeds>,
    /// Speeds and pace of the engines of contended services.
    pub conditions: Rc<RefCell<Conditions>>,
    /// Regions and evacuations of halls.
    pub placement: RefCell<Placement>,
    /// Endpoints that are warming up.
    pub slow_start: RefCell<SlowStartState>,
    /// Contended services.
    pub contention: RefCell<Contention>,
    /// Admission to contended services.
    pub admission: RefCell<Admissions>,
    /// Rates of prompt tokens, by priority.
    pub arrivals: RefCell<Arrivals>,
    /// Requests refused for lack of capacity, by priority.
    pub shedding: RefCell<Shedding>,
    /// Work by organisation of contended services.
    pub shares: RefCell<Shares>,
    /// When refused callers of contended services return.
    pub returns: RefCell<ReturnSchedules>,
    /// Bytes buffered for callers and endpoints.
    pub buffers: Arc<BufferQuota>,
    /// The retry budget.
    pub budget: RefCell<Budget>,
    /// Idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Notifies of each newer view.
    published: watch::Sender<()>,
    /// Notifies of endpoints that a later life has replaced.
    pub replaced: watch::Sender<()>,
    /// The stage of a planned stop.
    pub stage: watch::Sender<Stage>,
    /// Requests begun at endpoints and not yet reported to the reducer; recorded only if usage is reported.
    pub begun: RefCell<Vec<StartedRequest>>,
    /// Open requests of callers.
    pub open_requests: Cell<u64>,
    /// Open connections of callers. An answer may be on its way on one of them after its request has ended.
    pub open_connections: Cell<u64>,
    /// The log.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Status of the control thread.
    pub status: Arc<ControlStatus>,
}

impl<D: Dialect> Shared<D> {
    /// The state of an instance that has just started.
    pub fn new(
        dialect: D,
        options: Options,
        started: Moment,
        events: Sender<Event>,
        log: Log,
        status: Arc<ControlStatus>,
    ) -> Shared<D> {
        let budget = Budget::new(
            options.retry_window,
            options.retry_ratio,
            options.retry_extra,
            Moment::now(),
            !options.bootstrap,
        );
        Shared {
            dialect,
            name: options.name(),
            buffers: BufferQuota::new(options.memory),
            placement: RefCell::new(Placement::new(options.regions.clone())),
            slow_start: RefCell::new(SlowStartState::new(options.name(), started)),
            admission: RefCell::new(Admissions::new(&options.policy.guard, rand::random(), started)),
            shares: RefCell::new(Shares::new(started)),
            arrivals: RefCell::default(),
            shedding: RefCell::default(),
            returns: RefCell::new(ReturnSchedules::new(ReturnSettings::default(), started)),
            contention: RefCell::new(Contention::new(options.contended)),
            options,
            started,
            events,
            tickets: Tickets::default(),
            view: RefCell::default(),
            roster: RefCell::default(),
            candidate_cache: RefCell::default(),
            plan: RefCell::new(None),
            proof: watch::Sender::new(None),
            endpoints_proof: watch::Sender::new(None),
            others_at: Cell::new(None),
            loads: Rc::default(),
            neighbours: RefCell::default(),
            probed: watch::Sender::new(()),
            reachability: RefCell::new(Reachability::new(started)),
            health: RefCell::default(),
            backoff: RefCell::default(),
            limits: RefCell::default(),
            contents: RefCell::new(Contents::new(started)),
            prefill: RefCell::default(),
            conditions: Rc::default(),
            budget: RefCell::new(budget),
            pool: RefCell::default(),
            published: watch::Sender::new(()),
            replaced: watch::Sender::new(()),
            stage: watch::Sender::new(Stage::Serving),
            begun: RefCell::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            log,
            metrics: Metrics::default(),
            status,
        }
    }

    /// Sends an event to the reducer. It is dropped if the control thread has ended.
    pub fn send_event(&self, event: Event) {
        let _ = self.events.send(event);
    }

    /// Returns true if this instance holds the duties, by its last known lease.
    pub fn holds_duties(&self) -> bool {
        let until = self.status.duty_until.load(Ordering::Relaxed);
        (self.started.elapsed().as_micros() as u64) < until
    }

    /// Counts a request that began to run at an endpoint towards the usage of the organisation that owns its key.
    pub fn record_begun(&self, organisation: Option<&Arc<str>>, at: Moment) {
        let wanted = self.options.duties.as_ref().is_some_and(|duties| duties.core.usage.is_some());
        let Some(organisation) = organisation.filter(|_| wanted) else { return };
        let at = at.saturating_duration_since(self.started);
        self.begun.borrow_mut().push(StartedRequest { org: organisation.clone(), at });
    }

    /// Reports the requests that began to the reducer.
    pub fn report_begun(&self) {
        let begun = std::mem::take(&mut *self.begun.borrow_mut());
        if !begun.is_empty() {
            self.send_event(Event::RequestsStarted(begun));
        }
    }

    /// Whether the mechanisms for contended services apply to this service.
    pub fn is_contended(&self, service: &str) -> bool {
        self.contention.borrow().is_contended(service, Moment::now())
    }

    /// Whether speeds of the engines of this service are learned and used.
    pub fn learns_speeds(&self, service: &str) -> bool {
        self.options.policy.contention.condition && self.is_contended(service)
    }

    /// Whether the admission to contended services applies to this service.
    pub fn uses_admission(&self, service: &str) -> bool {
        self.options.policy.contention.admission && self.is_contended(service)
    }

    /// Age of the proof that the plan is the newest, if there has been one.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof.borrow().map(Moment::elapsed)
    }

    /// Estimated age of the known load of the other instances: their reports take about as long to reach the leader as
    /// the leader's answer takes to arrive here.
    pub fn work_age(&self) -> Duration {
        self.others_age() * 2
    }

    /// Time since the leader's state of the other instances' load.
    pub fn others_age(&self) -> Duration {
        self.others_at.get().map(Moment::elapsed).unwrap_or_default()
    }

    /// When to retry a request that was refused for lack of a proof: after the rest of the startup time, or after the
    /// time of an election.
    pub fn recovery_time(&self) -> Duration {
        let recover = self.options.recovery_retry_after;
        if self.proof_age().is_some() {
            return recover;
        }
        let remaining = self.options.startup_time.saturating_sub(self.started.elapsed());
        remaining.max(recover / 2)
    }

    /// Returns true if the proof of the plan is younger than `bound`.
    pub fn is_fresh(&self, bound: Duration) -> bool {
        self.proof_age().is_some_and(|age| age < bound)
    }

    /// Age of the proof that the endpoints are the newest, if there has been one.
    pub fn endpoints_age(&self) -> Option<Duration> {
        self.endpoints_proof.borrow().map(Moment::elapsed)
    }

    /// Returns true if no endpoint's departure can have been acknowledged for so long that nothing may be sent to it.
    pub fn knows_departures(&self) -> bool {
        self.endpoints_age().is_some_and(|age| age < self.options.max_endpoints_age)
    }

    /// Asks the leader for the newest endpoints if a departure may have been missed, and waits up to `bound` for them.
    /// Returns whether they are known.
    pub async fn update_endpoints(&self, bound: Duration) -> bool {
        if self.knows_departures() {
            return true;
        }
        self.send_event(Event::ProveFreshness);
        let mut proofs = self.endpoints_proof.subscribe();
        let known = proofs.wait_for(|_| self.knows_departures());
        matches!(tokio::time::timeout(bound, known).await, Ok(Ok(_)))
    }

    /// Waits up to `bound` until requests of a route may begin at one of the known endpoints, if a version of these is new.
    pub async fn wait_admitted(&self, route: &Route, bound: Duration) {
        if self.can_begin(route) {
            return;
        }
        let mut changes = self.published.subscribe();
        let admitted = changes.wait_for(|()| self.can_begin(route));
        // Without an endpoint of an admitted version the request is refused.
        let _ = tokio::time::timeout(bound, admitted).await;
    }

    /// Returns false if all endpoints of a route's services have versions at which no resumable stream may begin yet.
    fn can_begin(&self, route: &Route) -> bool {
        let (roster, view) = (self.roster.borrow(), self.view.borrow());
        let known = || route.shares.iter().flat_map(|share| roster.of(&share.service));
        let mut ready = known().filter(|known| known.phase == Phase::Ready).peekable();
        ready.peek().is_none() || ready.any(|known| view.releases.is_admitted(&known.service, &known.version))
    }

    /// Returns true while this instance serves callers.
    pub fn is_ready(&self) -> bool {
        let serving = *self.stage.borrow() == Stage::Serving;
        let is_current = self.is_fresh(self.options.max_proof_age) && self.knows_departures();
        serving && self.current_plan().is_some() && is_current
    }

    /// Asks which version began a stream of a route.
    pub async fn ask_origin(&self, stream: StreamTag, route: Arc<StreamRoute>) -> (Origin, Evidence) {
        let (ticket, reply) = self.tickets.issue();
        self.send_event(Event::AskOrigin { ticket, stream, route });
        match reply.await {
            Ok(Reply::Origin(origin, evidence)) => (origin, evidence),
            _ => (Origin::Unknown, Evidence::default()),
        }
    }

    /// The plan in force, if one is known.
    pub fn current_plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Number of priorities of a service above that of a route; 0 before there is a configuration.
    pub fn level(&self, route: &Route, service: &str) -> Level {
        self.plan.borrow().as_ref().map_or(0, |plan| plan.level(route, service))
    }

    /// Waits up to `bound` for a proof that the plan is the newest as of `since`.
    pub async fn wait_for_proof(&self, since: Moment, bound: Duration) -> bool {
        self.send_event(Event::ProveFreshness);
        let mut proofs = self.proof.subscribe();
        let proved = proofs.wait_for(|proof| proof.is_some_and(|proof| proof >= since));
        matches!(tokio::time::timeout(bound, proved).await, Ok(Ok(_)))
    }

    /// Applies a newer view, and parses its document if the version is newer.
    pub fn publish(&self, published: PublishedView) {
        self.apply_document(published.document.as_ref());
        self.apply_quarantine(&published.quarantine);
        self.apply_evacuations(&published.evacuations);
        self.budget.borrow_mut().record_instances(published.senders().count(), Moment::now());
        self.admission.borrow_mut().set_senders(self.budget.borrow_mut().instances(Moment::now()));
        self.slow_start.borrow_mut().set_senders(published.senders().collect(), Moment::now());
        let roster = Rc::new(Roster::new(published.endpoints.iter().cloned()));
        self.loads.borrow_mut().retain(|endpoint| roster.knows(endpoint));
        self.conditions.borrow_mut().set_roster(roster.clone());
        self.health.borrow_mut().retain(|endpoint| roster.knows(endpoint));
        self.limits.borrow_mut().retain(roster.endpoints(), Moment::now());
        self.metrics.set_limited(self.limits.borrow().count());
        let before = self.roster.replace(roster.clone());
        if !roster.replaced().is_subset(before.replaced()) {
            self.replaced.send_replace(());
            self.report_ended(&roster);
        }
        *self.view.borrow_mut() = Rc::new(published);
        self.candidate_cache.borrow_mut().clear();
        self.published.send_replace(());
    }

    /// The live instance at this address, if there is one.
    pub fn instance_at(&self, address: IpAddr) -> Option<InstanceId> {
        let view = self.view.borrow();
        let is_at = |name: &str| name.parse::<SocketAddr>().is_ok_and(|known| known.ip() == address);
        view.entries.iter().find(|listing| is_at(&listing.name)).map(|listing| listing.name.clone())
    }

    /// The instances to which a request may be passed on, in the order to try them, with their addresses for callers. One that
    /// is restricted to regions stays within them.
    pub fn hop_targets<const COUNT: usize>(&self, residency: &Residency) -> Vec<(InstanceId, String)> {
        let view = self.view.borrow();
        let (neighbours, placement) = (self.neighbours.borrow(), self.placement.borrow());
        let others = view.entries.iter().filter(|listing| {
            listing.takes_callers()
                && listing.name != self.name
                && placement.allows(residency.as_deref(), &listing.hall)
        });
        let selected = neighbours.select::<COUNT>(others, &self.options.hall, &placement, Moment::now());
        let with_address = |listing: &&Listing| Some((listing.name.clone(), listing.address.clone()?));
        selected.iter().filter_map(with_address).collect()
    }

    /// Waits until a later life of the same name has replaced `endpoint`, so that its requests no longer run.
    pub async fn wait_replaced(&self, endpoint: &EndpointId) {
        let mut changes = self.replaced.subscribe();
        while !self.is_replaced(endpoint) && changes.changed().await.is_ok() {}
    }

    /// Returns true if a later life of the same name has replaced `endpoint`.
    pub fn is_replaced(&self, endpoint: &EndpointId) -> bool {
        self.roster.borrow().replaced().contains(endpoint)
    }

    /// Reports the contents whose connections broke at endpoints that are now known to have terminated.
    fn report_ended(&self, roster: &Roster) {
        for findings in self.contents.borrow_mut().take_ended(roster.replaced(), Moment::now()) {
            self.send_event(Event::Findings(findings));
        }
    }

    fn apply_quarantine(&self, quarantine: &Arc<Quarantine>) {
        if self.contents.borrow().is_published(quarantine) {
            return;
        }
        let new = self.contents.borrow_mut().publish(quarantine, Moment::now());
        for content in new {
            self.log.write(What::Quarantined { content: to_hex(content), refused: REFUSED_FOR });
        }
        let instances = self.budget.borrow_mut().instances(Moment::now());
        let vindicated = self.contents.borrow().vindicated(instances, rand::random(), Moment::now());
        if let Some(findings) = vindicated {
            self.send_event(Event::Findings(findings));
        }
        self.metrics.set_quarantined(self.contents.borrow().refused_count());
    }

    /// Records which halls are evacuated. The endpoints of a hall that has returned count as cold, whatever they
    /// reported.
    fn apply_evacuations(&self, evacuations: &Arc<Evacuations>) {
        let returned = self.placement.borrow_mut().set_evacuations(evacuations.clone());
        for hall in returned {
            self.slow_start.borrow_mut().record_hall_return(&hall, Moment::now());
        }
        self.metrics.set_evacuated(self.placement.borrow().evacuated());
    }

    /// Checks again that the chosen endpoint accepts a request, and counts it towards the endpoint's warm-up share.
    pub fn try_reserve(&self, choice: &Choice, permission: &Permission, now: Moment) -> bool {
        let taken = self.accepts_requests(choice, permission, now) && self.try_take_ramp_share(choice, now);
        if !taken {
            self.metrics.record_held_back();
        }
        taken
    }

    /// Returns true if the chosen endpoint and its hall accept requests.
    fn accepts_requests(&self, choice: &Choice, permission: &Permission, now: Moment) -> bool {
        // While the connection was opened, a limit may have been reported or the permission may have expired.
        if !self.is_permitted(choice, permission, now) {
            return false;
        }
        if self.backoff.borrow().is_blocked(&choice.endpoint, now) {
            return false;
        }
        let roster = self.roster.borrow();
        // An endpoint that is no longer known has terminated, which the attempt will show.
        let Some(registration) = roster.get(&choice.endpoint) else { return true };
        // The holder of a stream's copy was chosen when the stream started, so its phase may have changed since.
        registration.phase <= Phase::Silent && self.placement.borrow().is_open(&registration.hall)
    }

    /// Returns true if the limits of the chosen endpoint allow the request.
    fn is_permitted(&self, choice: &Choice, permission: &Permission, now: Moment) -> bool {
        let (limits, endpoint) = (self.limits.borrow(), &choice.endpoint);
        let has_permit = permission.permit.is_some_and(|permit| permit.holds(endpoint, now));
        let has_loan = permission.loan.as_ref().is_some_and(|loan| loan.holds(endpoint, now));
        (has_permit || limits.rate(endpoint, LimitKind::Requests).is_none())
            && (has_loan || limits.rate(endpoint, LimitKind::Rejections).is_none())
    }

    /// The hall of an endpoint; this instance's if the endpoint is unknown.
    pub fn hall_of(&self, endpoint: &EndpointId) -> HallId {
        let roster = self.roster.borrow();
        roster.get(endpoint).map_or_else(|| self.options.hall.clone(), |registration| registration.hall.clone())
    }

    /// Counts a request towards this instance's share of the chosen endpoint's capacity during warm-up.
    fn try_take_ramp_share(&self, choice: &Choice, now: Moment) -> bool {
        let roster = self.roster.borrow();
        let Some(registration) = roster.get(&choice.endpoint) else { return true };
        let warm_up = self.current_plan().and_then(|plan| plan.services.get(&registration.service)?.warm_up);
        let mut slow_start = self.slow_start.borrow_mut();
        let allowed = slow_start.allowance(registration, warm_up, &self.options.policy.slow_start, now);
        slow_start.try_take(&registration.endpoint, allowed, now)
    }

    /// How long all endpoints that serve `route` are blocked by backoffs or exhausted rate limits; `None` if one
    /// accepts requests or there are none.
    pub fn blocked_for(&self, route: &Route) -> Option<Duration> {
        let now = Moment::now();
        let (roster, backoff, placement) = (self.roster.borrow(), self.backoff.borrow(), self.placement.borrow());
        let limits = self.limits.borrow();
        let endpoints = route.shares.iter().flat_map(|share| roster.of(&share.service));
        let mut soonest: Option<Moment> = None;
        for registration in endpoints {
            if registration.phase > Phase::Silent
                || !placement.is_open(&registration.hall)
                || backoff.is_leaving(&registration.endpoint)
            {
                continue;
            }
            let retry_at = backoff.retry_at(&registration.endpoint, now);
            let until = retry_at.max(limits.retry_at(&registration.endpoint, now))?;
            soonest = Some(soonest.map_or(until, |soonest| soonest.min(until)));
        }
        soonest.map(|until| until.saturating_duration_since(now))
    }

    /// Records the rate limits of endpoints that all instances share, as of `at`.
    pub fn apply_limits(&self, reports: &[LimitReport], at: Moment) {
        let mut limits = self.limits.borrow_mut();
        for report in reports {
            limits.record_report(*report, at);
        }
        self.metrics.set_limited(limits.count());
        self.candidate_cache.borrow_mut().clear();
    }

    /// Records the load of the other instances at endpoints as of `at`; `None` if it has not changed.
    pub fn apply_others(&self, others: Option<&[Load]>, at: Moment) {
        self.others_at.set(Some(at));
        self.conditions.borrow_mut().set_others(others, at);
        self.admission.borrow_mut().record_report(at, rand::random(), Moment::now());
        self.update_outdated();
        let Some(others) = others else { return };
        self.loads.borrow_mut().set_others(others);
        self.update_suspects();
        self.candidate_cache.borrow_mut().clear();
    }

    /// Lets the other instances' loads at contended services count only while they are recent. An instance that is cut
    /// off would otherwise refuse by the last counts for as long as it stays so.
    pub fn update_outdated(&self) {
        let outdated = self.options.policy.contention.admission && self.admission.borrow().is_stale(Moment::now());
        self.loads.borrow_mut().set_outdated(outdated);
    }

    /// Ejects the endpoints that fail far more often than the others of their service.
    fn update_suspects(&self) {
        if !self.options.policy.guard.suspects {
            return;
        }
        let (now, loads, roster) = (Moment::now(), self.loads.borrow(), self.roster.borrow().clone());
        let mut services: Vec<Vec<(EndpointId, Tally)>> = Vec::new();
        for endpoints in roster.services() {
            let ready = endpoints.iter().filter(|registration| registration.phase == Phase::Ready);
            services.push(
                ready
                    .map(|registration| (registration.endpoint.clone(), loads.tally(&registration.endpoint, now)))
                    .collect(),
            );
        }
        let suspects = services.iter().flat_map(|tallies| recent::suspects(tallies)).collect();
        for endpoint in self.health.borrow_mut().set_suspects(suspects) {
            let Tally { ended, failed } = loads.tally(&endpoint, now);
            self.metrics.record_ejection();
            self.log.write(What::Suspect { endpoint, ended, failed });
        }
    }

    fn apply_document(&self, document: Option<&Document>) {
        let Some(document) = document else { return };
        let current = self.plan.borrow().as_ref().map_or(0, |plan| plan.version);
        if document.version <= current {
            return;
        }
        match self.dialect.read_document(&document.body) {
            Ok(plan) => {
                self.returns.borrow_mut().retain(&plan);
                self.shedding.borrow_mut().retain(|service| plan.services.contains_key(service));
                self.arrivals.borrow_mut().retain(|service| plan.services.contains_key(service));
                *self.plan.borrow_mut() = Some(Rc::new(plan));
            }
            // The instance that proposed it could parse it, but may run another version.
            Err(error) => spdlog::error!("cannot parse configuration document {}: {error}", document.version),
        }
    }

    /// Addresses of instances for a caller: those in its hall if there are at least `MIN_NEAR_INSTANCES`, else those
    /// in its region, else those in the regions that all routes of its host are bound to, else those in its hall, else
    /// all.
    pub fn entries_for(&self, query: &EntriesQuery) -> Vec<Arc<str>> {
        let view = self.view.borrow();
        let placement = self.placement.borrow();
        let live: Vec<&Listing> = view.entries.iter().filter(|listing| listing.takes_callers()).collect();
        let select = |is_wanted: &dyn Fn(&Listing) -> bool| -> Vec<&Listing> {
            live.iter().copied().filter(|listing| is_wanted(listing)).collect()
        };
        let near = select(&|listing| query.hall.as_deref() == Some(&*listing.hall));
        if near.len() >= MIN_NEAR_INSTANCES {
            return to_addresses(&near);
        }
        let region = query.hall.as_deref().and_then(|hall| placement.region_of(hall)).map(|region| &**region);
        let region = region.or(query.region.as_deref());
        let of_region =
            select(&|listing| region.is_some() && placement.region_of(&listing.hall).map(|found| &**found) == region);
        if !of_region.is_empty() {
            return to_addresses(&of_region);
        }
        let plan = self.current_plan();
        let residency = plan.zip(query.host.as_deref()).and_then(|(plan, host)| plan.residency_of_host(host));
        let resident = select(&|listing| residency.is_some() && placement.allows(residency.as_deref(), &listing.hall));
        to_addresses([&resident, &near, &live].into_iter().find(|listings| !listings.is_empty()).unwrap_or(&live))
    }
}

fn to_addresses(listings: &[&Listing]) -> Vec<Arc<str>> {
    listings.iter().filter_map(|listing| listing.address.as_deref()).map(Arc::from).collect()
}
