//! Preemption: only of lower tiers, only of resumable requests, and a bounded number of times for each request.

use std::time::Duration;

use rudder_model::{Promise, RequestId};

use crate::{Decision, EndpointState, Pool, endpoint::Running, queue::Waiting};

/// A recall is repeated if the request still runs after this time.
const RECALL_RETRY: Duration = Duration::from_secs(1);

impl Pool {
    /// True if `running` may be preempted for a request of `tier`.
    pub(crate) fn is_preemptible(&self, state: &EndpointState, running: &Running, tier: u8) -> bool {
        let lower = running.request.tier > tier && running.request.resumable && !running.request.once;
        lower && state.engine && running.preemptions < self.options.max_preemptions
    }

    /// Recalls one running request of a lower tier for each queued one that found no slot.
    pub(crate) fn preempt(&mut self, now: Duration, out: &mut Vec<Decision>) {
        if self.queue.len() == 0 {
            return;
        }
        let mut candidates: Vec<&Waiting> = self.queue.iter().collect();
        candidates.sort_by_key(|waiting| (waiting.request.tier, waiting.arrived));
        let lowest = self.endpoints.values().flat_map(|state| state.running.values()).map(|run| run.request.tier).max();
        candidates.retain(|waiting| lowest.is_some_and(|tier| waiting.request.tier < tier));
        let mut pending = self
            .endpoints
            .values()
            .flat_map(|state| state.running.values())
            .filter(|run| run.recalled.is_some())
            .count();
        let mut victims: Vec<(RequestId, RequestId)> = Vec::new();
        for waiting in candidates {
            // The slots of pending recalls go to the first candidates.
            if pending > 0 {
                pending -= 1;
                continue;
            }
            let Some(victim) = self.find_victim(now, waiting, &victims) else { continue };
            victims.push((victim, waiting.request.id));
        }
        for (victim, cause) in victims {
            self.recall(now, victim, cause, out);
        }
    }

    /// The request of the lowest tier that started last, so that the least work is delayed. Those in `chosen` are
    /// skipped.
    fn find_victim(&self, now: Duration, waiting: &Waiting, chosen: &[(RequestId, RequestId)]) -> Option<RequestId> {
        let mut best: Option<(u8, Duration, RequestId)> = None;
        for state in self.usable(now, &waiting.request) {
            for (id, running) in &state.running {
                let available = running.recalled.is_none() && !chosen.iter().any(|(victim, _)| victim == id);
                if !available || !self.is_preemptible(state, running, waiting.request.tier) {
                    continue;
                }
                let rank = (running.request.tier, running.started, *id);
                if best.is_none_or(|highest| rank > highest) {
                    best = Some(rank);
                }
            }
        }
        best.map(|(_, _, id)| id)
    }

    fn recall(&mut self, now: Duration, victim: RequestId, cause: RequestId, out: &mut Vec<Decision>) {
        let Some(tier) = self.queue.get(cause).map(|waiting| waiting.request.tier) else { return };
        let Some(endpoint) = self.grants.get(&victim) else { return };
        let Some(running) = self.endpoints.get_mut(endpoint).and_then(|state| state.running.get_mut(&victim)) else {
            return;
        };
        let held = running.request.tier > tier && !running.request.once;
        assert!(self.promises.check(Promise::TierOrder, held), "a request was preempted for a lower tier");
        running.recalled = Some((now, cause));
        out.push(Decision::Recall { request: victim, entry: running.request.entry.clone(), cause });
    }

    /// Repeats recalls that had no effect, as their message may have been lost.
    pub(crate) fn repeat_recalls(&mut self, now: Duration, out: &mut Vec<Decision>) {
        for (id, running) in self.endpoints.values_mut().flat_map(|state| &mut state.running) {
            let Some((at, cause)) = running.recalled else { continue };
            if now < at + RECALL_RETRY {
                continue;
            }
            running.recalled = Some((now, cause));
            out.push(Decision::Recall { request: *id, entry: running.request.entry.clone(), cause });
        }
    }
}
