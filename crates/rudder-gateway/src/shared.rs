//! What the tasks of the traffic thread share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crossbeam_channel::Sender;
use rudder_clock::Moment;
use rudder_core::{
    Event, Listing, Phase, Registration, limits::LimitReport, peer::Load, permits::PermitAnswer, usage::StartedRequest,
};
use rudder_events::What;
use rudder_ledger::{Document, Evacuations, Quarantine};
use rudder_model::{EndpointId, InstanceId};
use tokio::sync::{oneshot, watch};

use crate::{
    Dialect, Options, Plan, Route,
    backoff::Backoff,
    balance::Balance,
    budget::Budget,
    call::to_hex,
    choose::{Choice, Fields},
    contents::{Contents, REFUSED_FOR},
    dialect::EntriesQuery,
    health::Health,
    holdings::Holdings,
    limits::{Limits, Permit},
    logging::Log,
    metrics::{ControlStatus, Metrics},
    places::Places,
    ramp::Ramp,
    reading::Reading,
    recent::{self, Tally},
    roster::Roster,
    upstream::Pool,
};

/// Instances of a caller's own hall from which on it is told no others: with one alone, its loss would leave none.
const MIN_NEAR_INSTANCES: usize = 2;

/// What the reducer's view says to traffic.
#[derive(Clone, Debug, Default)]
pub struct PublishedView {
    /// The configuration document.
    pub document: Option<Document>,
    /// Endpoints that registered themselves.
    pub endpoints: Vec<Arc<Registration>>,
    /// Live instances.
    pub entries: Vec<Listing>,
    /// Contents under which endpoints ended.
    pub quarantine: Arc<Quarantine>,
    /// Halls whose endpoints get nothing.
    pub evacuations: Arc<Evacuations>,
}

impl PublishedView {
    /// Live instances that take callers, and so send to endpoints.
    pub fn senders(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.entries.iter().filter(|listing| listing.address.is_some()).map(|listing| listing.name.clone())
    }
}

/// The answer to something that waits for the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A document was decided on: the version held now, or nothing is known.
    Documented(Option<u64>),
    /// A heartbeat was taken in, or was not.
    Registered(bool),
    /// The log holds an order of an evacuation, or nothing is known.
    Evacuated(bool),
    /// The holder of an endpoint's rate limit has answered.
    Permit(PermitAnswer),
}

/// Those who wait for the reducer.
#[derive(Debug, Default)]
pub struct Tickets {
    count: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
}

impl Tickets {
    /// A new ticket and where its reply comes.
    pub fn issue(&self) -> (u64, oneshot::Receiver<Reply>) {
        let ticket = self.count.get() + 1;
        self.count.set(ticket);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Passes a reply on; one that nobody waits for any more is dropped.
    pub fn reply(&self, ticket: u64, reply: Reply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&ticket) {
            let _ = waiting.send(reply);
        }
    }
}

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No stop was asked for.
    Serving,
    /// Off the lists; each answer closes its connection.
    Draining,
    /// Idle connections are closed too.
    Closing,
}

