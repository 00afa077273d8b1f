//! Choice of the endpoint for one request.
//!
//! Plain services use `plain` and engines `engine`. Both choose from `candidates` in constant time, except that
//! ranking the endpoints for a session is linear in their number.

mod candidates;
mod engine;
mod plain;
mod speed_classes;
mod timed;

use std::{sync::Arc, time::Duration};

use rudder_clock::Moment;
use rudder_core::Registration;
use rudder_ledger::{Releases, Software};
use rudder_model::{Born, EndpointId, HallId, RegionId};

pub use self::candidates::{CandidateCache, Candidates, Lane};
use self::engine::Request;
pub use self::speed_classes::SpeedClasses;
use crate::{
    Plan, Policy,
    admission::Admissions,
    backoff::Backoff,
    condition::Conditions,
    contention::Contention,
    dialect::Prompt,
    health::Health,
    lanes::LaneKind,
    limits::EndpointLimits,
    loads::EndpointLoads,
    placement::Placement,
    plan::Route,
    prefill::PrefillSpeeds,
    slow_start::{Allowance, SlowStartState},
};

/// The state that a choice depends on.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// In-flight work at endpoints.
    pub loads: &'a EndpointLoads,
    /// Age of the load reports from other instances.
    pub work_age: Duration,
    /// Health of endpoints by request outcomes.
    pub health: &'a Health,
    /// Endpoints that asked this instance to back off.
    pub backoff: &'a Backoff,
    /// Prefill speeds of engines.
    pub prefill: &'a PrefillSpeeds,
    /// Speeds and pace of the engines of contended services.
    pub conditions: &'a Conditions,
    /// The contended services.
    pub contention: &'a Contention,
    /// Regions of halls and evacuated halls.
    pub placement: &'a Placement,
    /// Slow start of cold endpoints.
    pub slow_start: &'a SlowStartState,
    /// Limits of endpoints.
    pub limits: &'a EndpointLimits,
    /// Admission to contended services.
    pub admission: &'a Admissions,
    /// This instance's hall.
    pub hall: &'a HallId,
    /// The configuration.
    pub plan: &'a Plan,
    /// Policy settings.
    pub policy: &'a Policy,
    /// The current time.
    pub now: Moment,
}

impl Inputs<'_> {
    /// Whether the engines of `service` are compared by predicted times. These need the learned conditions of engines, and
    /// engines whose speeds differ: where they are alike, long prompts that are lent to the quick lane cost its streams more
    /// than they gain.
    pub fn is_timed(&self, service: &str) -> bool {
        let contention = &self.policy.contention;
        contention.timing && contention.condition && self.contention.is_paced(service, self.now)
    }

    /// How many requests this instance may send to an endpoint while it warms up.
    pub fn allowance(&self, registration: &Registration) -> Allowance {
        let warm_up = self.plan.services.get(&registration.service).and_then(|service| service.warm_up);
        self.slow_start.allowance(registration, warm_up, &self.policy.slow_start, self.now)
    }
}

impl Inputs<'_> {
    /// Whether the admission to contended services applies to `service`.
    pub fn uses_admission(&self, service: &str) -> bool {
        self.policy.contention.admission && self.contention.is_contended(service, self.now)
    }
}

/// Restrictions of one request on the candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eligibility<'a> {
    /// The software version that must serve the request, if it has begun.
    pub version: Option<&'a str>,
    /// The versions in service, of which only admitted ones may begin the request; `None` if any may.
    pub admitted: Option<&'a Releases>,
    /// Endpoints already tried, which are excluded.
    pub tried: &'a [EndpointId],
    /// The regions to which the request is restricted, if any.
    pub residency: Option<&'a [RegionId]>,
    /// Exclude endpoints with a limit.
    pub unlimited: bool,
    /// Requests of this instance that are due at the service and for which this one leaves room.
    pub reserved: f64,
    /// An endpoint may have run it already, so it does not yield to more urgent requests any more.
    pub may_have_run: bool,
    /// Uniform draw from 0 to 1, kept for all attempts, that decides whether it yields to more urgent requests. The lower,
    /// the more readily it does.
    pub yield_draw: f64,
}

