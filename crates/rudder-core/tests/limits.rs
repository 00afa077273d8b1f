//! Rate limits of endpoints: they reach all instances, and the permits of all instances stay within them under faults.

mod mesh;

use std::time::Duration;

use rudder_core::{
    Event, Phase,
    limits::{LimitKind, LimitReport},
    permits::{PermitAnswer, PermitRequest},
};
use rudder_model::{EndpointTag, RequestRate, id};

use mesh::{
    Mesh,
    holders::{self, Load},
};

const SECOND: Duration = Duration::from_secs(1);
/// Interval between two steps of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// Time over which permits are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The limit, in requests a second.
const LIMIT: f64 = 4.0;
/// Time within which all instances learn of a limit.
const PROPAGATION: Duration = Duration::from_secs(2);

fn tag() -> EndpointTag {
    id::endpoint_tag("e-1")
}

fn report(requests: Option<f64>) -> LimitReport {
    let rate = requests.and_then(RequestRate::try_from_per_second);
    LimitReport { endpoint: tag(), rate, age_ms: 0, kind: LimitKind::Requests }
}

fn rate_at(mesh: &Mesh, number: usize) -> Option<f64> {
    let state = mesh.nodes[number].state.as_ref()?;
    state.view.limits.rate(tag(), LimitKind::Requests).map(RequestRate::per_second)
}

/// Starts instances in three halls, with an endpoint that has reported its limit to one of them.
fn start(total: usize) -> Mesh {
    let mut mesh = Mesh::start(total, 3);
    mesh.run(SECOND * 3);
    mesh.heartbeat(0, 1, "e-1", Phase::Ready, 1);
    mesh.run(SECOND);
    mesh.send_event(total - 1, Event::Limit(report(Some(LIMIT))));
    mesh.run(PROPAGATION);
    mesh
}

/// Instances that continuously request permits for the endpoint, and the permits granted.
struct Demand {
    mesh: Mesh,
    /// Open requests: the ticket, and the instance that asked.
    asked: Vec<(u64, usize)>,
    tickets: u64,
    /// When each instance may ask again.
    retry_at: Vec<Duration>,
    /// Time of each permit.
    granted: Vec<Duration>,
}

impl Load for Demand {
    fn mesh(&mut self) -> &mut Mesh {
        &mut self.mesh
    }

    fn run(&mut self, span: Duration) {
        let end = self.mesh.now + span;
        while self.mesh.now < end {
            for number in 0..self.retry_at.len() {
                self.ask(number);
            }
            self.mesh.run(STEP);
            self.take_answers();
        }
    }
}

impl Demand {
    fn start(total: usize) -> Demand {
        let retry_at = vec![Duration::ZERO; total];
        Demand { mesh: start(total), asked: Vec::new(), tickets: 0, retry_at, granted: Vec::new() }
    }

    fn ask(&mut self, number: usize) {
        let node = &self.mesh.nodes[number];
        let waits = self.asked.iter().any(|(_, asker)| *asker == number);
        if node.state.is_none() || node.paused || waits || self.mesh.now < self.retry_at[number] {
            return;
        }
        self.tickets += 1;
        self.asked.push((self.tickets, number));
        let request = PermitRequest {
            limit: report(Some(LIMIT)),
            hall: "hall-0".into(),
            tier: 0,
            wanted: 1,
            span: Duration::ZERO,
        };
        self.mesh.send_event(number, Event::AskPermit { ticket: self.tickets, request });
    }

    fn take_answers(&mut self) {
        let now = self.mesh.now;
        for (ticket, number) in std::mem::take(&mut self.asked) {
            match self.mesh.permitted.remove(&ticket) {
                Some(PermitAnswer::Granted(count)) => self.granted.extend((0..count).map(|_| now)),
                Some(PermitAnswer::Denied(retry)) => self.retry_at[number] = now + retry,
                // A killed instance asks again after its restart.
                None if self.mesh.nodes[number].state.is_none() => {}
                None => self.asked.push((ticket, number)),
            }
        }
    }

    fn check(&self) {
        let within =
            |first: &Duration| self.granted.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count();
        let most = self.granted.iter().map(within).max().unwrap_or_default();
        let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
        assert!(most as f64 <= allowed, "{most} were granted in {WINDOW:?}, {allowed} may be");
    }

    /// Rate of permits since `from`, as a fraction of the limit.
    fn used_since(&self, from: Duration) -> f64 {
        let span = self.mesh.now.saturating_sub(from).as_secs_f64();
        self.granted.iter().filter(|at| **at >= from).count() as f64 / (span * LIMIT)
    }
}

