//! Work under way at endpoints: what this instance has sent, and what the others told of theirs.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
};

use rudder_clock::Moment;
use rudder_core::peer::Load;
use rudder_model::{EndpointId, EndpointTag, id};

use crate::recent::{Recent, Tally};

/// Work of this instance at all endpoints, and the last word of the others.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    own: HashMap<EndpointId, Load>,
    others: HashMap<EndpointTag, Load>,
    recent: Recent,
}

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests sent and not yet ended.
    pub calls: u32,
    /// Prompt tokens whose first output has not come.
    pub unread: u32,
    /// Tokens of memory that the requests may need.
    pub held: u32,
}

impl EndpointLoads {
    /// All work at `endpoint`, as far as is known here.
    pub fn at(&self, endpoint: &str) -> Work {
        let mut work = Work::default();
        for load in [self.own.get(endpoint), self.others.get(&id::endpoint_tag(endpoint))].into_iter().flatten() {
            work.calls += load.calls;
            work.unread += load.unread;
            work.held += load.held;
        }
        work
    }

    /// Records what all other instances together have under way.
    pub fn set_others(&mut self, loads: &[Load]) {
        self.others = loads.iter().map(|load| (load.endpoint, load.clone())).collect();
    }

    /// Records the end of a request.
    pub fn note_end(&mut self, endpoint: &EndpointId, failed: bool, now: Moment) {
        self.recent.note(endpoint, failed, now);
    }

    /// What ended at `endpoint` of late, here and elsewhere.
    pub fn tally(&self, endpoint: &str, now: Moment) -> Tally {
        let mut tally = self.recent.at(endpoint, now);
        if let Some(load) = self.others.get(&id::endpoint_tag(endpoint)) {
            tally.add(Tally { ended: load.ended, failed: load.failed });
        }
        tally
    }

    /// This instance's work, to tell the others.
    pub fn to_loads(&mut self, now: Moment) -> Vec<Load> {
        self.recent.age(now);
        let mut names: HashSet<&EndpointId> = self.recent.endpoints().collect();
        names.extend(self.own.iter().filter(|(_, load)| load.calls > 0).map(|(endpoint, _)| endpoint));
        let to_load = |endpoint: &EndpointId| {
            let own = self.own.get(endpoint).cloned().unwrap_or_else(|| Load::none(id::endpoint_tag(endpoint)));
            let Tally { ended, failed } = self.recent.at(endpoint, now);
            Load { ended, failed, ..own }
        };
        let mut loads: Vec<Load> = names.into_iter().map(to_load).collect();
        loads.sort_by_key(|load| load.endpoint);
        loads
    }

    /// Drops endpoints that are no longer known and have no work.
    pub fn retain(&mut self, known: impl Fn(&EndpointId) -> bool) {
        self.own.retain(|endpoint, load| load.calls > 0 || known(endpoint));
    }

    fn entry(&mut self, endpoint: &EndpointId) -> &mut Load {
        self.own.entry(endpoint.clone()).or_insert_with(|| Load::none(id::endpoint_tag(endpoint)))
    }
}

/// One request under way at an endpoint; its end, however it comes, removes it from the loads.
#[derive(Debug)]
pub struct InFlight {
    loads: Rc<RefCell<EndpointLoads>>,
    endpoint: EndpointId,
    unread: u32,
    held: u32,
}

impl InFlight {
    /// Counts a request of `unread` prompt tokens that needs up to `held` tokens of memory.
    pub fn start(loads: &Rc<RefCell<EndpointLoads>>, endpoint: &EndpointId, unread: u32, held: u32) -> InFlight {
        let mut borrowed = loads.borrow_mut();
        let load = borrowed.entry(endpoint);
        load.calls += 1;
        load.unread += unread;
        load.held += held;
        drop(borrowed);
        InFlight { loads: loads.clone(), endpoint: endpoint.clone(), unread, held }
    }

    /// Records that the first output came, so the prompt has been read.
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