/// State of the traffic thread.
#[derive(Debug)]
pub struct Shared<D> {
    /// What callers speak.
    pub dialect: D,
    /// Settings.
    pub options: Options,
    /// When the process started; the reducer's time counts from it.
    pub started: Moment,
    /// This instance's name.
    pub name: InstanceId,
    /// Events for the reducer.
    pub inputs: Sender<Event>,
    /// Those who wait for it.
    pub tickets: Tickets,
    /// The latest view.
    pub view: RefCell<Rc<PublishedView>>,
    /// Its endpoints, by service.
    pub roster: RefCell<Rc<Roster>>,
    /// Those that requests may go to for the moment.
    pub fields: RefCell<Fields>,
    /// The configuration document, read.
    pub plan: RefCell<Option<Rc<Plan>>>,
    /// When the question was sent whose answer proves the plan the newest.
    pub proof: watch::Sender<Option<Moment>>,
    /// When the others' work was as it is known here.
    pub others_at: Cell<Option<Moment>>,
    /// Work under way at endpoints.
    pub balance: Rc<RefCell<Balance>>,
    /// Outcomes at endpoints.
    pub health: RefCell<Health>,
    /// Endpoints that want nothing.
    pub backoff: RefCell<Backoff>,
    /// Rate limits of endpoints.
    pub limits: RefCell<Limits>,
    /// What became of contents at endpoints.
    pub contents: RefCell<Contents>,
    /// How fast engines read.
    pub reading: RefCell<Reading>,
    /// Where requests may go.
    pub places: RefCell<Places>,
    /// Endpoints that are warming up.
    pub ramp: RefCell<Ramp>,
    /// Bytes held for callers and endpoints.
    pub holdings: Arc<Holdings>,
    /// Requests sent again.
    pub budget: RefCell<Budget>,
    /// Idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Changes when a life of an endpoint has been replaced.
    pub replaced: watch::Sender<()>,
    /// Where a planned stop stands.
    pub stage: watch::Sender<Stage>,
    /// Requests that began at endpoints since the reducer was last told; kept where their number is reported.
    pub begun: RefCell<Vec<StartedRequest>>,
    /// Requests of callers under way.
    pub open_requests: Cell<u64>,
    /// The log.
    pub log: Log,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Where the replica of this instance stands.
    pub status: Arc<ControlStatus>,
}

impl<D: Dialect> Shared<D> {
    /// The state of an instance that has just started.
    pub fn new(
        dialect: D,
        options: Options,
        started: Moment,
        inputs: Sender<Event>,
        log: Log,
        status: Arc<ControlStatus>,
    ) -> Shared<D> {
        let budget = Budget::new(options.retry_window, options.retry_ratio, options.retry_extra);
        Shared {
            dialect,
            name: options.name(),
            holdings: Holdings::new(options.memory),
            places: RefCell::new(Places::new(options.regions.clone())),
            ramp: RefCell::new(Ramp::new(options.name(), started)),
            options,
            started,
            inputs,
            tickets: Tickets::default(),
            view: RefCell::default(),
            roster: RefCell::default(),
            fields: RefCell::default(),
            plan: RefCell::new(None),
            proof: watch::Sender::new(None),
            others_at: Cell::new(None),
            balance: Rc::default(),
            health: RefCell::default(),
            backoff: RefCell::default(),
            limits: RefCell::default(),
            contents: RefCell::new(Contents::new(started)),
            reading: RefCell::default(),
            budget: RefCell::new(budget),
            pool: RefCell::default(),
            replaced: watch::Sender::new(()),
            stage: watch::Sender::new(Stage::Serving),
            begun: RefCell::default(),
            open_requests: Cell::new(0),
            log,
            metrics: Metrics::default(),
            status,
        }
    }

    /// Hands an event to the reducer; one that has ended needs none.
    pub fn send_event(&self, event: Event) {
        let _ = self.inputs.send(event);
    }

    /// True where this instance holds the duties that one holds for all, by the lease as it was a moment ago.
    pub fn holds_duties(&self) -> bool {
        let until = self.status.duty_until.load(Ordering::Relaxed);
        (self.started.elapsed().as_micros() as u64) < until
    }

    /// Counts a request that began to run at an endpoint at `at`, for the organisation that holds its key.
    pub fn record_begun(&self, organisation: Option<&Arc<str>>, at: Moment) {
        let wanted = self.options.duties.as_ref().is_some_and(|duties| duties.core.usage.is_some());
        let Some(organisation) = organisation.filter(|_| wanted) else { return };
        let at = at.saturating_duration_since(self.started);
        self.begun.borrow_mut().push(StartedRequest { org: organisation.clone(), at });
    }

