//! Settings of the policy.

use std::time::Duration;

/// Order in which waiting requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// As they came, whatever their class.
    Arrival,
    /// Tiers, a trickle for each class, fair shares between organisations.
    Tiered,
}

/// Settings of the policy. Each step of the policy can be switched off, so that its worth is measured.
#[expect(clippy::struct_excessive_bools, reason = "each switches one independent step of the policy")]
#[derive(Clone, Debug)]
pub struct Options {
    /// Order of service.
    pub order: Order,
    /// Within a class, serve what can still be in time before what is late.
    pub in_time: bool,
    /// Refuse at once what would wait past its patience.
    pub refuse: bool,
    /// Count the endpoint's own lagged load report as well, for pools that share endpoints.
    pub reports: bool,
    /// Preempt lower tiers.
    pub preempt: bool,
    /// Times one request may be preempted.
    pub preemptions: u8,
    /// Share of an endpoint's slots that only the highest tier may take.
    pub reserve: f64,
    /// A class that waits gets one in this many grants.
    pub trickle: u32,
    /// A class that has waited this long without a grant gets the next one.
    pub starve: Duration,
    /// Eject endpoints that are slow or fail.
    pub eject: bool,
    /// Largest share of endpoints ejected at once.
    pub ceiling: f64,
    /// First pause of an ejected endpoint; doubles up to eight times.
    pub pause: Duration,
    /// This many times slower than the pool's median counts as slow.
    pub slow: f64,
    /// Retries allowed for each request taken in.
    pub retries: f64,
    /// Prefer endpoints that hold the prompt's prefix, up to this difference in load; 0 for never.
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
            preemptions: 8,
            reserve: 0.0,
            trickle: 32,
            starve: Duration::from_secs(30),
            eject: true,
            ceiling: 0.5,
            pause: Duration::from_secs(5),
            slow: 2.5,
            retries: 0.1,
            affinity: 0.25,
        }
    }
}

impl Options {
    /// The baseline: least loaded by own counts and lagged reports, one queue in order of arrival.
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
