//! Hundreds of instances under random faults, in virtual time: what an instance can prove it has, everywhere and at
//! every moment; and all of them recover.
//!
//! `RUDDER_SEED` and `RUDDER_TESTS` choose the first seed and how many are played; a schedule that fails is shortened
//! as far as it still fails and printed.

mod mesh;

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use mesh::{
    Defect, Layout, Mesh,
    receiver::{HANDOVER, ReceiverMode},
};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_core::{
    Event, Phase,
    options::{DutyOptions, UsageOptions},
};

const TOTAL: usize = 120;
const HALLS: usize = 3;
const DISKS: usize = 5;
/// Disks that may be away at once.
const LOST_MOST: usize = 2;
/// Faults and changes of one schedule.
const STEPS: usize = 40;
/// Time in which they happen.
const SPAN: Duration = Duration::from_secs(20);
/// Time between looks at all instances.
const LOOK: Duration = Duration::from_millis(50);
/// Requests that begin between two looks.
const BEGUN: usize = 3;
const ORG: &str = "acme";
/// Clocks read this when the virtual time is nothing.
const ORIGIN: Duration = Duration::from_secs(1_000_000);
/// From the end of the last fault until all windows that were open then have been reported.
const REPORTED: Duration = Duration::from_secs(16);
/// From the end of the last fault until all instances have young proof again.
const RECOVERY: Duration = Duration::from_secs(6);

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    /// An instance is killed and starts again later.
    Kill(usize),
    /// It stands still for a while.
    Pause(usize),
    /// It is cut off for a while.
    Cut(usize),
    /// All the instances of one hall that have no disk are killed and start again later.
    KillHall(usize),
    /// Everything loses power and starts again at once.
    KillAll,
    /// Messages are lost and held up for a while.
    Rough,
    /// An operator sends a new document to an instance.
    Put(usize),
    /// An endpoint says to an instance that it leaves.
    Leave(usize),
    /// The clock of an instance steps by two seconds, and back later.
    Step(usize),
    /// The receiver of duties answers otherwise for a while.
    Receiver(ReceiverMode),
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at: Duration,
    lasts: Duration,
    what: What,
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
    let what = match rng.random_range(0..20) {
        0..3 => What::Kill(target),
        3..6 => What::Pause(target),
        6..8 => What::Cut(target),
        8 => What::KillHall(rng.random_range(0..HALLS)),
        9 if rng.random_bool(0.3) => What::KillAll,
        9 => What::Rough,
        10..14 => What::Put(any),
        14..17 => What::Leave(any),
        17 => What::Step(target),
        _ => What::Receiver([ReceiverMode::Mute, ReceiverMode::Busy, ReceiverMode::Down][rng.random_range(0..3)]),
    };
    let at = rng.random_range(Duration::ZERO..SPAN);
    Step { at, lasts: rng.random_range(Duration::from_millis(200)..Duration::from_secs(4)), what }
}

/// A fleet, and what was acknowledged in it.
struct Fleet {
    mesh: Mesh,
    /// What to end, and when.
    ends: Vec<(Duration, What)>,
    /// Versions acknowledged, with the time at which that was seen.
    acknowledged: Vec<(u64, Duration)>,
    /// Endpoints that leave, by ticket.
    leaving: BTreeMap<u64, String>,
    /// Leaves acknowledged, with the time and the leader.
    left: Vec<(String, Duration, Option<usize>)>,
    /// The last leader seen and since when it has led without a break.
    leader: (Option<usize>, Duration),
    versions: Vec<(u64, u64)>,
    count: u64,
    /// Requests that began.
    begun: u64,
    rng: Pcg32,
}

