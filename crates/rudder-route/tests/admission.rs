//! Admission to contended services: overload, bursts, order by priority, old and missing reports.

use std::{collections::VecDeque, time::Duration};

use quickcheck::quickcheck;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rudder_route::admission::{
    Admission, AdmissionOptions, Caller, Demand, EngineRoom, LEVELS, Level, Reason, Request, Usage,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const TARGET: Duration = Duration::from_millis(300);

fn request(level: Level, predicted: Duration) -> Request {
    let caller = Caller { target: TARGET, gap: Some(MS * 200), remaining: SECOND * 5 };
    Request { level, highest: level == 0, predicted, caller, idle: false }
}

/// The decisions on requests of level 1 with these waits, one every 100 ms.
fn decisions(waits: &[u32]) -> Vec<bool> {
    let (mut admission, options) = (Admission::default(), AdmissionOptions::default());
    let mut decide = |(number, wait): (u32, &u32)| {
        let request = request(1, MS * *wait);
        admission.decide(&request, &Demand::default(), SECOND + MS * 100 * number, &options).is_ok()
    };
    (0..).zip(waits).map(&mut decide).collect()
}

macro_rules! waits {
    ($($(#[$meta:meta])* $name:ident: $waits:expr => $expected:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() { assert_eq!(decisions(&$waits), $expected); })*
    };
}

waits! {
    /// Late answers are still worth something, so a short burst must not be refused.
    a_burst_of_one_route_may_wait_half_of_its_patience: [100, 600, 999, 1001] => [true, true, true, false];
    /// Everybody who is admitted would be served late.
    a_wait_that_persists_is_bounded_by_the_target: [400, 400, 400, 400, 290] => [true, true, true, false, true];
    /// The bound would alternate at the target.
    a_wait_near_the_target_does_not_relax_the_bound: [400, 400, 400, 400, 290, 400] => [true, true, true, false, true, false];
    a_short_wait_relaxes_the_bound: [400, 400, 400, 400, 100, 400] => [true, true, true, false, true, true];
}

#[test]
fn waits_of_long_ago_do_not_tighten_the_bound() {
    let (mut admission, options, none) = (Admission::default(), AdmissionOptions::default(), Demand::default());
    for now in [SECOND, SECOND * 4, SECOND * 8] {
        assert_eq!(admission.decide(&request(1, MS * 400), &none, now, &options), Ok(()));
    }
}

/// Engines serve the highest priority first; only its callers' patience bounds it.
#[test]
fn the_highest_priority_waits_for_its_callers_patience() {
    let (mut admission, options, none) = (Admission::default(), AdmissionOptions::default(), Demand::default());
    for step in 0..20 {
        assert_eq!(admission.decide(&request(0, MS * 1900), &none, MS * 100 * step, &options), Ok(()));
    }
    assert_eq!(admission.decide(&request(0, MS * 2100), &none, SECOND * 2, &options), Err(Reason::Wait));
}

/// A caller with hardly any time left must not make an instance refuse all less urgent requests.
#[test]
fn a_late_caller_says_nothing_about_the_capacity() {
    let (mut admission, options, none) = (Admission::default(), AdmissionOptions::default(), Demand::default());
    let mut late = request(0, MS * 50);
    late.caller.remaining = MS * 20;
    let reason = admission.decide(&late, &none, SECOND, &options).expect_err("too little time");
    assert_eq!(reason, Reason::Late);
    admission.record_refused(0, reason, SECOND);
    assert!(!admission.yields(1, &none, SECOND));
}

/// Its wait is above the target, but every other caller would accept it, so it must not make an instance refuse them.
#[test]
fn a_late_caller_that_would_wait_beyond_its_target_says_nothing_about_the_capacity() {
    let (options, none) = (AdmissionOptions::default(), Demand::default());
    for level in [0, 1] {
        let mut late = request(level, MS * 400);
        late.caller.remaining = MS * 350;
        let decision = Admission::default().decide(&late, &none, SECOND, &options);
        assert_eq!(decision, Err(Reason::Late), "level {level}");
        late.caller.remaining = SECOND * 5;
        assert_eq!(Admission::default().decide(&late, &none, SECOND, &options), Ok(()), "level {level}");
    }
}

/// Free slots don't help a caller whose time ends before the prompts ahead are processed.
#[test]
fn a_request_that_its_caller_cannot_wait_for_is_refused_by_idle_engines_too() {
    let (options, none) = (AdmissionOptions::default(), Demand::default());
    let mut late = Request { idle: true, ..request(0, MS * 700) };
    assert_eq!(Admission::default().decide(&late, &none, SECOND, &options), Ok(()));
    late.caller.remaining = MS * 600;
    assert_eq!(Admission::default().decide(&late, &none, SECOND, &options), Err(Reason::Late));
}

#[test]
fn nothing_is_refused_while_less_than_half_of_the_slots_are_taken() {
    let (mut usage, options, none) = (Usage::default(), AdmissionOptions::default(), Demand::default());
    usage.add(16, 15);
    usage.add(16, 0);
    assert!(usage.is_idle());
    let idle = Request { idle: usage.is_idle(), ..request(2, SECOND * 3) };
    let mut admission = Admission::default();
    admission.record_refused(0, Reason::Room, SECOND);
    assert_eq!(admission.decide(&idle, &none, SECOND, &options), Ok(()));
    usage.add(16, 17);
    assert!(!usage.is_idle(), "a request waits");
}

quickcheck! {
    /// Of two instances that know each other's demand, none admits a request while a more urgent one is refused.
    fn urgent_requests_are_not_refused_while_less_urgent_ones_are_admitted(arrivals: Vec<(bool, u8, u16)>) -> bool {
        let options = AdmissionOptions::default();
        let mut instances = [Admission::default(), Admission::default()];
        let mut refused: Vec<(Level, Duration)> = Vec::new();
        let mut now = SECOND;
        for (second, level, wait) in arrivals {
            let (me, level) = (usize::from(second), usize::from(level) % LEVELS);
            now += MS * 20;
            let others = instances[1 - me].demand(now);
            let request = request(level, MS * u32::from(wait % 3000));
            match instances[me].decide(&request, &others, now, &options) {
                Ok(()) if refused.iter().any(|(urgent, at)| *urgent < level && now < *at + MS * 400) => return false,
                Ok(()) => instances[me].record_admitted(level, now),
                Err(reason) => {
                    instances[me].record_refused(level, reason, now);
                    refused.push((level, now));
                }
            }
        }
        true
    }

    /// An engine with room for a request has room for all more urgent ones, whatever is known of it.
    fn room_is_ordered_by_priority(levels: Vec<u8>, slots: u8, own: (u8, u8), rate: u8, age: Option<u16>, senders: u8, draw: u8) -> bool {
        let options = AdmissionOptions::default();
        let count = |level: usize| levels.iter().take(40).filter(|other| usize::from(**other) % LEVELS <= level).count() as f64;
        let has_room = |level: usize| {
            let room = EngineRoom {
                slots: u32::from(slots % 33),
                urgent: count(level),
                total: count(LEVELS),
                own: u32::from(own.0 % 8),
                recent: u32::from(own.1 % 8),
                arrivals: f64::from(rate % 20) * (level + 1) as f64,
                age: age.map(|age| MS * u32::from(age % 3000)),
                senders: usize::from(senders % 80),
                draw: f64::from(draw) / 256.0,
            };
            room.has_room(level, &options)
        };
        (1..LEVELS).all(|level| !has_room(level) || has_room(level - 1))
    }
}

/// Requests that 72 instances with a free draw each send to an idle engine of 16 slots by reports of this age.
fn sent_by_all(age: Option<Duration>, arrivals: f64) -> u32 {
    let (options, mut random) = (AdmissionOptions::default(), Pcg64::seed_from_u64(5));
    let mut sent = 0;
    for _ in 0..72 {
        let mut room =
            EngineRoom { slots: 16, age, arrivals, senders: 72, draw: random.random(), ..EngineRoom::default() };
        while room.has_room(0, &options) && room.own < 100 {
            (room.own, room.recent) = (room.own + 1, room.recent + 1);
            room.urgent += 1.0;
            room.total += 1.0;
        }
        sent += room.own;
    }
    sent
}

macro_rules! shares {
    ($($(#[$meta:meta])* $name:ident: $age:expr, $arrivals:expr => $range:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let sent = sent_by_all($age, $arrivals);
            assert!($range.contains(&sent), "{sent}");
        })*
    };
}

shares! {
    /// All instances would find the same place free.
    instances_with_old_counts_share_the_room: Some(MS * 300), 100.0 => 8..=24;
    an_instance_that_is_cut_off_uses_its_share_of_the_slots: Some(MS * 1600), 0.0 => 8..=24;
    /// It knows nothing of the others, although it has sent nothing itself.
    an_instance_that_restarted_uses_its_share_of_the_slots: None, 0.0 => 8..=24;
}

/// The smallest share of an instance must not be taken from an engine that is full.
#[test]
fn an_engine_without_free_room_gets_nothing_whatever_the_draw() {
    let room = EngineRoom { slots: 16, urgent: 16.0, total: 16.0, age: Some(MS), senders: 72, ..EngineRoom::default() };
    assert!(!room.has_room(0, &AdmissionOptions::default()));
}

/// A request at an engine: steps that it waited for a slot, and steps that it has run.
#[derive(Clone, Copy, Default)]
struct Running {
    waited: u32,
    run: u32,
}

/// Requests that are served in time within 20 s by ten engines of 16 slots, of those that 20 instances admit by counts
/// that are 300 ms old, and the most that were ever at one engine. A request takes eight steps of 50 ms.
fn served_in_time(load: f64) -> (u32, usize) {
    const STEP: u32 = 50;
    let (options, mut random) = (AdmissionOptions::default(), Pcg64::seed_from_u64(11));
    let mut engines: Vec<VecDeque<Running>> = vec![VecDeque::new(); 10];
    let mut seen: VecDeque<Vec<usize>> = VecDeque::from(vec![vec![0; 10]; 6]);
    let mut sends: VecDeque<Vec<u32>> = VecDeque::from(vec![vec![0; 200]; 6]);
    let mut draws: Vec<f64> = Vec::new();
    let (mut served, mut most, mut due) = (0, 0, 0.0);
    for step in 0..400_u32 {
        if step % 6 == 0 {
            draws = (0..200).map(|_| random.random()).collect();
        }
        let mut sent = vec![0; 200];
        due += load * 20.0;
        while due >= 1.0 {
            due -= 1.0;
            let (me, first) = (random.random_range(0..20_usize), random.random_range(0..10_usize));
            let find = (first..first + 10).map(|engine| engine % 10).find(|engine| {
                let key = me * 10 + engine;
                let recent: u32 = sends.iter().map(|sent| sent[key]).sum::<u32>() + sent[key];
                let calls = f64::from(seen[0][*engine] as u32 + recent);
                let room = EngineRoom {
                    slots: 16,
                    urgent: calls,
                    total: calls,
                    own: recent,
                    recent,
                    arrivals: load * 2.0 * 6.0,
                    age: Some(MS * STEP * 6),
                    senders: 20,
                    draw: draws[key],
                };
                room.has_room(1, &options)
            });
            let Some(engine) = find else { continue };
            sent[me * 10 + engine] += 1;
            engines[engine].push_back(Running::default());
        }
        for queue in &mut engines {
            most = most.max(queue.len());
            queue.iter_mut().take(16).for_each(|request| request.run += 1);
            queue.iter_mut().skip(16).for_each(|request| request.waited += 1);
            served += queue.iter().filter(|request| request.run == 8 && request.waited <= 2).count() as u32;
            queue.retain(|request| request.run < 8);
        }
        seen.push_back(engines.iter().map(VecDeque::len).collect());
        seen.pop_front();
        sends.push_back(sent);
        sends.pop_front();
    }
    (served, most)
}

macro_rules! overload {
    ($($name:ident: $load:expr;)*) => {
        $(#[test] fn $name() {
            let (usual, (served, most)) = (served_in_time(1.0).0, served_in_time($load));
            assert!(f64::from(served) >= f64::from(usual) * 0.95, "{served} of {usual}");
            assert!(most <= 24, "{most} requests at an engine of 16 slots");
        })*
    };
}

overload! {
    goodput_does_not_fall_at_three_times_the_load: 3.0;
    goodput_does_not_fall_at_six_times_the_load: 6.0;
}
