//! When callers that were refused for lack of capacity return to contended services.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_events::What;
use rudder_route::{
    first_deadline::FirstDeadline,
    returns::{Arrival, Attempt, HONOURED, Return, ReturnSettings, Returns, Told},
};

use crate::{
    Dialect, Plan, Route,
    call::{Call, Refusal, refusal::not_run},
    metrics::ReturnOutcome,
    shared::Shared,
};

/// The schedules of this instance by service, and the deadlines of first attempts by route. Both are bounded by the
/// configuration.
#[derive(Debug)]
pub struct ReturnSchedules {
    settings: ReturnSettings,
    started: Moment,
    services: HashMap<Arc<str>, Returns>,
    routes: HashMap<Arc<str>, FirstDeadline>,
}

/// A request of a contended service, as the schedule sees it.
#[derive(Clone, Debug)]
pub struct Scheduled {
    /// The service.
    pub service: Arc<str>,
    /// The route.
    pub route: Arc<str>,
    /// Priority level and remaining time.
    pub attempt: Attempt,
}

impl ReturnSchedules {
    /// Empty schedules.
    pub fn new(settings: ReturnSettings, started: Moment) -> ReturnSchedules {
        ReturnSchedules { settings, started, services: HashMap::new(), routes: HashMap::new() }
    }

    /// The shortest time after which callers of a route are told to return.
    pub fn shortest(&self, route: &Route) -> Duration {
        self.settings.shortest_for(route.target)
    }

    /// The return that a request is, if it is one. `stated` is the deadline that its caller named.
    pub fn recognise(&mut self, request: &Scheduled, stated: Option<Duration>, now: Moment) -> Option<Return> {
        let at = self.since_start(now);
        let first = self.routes.entry(request.route.clone()).or_default();
        let age = stated.and_then(|stated| first.recognise(stated, request.attempt.shortest, at));
        self.of(&request.service).recognise(&request.attempt, age, at)
    }

    /// The time that a refused request is told, not before `not_before`.
    pub fn schedule(
        &mut self,
        request: &Scheduled,
        returned: Option<Return>,
        not_before: Duration,
        draw: f64,
        now: Moment,
    ) -> Told {
        let at = self.since_start(now);
        if returned.is_none() {
            self.routes.entry(request.route.clone()).or_default().record_told(at);
        }
        if returned.is_some_and(|returned| returned.arrival != Arrival::Early) {
            // Its caller came back and doesn't do so again, so it takes no time of the schedule.
            return Told { after: Returns::late(&request.attempt, not_before, draw), position: None };
        }
        self.of(&request.service).schedule(&request.attempt, not_before, draw, at)
    }

    /// Records that a request was admitted, or that one that came when it was due was refused again.
    pub fn record_outcome(&mut self, request: &Scheduled, returned: Option<Return>, admitted: bool, now: Moment) {
        let (at, level) = (self.since_start(now), request.attempt.level);
        let returns = self.of(&request.service);
        if admitted {
            returns.record_admitted(level, at);
        }
        let Some(returned) = returned else { return };
        match returned.arrival {
            Arrival::Due => returns.record_return(level, returned.age, admitted, at),
            Arrival::Early if admitted => returns.forget(&request.attempt),
            Arrival::Early | Arrival::Unscheduled => {}
        }
    }

    /// Number of requests due for which new requests of a level leave room.
    pub fn reserved(&self, service: &str, level: usize, now: Moment) -> f64 {
        self.services.get(service).map_or(0.0, |returns| returns.reserved(self.since_start(now), level))
    }

    /// Drops the services and routes that are no longer configured.
    pub fn retain(&mut self, plan: &Plan) {
        self.services.retain(|name, _| plan.services.contains_key(name));
        self.routes.retain(|name, _| plan.routes().any(|route| route.name == *name));
    }

    fn of(&mut self, service: &Arc<str>) -> &mut Returns {
        let settings = &self.settings;
        self.services.entry(service.clone()).or_insert_with(|| Returns::new(settings.clone()))
    }

    fn since_start(&self, now: Moment) -> Duration {
        now.saturating_duration_since(self.started)
    }
}

