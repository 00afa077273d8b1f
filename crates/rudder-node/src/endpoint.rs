//! Errands at endpoints: looks at their load and cache events, orders, cancels.

use std::{
    thread,
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, Sender};
use rudder_core::{Event, event::Report};
use rudder_model::EndpointId;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::Input;

/// Threads that run errands.
const THREADS: usize = 2;
/// An endpoint that does not answer a look within this time has missed it.
const LOOK_TIMEOUT: Duration = Duration::from_millis(800);

/// Something to do at an endpoint.
#[derive(Debug)]
pub(crate) enum Errand {
    /// Look at its load and cache events.
    Poll { endpoint: EndpointId, address: String, after: u64 },
    /// Order it to load something, unless `until` has passed.
    Order { endpoint: EndpointId, address: String, load: String, fence: (u64, u64), until: Instant },
    /// Cancel a request whose caller left or that was recalled.
    Cancel { address: String, request: String },
}

/// What an engine answers at `/load`.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests it works on or holds.
    pub load: u32,
    /// What it has loaded.
    #[serde(default)]
    pub loaded: String,
    /// Number of the first event below.
    #[serde(default)]
    pub first_event: u64,
    /// Prefixes evicted.
    #[serde(default)]
    pub evicted: Vec<u64>,
}

/// What an order carries.
#[derive(Debug, Serialize, Deserialize)]
pub struct Order {
    /// Model, adapter and version.
    pub load: String,
    /// Leader's term.
    pub term: u64,
    /// Counts the leader's orders.
    pub count: u64,
}

/// Starts the threads that run errands.
pub(crate) fn start(errands: &Receiver<Errand>, inputs: &Sender<Input>) {
    for _ in 0..THREADS {
        let (errands, inputs) = (errands.clone(), inputs.clone());
        thread::spawn(move || {
            let config = Agent::config_builder().timeout_global(Some(LOOK_TIMEOUT)).build();
            let agent: Agent = config.into();
            while let Ok(errand) = errands.recv() {
                if let Some(event) = run(&agent, errand) {
                    let _ = inputs.send(Input::Event(event));
                }
            }
        });
    }
}

fn run(agent: &Agent, errand: Errand) -> Option<Event> {
    match errand {
        Errand::Poll { endpoint, address, after } => {
            let answer = agent.get(format!("http://{address}/load?after={after}")).call();
            let report = answer.ok().and_then(|mut answer| answer.body_mut().read_json::<LoadReport>().ok());
            let report = report.map(|LoadReport { load, loaded, first_event, evicted }| Report {
                load,
                loaded,
                first_event,
                evicted,
            });
            Some(Event::Polled { endpoint, report })
        }
        Errand::Order { endpoint, address, load, fence, until } => {
            // Checked as late as can be: the lease may have run out while this waited.
            if Instant::now() >= until {
                return Some(Event::Ordered { endpoint, accepted: false });
            }
            let order = Order { load, term: fence.0, count: fence.1 };
            let accepted = agent.post(format!("http://{address}/orders")).send_json(&order).is_ok();
            Some(Event::Ordered { endpoint, accepted })
        }
        Errand::Cancel { address, request } => {
            // The closed connection cancels as well; this is only faster.
            let _ = agent.post(format!("http://{address}/cancel/{request}")).send_empty();
            None
        }
    }
}
