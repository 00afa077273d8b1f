//! Orders of engines, at the holder: what the policy wants in each hall is compared with what was ordered and with what
//! is there, and ordered where they differ.
//!
//! An order names the number of engines that there should be, so one that is repeated does no harm. Each bears a fence of
//! its own, higher than all before: one that is carried out late, after a newer one, is refused by it. A new holder
//! orders everything once, whatever is there, so that no order of an earlier one is carried out after it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rudder_events::What;
use rudder_model::HallId;
use rudder_route::scale::{Bounds, Demand, DesiredEngines, HallEngines, ScaleOptions, Scaler};

use super::{Backoff, CallOutcome, Context, DutyCall, Fence, Flying, fence};
use crate::Effect;

/// Orders under way at once.
const FLYING_MOST: usize = 4;
/// An order whose engines are not there this long after the time that they take to start is given again.
const OVERDUE: Duration = Duration::from_secs(3);

/// A service as the instance that holds the duty sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceState {
    /// The service.
    pub service: Arc<str>,
    /// What the configuration allows.
    pub bounds: Bounds,
    /// The work asked of it.
    pub demand: Demand,
    /// Its engines by hall.
    pub halls: Vec<HallEngines>,
}

/// What a service should have.
#[derive(Debug)]
pub(crate) struct Plan {
    state: ServiceState,
    wanted: Vec<DesiredEngines>,
}

/// What an order is about: engines of one kind of a service in a hall.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    service: Arc<str>,
    hall: HallId,
    cheap: bool,
}

/// How the last order of a subject stands.
#[derive(Debug, Default)]
struct Standing {
    /// The count that was ordered last and taken.
    taken: Option<(u32, Duration)>,
    /// The count of an order under way.
    flying: Option<Flying<u32>>,
    backoff: Backoff,
    /// None were to be had when they were last ordered; none are counted on until an order is taken.
    barred: bool,
}

/// All orders.
#[derive(Debug, Default)]
pub(crate) struct Scaling {
    scalers: BTreeMap<Arc<str>, Scaler>,
    orders: BTreeMap<Subject, Standing>,
    /// The last fence used: a lease that lapses for a moment is regained in the same term.
    fence: Fence,
}

impl Scaling {
    /// Forgets the orders, but not the demand: another instance may have given others.
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
    }

    /// What the policy wants for each service.
    pub(crate) fn plan(&mut self, now: Duration, states: Vec<ServiceState>, options: &ScaleOptions) -> Vec<Plan> {
        let mut plans = Vec::with_capacity(states.len());
        for mut state in states {
            for held in &mut state.halls {
                let subject = Subject { service: state.service.clone(), hall: held.hall.clone(), cheap: true };
                held.spot_unavailable = self.orders.get(&subject).is_some_and(|standing| standing.barred);
            }
            let scaler = self.scalers.entry(state.service.clone()).or_default();
            let wanted = scaler.plan(now, &state.bounds, state.demand, &state.halls, options);
            plans.push(Plan { state, wanted });
        }
        plans
    }

    /// Orders what the services lack. `tickets` counts the calls of all duties.
    pub(crate) fn order_all(&mut self, context: &mut Context, plans: Vec<Plan>, tickets: &mut u64) {
        for Plan { state, wanted } in plans {
            let ServiceState { service, bounds, demand, halls } = state;
            for (want, held) in wanted.iter().zip(&halls) {
                // First those at full price: where fewer are wanted, that makes room for cheap ones.
                let cheap = bounds.spot_price.map(|_| want.spot);
                let kinds = [(false, want.on_demand, held.on_demand), (true, cheap, held.spot)];
                for (cheap, count, there) in kinds {
                    let Some(count) = count else { continue };
                    let subject = Subject { service: service.clone(), hall: want.hall.clone(), cheap };
                    self.order(context, subject, (count, there), bounds.boot_time, demand, tickets);
                }
            }
        }
    }

    /// Orders `count` engines where that differs from what was ordered, or from what is there for too long.
    fn order(
        &mut self,
        context: &mut Context,
        subject: Subject,
        (count, there): (u32, u32),
        boot: Duration,
        demand: Demand,
        tickets: &mut u64,
    ) {
        let now = context.now;
        if self.must_wait(now, &subject) {
            return;
        }
        let standing = self.orders.entry(subject.clone()).or_default();
        if standing.backoff.holds(now) || !standing.differs(now, count, there, boot) {
            return;
        }
        *tickets += 1;
        let fence = self.fence.max(fence(context.control.replica.term())) + 1;
        self.fence = fence;
        standing.flying = Some(Flying { ticket: *tickets, subject: count, since: now });
        let Subject { service, hall, cheap } = subject;
        context.out.push(Effect::Log(What::EnginesWanted {
            service: service.clone(),
            hall: hall.clone(),
            cheap,
            wanted: count,
            there,
            calls: demand.calls,
            fence,
        }));
        let call = DutyCall::Scale { service, hall, cheap, count };
        context.out.push(Effect::Call { ticket: *tickets, fence, age: Duration::ZERO, call });
    }

    /// True while an order for the same hall is under way, or as many as may be. Both kinds share a hall's bound and its
    /// fences: of two orders under way at once the second may come first, find no room, and make the first one stale.
    fn must_wait(&mut self, now: Duration, subject: &Subject) -> bool {
        for standing in self.orders.values_mut() {
            standing.flying.take_if(|flying| flying.is_forgotten(now));
        }
        let flying = self.orders.iter().filter(|(_, standing)| standing.flying.is_some());
        let same = |held: &Subject| held.service == subject.service && held.hall == subject.hall;
        flying.clone().count() >= FLYING_MOST || flying.map(|(held, _)| held).any(same)
    }

    /// Records how an order ended.
    pub(crate) fn on_called(&mut self, now: Duration, ticket: u64, outcome: CallOutcome) {
        let mut standings = self.orders.values_mut();
        let of_ticket = |standing: &&mut Standing| standing.flying.is_some_and(|flying| flying.ticket == ticket);
        let Some(standing) = standings.find(of_ticket) else { return };
        let Some(Flying { subject: count, .. }) = standing.flying.take() else { return };
        match outcome {
            CallOutcome::Taken => {
                standing.taken = Some((count, now));
                // That none are wanted where none are to be had is taken too, and proves nothing.
                standing.barred &= count == 0;
                standing.backoff.clear();
            }
            CallOutcome::NoneLeft => {
                standing.taken = None;
                standing.barred = true;
                standing.backoff.note_failure(now, ticket);
            }
            _ => {
                standing.taken = None;
                standing.backoff.note_failure(now, ticket);
            }
        }
    }
}

impl Standing {
    /// True where `count` has to be ordered.
    fn differs(&self, now: Duration, count: u32, there: u32, boot: Duration) -> bool {
        let Some((taken, at)) = self.taken else { return true };
        taken != count || (there != count && now >= at + boot + OVERDUE)
    }
}
