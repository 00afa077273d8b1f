//! Options of the routing policy.

use std::time::Duration;

/// Order in which queued requests are granted slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// First in, first out, regardless of class.
    Arrival,
    /// By tier, with starvation protection for each class and fair sharing between organisations.
    Tiered,
}

/// Options of the routing policy. Each step of the policy can be disabled, so that its effect can be measured.
#[expect(clippy::struct_excessive_bools, reason = "each switches one independent step of the policy")]
#[derive(Clone, Debug)]
pub struct Options {
    /// Order of service.
    pub order: Order,
    /// Within a class, serves requests that can still meet their first-token deadline before late ones.
    pub in_time: bool,
    /// Refuses requests whose expected wait exceeds their patience.
    pub refuse: bool,
    /// Also counts the endpoint's own delayed load reports, for pools that share endpoints.
    pub reports: bool,
    /// Preempts requests of lower tiers.
    pub preempt: bool,
    /// How often one request may be preempted.
    pub max_preemptions: u8,
    /// Share of an endpoint's slots that is reserved for the highest tier.
    pub reserved_share: f64,
    /// A waiting class is due the next grant after this many grants to other classes.
    pub max_passed_over: u32,
    /// A class that has waited this long without a grant is due the next one.
    pub starvation_timeout: Duration,
    /// Ejects slow or failing endpoints.
    pub eject: bool,
    /// Largest share of endpoints that may be ejected at once.
    pub max_ejected_share: f64,
    /// Length of an endpoint's first ejection; each further one doubles it, up to eight times this value.
    pub ejection_time: Duration,
    /// An endpoint this many times slower than the pool's median counts as slow.
    pub slow_factor: f64,
    /// Retries added to the retry budget by each admitted request.
    pub retry_ratio: f64,
    /// How much relative load a cached prompt prefix outweighs when endpoints are scored; 0 disables prefix affinity.
    pub affinity: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            order: Order::Tiered,
            in_time: true,
            refuse: true,
            reports: false,
            preempt: true,
            max_preemptions: 8,
            reserved_share: 0.0,
            max_passed_over: 32,
            starvation_timeout: Duration::from_secs(30),
            eject: true,
            max_ejected_share: 0.5,
            ejection_time: Duration::from_secs(5),
            slow_factor: 2.5,
            retry_ratio: 0.1,
            affinity: 0.25,
        }
    }
}

impl Options {
    /// The baseline: least loaded by own counts and delayed reports, one first-in-first-out queue.
    pub fn baseline() -> Self {
        Options {
            order: Order::Arrival,
            in_time: false,
            refuse: false,
            reports: true,
            preempt: false,
            eject: false,
            affinity: 0.0,
            ..Options::default()
        }
    }
}
