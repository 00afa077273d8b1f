//! Instances that lose power together and start again while callers wait: how soon they serve.

mod mesh;

use std::time::Duration;

use mesh::{Layout, Mesh};
use rand::SeedableRng as _;
use rand_pcg::Pcg32;
use rudder_core::Phase;

/// Bytes per second of the links of instances with a disk, and of the others.
const LINKS: (u64, u64) = (125_000_000, 1_250_000);
/// Shares of a core of the same.
const CORES: (f64, f64) = (0.6, 0.12);
/// Bytes of the document.
const DOCUMENT_BYTES: usize = 13_000;
/// Largest age of the proof with which an instance serves.
const PROOF: Duration = Duration::from_millis(3500);
/// Time within which callers want the first token of an answer.
const FIRST_TOKEN: Duration = Duration::from_millis(420);
/// Time for which the power is lost.
const OUTAGE: Duration = Duration::from_millis(1300);
/// Time for the start and for an election.
const SETTLE: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);

/// A system in service.
struct Service {
    mesh: Mesh,
    endpoints: usize,
    disks: usize,
    beats: u64,
}

impl Service {
    fn start(total: usize, disks: usize, endpoints: usize) -> Service {
        let layout = Layout {
            total,
            disks,
            voters: disks,
            rates: Some(LINKS),
            cores: Some(CORES),
            tune: mesh::with_real_times,
            ..Layout::default()
        };
        let mut service = Service { mesh: Mesh::start_as(layout), endpoints, disks, beats: 0 };
        service.mesh.run(SETTLE);
        let mut rng = Pcg32::seed_from_u64(1);
        let mut body = String::new();
        while body.len() < DOCUMENT_BYTES {
            body.push_str(&mesh::route(&mut rng));
        }
        service.mesh.put(disks, 1, 1, &body);
        service.beat();
        service.mesh.run(SETTLE);
        assert!(service.is_ready(), "{} of {} ready before the loss", service.ready(), service.total());
        service
    }

    fn total(&self) -> usize {
        self.mesh.nodes.len()
    }

    /// Sends a heartbeat of each endpoint to an instance that accepts callers.
    fn beat(&mut self) {
        self.beats += 1;
        for number in 0..self.endpoints {
            let target = self.disks + number % (self.total() - self.disks);
            self.mesh.heartbeat(target, self.beats, &format!("i-{number:010x}"), Phase::Ready, self.beats);
        }
    }

    /// Number of instances that may serve callers.
    fn ready(&self) -> usize {
        let is_ready = |number: &usize| self.mesh.is_fresh(*number, PROOF) && self.mesh.version_at(*number) == 1;
        (0..self.total()).filter(is_ready).count()
    }

    fn is_ready(&self) -> bool {
        self.ready() == self.total()
    }

    /// Ends the instances from `first` on at once, and starts them again after the outage.
    fn lose_power(&mut self, first: usize) {
        for number in first..self.total() {
            self.mesh.kill(number);
        }
        self.mesh.run(OUTAGE);
        for number in first..self.total() {
            self.mesh.boot(number);
        }
        self.beat();
    }

    /// Runs until `holds`.
    fn run_until(&mut self, what: &str, holds: impl Fn(&Service) -> bool) -> Duration {
        let begun = self.mesh.now;
        while !holds(self) {
            self.mesh.run(STEP);
            assert!(self.mesh.now < begun + SETTLE, "{what} in vain: {} of {} ready", self.ready(), self.total());
        }
        self.mesh.now.saturating_sub(begun)
    }

    /// Asserts that all instances serve callers within the time for a first token.
    fn assert_ready_soon(&mut self) {
        let took = self.run_until("waited for all", Service::is_ready);
        assert!(took <= FIRST_TOKEN, "all are ready {took:?} after there is a leader");
    }
}

/// Guards against a leader that has everyone wait for relays which hold nothing themselves, after all have lost power.
fn all_are_ready_soon_after_a_loss_of_power(total: usize, disks: usize, endpoints: usize) {
    let mut service = Service::start(total, disks, endpoints);
    service.lose_power(0);
    service.run_until("waited for a leader", |service| service.mesh.leader().is_some());
    service.assert_ready_soon();
}

/// Guards against the same after all instances without a disk have lost power, which the leader still takes for relays.
fn all_are_ready_soon_after_the_edges_lost_power(total: usize, disks: usize, endpoints: usize) {
    let mut service = Service::start(total, disks, endpoints);
    service.lose_power(disks);
    service.assert_ready_soon();
}

macro_rules! cases {
    ($check:ident: $($name:ident($total:expr, $disks:expr, $endpoints:expr);)*) => {
        $(
            #[test]
            fn $name() {
                $check($total, $disks, $endpoints);
            }
        )*
    };
}

cases! {
    all_are_ready_soon_after_a_loss_of_power:
    ten_instances_are_ready_soon_after_a_loss_of_power(10, 3, 12);
    sixty_instances_are_ready_soon_after_a_loss_of_power(60, 5, 90);
    ninety_instances_are_ready_soon_after_a_loss_of_power(92, 5, 115);
}

cases! {
    all_are_ready_soon_after_the_edges_lost_power:
    ten_instances_are_ready_soon_after_the_edges_lost_power(10, 3, 12);
    sixty_instances_are_ready_soon_after_the_edges_lost_power(60, 5, 90);
    ninety_instances_are_ready_soon_after_the_edges_lost_power(92, 5, 115);
}
