//! Loans of an endpoint that falls over after too many rejections: what all instances cause together, under faults.

mod mesh;

use std::time::Duration;

use rudder_core::{
    Event, Phase,
    limits::{LimitKind, LimitReport},
    permits::{LoanReturn, PermitAnswer, PermitRequest},
};
use rudder_model::{EndpointTag, RequestRate, id};

use mesh::{
    Mesh,
    holders::{self, Load},
};

const SECOND: Duration = Duration::from_secs(1);
/// Interval between two steps of the simulation.
const STEP: Duration = Duration::from_millis(20);
/// How long the endpoint works on a request.
const WORK: Duration = Duration::from_millis(200);
/// Longest time until a loan is returned.
const SPAN: Duration = Duration::from_secs(2);
/// Rejections in a second that the endpoint bears, but where a case says otherwise.
const BORNE: f64 = 5.0;
/// Requests at once that it accepts at first, and after it has lost room.
const ROOM: (usize, usize) = (16, 6);
/// Time within which all instances learn that it is brittle.
const PROPAGATION: Duration = Duration::from_secs(2);
/// Share of the room that is used at least.
const USED: f64 = 0.5;

fn tag() -> EndpointTag {
    id::endpoint_tag("e-1")
}

fn report(borne: f64) -> LimitReport {
    let rate = RequestRate::try_from_per_second(borne);
    LimitReport { endpoint: tag(), rate, age_ms: 0, kind: LimitKind::Rejections }
}

/// What an instance does for its one caller.
#[derive(Clone, Copy, Debug)]
enum Caller {
    /// It may ask from this time on.
    Idle(Duration),
    /// It waits for the answer to this ticket.
    Asking(u64),
    /// Its request runs until then, with this loan if it has one.
    Running(Duration, Option<u64>),
}

/// Instances with one caller each, and the endpoint.
struct Demand {
    mesh: Mesh,
    callers: Vec<Caller>,
    tickets: u64,
    /// Rejections in a second that the endpoint bears.
    borne: f64,
    room: usize,
    /// Time of each rejection and of each accepted request.
    rejected: Vec<Duration>,
    accepted: Vec<Duration>,
}

impl Load for Demand {
    fn mesh(&mut self) -> &mut Mesh {
        &mut self.mesh
    }

    fn run(&mut self, span: Duration) {
        let end = self.mesh.now + span;
        while self.mesh.now < end {
            for number in 0..self.callers.len() {
                self.callers[number] = self.step(number);
            }
            self.mesh.run(STEP);
        }
    }
}

impl Demand {
    fn start(total: usize, borne: f64) -> Demand {
        let mut mesh = Mesh::start(total, 3);
        mesh.run(SECOND * 3);
        mesh.heartbeat(0, 1, "e-1", Phase::Ready, 1);
        mesh.run(SECOND);
        mesh.send_event(total - 1, Event::Limit(report(borne)));
        mesh.run(PROPAGATION);
        let callers = vec![Caller::Idle(Duration::ZERO); total];
        Demand { mesh, callers, tickets: 0, borne, room: ROOM.0, rejected: Vec::new(), accepted: Vec::new() }
    }

    fn step(&mut self, number: usize) -> Caller {
        let (node, now) = (&self.mesh.nodes[number], self.mesh.now);
        if node.state.is_none() {
            return Caller::Idle(now);
        }
        match self.callers[number] {
            Caller::Idle(retry_at) if now >= retry_at && !node.paused => self.ask(number),
            Caller::Asking(ticket) => match self.mesh.permitted.remove(&ticket) {
                Some(PermitAnswer::Granted(_)) => self.send(number, Some(ticket)),
                Some(PermitAnswer::Denied(retry)) => Caller::Idle(now + retry),
                None => Caller::Asking(ticket),
            },
            Caller::Running(until, ticket) if now >= until => {
                self.answer(number, ticket, false);
                Caller::Idle(now)
            }
            other => other,
        }
    }

    /// Asks for a loan, or sends without one where the endpoint is not known to be brittle.
    fn ask(&mut self, number: usize) -> Caller {
        let state = self.mesh.nodes[number].state.as_ref().expect("it runs");
        if !state.is_ready(self.mesh.now) {
            return Caller::Idle(self.mesh.now);
        }
        if state.view.limits.rate(tag(), LimitKind::Rejections).is_none() {
            return self.send(number, None);
        }
        self.tickets += 1;
        let request =
            PermitRequest { limit: report(self.borne), hall: "hall-0".into(), tier: 0, wanted: 1, span: SPAN };
        self.mesh.send_event(number, Event::AskPermit { ticket: self.tickets, request });
        Caller::Asking(self.tickets)
    }

    fn send(&mut self, number: usize, ticket: Option<u64>) -> Caller {
        let now = self.mesh.now;
        let running = self.callers.iter().filter(|caller| matches!(caller, Caller::Running(..))).count();
        if running >= self.room {
            self.rejected.push(now);
            self.answer(number, ticket, true);
            return Caller::Idle(now + STEP);
        }
        self.accepted.push(now);
        Caller::Running(now + WORK, ticket)
    }

