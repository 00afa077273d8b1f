//! Scaling: how many on-demand and spot engines a service should have in each hall.
//!
//! Spot engines can be reclaimed at short notice but cost a fraction of the price, so they carry the demand. They are
//! spread over the halls with enough in reserve to survive the loss of all spot engines of one hall. On-demand engines
//! provide a guaranteed minimum and replace spot engines where those are unavailable.
//!
//! The policy reads no clock: the time is passed to each call. It keeps its own history of the demand.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::HallId;
use serde::Deserialize;

/// Time between two samples of demand.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the start until all engines should be known: two heartbeat intervals.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Window for the urgent demand. Shorter peaks are over before a new engine has started.
const URGENT_WINDOW: Duration = Duration::from_secs(3);
/// Under load, on-demand engines are released in one hall at a time, this far apart, as the prompts of their sessions
/// must be processed again elsewhere.
const RELEASE_INTERVAL: Duration = Duration::from_secs(4);
/// Surplus spot engines are kept for this time, as new ones take about ten seconds to start. A hall that lost its engines has new ones sooner than that, but may
/// lose those as well.
const SPARE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bounds and prices that the configuration sets for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Smallest number of engines in a hall, both kinds together.
    pub min: u32,
    /// Largest number of engines in a hall, both kinds together.
    pub max: u32,
    /// Time from an order until a new engine serves requests.
    pub boot_time: Duration,
    /// Price of a spot engine relative to an on-demand one; `None` if the service has no spot engines.
    pub spot_price: Option<f64>,
    /// Price of an engine in each hall.
    pub prices: BTreeMap<HallId, f64>,
}

/// Engines that serve in one hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallEngines {
    /// The hall.
    pub hall: HallId,
    /// On-demand engines that accept requests.
    pub on_demand: u32,
    /// Spot engines that accept requests.
    pub spot: u32,
    /// No more spot engines can be ordered here at present.
    pub spot_unavailable: bool,
}

/// Current demand for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests in flight. Their number rises if there are too few engines, whatever resource is exhausted.
    pub calls: u32,
    /// Requests that an engine serves concurrently.
    pub slots: u32,
}

/// Number of engines that a hall should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngines {
    /// The hall.
    pub hall: HallId,
    /// On-demand engines; `None` while that is unknown.
    pub on_demand: Option<u32>,
    /// Spot engines.
    pub spot: u32,
}

/// Settings of scaling.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ScaleOptions {
    /// Engines are ordered.
    pub enabled: bool,
    /// Share of an engine's slots that should be in use. Above it, long prompts delay each other.
    #[serde(rename = "slots")]
    pub target_utilisation: f64,
    /// On-demand engines replace missing spot engines once the utilisation would exceed its target by this factor.
    #[serde(rename = "pressing")]
    pub overload_factor: f64,
    /// Length of the window whose peak demand determines the number of engines, in seconds.
    #[serde(rename = "hold")]
    pub hold_seconds: f64,
    /// Share of the needed engines that are on-demand.
    #[serde(rename = "floor")]
    pub on_demand_share: f64,
    /// Orders additional spot engines, so that those left after the loss of one hall are enough.
    pub reserve: bool,
    /// On-demand engines beyond those that still carry the demand are released before all spot engines serve again.
    /// Otherwise a hall whose bound is taken up by on-demand engines has no room for the spot engines that are to replace
    /// them.
    #[serde(skip)]
    pub gradual_release: bool,
}

impl Default for ScaleOptions {
    fn default() -> Self {
        ScaleOptions {
            enabled: true,
            target_utilisation: 0.12,
            overload_factor: 2.0,
            hold_seconds: 120.0,
            on_demand_share: 0.0,
            reserve: true,
            gradual_release: false,
        }
    }
}

/// Number of engines needed.
#[derive(Clone, Copy, Debug)]
struct Needs {
    /// For the peak demand of the window; at least the initial count while that applies.
    sustained: u32,
    /// For the demand of the last seconds, at the overload factor. It justifies on-demand engines if spot engines are
    /// missing.
    urgent: u32,
    /// The initial count, until demand has been observed for a whole window.
    initial: u32,
}

/// Scaling policy and demand history of one service.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    samples: VecDeque<(Duration, f64)>,
    /// Time of the first plan.
    started: Option<Duration>,
    /// Engines that existed at the start, which the operator considered necessary.
    initial: u32,
    /// Time at which demand was first observed.
    demand_since: Option<Duration>,
    /// Time at which on-demand engines were last released.
    last_release: Option<Duration>,
    /// Time since which a hall has had more spot engines than planned.
    spare_since: BTreeMap<HallId, Duration>,
}