/// Injects a fault while all instances request permits. The limit holds throughout, and is well used afterwards.
fn run(total: usize, fault: impl Fn(&mut Demand)) {
    let mut demand = Demand::start(total);
    demand.run(SECOND * 6);
    fault(&mut demand);
    demand.run(SECOND * 4);
    let from = demand.mesh.now;
    demand.run(SECOND * 6);
    demand.check();
    let used = demand.used_since(from);
    assert!(used > 0.8, "{used} of the limit is used");
}

macro_rules! faults {
    ($($(#[$meta:meta])* $name:ident: $total:expr, $fault:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            run($total, $fault);
        })*
    };
}

faults! {
    nine_instances_stay_within_the_limit: 9, |_| {};
    sixty_instances_stay_within_the_limit: 60, |_| {};
    the_holder_is_killed: 9, holders::kill;
    the_holder_of_sixty_is_killed: 60, holders::kill;
    the_holder_is_killed_and_comes_back: 9, |demand| holders::kill_for(demand, SECOND);
    holders_are_killed_in_series: 9, holders::kill_in_series;
    the_holder_is_paused_briefly: 9, |demand| holders::pause(demand, SECOND / 2);
    the_holder_is_paused_for_long: 9, |demand| holders::pause(demand, SECOND * 4);
    the_holder_is_cut_off: 9, holders::cut_off;
    the_leader_is_killed: 9, holders::kill_leader;
    all_are_killed: 9, |demand| demand.mesh.restart_all();
    messages_are_lost: 9, holders::lose_messages;
    messages_are_late: 9, |demand| holders::delay_messages(demand, Duration::from_millis(120));
}

/// Checks the limit known at all instances.
fn assert_known(mesh: &Mesh, expected: Option<f64>) {
    for number in 0..mesh.nodes.len() {
        assert_eq!(rate_at(mesh, number), expected, "at instance {number}");
    }
}

macro_rules! propagates {
    ($($(#[$meta:meta])* $name:ident: $total:expr, $action:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let mut mesh = start($total);
            assert_known(&mesh, Some(LIMIT));
            let action: fn(&mut Mesh) = $action;
            action(&mut mesh);
            mesh.run(PROPAGATION);
            assert_known(&mesh, $expected);
        })*
    };
}

propagates! {
    a_limit_reaches_nine_instances: 9, |_| {} => Some(LIMIT);
    a_limit_reaches_a_hundred_and_twenty_instances: 120, |_| {} => Some(LIMIT);
    the_latest_limit_replaces_the_one_before: 60, |mesh| mesh.send_event(3, Event::Limit(report(Some(0.5)))) => Some(0.5);
    the_end_of_a_limit_reaches_all: 60, |mesh| mesh.send_event(3, Event::Limit(report(None))) => None;
    /// The report is older than the limit and arrives late.
    an_older_report_changes_nothing: 9, |mesh| {
        mesh.send_event(3, Event::Limit(LimitReport { age_ms: 60_000, ..report(None) }));
    } => Some(LIMIT);
    an_instance_that_starts_later_learns_the_limit: 60, |mesh| {
        mesh.kill(30);
        mesh.run(SECOND * 3);
        mesh.boot(30);
        mesh.run(SECOND * 5);
    } => Some(LIMIT);
    a_new_leader_knows_the_limit: 9, |mesh| {
        let leader = mesh.leader().expect("one leads");
        mesh.kill(leader);
        mesh.run(SECOND * 4);
        mesh.boot(leader);
        mesh.run(SECOND * 5);
    } => Some(LIMIT);
    a_limit_survives_the_loss_of_the_instance_that_learned_it: 9, |mesh| {
        mesh.kill(8);
        mesh.run(SECOND * 20);
        mesh.boot(8);
        mesh.run(SECOND * 5);
    } => Some(LIMIT);
}

/// Without changes, limits are exchanged only at long intervals.
#[test]
fn unchanged_limits_cause_little_traffic() {
    let mut mesh = start(9);
    mesh.run(SECOND * 10);
    let bytes = |mesh: &Mesh| mesh.sent_by(8, "watch").bytes;
    let before = bytes(&mesh);
    mesh.run(SECOND * 20);
    let limited = bytes(&mesh) - before;
    let mut plain = Mesh::start(9, 3);
    plain.run(SECOND * 17);
    let before = bytes(&plain);
    plain.run(SECOND * 20);
    let unlimited = bytes(&plain) - before;
    assert!(limited < unlimited + 200, "{limited} bytes in 20 s, {unlimited} without a limit");
}
