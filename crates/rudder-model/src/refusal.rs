//! Refusals: what a caller is told when its request is not answered.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
    /// It ran, and its answer is gone or incomplete.
    Yes,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The body or a header cannot be read.
    BadRequest,
    /// No organisation has this key.
    WrongKey,
    /// The body exceeds the bound.
    TooLarge,
    /// No class of this name, or none assigned.
    UnknownClass,
    /// No endpoint serves this model or service.
    UnknownModel,
    /// No selector lets this class reach an endpoint of this model.
    NotAllowed,
    /// A limit of the organisation within its class was reached.
    Limited,
    /// The expected wait passes the class's patience.
    Overloaded,
    /// The class's patience passed while the request waited.
    WaitedOut,
    /// The instance cannot prove that its configuration is fresh.
    Stale,
    /// The instance is stopping.
    Stopping,
    /// The endpoint failed and no other could take the request.
    EndpointFailed,
    /// The key of work that may not be repeated is missing.
    KeyMissing,
    /// The key was used with another body.
    KeyReused,
    /// The request with this key is still running.
    KeyRunning,
    /// The instance that ran the request with this key is gone.
    OwnerGone,
    /// The key's request ran but its answer is not kept.
    AnswerGone,
    /// The claim on the key could not be committed in time.
    ClaimFailed,
}

impl RefusalCode {
    /// The HTTP status that carries this code.
    pub fn status(self) -> u16 {
        match self {
            RefusalCode::BadRequest | RefusalCode::KeyMissing | RefusalCode::UnknownClass => 400,
            RefusalCode::WrongKey => 401,
            RefusalCode::NotAllowed => 403,
            RefusalCode::UnknownModel => 404,
            RefusalCode::KeyRunning | RefusalCode::OwnerGone | RefusalCode::AnswerGone => 409,
            RefusalCode::TooLarge => 413,
            RefusalCode::KeyReused => 422,
            RefusalCode::Limited | RefusalCode::Overloaded => 429,
            RefusalCode::EndpointFailed => 502,
            RefusalCode::WaitedOut | RefusalCode::Stale | RefusalCode::Stopping | RefusalCode::ClaimFailed => 503,
        }
    }
}

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// One sentence for people.
    pub text: String,
    /// How long to wait before asking again; `None` when asking again cannot help.
    pub retry: Option<Duration>,
    /// Whether the request ran.
    pub ran: Ran,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, text: impl Into<String>, retry: Option<Duration>) -> Self {
        Refusal { code, text: text.into(), retry, ran: Ran::No }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: RefusalCode, text: impl Into<String>) -> Self {
        Refusal { code, text: text.into(), retry: None, ran: Ran::Unknown }
    }
}

/// The time that a `Retry-After` of seconds, fractions included, names; `None` where it names none or one that has passed. More
/// than can be counted is as long as can be.
pub fn read_retry_after(value: &str) -> Option<Duration> {
    let seconds: f64 = value.trim().parse().ok()?;
    if !seconds.is_finite() || seconds <= 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