    /// Tells the reducer of the requests that began.
    pub fn report_begun(&self) {
        let begun = std::mem::take(&mut *self.begun.borrow_mut());
        if !begun.is_empty() {
            self.send_event(Event::RequestsStarted(begun));
        }
    }

    /// Age of the proof that the plan is the newest; `None` where there never was one.
    pub fn proof_age(&self) -> Option<Duration> {
        self.proof.borrow().map(Moment::elapsed)
    }

    /// How old the others' work is that is known here: it takes about as long to be told by them as it took to come here.
    pub fn work_age(&self) -> Duration {
        self.others_age() * 2
    }

    /// How long ago the others' work was as it is known here.
    pub fn others_age(&self) -> Duration {
        self.others_at.get().map(Moment::elapsed).unwrap_or_default()
    }

    /// When a request that lacks proof of the configuration should come back: after the rest of a start, or
    /// after the time that an election takes.
    pub fn recovery_time(&self) -> Duration {
        let recover = self.options.recovery_retry_after;
        if self.proof_age().is_some() {
            return recover;
        }
        let rest = self.options.startup_time.saturating_sub(self.started.elapsed());
        rest.max(recover / 2)
    }

    /// True where the plan is proved at most `bound` old.
    pub fn is_fresh(&self, bound: Duration) -> bool {
        self.proof_age().is_some_and(|age| age < bound)
    }

    /// True while this instance takes callers.
    pub fn is_ready(&self) -> bool {
        let serving = *self.stage.borrow() == Stage::Serving;
        serving && self.current_plan().is_some() && self.is_fresh(self.options.max_proof_age)
    }

    /// The plan in force, if one is known.
    pub fn current_plan(&self) -> Option<Rc<Plan>> {
        self.plan.borrow().clone()
    }

    /// Waits until the plan is proved the newest as of `since`, at most for `bound`.
    pub async fn wait_for_proof(&self, since: Moment, bound: Duration) -> bool {
        self.send_event(Event::ProveFreshness);
        let mut proofs = self.proof.subscribe();
        let proved = proofs.wait_for(|proof| proof.is_some_and(|proof| proof >= since));
        matches!(tokio::time::timeout(bound, proved).await, Ok(Ok(_)))
    }

    /// Applies a newer view, reading its document where that is another one.
    pub fn publish(&self, published: PublishedView) {
        self.apply_document(published.document.as_ref());
        self.apply_quarantine(&published.quarantine);
        self.apply_evacuations(&published.evacuations);
        self.ramp.borrow_mut().set_senders(published.senders().collect(), Moment::now());
        let roster = Rc::new(Roster::new(published.endpoints.iter().cloned()));
        self.balance.borrow_mut().retain(|endpoint| roster.knows(endpoint));
        self.health.borrow_mut().retain(|endpoint| roster.knows(endpoint));
        self.limits.borrow_mut().retain(roster.endpoints(), Moment::now());
        self.metrics.set_limited(self.limits.borrow().count());
        let before = self.roster.replace(roster.clone());
        if !roster.replaced().is_subset(before.replaced()) {
            self.replaced.send_replace(());
            self.report_ended(&roster);
        }
        *self.view.borrow_mut() = Rc::new(published);
        self.fields.borrow_mut().clear();
    }

    /// Returns when a later life of the same name has replaced `endpoint`: nothing runs there any more.
    pub async fn wait_replaced(&self, endpoint: &EndpointId) {
        let mut news = self.replaced.subscribe();
        while !self.is_replaced(endpoint) && news.changed().await.is_ok() {}
    }

    /// True where a later life of the same name has replaced `endpoint`.
    pub fn is_replaced(&self, endpoint: &EndpointId) -> bool {
        self.roster.borrow().replaced().contains(endpoint)
    }

    /// Holds the end of endpoints that are known to have ended now against what broke off there.
    fn report_ended(&self, roster: &Roster) {
        for findings in self.contents.borrow_mut().take_ended(roster.replaced()) {
            self.send_event(Event::Findings(findings));
        }
    }