impl Eligibility<'_> {
    fn allows_version(&self, registration: &Registration) -> bool {
        let Registration { service, version, .. } = registration;
        match (self.version, self.admitted) {
            (Some(begun), _) => *begun == **version,
            (None, Some(releases)) => releases.is_admitted(service, version),
            (None, None) => true,
        }
    }

    /// Whether the request may be sent to this endpoint now.
    pub fn allows(&self, inputs: &Inputs, registration: &Registration) -> bool {
        !self.tried.contains(&registration.endpoint)
            && self.allows_version(registration)
            && inputs.placement.allows(self.residency, &registration.hall)
            && !(self.unlimited && inputs.limits.is_limited(&registration.endpoint))
            && inputs.slow_start.has_room(&registration.endpoint, inputs.allowance(registration), inputs.now)
    }
}

/// An endpoint that keeps a copy of a running request's KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backup {
    /// Its id.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: Arc<str>,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// When it started, if it reports that.
    pub born: Option<Born>,
}

/// The chosen endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its id.
    pub endpoint: EndpointId,
    /// When it started, if it reports that.
    pub born: Option<Born>,
    /// Its address.
    pub address: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// The version of its software.
    pub version: Arc<str>,
    /// The lane that it is in.
    pub lane: LaneKind,
    /// Number of endpoints in that lane.
    pub lane_size: usize,
    /// Requests known to be in flight there.
    pub calls: u32,
    /// Prompt tokens known to await prefill there.
    pub ahead: u32,
    /// Those of them that the engine processes before the request: of its priority or above.
    pub queued: u32,
    /// KV cache tokens that the requests in flight there may need.
    pub held: u32,
    /// Prompt tokens of this request that are not cached there.
    pub unread: u32,
    /// Predicted time from sending the request to its first event, for engines of contended services.
    pub predicted: Option<Duration>,
    /// The engine that is to keep a copy of the request's KV cache.
    pub backup: Option<Backup>,
    /// Address of the engine from which it fetches the cached part of the prompt.
    pub fetch_from: Option<Arc<str>>,
}

impl Choice {
    /// The version of its software, with its service.
    pub fn software(&self) -> Software {
        Software { service: self.service.clone(), version: self.version.clone() }
    }
}

/// Why no endpoint can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// None may be used for the request.
    Absent,
    /// Those that may be used have no room for a request of its priority.
    Full,
    /// Their service refuses more urgent requests.
    Urgent,
}

/// Picks the service that a request is first sent to, by weight. `draw` is a uniformly distributed random number.
pub fn pick_service(route: &Route, draw: u64) -> Option<&Arc<str>> {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut remaining = draw % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if remaining < weight {
            return Some(&share.service);
        }
        remaining -= weight;
    }
    None
}

/// Picks an eligible endpoint of `service` from its `candidates` for a request of `route`.
///
/// # Errors
/// Returns why there is none.
pub fn choose(
    inputs: &Inputs,
    route: &Route,
    service: &str,
    candidates: &Candidates,
    prompt: Option<&Prompt>,
    eligible: Eligibility,
) -> Result<Choice, Unavailable> {
    let engine = inputs.plan.services.get(service).and_then(|service| service.engine);
    match (engine, prompt) {
        (Some(engine), Some(prompt)) => {
            let request = Request::new(inputs, route, service, engine, prompt, eligible).with_usage(candidates.usage);
            // Without any engine that may be used, the reason is that, and when one will be.
            if !eligible.may_have_run && request.must_yield() && request.has_any(candidates) {
                return Err(Unavailable::Urgent);
            }
            match request.choose(&candidates.quick, &candidates.bulk) {
                Err(Unavailable::Absent) => request.choose(&candidates.fallback, &candidates.fallback),
                chosen => chosen,
            }
        }
        _ => [&candidates.bulk, &candidates.quick, &candidates.fallback]
            .into_iter()
            .find_map(|lane| plain::choose(inputs, lane, eligible))
            .ok_or(Unavailable::Absent),
    }
}

fn to_choice(inputs: &Inputs, chosen: &Registration, lane: &Lane, unread: u32) -> Choice {
    let work = inputs.loads.at(&chosen.endpoint);
    Choice {
        endpoint: chosen.endpoint.clone(),
        born: chosen.born,
        address: chosen.address.clone(),
        service: chosen.service.clone(),
        version: chosen.version.clone(),
        lane: lane.kind,
        lane_size: lane.endpoints.len(),
        calls: work.calls,
        ahead: work.unread,
        queued: work.unread,
        held: work.held,
        unread,
        predicted: None,
        backup: None,
        fetch_from: None,
    }
}
