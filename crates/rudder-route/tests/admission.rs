//! Admission to contended services: overload, bursts, order by priority, old and missing reports.

use std::{collections::VecDeque, time::Duration};

use quickcheck::quickcheck;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rudder_route::admission::{
    Admission, AdmissionOptions, Caller, Demand, EngineRoom, LEVELS, Level, Reason, Request, Usage, Yielding,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const TARGET: Duration = Duration::from_millis(300);

fn request(level: Level, predicted: Duration) -> Request {
    let caller = Caller { target: TARGET, gap: Some(MS * 200), remaining: SECOND * 5 };
    Request { level, highest: level == 0, predicted, caller, idle: false }
}

/// The decision of one of several instances that know each other's demand, which is then recorded.
fn ask(instances: &mut [Admission], me: usize, request: &Request, draw: f64, now: Duration) -> Result<(), Reason> {
    let options = AdmissionOptions::default();
    let others = instances.iter().enumerate().filter(|(other, _)| *other != me);
    let add = |sum: Demand, (_, one): (usize, &Admission)| sum.combine(one.demand(now), u32::saturating_add);
    let others = others.fold(Demand::default(), add);
    // Settled: as after a long time with this demand.
    instances[me].update_yielding(others, now, &AdmissionOptions { settling: MS / 1000, ..options.clone() });
    let decision = if instances[me].yields(request.level, draw) {
        Err(Reason::Urgent)
    } else {
        instances[me].decide(request, now, &options)
    };
    match decision {
        Ok(()) => instances[me].record_admitted(request.level, now),
        Err(reason) => instances[me].record_refused(request.level, reason, now),
    }
    decision
}

/// The decisions on requests of level 1 with these waits, one every 100 ms.
fn decisions(waits: &[u32]) -> Vec<bool> {
    let (mut admission, options) = (Admission::default(), AdmissionOptions::default());
    let mut decide = |(number, wait): (u32, &u32)| {
        let request = request(1, MS * *wait);
        admission.decide(&request, SECOND + MS * 100 * number, &options).is_ok()
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
    let (mut admission, options) = (Admission::default(), AdmissionOptions::default());
    for now in [SECOND, SECOND * 4, SECOND * 8] {
        assert_eq!(admission.decide(&request(1, MS * 400), now, &options), Ok(()));
    }
}

/// Engines serve the highest priority first; only its callers' patience bounds it.
#[test]
fn the_highest_priority_waits_for_its_callers_patience() {
    let (mut admission, options) = (Admission::default(), AdmissionOptions::default());
    for step in 0..20 {
        assert_eq!(admission.decide(&request(0, MS * 1900), MS * 100 * step, &options), Ok(()));
    }
    assert_eq!(admission.decide(&request(0, MS * 2100), SECOND * 2, &options), Err(Reason::Wait));
}

/// A caller with hardly any time left must not make an instance refuse all less urgent requests.
#[test]
fn a_late_caller_says_nothing_about_the_capacity() {
    let (mut admission, options) = (Admission::default(), AdmissionOptions::default());
    let mut late = request(0, MS * 50);
    late.caller.remaining = MS * 20;
    let reason = admission.decide(&late, SECOND, &options).expect_err("too little time");
    assert_eq!(reason, Reason::Late);
    admission.record_refused(0, reason, SECOND);
    assert_eq!(admission.demand(SECOND), Demand::default());
}

/// Its wait is above the target, but every other caller would accept it, so it must not make an instance refuse them.
#[test]
fn a_late_caller_that_would_wait_beyond_its_target_says_nothing_about_the_capacity() {
    let options = AdmissionOptions::default();
    for level in [0, 1] {
        let mut late = request(level, MS * 400);
        late.caller.remaining = MS * 350;
        let decision = Admission::default().decide(&late, SECOND, &options);
        assert_eq!(decision, Err(Reason::Late), "level {level}");
        late.caller.remaining = SECOND * 5;
        assert_eq!(Admission::default().decide(&late, SECOND, &options), Ok(()), "level {level}");
    }
}

/// Free slots don't help a caller whose time ends before the prompts ahead are processed.
#[test]
fn a_request_that_its_caller_cannot_wait_for_is_refused_by_idle_engines_too() {
    let options = AdmissionOptions::default();
    let mut late = Request { idle: true, ..request(0, MS * 700) };
    assert_eq!(Admission::default().decide(&late, SECOND, &options), Ok(()));
    late.caller.remaining = MS * 600;
    assert_eq!(Admission::default().decide(&late, SECOND, &options), Err(Reason::Late));
}

#[test]
fn nothing_is_refused_while_less_than_half_of_the_slots_are_taken() {
    let (mut usage, options) = (Usage::default(), AdmissionOptions::default());
    usage.add(16, 15);
    usage.add(16, 0);
    assert!(usage.is_idle());
    let idle = Request { idle: usage.is_idle(), ..request(2, SECOND * 3) };
    let mut admission = Admission::default();
    admission.record_refused(0, Reason::Room, SECOND);
    assert_eq!(admission.decide(&idle, SECOND, &options), Ok(()));
    usage.add(16, 17);
    assert!(!usage.is_idle(), "a request waits");
}

quickcheck! {
    /// Of two instances that know each other's demand, none admits a request while a larger share of any more urgent level
    /// is refused than its draw allows, and none makes it yield otherwise. All arrive within the time over which demand
    /// counts.
    fn a_request_yields_by_the_share_of_the_more_urgent_ones_that_is_refused(arrivals: Vec<(bool, u8, u16, u8)>) -> bool {
        let options = AdmissionOptions::default();
        let mut instances = [Admission::default(), Admission::default()];
        let mut outcomes: Vec<(Level, bool)> = Vec::new();
        let mut now = SECOND;
        for (second, level, wait, draw) in arrivals.into_iter().take(100) {
            let (me, level, draw) = (usize::from(second), usize::from(level) % LEVELS, f64::from(draw) / 256.0);
            now += MS * 4;
            let decision = ask(&mut instances, me, &request(level, MS * u32::from(wait % 3000)), draw, now);
            let allowed = options.tolerated + draw * (options.strict - options.tolerated);
            let is_over = (0..level).any(|urgent| {
                let of_level = || outcomes.iter().filter(|(level, _)| *level == urgent);
                let refused = of_level().filter(|(_, refused)| *refused).count();
                refused as f64 > of_level().count() as f64 * allowed
            });
            if is_over != (decision == Err(Reason::Urgent)) {
                return false;
            }
            outcomes.push((level, decision.is_err()));
        }
        true
    }

    /// Lower levels yield at least as much as higher ones, and all of their requests once the tolerated share is far
    /// exceeded, however few requests there are.
    fn lower_levels_yield_first(counts: Vec<(u16, u16)>) -> bool {
        let options = AdmissionOptions::default();
        let mut demand = Demand::default();
        for (level, (admitted, refused)) in counts.into_iter().take(LEVELS).enumerate() {
            (demand.admitted[level], demand.refused[level]) = (u32::from(admitted), u32::from(refused));
        }
        let mut yielding = Yielding::default();
        yielding.update(&demand, SECOND * 60, &options);
        let shares: Vec<f64> = (0..LEVELS).map(|level| yielding.share(level)).collect();
        let most = demand.refused[0] * 4 >= demand.admitted[0] && demand.refused[0] > 0;
        shares[0] <= 0.0 && shares.is_sorted() && (!most || shares[1] > 0.999)
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

/// The least and the largest share of the requests of level 1 that are admitted in any half second, and their mean, by 72
/// instances that learn the demand of the others after 300 ms. 117 requests of level 0 and 335 of level 1 arrive per
/// second. `refused` is the share of level 0 that is refused if level 1 admits nothing and if it admits all.
fn admitted_by_72_instances(refused: (f64, f64)) -> (f64, f64, f64) {
    const STEP: u64 = 10;
    let (options, mut random) = (AdmissionOptions::default(), Pcg64::seed_from_u64(3));
    let mut instances: Vec<Admission> = vec![Admission::default(); 72];
    let mut reports: VecDeque<Demand> = VecDeque::from(vec![Demand::default(); 30]);
    let mut shares = VecDeque::from(vec![1.0; 50]);
    let mut halves: Vec<(u32, u32)> = Vec::new();
    let mut yielding = Yielding::default();
    for step in 0..2000 {
        let now = SECOND + Duration::from_millis(step * STEP);
        let add = |sum: Demand, one: &Admission| sum.combine(one.demand(now), u32::saturating_add);
        reports.push_back(instances.iter().fold(Demand::default(), add));
        yielding.update(&reports.pop_front().unwrap_or_default(), now, &options);
        let load: f64 = shares.iter().sum::<f64>() / shares.len() as f64;
        let refusal = refused.0 + (refused.1 - refused.0) * load;
        let mut arrivals = |per_second: f64| {
            let mean = per_second * STEP as f64 / 1000.0;
            mean.floor() as u32 + u32::from(random.random::<f64>() < mean.fract())
        };
        let (urgent, lower) = (arrivals(117.0), arrivals(335.0));
        for _ in 0..urgent {
            let instance = &mut instances[random.random_range(0..72_usize)];
            if random.random::<f64>() < refusal {
                instance.record_refused(0, Reason::Rejected, now);
            } else {
                instance.record_admitted(0, now);
            }
        }
        let mut sent = 0;
        for _ in 0..lower {
            let instance = &mut instances[random.random_range(0..72_usize)];
            if random.random::<f64>() >= yielding.share(1) {
                instance.record_admitted(1, now);
                sent += 1;
            }
        }
        shares.pop_front();
        shares.push_back(f64::from(sent) / f64::from(lower.max(1)));
        if step % 50 == 0 {
            halves.push((0, 0));
        }
        let half = halves.last_mut().expect("one was pushed at the first step");
        *half = (half.0 + sent, half.1 + lower);
    }
    // The first seconds are those until the first reports arrive and the share settles.
    let shares: Vec<f64> = halves.iter().skip(8).map(|(sent, all)| f64::from(*sent) / f64::from(*all)).collect();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    (shares.iter().copied().fold(1.0, f64::min), shares.iter().copied().fold(0.0, f64::max), mean)
}

/// Some requests of the highest priority are always refused in a large deployment. If single ones made all lower requests
/// yield, a third of these would be refused while 1 in 100 urgent ones is.
#[test]
fn few_refusals_of_urgent_requests_leave_the_lower_ones_admitted() {
    for refused in [0.0, 0.005, 0.01] {
        let (_, _, mean) = admitted_by_72_instances((refused, refused));
        assert!(mean > 0.95, "{mean} at {refused}");
    }
}

/// Lower requests must not be admitted while urgent ones are refused for lack of capacity.
#[test]
fn many_refusals_of_urgent_requests_make_all_lower_ones_yield() {
    let (_, max, mean) = admitted_by_72_instances((0.4, 0.4));
    assert!(mean < 0.01 && max < 0.05, "{mean}, up to {max}");
}

/// Only a smoothed share is stable, but urgent requests must not be refused for long while lower ones are admitted.
#[test]
fn lower_requests_yield_within_two_seconds() {
    let demand = Demand { refused: [20, 0, 0, 0], admitted: [20, 0, 0, 0] };
    let mut yielding = Yielding::default();
    yielding.update(&Demand::default(), SECOND * 60, &AdmissionOptions::default());
    (1..=20).for_each(|step| yielding.update(&demand, SECOND * 60 + MS * 100 * step, &AdmissionOptions::default()));
    assert!(yielding.share(1) > 0.85, "{}", yielding.share(1));
    assert!(yielding.share(0) <= 0.0, "nothing is more urgent");
}

/// With all or nothing, half seconds in which all lower requests are admitted would alternate with others in which none is.
#[test]
fn lower_requests_that_cause_the_refusals_yield_in_part() {
    let (min, max, mean) = admitted_by_72_instances((0.0, 0.3));
    assert!((0.2..=0.7).contains(&mean), "{mean}");
    assert!(max - min < 0.6, "{min} to {max}");
}