/// The request as the schedule sees it; `None` if its service isn't contended, or returns are off.
fn scheduled<D: Dialect>(shared: &Shared<D>, call: &Call) -> Option<Scheduled> {
    if !shared.options.policy.contention.returns || call.prompt.is_none() {
        return None;
    }
    let service = &call.route.shares.iter().find(|share| shared.is_contended(&share.service))?.service;
    let plan = shared.current_plan()?;
    let attempt = Attempt {
        level: plan.level(&call.route, service),
        content: call.tags.content,
        remaining: call.deadline.saturating_duration_since(Moment::now()),
        shortest: shared.returns.borrow().shortest(&call.route),
    };
    Some(Scheduled { service: service.clone(), route: call.route.name.clone(), attempt })
}

/// The return that a request is, if it is one. `stated` is the deadline that its caller named.
pub fn recognise<D: Dialect>(shared: &Shared<D>, call: &Call, stated: Option<Duration>) -> Option<Return> {
    let request = scheduled(shared, call)?;
    // A resumed stream has less time left as well, but was not refused.
    let stated = stated.filter(|_| call.last_event.is_none());
    shared.returns.borrow_mut().recognise(&request, stated, Moment::now())
}

/// The refusal of a request for lack of capacity. Without a schedule the caller is told `base`. `not_before` is the time
/// before which no endpoint accepts requests.
pub fn capacity_refusal<D: Dialect>(
    shared: &Shared<D>,
    call: &Call,
    why: &'static str,
    base: Duration,
    not_before: Duration,
) -> Refusal {
    let draw = rand::random_range(0.0..1.0);
    let Some(request) = scheduled(shared, call) else {
        let remaining = call.deadline.saturating_duration_since(Moment::now());
        return not_run(why, spread(base, call.route.target, remaining, draw));
    };
    let told = shared.returns.borrow_mut().schedule(&request, call.returned, not_before, draw, Moment::now());
    if told.position.is_none() && call.returned.is_none() {
        shared.metrics.record_return(request.attempt.level, ReturnOutcome::Unscheduled);
    }
    Refusal { told: Some(told), ..not_run(why, told.after) }
}

/// A time from `base` to the latest that callers honour. A caller that returns after its `target` is late in any case, and
/// callers that are refused together and return together are refused again. An earlier time is told as it is.
pub fn spread(base: Duration, target: Duration, remaining: Duration, draw: f64) -> Duration {
    let latest = remaining.mul_f64(HONOURED);
    if base < target { base } else { base + latest.saturating_sub(base).mul_f64(draw) }
}

/// Room that a new request must leave at a service to those due, in requests of this instance; 0 for requests that are
/// due themselves.
pub fn reserved_room<D: Dialect>(shared: &Shared<D>, call: &Call, service: &str, level: usize) -> f64 {
    let is_due = call.returned.is_some_and(|returned| returned.arrival == Arrival::Due);
    if is_due || !shared.options.policy.contention.returns || !shared.is_contended(service) {
        return 0.0;
    }
    shared.returns.borrow().reserved(service, level, Moment::now())
}

/// What is needed to record the outcome of a request after it has been sent or refused.
#[derive(Debug)]
pub struct Pending {
    request: Scheduled,
    id: String,
    returned: Option<Return>,
}

impl Pending {
    /// Keeps what is needed of a request of a contended service.
    pub fn of<D: Dialect>(shared: &Shared<D>, call: &Call) -> Option<Pending> {
        let request = scheduled(shared, call)?;
        Some(Pending { request, id: call.id.clone(), returned: call.returned })
    }

    /// Records that the request was admitted, or refused for lack of capacity.
    pub fn record<D: Dialect>(self, shared: &Shared<D>, admitted: bool) {
        let Pending { request, id, returned } = self;
        shared.returns.borrow_mut().record_outcome(&request, returned, admitted, Moment::now());
        let Some(returned) = returned else { return };
        let outcome = if admitted { ReturnOutcome::Admitted } else { ReturnOutcome::Refused };
        // An early one counts as new.
        if returned.arrival != Arrival::Early {
            shared.metrics.record_return(request.attempt.level, outcome);
        }
        let arrival = match returned.arrival {
            Arrival::Early => "early",
            Arrival::Due => "due",
            Arrival::Unscheduled => "unscheduled",
        };
        let age_ms = returned.age.as_millis() as u64;
        shared.log.write(What::CallReturned { request: id, arrival: arrival.into(), age_ms, admitted });
    }
}
