//! Streams of events: passed on as they come, taken up at another endpoint where that is allowed.
//!
//! Of a stream that can be resumed only whole events are passed on, so that the next endpoint goes on
//! after the last whole one. Long quick streams have their memory copied to another endpoint while they run,
//! which goes on when the first one ends, also where the route allows one run: it is the same run. A stream that
//! breaks off and cannot be resumed ends its caller's connection: it must not look complete.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt as _;
use rudder_clock::{Moment, sleep_until, timeout_at};
use rudder_events::What;
use rudder_model::Ran;
use tokio::sync::mpsc;

use crate::{
    Dialect,
    body::{AnswerBody, Broken},
    buffers::Reservation,
    call::{self, Call, Leg, Progress, Resume},
    choose::Choice,
    health::Outcome,
    metrics::{Ending, PauseMeter},
    shared::Shared,
};

/// Parts of a stream that wait for a slow caller.
const WAITING: usize = 8;
/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Splits what comes into whole events and counts them.
#[derive(Debug, Default)]
pub struct Events {
    pending: BytesMut,
    /// Whole events so far, over all endpoints.
    pub count: u64,
    /// Id of the last whole event.
    pub last: Option<u64>,
}

impl Events {
    /// Adds bytes and returns the whole events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = find_last_end(&self.pending) else { return Bytes::new() };
        let whole = self.pending.split_to(end).freeze();
        for event in split_events(&whole) {
            self.count += 1;
            self.last = id_of(event).or(self.last);
        }
        whole
    }

    /// Bytes of an event that is not whole.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Forgets an event that will not become whole.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
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

/// The id that an event names.
fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// How one endpoint's part of a stream ended.
enum End {
    /// Whole.
    Whole,
    /// Broken off by the endpoint.
    Broken,
    /// Nothing came for long; the right to another attempt is taken.
    Silent,
    /// The caller left.
    Left,
    /// Time ran out.
    Late,
}

/// Starts passing a stream on; the answer keeps the head of its first endpoint.
pub fn start<D: Dialect>(shared: &Rc<Shared<D>>, call: Call, progress: Progress, leg: Leg) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(WAITING);
    let mut answer = Response::new(AnswerBody::Parts(receiver));
    *answer.status_mut() = leg.response.status();
    *answer.headers_mut() = leg.response.headers().clone();
    call::strip_hop_headers(answer.headers_mut());
    let shared = shared.clone();
    shared.open.set(shared.open.get() + 1);
    tokio::task::spawn_local(async move {
        let mut pump = Pump {
            shared: &shared,
            call,
            progress,
            events: Events::default(),
            sender,
            first: None,
            pauses: PauseMeter::default(),
        };
        pump.run(leg).await;
        drop(pump);
        shared.open.set(shared.open.get() - 1);
    });
    answer
}

struct Pump<'a, D> {
    shared: &'a Rc<Shared<D>>,
    call: Call,
    progress: Progress,
    events: Events,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    first: Option<Moment>,
    pauses: PauseMeter,
}

