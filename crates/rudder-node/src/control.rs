//! The control thread: it owns the reducer's state.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use rudder_core::{Effect, Event, PeerMessage, State, Verdict, calls};
use rudder_events::What;
use rudder_ledger::Changed;
use rudder_model::{InstanceId, RequestId};
use rudder_store::disk::Job;

use crate::{Input, Query, QueryReply, Status, endpoint::Errand, events::Log, link::Links, metrics::Metrics};

/// Time between ticks of the reducer.
const TICK: Duration = Duration::from_millis(50);
/// Ended requests whose outcome is remembered.
const OUTCOMES: usize = 10_000;

/// Where effects go.
pub(crate) struct Outlets {
    pub(crate) links: Links,
    pub(crate) disk: Option<Sender<Job>>,
    pub(crate) errands: Sender<Errand>,
    pub(crate) log: Log,
    pub(crate) metrics: Arc<Metrics>,
}

/// The control thread's own state, around the reducer's.
pub(crate) struct Control {
    state: State,
    epoch: Instant,
    inputs: Receiver<Input>,
    outlets: Outlets,
    calls: BTreeMap<RequestId, Sender<Verdict>>,
    changes: BTreeMap<u64, Sender<Option<Changed>>>,
    evacuations: BTreeMap<u64, Sender<bool>>,
    tickets: u64,
    outcomes: BTreeMap<RequestId, Arc<str>>,
    ended: VecDeque<RequestId>,
    running: bool,
    /// Whose request is being answered, and the answers so far.
    riding: Option<(InstanceId, Vec<PeerMessage>)>,
}

impl Control {
    pub(crate) fn new(state: State, epoch: Instant, inputs: Receiver<Input>, outlets: Outlets) -> Control {
        Control {
            state,
            epoch,
            inputs,
            outlets,
            calls: BTreeMap::new(),
            changes: BTreeMap::new(),
            evacuations: BTreeMap::new(),
            tickets: 0,
            outcomes: BTreeMap::new(),
            ended: VecDeque::new(),
            running: true,
            riding: None,
        }
    }

