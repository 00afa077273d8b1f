//! How many engines a service should have in each hall, and of which kind.
//!
//! Engines that may be taken away at short notice cost a small part of the others, so what is needed stands on them,
//! spread over the halls with so many more that the loss of all of one hall leaves enough. On-demand engines are the
//! floor below that, and what fills in where none of the spot ones are to be had.
//!
//! The policy knows no clock: time comes in with each call, and what it remembers of the demand is its own.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rudder_model::HallId;
use serde::Deserialize;

/// Time between two samples of demand that are remembered.
const SAMPLE: Duration = Duration::from_secs(1);
/// From the first look until all engines have been heard of: two periods of their heartbeats.
const GATHER: Duration = Duration::from_secs(3);
/// Demand counts as pressing for this long: shorter swings are over before an engine has started.
const PRESSING: Duration = Duration::from_secs(3);
/// Engines of one hall at a time are let go while there is demand, this long apart: the sessions that they kept are read
/// again elsewhere.
const LET_GO_PAUSE: Duration = Duration::from_secs(4);

/// Cheap engines that have become spare are kept this long: a hall whose engines were all taken away has new ones after
/// about ten seconds, and is as likely to lose them again as any.
const SPARE_KEPT: Duration = Duration::from_secs(30);

/// What the configuration allows for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Engines in a hall at least, both kinds together.
    pub min: u32,
    /// Engines in a hall at most, both kinds together.
    pub max: u32,
    /// From an order until a new engine serves.
    pub boot_time: Duration,
    /// What an engine that may be taken away costs, as a part of the others; `None` where there are none.
    pub spot_price: Option<f64>,
    /// Price of an engine by hall.
    pub prices: BTreeMap<HallId, f64>,
}

/// Engines of one hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallEngines {
    /// The hall.
    pub hall: HallId,
    /// On-demand engines that take work.
    pub on_demand: u32,
    /// Engines that may be taken away and that take work.
    pub spot: u32,
    /// No more that may be taken away are to be had here for now.
    pub spot_unavailable: bool,
}

/// The work that callers ask of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests under way: they pile up where engines are too few, whatever it is that those lack.
    pub calls: u32,
    /// Requests that an engine works on at once.
    pub slots: u32,
}

/// Engines that a hall should have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredEngines {
    /// The hall.
    pub hall: HallId,
    /// On-demand engines; `None` where that cannot be told yet.
    pub on_demand: Option<u32>,
    /// Engines that may be taken away.
    pub spot: u32,
}

/// Settings of the policy.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ScaleOptions {
    /// Orders are given at all.
    pub enabled: bool,
    /// Part of its slots that an engine is to be used for: at more, long prompts wait for each other.
    #[serde(rename = "slots")]
    pub target_utilisation: f64,
    /// On-demand engines fill in for spot ones where the others would be used for this many times that part.
    #[serde(rename = "pressing")]
    pub overload_factor: f64,
    /// Seconds for which the highest demand is remembered: engines are let go only after it.
    #[serde(rename = "hold")]
    pub hold_seconds: f64,
    /// On-demand engines, as a part of what is needed.
    #[serde(rename = "floor")]
    pub on_demand_share: f64,
    /// Engines beyond those needed, so that the loss of all of one hall that may be taken away leaves enough.
    pub reserve: bool,
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
        }
    }
}

/// Engines that the demand needs.
#[derive(Clone, Copy, Debug)]
struct Needs {
    /// For the highest demand remembered, or as many as the operator had.
    lasting: u32,
    /// For the demand of the last seconds: worth on-demand engines where there are no others.
    pressing: u32,
    /// As many as the operator had, while demand has not been watched for long.
    usual: u32,
}

/// The policy for one service, and what it remembers of its demand.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    samples: VecDeque<(Duration, f64)>,
    /// When it was first asked.
    began: Option<Duration>,
    /// Engines that were there at first, which is what the operator took for needed.
    first: u32,
    /// When demand was first seen.
    since: Option<Duration>,
    let_go: Option<Duration>,
    /// Since when a hall has had more spot engines than planned.
    spare: BTreeMap<HallId, Duration>,
}

