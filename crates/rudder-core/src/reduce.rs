//! The state of an instance and the reducer over all events.

use std::{collections::VecDeque, time::Duration};

use rudder_events::What;
use rudder_ledger::{Answer, Command, Evacuation, Findings};
use rudder_model::{EndpointId, InstanceId, Mark, Promise, Promises};
use rudder_replica::{Durable, ReplicaId};

use crate::{
    Effect, Event, Me, Options, PeerMessage, Watch,
    calls::{Calls, Context},
    clock::Clock,
    control::Control,
    duties::{self, Duties},
    hall_orders::{HallOrder, HallOrders},
    homes::Homes,
    idempotency,
    orders::Orders,
    peer::FromPool,
    permits::Permits,
    propose::{Proposals, Purpose},
    registry::{Phase, Registration, Registry},
    usage::UsageReporter,
    view::View,
    watchers::Watchers,
};

/// How long an operator's change is tried before its outcome is called unknown.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a document or an evacuation is tried before its outcome is called unknown; its sender waits no longer.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long findings are tried. What is still not in the log then has been learned again by the next end, or does not
/// come again.
const FINDINGS_TIMEOUT: Duration = Duration::from_secs(10);

/// The whole state of one instance.
#[derive(Debug)]
pub struct State {
    /// Who it is.
    pub me: Me,
    /// Its settings.
    pub options: Options,
    /// Configuration and directory in force here.
    pub view: View,
    /// Shared state, where it has a disk.
    pub control: Option<Control>,
    /// The requests of its callers.
    pub calls: Calls,
    /// The pools it decides for.
    pub homes: Homes,
    orders: Orders,
    duties: Duties,
    usage_reporter: UsageReporter,
    proposals: Proposals,
    promises: Promises,
    stopping: Option<Duration>,
    exited: bool,
    leaves: Vec<Leave>,
    /// Orders on halls that wait for proof.
    hall_orders: HallOrders,
    /// What was found since the last tick.
    findings: Findings,
    /// Those who ask here while another instance leads.
    watchers: Watchers,
    permits: Permits,
}

/// An endpoint that waits for the acknowledgement of its leave.
#[derive(Debug)]
struct Leave {
    ticket: u64,
    endpoint: EndpointId,
    until: Duration,
}

