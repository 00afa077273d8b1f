//! Forwards streams of server-sent events, and resumes them at another endpoint where the route allows it.
//!
//! Only complete events of a resumable stream are forwarded, so that the next endpoint can resume after the last one. What
//! it repeats of the events that the caller has is dropped.
//! Long, fast streams have their memory copied to another endpoint while they run. That endpoint resumes the stream
//! when the first one terminates, also on routes that allow one run, since it continues the same run. A stream that
//! breaks off and cannot be resumed closes its caller's connection, so that it does not look complete. So does a stream that
//! ends with its connection if its endpoint has ended too.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use rudder_clock::{Moment, sleep_until, timeout_at};
use rudder_events::{StreamEnd, What};
use rudder_model::Ran;
use rudder_route::condition::FirstEvent;
use tokio::sync::mpsc;

use crate::{
    Dialect,
    body::{AnswerBody, Part},
    buffers::Reservation,
    call::{self, Call, EndpointAnswer, HopAnswer, Progress, ResumePoint},
    choose::Choice,
    condition::OutputMeter,
    dialect::AnswerHead,
    health::Outcome,
    link_probe,
    metrics::{PauseMeter, RequestOutcome},
    shared::Shared,
    upstream::is_framed,
};

/// Parts of a stream that may be queued for a slow caller.
const MAX_QUEUED_PARTS: usize = 8;
/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Largest event. Bytes beyond it that complete none are no answer.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a byte stream into complete events and counts them.
#[derive(Debug, Default)]
pub struct Events {
    pending: BytesMut,
    /// Bytes at the start of `pending` that hold no end of an event.
    searched: usize,
    /// Complete events that are passed on so far, over all endpoints.
    pub count: u64,
    /// Id of the last complete event that has one.
    pub last: Option<u64>,
    /// Complete events whose id does not rise over the one before, including those that are dropped.
    pub repeated: u64,
    /// The caller has the events up to this id, which are dropped.
    had: Option<u64>,
    /// The current source repeats: its last event is one before `had`.
    repeats: bool,
}

impl Events {
    /// Begins the events of a source that goes on after the event with id `last`. Those up to it are dropped from now on.
    pub fn resume_after(&mut self, last: Option<u64>) {
        self.had = last;
        self.repeats = false;
    }

    /// Appends bytes and returns the events that they complete, without those that the caller has.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let first = self.searched.saturating_sub(EVENT_END.len());
        let Some(end) = find_last_end(&self.pending[first..]) else {
            self.searched = self.pending.len();
            return Bytes::new();
        };
        let whole = self.pending.split_to(first + end).freeze();
        self.searched = self.pending.len();
        if self.had.is_none() {
            split_events(&whole).for_each(|event| self.count_event(event_id(event)));
            return whole;
        }
        let mut kept = BytesMut::with_capacity(whole.len());
        for event in split_events(&whole) {
            let id = event_id(event);
            if self.is_had(id) {
                self.repeated += 1;
                continue;
            }
            self.count_event(id);
            kept.extend_from_slice(event);
        }
        kept.freeze()
    }

    fn count_event(&mut self, id: Option<u64>) {
        self.count += 1;
        self.repeated += u64::from(id.is_some() && id <= self.last);
        self.last = id.or(self.last);
    }

    /// Whether the caller has an event. One without an id belongs to the one before it.
    fn is_had(&mut self, id: Option<u64>) -> bool {
        if id.is_some() {
            self.repeats = id < self.had;
        }
        self.repeats || (id.is_some() && id == self.had)
    }

    /// Bytes of the incomplete event at the end.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Returns whether the incomplete event at the end is larger than any event.
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Discards the incomplete event at the end.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }
}

fn find_last_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(at + EVENT_END.len())
}

fn split_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let at = rest.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let (event, after) = rest.split_at(at + EVENT_END.len());
        rest = after;
        Some(event)
    })
}

/// Reads the `id` field of an event, if it is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// How an endpoint's part of a stream ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The connection to the endpoint broke.
    Interrupted,
    /// The endpoint stayed silent past the timeout; a retry has been taken.
    Unresponsive,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlineExceeded,
}