impl Scaler {
    /// What each hall should have. While not all engines may have been heard of, nothing is ordered but spot ones where
    /// there are none yet: those do no harm, and the others are the dearer the longer they are waited for.
    pub fn plan(
        &mut self,
        now: Duration,
        bounds: &Bounds,
        demand: Demand,
        halls: &[HallEngines],
        options: &ScaleOptions,
    ) -> Vec<DesiredEngines> {
        let needs = self.needs(now, demand, halls, options);
        let fresh = self.is_fresh(halls);
        let settled = self.is_settled(now);
        if !settled && !fresh {
            return Vec::new();
        }
        let mut wanted = spread(needs, bounds, halls, options);
        self.keep_until_replaced(now, needs, bounds, (demand, halls), &mut wanted);
        self.keep_spare(now, halls, &mut wanted);
        for want in &mut wanted {
            // An order for spot ones waits for room below the bound on both kinds.
            want.spot = want.spot.min(bounds.max.saturating_sub(want.on_demand.unwrap_or_default()));
        }
        if !settled {
            for want in &mut wanted {
                want.on_demand = None;
            }
        }
        wanted
    }

    /// True once all engines may have been heard of.
    fn is_settled(&mut self, now: Duration) -> bool {
        now >= *self.began.get_or_insert(now) + GATHER
    }

    /// True where no spot engines have ever been ordered, as far as is known here.
    fn is_fresh(&self, halls: &[HallEngines]) -> bool {
        self.since.is_none() && halls.iter().all(|held| held.spot == 0)
    }

    /// Engines needed for the demand that there is and that there was.
    fn needs(&mut self, now: Duration, demand: Demand, halls: &[HallEngines], options: &ScaleOptions) -> Needs {
        if !self.is_settled(now) || self.is_fresh(halls) {
            self.first = self.first.max(count_bearing(halls, options));
        }
        let hold = Duration::try_from_secs_f64(options.hold_seconds).unwrap_or_default();
        let asked = f64::from(demand.calls) / (f64::from(demand.slots) * options.target_utilisation).max(1.0);
        if asked > 0.0 {
            self.since.get_or_insert(now);
        }
        if self.samples.back().is_none_or(|(at, _)| now >= *at + SAMPLE) {
            self.samples.push_back((now, asked));
        }
        while self.samples.front().is_some_and(|(at, _)| now >= *at + hold) {
            self.samples.pop_front();
        }
        let highest = |since: Duration| {
            let recent = self.samples.iter().filter(|(at, _)| *at >= since);
            recent.map(|(_, asked)| *asked).fold(asked, f64::max)
        };
        let peak = highest(Duration::ZERO);
        // Until demand has been watched for as long as it is remembered, the operator's count stands.
        let watched = self.since.is_some_and(|since| now >= since + hold);
        let usual = if watched { 0 } else { self.first };
        let pressing = highest(now.saturating_sub(PRESSING)) / options.overload_factor;
        Needs { lasting: (peak.ceil() as u32).max(usual).max(1), pressing: pressing.ceil() as u32, usual }
    }

    /// Keeps spot engines that have just become spare: they stood in for a hall that lost its own, and may have to again.
    fn keep_spare(&mut self, now: Duration, halls: &[HallEngines], wanted: &mut [DesiredEngines]) {
        for (want, held) in wanted.iter_mut().zip(halls) {
            if held.spot <= want.spot {
                self.spare.remove(&held.hall);
                continue;
            }
            let since = *self.spare.entry(held.hall.clone()).or_insert(now);
            if now < since + SPARE_KEPT {
                want.spot = held.spot;
            }
        }
    }

