//! Compares strategies by which many instances enforce the rate limit of one endpoint, in virtual time. For each it
//! prints the most requests in any four seconds, as a share of what is allowed, and the share of the limit that is
//! used. Run with `cargo run --release -p rudder-route --example rate_limits`.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rudder_model::RequestRate;
use rudder_route::{
    rate_limit::RateLimiter,
    slow_start::{SendHistory, Share, SlowStart},
};

/// Length of a run.
const RUN: Duration = Duration::from_secs(60);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Delay until an instance knows the demand at the others.
const DEMAND_DELAY: Duration = Duration::from_millis(300);
/// Window over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// One-way latency between an instance and the holder.
const LATENCY: Duration = Duration::from_millis(2);
/// Number of runs of each case, each with its own seed.
const SEEDS: u64 = 5;

/// Pattern of demand.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Three times the limit, spread evenly over all instances.
    Even,
    /// Three times the limit, at a third of the instances.
    OneHall,
    /// Half of the limit, then five times the limit from the middle of the run on.
    Jump,
}

impl Demand {
    /// Demand at a time, as a multiple of the limit.
    fn level(self, at: Duration) -> f64 {
        match self {
            Demand::Even | Demand::OneHall => 3.0,
            Demand::Jump if at < RUN / 2 => 0.5,
            Demand::Jump => 5.0,
        }
    }

    fn senders(self, instances: usize) -> usize {
        if matches!(self, Demand::OneHall) { (instances / 3).max(1) } else { instances }
    }
}

/// Decides for each request whether it may be sent.
trait Strategy {
    const NAME: &'static str;
    fn new(instances: usize, limit: f64, seed: u64) -> Self;
    fn may_send(&mut self, instance: usize, now: Duration) -> bool;
}

/// Each instance gets an equal share of the limit.
struct EqualShares {
    share: f64,
    buckets: Vec<(f64, Duration)>,
}

impl Strategy for EqualShares {
    const NAME: &'static str = "equal shares";

    fn new(instances: usize, limit: f64, _: u64) -> Self {
        EqualShares { share: limit / instances as f64, buckets: vec![(0.0, Duration::ZERO); instances] }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        let (level, at) = &mut self.buckets[instance];
        *level = (*level + now.saturating_sub(*at).as_secs_f64() * self.share).min(self.share.max(1.0));
        *at = now;
        let sends = *level >= 1.0;
        *level -= f64::from(u8::from(sends));
        sends
    }
}

/// A few instances, chosen by rendezvous hashing, have shares; the others send nothing.
struct HashedSenders {
    shares: Vec<Option<Share>>,
    sent: Vec<SendHistory>,
}

impl Strategy for HashedSenders {
    const NAME: &'static str = "a few by hash";

    fn new(instances: usize, limit: f64, seed: u64) -> Self {
        let names: Vec<String> = (0..instances).map(|number| format!("10.0.0.{number}:7000")).collect();
        let endpoint = format!("e-{seed}");
        let all = || names.iter().map(String::as_str);
        let shares = names.iter().map(|me| SlowStart::default().share(&endpoint, limit, me, all())).collect();
        HashedSenders { shares, sent: vec![SendHistory::default(); instances] }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        let Some(share) = self.shares[instance] else { return false };
        let sends = self.sent[instance].has_room(now, share);
        if sends {
            self.sent[instance].note(now, share);
        }
        sends
    }
}

/// Each request is sent with a probability of the limit over the total demand, as known after a delay.
struct ByDemand {
    limit: f64,
    arrivals: VecDeque<Duration>,
    rng: Pcg64,
}

impl Strategy for ByDemand {
    const NAME: &'static str = "by known demand";

    fn new(_: usize, limit: f64, seed: u64) -> Self {
        ByDemand { limit, arrivals: VecDeque::new(), rng: Pcg64::seed_from_u64(seed) }
    }

    fn may_send(&mut self, _: usize, now: Duration) -> bool {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|at| *at + DEMAND_DELAY + DEMAND_WINDOW < now) {
            self.arrivals.pop_front();
        }
        let known = self.arrivals.iter().filter(|at| **at + DEMAND_DELAY <= now).count();
        let demand = known as f64 / DEMAND_WINDOW.as_secs_f64();
        self.rng.random_range(0.0..1.0) * demand.max(self.limit) < self.limit
    }
}

/// One holder grants each request.
struct SingleHolder {
    rate: RequestRate,
    limiter: RateLimiter,
    retry_at: Vec<Duration>,
}

impl Strategy for SingleHolder {
    const NAME: &'static str = "one holder";

    fn new(instances: usize, limit: f64, _: u64) -> Self {
        let rate = RequestRate::try_from_per_second(limit).expect("a rate");
        SingleHolder { rate, limiter: RateLimiter::default(), retry_at: vec![Duration::ZERO; instances] }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        if now < self.retry_at[instance] {
            return false;
        }
        let denied = self.limiter.try_take(now + LATENCY, self.rate, 0, 1).err();
        self.retry_at[instance] = denied.map_or(now, |retry| now + LATENCY * 2 + retry);
        denied.is_none()
    }
}

/// The most requests in any window, as a share of what is allowed, and the share of the limit that is used.
fn simulate<S: Strategy>(instances: usize, limit: f64, demand: Demand) -> (f64, f64) {
    let (mut worst, mut used) = (0.0_f64, 0.0);
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut strategy = S::new(instances, limit, seed);
        let mut sent: Vec<Duration> = Vec::new();
        let (mut now, mut possible) = (Duration::ZERO, 0.0);
        loop {
            let rate = limit * demand.level(now);
            let pause = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
            possible += pause * rate.min(limit);
            now += Duration::from_secs_f64(pause);
            if now >= RUN {
                break;
            }
            let instance = rng.random_range(0..demand.senders(instances));
            if strategy.may_send(instance, now) {
                sent.push(now);
            }
        }
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        let within = |first: &Duration| sent.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count();
        let most = sent.iter().map(within).max().unwrap_or_default();
        worst = worst.max(most as f64 / allowed);
        used += sent.len() as f64 / possible / SEEDS as f64;
    }
    (worst, used)
}

fn print_row<S: Strategy>(demand: Demand) {
    print!("| {} | {demand:?} ", S::NAME);
    for instances in [9, 60, 300, 995] {
        for limit in [1.0, 20.0] {
            let (worst, used) = simulate::<S>(instances, limit, demand);
            print!("| {worst:.2}, {used:.2} ");
        }
    }
    println!("|");
}

fn main() {
    println!("| strategy | demand | 9 instances, 1/s | 20/s | 60, 1/s | 20/s | 300, 1/s | 20/s | 995, 1/s | 20/s |");
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for demand in [Demand::Even, Demand::OneHall, Demand::Jump] {
        print_row::<EqualShares>(demand);
        print_row::<HashedSenders>(demand);
        print_row::<ByDemand>(demand);
        print_row::<SingleHolder>(demand);
    }
}