    /// The endpoint answers, which says that it is brittle, and the loan is returned.
    fn answer(&mut self, number: usize, ticket: Option<u64>, rejected: bool) {
        self.mesh.send_event(number, Event::Limit(report(self.borne)));
        if ticket.is_some() || rejected {
            let loan = LoanReturn { ticket, endpoint: tag(), hall: "hall-0".into(), rejected };
            self.mesh.send_event(number, Event::ReturnLoan(loan));
        }
    }

    fn check_rejections(&self) {
        let within =
            |first: &Duration| self.rejected.iter().filter(|at| (*first..*first + SECOND).contains(*at)).count();
        let most = self.rejected.iter().map(within).max().unwrap_or_default();
        assert!(most as f64 <= self.borne, "{most} rejections in a second, {} are borne", self.borne);
    }

    /// Share since `from` of the requests that the room or the callers allow.
    fn used_since(&self, from: Duration) -> f64 {
        let span = self.mesh.now.saturating_sub(from).as_secs_f64();
        let possible = self.room.min(self.callers.len()) as f64 * span / WORK.as_secs_f64();
        self.accepted.iter().filter(|at| **at >= from).count() as f64 / possible
    }
}

/// The endpoint loses room while all instances send to it, and a fault is injected. It gets no more than it bears to reject
/// throughout, and its room is used afterwards.
fn run(total: usize, borne: f64, fault: impl Fn(&mut Demand)) {
    let mut demand = Demand::start(total, borne);
    demand.run(SECOND * 4);
    demand.room = ROOM.1;
    demand.run(SECOND * 3);
    fault(&mut demand);
    demand.run(SECOND * 6);
    let from = demand.mesh.now;
    demand.run(SECOND * 6);
    let used = demand.used_since(from);
    println!("{} rejections, {used:.2} of the room is used", demand.rejected.len());
    demand.check_rejections();
    assert!(used >= USED, "{used:.2} of the room is used");
}

macro_rules! faults {
    ($($(#[$meta:meta])* $name:ident: $total:expr, $fault:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            run($total, BORNE, $fault);
        })*
    };
}

faults! {
    nine_instances_stay_within_what_is_borne: 9, |_| {};
    sixty_instances_stay_within_what_is_borne: 60, |_| {};
    three_hundred_instances_stay_within_what_is_borne: 300, |_| {};
    nearly_a_thousand_instances_stay_within_what_is_borne: 995, |_| {};
    /// The next holder knows nothing of the loans.
    the_holder_is_killed: 24, holders::kill;
    the_holder_of_sixty_is_killed: 60, holders::kill;
    the_holder_is_killed_and_comes_back: 24, |demand| holders::kill_for(demand, SECOND);
    holders_are_killed_in_series: 24, holders::kill_in_series;
    the_holder_is_paused_for_long: 24, |demand| holders::pause(demand, SECOND * 4);
    the_holder_is_cut_off: 24, holders::cut_off;
    the_leader_is_killed: 24, holders::kill_leader;
    borrowers_are_killed: 24, |demand| {
        let holder = holders::find(demand);
        let borrowers: Vec<usize> = (0..8).filter(|number| *number != holder).collect();
        for number in &borrowers {
            demand.mesh.kill(*number);
        }
        demand.run(SECOND);
        for number in borrowers {
            demand.mesh.boot(number);
        }
    };
    all_instances_are_killed: 24, |demand| demand.mesh.restart_all();
    messages_are_lost: 24, holders::lose_messages;
    messages_are_late: 24, |demand| holders::delay_messages(demand, Duration::from_millis(60));
    the_endpoint_loses_and_regains_room_again_and_again: 24, |demand| {
        for _ in 0..5 {
            demand.room = ROOM.0;
            demand.run(SECOND * 3);
            demand.room = ROOM.1;
            demand.run(SECOND * 3);
        }
    };
}

macro_rules! bounds {
    ($($(#[$meta:meta])* $name:ident: $total:expr, $borne:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            run($total, $borne, |_| {});
        })*
    };
}

bounds! {
    /// Guards against a bound that is kept only by fewer instances than rejections are borne.
    an_endpoint_that_bears_one_rejection_a_second: 72, 1.0;
    an_endpoint_that_bears_two_rejections_a_second: 72, 2.0;
    an_endpoint_that_bears_forty_rejections_a_second: 72, 40.0;
}

/// Guards against instances that send to a brittle endpoint as to any other until they have been told.
#[test]
fn an_instance_that_starts_again_knows_it_before_it_takes_callers() {
    let mut demand = Demand::start(60, BORNE);
    let number = 30;
    demand.mesh.kill(number);
    demand.mesh.run(SECOND * 3);
    demand.mesh.boot(number);
    for _ in 0..200 {
        demand.mesh.run(STEP);
        let Some(state) = demand.mesh.nodes[number].state.as_ref() else { continue };
        if state.is_ready(demand.mesh.now) {
            assert!(state.view.limits.rate(tag(), LimitKind::Rejections).is_some());
            return;
        }
    }
    panic!("it never took callers");
}