    /// Keeps on-demand engines beyond the plan until others have taken their place, and then lets those of one hall
    /// go at a time.
    fn keep_until_replaced(
        &mut self,
        now: Duration,
        needs: Needs,
        bounds: &Bounds,
        (demand, halls): (Demand, &[HallEngines]),
        wanted: &mut [DesiredEngines],
    ) {
        let planned: u32 = wanted.iter().filter_map(|want| want.on_demand).sum();
        let spot: u32 = halls.iter().map(|held| held.spot).sum();
        let lacks = needs.usual.max(needs.pressing) > planned + spot;
        let busy = demand.calls > 0;
        for (want, held) in wanted.iter_mut().zip(halls) {
            let extra = held.on_demand.saturating_sub(want.on_demand.unwrap_or_default());
            if extra == 0 {
                continue;
            }
            let paused = busy && self.let_go.is_some_and(|at| now < at + LET_GO_PAUSE);
            if lacks || paused {
                want.on_demand = Some(held.on_demand.min(bounds.max));
            } else {
                self.let_go = Some(now);
            }
        }
    }
}

/// Engines that there are without the reserve for the loss of a hall: an instance that takes over must not take the
/// reserve for needed and order one for it too.
fn count_bearing(halls: &[HallEngines], options: &ScaleOptions) -> u32 {
    let total: u32 = halls.iter().map(|held| held.on_demand + held.spot).sum();
    let largest = halls.iter().map(|held| held.spot).max().unwrap_or_default();
    total - if options.reserve { largest } else { 0 }
}

/// A hall in the making of a plan.
struct Place<'a> {
    held: &'a HallEngines,
    price: f64,
    /// Cheap ones are to be had here.
    open: bool,
    on_demand: u32,
    spot: u32,
}

impl Place<'_> {
    /// Cheap engines that can be counted on: what is ordered where none are to be had may come later.
    fn counted(&self) -> u32 {
        if self.open { self.spot } else { self.held.spot }
    }

    fn room(&self, bounds: &Bounds) -> u32 {
        bounds.max.saturating_sub(self.on_demand + self.counted())
    }
}

/// Spreads what is needed over the halls.
fn spread(needs: Needs, bounds: &Bounds, halls: &[HallEngines], options: &ScaleOptions) -> Vec<DesiredEngines> {
    let to_place = |held| Place {
        held,
        price: bounds.prices.get(&held.hall).copied().unwrap_or(1.0),
        open: bounds.spot_price.is_some() && !held.spot_unavailable,
        on_demand: 0,
        spot: 0,
    };
    let needed = needs.lasting;
    let mut places: Vec<Place> = halls.iter().map(to_place).collect();
    let floor =
        if bounds.spot_price.is_some() { (f64::from(needed) * options.on_demand_share).ceil() as u32 } else { 0 };
    add_on_demand(floor, bounds, &mut places);
    let count = places.iter().filter(|place| place.open).count() as u32;
    if bounds.spot_price.is_some() {
        // Without one of the halls the others have to be enough. Where none are to be had anywhere, they are asked for all the
        // same, and on-demand ones stay until they come.
        let bearing = match count {
            0 => places.len() as u32,
            count if options.reserve && count > 1 => count - 1,
            count => count,
        };
        let each = needed.saturating_sub(floor).div_ceil(bearing).max(bounds.min);
        for place in &mut places {
            place.spot = each.min(bounds.max.saturating_sub(place.on_demand));
        }
    }
    let planned: u32 = places.iter().map(|place| place.on_demand + place.counted()).sum();
    let bearing = if bounds.spot_price.is_some() { needs.pressing } else { needed };
    add_on_demand(bearing.saturating_sub(planned), bounds, &mut places);
    for place in &mut places {
        place.on_demand += bounds.min.saturating_sub(place.on_demand + place.spot);
    }
    places
        .iter()
        .map(|place| DesiredEngines {
            hall: place.held.hall.clone(),
            on_demand: Some(place.on_demand),
            spot: place.spot,
        })
        .collect()
}

/// Adds on-demand engines, in turn to the halls with room, the cheapest first.
fn add_on_demand(count: u32, bounds: &Bounds, places: &mut [Place]) {
    for _ in 0..count {
        let with_room = places.iter_mut().filter(|place| place.room(bounds) > 0);
        let next =
            with_room.min_by(|one, other| one.on_demand.cmp(&other.on_demand).then(one.price.total_cmp(&other.price)));
        let Some(next) = next else { return };
        next.on_demand += 1;
    }
}
