//! Cost of publishing a registry change to the traffic thread: copies of all endpoints and a new roster.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{hint::black_box, sync::Arc, time::Duration};

use divan::Bencher;
use rudder_core::{Registration, Registry};
use rudder_gateway::roster::Roster;

use support::endpoint;

fn main() {
    divan::main();
}

/// A registry with this many endpoints.
fn registry(endpoints: usize) -> Registry {
    let mut registry = Registry::default();
    for number in 0..endpoints {
        let name = format!("i-{number:08x}+1792914332612").into();
        let registration = Registration { endpoint: name, born: Some(1_792_914_332_612), ..endpoint(number, "hall-0") };
        registry.record_heartbeat(Duration::ZERO, &registration);
    }
    registry
}

/// The copies for the control thread and for the traffic thread, and the roster.
#[divan::bench(args = [200, 3_000, 12_000])]
fn publish(bencher: Bencher, endpoints: usize) {
    let registry = registry(endpoints);
    bencher.bench_local(|| {
        let control: Vec<Arc<Registration>> = registry.iter().cloned().collect();
        let published = control.clone();
        let roster = Roster::new(published.iter().cloned());
        black_box((control, published, roster))
    });
}

/// The leader's update for an instance that lacks one change.
#[divan::bench(args = [200, 3_000, 12_000])]
fn answer(bencher: Bencher, endpoints: usize) {
    let mut registry = registry(endpoints);
    registry.begin_term(Duration::ZERO, 1);
    let (known_version, hall) = (registry.version(), "hall-0".into());
    let first = registry.iter().next().expect("an endpoint").clone();
    registry.record_heartbeat_as_leader(
        Duration::ZERO,
        &Registration { sequence: 2, slots: 65, ..Registration::clone(&first) },
    );
    bencher.bench_local(|| black_box(registry.delta_since(known_version, &hall, None)));
}
