//! Ways in which many instances can keep the rate limit of one endpoint together, in virtual time: how much comes in the worst
//! four seconds, as a share of what may, and how much of the limit is used. Run with
//! `cargo run --release -p rudder-route --example rate_limits`.

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
/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Age of what instances know of each other's demand.
const LAG: Duration = Duration::from_millis(300);
/// Time over which demand is measured.
const MEASURE: Duration = Duration::from_secs(1);
/// From one instance to the holder.
const LINK: Duration = Duration::from_millis(2);
/// Runs of each case.
const SEEDS: u64 = 5;

/// How demand comes.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Three times the limit, at all instances alike.
    Even,
    /// Three times the limit, at a third of the instances alone.
    OneHall,
    /// Half of the limit, and from the middle of the run on five times it.
    Jump,
}

impl Demand {
    /// Requests a second at a time, as a multiple of the limit.
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

/// Decides for each request in turn whether it may be sent.
trait Way {
    const NAME: &'static str;
    fn new(instances: usize, limit: f64, seed: u64) -> Self;
    fn may_send(&mut self, instance: usize, now: Duration) -> bool;
}

/// Each instance has the same share of the limit.
struct EqualShares {
    share: f64,
    buckets: Vec<(f64, Duration)>,
}

impl Way for EqualShares {
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

/// A few instances, named by a hash, have shares; the others send nothing.
struct NamedFew {
    shares: Vec<Option<Share>>,
    sent: Vec<SendHistory>,
}

impl Way for NamedFew {
    const NAME: &'static str = "a few by hash";

    fn new(instances: usize, limit: f64, seed: u64) -> Self {
        let names: Vec<String> = (0..instances).map(|number| format!("10.0.0.{number}:7000")).collect();
        let endpoint = format!("e-{seed}");
        let all = || names.iter().map(String::as_str);
        let shares = names.iter().map(|me| SlowStart::default().share(&endpoint, limit, me, all())).collect();
        NamedFew { shares, sent: vec![SendHistory::default(); instances] }
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

/// Each request is sent with the probability by which the sum of all demand, as it was some time ago, exceeds the limit.
struct ByDemand {
    limit: f64,
    wanted: VecDeque<Duration>,
    rng: Pcg64,
}

impl Way for ByDemand {
    const NAME: &'static str = "by known demand";

    fn new(_: usize, limit: f64, seed: u64) -> Self {
        ByDemand { limit, wanted: VecDeque::new(), rng: Pcg64::seed_from_u64(seed) }
    }

    fn may_send(&mut self, _: usize, now: Duration) -> bool {
        self.wanted.push_back(now);
        while self.wanted.front().is_some_and(|at| *at + LAG + MEASURE < now) {
            self.wanted.pop_front();
        }
        let known = self.wanted.iter().filter(|at| **at + LAG <= now).count();
        let demand = known as f64 / MEASURE.as_secs_f64();
        self.rng.random_range(0.0..1.0) * demand.max(self.limit) < self.limit
    }
}

/// One holder grants each request.
struct Holder {
    rate: RequestRate,
    limiter: RateLimiter,
    retry_at: Vec<Duration>,
}

impl Way for Holder {
    const NAME: &'static str = "one holder";

    fn new(instances: usize, limit: f64, _: u64) -> Self {
        let rate = RequestRate::try_from_per_second(limit).expect("a rate");
        Holder { rate, limiter: RateLimiter::default(), retry_at: vec![Duration::ZERO; instances] }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        if now < self.retry_at[instance] {
            return false;
        }
        let denied = self.limiter.try_take(now + LINK, self.rate, 0, 1).err();
        self.retry_at[instance] = denied.map_or(now, |retry| now + LINK * 2 + retry);
        denied.is_none()
    }
}

/// The most requests in any window, as a share of what may come, and the share of the limit that is used.
fn play<W: Way>(instances: usize, limit: f64, demand: Demand) -> (f64, f64) {
    let (mut worst, mut used) = (0.0_f64, 0.0);
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut way = W::new(instances, limit, seed);
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
            if way.may_send(instance, now) {
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

fn print_row<W: Way>(demand: Demand) {
    print!("| {} | {demand:?} ", W::NAME);
    for instances in [9, 60, 300, 995] {
        for limit in [1.0, 20.0] {
            let (worst, used) = play::<W>(instances, limit, demand);
            print!("| {worst:.2}, {used:.2} ");
        }
    }
    println!("|");
}

fn main() {
    println!("| way | demand | 9 instances, 1/s | 20/s | 60, 1/s | 20/s | 300, 1/s | 20/s | 995, 1/s | 20/s |");
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for demand in [Demand::Even, Demand::OneHall, Demand::Jump] {
        print_row::<EqualShares>(demand);
        print_row::<NamedFew>(demand);
        print_row::<ByDemand>(demand);
        print_row::<Holder>(demand);
    }
}
