//! A fleet under random faults in virtual time: every instance holds at all times what it claims to prove, and all
//! recover.
//!
//! The environment variables `RUDDER_SEED` and `RUDDER_TESTS` set the first seed and the number of seeds. A failing
//! schedule is minimised and printed.

mod mesh;

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use mesh::{
    Defect, Layout, Mesh,
    receiver::{HANDOVER, ReceiverMode},
};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::{
    Event, Phase, State,
    options::{DutyOptions, UsageOptions},
};
use rudder_ledger::Stage;

const TOTAL: usize = 120;
const HALLS: usize = 3;
const DISKS: usize = 5;
/// Maximum number of instances with a disk that are unavailable at once.
const MAX_LOST_DISKS: usize = 2;
/// Number of actions in a schedule.
const STEPS: usize = 40;
/// Bytes per second of the links of instances with a disk, and of the others.
const LINKS: (u64, u64) = (12_500_000, 937_500);
/// One of so many documents has thousands of routes.
const LARGE_EVERY: u64 = 3;
const ROUTES: usize = 1_628;
/// Time span of a schedule.
const SPAN: Duration = Duration::from_secs(20);
/// Interval between checks of all instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between releases of a new version of endpoints' software.
const RELEASE_INTERVAL: Duration = Duration::from_secs(3);
/// Number of requests started between two checks.
const REQUESTS_PER_CHECK: usize = 3;
const ORG: &str = "acme";
/// The service of all endpoints.
const SERVICE: &str = "model";
/// Time of day at virtual time zero.
const ORIGIN: Duration = Duration::from_secs(1_000_000);
/// Time from the last fault until all windows then open are reported.
const REPORT_TIME: Duration = Duration::from_secs(16);
/// Time from the last fault until all instances have a recent proof again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// A fault or change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// An instance is killed and restarted later.
    Kill(usize),
    /// An instance is paused for a while.
    Pause(usize),
    /// An instance is partitioned for a while.
    Cut(usize),
    /// All instances of a hall without a disk are killed and restarted later.
    KillHall(usize),
    /// All instances are killed and restarted at once.
    KillAll,
    /// Messages are lost and delayed for a while.
    DegradeNetwork,
    /// An operator submits a new document to an instance.
    Put(usize),
    /// An endpoint announces its departure to an instance.
    Leave(usize),
    /// The clock of an instance steps by two seconds and back later.
    StepClock(usize),
    /// The receiver of duties changes its mode for a while.
    Receiver(ReceiverMode),
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Duration,
    lasts: Duration,
    action: Action,
}

fn draw_schedule(seed: u64) -> Vec<Step> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut steps: Vec<Step> = (0..STEPS).map(|_| draw_step(&mut rng)).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw_step(rng: &mut impl Rng) -> Step {
    let any = rng.random_range(0..TOTAL);
    let disk = rng.random_range(0..DISKS);
    let target = if rng.random_bool(0.3) { disk } else { any };
    let action = match rng.random_range(0..20) {
        0..3 => Action::Kill(target),
        3..6 => Action::Pause(target),
        6..8 => Action::Cut(target),
        8 => Action::KillHall(rng.random_range(0..HALLS)),
        9 if rng.random_bool(0.3) => Action::KillAll,
        9 => Action::DegradeNetwork,
        10..14 => Action::Put(any),
        14..17 => Action::Leave(any),
        17 => Action::StepClock(target),
        _ => Action::Receiver([ReceiverMode::Mute, ReceiverMode::Busy, ReceiverMode::Down][rng.random_range(0..3)]),
    };
    let at = rng.random_range(Duration::ZERO..SPAN);
    Step { at, lasts: rng.random_range(Duration::from_millis(200)..Duration::from_secs(4)), action }
}

/// A fleet and what it has acknowledged.
struct Fleet {
    mesh: Mesh,
    /// Actions to end and the time of their end.
    ends: Vec<(Duration, Action)>,
    /// Document versions acknowledged, with the time of observation.
    acknowledged: Vec<(u64, Duration)>,
    /// Departing endpoints by ticket.
    leaving: BTreeMap<u64, String>,
    /// Departures acknowledged, with the time.
    departed: Vec<(String, Duration)>,
    versions: Vec<(u64, u64)>,
    count: u64,
    /// Number of requests started.
    started: u64,
    /// Endpoints of new versions are started, and their versions checked.
    releases: bool,
    rng: Pcg32,
}

