//! Admission: what is refused at once, and what is refused while it waits.

use std::time::Duration;

use rudder_model::{Refusal, RefusalCode, RequestId};

use crate::{Decision, Pool, SlotRequest, options::Order, queue::Waiting};

/// Shortest time after which a refused caller is told to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(500);

impl Pool {
    /// Expected wait of a new request of `tier`: the work of its own and higher tiers that waits,
    /// spread over the slots it reaches. Lower tiers never count, so they never cause a refusal.
    pub fn expected_wait(&self, now: Duration, ask: &SlotRequest) -> Duration {
        let slots: u32 = self.usable(now, ask).map(|site| site.slots).sum();
        if slots == 0 {
            return Duration::MAX;
        }
        let free = self.usable(now, ask).any(|site| site.inflight() < site.slots);
        let ahead = self.work_ahead(ask.tier);
        if free && ahead == 0.0 {
            return Duration::ZERO;
        }
        let own = self.work_running(ask);
        Duration::from_secs_f64((ahead + own) / f64::from(slots))
    }

    /// Seconds of slot time that wait at `tier` or above.
    fn work_ahead(&self, tier: u8) -> f64 {
        let tiered = self.options.order == Order::Tiered;
        let counts = self.queue.classes.iter().filter(|(_, queue)| !tiered || queue.tier <= tier);
        counts.map(|(class, queue)| queue.count as f64 * self.estimates.hold(class)).sum()
    }

    /// Half a holding time for each slot that is taken by the own tier or above: on average, half of
    /// the running work is still to come. What can be preempted does not count.
    fn work_running(&self, ask: &SlotRequest) -> f64 {
        let mut work = 0.0;
        for site in self.reachable(ask) {
            for running in site.running.values() {
                let yields = self.options.preempt && self.may_preempt(site, running, ask.tier);
                if !yields {
                    work += self.estimates.hold(&running.ask.class) / 2.0;
                }
            }
        }
        // One slot is enough: the first to come free of all of them.
        let taken: u32 = self.reachable(ask).map(crate::EndpointState::inflight).sum();
        if taken == 0 { 0.0 } else { work / f64::from(taken) }
    }

    /// Refuses a new request that a limit or the expected wait forbids.
    pub(crate) fn refusal_of(&mut self, now: Duration, ask: &SlotRequest) -> Option<Refusal> {
        if self.reachable(ask).next().is_none() {
            let text = "no endpoint that this class reaches is in use";
            return Some(Refusal::not_run(RefusalCode::NotAllowed, text, None));
        }
        let tokens = self.estimates.tokens(&ask.class, &ask.org);
        let expected = self.expected_wait(now, ask);
        if self.options.refuse && expected > ask.patience {
            return Some(self.overloaded(expected, ask.patience));
        }
        let usage = self.usage.entry((ask.class.clone(), ask.org.clone())).or_default();
        let Err(wait) = usage.try_take(now, &ask.limits, tokens) else { return None };
        let text = "a limit of the organisation within its class is reached";
        Some(Refusal::not_run(RefusalCode::Limited, text, Some(wait.max(RETRY_FLOOR))))
    }

    fn overloaded(&self, expected: Duration, patience: Duration) -> Refusal {
        let ceiling = Duration::from_secs(60);
        let retry = expected.saturating_sub(patience).clamp(RETRY_FLOOR, ceiling);
        let text = format!("the expected wait passes the class's patience; {} requests wait", self.queue.len());
        Refusal::not_run(RefusalCode::Overloaded, text, Some(retry))
    }

    /// Refuses what has waited out, and from the lowest tier up what no longer can be served in time.
    pub(crate) fn shed(&mut self, now: Duration, out: &mut Vec<Decision>) {
        let mut late: Vec<RequestId> = Vec::new();
        for waiting in self.queue.iter() {
            if waiting.until <= now {
                late.push(waiting.ask.id);
            }
        }
        if self.options.refuse {
            self.add_hopeless(now, &mut late);
        }
        for request in late {
            let Some(waiting) = self.queue.remove(request) else { continue };
            self.close_usage(&waiting.ask);
            let refusal = if waiting.until <= now {
                self.waited_out(now, &waiting)
            } else {
                self.overloaded(self.expected_wait(now, &waiting.ask), waiting.until.saturating_sub(now))
            };
            out.push(Decision::Refuse { request, entry: waiting.ask.entry, refusal });
        }
    }

    /// Walks each class from its head: where the work before a request fills the time it has left,
    /// it is told now rather than at the end of its patience.
    fn add_hopeless(&self, now: Duration, late: &mut Vec<RequestId>) {
        for (class, queue) in &self.queue.classes {
            let Some(head) = queue.iter().next() else { continue };
            let slots: u32 = self.usable(now, &head.ask).map(|site| site.slots).sum();
            if slots == 0 && self.reachable(&head.ask).all(|site| !site.health.probing) {
                // Nothing here will serve it; its entry may find another hall.
                late.extend(queue.iter().map(|waiting| waiting.ask.id));
                continue;
            }
            let higher = self.queue.classes.values().filter(|other| other.tier < queue.tier);
            let mut ahead: f64 = higher.map(|other| other.count as f64).sum::<f64>() * self.estimates.hold(class);
            let hold = self.estimates.hold(class);
            let mut line: Vec<&Waiting> = queue.iter().collect();
            line.sort_by_key(|waiting| waiting.arrived);
            for waiting in line {
                let left = waiting.until.saturating_sub(now).as_secs_f64();
                if slots > 0 && ahead / f64::from(slots) > left && waiting.until > now {
                    late.push(waiting.ask.id);
                    continue;
                }
                ahead += hold;
            }
        }
    }

    fn waited_out(&self, now: Duration, waiting: &Waiting) -> Refusal {
        let waited = now.saturating_sub(waiting.arrived);
        let text = format!("waited {} ms; {} requests still wait", waited.as_millis(), self.queue.len());
        let mut refusal = Refusal::not_run(RefusalCode::WaitedOut, text, Some(RETRY_FLOOR * 2));
        if waiting.preempted > 0 {
            refusal.ran = rudder_model::Ran::Yes;
        }
        refusal
    }
}
