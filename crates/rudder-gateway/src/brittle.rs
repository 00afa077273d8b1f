//! Endpoints that fall over if they have to reject too many requests in a second, over all instances, and say so in their
//! answers.
//!
//! Instances may not hear each other, so each keeps to a share by their number: of the slots while an endpoint may be full,
//! and of the rejections once it was.

use std::{collections::HashMap, time::Duration};

use rudder_model::EndpointId;

/// Share of the rejections that all instances together cause at most: an endpoint may be rejecting others as well.
const REJECTION_SHARE: f64 = 0.5;
/// Shortest pause after a rejection; an engine's requests take about as long.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Range of the random factor of pauses, so that instances do not return together.
const SPREAD: std::ops::Range<f64> = 0.8..1.6;

/// This instance's use of a brittle endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Requests of this instance in flight there.
    pub own: u32,
    /// Requests in flight there, as far as known.
    pub known: u32,
    /// Live instances.
    pub instances: u32,
}

/// The last answer of a brittle endpoint.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    /// Rejections in a second that it bears.
    rejections: f64,
    /// Whether it rejected the request, so that the next one is sent alone.
    rejected: bool,
}

/// Endpoints known to be brittle.
#[derive(Debug, Default)]
pub struct BrittleEndpoints {
    answers: HashMap<EndpointId, LastAnswer>,
}

impl BrittleEndpoints {
    /// Records an answer of `endpoint`, which bears so many `rejections` a second if it is brittle. Returns the pause until
    /// this instance may send to it again, if it `rejected` the request. `draw` is uniform from 0 to 1.
    pub fn record_answer(
        &mut self,
        endpoint: &EndpointId,
        rejections: Option<f64>,
        rejected: bool,
        instances: u32,
        draw: f64,
    ) -> Option<Duration> {
        let Some(rejections) = rejections else {
            self.answers.remove(endpoint);
            return None;
        };
        self.answers.insert(endpoint.clone(), LastAnswer { rejections, rejected });
        rejected.then(|| pause_after(rejections, instances, draw))
    }

    /// Whether `endpoint` is brittle.
    pub fn is_brittle(&self, endpoint: &str) -> bool {
        self.answers.contains_key(endpoint)
    }

    /// Rejections in a second that `endpoint` bears, if it is brittle.
    pub fn rejections(&self, endpoint: &str) -> Option<f64> {
        self.answers.get(endpoint).map(|answer| answer.rejections)
    }

    /// Whether one more request may be sent to `endpoint` without the risk of a rejection. An instance may use its share of
    /// the slots, and more of them while each instance could send one that the others do not know of yet.
    pub fn allows(&self, endpoint: &str, used: Use) -> bool {
        let Some(answer) = self.answers.get(endpoint) else { return true };
        if answer.rejected {
            return used.own == 0;
        }
        let share = (used.slots / used.instances.max(1)).max(1);
        used.own < share || used.known + used.instances <= used.slots
    }

    /// Drops endpoints that are not `known` any more.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.answers.retain(|endpoint, _| known(endpoint));
    }
}

/// The pause after which `instances` that each cause one rejection at a time stay within what an endpoint bears.
fn pause_after(rejections: f64, instances: u32, draw: f64) -> Duration {
    let seconds = f64::from(instances.max(1)) / (rejections * REJECTION_SHARE).max(f64::MIN_POSITIVE);
    let spread = SPREAD.start + draw * (SPREAD.end - SPREAD.start);
    let pause = Duration::try_from_secs_f64(seconds * spread).unwrap_or(MAX_PAUSE);
    pause.clamp(MIN_PAUSE, MAX_PAUSE)
}
