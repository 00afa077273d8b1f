//! Randomised runs: operations drawn by quickcheck, the promises asserted throughout, and recovery at the end.

mod world;

use std::panic::{AssertUnwindSafe, catch_unwind};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use rudder_ledger::Change;
use rudder_model::{Kind, Mark, Object, Selector};
use world::{Behaviour, Defect, ENDPOINTS, World, endpoint};

/// An operation on the deployment.
#[derive(Clone, Debug)]
enum Op {
    Advance(u64),
    Call(usize),
    CallWithKey(usize, u8),
    Change(usize, u8, u64),
    Resend(usize, u8),
    Crash(usize),
    Start(usize),
    Wipe(usize),
    Pause(usize, u64),
    Cut(usize),
    HealCuts,
    DegradeNetwork(u8),
    Endpoint(usize, u8),
    Leave(usize),
    ToggleFullDisk(usize),
    Stop(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let node = usize::arbitrary(g) % 9;
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..6 => Op::Advance(u64::arbitrary(g) % 1500),
            6..9 => Op::Call(node),
            9..14 => Op::CallWithKey(node, byte % 12),
            14..17 => Op::Change(node, byte % 4, u64::arbitrary(g) % 4),
            17 => Op::Resend(node, byte),
            18..20 => Op::Crash(node),
            20..23 => Op::Start(node),
            23 => Op::Wipe(node % 5),
            24 => Op::Pause(node, u64::arbitrary(g) % 8000),
            25 => Op::Cut(node),
            26 => Op::HealCuts,
            27 => Op::DegradeNetwork(byte % 40),
            28 => Op::Endpoint(usize::arbitrary(g) % 3, byte % 4),
            29 => Op::Leave(usize::arbitrary(g) % 3),
            30 => Op::ToggleFullDisk(node % 5),
            _ => Op::Stop(5 + node % 4),
        }
    }
}

struct Run {
    world: World,
    changes: Vec<Change>,
    wiped: bool,
    left: Option<usize>,
}

impl Run {
    fn apply(&mut self, op: &Op) {
        let world = &mut self.world;
        match *op {
            Op::Advance(millis) => world.advance(millis),
            Op::Call(node) => drop(world.call(node, None)),
            Op::CallWithKey(node, key) => drop(world.call(node, Some(&format!("key-{key}")))),
            Op::Change(node, name, replaces) => {
                let change = Change {
                    id: format!("op-{}", self.changes.len()),
                    kind: Kind::Selector,
                    name: format!("s{name}"),
                    replaces,
                    object: Some(Object::Selector(Selector::default())),
                };
                self.changes.push(change.clone());
                world.change(node, change);
            }
            Op::Resend(node, which) => {
                let Some(change) = self.changes.get(usize::from(which) % self.changes.len().max(1)) else { return };
                world.change(node, change.clone());
            }
            Op::Crash(node) => world.crash(node),
            Op::Start(node) => world.start(node),
            // Losing more data folders than the quorum tolerates cannot be repaired, so only one is wiped.
            Op::Wipe(node) => {
                if !self.wiped && world.nodes.iter().all(|node| node.state.is_some()) {
                    self.wiped = true;
                    world.wipe(node);
                }
            }
            Op::Pause(node, millis) => world.nodes[node].paused = world.now + std::time::Duration::from_millis(millis),
            Op::Cut(node) => drop(world.cut.insert(node)),
            Op::HealCuts => world.cut.clear(),
            Op::DegradeNetwork(share) => {
                world.loss = f64::from(share) / 100.0;
                world.double = f64::from(share) / 100.0;
                world.delay = u64::from(share) * 10 + 5;
            }
            Op::Endpoint(which, how) => {
                let all = [Behaviour::Good, Behaviour::Down, Behaviour::LosesAnswers, Behaviour::Refuses];
                world.behaviour.insert(ENDPOINTS[which].to_owned(), all[usize::from(how)]);
            }
            Op::Leave(which) => self.leave(which),
            Op::ToggleFullDisk(node) => {
                if let Some(disk) = &mut world.nodes[node].disk {
                    disk.full = !disk.full;
                }
            }
            Op::Stop(node) => world.send_event(node, rudder_core::Event::Stop),
        }
    }

    /// Marks one endpoint as leaving; the others remain so that calls can be served at the end.
    fn leave(&mut self, which: usize) {
        let which = *self.left.get_or_insert(which);
        let change = Change {
            id: "leave".to_owned(),
            kind: Kind::Endpoint,
            name: ENDPOINTS[which].to_owned(),
            replaces: 1,
            object: Some(endpoint(which, Mark::Leaving)),
        };
        self.world.change(0, change);
    }

