//! The state of an instance and its reducer.

use std::{collections::VecDeque, time::Duration};

use rudder_events::What;
use rudder_ledger::{Answer, Command, Evacuation, Findings};
use rudder_model::{InstanceId, Mark, Promise, Promises};
use rudder_replica::{Durable, ReplicaId};

use crate::{
    Effect, Event, Me, Options, PeerMessage, WatchRequest,
    calls::{Calls, Context},
    clock::Clock,
    control::Control,
    departures::departure_of,
    duties::{self, Duties},
    hall_orders::{HallOrder, HallOrders},
    homes::Homes,
    idempotency,
    orders::Orders,
    origins::{OriginQuestion, Origins, Surroundings},
    peer::{FromPool, PackedUpdate},
    permits::{LoanId, Permits},
    propose::{Proposals, Purpose},
    registry::{Phase, Registration, Registry},
    transfer::Transfers,
    upstream::Upstream,
    usage::UsageReporter,
    view::View,
    watchers::Watchers,
};

/// Time after which the outcome of an operator's change is reported as unknown.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which the outcome of a document or an evacuation order is reported as unknown.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which findings are proposed. Losing them is safe: a content that keeps failing is found again.
const FINDINGS_TIMEOUT: Duration = Duration::from_secs(10);

/// The complete state of one instance.
#[derive(Debug)]
pub struct State {
    /// Identity of this instance.
    pub me: Me,
    /// Settings.
    pub options: Options,
    /// Configuration and directory in force.
    pub view: View,
    /// Replicated state, if this instance has a disk.
    pub control: Option<Control>,
    /// Requests of the callers connected to this instance.
    pub calls: Calls,
    /// The pools scheduled by this instance.
    pub homes: Homes,
    orders: Orders,
    duties: Duties,
    usage_reporter: UsageReporter,
    proposals: Proposals,
    promises: Promises,
    /// Time of the start.
    started: Duration,
    /// Time at which the planned stop began.
    stopping: Option<Duration>,
    exited: bool,
    /// Evacuation orders that wait for a freshness proof.
    hall_orders: HallOrders,
    /// Findings since the last tick.
    findings: Findings,
    /// Watchers of this instance while it acts as a relay.
    watchers: Watchers,
    transfers: Transfers,
    permits: Permits,
    origins: Origins,
    /// Log index of the versions in service as of which the holders of streams were told.
    told_releases: u64,
}

impl State {
    /// Creates the state of an instance that starts at `now`; `disk` is the content of its data folder.
    pub fn new(now: Duration, me: Me, options: Options, disk: Option<(ReplicaId, Durable)>) -> State {
        let control = disk.map(|(id, durable)| Control::new(id, &me, &options, durable, now));
        let mut view = View::default();
        view.registry = Registry::new(options.silence_timeout);
        if control.is_some() {
            view.registry.set_unscoped();
        }
        view.upstream = Upstream::new(&me.name);
        view.set_seeds(options.seeds.clone());
        view.clock = Clock::new(me.epoch);
        let transfers = Transfers::new(options.transfer_rate);
        let watchers = Watchers::new(options.transfer_rate);
        State {
            me,
            options,
            view,
            control,
            calls: Calls::default(),
            homes: Homes::default(),
            orders: Orders::default(),
            duties: Duties::default(),
            usage_reporter: UsageReporter::default(),
            proposals: Proposals::default(),
            promises: Promises::default(),
            started: now,
            stopping: None,
            exited: false,
            hall_orders: HallOrders::default(),
            findings: Findings::default(),
            watchers,
            transfers,
            permits: Permits::default(),
            origins: Origins::default(),
            told_releases: 0,
        }
    }

    /// Returns the promises checked by this instance so far.
    pub fn to_promises(&self) -> Promises {
        let mut promises = self.promises.clone();
        promises.merge(&self.homes.to_promises());
        promises
    }