impl Scaler {
    /// Computes the number of engines for each hall. Until all engines should be known, the plan is empty, unless the
    /// service has no spot engines yet. In that case those are ordered right away, so that they replace the on-demand
    /// ones sooner.
    pub fn plan(
        &mut self,
        now: Duration,
        bounds: &Bounds,
        demand: Demand,
        halls: &[HallEngines],
        options: &ScaleOptions,
    ) -> Vec<DesiredEngines> {
        let needs = self.needs(now, demand, halls, options);
        let new = self.is_new(halls);
        let settled = self.is_settled(now);
        if !settled && !new {
            return Vec::new();
        }
        let mut targets = spread(needs, bounds, halls, options);
        self.keep_on_demand_until_replaced(now, needs, bounds, (demand, halls), &mut targets, options);
        self.keep_spare_spot(now, halls, &mut targets);
        for target in &mut targets {
            // Spot engines are ordered only within the bound on both kinds together.
            target.spot = target.spot.min(bounds.max.saturating_sub(target.on_demand.unwrap_or_default()));
        }
        if !settled {
            for target in &mut targets {
                target.on_demand = None;
            }
        }
        targets
    }

    /// True once all engines should be known.
    fn is_settled(&mut self, now: Duration) -> bool {
        now >= *self.started.get_or_insert(now) + SETTLE_TIME
    }

    /// True if the service has no spot engines and had no demand so far.
    fn is_new(&self, halls: &[HallEngines]) -> bool {
        self.demand_since.is_none() && halls.iter().all(|current| current.spot == 0)
    }

    /// Records the demand and computes the engines needed for it and for that of the window.
    fn needs(&mut self, now: Duration, demand: Demand, halls: &[HallEngines], options: &ScaleOptions) -> Needs {
        if !self.is_settled(now) || self.is_new(halls) {
            self.initial = self.initial.max(count_without_reserve(halls, options));
        }
        let hold = Duration::try_from_secs_f64(options.hold_seconds).unwrap_or_default();
        let engines = f64::from(demand.calls) / (f64::from(demand.slots) * options.target_utilisation).max(1.0);
        if engines > 0.0 {
            self.demand_since.get_or_insert(now);
        }
        if self.samples.back().is_none_or(|(at, _)| now >= *at + SAMPLE_INTERVAL) {
            self.samples.push_back((now, engines));
        }
        while self.samples.front().is_some_and(|(at, _)| now >= *at + hold) {
            self.samples.pop_front();
        }
        let peak_since = |since: Duration| {
            let recent = self.samples.iter().filter(|(at, _)| *at >= since);
            recent.map(|(_, engines)| *engines).fold(engines, f64::max)
        };
        let peak = peak_since(Duration::ZERO);
        // The initial count applies until demand has been observed for a whole window.
        let observed = self.demand_since.is_some_and(|since| now >= since + hold);
        let initial = if observed { 0 } else { self.initial };
        let urgent = peak_since(now.saturating_sub(URGENT_WINDOW)) / options.overload_factor;
        Needs { sustained: (peak.ceil() as u32).max(initial).max(1), urgent: urgent.ceil() as u32, initial }
    }

    /// Keeps spot engines that have just become surplus, in case another hall loses its own again.
    fn keep_spare_spot(&mut self, now: Duration, halls: &[HallEngines], targets: &mut [DesiredEngines]) {
        for (target, current) in targets.iter_mut().zip(halls) {
            if current.spot <= target.spot {
                self.spare_since.remove(&current.hall);
                continue;
            }
            let since = *self.spare_since.entry(current.hall.clone()).or_insert(now);
            if now < since + SPARE_TIMEOUT {
                target.spot = current.spot;
            }
        }
    }

