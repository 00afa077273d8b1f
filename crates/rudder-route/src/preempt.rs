//! Preemption: only downwards, only what can be resumed, and only so often for one request.

use std::time::Duration;

use rudder_model::{Promise, RequestId};

use crate::{Decision, EndpointState, Pool, queue::Waiting, site::Running};

/// A recall without effect is repeated after this long.
const RECALL_RETRY: Duration = Duration::from_secs(1);

impl Pool {
    /// True when `running` may make room for a request of `tier`.
    pub(crate) fn may_preempt(&self, site: &EndpointState, running: &Running, tier: u8) -> bool {
        let lower = running.ask.tier > tier && running.ask.resumable && !running.ask.once;
        lower && site.engine && running.preempted < self.options.preemptions
    }

    /// Recalls one running request of a lower tier for each waiting one that found no slot.
    pub(crate) fn preempt(&mut self, now: Duration, out: &mut Vec<Decision>) {
        if self.queue.len() == 0 {
            return;
        }
        let mut wanting: Vec<&Waiting> = self.queue.iter().collect();
        wanting.sort_by_key(|waiting| (waiting.ask.tier, waiting.arrived));
        let lowest = self.sites.values().flat_map(|site| site.running.values()).map(|run| run.ask.tier).max();
        wanting.retain(|waiting| lowest.is_some_and(|tier| waiting.ask.tier < tier));
        let mut coming =
            self.sites.values().flat_map(|site| site.running.values()).filter(|run| run.recalled.is_some()).count();
        let mut victims: Vec<(RequestId, RequestId)> = Vec::new();
        for waiting in wanting {
            // Slots that earlier recalls will free serve the first in line.
            if coming > 0 {
                coming -= 1;
                continue;
            }
            let Some(victim) = self.victim_for(now, waiting, &victims) else { continue };
            victims.push((victim, waiting.ask.id));
        }
        for (victim, cause) in victims {
            self.recall(now, victim, cause, out);
        }
    }

    /// The lowest tier's latest start: least work is lost or delayed.
    fn victim_for(&self, now: Duration, waiting: &Waiting, taken: &[(RequestId, RequestId)]) -> Option<RequestId> {
        let mut best: Option<(u8, Duration, RequestId)> = None;
        for site in self.usable(now, &waiting.ask) {
            for (request, running) in &site.running {
                let free = running.recalled.is_none() && !taken.iter().any(|(victim, _)| victim == request);
                if !free || !self.may_preempt(site, running, waiting.ask.tier) {
                    continue;
                }
                let rank = (running.ask.tier, running.since, *request);
                if best.is_none_or(|held| rank > held) {
                    best = Some(rank);
                }
            }
        }
        best.map(|(_, _, request)| request)
    }

    fn recall(&mut self, now: Duration, victim: RequestId, cause: RequestId, out: &mut Vec<Decision>) {
        let Some(tier) = self.queue.get(cause).map(|waiting| waiting.ask.tier) else { return };
        let Some(endpoint) = self.granted.get(&victim) else { return };
        let Some(running) = self.sites.get_mut(endpoint).and_then(|site| site.running.get_mut(&victim)) else { return };
        let held = running.ask.tier > tier && !running.ask.once;
        assert!(self.promises.check(Promise::TierOrder, held), "a request was preempted for a lower tier");
        running.recalled = Some((now, cause));
        out.push(Decision::Recall { request: victim, entry: running.ask.entry.clone(), cause });
    }

    /// Repeats recalls that had no effect: the message may have been lost.
    pub(crate) fn repeat_recalls(&mut self, now: Duration, out: &mut Vec<Decision>) {
        for (request, running) in self.sites.values_mut().flat_map(|site| &mut site.running) {
            let Some((at, cause)) = running.recalled else { continue };
            if now < at + RECALL_RETRY {
                continue;
            }
            running.recalled = Some((now, cause));
            out.push(Decision::Recall { request: *request, entry: running.ask.entry.clone(), cause });
        }
    }
}
