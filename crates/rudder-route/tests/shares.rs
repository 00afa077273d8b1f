//! Fair shares between organisations under different loads.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rudder_model::OrgTag;
use rudder_route::shares::{
    Claim, EQUAL_WEIGHT, Fate, Group, MAX_AGE, MAX_REPORTED, Shares, Work, WorkReport, WorkSum, fair_level,
};

const GROUP: Group = Group { service: 7, level: 1 };
const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(20);
/// Work of each request in units.
const UNITS: u32 = 40;

/// Instances that share an engine, which runs a fixed number of requests in each tick.
struct Scene {
    instances: Vec<Shares>,
    now: Duration,
    capacity: f64,
    room: f64,
    exchanges: bool,
    draws: Pcg64Mcg,
    /// Requests by organisation: asked, admitted and refused for fairness since the last reset.
    counts: Vec<[f64; 3]>,
}

impl Scene {
    fn new(instances: usize, capacity: f64) -> Scene {
        let draws = Pcg64Mcg::seed_from_u64(5);
        let instances = vec![Shares::default(); instances];
        Scene { instances, now: SECOND, capacity, room: 0.0, exchanges: true, draws, counts: Vec::new() }
    }

    /// Runs for some seconds with these numbers of requests by organisation and tick, and returns the counts per tick.
    fn run(&mut self, seconds: u32, rates: &[f64]) -> Vec<[f64; 3]> {
        self.counts = vec![[0.0; 3]; rates.len()];
        let ticks = seconds * 50;
        for tick in 0..ticks {
            self.now += TICK;
            self.room = (self.room + self.capacity).min(self.capacity * 2.0);
            self.tick(rates);
            if self.exchanges && tick % 10 == 0 {
                self.exchange();
            }
        }
        self.counts.iter().map(|counts| counts.map(|count| count / f64::from(ticks))).collect()
    }

    /// Makes one tick's requests, in random order at random instances.
    fn tick(&mut self, rates: &[f64]) {
        let total: f64 = rates.iter().sum();
        let whole = total.floor() + f64::from(u8::from(self.draws.random_bool(total.fract())));
        for _ in 0..whole as u32 {
            let mut point = self.draws.random_range(0.0..total);
            let index = rates.iter().position(|rate| {
                point -= rate;
                point < 0.0
            });
            self.request(index.unwrap_or_default());
        }
    }

    fn request(&mut self, index: usize) {
        let tag = index as OrgTag;
        let instance = self.draws.random_range(0..self.instances.len());
        let shares = &mut self.instances[instance];
        self.counts[index][0] += 1.0;
        let fate = if shares.excess(tag, GROUP, EQUAL_WEIGHT, self.now).is_some() {
            self.counts[index][2] += 1.0;
            Fate::Unfair
        } else if self.room < 1.0 {
            Fate::Short
        } else {
            self.room -= 1.0;
            self.counts[index][1] += 1.0;
            Fate::Admitted
        };
        shares.record(Some(tag), GROUP, UNITS, fate, self.now);
    }

    /// Gives each instance the sum of the others' reports.
    fn exchange(&mut self) {
        let now = self.now;
        let reports: Vec<Vec<WorkReport>> = self.instances.iter_mut().map(|shares| shares.to_reports(now)).collect();
        let mut total = WorkSum::default();
        for report in reports.iter().flatten() {
            total.add(report);
        }
        for (shares, own) in self.instances.iter_mut().zip(&reports) {
            let mut others = total.clone();
            for report in own {
                others.subtract(report);
            }
            let known = if others.is_empty() { Vec::new() } else { vec![others.to_report(GROUP, MAX_REPORTED)] };
            shares.set_others(&known, now);
        }
    }
}

/// Max-min shares of `capacity`.
fn max_min(rates: &[f64], capacity: f64) -> Vec<f64> {
    let claims = rates.iter().map(|demand| Claim { demand: *demand, weight: EQUAL_WEIGHT }).collect();
    let level = fair_level(claims, capacity);
    rates.iter().map(|rate| rate.min(level)).collect()
}

