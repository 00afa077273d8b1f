//! Calls of the holder of a duty to the receiver that the settings name.
//!
//! The lease is checked once the connection is open, right before the call is written, so that a process that was
//! paused does not make calls on an expired lease.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use rudder_clock::Moment;
use rudder_core::{CallOutcome, DutyCall, Event, duties::Fence};
use rudder_events::What;

use crate::{Dialect, options::Duties, shared::Shared, upstream};

/// Timeout for connecting to the receiver.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for an answer. A call without an answer may still take effect: reports are idempotent, and a scaling
/// order is superseded by one with a higher fence.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Largest number of characters of an answer that are logged.
const MAX_LOGGED_CHARS: usize = 120;
/// Largest answer body in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A call to make for the reducer.
#[derive(Clone, Debug)]
pub struct DutyTask {
    /// The reducer's ticket for it.
    pub ticket: u64,
    /// Its fencing token.
    pub fence: Fence,
    /// Time since the events that it reports.
    pub age: Duration,
    /// The call.
    pub call: DutyCall,
}

/// The outcome of a call, and the status and beginning of the receiver's answer for the log.
struct CallResult {
    outcome: CallOutcome,
    answer: String,
}

impl CallResult {
    fn without_answer(outcome: CallOutcome) -> CallResult {
        CallResult { outcome, answer: String::new() }
    }
}

/// Makes a call and reports its outcome to the reducer.
pub async fn run<D: Dialect>(shared: Rc<Shared<D>>, task: DutyTask) {
    let began = Moment::now();
    let CallResult { outcome, answer } = match &shared.options.duties {
        Some(duties) => send(&shared, duties, &task).await,
        None => CallResult::without_answer(CallOutcome::Lapsed),
    };
    shared.metrics.record_duty(task.call.kind(), outcome);
    shared.log.write(What::DutyCalled {
        duty: task.call.kind().to_owned(),
        subject: task.call.subject(),
        fence: task.fence,
        outcome: format!("{outcome:?}").to_lowercase(),
        said: answer,
        took_ms: began.elapsed().as_millis() as u64,
        age_ms: task.age.as_millis() as u64,
    });
    shared.send_event(Event::CallEnded { ticket: task.ticket, outcome });
}

async fn send<D: Dialect>(shared: &Shared<D>, duties: &Duties, task: &DutyTask) -> CallResult {
    let request = shared.dialect.write_duty(duties, task.fence, &task.call);
    let origin = shared.options.listeners.origin();
    let Ok(mut connection) = upstream::connect(origin, &duties.receiver.to_string(), CONNECT_TIMEOUT).await else {
        return CallResult::without_answer(CallOutcome::Unknown);
    };
    if !shared.holds_duties() {
        return CallResult::without_answer(CallOutcome::Lapsed);
    }
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange(&mut connection, request)).await;
    match answer {
        Ok(Some((status, body))) => {
            let text = String::from_utf8_lossy(&body);
            let summary = format!("{} {}", status.as_u16(), text.chars().take(MAX_LOGGED_CHARS).collect::<String>());
            CallResult { outcome: shared.dialect.read_duty(&task.call, status, &body), answer: summary }
        }
        Ok(None) | Err(_) => CallResult::without_answer(CallOutcome::Unknown),
    }
}

async fn exchange(connection: &mut upstream::Connection, request: Request<Full<Bytes>>) -> Option<(StatusCode, Bytes)> {
    let (parts, body) = connection.send(request).await.ok()?.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.ok()?;
    Some((parts.status, body.to_bytes()))
}
