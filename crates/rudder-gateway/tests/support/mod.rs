//! Inputs of endpoint choices for tests and benchmarks.
#![allow(dead_code, reason = "each test program uses some of it")]

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Phase, Registration};
use rudder_gateway::{
    Plan, Policy, admission::Admissions, backoff::Backoff, choose::Inputs, contention::Contention, health::Health,
    limits::RateLimits, loads::EndpointLoads, placement::Placement, policy::GuardPolicy, prefill::PrefillSpeeds,
    roster::Roster, slow_start::SlowStartState,
};
use rudder_model::HallId;

/// A ready endpoint of the service `svc` with 64 slots and an address of its own.
pub fn endpoint(number: usize, hall: &str) -> Registration {
    Registration {
        endpoint: format!("e-{number}").into(),
        born: None,
        service: "svc".into(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
        hall: hall.into(),
        slots: 64,
        cheap: false,
        warming: false,
        standby: false,
        phase: Phase::Ready,
        sequence: 1,
    }
}

/// The roster of these endpoints.
pub fn roster(endpoints: &[Registration]) -> Roster {
    Roster::new(endpoints.iter().cloned().map(Arc::new))
}

/// The state from which an instance chooses an endpoint; empty by default.
pub struct Known {
    pub loads: EndpointLoads,
    pub work_age: Duration,
    pub health: Health,
    pub backoff: Backoff,
    pub prefill: PrefillSpeeds,
    pub placement: Placement,
    pub slow_start: SlowStartState,
    pub limits: RateLimits,
    pub contention: Contention,
    pub admission: Admissions,
    pub hall: HallId,
    pub plan: Plan,
    pub policy: Policy,
    pub now: Moment,
}

impl Default for Known {
    fn default() -> Self {
        let now = Moment::now();
        Known {
            loads: EndpointLoads::default(),
            work_age: Duration::ZERO,
            health: Health::default(),
            backoff: Backoff::default(),
            prefill: PrefillSpeeds::default(),
            placement: Placement::default(),
            slow_start: SlowStartState::new("me".into(), now),
            limits: RateLimits::default(),
            contention: Contention::default(),
            admission: Admissions::new(&GuardPolicy::default(), 7, now),
            hall: "a".into(),
            plan: Plan::default(),
            policy: Policy::default(),
            now,
        }
    }
}

impl Known {
    /// The inputs of a choice.
    pub fn inputs(&self) -> Inputs<'_> {
        Inputs {
            loads: &self.loads,
            work_age: self.work_age,
            health: &self.health,
            backoff: &self.backoff,
            prefill: &self.prefill,
            placement: &self.placement,
            slow_start: &self.slow_start,
            limits: &self.limits,
            contention: &self.contention,
            admission: &self.admission,
            hall: &self.hall,
            plan: &self.plan,
            policy: &self.policy,
            now: self.now,
        }
    }
}