    /// Keeps surplus on-demand engines until others have replaced them, then releases them, under load in one hall at a
    /// time.
    fn keep_on_demand_until_replaced(
        &mut self,
        now: Duration,
        needs: Needs,
        bounds: &Bounds,
        (demand, halls): (Demand, &[HallEngines]),
        targets: &mut [DesiredEngines],
        options: &ScaleOptions,
    ) {
        let planned: u32 = targets.iter().filter_map(|target| target.on_demand).sum();
        let spot: u32 = halls.iter().map(|current| current.spot).sum();
        // Surplus on-demand engines that still carry demand.
        let mut carrying = needs.initial.max(needs.urgent).saturating_sub(planned + spot);
        let busy = demand.calls > 0;
        for (target, current) in targets.iter_mut().zip(halls) {
            let wanted = target.on_demand.unwrap_or_default();
            let surplus = current.on_demand.saturating_sub(wanted);
            if surplus == 0 {
                continue;
            }
            let paused = busy && self.last_release.is_some_and(|at| now < at + RELEASE_INTERVAL);
            let kept = match carrying {
                _ if paused => surplus,
                0 => 0,
                count if options.gradual_release => surplus.min(count),
                _ => surplus,
            };
            carrying = if options.gradual_release { carrying.saturating_sub(kept) } else { carrying };
            if kept > 0 {
                target.on_demand = Some((wanted + kept).min(bounds.max));
            }
            if kept < surplus {
                self.last_release = Some(now);
            }
        }
    }
}

/// Number of existing engines without the reserve for the loss of a hall. An instance that takes over the policy must
/// not count the reserve as needed and order a reserve on top of it.
fn count_without_reserve(halls: &[HallEngines], options: &ScaleOptions) -> u32 {
    let total: u32 = halls.iter().map(|current| current.on_demand + current.spot).sum();
    let largest = halls.iter().map(|current| current.spot).max().unwrap_or_default();
    total - if options.reserve { largest } else { 0 }
}

/// Plan for one hall.
struct HallPlan<'a> {
    current: &'a HallEngines,
    price: f64,
    /// Spot engines can be ordered here.
    spot_available: bool,
    on_demand: u32,
    spot: u32,
}

impl HallPlan<'_> {
    /// Spot engines that the plan relies on. Those ordered while unavailable may come later.
    fn reliable_spot(&self) -> u32 {
        if self.spot_available { self.spot } else { self.current.spot }
    }

    /// On-demand engines that the bounds still allow.
    fn room(&self, bounds: &Bounds) -> u32 {
        bounds.max.saturating_sub(self.on_demand + self.reliable_spot())
    }
}

/// Distributes the needed engines over the halls.
fn spread(needs: Needs, bounds: &Bounds, halls: &[HallEngines], options: &ScaleOptions) -> Vec<DesiredEngines> {
    let to_plan = |current| HallPlan {
        current,
        price: bounds.prices.get(&current.hall).copied().unwrap_or(1.0),
        spot_available: bounds.spot_price.is_some() && !current.spot_unavailable,
        on_demand: 0,
        spot: 0,
    };
    let needed = needs.sustained;
    let mut plans: Vec<HallPlan> = halls.iter().map(to_plan).collect();
    let min_on_demand =
        if bounds.spot_price.is_some() { (f64::from(needed) * options.on_demand_share).ceil() as u32 } else { 0 };
    add_on_demand(min_on_demand, bounds, &mut plans);
    let available = plans.iter().filter(|plan| plan.spot_available).count() as u32;
    if bounds.spot_price.is_some() {
        // With the reserve, the halls must be enough without one of them. If spot engines are unavailable everywhere,
        // they are ordered in all halls, and the on-demand engines stay until they start.
        let carrying = match available {
            0 => plans.len() as u32,
            count if options.reserve && count > 1 => count - 1,
            count => count,
        };
        let each = needed.saturating_sub(min_on_demand).div_ceil(carrying).max(bounds.min);
        for plan in &mut plans {
            plan.spot = each.min(bounds.max.saturating_sub(plan.on_demand));
        }
    }
    let planned: u32 = plans.iter().map(|plan| plan.on_demand + plan.reliable_spot()).sum();
    let required = if bounds.spot_price.is_some() { needs.urgent } else { needed };
    add_on_demand(required.saturating_sub(planned), bounds, &mut plans);
    for plan in &mut plans {
        plan.on_demand += bounds.min.saturating_sub(plan.on_demand + plan.spot);
    }
    plans
        .iter()
        .map(|plan| DesiredEngines {
            hall: plan.current.hall.clone(),
            on_demand: Some(plan.on_demand),
            spot: plan.spot,
        })
        .collect()
}

/// Adds on-demand engines one by one to the hall with room that has the fewest of them, the cheapest first.
fn add_on_demand(count: u32, bounds: &Bounds, plans: &mut [HallPlan]) {
    for _ in 0..count {
        let with_room = plans.iter_mut().filter(|plan| plan.room(bounds) > 0);
        let next =
            with_room.min_by(|one, other| one.on_demand.cmp(&other.on_demand).then(one.price.total_cmp(&other.price)));
        let Some(next) = next else { return };
        next.on_demand += 1;
    }
}