impl Fleet {
    fn start(seed: u64) -> Fleet {
        let duties = DutyOptions { handover: HANDOVER, usage: Some(UsageOptions::default()), scaling: None };
        let rates = Some(LINKS);
        let layout = Layout { halls: HALLS, total: TOTAL, disks: DISKS, duties, rates, ..Layout::default() };
        let mut mesh = Mesh::start_as(layout);
        mesh.seed(seed);
        mesh.run(Duration::from_secs(5));
        mesh.put(9, 1, 1, "{\"first\":1}{\"second\":2}");
        mesh.run(Duration::from_secs(1));
        Fleet {
            mesh,
            ends: Vec::new(),
            acknowledged: Vec::new(),
            leaving: BTreeMap::new(),
            departed: Vec::new(),
            versions: vec![(0, 0); TOTAL],
            count: 1,
            started: 0,
            releases: false,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    fn play(&mut self, steps: &[Step]) -> Result<(), String> {
        let began = self.mesh.now;
        let mut next = steps.iter().peekable();
        while self.mesh.now < began + SPAN || !self.ends.is_empty() {
            while let Some(step) = next.next_if(|step| began + step.at <= self.mesh.now) {
                self.begin(step);
            }
            self.end_due();
            self.start_requests();
            if self.releases {
                self.beat_versions(self.mesh.now.saturating_sub(began));
                self.check_only_versions()?;
            }
            self.mesh.run(CHECK_INTERVAL);
            self.check()?;
        }
        self.mesh.run(RECOVERY_TIME);
        self.check()?;
        self.check_recovered()?;
        self.mesh.run(REPORT_TIME);
        self.check()?;
        self.check_reported()
    }

    /// Starts requests at random instances.
    fn start_requests(&mut self) {
        for _ in 0..REQUESTS_PER_CHECK {
            let number = self.rng.random_range(0..TOTAL);
            let node = &self.mesh.nodes[number];
            if node.state.is_some() && !node.paused {
                self.started += 1;
                self.mesh.begin_request(number, ORG);
            }
        }
    }

    /// Sends a heartbeat of one endpoint of each version that is released by now.
    fn beat_versions(&mut self, after: Duration) {
        let count = 1 + after.as_secs() / RELEASE_INTERVAL.as_secs();
        for release in 0..count {
            let number = self.rng.random_range(0..TOTAL);
            let sequence = after.as_millis() as u64 + 1;
            self.mesh.version_beat(number, &format!("r-{release}"), &format!("v{release}"), sequence);
        }
    }

    /// Checks that no instance that takes a version for the only one lacks one at which another lets streams begin.
    fn check_only_versions(&self) -> Result<(), String> {
        let running = |number: &usize| self.mesh.nodes[*number].state.is_some() && !self.mesh.nodes[*number].paused;
        let states = (0..TOTAL).filter(running).filter_map(|number| self.mesh.nodes[number].state.as_ref());
        let states: Vec<&State> = states.collect();
        for state in &states {
            let mut held = state.view.releases.of(SERVICE);
            let (Some(only), None) = (held.next(), held.next()) else { continue };
            if !state.view.knows_releases(self.mesh.now, state.options.liveness_timeout) {
                continue;
            }
            let in_use = states.iter().flat_map(|state| state.view.releases.iter());
            let other = in_use.filter(|(_, stage)| *stage == Stage::Admitted).find(|(known, _)| known.version != *only);
            if let Some((other, _)) = other {
                let name = &state.me.name;
                return Err(format!("{name} takes {only} for the only version, and {} is in use", other.version));
            }
        }
        Ok(())
    }

    fn begin(&mut self, step: &Step) {
        let ends = self.mesh.now + step.lasts;
        match step.action {
            Action::Kill(number) if self.may_disable(number) => self.mesh.kill(number),
            Action::Pause(number) if self.may_disable(number) => self.mesh.nodes[number].paused = true,
            Action::Cut(number) if self.may_disable(number) => self.mesh.nodes[number].cut = true,
            Action::KillHall(hall) => self.kill_hall(hall),
            Action::KillAll => (0..TOTAL).for_each(|number| self.mesh.kill(number)),
            Action::DegradeNetwork => (self.mesh.loss, self.mesh.delay) = (0.05, Duration::from_millis(150)),
            Action::StepClock(number) => {
                self.mesh.send_event(number, Event::ClockStepped(ORIGIN + Duration::from_secs(2)));
            }
            Action::Receiver(mode) => self.mesh.receiver.mode = mode,
            Action::Put(number) => return self.put(number),
            Action::Leave(number) => return self.leave(number),
            Action::Kill(_) | Action::Pause(_) | Action::Cut(_) => return,
        }
        let lasts = if step.action == Action::KillAll { self.mesh.now } else { ends };
        self.ends.push((lasts, step.action));
    }

    fn kill_hall(&mut self, hall: usize) {
        for number in (DISKS..TOTAL).filter(|number| number % HALLS == hall) {
            self.mesh.kill(number);
        }
    }

    /// Returns whether an instance can be disabled without exceeding [`MAX_LOST_DISKS`].
    fn may_disable(&self, number: usize) -> bool {
        let is_unavailable = |number: &usize| {
            let node = &self.mesh.nodes[*number];
            node.state.is_none() || node.cut || node.paused
        };
        number >= DISKS || (0..DISKS).filter(is_unavailable).count() < MAX_LOST_DISKS
    }

    fn put(&mut self, number: usize) {
        self.count += 1;
        let mut body = format!("{{\"first\":1}}{{\"second\":{}}}", self.count);
        if self.count.is_multiple_of(LARGE_EVERY) {
            body.extend((0..ROUTES).map(|_| mesh::route(&mut self.rng)));
        }
        self.mesh.put(number, self.count, self.count, &body);
    }

    fn leave(&mut self, number: usize) {
        self.count += 1;
        let endpoint = format!("e-{}", self.count);
        // An earlier heartbeat reaches another instance, which may pass it on after the departure.
        self.mesh.heartbeat((number + 1) % TOTAL, 0, &endpoint, Phase::Ready, 2);
        self.mesh.heartbeat(number, self.count, &endpoint, Phase::Leaving, 3);
        self.leaving.insert(self.count, endpoint);
    }

    fn end_due(&mut self) {
        let now = self.mesh.now;
        let (due, later): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        for (_, action) in due {
            self.end(action);
        }
    }

    fn end(&mut self, action: Action) {
        match action {
            Action::Pause(number) => self.mesh.wake(number),
            Action::Cut(number) => self.mesh.nodes[number].cut = false,
            Action::DegradeNetwork => (self.mesh.loss, self.mesh.delay) = (0.0, Duration::ZERO),
            Action::StepClock(number) => self.mesh.send_event(number, Event::ClockStepped(ORIGIN)),
            Action::Receiver(_) => self.mesh.receiver.mode = ReceiverMode::Answers,
            _ => {}
        }
        let down = |number: &usize| self.mesh.nodes[*number].state.is_none();
        let dead: Vec<usize> = match action {
            Action::Kill(number) => vec![number],
            Action::KillHall(hall) => (DISKS..TOTAL).filter(|number| number % HALLS == hall).collect(),
            Action::KillAll => (0..TOTAL).collect(),
            _ => Vec::new(),
        };
        for number in dead.into_iter().filter(down).collect::<Vec<_>>() {
            self.mesh.boot(number);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        self.record_acknowledged();
        for number in 0..TOTAL {
            self.check_version(number)?;
            self.check_proof(number)?;
        }
        self.check_duties()
    }

    /// Checks that no report changes, no fence has two holders and no call is made after the end of a lease.
    fn check_duties(&self) -> Result<(), String> {
        let receiver = &self.mesh.receiver;
        if let Some(violation) = receiver.violations.first() {
            return Err(violation.clone());
        }
        if receiver.stale > 0 {
            return Err(format!("{} calls came with the fence of an earlier holder", receiver.stale));
        }
        let reported = receiver.reported(ORG);
        if reported > self.started {
            return Err(format!("{reported} requests reported, {} started", self.started));
        }
        Ok(())
    }

    /// Checks that reports are complete except for requests lost with killed instances or counted after their window
    /// was closed.
    fn check_reported(&self) -> Result<(), String> {
        let leader = self.mesh.leader().and_then(|number| self.mesh.nodes[number].state.as_ref());
        let late = leader.and_then(|state| state.control.as_ref()).map_or(0, |control| control.ledger.usage.late());
        let (reported, lost) = (self.mesh.receiver.reported(ORG), self.mesh.unreported);
        if reported + late + lost < self.started {
            let started = self.started;
            return Err(format!("{reported} requests reported of {started}, {late} came late, {lost} were lost"));
        }
        Ok(())
    }

    fn record_acknowledged(&mut self) {
        let now = self.mesh.now;
        let answers = std::mem::take(&mut self.mesh.documented).into_values();
        self.acknowledged.extend(answers.flatten().map(|version| (version, now)));
        for (ticket, taken) in std::mem::take(&mut self.mesh.registered) {
            if let Some(endpoint) = self.leaving.remove(&ticket).filter(|_| taken) {
                self.departed.push((endpoint, now));
            }
        }
    }

    /// Checks that the document of an instance never goes back within one start.
    fn check_version(&mut self, number: usize) -> Result<(), String> {
        let Some(state) = &self.mesh.nodes[number].state else { return Ok(()) };
        let (start, version) = (state.me.start, self.mesh.version_at(number));
        let (seen_start, seen) = self.versions[number];
        self.versions[number] = (start, version);
        if start == seen_start && version < seen {
            return Err(format!("instance {number} went from document {seen} back to {version}"));
        }
        Ok(())
    }

    /// Checks that an instance holds everything acknowledged before the time as of which its configuration is proved.
    fn check_proof(&self, number: usize) -> Result<(), String> {
        let state = self.mesh.nodes[number].state.as_ref();
        let Some(proved) = state.and_then(|state| state.view.proved()) else { return Ok(()) };
        let version = self.mesh.version_at(number);
        let newest = self.acknowledged.iter().filter(|(_, at)| *at <= proved).map(|(version, _)| *version).max();
        if newest.is_some_and(|newest| version < newest) {
            return Err(format!("instance {number} proves document {version} as of {proved:?}, {newest:?} holds"));
        }
        for (endpoint, _) in self.departed.iter().filter(|(_, at)| *at <= proved) {
            let phase = self.mesh.phase_at(number, endpoint);
            if phase.is_some_and(|phase| phase < Phase::Leaving) {
                return Err(format!("instance {number} proves {proved:?} and takes {endpoint} for {phase:?}"));
            }
        }
        Ok(())
    }

    fn check_recovered(&self) -> Result<(), String> {
        let bound = Duration::from_millis(1500);
        let stale: Vec<usize> = (0..TOTAL).filter(|number| !self.mesh.is_fresh(*number, bound)).collect();
        if !stale.is_empty() {
            let named = &stale[..stale.len().min(8)];
            return Err(format!(
                "no recent proof at {} instances, {named:?}; leader: {:?}",
                stale.len(),
                self.mesh.leader()
            ));
        }
        let newest = self.acknowledged.iter().map(|(version, _)| *version).max().unwrap_or(1);
        let behind: Vec<usize> = (0..TOTAL).filter(|number| self.mesh.version_at(*number) < newest).collect();
        if !behind.is_empty() {
            return Err(format!("document {newest} is not at {behind:?}"));
        }
        let counts = (0..TOTAL).filter_map(|number| self.mesh.nodes[number].state.as_ref());
        let partial = counts.filter(|state| state.view.directory.len() != TOTAL).count();
        if partial > 0 {
            return Err(format!("{partial} instances do not know all others"));
        }
        Ok(())
    }
}

fn play(seed: u64, steps: &[Step], defect: Defect) -> Result<(), String> {
    let mut fleet = Fleet::start(seed);
    fleet.mesh.defect = defect;
    fleet.play(steps)
}

/// Removes the steps that are not needed for a failure.
fn minimise(seed: u64, mut steps: Vec<Step>) -> Vec<Step> {
    let mut at = 0;
    while at < steps.len() {
        let mut fewer = steps.clone();
        fewer.remove(at);
        if play(seed, &fewer, Defect::None).is_err() {
            steps = fewer;
        } else {
            at += 1;
        }
    }
    steps
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn proved_state_is_held_under_random_faults() {
    let (first, count) = (env_or("RUDDER_SEED", 1), env_or("RUDDER_TESTS", 6));
    for seed in first..first + count {
        let steps = draw_schedule(seed);
        let Err(violation) = play(seed, &steps, Defect::None) else { continue };
        let mut text = format!("seed {seed}: {violation}\n");
        for step in minimise(seed, steps) {
            let _ = writeln!(text, "{step:?}");
        }
        panic!("{text}");
    }
}

/// Guards against a version that counts as the only one while streams begin at another.
#[test]
fn no_version_in_use_is_unknown_to_an_instance_with_a_recent_proof() {
    let (first, count) = (env_or("RUDDER_SEED", 1), env_or("RUDDER_TESTS", 6));
    for seed in first..first + count {
        let mut fleet = Fleet::start(seed);
        fleet.releases = true;
        if let Err(violation) = fleet.play(&draw_schedule(seed)) {
            panic!("seed {seed}: {violation}");
        }
    }
}

/// Guards against a proof from a reply that comes after a newer one and whose registry update is not applied.
#[test]
fn a_reply_that_comes_out_of_order_proves_nothing() {
    let seed = 19;
    assert_eq!(play(seed, &draw_schedule(seed), Defect::None), Ok(()));
}

macro_rules! caught {
    ($($name:ident: $defect:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let caught = (1..40).any(|seed| play(seed, &draw_schedule(seed), $defect).is_err());
                assert!(caught);
            }
        )*
    };
}

caught! {
    relays_that_claim_a_fresh_proof_are_caught: Defect::FreshRelayProofs;
    requests_that_are_counted_twice_are_caught: Defect::DoubleCounts;
}