    /// Runs until the planned stop is complete or the instance is halted.
    pub(crate) fn run(mut self) {
        let mut next = Instant::now();
        while self.running {
            match self.inputs.recv_deadline(next) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {
                    self.reduce(Event::Tick);
                    next = Instant::now() + TICK;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // A flood of inputs must not keep time from advancing.
            if Instant::now() >= next {
                self.reduce(Event::Tick);
                next = Instant::now() + TICK;
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.reduce(event),
            Input::Peer(from, messages, answers) => self.take_messages(&from, messages, &answers),
            Input::Call(request, event, verdicts) => {
                self.calls.insert(request, verdicts);
                self.reduce(event);
            }
            Input::Change(change, answer) => {
                self.tickets += 1;
                self.changes.insert(self.tickets, answer);
                self.reduce(Event::Admin { ticket: self.tickets, change });
            }
            Input::Evacuate { hall, begins, answer } => {
                self.tickets += 1;
                self.evacuations.insert(self.tickets, answer);
                self.reduce(Event::Evacuate { ticket: self.tickets, hall, begins });
            }
            Input::Query(query, reply) => {
                // The asker may have gone; then nobody needs the answer.
                let _ = reply.send(self.answer(query));
            }
            Input::Halt => self.running = false,
        }
    }

    /// What the sender gets in answer rides on its own request's response, which saves a request.
    fn take_messages(&mut self, from: &InstanceId, messages: Vec<PeerMessage>, answers: &Sender<Vec<PeerMessage>>) {
        self.riding = Some((from.clone(), Vec::new()));
        for message in messages {
            self.reduce(Event::Peer { from: from.clone(), message });
        }
        let riding = self.riding.take().map(|(_, riding)| riding).unwrap_or_default();
        let _ = answers.send(riding);
    }

    fn send(&mut self, to: &InstanceId, message: PeerMessage) {
        match &mut self.riding {
            Some((from, riding)) if from == to => riding.push(message),
            _ => self.outlets.links.send(to, message),
        }
    }

    fn reduce(&mut self, event: Event) {
        let now = self.epoch.elapsed();
        let mut effects = Vec::new();
        self.state.reduce(now, event, &mut effects);
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(&to, message),
            Effect::Save { number, records } => self.save(Job::Append(number, records)),
            Effect::SaveSnapshot { number, snapshot, records } => {
                self.save(Job::Replace(number, snapshot, records));
            }
            Effect::Verdict { request, verdict } => self.pass(request, verdict),
            Effect::Admin { ticket, answer } => {
                if let Some(waiting) = self.changes.remove(&ticket) {
                    let _ = waiting.send(answer);
                }
            }
            Effect::Poll { endpoint, address, after } => {
                let _ = self.outlets.errands.send(Errand::Poll { endpoint, address, after });
            }
            Effect::Order { endpoint, address, load, fence, until } => {
                let until = self.epoch + until;
                let _ = self.outlets.errands.send(Errand::Order { endpoint, address, load, fence, until });
            }
            Effect::Log(what) => {
                self.note_outcome(&what);
                self.outlets.metrics.count(&what);
                self.outlets.log.write(what);
            }
            Effect::Evacuated { ticket, decided } => {
                if let Some(waiting) = self.evacuations.remove(&ticket) {
                    let _ = waiting.send(decided);
                }
            }
            // Documents, heartbeats, duties and rate limits come in through the gateway, which drives the reducer itself.
            // No stream of this entry may be resumed elsewhere.
            Effect::NoteOrigins(_)
            | Effect::OriginFound { .. }
            | Effect::Documented { .. }
            | Effect::Registered { .. }
            | Effect::Permitted { .. }
            | Effect::Call { .. } => {}
            Effect::Exit => self.running = false,
        }
    }

    fn save(&self, job: Job) {
        if let Some(disk) = &self.outlets.disk {
            let _ = disk.send(job);
        }
    }

    fn pass(&mut self, request: RequestId, verdict: Verdict) {
        let last = matches!(verdict, Verdict::Refuse(_) | Verdict::Stored(_) | Verdict::Release);
        let Some(waiting) = self.calls.get(&request) else { return };
        let _ = waiting.send(verdict);
        if last {
            self.calls.remove(&request);
        }
    }

    fn note_outcome(&mut self, what: &What) {
        let (request, word) = match what {
            What::Done { request, .. } => (request, Arc::from("done")),
            What::Refused { request, code, ran, .. } => {
                (request, Arc::from(format!("refused: {code:?}, ran: {ran:?}").to_lowercase()))
            }
            What::Left { request } => (request, Arc::from("caller left")),
            _ => return,
        };
        let Ok(request) = RequestId::from_str_radix(request, 16) else { return };
        // Only a caller whose answer is held back still listens after this.
        if !self.state.calls.is_open(request) {
            self.calls.remove(&request);
        }
        self.outcomes.insert(request, word);
        self.ended.push_back(request);
        if self.ended.len() > OUTCOMES {
            let oldest = self.ended.pop_front();
            oldest.and_then(|oldest| self.outcomes.remove(&oldest));
        }
    }

    fn answer(&self, query: Query) -> QueryReply {
        let view = &self.state.view;
        match query {
            Query::Entries => {
                QueryReply::Entries(view.to_entries(&self.state.options.nearest), self.state.options.entries_ttl)
            }
            Query::Models { bearer } => QueryReply::Models(calls::reachable_models(view, &bearer)),
            Query::Objects(kind, None) => {
                let objects = view.config.iter_kind(kind).map(|(name, held)| (name.to_owned(), held.clone()));
                QueryReply::Objects(objects.collect(), view.config.index)
            }
            Query::Objects(kind, Some(name)) => {
                let held = view.config.get(kind, &name).cloned();
                QueryReply::Objects(held.map(|held| (name, held)).into_iter().collect(), view.config.index)
            }
            Query::Status => QueryReply::Status(Box::new(self.to_status())),
            Query::Outcome(request) => {
                let open = self.state.calls.is_open(request).then(|| Arc::from("open"));
                QueryReply::Outcome(open.or_else(|| self.outcomes.get(&request).cloned()))
            }
        }
    }

    fn to_status(&self) -> Status {
        let now = self.epoch.elapsed();
        let state = &self.state;
        let mut status = Status {
            ready: state.is_ready(now),
            index: state.view.config.index,
            calls: state.calls.len(),
            waiting: state.homes.waiting(),
            running: state.homes.running(),
            promises: state.to_promises(),
            ..Status::default()
        };
        let Some(control) = &state.control else { return status };
        status.leads = control.replica.leads(now);
        status.term = control.replica.term();
        status.keys = control.ledger.claims.len();
        let voters = control.replica.members().values().filter(|member| member.voter);
        status.voters = voters.map(|member| member.name.to_string()).collect();
        status
    }
}