impl Fleet {
    fn start(seed: u64) -> Fleet {
        let duties = DutyOptions { handover: HANDOVER, usage: Some(UsageOptions::default()), scaling: None };
        let layout = Layout { halls: HALLS, total: TOTAL, disks: DISKS, duties, ..Layout::default() };
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
            left: Vec::new(),
            leader: (None, Duration::ZERO),
            versions: vec![(0, 0); TOTAL],
            count: 1,
            begun: 0,
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
            self.serve();
            self.mesh.run(LOOK);
            self.check()?;
        }
        self.mesh.run(RECOVERY);
        self.check()?;
        self.check_recovered()?;
        self.mesh.run(REPORTED);
        self.check()?;
        self.check_reported()
    }

    /// Some instances begin a request.
    fn serve(&mut self) {
        for _ in 0..BEGUN {
            let number = self.rng.random_range(0..TOTAL);
            let node = &self.mesh.nodes[number];
            if node.state.is_some() && !node.paused {
                self.begun += 1;
                self.mesh.begin_request(number, ORG);
            }
        }
    }

    fn begin(&mut self, step: &Step) {
        let ends = self.mesh.now + step.lasts;
        match step.what {
            What::Kill(number) if self.may_lose(number) => self.mesh.kill(number),
            What::Pause(number) if self.may_lose(number) => self.mesh.nodes[number].paused = true,
            What::Cut(number) if self.may_lose(number) => self.mesh.nodes[number].cut = true,
            What::KillHall(hall) => self.kill_hall(hall),
            What::KillAll => (0..TOTAL).for_each(|number| self.mesh.kill(number)),
            What::Rough => (self.mesh.loss, self.mesh.delay) = (0.05, Duration::from_millis(150)),
            What::Step(number) => self.mesh.send_event(number, Event::ClockStepped(ORIGIN + Duration::from_secs(2))),
            What::Receiver(mode) => self.mesh.receiver.mode = mode,
            What::Put(number) => return self.put(number),
            What::Leave(number) => return self.leave(number),
            What::Kill(_) | What::Pause(_) | What::Cut(_) => return,
        }
        let lasts = if step.what == What::KillAll { self.mesh.now } else { ends };
        self.ends.push((lasts, step.what));
    }

    fn kill_hall(&mut self, hall: usize) {
        for number in (DISKS..TOTAL).filter(|number| number % HALLS == hall) {
            self.mesh.kill(number);
        }
    }

    /// True where no more disks would be away than may be.
    fn may_lose(&self, number: usize) -> bool {
        let away = |number: &usize| {
            let node = &self.mesh.nodes[*number];
            node.state.is_none() || node.cut || node.paused
        };
        number >= DISKS || (0..DISKS).filter(away).count() < LOST_MOST
    }

    fn put(&mut self, number: usize) {
        self.count += 1;
        let body = format!("{{\"first\":1}}{{\"second\":{}}}", self.count);
        self.mesh.put(number, self.count, self.count, &body);
    }

    fn leave(&mut self, number: usize) {
        self.count += 1;
        let endpoint = format!("e-{}", self.count);
        self.mesh.heartbeat(number, self.count, &endpoint, Phase::Leaving, 3);
        self.leaving.insert(self.count, endpoint);
    }

    fn end_due(&mut self) {
        let now = self.mesh.now;
        let (due, later): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        for (_, what) in due {
            self.end(what);
        }
    }

    fn end(&mut self, what: What) {
        match what {
            What::Pause(number) => self.mesh.wake(number),
            What::Cut(number) => self.mesh.nodes[number].cut = false,
            What::Rough => (self.mesh.loss, self.mesh.delay) = (0.0, Duration::ZERO),
            What::Step(number) => self.mesh.send_event(number, Event::ClockStepped(ORIGIN)),
            What::Receiver(_) => self.mesh.receiver.mode = ReceiverMode::Answers,
            _ => {}
        }
        let down = |number: &usize| self.mesh.nodes[*number].state.is_none();
        let dead: Vec<usize> = match what {
            What::Kill(number) => vec![number],
            What::KillHall(hall) => (DISKS..TOTAL).filter(|number| number % HALLS == hall).collect(),
            What::KillAll => (0..TOTAL).collect(),
            _ => Vec::new(),
        };
        for number in dead.into_iter().filter(down).collect::<Vec<_>>() {
            self.mesh.boot(number);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        self.note_acknowledged();
        for number in 0..TOTAL {
            self.check_version(number)?;
            self.check_proof(number)?;
        }
        self.check_duties()
    }

    /// No report changes, no fence has two holders, and nobody calls on a lease that has ended.
    fn check_duties(&self) -> Result<(), String> {
        let receiver = &self.mesh.receiver;
        if let Some(broken) = receiver.violations.first() {
            return Err(broken.clone());
        }
        if receiver.stale > 0 {
            return Err(format!("{} calls came with the fence of an earlier holder", receiver.stale));
        }
        let reported = receiver.reported(ORG);
        if reported > self.begun {
            return Err(format!("{reported} requests reported, {} began", self.begun));
        }
        Ok(())
    }

    /// Nothing is missing in the reports but what was lost with the instances that began it, and what came after the
    /// window had to be closed.
    fn check_reported(&self) -> Result<(), String> {
        let leader = self.mesh.leader().and_then(|number| self.mesh.nodes[number].state.as_ref());
        let late = leader.and_then(|state| state.control.as_ref()).map_or(0, |control| control.ledger.usage.late());
        let (reported, lost) = (self.mesh.receiver.reported(ORG), self.mesh.unreported);
        if reported + late + lost < self.begun {
            let begun = self.begun;
            return Err(format!("{reported} requests reported of {begun}, {late} came late, {lost} were lost"));
        }
        Ok(())
    }

    fn note_acknowledged(&mut self) {
        let (now, leader) = (self.mesh.now, self.mesh.leader());
        if leader != self.leader.0 {
            self.leader = (leader, now);
        }
        let answers = std::mem::take(&mut self.mesh.documented).into_values();
        self.acknowledged.extend(answers.flatten().map(|version| (version, now)));
        for (ticket, taken) in std::mem::take(&mut self.mesh.registered) {
            if let Some(endpoint) = self.leaving.remove(&ticket).filter(|_| taken) {
                self.left.push((endpoint, now, leader));
            }
        }
    }

    /// Within one life an instance's document only gets newer.
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

    /// Whoever proves its configuration as of some time has all that was acknowledged before.
    fn check_proof(&self, number: usize) -> Result<(), String> {
        let state = self.mesh.nodes[number].state.as_ref();
        let Some(proved) = state.and_then(|state| state.view.proved()) else { return Ok(()) };
        let version = self.mesh.version_at(number);
        let newest = self.acknowledged.iter().filter(|(_, at)| *at <= proved).map(|(version, _)| *version).max();
        if newest.is_some_and(|newest| version < newest) {
            return Err(format!("instance {number} proves document {version} as of {proved:?}, {newest:?} holds"));
        }
        let known = |at: Duration| at <= proved && at >= self.leader.1;
        for (endpoint, _, _) in self.left.iter().filter(|(_, at, leader)| known(*at) && *leader == self.leader.0) {
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
                "no young proof at {} instances, {named:?}; leads: {:?}",
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

fn play(seed: u64, steps: &[Step], sabotage: Defect) -> Result<(), String> {
    let mut fleet = Fleet::start(seed);
    fleet.mesh.defect = sabotage;
    fleet.play(steps)
}

/// The schedule without the steps that a failure does not need.
fn shorten(seed: u64, mut steps: Vec<Step>) -> Vec<Step> {
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

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn what_is_proved_is_had_under_random_faults() {
    let (first, count) = (setting("RUDDER_SEED", 1), setting("RUDDER_TESTS", 6));
    for seed in first..first + count {
        let steps = draw_schedule(seed);
        let Err(broken) = play(seed, &steps, Defect::None) else { continue };
        let mut text = format!("seed {seed}: {broken}\n");
        for step in shorten(seed, steps) {
            let _ = writeln!(text, "{step:?}");
        }
        panic!("{text}");
    }
}

macro_rules! caught {
    ($($name:ident: $sabotage:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let caught = (1..40).any(|seed| play(seed, &draw_schedule(seed), $sabotage).is_err());
                assert!(caught);
            }
        )*
    };
}

caught! {
    relays_that_claim_new_proof_are_caught: Defect::FreshRelayProofs;
    requests_that_are_counted_twice_are_caught: Defect::DoubleCounts;
}