    /// Ends all faults and checks that changes are accepted and calls are served again.
    fn recover(&mut self) {
        self.world.heal();
        self.world.advance(25_000);
        // Planned stops have completed by now; the instances start again.
        self.world.heal();
        self.world.advance(4000);
        assert!(self.world.leader().is_some(), "no leader after recovery");
        let last = Change {
            id: "last".to_owned(),
            kind: Kind::Selector,
            name: "last".to_owned(),
            replaces: 0,
            object: Some(Object::Selector(Selector::default())),
        };
        self.world.change(8, last);
        self.world.advance(5000);
        assert!(self.world.answer_to("last").is_some(), "no change is accepted after recovery");
        let calls: Vec<_> = (0..9).filter_map(|node| self.world.call(node, None)).collect();
        self.world.advance(7000);
        for request in calls {
            let call = &self.world.calls[&request];
            assert!(
                call.answer_count == 1 && call.refused.is_none(),
                "node {} serves no call: {:?}",
                call.node,
                call.refused
            );
        }
        let repeated = self.world.calls.values().filter(|call| call.answer_count > 1).count();
        assert_eq!(repeated, 0, "calls answered more than once");
    }
}

/// Runs `ops` and then recovers. Returns the number of events, or the first failure.
fn run(seed: u64, ops: &[Op], defect: Defect) -> Result<u64, String> {
    // The panics are caught and reported below; printing backtraces would dominate the run time.
    std::panic::set_hook(Box::new(|_| {}));
    let result = catch_unwind(AssertUnwindSafe(|| {
        let mut run = Run { world: World::ready(seed), changes: Vec::new(), wiped: false, left: None };
        run.world.defect = defect;
        for op in ops {
            run.apply(op);
        }
        run.recover();
        run.world.steps
    }));
    let _ = std::panic::take_hook();
    result.map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned())).unwrap_or_default()
    })
}

fn env_or(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The environment variables `RUDDER_SEED` and `RUDDER_TESTS` set the seed and the number of runs.
#[test]
fn promises_hold_under_random_faults() {
    let (seed, tests) = (env_or("RUDDER_SEED", 1), env_or("RUDDER_TESTS", 40));
    println!("seed {seed}, {tests} runs");
    let steps = std::sync::atomic::AtomicU64::new(0);
    let check = |ops: &Vec<Op>| {
        run(seed, ops, Defect::None).map(|made| steps.fetch_add(made, std::sync::atomic::Ordering::Relaxed))
    };
    let mut generator = Gen::from_size_and_seed(120, seed);
    for number in 0..tests {
        let ops = Vec::<Op>::arbitrary(&mut generator);
        if let Err(text) = check(&ops) {
            let ops = shrink(seed, ops, &text);
            panic!("run {number} of seed {seed}: {text}\n{ops:#?}");
        }
    }
    println!("{} steps", steps.load(std::sync::atomic::Ordering::Relaxed));
}

/// Removes operations while the run still fails in the same way.
fn shrink(seed: u64, mut ops: Vec<Op>, text: &str) -> Vec<Op> {
    let kind = |text: &str| text.chars().take(14).collect::<String>();
    let mut size = ops.len() / 2;
    while size > 0 {
        let mut at = 0;
        while at < ops.len() {
            let mut fewer = ops.clone();
            fewer.drain(at..(at + size).min(ops.len()));
            match run(seed, &fewer, Defect::None) {
                Err(other) if kind(&other) == kind(text) => ops = fewer,
                _ => at += size,
            }
        }
        size /= 2;
    }
    ops
}

/// Asserts that some run catches a deliberate defect.
fn assert_caught(defect: Defect, word: &str) {
    fn property(defect: Defect, word: &str, ops: &[Op]) -> bool {
        (0..3).any(|seed| run(seed, ops, defect).is_err_and(|text| text.contains(word)))
    }
    let mut generator = Gen::from_size_and_seed(160, 7);
    let caught = (0..60).any(|_| property(defect, word, &Vec::<Op>::arbitrary(&mut generator)));
    assert!(caught, "{defect:?} was not caught");
}

macro_rules! defects {
    ($($name:ident: $defect:ident breaks $word:literal;)*) => {
        $(#[test]
        fn $name() {
            assert_caught(Defect::$defect, $word);
        })*
    };
}

defects! {
    a_disk_that_lies_is_caught: LyingDisk breaks "P8";
    a_failure_reported_as_never_sent_is_caught: LyingFailure breaks "P";
    answers_that_look_newer_are_caught: OldAnswers breaks "P";
}

#[test]
fn a_quiet_run_needs_no_recovery() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(10, 3))
        .tests(3)
        .quickcheck(run_without_faults as fn(u64) -> TestResult);
}

fn run_without_faults(seed: u64) -> TestResult {
    match run(seed, &[], Defect::None) {
        Ok(_) => TestResult::passed(),
        Err(text) => TestResult::error(text),
    }
}
