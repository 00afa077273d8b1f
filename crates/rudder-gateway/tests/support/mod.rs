//! Inputs of endpoint choices for tests and benchmarks.
#![allow(dead_code, reason = "each test program uses some of it")]

use std::{rc::Rc, sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::{
    Phase, Registration,
    peer::{Load, LoadDetail, PaceSum, TokenTime},
};
use rudder_gateway::{
    Plan, Policy, Route, RouteKind, admission::Admissions, backoff::Backoff, choose::Inputs, condition::Conditions,
    contention::Contention, health::Health, limits::EndpointLimits, loads::EndpointLoads, placement::Placement,
    plan::Share, policy::GuardPolicy, prefill::PrefillSpeeds, roster::Roster, slow_start::SlowStartState,
};
use rudder_model::{HallId, id};
use rudder_route::condition::EngineSpeed;

/// A route of streams to the service `svc`. `target` and `pause` are the targets of the first event and of the gaps, in
/// milliseconds.
pub fn stream_route(name: &str, target: u64, pause: u64, tier: u8) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        kind: RouteKind::Stream,
        timeout: Duration::from_secs(15),
        target: Duration::from_millis(target),
        pause: Some(Duration::from_millis(pause)),
        tier,
        shares: vec![Share { service: "svc".into(), weight: 1 }],
        attempts: 1,
        open: false,
        resumable: false,
        residency: None,
    }
}

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
        version: "".into(),
    }
}

/// The roster of these endpoints.
pub fn roster(endpoints: &[Registration]) -> Roster {
    Roster::new(endpoints.iter().cloned().map(Arc::new))
}

/// The service `svc` is contended, as its endpoints have reported their pace.
pub fn paced() -> Contention {
    let mut contention = Contention::default();
    contention.record_pace(&"svc".into(), Moment::now());
    contention
}

/// The state from which an instance chooses an endpoint; empty by default.
pub struct Known {
    pub loads: EndpointLoads,
    pub work_age: Duration,
    pub health: Health,
    pub backoff: Backoff,
    pub prefill: PrefillSpeeds,
    pub conditions: Conditions,
    pub contention: Contention,
    pub placement: Placement,
    pub slow_start: SlowStartState,
    pub limits: EndpointLimits,
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
            conditions: Conditions::default(),
            contention: Contention::default(),
            placement: Placement::default(),
            slow_start: SlowStartState::new("me".into(), now),
            limits: EndpointLimits::default(),
            admission: Admissions::new(&GuardPolicy::default(), 7, now),
            hall: "a".into(),
            plan: Plan::default(),
            policy: Policy::default(),
            now,
        }
    }
}

/// Updates after which the lasting speed and the usual pace of an engine are known.
const UPDATES: u32 = 8;
/// Tokens in each report of an engine's speed.
const REPORTED_TOKENS: u32 = 100_000;

/// An engine's report of its speed, at `percent` of its usual time.
fn to_detail(speed: EngineSpeed, percent: f64) -> LoadDetail {
    let to_time = |millis: f64| TokenTime { tokens: REPORTED_TOKENS, millis: millis as u32 };
    LoadDetail {
        output: to_time(speed.token_time.as_secs_f64() * 1000.0 * f64::from(REPORTED_TOKENS)),
        prefill: to_time(f64::from(REPORTED_TOKENS) / speed.prefill_speed),
        pace: PaceSum { percent: percent as u32, reports: 1 },
        ..LoadDetail::default()
    }
}

impl Known {
    /// Replaces the speeds of engines by those learned from reports of other instances. Those without samples have none.
    pub fn set_speeds(&mut self, engines: &[Registration], speed: impl Fn(&Registration) -> EngineSpeed) {
        let mut conditions = Conditions::default();
        conditions.set_roster(Rc::new(roster(engines)));
        let to_loads = |percent: fn(EngineSpeed) -> f64| -> Vec<Load> {
            let known = engines.iter().map(|engine| (engine, speed(engine))).filter(|(_, speed)| speed.samples > 0);
            let to_load = |(engine, speed): (&Registration, EngineSpeed)| Load {
                detail: Some(Box::new(to_detail(speed, percent(speed)))),
                ..Load::none(id::endpoint_tag(&engine.endpoint))
            };
            known.map(to_load).collect()
        };
        let usual = to_loads(|_| 100.0);
        for _ in 0..UPDATES {
            self.now = self.now + Duration::from_millis(500);
            conditions.set_others(Some(&usual), self.now);
            conditions.update(self.now);
        }
        conditions.set_others(Some(&to_loads(|speed| speed.pace * 100.0)), self.now);
        self.conditions = conditions;
    }

    /// The inputs of a choice.
    pub fn inputs(&self) -> Inputs<'_> {
        Inputs {
            loads: &self.loads,
            work_age: self.work_age,
            health: &self.health,
            backoff: &self.backoff,
            prefill: &self.prefill,
            conditions: &self.conditions,
            contention: &self.contention,
            placement: &self.placement,
            slow_start: &self.slow_start,
            limits: &self.limits,
            admission: &self.admission,
            hall: &self.hall,
            plan: &self.plan,
            policy: &self.policy,
            now: self.now,
        }
    }
}