impl State {
    /// The state of an instance that starts at `now`; `disk` is what its data folder held.
    pub fn new(now: Duration, me: Me, options: Options, disk: Option<(ReplicaId, Durable)>) -> State {
        let control = disk.map(|(id, durable)| Control::new(id, &me, &options, durable, now));
        let mut view = View::default();
        view.registry = Registry::new(options.silence_timeout);
        if control.is_some() {
            view.registry.set_unscoped();
        }
        view.set_seeds(options.seeds.clone());
        view.clock = Clock::new(me.epoch);
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
            stopping: None,
            exited: false,
            leaves: Vec::new(),
            hall_orders: HallOrders::default(),
            findings: Findings::default(),
            watchers: Watchers::default(),
            permits: Permits::default(),
        }
    }

    /// Promises checked by this instance so far.
    pub fn to_promises(&self) -> Promises {
        let mut promises = self.promises.clone();
        promises.merge(&self.homes.to_promises());
        promises
    }

    /// True while this instance may start new work.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.view.is_fresh(now, self.options.freshness_bound) && self.stopping.is_none()
    }

    /// Commands on their way to the leader.
    pub fn proposals(&self) -> usize {
        self.proposals.len()
    }

    /// Requests that began here and that the log does not hold yet.
    pub fn unreported_requests(&self) -> u64 {
        self.usage_reporter.unreported_requests()
    }

    /// Handles one event. Messages of the instance to itself are handled before it returns.
    pub fn reduce(&mut self, now: Duration, event: Event, out: &mut Vec<Effect>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut effects = Vec::new();
            self.step(now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } if to == self.me.name => {
                        events.push_back(Event::Peer { from: to, message });
                    }
                    other => out.push(other),
                }
            }
        }
    }

    fn step(&mut self, now: Duration, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Peer { from, message } => self.on_peer(now, from, message, out),
            Event::Saved { number } => {
                if let Some(control) = &mut self.control {
                    control.on_saved(now, number, &self.options, out);
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
                let command = Command::Document(document);
                self.proposals.start(Purpose::Document(ticket), command, now + DOCUMENT_TIMEOUT);
            }
            Event::Evacuate { ticket, hall, begins } => {
                let until = now + DOCUMENT_TIMEOUT;
                self.hall_orders.add(HallOrder { ticket, hall, begins, arrived: now, deadline: until });
                self.view.asking.ask_leader_soon();
                self.ask(now, out);
            }
            Event::Register { ticket, registration } => self.register(now, ticket, registration, out),
            Event::Loads(loads) => self.view.set_loads(loads),
            Event::Limit(report) => self.view.limits.record_own(now, report),
            Event::AskPermit { ticket, request } => {
                self.permits.ask(now, &self.me, &self.view, (ticket, request), out);
            }
            Event::RequestsStarted(begun) => {
                if let Some(usage) = &self.options.duties.usage {
                    self.usage_reporter.note(begun, &self.view, usage);
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
            Event::ClockStepped(origin) => self.view.clock.set_own(now, origin),
            Event::CallEnded { ticket, outcome } => self.duties.on_called(now, ticket, outcome),
            Event::ProveFreshness => {
                self.view.asking.ask_leader_soon();
                self.ask(now, out);
            }
            Event::Seeds(seeds) => self.view.set_seeds(seeds),
            Event::Stop => self.stop(now, out),
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
        self.ask(now, out);
        self.end_leaves(now, out);
        self.end_hall_orders(now, out);
        self.view.registry.forget_gone(now);
        self.view.age_limits(now);
        self.permits.tick(now, out);
        self.homes.tick(now, &self.me, &self.view, &self.options, out);
        self.with_calls(now, out, Calls::tick);
        if self.view.mark_of(&self.me.name) == Mark::Stopping {
            self.stop(now, out);
        }
        self.end_stop(now, out);
    }

    /// Hands what was found since the last tick to the log.
    fn propose_findings(&mut self, now: Duration) {
        if self.findings.is_empty() {
            return;
        }
        let findings = std::mem::take(&mut self.findings);
        self.proposals.start(Purpose::Record, Command::Findings(findings), now + FINDINGS_TIMEOUT);
    }

    /// Asks the leader for news when it is time to.
    fn ask(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let replica = self.control.as_ref().map(|control| control.replica.id());
        let stopping = self.stopping.is_some();
        let leads = self.leads(now);
        self.view.asking.note_leads(&self.me.name, leads);
        self.view.ask(now, &self.me, (replica, stopping), &self.watchers, &self.options, out);
    }

    /// Asks the leader for news whether it is time to or not.
    fn ask_now(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.view.asking.ask_soon();
        self.ask(now, out);
    }

    /// Handles a heartbeat. That an endpoint leaves is acknowledged only once the leader knows it: the
    /// instances it tells then use it no more, and a lost instance cannot take the word with it.
    fn register(&mut self, now: Duration, ticket: u64, registration: Registration, out: &mut Vec<Effect>) {
        let leaves = registration.phase >= Phase::Leaving;
        let endpoint = registration.endpoint.clone();
        self.view.hear(now, registration);
        if !leaves {
            let accepted = self.view.is_fresh(now, self.options.freshness_bound);
            out.push(Effect::Registered { ticket, accepted });
            return;
        }
        self.leaves.push(Leave { ticket, endpoint, until: now + self.options.leave_timeout });
        self.ask_now(now, out);
    }

    /// Answers the endpoints whose leave the leader has confirmed, or did not in time.
    fn end_leaves(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let view = &self.view;
        self.leaves.retain(|leave| {
            let accepted = view.is_confirmed(&leave.endpoint);
            if accepted || now >= leave.until {
                out.push(Effect::Registered { ticket: leave.ticket, accepted });
                return false;
            }
            true
        });
    }

    /// Proposes the orders on halls that may count now.
    fn propose_hall_orders(&mut self) {
        let as_of = self.view.evacuations.index();
        for HallOrder { ticket, hall, begins, deadline, .. } in self.hall_orders.take_proved(self.view.proved()) {
            let command = Command::Evacuate(Evacuation { hall, begins, as_of });
            self.proposals.start(Purpose::Evacuation(ticket), command, deadline);
        }
    }

    /// Answers the orders on halls that have waited in vain for proof; asks for it again for the others.
    fn end_hall_orders(&mut self, now: Duration, out: &mut Vec<Effect>) {
        for late in self.hall_orders.take_expired(now) {
            out.push(Effect::Evacuated { ticket: late.ticket, decided: false });
        }
        if !self.hall_orders.is_empty() {
            self.view.asking.want_leader();
        }
    }

    /// Begins a planned stop: off the lists at once, still serving callers that hold an old list.
    fn stop(&mut self, now: Duration, out: &mut Vec<Effect>) {
        if self.stopping.is_none() {
            self.stopping = Some(now);
            out.push(Effect::Log(What::Stopping));
            self.ask_now(now, out);
        }
    }

    /// Ends a planned stop once the callers' lists have expired and nothing is in flight.
    fn end_stop(&mut self, now: Duration, out: &mut Vec<Effect>) {
        let Some(since) = self.stopping else { return };
        // A list handed out just before others learned of the stop is kept for as long again.
        let expired = now >= since + self.options.entries_ttl + self.options.freshness_bound;
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
            PeerMessage::Watched(watched) => {
                let learned =
                    self.view.on_watched(now, &from, *watched, &mut self.promises, (&self.me, &self.options), out);
                if learned.changed {
                    self.homes.on_view(now, &self.me, &self.view, out);
                }
                if learned.urgent {
                    self.watchers.notify(now, None, out);
                }
                self.end_leaves(now, out);
                self.propose_hall_orders();
            }
            PeerMessage::Notify => self.ask_now(now, out),
            PeerMessage::Elsewhere { leader } => {
                self.view.asking.on_elsewhere(&from, leader);
                self.proposals.retry_soon(now);
            }
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
            PeerMessage::UsageAck(taken) => self.usage_reporter.on_taken(&from, taken),
            PeerMessage::AskPermit { ticket, start, request } => {
                self.view.limits.record_received(now, request.limit);
                let answer = self.permits.answer(now, &self.me, &self.view, &self.options, &request);
                out.push(Effect::Send { to: from, message: PeerMessage::Permit { ticket, start, answer } });
            }
            PeerMessage::Permit { ticket, start, answer } => {
                if start == self.me.start {
                    self.permits.on_answer(ticket, answer, out);
                }
            }
            PeerMessage::Watch(watch) if self.may_relay(now, &from) => {
                self.answer_as_relay(now, from, *watch, out);
            }
            message => self.on_control(now, from, message, out),
        }
    }

    fn leads(&self, now: Duration) -> bool {
        self.control.as_ref().is_some_and(|control| control.replica.leads(now))
    }

    /// True where `from` may be answered from what was learned here: never the instance itself, for whom that is no news.
    fn may_relay(&self, now: Duration, from: &InstanceId) -> bool {
        *from != self.me.name && !self.leads(now) && self.view.to_source(now, &self.options).is_some()
    }

    /// Answers from what this instance, which asks the leader itself, has learned of it.
    fn answer_as_relay(&mut self, now: Duration, from: InstanceId, mut watch: Watch, out: &mut Vec<Effect>) {
        let heard = std::mem::take(&mut watch.heard);
        self.view.record_limits(now, &watch.limits);
        self.view.clock.note(now, &from, watch.clock);
        let mut news = self.watchers.note(now, &watch.listing);
        for registration in heard {
            news |= registration.phase >= Phase::Leaving;
            self.view.hear(now, registration);
        }
        if let Some(source) = self.view.to_source(now, &self.options) {
            let watched = self.watchers.answer(now, watch, 0, source);
            out.push(Effect::Send { to: from, message: PeerMessage::Watched(Box::new(watched)) });
        }
        if news {
            self.ask_now(now, out);
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

    /// Messages that only an instance with a disk can answer.
    fn on_control(&mut self, now: Duration, from: InstanceId, message: PeerMessage, out: &mut Vec<Effect>) {
        let Some(control) = &mut self.control else {
            if matches!(message, PeerMessage::Watch(_) | PeerMessage::Propose { .. }) {
                // Seeds may name an instance without a disk; it passes on whom it asks itself.
                let leader = self.view.leader().filter(|leader| **leader != from).cloned();
                out.push(Effect::Send { to: from, message: PeerMessage::Elsewhere { leader } });
            }
            return;
        };
        control.note_role(now, &self.view, &self.options, out);
        match message {
            PeerMessage::Replica(envelope) => control.on_replica(now, envelope, &self.options, out),
            PeerMessage::Founding { replica, members, ask } => {
                control.on_founding(from, replica, members.as_ref(), ask, out);
            }
            PeerMessage::Watch(watch) => {
                self.view.record_limits(now, &watch.limits);
                let known = (&mut self.view.clock, &self.view.limits);
                control.on_watch(now, from, *watch, known, out);
            }
            PeerMessage::Usage(news) if control.leads_since(now).is_some() => self.duties.on_usage(&from, *news),
            PeerMessage::Propose { ticket, start, command } => {
                control.on_propose(now, &self.me, from, (ticket, start, command), &self.options, out);
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