    fn apply_quarantine(&self, quarantine: &Arc<Quarantine>) {
        let new = self.contents.borrow_mut().publish(quarantine, Moment::now());
        for content in new {
            self.log.write(What::Quarantined { content: to_hex(content), refused: REFUSED_FOR });
        }
        self.metrics.set_quarantined(self.contents.borrow().refused_count());
    }

    /// Records which halls are evacuated. The endpoints of one that is no more are cold, whatever they last said.
    fn apply_evacuations(&self, evacuations: &Arc<Evacuations>) {
        let returned = self.places.borrow_mut().set_evacuations(evacuations.clone());
        for hall in returned {
            self.ramp.borrow_mut().note_return(&hall, Moment::now());
        }
        self.metrics.set_evacuated(self.places.borrow().evacuated());
    }

    /// Takes the right to send a request to the endpoint chosen: things may have changed since the choice.
    pub fn try_reserve(&self, choice: &Choice, permit: Option<Permit>, now: Moment) -> bool {
        let taken = self.accepts_requests(choice, permit, now) && self.try_take_ramp_share(choice, now);
        if !taken {
            self.metrics.record_held_back();
        }
        taken
    }

    /// True where the endpoint chosen takes requests, as far as it and its hall are concerned.
    fn accepts_requests(&self, choice: &Choice, permit: Option<Permit>, now: Moment) -> bool {
        // A limit may have become known, or a permit have grown old, while a connection was waited for.
        let is_permitted = permit.is_some_and(|permit| permit.holds(&choice.endpoint, now));
        if !is_permitted && self.limits.borrow().rate(&choice.endpoint).is_some() {
            return false;
        }
        if self.backoff.borrow().is_blocked(&choice.endpoint, now) {
            return false;
        }
        let roster = self.roster.borrow();
        // One that is no longer known has ended; the attempt shows it.
        let Some(held) = roster.get(&choice.endpoint) else { return true };
        // The choice may be as old as the stream that goes on at the endpoint that keeps its copy.
        held.phase <= Phase::Silent && self.places.borrow().is_open(&held.hall)
    }

    /// Takes a part of this instance's share of what the endpoint chosen bears while it warms up.
    fn try_take_ramp_share(&self, choice: &Choice, now: Moment) -> bool {
        let roster = self.roster.borrow();
        let Some(held) = roster.get(&choice.endpoint) else { return true };
        let warm_up = self.current_plan().and_then(|plan| plan.services.get(&held.service)?.warm_up);
        let mut ramp = self.ramp.borrow_mut();
        let allowed = ramp.use_of(held, warm_up, &self.options.policy.slow_start, now);
        ramp.try_take(&held.endpoint, allowed, now)
    }

    /// How long this instance may send to none of the endpoints that serve `route`, as they want nothing or their rate limits
    /// are used up; `None` while it may send to one of them.
    pub fn blocked_for(&self, route: &Route) -> Option<Duration> {
        let now = Moment::now();
        let (roster, backoff, places) = (self.roster.borrow(), self.backoff.borrow(), self.places.borrow());
        let limits = self.limits.borrow();
        let endpoints = route.shares.iter().flat_map(|share| roster.of(&share.service));
        let mut soonest: Option<Moment> = None;
        for held in endpoints {
            if held.phase > Phase::Silent || !places.is_open(&held.hall) || backoff.is_leaving(&held.endpoint) {
                continue;
            }
            let retry_at = backoff.retry_at(&held.endpoint, now);
            let until = retry_at.max(limits.retry_at(&held.endpoint, now))?;
            soonest = Some(soonest.map_or(until, |soonest| soonest.min(until)));
        }
        soonest.map(|until| until.saturating_duration_since(now))
    }

