//! Orders that set the number of engines, at the holder of the duties. The number that the policy wants in each hall is
//! compared with the number ordered and the number present, and ordered if they differ.
//!
//! An order names the total number of engines, so it is idempotent. Each carries a fence above all earlier ones, so that the
//! receiver rejects an order that arrives after a newer one. A new holder orders everything once, whatever is present, to
//! fence off the orders of its predecessor.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rudder_events::What;
use rudder_model::HallId;
use rudder_route::scale::{Bounds, Demand, DesiredEngines, HallEngines, ScaleOptions, Scaler};

use super::{Backoff, CallOutcome, Context, DutyCall, Fence, InFlight, fence};
use crate::Effect;

/// Most orders in flight at a time.
const MAX_IN_FLIGHT: usize = 4;
/// An order is repeated if its engines aren't present this long after their boot time.
const BOOT_GRACE: Duration = Duration::from_secs(3);

/// A service as seen by the holder of the duties.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceState {
    /// The service.
    pub service: Arc<str>,
    /// What the configuration allows.
    pub bounds: Bounds,
    /// The demand for it.
    pub demand: Demand,
    /// Its engines by hall.
    pub halls: Vec<HallEngines>,
}

/// The engines that a service should have.
#[derive(Debug)]
pub(crate) struct Plan {
    service: ServiceState,
    wanted: Vec<DesiredEngines>,
}

/// The subject of an order: the spot or the on-demand engines of a service in a hall.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    service: Arc<str>,
    hall: HallId,
    cheap: bool,
}

/// The last order of a subject.
#[derive(Debug, Default)]
struct OrderState {
    /// The last count that was accepted, and when.
    accepted: Option<(u32, Duration)>,
    /// The order in flight, with its count.
    in_flight: Option<InFlight<u32>>,
    backoff: Backoff,
    /// No engines were available when they were last ordered; none are expected until an order is accepted.
    unavailable: bool,
}

/// All orders.
#[derive(Debug, Default)]
pub(crate) struct Scaling {
    scalers: BTreeMap<Arc<str>, Scaler>,
    orders: BTreeMap<Subject, OrderState>,
    /// The last fence used. A lease that lapses may be regained in the same term, so it is kept.
    fence: Fence,
}

impl Scaling {
    /// Drops the orders, which another instance may have replaced, but not the demand.
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
    }

    /// What the policy wants for each service.
    pub(crate) fn plan(&mut self, now: Duration, states: Vec<ServiceState>, options: &ScaleOptions) -> Vec<Plan> {
        let mut plans = Vec::with_capacity(states.len());
        for mut service in states {
            for held in &mut service.halls {
                let subject = Subject { service: service.service.clone(), hall: held.hall.clone(), cheap: true };
                held.spot_unavailable = self.orders.get(&subject).is_some_and(|state| state.unavailable);
            }
            let scaler = self.scalers.entry(service.service.clone()).or_default();
            let wanted = scaler.plan(now, &service.bounds, service.demand, &service.halls, options);
            plans.push(Plan { service, wanted });
        }
        plans
    }

    /// Orders engines according to the plans. `tickets` counts the calls of all duties.
    pub(crate) fn order_all(&mut self, context: &mut Context, plans: Vec<Plan>, tickets: &mut u64) {
        for Plan { service, wanted } in plans {
            let ServiceState { service, bounds, demand, halls } = service;
            for (want, held) in wanted.iter().zip(&halls) {
                // On-demand engines first: a reduction makes room for spot ones under the hall's bound.
                let spot = bounds.spot_price.map(|_| want.spot);
                let kinds = [(false, want.on_demand, held.on_demand), (true, spot, held.spot)];
                for (cheap, count, present) in kinds {
                    let Some(count) = count else { continue };
                    let subject = Subject { service: service.clone(), hall: want.hall.clone(), cheap };
                    self.order(context, subject, (count, present), bounds.boot_time, demand, tickets);
                }
            }
        }
    }

    /// Orders `count` engines if that differs from the last order, or for too long from the number present.
    fn order(
        &mut self,
        context: &mut Context,
        subject: Subject,
        (count, present): (u32, u32),
        boot: Duration,
        demand: Demand,
        tickets: &mut u64,
    ) {
        let now = context.now;
        if self.must_wait(now, &subject) {
            return;
        }
        let state = self.orders.entry(subject.clone()).or_default();
        if state.backoff.is_active(now) || !state.needs_order(now, count, present, boot) {
            return;
        }
        *tickets += 1;
        let fence = self.fence.max(fence(context.control.replica.term())) + 1;
        self.fence = fence;
        state.in_flight = Some(InFlight { ticket: *tickets, subject: count, since: now });
        let Subject { service, hall, cheap } = subject;
        context.out.push(Effect::Log(What::EnginesWanted {
            service: service.clone(),
            hall: hall.clone(),
            cheap,
            wanted: count,
            there: present,
            calls: demand.calls,
            fence,
        }));
        let call = DutyCall::Scale { service, hall, cheap, count };
        context.out.push(Effect::Call { ticket: *tickets, fence, age: Duration::ZERO, call });
    }

    /// True while an order for the same service and hall is in flight, or the most orders are. Both kinds share a hall's
    /// bound and its fences: of two orders in flight the second could arrive first, exceed the bound and fence off the first.
    fn must_wait(&mut self, now: Duration, subject: &Subject) -> bool {
        for state in self.orders.values_mut() {
            state.in_flight.take_if(|in_flight| in_flight.has_timed_out(now));
        }
        let in_flight = self.orders.iter().filter(|(_, state)| state.in_flight.is_some());
        let same = |held: &Subject| held.service == subject.service && held.hall == subject.hall;
        in_flight.clone().count() >= MAX_IN_FLIGHT || in_flight.map(|(held, _)| held).any(same)
    }

    /// Records the outcome of an order.
    pub(crate) fn on_called(&mut self, now: Duration, ticket: u64, outcome: CallOutcome) {
        let mut states = self.orders.values_mut();
        let has_ticket = |state: &&mut OrderState| state.in_flight.is_some_and(|in_flight| in_flight.ticket == ticket);
        let Some(state) = states.find(has_ticket) else { return };
        let Some(InFlight { subject: count, .. }) = state.in_flight.take() else { return };
        match outcome {
            CallOutcome::Taken => {
                state.accepted = Some((count, now));
                // An order for no engines is always accepted, so it doesn't show that any are available.
                state.unavailable &= count == 0;
                state.backoff.clear();
            }
            CallOutcome::NoneLeft => {
                state.accepted = None;
                state.unavailable = true;
                state.backoff.record_failure(now, ticket);
            }
            _ => {
                state.accepted = None;
                state.backoff.record_failure(now, ticket);
            }
        }
    }
}

impl OrderState {
    /// True if `count` engines have to be ordered.
    fn needs_order(&self, now: Duration, count: u32, present: u32, boot: Duration) -> bool {
        let Some((accepted, at)) = self.accepted else { return true };
        accepted != count || (present != count && now >= at + boot + BOOT_GRACE)
    }
}
