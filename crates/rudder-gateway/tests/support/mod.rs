//! Inputs of endpoint choices for tests and benchmarks.
#![allow(dead_code, reason = "each test program uses some of it")]

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{Phase, Registration};
use rudder_gateway::{
    Plan, Policy, backoff::Backoff, balance::Balance, choose::Inputs, health::Health, limits::Limits, places::Places,
    ramp::Ramp, reading::Reading, roster::Roster,
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
    pub balance: Balance,
    pub work_age: Duration,
    pub health: Health,
    pub backoff: Backoff,
    pub reading: Reading,
    pub places: Places,
    pub ramp: Ramp,
    pub limits: Limits,
    pub hall: HallId,
    pub plan: Plan,
    pub policy: Policy,
    pub now: Moment,
}

impl Default for Known {
    fn default() -> Self {
        let now = Moment::now();
        Known {
            balance: Balance::default(),
            work_age: Duration::ZERO,
            health: Health::default(),
            backoff: Backoff::default(),
            reading: Reading::default(),
            places: Places::default(),
            ramp: Ramp::new("me".into(), now),
            limits: Limits::default(),
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
            balance: &self.balance,
            work_age: self.work_age,
            health: &self.health,
            backoff: &self.backoff,
            reading: &self.reading,
            places: &self.places,
            ramp: &self.ramp,
            limits: &self.limits,
            hall: &self.hall,
            plan: &self.plan,
            policy: &self.policy,
            now: self.now,
        }
    }
}