    /// Records the rate limits of endpoints as all instances know them, as of `at`.
    pub fn apply_limits(&self, reports: &[LimitReport], at: Moment) {
        let mut limits = self.limits.borrow_mut();
        for report in reports {
            limits.record_report(*report, at);
        }
        self.metrics.set_limited(limits.count());
        self.fields.borrow_mut().clear();
    }

    /// Records the work of the other instances at endpoints as of `at`; `None` where it has not changed.
    pub fn apply_others(&self, others: Option<&[Load]>, at: Moment) {
        self.others_at.set(Some(at));
        let Some(others) = others else { return };
        self.balance.borrow_mut().set_others(others);
        self.update_suspects();
        self.fields.borrow_mut().clear();
    }

    /// Leaves out the endpoints that fail far more than the others of their service.
    fn update_suspects(&self) {
        if !self.options.policy.guard.suspects {
            return;
        }
        let (now, balance, roster) = (Moment::now(), self.balance.borrow(), self.roster.borrow().clone());
        let mut services: Vec<Vec<(EndpointId, Tally)>> = Vec::new();
        for endpoints in roster.services() {
            let ready = endpoints.iter().filter(|held| held.phase == Phase::Ready);
            services.push(ready.map(|held| (held.endpoint.clone(), balance.tally(&held.endpoint, now))).collect());
        }
        let suspects = services.iter().flat_map(|tallies| recent::suspects(tallies)).collect();
        for endpoint in self.health.borrow_mut().set_suspects(suspects) {
            let Tally { ended, failed } = balance.tally(&endpoint, now);
            self.metrics.record_ejection();
            self.log.write(What::Suspect { endpoint, ended, failed });
        }
    }

    fn apply_document(&self, document: Option<&Document>) {
        let Some(document) = document else { return };
        let held = self.plan.borrow().as_ref().map_or(0, |plan| plan.version);
        if document.version <= held {
            return;
        }
        match self.dialect.read_document(&document.body) {
            Ok(plan) => *self.plan.borrow_mut() = Some(Rc::new(plan)),
            // It was read before it was proposed, by an instance that may be of another version.
            Err(error) => spdlog::error!("document {} cannot be read here: {error}", document.version),
        }
    }

    /// Addresses for a caller: those of its hall, those of its region where the hall has fewer than two, or those of the
    /// regions that all routes of its host are bound to; all where there are none of these.
    pub fn entries_for(&self, query: &EntriesQuery) -> Vec<Arc<str>> {
        let view = self.view.borrow();
        let places = self.places.borrow();
        let live: Vec<&Listing> = view.entries.iter().filter(|listing| listing.takes_callers()).collect();
        let pick = |is_meant: &dyn Fn(&Listing) -> bool| -> Vec<&Listing> {
            live.iter().copied().filter(|listing| is_meant(listing)).collect()
        };
        let near = pick(&|listing| query.hall.as_deref() == Some(&*listing.hall));
        if near.len() >= MIN_NEAR_INSTANCES {
            return to_addresses(&near);
        }
        let region = query.hall.as_deref().and_then(|hall| places.region_of(hall)).map(|region| &**region);
        let region = region.or(query.region.as_deref());
        let of_region =
            pick(&|listing| region.is_some() && places.region_of(&listing.hall).map(|held| &**held) == region);
        if !of_region.is_empty() {
            return to_addresses(&of_region);
        }
        let plan = self.current_plan();
        let residency = plan.zip(query.host.as_deref()).and_then(|(plan, host)| plan.residency_of_host(host));
        let resident = pick(&|listing| residency.is_some() && places.allows(residency.as_deref(), &listing.hall));
        to_addresses([&resident, &near, &live].into_iter().find(|listings| !listings.is_empty()).unwrap_or(&live))
    }
}

fn to_addresses(listings: &[&Listing]) -> Vec<Arc<str>> {
    listings.iter().filter_map(|listing| listing.address.as_deref()).map(Arc::from).collect()
}
