//! In-flight work at endpoints: that of this instance, and that reported by the other instances.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
};

use rudder_clock::Moment;
use rudder_core::peer::Load;
use rudder_model::{EndpointId, EndpointTag, id};

use crate::recent::{RecentOutcomes, Tally};

/// In-flight work and recent outcomes at all endpoints.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    own: HashMap<EndpointId, Load>,
    /// The sum of the other instances' last reports.
    others: HashMap<EndpointTag, Load>,
    recent: RecentOutcomes,
}

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests in flight.
    pub calls: u32,
    /// Prompt tokens awaiting prefill, that is, of requests without output.
    pub unread: u32,
    /// KV cache tokens that the requests may need.
    pub held: u32,
}

impl EndpointLoads {
    /// All known work at `endpoint`.
    pub fn at(&self, endpoint: &str) -> Work {
        let mut work = Work::default();
        for load in [self.own.get(endpoint), self.others.get(&id::endpoint_tag(endpoint))].into_iter().flatten() {
            work.calls += load.calls;
            work.unread += load.unread;
            work.held += load.held;
        }
        work
    }

    /// Records the sum of the other instances' loads.
    pub fn set_others(&mut self, loads: &[Load]) {
        self.others = loads.iter().map(|load| (load.endpoint, load.clone())).collect();
    }

    /// Records the end of a request.
    pub fn note_end(&mut self, endpoint: &EndpointId, failed: bool, now: Moment) {
        self.recent.note(endpoint, failed, now);
    }

    /// Recent outcomes at `endpoint`, at this and the other instances.
    pub fn tally(&self, endpoint: &str, now: Moment) -> Tally {
        let mut tally = self.recent.at(endpoint, now);
        if let Some(load) = self.others.get(&id::endpoint_tag(endpoint)) {
            tally.add(Tally { ended: load.ended, failed: load.failed });
        }
        tally
    }

    /// This instance's work, to be reported to the other instances.
    pub fn to_loads(&mut self, now: Moment) -> Vec<Load> {
        self.recent.age(now);
        let mut endpoints: HashSet<&EndpointId> = self.recent.endpoints().collect();
        endpoints.extend(self.own.iter().filter(|(_, load)| load.calls > 0).map(|(endpoint, _)| endpoint));
        let to_load = |endpoint: &EndpointId| {
            let own = self.own.get(endpoint).cloned().unwrap_or_else(|| Load::none(id::endpoint_tag(endpoint)));
            let Tally { ended, failed } = self.recent.at(endpoint, now);
            Load { ended, failed, ..own }
        };
        let mut loads: Vec<Load> = endpoints.into_iter().map(to_load).collect();
        loads.sort_by_key(|load| load.endpoint);
        loads
    }

    /// Drops endpoints that are unknown and have no work.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.own.retain(|endpoint, load| load.calls > 0 || known(endpoint));
    }

    fn entry(&mut self, endpoint: &EndpointId) -> &mut Load {
        self.own.entry(endpoint.clone()).or_insert_with(|| Load::none(id::endpoint_tag(endpoint)))
    }
}

/// A request in flight at an endpoint. It is removed from the loads on drop.
#[derive(Debug)]
pub struct InFlight {
    loads: Rc<RefCell<EndpointLoads>>,
    endpoint: EndpointId,
    unread: u32,
    held: u32,
}

impl InFlight {
    /// Counts a request with `unread` prompt tokens to process that needs up to `held` tokens of the KV cache.
    pub fn start(loads: &Rc<RefCell<EndpointLoads>>, endpoint: &EndpointId, unread: u32, held: u32) -> InFlight {
        let mut borrowed = loads.borrow_mut();
        let load = borrowed.entry(endpoint);
        load.calls += 1;
        load.unread += unread;
        load.held += held;
        drop(borrowed);
        InFlight { loads: loads.clone(), endpoint: endpoint.clone(), unread, held }
    }

    /// Records the first output, so that the prompt has been processed.
    pub fn note_read(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(&self.endpoint);
        load.unread = load.unread.saturating_sub(unread);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_read();
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(&self.endpoint);
        load.calls = load.calls.saturating_sub(1);
        load.held = load.held.saturating_sub(self.held);
    }
}
