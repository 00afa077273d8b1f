//! Admission control: refuses requests on arrival or while they are queued.

use std::time::Duration;

use rudder_model::{Refusal, RefusalCode, RequestId};

use crate::{Decision, Pool, SlotRequest, options::Order, queue::Waiting};

/// Shortest retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry delay of a refusal for overload.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

impl Pool {
    /// Expected wait of a new request: the queued work of its own and higher tiers, spread over the slots it can
    /// reach. Lower tiers do not count, so they never cause a refusal.
    pub fn expected_wait(&self, now: Duration, request: &SlotRequest) -> Duration {
        let slots: u32 = self.usable(now, request).map(|state| state.slots).sum();
        if slots == 0 {
            return Duration::MAX;
        }
        let free = self.usable(now, request).any(|state| state.inflight() < state.slots);
        let queued = self.queued_work(request.tier);
        if free && queued == 0.0 {
            return Duration::ZERO;
        }
        let running = self.running_work(request);
        Duration::from_secs_f64((queued + running) / f64::from(slots))
    }

    /// Queued work at `tier` and above, in seconds of slot time.
    fn queued_work(&self, tier: u8) -> f64 {
        let tiered = self.options.order == Order::Tiered;
        let counts = self.queue.classes.iter().filter(|(_, queue)| !tiered || queue.tier <= tier);
        counts.map(|(class, queue)| queue.count as f64 * self.estimates.slot_time(class)).sum()
    }

    /// Expected time until one of the occupied slots is released, in seconds, assuming that each request is halfway
    /// through its slot time. Requests that can be preempted do not count.
    fn running_work(&self, request: &SlotRequest) -> f64 {
        let mut work = 0.0;
        for state in self.reachable(request) {
            for running in state.running.values() {
                let preemptible = self.options.preempt && self.is_preemptible(state, running, request.tier);
                if !preemptible {
                    work += self.estimates.slot_time(&running.request.class) / 2.0;
                }
            }
        }
        // The request needs only one of the occupied slots.
        let occupied: u32 = self.reachable(request).map(crate::EndpointState::inflight).sum();
        if occupied == 0 { 0.0 } else { work / f64::from(occupied) }
    }

    /// Checks a new request against the limits and the expected wait; returns the refusal if it is not admitted.
    pub(crate) fn check_admission(&mut self, now: Duration, request: &SlotRequest) -> Option<Refusal> {
        if self.reachable(request).next().is_none() {
            let text = "no endpoint that this class reaches is in use";
            return Some(Refusal::not_run(RefusalCode::NotAllowed, text, None));
        }
        let tokens = self.estimates.tokens(&request.class, &request.org);
        let expected = self.expected_wait(now, request);
        if self.options.refuse && expected > request.patience {
            return Some(self.overload_refusal(expected, request.patience));
        }
        let usage = self.usage.entry((request.class.clone(), request.org.clone())).or_default();
        let Err(wait) = usage.try_take(now, &request.limits, tokens) else { return None };
        let text = "a limit of the organisation within its class is reached";
        Some(Refusal::not_run(RefusalCode::Limited, text, Some(wait.max(MIN_RETRY_AFTER))))
    }

    fn overload_refusal(&self, expected: Duration, patience: Duration) -> Refusal {
        let retry = expected.saturating_sub(patience).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let text = format!("the expected wait passes the class's patience; {} requests wait", self.queue.len());
        Refusal::not_run(RefusalCode::Overloaded, text, Some(retry))
    }

    /// Refuses queued requests that have timed out or that can no longer be served within their patience.
    pub(crate) fn shed(&mut self, now: Duration, out: &mut Vec<Decision>) {
        let mut shed: Vec<RequestId> = Vec::new();
        for waiting in self.queue.iter() {
            if waiting.deadline <= now {
                shed.push(waiting.request.id);
            }
        }
        if self.options.refuse {
            self.add_unservable(now, &mut shed);
        }
        for id in shed {
            let Some(waiting) = self.queue.remove(id) else { continue };
            self.release_usage(&waiting.request);
            let refusal = if waiting.deadline <= now {
                self.timeout_refusal(now, &waiting)
            } else {
                self.overload_refusal(self.expected_wait(now, &waiting.request), waiting.deadline.saturating_sub(now))
            };
            out.push(Decision::Refuse { request: id, entry: waiting.request.entry, refusal });
        }
    }

    /// Adds the requests whose remaining patience is shorter than the work queued before them, so that they are refused
    /// early.
    fn add_unservable(&self, now: Duration, shed: &mut Vec<RequestId>) {
        for (class, queue) in &self.queue.classes {
            let Some(head) = queue.iter().next() else { continue };
            let slots: u32 = self.usable(now, &head.request).map(|state| state.slots).sum();
            if slots == 0 && self.reachable(&head.request).all(|state| !state.health.probing) {
                // No endpoint of this pool can serve the class; entries may try another hall.
                shed.extend(queue.iter().map(|waiting| waiting.request.id));
                continue;
            }
            let higher = self.queue.classes.values().filter(|other| other.tier < queue.tier);
            let mut ahead: f64 = higher.map(|other| other.count as f64).sum::<f64>() * self.estimates.slot_time(class);
            let slot_time = self.estimates.slot_time(class);
            let mut by_arrival: Vec<&Waiting> = queue.iter().collect();
            by_arrival.sort_by_key(|waiting| waiting.arrived);
            for waiting in by_arrival {
                let left = waiting.deadline.saturating_sub(now).as_secs_f64();
                if slots > 0 && ahead / f64::from(slots) > left && waiting.deadline > now {
                    shed.push(waiting.request.id);
                    continue;
                }
                ahead += slot_time;
            }
        }
    }

    fn timeout_refusal(&self, now: Duration, waiting: &Waiting) -> Refusal {
        let waited = now.saturating_sub(waiting.arrived);
        let text = format!("waited {} ms; {} requests still wait", waited.as_millis(), self.queue.len());
        let mut refusal = Refusal::not_run(RefusalCode::WaitedOut, text, Some(MIN_RETRY_AFTER * 2));
        if waiting.preemptions > 0 {
            refusal.ran = rudder_model::Ran::Yes;
        }
        refusal
    }
}
