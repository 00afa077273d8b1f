//! Claims on keys of work that may not be repeated.
//!
//! A claim never passes from one attempt to another: only the owner gives it back, and a key whose
//! owner is gone stays claimed. That is what keeps a late commit or a paused owner harmless.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::{Digest, InstanceId, Start};
use serde::{Deserialize, Serialize};

/// A finished key is forgotten this long after its end.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Keys held at most; past it new claims are refused rather than old ones forgotten.
pub const KEYS_HELD: usize = 500_000;

/// One attempt at a request, unique over all instances and starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The instance that attempts.
    pub owner: InstanceId,
    /// Its start.
    pub start: Start,
    /// Counts its attempts.
    pub count: u64,
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation's name and the caller's `Idempotency-Key`, joined.
    pub key: String,
    /// Digest of the request.
    pub digest: Digest,
    /// The attempt that claims.
    pub attempt: Attempt,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; the stored answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Content type.
        content: String,
        /// Body; `None` where it was too large to keep.
        body: Option<serde_bytes::ByteBuf>,
    },
    /// It may have run.
    Unknown,
}

/// How a key stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Nobody holds it.
    Free,
    /// This attempt holds it.
    Held(Attempt),
    /// Its attempt ended.
    Ended(Outcome),
    /// It was claimed with another body.
    OtherBody,
    /// Too many keys are held.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    digest: Digest,
    attempt: Attempt,
    state: State,
    ended: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Held,
    Released,
    Ended(Outcome),
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    records: BTreeMap<String, Record>,
    ends: VecDeque<(Duration, String)>,
}

impl Claims {
    /// Keys kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no key is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// How `key` stands for a request with `digest`.
    pub fn standing(&self, key: &str, digest: &Digest) -> Standing {
        let Some(record) = self.records.get(key) else { return Standing::Free };
        match &record.state {
            State::Released => Standing::Free,
            _ if record.digest != *digest => Standing::OtherBody,
            State::Held => Standing::Held(record.attempt.clone()),
            State::Ended(outcome) => Standing::Ended(outcome.clone()),
        }
    }

    /// Claims a key that is free.
    pub fn claim(&mut self, now: Duration, claim: Claim) -> Standing {
        self.forget(now);
        let late = |record: &Record| record.state == State::Released && record.attempt == claim.attempt;
        if self.records.get(&claim.key).is_some_and(late) {
            // The owner has given this attempt up already; a copy of its claim that comes late is void.
            return Standing::Free;
        }
        let standing = self.standing(&claim.key, &claim.digest);
        if standing != Standing::Free {
            return standing;
        }
        if !self.records.contains_key(&claim.key) && self.records.len() >= KEYS_HELD {
            return Standing::Full;
        }
        let record = Record { digest: claim.digest, attempt: claim.attempt.clone(), state: State::Held, ended: now };
        self.records.insert(claim.key, record);
        Standing::Held(claim.attempt)
    }

    /// Gives a claim back, if `attempt` holds it. A claim not yet seen is barred all the same.
    pub fn release(&mut self, now: Duration, key: &str, attempt: &Attempt) -> Standing {
        let Some(record) = self.records.get_mut(key) else {
            let record =
                Record { digest: Digest::default(), attempt: attempt.clone(), state: State::Released, ended: now };
            self.records.insert(key.to_owned(), record);
            self.ends.push_back((now, key.to_owned()));
            return Standing::Free;
        };
        if record.attempt == *attempt && record.state == State::Held {
            record.state = State::Released;
            record.ended = now;
            self.ends.push_back((now, key.to_owned()));
        }
        let digest = record.digest;
        self.standing(key, &digest)
    }

    /// Records how the attempt that holds `key` ended.
    pub fn finish(&mut self, now: Duration, key: &str, attempt: &Attempt, outcome: Outcome) -> Standing {
        let Some(record) = self.records.get_mut(key) else { return Standing::Free };
        if record.attempt == *attempt && record.state == State::Held {
            record.state = State::Ended(outcome);
            record.ended = now;
            self.ends.push_back((now, key.to_owned()));
        }
        let digest = record.digest;
        self.standing(key, &digest)
    }

    fn forget(&mut self, now: Duration) {
        while let Some((ended, key)) = self.ends.front() {
            if *ended + RETENTION > now {
                return;
            }
            // A key released and claimed again has a later end of its own, or none yet.
            let over = |record: &Record| record.state != State::Held && record.ended + RETENTION <= now;
            if self.records.get(key).is_some_and(over) {
                self.records.remove(key);
            }
            self.ends.pop_front();
        }
    }
}
