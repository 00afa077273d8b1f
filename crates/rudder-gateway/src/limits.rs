//! Rate limits that endpoints name in their answers: so many requests a second from all instances together.

use std::collections::HashMap;

use rudder_clock::Moment;
use rudder_model::{EndpointId, RequestRate};

use crate::dialect::LimitNotice;

/// The last that is known of an endpoint's limit.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The limit; `None` where it has ended.
    rate: Option<RequestRate>,
    /// When the endpoint named it, or named none any more.
    at: Moment,
}

/// The limits of all endpoints.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<EndpointId, Known>,
}

impl Limits {
    /// Records what an answer says of the limit of `endpoint`, to a request sent at `sent`. True where the limit is another
    /// than before.
    pub fn record_answer(&mut self, endpoint: &EndpointId, notice: LimitNotice, sent: Moment, now: Moment) -> bool {
        let before = self.known.get(endpoint).copied();
        let latest = match notice {
            LimitNotice::Limited(rate) => Known { rate: Some(rate), at: now },
            // Answers pass each other: one that was made before the limit was named does not end it.
            LimitNotice::Unlimited if before.is_some_and(|known| known.at < sent) => Known { rate: None, at: sent },
            LimitNotice::Unlimited | LimitNotice::Unknown => return false,
        };
        self.known.insert(endpoint.clone(), latest);
        before.and_then(|known| known.rate) != latest.rate
    }

    /// The limit of `endpoint`, where it has one.
    pub fn rate(&self, endpoint: &str) -> Option<RequestRate> {
        self.known.get(endpoint)?.rate
    }

    /// Drops endpoints that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.known.retain(|endpoint, _| known(endpoint));
    }
}
