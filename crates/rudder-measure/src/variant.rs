//! What is compared: the baseline, each step of the policy added in turn, the present.

use rudder_route::{Options, options::Order};

/// One set of choices.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its name in tables.
    pub name: &'static str,
    /// Settings of the policy.
    pub options: Options,
    /// One pool for each hall, kept by its home; otherwise one for each entry.
    pub homes: bool,
}

impl Variant {
    /// Each instance alone, least loaded by lagged reports, one queue in order of arrival.
    pub fn baseline() -> Variant {
        Variant { name: "baseline", options: Options::baseline(), homes: false }
    }

    /// The policy as instances run it.
    pub fn present() -> Variant {
        Variant { name: "present", options: Options::default(), homes: true }
    }

    /// The baseline with one step of the policy after the other.
    pub fn steps() -> Vec<Variant> {
        let tiers = Options { order: Order::Tiered, ..Options::baseline() };
        let refuse = Options { refuse: true, ..tiers.clone() };
        let homes = Options { reports: false, ..refuse.clone() };
        let preempt = Options { preempt: true, ..homes.clone() };
        let eject = Options { eject: true, ..preempt.clone() };
        let in_time = Options { in_time: true, ..eject.clone() };
        let affinity = Options { affinity: Options::default().affinity, ..in_time.clone() };
        vec![
            Variant::baseline(),
            Variant { name: "+tiers", options: tiers, homes: false },
            Variant { name: "+refusal", options: refuse, homes: false },
            Variant { name: "+homes", options: homes, homes: true },
            Variant { name: "+preemption", options: preempt, homes: true },
            Variant { name: "+ejection", options: eject, homes: true },
            Variant { name: "+in time", options: in_time, homes: true },
            Variant { name: "+affinity", options: affinity, homes: true },
        ]
    }
}
