//! The state of scaled services, for the holder of the scaling duty.

use std::collections::BTreeMap;

use rudder_core::{Phase, Registration, duties::scaling::ServiceState};
use rudder_model::HallId;
use rudder_route::scale::{Bounds, Demand, HallEngines};

use crate::{Dialect, Service, shared::Shared};

/// Current states of all services with scaling bounds.
pub fn service_states<D: Dialect>(shared: &Shared<D>) -> Vec<ServiceState> {
    let Some(plan) = shared.current_plan() else { return Vec::new() };
    let scaled = plan.services.values().filter_map(|service| Some((service, service.scaling.as_ref()?)));
    scaled.map(|(service, bounds)| service_state(shared, service, bounds)).collect()
}

fn service_state<D: Dialect>(shared: &Shared<D>, service: &Service, bounds: &Bounds) -> ServiceState {
    let roster = shared.roster.borrow().clone();
    let endpoints = roster.of(&service.name);
    let loads = shared.loads.borrow();
    let calls: u32 = endpoints.iter().map(|registration| loads.at(&registration.endpoint).calls).sum();
    let demand =
        Demand { calls, slots: endpoints.iter().map(|registration| registration.slots).max().unwrap_or_default() };
    let halls = count_by_hall(endpoints.iter().map(|registration| &**registration), bounds);
    ServiceState { service: service.name.clone(), bounds: bounds.clone(), demand, halls }
}

/// Counts the engines that accept work in each hall that has a price or engines.
fn count_by_hall<'a>(endpoints: impl Iterator<Item = &'a Registration>, bounds: &Bounds) -> Vec<HallEngines> {
    let mut halls: BTreeMap<HallId, (u32, u32)> = bounds.prices.keys().map(|hall| (hall.clone(), (0, 0))).collect();
    for registration in endpoints.filter(|registration| registration.phase <= Phase::Silent) {
        let (full, cheap) = halls.entry(registration.hall.clone()).or_default();
        *if registration.cheap { cheap } else { full } += 1;
    }
    let to_engines =
        |(hall, (full, cheap))| HallEngines { hall, on_demand: full, spot: cheap, spot_unavailable: false };
    halls.into_iter().map(to_engines).collect()
}