impl<D: Dialect> Pump<'_, D> {
    async fn run(&mut self, leg: Leg) {
        let mut leg = leg;
        loop {
            let choice = leg.choice.clone();
            let end = self.pass(leg).await;
            let why = match &end {
                End::Whole => {
                    call::note_answered(self.shared, &self.call);
                    return self.log_answered(&choice.endpoint);
                }
                End::Left => {
                    self.note_end(Ending::Left);
                    return self.log_cut(&choice.endpoint, "the caller left");
                }
                End::Late => "time ran out",
                End::Broken => "the endpoint broke off",
                End::Silent => "the endpoint is silent",
            };
            self.log_cut(&choice.endpoint, why);
            let ended = matches!(end, End::Broken) && self.note_if_ended(&choice).await;
            let next = match end {
                End::Broken if self.has_copy() && ended => self.go_on_from_copy().await,
                End::Broken if self.has_copy() => None,
                End::Broken => self.resume(false).await,
                End::Silent => self.resume(true).await,
                _ => None,
            };
            let Some(next) = next else {
                self.note_end(Ending::Cut);
                let _ = self.sender.send(Err(Broken)).await;
                return;
            };
            leg = next;
        }
    }

    /// Passes on what one endpoint sends.
    async fn pass(&mut self, leg: Leg) -> End {
        let Leg { choice, response, head, connection, mut flight, sent, continued } = leg;
        let mut body = response.into_body();
        let whole_events = self.call.route.resumable || self.has_copy();
        // A stream that cannot be resumed is waited for to its end.
        let impatient = self.shared.options.policy.guard.impatience && self.call.route.resumable;
        let patience = impatient.then(|| self.call.patience());
        let mut impatient = patience.map(|patience| Moment::now() + patience);
        let mut began = continued;
        let shared = self.shared.clone();
        let mut replaced = std::pin::pin!(shared.wait_replaced(&choice.endpoint));
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.sender.closed() => return End::Left,
                () = &mut replaced => return End::Broken,
                () = sleep_until(impatient.unwrap_or(self.call.until)), if impatient.is_some() => {
                    impatient = None;
                    if call::may_give_up(self.shared, &self.call, &mut self.progress) {
                        call::note_outcome(self.shared, &choice.endpoint, Outcome::Failed);
                        return End::Silent;
                    }
                    continue;
                }
                () = sleep_until(self.call.until) => return End::Late,
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else {
                call::note_outcome(self.shared, &choice.endpoint, Outcome::Failed);
                return End::Broken;
            };
            let Ok(bytes) = frame.into_data() else { continue };
            impatient = patience.map(|patience| Moment::now() + patience);
            if self.first.is_none() {
                let now = Moment::now();
                self.first = Some(now);
                let tokens = choice.ahead + choice.unread;
                let after = now.saturating_duration_since(sent);
                self.shared.metrics.note_first(&self.call.route, now.saturating_duration_since(self.call.arrived));
                self.shared.prefill.borrow_mut().note(&choice.service, tokens, after);
            }
            if let Some(pause) = self.pauses.note(Moment::now()) {
                self.shared.metrics.note_pause(pause);
            }
            flight.note_read();
            if !began {
                // An engine begins a request with its first output.
                began = true;
                call::note_begun(self.shared, &self.call, &mut self.progress, Moment::now());
            }
            let whole = self.events.push(&bytes);
            let part = if whole_events { whole } else { bytes };
            if part.is_empty() {
                continue;
            }
            if let Err(end) = self.hand_on(&part).await {
                return end;
            }
        }
        if !self.events.pending().is_empty() {
            call::note_outcome(self.shared, &choice.endpoint, Outcome::Failed);
            return End::Broken;
        }
        call::note_outcome(self.shared, &choice.endpoint, Outcome::Good);
        call::put_back(self.shared, &choice.endpoint, connection, head.keep_alive);
        End::Whole
    }

    /// Hands a part on to the caller. While too much is held for others, the endpoint is read no further.
    async fn hand_on(&mut self, part: &[u8]) -> Result<(), End> {
        let mut hold = Reservation::new(&self.shared.buffers);
        let fits = tokio::select! {
            fits = timeout_at(self.call.until, hold.grow(part.len())) => fits,
            () = self.sender.closed() => return Err(End::Left),
        };
        fits.map_err(|_| End::Late)?.map_err(|_| End::Late)?;
        self.sender.send(Ok(hold.keep(part.to_vec(), Some(self.call.cut.clone())))).await.map_err(|_| End::Left)
    }

    /// True where another endpoint keeps a copy of the stream's memory. A resumable stream goes on anywhere.
    fn has_copy(&self) -> bool {
        let kept = self.progress.last.as_ref().is_some_and(|last| last.backup.is_some());
        kept && !self.call.route.resumable
    }

    async fn note_if_ended(&mut self, choice: &Choice) -> bool {
        call::note_if_ended(self.shared, &self.call, &mut self.progress, choice).await
    }

    async fn go_on_from_copy(&mut self) -> Option<Leg> {
        self.events.drop_pending();
        let last = self.events.last?;
        let next = call::go_on_from_copy(self.shared, &self.call, &mut self.progress, last);
        timeout_at(self.call.until, next).await.ok()?
    }

    /// Takes the stream up at another endpoint, after the last whole event.
    async fn resume(&mut self, taken: bool) -> Option<Leg> {
        if !self.call.route.resumable {
            return None;
        }
        let mut right = taken || call::may_send_again(self.shared, &self.call, &mut self.progress);
        while right {
            self.events.drop_pending();
            let last = self.events.last.or(self.call.last_event);
            let from = Resume { last_event: last, copy: false };
            let attempted = call::attempt(self.shared, &self.call, &mut self.progress, from);
            right = match timeout_at(self.call.until, attempted).await.ok()?.ok()? {
                Ok(leg) if leg.response.status().is_success() && !leg.head.not_run && !leg.head.misdirected => {
                    self.shared.metrics.note_resume();
                    return Some(leg);
                }
                Ok(leg) => self.may_resume_after(&leg),
                Err(failure) => call::may_go_on(self.shared, &self.call, &mut self.progress, &failure),
            };
        }
        None
    }

    /// Takes the right to try another endpoint after one that did not take the stream up.
    fn may_resume_after(&mut self, leg: &Leg) -> bool {
        call::log_failure(self.shared, &self.call, &self.progress, &leg.choice, "it does not go on", Ran::No);
        // What did not run needs no new right of the route.
        self.progress.ran = self.progress.ran.saturating_sub(1);
        call::may_send_again(self.shared, &self.call, &mut self.progress)
    }

    fn note_end(&self, ending: Ending) {
        self.shared.metrics.note_end(Some(&self.call.route), ending, self.call.arrived.elapsed());
    }

    fn log_answered(&self, endpoint: &rudder_model::EndpointId) {
        let since = |at: Moment| at.saturating_duration_since(self.call.arrived).as_millis() as u64;
        self.note_end(Ending::Answered);
        self.shared.log.write(What::CallAnswered {
            request: self.call.id.clone(),
            endpoint: endpoint.clone(),
            status: 200,
            first_ms: self.first.map_or(0, since),
            total_ms: since(Moment::now()),
            pause_ms: self.pauses.longest.as_millis() as u64,
        });
    }

    fn log_cut(&self, endpoint: &rudder_model::EndpointId, why: &str) {
        self.shared.log.write(What::CallCut {
            request: self.call.id.clone(),
            endpoint: endpoint.clone(),
            why: why.to_owned(),
            events: self.events.count,
        });
    }
}