/// Where a stream, or a part of it, comes from.
#[derive(Debug)]
pub enum Source {
    /// An endpoint.
    Endpoint(Box<EndpointAnswer>),
    /// Another instance, to which the request was passed.
    Instance(Box<HopAnswer>),
}

impl From<EndpointAnswer> for Source {
    fn from(answer: EndpointAnswer) -> Source {
        Source::Endpoint(Box::new(answer))
    }
}

impl From<HopAnswer> for Source {
    fn from(answer: HopAnswer) -> Source {
        Source::Instance(Box::new(answer))
    }
}

impl Source {
    /// The endpoint, unless it is another instance.
    fn choice(&self) -> Option<&Choice> {
        match self {
            Source::Endpoint(answer) => Some(&answer.choice),
            Source::Instance(_) => None,
        }
    }

    fn response(&self) -> &Response<Incoming> {
        match self {
            Source::Endpoint(answer) => &answer.response,
            Source::Instance(answer) => &answer.response,
        }
    }
}

/// Starts forwarding a stream; the response has the head of the first answer.
pub fn start<D: Dialect>(
    shared: &Rc<Shared<D>>,
    call: Call,
    mut progress: Progress,
    source: Source,
) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    let mut response = Response::new(AnswerBody::Parts(receiver));
    *response.status_mut() = source.response().status();
    *response.headers_mut() = source.response().headers().clone();
    call::strip_hop_headers(response.headers_mut());
    let bound = source.choice().and_then(|choice| call::origin::bind_version(&call, &mut progress, choice));
    if let Some(software) = bound {
        call::hop::write_software(response.headers_mut(), &software);
    }
    let shared = shared.clone();
    shared.open_requests.set(shared.open_requests.get() + 1);
    tokio::task::spawn_local(async move {
        let mut relay = Relay {
            shared: &shared,
            call,
            progress,
            events: Events::default(),
            sender,
            first_byte: None,
            pauses: PauseMeter::default(),
            framed: true,
        };
        relay.run(source).await;
        drop(relay);
        shared.open_requests.set(shared.open_requests.get() - 1);
    });
    response
}

/// Forwards one stream from its endpoints to its caller.
struct Relay<'a, D> {
    shared: &'a Rc<Shared<D>>,
    call: Call,
    progress: Progress,
    events: Events,
    sender: mpsc::Sender<Part>,
    first_byte: Option<Moment>,
    pauses: PauseMeter,
    /// The end of the part that is forwarded is marked otherwise than by the end of its connection.
    framed: bool,
}

