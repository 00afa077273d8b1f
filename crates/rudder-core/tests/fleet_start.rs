//! The start of a whole fleet: a thousand instances on slow links before ten thousand endpoints, whose heartbeats come again
//! where they are refused.

mod mesh;

use std::{collections::BTreeSet, time::Duration};

use mesh::{Layout, Mesh};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::{Event, Options, Phase, Registration};

const TOTAL: usize = 995;
const HALLS: usize = 5;
const DISKS: usize = 10;
const ENDPOINTS: usize = 10_000;
/// Bytes per second of the links of instances with a disk, and of the others.
const LINKS: (u64, u64) = (125_000_000, 1_250_000);
/// Shares of a core of the same.
const CORES: (f64, f64) = (0.5, 0.12);
/// Time from the start of the instances to the first callers.
const LEAD: Duration = Duration::from_secs(24);
/// Instances that must be ready by then.
const READY: usize = 990;
/// Interval between the heartbeats of an endpoint.
const HEARTBEAT: Duration = Duration::from_secs(5);
/// Time after which an endpoint gives up an instance without an answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an endpoint that was refused asks another instance.
const RETRY_DELAY: Duration = Duration::from_millis(750);
/// Largest age of the proof with which an instance serves.
const PROOF: Duration = Duration::from_millis(3500);
/// Time from the start until an operator sends the first document, and again until it is acknowledged.
const FIRST_DOCUMENT: Duration = Duration::from_millis(600);
/// Bytes of the document of several hundred organisations.
const DOCUMENT_BYTES: usize = 85_000;
const STEP: Duration = Duration::from_millis(10);

/// An endpoint and its heartbeats.
struct Endpoint {
    /// The number of its last heartbeat; also part of its ticket.
    sequence: u64,
    /// When it sends the next one, or gives up the one under way.
    next: Duration,
}

struct Fleet {
    mesh: Mesh,
    endpoints: Vec<Endpoint>,
    /// When heartbeats are due.
    due: BTreeSet<(Duration, usize)>,
    refused: u64,
    sent: u64,
    documents: u64,
    rng: Pcg32,
}

impl Fleet {
    fn start() -> Fleet {
        let layout = Layout {
            halls: HALLS,
            total: TOTAL,
            disks: DISKS,
            voters: 5,
            rates: Some(LINKS),
            cores: Some(CORES),
            tune,
            ..Layout::default()
        };
        let mesh = Mesh::start_as(layout);
        let mut rng = Pcg32::seed_from_u64(3);
        let now = mesh.now;
        let mut due = BTreeSet::new();
        let endpoints = (0..ENDPOINTS).map(|number| {
            let next = now + rng.random_range(Duration::ZERO..HEARTBEAT);
            due.insert((next, number));
            Endpoint { sequence: 0, next }
        });
        let endpoints = endpoints.collect();
        Fleet { mesh, endpoints, due, refused: 0, sent: 0, documents: 0, rng }
    }

    /// Sends the heartbeats that are due, each to an instance at random.
    fn send_heartbeats(&mut self) {
        let now = self.mesh.now;
        while let Some(&(at, number)) = self.due.first() {
            if at > now {
                return;
            }
            self.due.pop_first();
            let endpoint = &mut self.endpoints[number];
            endpoint.sequence += 1;
            endpoint.next = now + HEARTBEAT_TIMEOUT;
            self.due.insert((endpoint.next, number));
            let ticket = ticket(number, endpoint.sequence);
            let registration = registration(number, endpoint.sequence);
            let target = self.rng.random_range(0..TOTAL);
            self.sent += 1;
            self.mesh.send_event(target, Event::Register { ticket, registration });
        }
    }

    /// Schedules the next heartbeats of the endpoints that were answered.
    fn take_answers(&mut self) {
        for (answered, accepted) in std::mem::take(&mut self.mesh.registered) {
            let number = (answered % ENDPOINTS as u64) as usize;
            let endpoint = &mut self.endpoints[number];
            if answered != ticket(number, endpoint.sequence) {
                continue;
            }
            self.refused += u64::from(!accepted);
            let delay = if accepted { HEARTBEAT } else { RETRY_DELAY };
            self.due.remove(&(endpoint.next, number));
            endpoint.next = self.mesh.now + delay;
            self.due.insert((endpoint.next, number));
        }
    }

    /// Sends the first document while it isn't acknowledged, to one instance after the other.
    fn put_document(&mut self, since: Duration) {
        let waited = FIRST_DOCUMENT + Duration::from_secs(2) * self.documents as u32;
        if self.is_acknowledged() || since < waited {
            return;
        }
        self.documents += 1;
        let target = self.rng.random_range(0..TOTAL);
        let mut rng = Pcg32::seed_from_u64(1);
        let mut body = String::new();
        while body.len() < DOCUMENT_BYTES {
            body.push_str(&mesh::route(&mut rng));
        }
        self.mesh.put(target, self.documents, 1, &body);
    }

    fn is_acknowledged(&self) -> bool {
        self.mesh.documented.values().any(|version| *version == Some(1))
    }

    /// Number of instances that may serve callers.
    fn ready(&self) -> usize {
        let is_ready = |number: &usize| self.mesh.is_fresh(*number, PROOF) && self.mesh.version_at(*number) == 1;
        (0..TOTAL).filter(is_ready).count()
    }

    fn report(&self, since: Duration) -> String {
        let voters = self.mesh.nodes.iter().filter_map(|node| node.state.as_ref()?.control.as_ref());
        let term = voters.map(|control| control.replica.term()).max().unwrap_or_default();
        format!(
            "{since:?}: {} of {TOTAL} ready, leader {:?}, term {term}, document acknowledged: {}, heartbeats {} of which refused {}",
            self.ready(),
            self.mesh.leader(),
            self.is_acknowledged(),
            self.sent,
            self.refused
        )
    }
}

/// The times of real instances before endpoints that send heartbeats at long intervals.
fn tune(options: Options) -> Options {
    Options { silence_timeout: HEARTBEAT * 2 + Duration::from_millis(2600), ..mesh::with_real_times(options) }
}

fn ticket(number: usize, sequence: u64) -> u64 {
    sequence * ENDPOINTS as u64 + number as u64
}

fn registration(number: usize, sequence: u64) -> Registration {
    let hall = format!("hall-{}", number % HALLS);
    let address = format!("10.128.{}.{}:8080", number / 250, number % 250).as_str().into();
    let name = format!("i-{number:010x}");
    let service = if number.is_multiple_of(35) { "plain" } else { "model" };
    let born = Some(1_783_648_167_000);
    Registration {
        address,
        born,
        sequence,
        phase: Phase::Ready,
        service: service.into(),
        ..mesh::registration(&name, &hall)
    }
}

/// Guards against a start whose own load costs the leader its lease, so that nothing is committed and nobody serves.
#[test]
fn a_fleet_that_starts_before_all_its_endpoints_is_ready_in_time() {
    let mut fleet = Fleet::start();
    let begun = fleet.mesh.now;
    let mut reported = Duration::ZERO;
    loop {
        let since = fleet.mesh.now.saturating_sub(begun);
        fleet.put_document(since);
        fleet.send_heartbeats();
        fleet.mesh.run(STEP);
        fleet.take_answers();
        if since >= reported {
            reported += Duration::from_secs(1);
            println!("{}", fleet.report(since));
        }
        let done = fleet.is_acknowledged() && fleet.ready() >= READY;
        if done {
            println!("{}", fleet.report(since));
            return;
        }
        assert!(since < LEAD, "{}", fleet.report(since));
    }
}