    /// Returns whether this instance may start new work.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.view.is_fresh(now, self.options.max_proof_age) && self.stopping.is_none()
    }

    /// Returns the number of pending proposals.
    pub fn proposals(&self) -> usize {
        self.proposals.len()
    }

    /// Returns the number of requests started here that are not known to be committed.
    pub fn unreported_requests(&self) -> u64 {
        self.usage_reporter.unreported_requests()
    }

    /// Handles one event, including any messages that the instance sends to itself as a result.
    pub fn reduce(&mut self, now: Duration, event: Event, out: &mut Vec<Effect>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut effects = Vec::new();
            self.handle(now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } if to == self.me.name => {
                        events.push_back(Event::Peer { from: to, message });
                    }
                    Effect::Send { to, message } => {
                        let message = self.transfers.prepare(now, message);
                        out.push(Effect::Send { to, message });
                    }
                    other => out.push(other),
                }
            }
        }
    }

    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Peer { from, message } => self.on_peer(now, from, message, out),
            Event::Saved { number } => {
                if let Some(control) = &mut self.control {
                    control.on_saved(now, number, (&self.me, &self.options), out);
                }
            }
            Event::DiskFull => {
                if let Some(control) = &mut self.control {
                    control.replica.on_disk_full(now);
                    out.push(Effect::Log(What::DiskFull));
                }
            }
            Event::Arrive(arrival) => self.with_calls(now, out, |calls, context| calls.arrive(context, *arrival)),
            Event::FirstOutput { request, after } => {
                self.with_calls(now, out, |calls, context| calls.on_first(context, request, after));
            }
            Event::Ended { request, ended } => {
                self.with_calls(now, out, |calls, context| calls.on_ended(context, request, ended));
            }
            Event::Admin { ticket, change } => {
                let command = Command::Change(change);
                self.proposals.start(Purpose::Admin(ticket), command, now + ADMIN_TIMEOUT);
            }
            Event::Polled { endpoint, report } => {
                self.orders.on_polled(&endpoint, report.as_ref());
                self.homes.on_polled(now, &endpoint, report.as_ref(), &self.view, out);
            }
            Event::Ordered { endpoint, accepted } => self.orders.on_ordered(&endpoint, accepted),
            Event::PutDocument { ticket, document } => {
                self.proposals.start_document(ticket, document, self.view.document.as_ref(), now + DOCUMENT_TIMEOUT);
            }
            Event::Evacuate { ticket, hall, begins } => {
                let until = now + DOCUMENT_TIMEOUT;
                self.hall_orders.add(HallOrder { ticket, hall, begins, arrived: now, deadline: until });
                self.view.upstream.request_proof();
                self.send_watch_request(now, out);
            }
            Event::Register { ticket, registration } => self.register(now, ticket, registration, out),
            Event::Loads(loads) => self.view.set_loads(loads),
            Event::Work(work) => self.view.set_work(work),
            Event::Limit(report) => self.view.limits.record_own(now, report),
            Event::AskPermit { ticket, request } => {
                self.permits.ask(now, &self.me, &self.view, (ticket, request), out);
            }
            Event::ReturnLoan(loan) => self.permits.return_loan(&self.me, &self.view, loan, out),
            Event::StreamBegun { origin, route, endpoint } => {
                if let (Some(endpoint), Some(software)) = (endpoint, origin.software.clone()) {
                    self.origins.record_endpoint(now, origin.stream, endpoint, software);
                }
                self.with_origins(|origins, around| origins.record_begun(now, (origin, route), around, out));
            }
            Event::OriginsNoted(origins) => self.origins.restore(now, origins),
            Event::NotesLost { count, resumed } => out.push(Effect::Log(What::NotesLost { count, resumed })),
            Event::AskOrigin { ticket, stream, route } => {
                let question = OriginQuestion { ticket, stream, route };
                self.with_origins(|origins, around| origins.ask(now, question, around, out));
            }
            Event::RequestsStarted(started) => {
                if let Some(usage) = &self.options.duties.usage {
                    self.usage_reporter.record(started, &self.view, usage);
                }
            }
            Event::Findings(findings) => self.findings.append(findings),
            Event::Services(states) => {
                let time = self.view.clock.at(now);
                if let Some(control) = &mut self.control {
                    let context = duties::Context { now, time, me: &self.me, control, options: &self.options, out };
                    self.duties.on_services(context, states);
                }
            }
            Event::ClockStepped(origin) => self.view.clock.set_local(now, origin),
            Event::CallEnded { ticket, outcome } => self.duties.on_called(now, ticket, outcome),
            Event::ProveFreshness => {
                self.view.upstream.request_proof();
                self.send_watch_request(now, out);
            }
            Event::Seeds(seeds) => self.view.set_seeds(seeds),
            Event::Stop => self.begin_stop(now, out),
        }
        self.send_proposals(now, out);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let leads = self.leads(now);
        self.view.clock.tick(now, leads);
        if let Some(control) = &mut self.control {
            control.tick(now, &self.me, &self.view, &self.options, out);
            self.orders.tick(now, control, &self.options, out);
            let time = self.view.clock.at(now);
            self.duties.tick(duties::Context { now, time, me: &self.me, control, options: &self.options, out });
        }
        if let Some(usage) = &self.options.duties.usage {
            self.usage_reporter.tick(now, &self.me, &self.view, usage, out);
        }
        self.propose_findings(now);
        self.watchers.age(now, self.options.liveness_timeout);
        self.watchers.tick(now, out);
        self.send_watch_request(now, out);
        self.answer_hall_orders(now, out);
        self.view.registry.forget_gone(now);
        self.view.expire_unconfirmed(now, self.options.silence_timeout);
        self.view.prune_limits(now);
        self.permits.tick(now, &self.me, &self.view, out);
        self.transfers.tick(now, out);
        self.with_origins(|origins, around| origins.tick(now, around, out));
        if self.told_releases != self.view.releases.index() {
            self.told_releases = self.view.releases.index();
            self.with_origins(|origins, around| origins.on_releases(around, out));
        }
        self.homes.tick(now, &self.me, &self.view, &self.options, out);
        self.with_calls(now, out, Calls::tick);
        if self.view.mark_of(&self.me.name) == Mark::Stopping {
            self.begin_stop(now, out);
        }
        self.finish_stop(now, out);
    }

    fn with_origins(&mut self, handle: impl FnOnce(&mut Origins, Surroundings)) {
        let around = Surroundings { me: &self.me, view: &self.view, lease: self.options.liveness_timeout };
        handle(&mut self.origins, around);
    }

    /// Proposes the findings since the last tick.
    fn propose_findings(&mut self, now: Duration) {
        if self.findings.is_empty() {
            return;
        }
        let findings = std::mem::take(&mut self.findings);
        self.proposals.start(Purpose::Record, Command::Findings(findings), now + FINDINGS_TIMEOUT);
    }

    /// Sends a watch request if one is due.
    fn send_watch_request(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let replica = self.control.as_ref().map(|control| control.replica.id());
        let stopping = self.stopping.is_some();
        let leads = self.leads(now);
        self.view.upstream.set_leading(&self.me.name, leads);
        self.view.send_watch_request(now, &self.me, (replica, stopping), &self.watchers, &self.options, out);
    }

    /// Sends a watch request immediately.
    fn watch_now(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.view.upstream.request_soon();
        self.send_watch_request(now, out);
    }

    /// Returns whether heartbeats of endpoints are accepted. An instance that starts holds them until it has found the
    /// leader: endpoints that are refused ask others at once, and all of these may just have started as well.
    fn accepts_heartbeats(&self, now: Duration) -> bool {
        let bound = self.options.max_proof_age;
        self.view.is_fresh(now, bound) || now < self.started + bound
    }

    /// Handles a heartbeat. A departure is acknowledged only once it is committed, as its endpoint may not repeat it: it
    /// must survive the loss of this instance and of the leader.
    fn register(&mut self, now: Duration, ticket: u64, registration: Registration, out: &mut Vec<Effect>) {
        let departure = (registration.phase >= Phase::Leaving).then(|| departure_of(&registration));
        self.view.record_heartbeat(now, registration);
        let Some(departure) = departure else {
            let accepted = self.accepts_heartbeats(now);
            out.push(Effect::Registered { ticket, accepted });
            return;
        };
        let until = now + self.options.leave_timeout;
        self.proposals.start(Purpose::Departure(ticket), Command::Depart(vec![departure]), until);
        self.watch_now(now, out);
    }

    /// Proposes the evacuation orders that are now covered by a freshness proof.
    fn propose_hall_orders(&mut self) {
        let as_of = self.view.evacuations.index();
        for HallOrder { ticket, hall, begins, deadline, .. } in self.hall_orders.take_proved(self.view.proved()) {
            let command = Command::Evacuate(Evacuation { hall, begins, as_of });
            self.proposals.start(Purpose::Evacuation(ticket), command, deadline);
        }
    }

    /// Answers evacuation orders that have timed out and requests a proof from the leader for the others.
    fn answer_hall_orders(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for expired in self.hall_orders.take_expired(now) {
            out.push(Effect::Evacuated { ticket: expired.ticket, decided: false });
        }
        if !self.hall_orders.is_empty() {
            self.view.upstream.prefer_leader();
        }
    }

    /// Begins a planned stop: the instance leaves the lists of entries but keeps serving callers with an old list.
    fn begin_stop(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            out.push(Effect::Log(What::Stopping));
            self.watch_now(now, out);
        }
    }

    /// Completes a planned stop once the callers' lists have expired and nothing is in flight.
    fn finish_stop(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(since) = self.stopping else { return };
        // Other instances may hand out lists with this entry until their own view expires.
        let expired = now >= since + self.options.entries_ttl + self.options.max_proof_age;
        let idle = self.calls.is_empty() && self.proposals.len() == 0;
        if !expired || !idle || self.exited {
            return;
        }
        self.exited = true;
        self.promises.check(Promise::PlannedStop, self.calls.is_empty());
        out.push(Effect::Log(What::Stopped));
        out.push(Effect::Exit);
    }

    fn on_peer(&mut self, now: Duration, from: InstanceId, message: PeerMessage, out: &mut Vec<Effect>) {
        match message {
            PeerMessage::WatchReply(reply) => {
                let changes =
                    self.view.on_watch_reply(now, &from, *reply, &mut self.promises, (&self.me, &self.options), out);
                if changes.changed {
                    self.homes.on_view(now, &self.me, &self.view, out);
                }
                if changes.urgent {
                    self.watchers.notify(now, None, out);
                }
                self.propose_hall_orders();
                if self.view.upstream.wants_proof() {
                    self.send_watch_request(now, out);
                }
            }
            PeerMessage::StreamsBegun(origins) => {
                self.origins.record_told(now, origins, self.control.is_some(), out);
            }
            PeerMessage::AskOrigin { ticket, start, stream } => {
                let software = self.origins.software_of(stream);
                out.push(Effect::Send { to: from, message: PeerMessage::Origin { ticket, start, software } });
            }
            PeerMessage::Origin { ticket, start, software } => {
                if start == self.me.start {
                    self.with_origins(|origins, around| origins.on_answer(now, (ticket, software), around, out));
                }
            }
            PeerMessage::Document(update) => self.on_document(now, &update, out),
            PeerMessage::Transfer(transfer) => {
                if let Some((offerer, message)) = self.transfers.receive(now, &from, transfer, out) {
                    self.on_peer(now, offerer, message, out);
                }
            }
            PeerMessage::Notify => self.watch_now(now, out),
            PeerMessage::Redirect { leader } => {
                self.view.upstream.on_redirect(&from, leader);
                self.proposals.retry_soon(now);
            }
            PeerMessage::Defer { after } => self.view.upstream.on_deferred(&from, now + after),
            PeerMessage::Proposed { ticket, start, answer } => {
                if start == self.me.start {
                    self.on_proposed(now, ticket, answer, out);
                }
            }
            PeerMessage::Attempt { key, attempt } => {
                self.with_calls(now, out, |calls, context| idempotency::on_attempt(calls, context, key, attempt));
            }
            PeerMessage::ToPool { hall, model, message } => {
                let context = (&self.view, &self.options);
                self.homes.on_message(now, &from, &(hall, model), message, context, out);
            }
            PeerMessage::Resync { hall, model } => {
                self.with_calls(now, out, |calls, context| calls.resync(context, from, &(hall, model)));
            }
            PeerMessage::FromPool { request, message } => self.on_pool(now, &from, request, message, out),
            PeerMessage::UsageAck(ack) => self.usage_reporter.on_ack(&from, ack),
            PeerMessage::AskPermit { ticket, start, request } => {
                self.view.limits.record_received(now, request.limit);
                let loan = LoanId { borrower: from.clone(), start, ticket };
                let answer = self.permits.answer(now, &self.me, (&self.view, &self.options), loan, &request);
                out.push(Effect::Send { to: from, message: PeerMessage::Permit { ticket, start, answer } });
            }
            PeerMessage::Permit { ticket, start, answer } => {
                if start == self.me.start {
                    self.permits.on_answer(ticket, answer, out);
                }
            }
            PeerMessage::ReturnLoan { start, loan } => self.permits.on_return(now, &self.view, (from, start), &loan),
            PeerMessage::WatchRequest(watch) if self.can_relay_to(now, &from) => {
                self.reply_as_relay(now, &from, *watch, out);
            }
            message => self.on_control(now, from, message, out),
        }
    }

    /// Applies a document that came apart from a reply. The next reply proves that it is the newest.
    fn on_document(&mut self, now: Duration, update: &PackedUpdate, out: &mut Vec<Effect>) {
        let Some(update) = update.to_update() else { return };
        if self.view.apply_document(&update, &mut self.promises, out) {
            self.watchers.notify(now, None, out);
        }
        self.watch_now(now, out);
    }

    fn leads(&self, now: Duration) -> bool {
        self.control.as_ref().is_some_and(|control| control.replica.leads(now))
    }

    /// Returns whether `from` may be answered from this instance's view. Its own requests need the leader's reply.
    fn can_relay_to(&self, now: Duration, from: &InstanceId) -> bool {
        *from != self.me.name && !self.leads(now) && self.view.relay_source(now, &self.options).is_some()
    }

    /// Replies to a watcher from this instance's view.
    fn reply_as_relay(&mut self, now: Duration, from: &InstanceId, mut watch: WatchRequest, out: &mut Vec<Effect>) {
        if let Some(after) = self.watchers.defer(now, &watch) {
            out.push(Effect::Send { to: from.clone(), message: PeerMessage::Defer { after } });
            return;
        }
        let heartbeats = std::mem::take(&mut watch.heartbeats);
        self.view.record_limits(now, &watch.limits);
        self.view.clock.record_reading(now, from, watch.clock);
        let mut changed = self.watchers.record(now, &watch.listing);
        for registration in heartbeats {
            changed |= registration.phase >= Phase::Leaving;
            self.view.record_heartbeat(now, registration);
        }
        if let Some(source) = self.view.relay_source(now, &self.options) {
            self.watchers.reply(now, watch, 0, source, out);
        }
        if changed {
            self.watch_now(now, out);
        }
    }

    fn on_pool(
        &mut self,
        now: Duration,
        from: &InstanceId,
        request: rudder_model::RequestId,
        message: FromPool,
        out: &mut Vec<Effect>,
    ) {
        self.with_calls(now, out, |calls, context| calls.on_pool(context, from, request, message));
    }

    /// Handles messages that only an instance with a disk can answer.
    fn on_control(&mut self, now: Duration, from: InstanceId, message: PeerMessage, out: &mut Vec<Effect>) {
        let Some(control) = &mut self.control else {
            if matches!(message, PeerMessage::WatchRequest(_) | PeerMessage::Propose { .. }) {
                // The seeds may include instances without a disk, which redirect to the leader.
                let leader = self.view.leader().filter(|leader| **leader != from).cloned();
                out.push(Effect::Send { to: from, message: PeerMessage::Redirect { leader } });
            }
            return;
        };
        control.update_role(now, &self.view, &self.options, out);
        match message {
            PeerMessage::Replica(envelope) => control.on_replica(now, envelope, (&self.me, &self.options), out),
            PeerMessage::Founding { replica, members, ask } => {
                control.on_founding(from, replica, members.as_ref(), ask, out);
            }
            PeerMessage::WatchRequest(watch) => {
                self.view.record_limits(now, &watch.limits);
                control.on_watch(now, from, *watch, (&mut self.view, &self.options), out);
            }
            PeerMessage::Usage(update) if control.leads_since(now).is_some() => self.duties.on_usage(&from, *update),
            PeerMessage::Propose { ticket, start, command } => {
                let known = (&self.view, &self.options);
                control.on_propose(now, &self.me, from, (ticket, start, command), known, out);
            }
            _ => {}
        }
    }

    fn on_proposed(&mut self, now: Duration, ticket: u64, answer: Answer, out: &mut Vec<Effect>) {
        let Some((purpose, answer)) = self.proposals.end(ticket, answer) else { return };
        match (purpose, answer) {
            (Purpose::Document(ticket), Answer::Documented(version)) => {
                out.push(Effect::Documented { ticket, version: Some(version) });
            }
            (Purpose::Evacuation(ticket), Answer::Evacuated(_)) => {
                out.push(Effect::Evacuated { ticket, decided: true });
            }
            (Purpose::Departure(ticket), Answer::Departed(_)) => {
                out.push(Effect::Registered { ticket, accepted: true });
            }
            (Purpose::Admin(ticket), Answer::Changed(changed)) => {
                out.push(Effect::Admin { ticket, answer: Some(changed) });
            }
            (purpose, Answer::Claimed(standing)) => {
                self.with_calls(now, out, |calls, context| calls.on_answer(context, &purpose, Some(standing)));
            }
            _ => {}
        }
    }

    fn send_proposals(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let ended = self.proposals.send(now, &self.me, &self.view, out);
        for purpose in ended {
            match purpose {
                Purpose::Admin(ticket) => out.push(Effect::Admin { ticket, answer: None }),
                Purpose::Document(ticket) => out.push(Effect::Documented { ticket, version: None }),
                Purpose::Evacuation(ticket) => out.push(Effect::Evacuated { ticket, decided: false }),
                Purpose::Departure(ticket) => out.push(Effect::Registered { ticket, accepted: false }),
                purpose => self.with_calls(now, out, |calls, context| calls.on_answer(context, &purpose, None)),
            }
        }
    }

    fn with_calls(&mut self, now: Duration, out: &mut Vec<Effect>, act: impl FnOnce(&mut Calls, &mut Context)) {
        let mut context = Context {
            now,
            me: &self.me,
            options: &self.options,
            view: &self.view,
            proposals: &mut self.proposals,
            promises: &mut self.promises,
            out,
        };
        act(&mut self.calls, &mut context);
    }
}