impl<D: Dialect> Relay<'_, D> {
    async fn run(&mut self, source: Source) {
        let mut source = source;
        loop {
            let events_before = self.events.count;
            let (choice, place, end) = match source {
                Source::Endpoint(answer) => {
                    let choice = answer.choice.clone();
                    let end = self.relay(*answer).await;
                    (Some(choice.clone()), choice.endpoint, end)
                }
                Source::Instance(answer) => {
                    let instance = answer.instance.clone();
                    (None, instance, self.relay_hop(*answer).await)
                }
            };
            let why = match &end {
                End::Complete => {
                    call::record_answered(self.shared, &self.call);
                    self.log_answered(&place);
                    // An error means that the caller has left.
                    let _ = self.sender.send(Part::End).await;
                    return;
                }
                End::CallerLeft => {
                    self.record_end(RequestOutcome::CallerLeft);
                    return self.log_cut(&place, "the caller left");
                }
                End::DeadlineExceeded => "time ran out",
                End::Interrupted if choice.is_none() => "the other instance broke off",
                End::Interrupted => "the endpoint broke off",
                End::Unresponsive => "the endpoint is silent",
            };
            self.log_cut(&place, why);
            let broken = choice.filter(|_| matches!(end, End::Interrupted));
            let ended = match &broken {
                Some(choice) => self.record_if_terminated(choice, self.events.count - events_before).await,
                None => false,
            };
            let has_copy = broken.is_some() && self.has_copy();
            let next = match end {
                End::Interrupted if has_copy && ended => self.resume_from_copy().await.map(Source::from),
                End::Interrupted if has_copy => None,
                End::Interrupted => self.resume(false).await,
                End::Unresponsive => self.resume(true).await,
                _ => None,
            };
            let Some(next) = next else {
                // A sender that is dropped without an end breaks the body off.
                return self.record_end(RequestOutcome::Interrupted);
            };
            source = next;
        }
    }

    /// Forwards what one endpoint sends until its part of the stream ends.
    async fn relay(&mut self, answer: EndpointAnswer) -> End {
        let EndpointAnswer { choice, response, head, connection, mut flight, sent, resumed } = answer;
        self.framed = is_framed(&response);
        let mut body = response.into_body();
        let whole_events = self.call.route.resumable || self.has_copy() || resumed;
        if whole_events {
            self.skip_had();
        }
        // A stream that cannot be resumed is not abandoned.
        let may_abandon = self.shared.options.policy.guard.impatience && self.call.route.resumable;
        let timeout = may_abandon.then(|| self.call.silence_timeout());
        let mut silent_at = timeout.map(|timeout| Moment::now() + timeout);
        let mut began = resumed;
        let mut meter = self.output_meter(&choice);
        let shared = self.shared.clone();
        let mut replaced = std::pin::pin!(shared.wait_replaced(&choice.endpoint));
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return End::CallerLeft,
                () = &mut replaced => return End::Interrupted,
                () = sleep_until(silent_at.unwrap_or(self.call.deadline)), if silent_at.is_some() => {
                    silent_at = None;
                    if call::take_retry_for_silent(self.shared, &self.call, &mut self.progress) {
                        call::record_outcome(self.shared, &choice.endpoint, Outcome::Failed);
                        return End::Unresponsive;
                    }
                    continue;
                }
                () = sleep_until(self.call.deadline) => return End::DeadlineExceeded,
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else {
                call::record_outcome(self.shared, &choice.endpoint, Outcome::Failed);
                link_probe::record_lost(self.shared, &choice.endpoint);
                return End::Interrupted;
            };
            let Ok(bytes) = frame.into_data() else { continue };
            silent_at = timeout.map(|timeout| Moment::now() + timeout);
            self.shared.reachability.borrow_mut().record_heard(Moment::now());
            if self.first_byte.is_none() {
                let now = Moment::now();
                self.record_first_byte(now);
                let tokens = choice.queued + choice.unread;
                let after = now.saturating_duration_since(sent);
                self.shared.prefill.borrow_mut().note(&choice.service, tokens, after);
                if let Some(predicted) = choice.predicted {
                    self.shared.metrics.record_prediction(predicted, after);
                }
                if !resumed {
                    self.record_first(&choice, &head, after);
                }
            }
            if let Some(pause) = self.pauses.record(Moment::now()) {
                self.shared.metrics.record_pause(pause);
            }
            flight.note_read();
            if !began {
                // The first output shows that the engine has begun to run the request.
                began = true;
                call::record_begun(self.shared, &self.call, &mut self.progress, Moment::now());
            }
            let counted = self.events.count;
            let whole = self.events.push(&bytes);
            let read = Moment::now();
            if let Some(meter) = &mut meter {
                meter.record(self.events.count - counted, read);
            }
            if self.events.is_oversized() {
                call::record_outcome(self.shared, &choice.endpoint, Outcome::Failed);
                return End::Interrupted;
            }
            let part = if whole_events { whole } else { bytes };
            if part.is_empty() {
                continue;
            }
            let (software, endpoint) = (choice.software(), Some(&choice.endpoint));
            call::origin::record_version(self.shared, &self.call, &mut self.progress, software, endpoint);
            if let Err(end) = self.forward(&part).await {
                return end;
            }
            if let Some(meter) = &mut meter {
                meter.record_forward(read, Moment::now());
            }
        }
        // Without framing, a connection that closes before the first event is all that shows that the endpoint ended.
        let is_empty = !self.framed && self.events.count == 0 && self.call.last_event.is_none();
        let is_cut = is_empty || !self.events.pending().is_empty();
        if is_cut || !(self.framed || call::confirms_end(self.shared, &choice).await) {
            call::record_outcome(self.shared, &choice.endpoint, Outcome::Failed);
            return End::Interrupted;
        }
        call::record_outcome(self.shared, &choice.endpoint, Outcome::Good);
        call::return_connection(self.shared, &choice.endpoint, connection, head.keep_alive);
        End::Complete
    }

    /// Forwards what another instance sends until its part of the stream ends.
    async fn relay_hop(&mut self, answer: HopAnswer) -> End {
        let software = answer.software.clone();
        let (mut body, _connection) = answer.into_body();
        self.framed = true;
        if self.call.route.resumable {
            self.skip_had();
        }
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return End::CallerLeft,
                () = sleep_until(self.call.deadline) => return End::DeadlineExceeded,
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else { return End::Interrupted };
            let Ok(bytes) = frame.into_data() else { continue };
            let now = Moment::now();
            if self.first_byte.is_none() {
                self.record_first_byte(now);
            }
            if let Some(pause) = self.pauses.record(now) {
                self.shared.metrics.record_pause(pause);
            }
            let whole = self.events.push(&bytes);
            let part = if self.call.route.resumable { whole } else { bytes };
            if part.is_empty() {
                continue;
            }
            if let Some(software) = &software {
                call::origin::record_version(self.shared, &self.call, &mut self.progress, software.clone(), None);
            }
            if let Err(end) = self.forward(&part).await {
                return end;
            }
        }
        if self.events.pending().is_empty() { End::Complete } else { End::Interrupted }
    }

    /// Drops what the next source repeats of the events that the caller has. Only whole events can be dropped.
    fn skip_had(&mut self) {
        self.events.resume_after(self.last_event());
    }

    /// Id of the last event that the caller has.
    fn last_event(&self) -> Option<u64> {
        self.events.last.or(self.call.last_event)
    }

    fn record_first_byte(&mut self, now: Moment) {
        self.first_byte = Some(now);
        let after = now.saturating_duration_since(self.call.arrived);
        self.shared.metrics.record_first_byte(&self.call.route, after);
    }

    /// The meter of the output speed of an engine of a contended service.
    fn output_meter(&self, choice: &Choice) -> Option<OutputMeter> {
        let engine = self.shared.current_plan()?.services.get(&choice.service)?.engine?;
        let is_learned = self.shared.learns_speeds(&choice.service);
        is_learned.then(|| OutputMeter::start(&self.shared.conditions, &choice.endpoint, engine.event_tokens))
    }

    /// Records the first event of a stream, if its engine had a free slot and no larger prompts of others to process.
    fn record_first(&self, choice: &Choice, head: &AnswerHead, after: Duration) {
        let plan = self.shared.current_plan();
        let engine = plan.as_ref().and_then(|plan| plan.services.get(&choice.service)?.engine);
        let Some(engine) = engine.filter(|_| self.shared.learns_speeds(&choice.service)) else { return };
        let is_waiting = head.load.is_some_and(|load| load.waiting > 0) || choice.calls >= engine.slots;
        if is_waiting || choice.ahead > choice.unread || choice.fetch_from.is_some() {
            return;
        }
        let first = FirstEvent { tokens: choice.ahead + choice.unread, output: engine.event_tokens, after };
        self.shared.conditions.borrow_mut().record_first(&choice.endpoint, &choice.service, first, Moment::now());
    }

    /// Sends a part to the caller. Waits, without reading from the endpoint, while too many bytes are buffered.
    async fn forward(&mut self, part: &[u8]) -> Result<(), End> {
        let mut hold = Reservation::new(&self.shared.buffers);
        let fits = tokio::select! {
            fits = timeout_at(self.call.deadline, hold.grow(part.len())) => fits,
            () = self.sender.closed() => return Err(End::CallerLeft),
        };
        fits.map_err(|_| End::DeadlineExceeded)?.map_err(|_| End::DeadlineExceeded)?;
        let bytes = hold.keep(part.to_vec(), Some(self.call.cut.clone()));
        self.sender.send(Part::Data(bytes)).await.map_err(|_| End::CallerLeft)
    }

    /// Returns true if the stream depends on a copy of its memory at another endpoint. A resumable stream does not.
    fn has_copy(&self) -> bool {
        let kept = self.progress.last_choice.as_ref().is_some_and(|last| last.backup.is_some());
        kept && !self.call.route.resumable
    }

    async fn record_if_terminated(&mut self, choice: &Choice, events: u64) -> bool {
        call::record_if_terminated(self.shared, &self.call, &mut self.progress, choice, events).await
    }

    async fn resume_from_copy(&mut self) -> Option<EndpointAnswer> {
        self.events.drop_pending();
        let last = self.events.last?;
        let next = call::resume_from_copy(self.shared, &self.call, &mut self.progress, last);
        timeout_at(self.call.deadline, next).await.ok()?
    }

    /// Resumes the stream at another endpoint, after the last complete event.
    async fn resume(&mut self, retry_taken: bool) -> Option<Source> {
        if !self.call.route.resumable {
            return None;
        }
        if !self.may_go_on().await {
            return None;
        }
        let mut has_retry = retry_taken || call::take_retry(self.shared, &self.call, &mut self.progress);
        while has_retry {
            link_probe::wait_verdict(self.shared).await;
            self.events.drop_pending();
            let last = self.last_event();
            if call::must_pass_on(self.shared, &self.call, &self.progress) {
                has_retry = match self.pass_on(last).await? {
                    Ok(answer) if answer.response.status().is_success() => return Some(Source::from(answer)),
                    Ok(_) => false,
                    Err(failure) => call::take_retry_after(self.shared, &self.call, &mut self.progress, &failure),
                };
                continue;
            }
            let resume = ResumePoint { last_event: last, from_copy: false };
            let attempted = call::attempt(self.shared, &self.call, &mut self.progress, resume);
            has_retry = match timeout_at(self.call.deadline, attempted).await.ok()?.ok()? {
                Ok(answer)
                    if answer.response.status().is_success() && !answer.head.not_run && !answer.head.misdirected =>
                {
                    self.shared.metrics.record_resume();
                    return Some(Source::from(answer));
                }
                Ok(answer) => self.take_retry_after_not_run(&answer),
                Err(failure) => call::take_retry_after(self.shared, &self.call, &mut self.progress, &failure),
            };
        }
        None
    }

    /// Finds the version that began the stream if the first events came through another instance. Returns false if it is
    /// one of several and unknown.
    async fn may_go_on(&mut self) -> bool {
        if self.events.count == 0 || self.progress.has_version() {
            return true;
        }
        call::origin::find_version(self.shared, &self.call, &mut self.progress).await
    }

    /// Passes the rest of the stream to another instance; `None` if time runs out.
    async fn pass_on(&mut self, last_event: Option<u64>) -> Option<Result<HopAnswer, call::Failure>> {
        let passed = call::pass_on(self.shared, &self.call, &mut self.progress, last_event);
        timeout_at(self.call.deadline, passed).await.ok()
    }

    /// Takes a retry after an endpoint that did not resume the stream.
    fn take_retry_after_not_run(&mut self, answer: &EndpointAnswer) -> bool {
        call::log_failure(self.shared, &self.call, &self.progress, &answer.choice, "it does not go on", Ran::No);
        // An attempt that did not run does not count towards the route's bound.
        self.progress.possible_runs = self.progress.possible_runs.saturating_sub(1);
        call::take_retry(self.shared, &self.call, &mut self.progress)
    }

    fn record_end(&self, ending: RequestOutcome) {
        self.shared.metrics.record_end(Some(&self.call.route), ending, self.call.arrived.elapsed());
    }

    fn log_answered(&self, endpoint: &rudder_model::EndpointId) {
        let since = |at: Moment| at.saturating_duration_since(self.call.arrived).as_millis() as u64;
        self.record_end(RequestOutcome::Answered);
        let Events { count: events, repeated, .. } = self.events;
        let end = StreamEnd { events, repeated, framed: self.framed };
        self.shared.metrics.record_stream_end(end);
        self.shared.log.write(What::CallAnswered {
            request: self.call.id.clone(),
            endpoint: endpoint.clone(),
            status: 200,
            first_ms: self.first_byte.map_or(0, since),
            total_ms: since(Moment::now()),
            pause_ms: self.pauses.longest.as_millis() as u64,
            stream: Some(end),
        });
    }

    fn log_cut(&self, endpoint: &rudder_model::EndpointId, why: &str) {
        self.shared.log.write(What::CallCut {
            request: self.call.id.clone(),
            endpoint: endpoint.clone(),
            why: why.to_owned(),
            events: self.events.count,
            pause_ms: self.pauses.longest_at(Moment::now()).as_millis() as u64,
            repeated: self.events.repeated,
        });
    }
}