macro_rules! levels {
    ($($name:ident: $claims:expr, $capacity:expr => $level:expr;)*) => {
        $(#[test] fn $name() {
            let claims = $claims.into_iter().map(|(demand, weight)| Claim { demand, weight }).collect();
            let level = fair_level(claims, $capacity);
            assert!(level == $level || (level - $level).abs() < 1e-9, "{level}");
        })*
    };
}

levels! {
    no_level_where_all_fits: [(3.0, 1.0), (4.0, 1.0)], 7.0 => f64::INFINITY;
    what_light_ones_leave_is_shared: [(1.0, 1.0), (8.0, 1.0), (8.0, 1.0)], 9.0 => 4.0;
    weights_scale_the_level: [(9.0, 2.0), (9.0, 1.0)], 9.0 => 3.0;
    no_capacity_no_level: [(9.0, 1.0)], 0.0 => 0.0;
}

macro_rules! eightfold {
    ($($(#[$meta:meta])* $name:ident: $instances:expr, $exchanges:expr, $kept:expr;)*) => {
        $($(#[$meta])* #[test] fn $name() {
            let mut scene = Scene::new($instances, 20.0);
            scene.exchanges = $exchanges;
            scene.run(10, &[1.8; 10]);
            let mut rates = [1.8; 10];
            rates[3] *= 8.0;
            scene.run(5, &rates);
            let counts = scene.run(20, &rates);
            for (index, [asked, admitted, unfair]) in counts.into_iter().enumerate() {
                let kept = admitted / asked;
                assert!(index == 3 || kept > $kept && unfair < asked * 0.02, "{index} kept {kept}, {unfair} unfair");
            }
            assert!(counts_of(&scene, 3) >= 1.8, "limited below its share");
        })*
    };
}

fn counts_of(scene: &Scene, index: usize) -> f64 {
    scene.counts[index][1] / 1000.0
}

eightfold! {
    one_organisation_at_eight_times_its_load: 1, true, 0.9;
    one_organisation_at_eight_times_its_load_over_all_instances: 20, true, 0.9;
    /// Guards against the loss of protection when the exchange is lost: each instance has a small sample.
    one_organisation_at_eight_times_its_load_exchange_lost: 20, false, 0.75;
}

/// Guards against refusals for fairness while there is capacity.
#[test]
fn no_contention_refuses_nobody() {
    let mut scene = Scene::new(4, 30.0);
    let counts = scene.run(20, &[12.0, 0.5, 0.5, 3.0, 6.0]);
    assert!(counts.iter().all(|[asked, admitted, _]| asked - admitted < 1e-9), "{counts:?}");
}

/// Guards against limits that outlast the demand of others, and against a burst that takes a newcomer's share.
#[test]
fn an_organisation_that_starts_or_stops() {
    let mut scene = Scene::new(4, 10.0);
    scene.run(8, &[20.0, 0.0]);
    scene.run(6, &[20.0, 4.0]);
    let counts = scene.run(10, &[20.0, 4.0]);
    assert!(counts[1][1] > 4.0 * 0.85, "{counts:?}");
    scene.run(6, &[9.0, 0.0]);
    let counts = scene.run(10, &[9.0, 0.0]);
    assert!(counts[0][2] == 0.0 && counts[0][1] > 8.9, "{counts:?}");
}

/// Guards against levels from a window without admissions, which would hold back most requests after an outage.
#[test]
fn capacity_that_returns_after_an_outage_is_used() {
    let mut scene = Scene::new(4, 20.0);
    scene.run(8, &[12.0, 12.0, 12.0]);
    scene.capacity = 0.0;
    scene.run(7, &[12.0, 12.0, 12.0]);
    scene.capacity = 20.0;
    let counts = scene.run(1, &[12.0, 12.0, 12.0]);
    let admitted: f64 = counts.iter().map(|counts| counts[1]).sum();
    assert!(admitted > 20.0 * 0.4, "{counts:?}");
}

/// A lone organisation competes with nobody, however short the capacity.
#[test]
fn a_lone_organisation_is_never_over() {
    let mut scene = Scene::new(2, 2.0);
    assert!(scene.run(10, &[20.0])[0][2] == 0.0);
}

/// Guards against memory or cost that grows with the number of organisations, and refusals by chance among equals.
#[test]
fn many_organisations_bounded_state() {
    let mut scene = Scene::new(2, 40.0);
    let rates = vec![80.0 / 47_000.0; 47_000];
    let counts = scene.run(10, &rates);
    let unfair: f64 = counts.iter().map(|counts| counts[2]).sum();
    assert!(unfair < 80.0 * 0.01, "{unfair}");
    for shares in &mut scene.instances {
        let reports = shares.to_reports(scene.now);
        assert!(reports.len() == 1 && reports[0].heavy.len() <= MAX_REPORTED);
        // The sums hold the work of all organisations: about as much as was asked in the window of up to five seconds.
        let work = reports[0].heavy.iter().fold(reports[0].rest.demand(), |sum, entry| sum + entry.work.demand());
        assert!((190..=260).contains(&(work / UNITS / 40)), "{work}");
    }
}

/// Guards against state that outlives its organisations, as when they are renamed or removed.
#[test]
fn entries_expire_with_the_window() {
    let mut shares = Shares::default();
    for organisation in 0..500 {
        shares.record(Some(organisation), GROUP, UNITS, Fate::Short, SECOND);
    }
    assert_eq!(shares.groups(), 1);
    assert!(shares.to_reports(SECOND * 4).is_empty(), "nothing was refused recently");
    assert_eq!(shares.groups(), 1);
    shares.to_reports(SECOND * 7);
    assert_eq!(shares.groups(), 0);
}

/// Guards against decisions by old sums: the others' part counts only while it is fresh.
#[test]
fn old_sums_of_others_are_not_used() {
    let mut shares = Shares::default();
    for organisation in 0..4 {
        shares.record(Some(organisation), GROUP, UNITS, Fate::Admitted, SECOND);
        shares.record(Some(organisation), GROUP, UNITS, Fate::Short, SECOND);
    }
    let mut others = shares.to_reports(SECOND).remove(0);
    others.heavy[0].work = Work { admitted: UNITS * 90, refused: UNITS * 900 };
    let heavy = others.heavy[0].organisation;
    shares.set_others(&[others], SECOND);
    assert_eq!(shares.excess(heavy, GROUP, EQUAL_WEIGHT, SECOND), None, "the first request always passes");
    shares.record(Some(heavy), GROUP, UNITS, Fate::Admitted, SECOND);
    let fresh = shares.excess(heavy, GROUP, EQUAL_WEIGHT, SECOND).expect("over its share");
    assert_eq!(fresh.age, Some(Duration::ZERO));
    assert_eq!(shares.excess(heavy, GROUP, EQUAL_WEIGHT, SECOND + MAX_AGE), None);
}

/// A request that endpoints refuse as full is no admitted work.
#[test]
fn refused_by_full_endpoints_counts_as_refused() {
    let mut shares = Shares::default();
    for fate in [Fate::Admitted, Fate::Admitted, Fate::Bounced] {
        shares.record(Some(1), GROUP, UNITS, fate, SECOND);
    }
    assert_eq!(shares.to_reports(SECOND)[0].heavy[0].work, Work { admitted: UNITS, refused: UNITS });
}

/// Requests of 2 to 8 organisations in a tick, together above the capacity of 10.
#[derive(Clone, Debug)]
struct Demands(Vec<f64>);

impl Arbitrary for Demands {
    fn arbitrary(source: &mut Gen) -> Demands {
        let count = 2 + usize::arbitrary(source) % 7;
        let mut rates: Vec<f64> = (0..count).map(|_| f64::from(1 + u32::arbitrary(source) % 40)).collect();
        let total: f64 = rates.iter().sum();
        let factor = 10.0 * (1.2 + f64::from(u8::arbitrary(source)) / 64.0) / total;
        for rate in &mut rates {
            *rate *= factor;
        }
        Demands(rates)
    }
}

quickcheck! {
    /// Whatever the demands, each organisation gets its max-min share, within a quarter and the trickle.
    fn admitted_work_converges_to_max_min_shares(demands: Demands) -> bool {
        let mut scene = Scene::new(3, 10.0);
        scene.run(10, &demands.0);
        let counts = scene.run(15, &demands.0);
        let shares = max_min(&demands.0, 10.0);
        counts.iter().zip(shares).all(|([_, admitted, _], share)| (admitted - share).abs() < share * 0.25 + 0.1)
    }
}
