//! Compares strategies by which many instances stay within the rejections that one endpoint bears, in virtual time. The
//! endpoint loses room in the course of a run. For each strategy it prints the most rejections in a second, and the share
//! of the room that is used. Run with `cargo run --release -p rudder-route --example concurrency_limits`.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rudder_model::RequestRate;
use rudder_route::concurrency_limit::ConcurrencyLimiter;

/// Length of a run.
const RUN: Duration = Duration::from_secs(30);
/// When the endpoint loses room.
const LOSS: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(2);
const SECOND: Duration = Duration::from_secs(1);
/// Slots of the endpoint, all of which it has room for at first.
const SLOTS: usize = 16;
/// Requests at once that it accepts after the loss.
const ROOM: usize = 6;
/// How long it works on a request.
const WORK: Duration = Duration::from_millis(200);
/// Mean pause of a caller after a request.
const PAUSE: Duration = Duration::from_millis(20);
/// Delay until an instance knows what another one was told.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// One-way latency between an instance and the holder.
const LATENCY: Duration = Duration::from_millis(2);
/// Number of runs of each case, each with its own seed.
const SEEDS: u64 = 3;

/// Decides for each request whether it may be sent.
trait Strategy {
    const NAME: &'static str;
    fn new(instances: usize, borne: f64, seed: u64) -> Self;
    fn may_send(&mut self, instance: usize, now: Duration) -> bool;
    /// Records the end of a request.
    fn end(&mut self, instance: usize, now: Duration, rejected: bool);
}

/// The pause after which `instances` that each cause one rejection at a time stay within what is borne, ten seconds at most.
fn pause(instances: usize, borne: f64, rng: &mut Pcg64) -> Duration {
    Duration::from_secs_f64((instances as f64 / (borne * 0.5) * rng.random_range(0.8..1.6)).clamp(0.5, 10.0))
}

/// Each instance has an equal share of the slots, one at least, and pauses after a rejection.
struct EqualShares {
    share: usize,
    /// Instances that may send.
    senders: usize,
    borne: f64,
    own: Vec<usize>,
    retry_at: Vec<Duration>,
    rng: Pcg64,
}

impl Strategy for EqualShares {
    const NAME: &'static str = "equal shares";

    fn new(instances: usize, borne: f64, seed: u64) -> Self {
        let (own, retry_at) = (vec![0; instances], vec![Duration::ZERO; instances]);
        let share = (SLOTS / instances).max(1);
        EqualShares { share, senders: instances, borne, own, retry_at, rng: Pcg64::seed_from_u64(seed) }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        let sends = now >= self.retry_at[instance] && self.own[instance] < self.share;
        self.own[instance] += usize::from(sends);
        sends
    }

    fn end(&mut self, instance: usize, now: Duration, rejected: bool) {
        self.own[instance] -= 1;
        if rejected {
            self.retry_at[instance] = now + pause(self.senders, self.borne, &mut self.rng);
        }
    }
}

/// As many instances as there are slots have one each; the others send nothing.
struct NamedSenders(EqualShares);

impl Strategy for NamedSenders {
    const NAME: &'static str = "a slot each for a few";

    fn new(instances: usize, borne: f64, seed: u64) -> Self {
        NamedSenders(EqualShares { senders: SLOTS, ..EqualShares::new(instances, borne, seed) })
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        instance < SLOTS && self.0.may_send(instance, now)
    }

    fn end(&mut self, instance: usize, now: Duration, rejected: bool) {
        self.0.end(instance, now, rejected);
    }
}

/// Each instance sends while the requests that it knows of are fewer than the endpoint accepted when it last rejected one.
/// Counts and rejections of others are known after a delay.
struct ByReports {
    borne: f64,
    events: VecDeque<(Duration, isize, bool)>,
    known: isize,
    capacity: isize,
    retry_at: Duration,
    own: Vec<usize>,
}

impl ByReports {
    fn learn(&mut self, now: Duration) {
        while let Some((at, change, rejected)) = self.events.front().copied().filter(|(at, ..)| *at <= now) {
            self.events.pop_front();
            self.known += change;
            if rejected {
                self.capacity = self.known.max(1);
                self.retry_at = at + Duration::from_secs_f64(2.0 / self.borne);
            }
        }
    }
}

impl Strategy for ByReports {
    const NAME: &'static str = "by reports";

    fn new(instances: usize, borne: f64, _: u64) -> Self {
        let own = vec![0; instances];
        let capacity = SLOTS.cast_signed();
        ByReports { borne, events: VecDeque::new(), known: 0, capacity, retry_at: Duration::ZERO, own }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        self.learn(now);
        let sends = now >= self.retry_at && self.known < self.capacity && self.own[instance] == 0;
        if sends {
            self.own[instance] += 1;
            self.events.push_back((now + REPORT_DELAY, 1, false));
        }
        sends
    }

    fn end(&mut self, instance: usize, now: Duration, rejected: bool) {
        self.own[instance] -= 1;
        self.events.push_back((now + REPORT_DELAY, -1, rejected));
    }
}

/// One holder lends the room.
struct SingleHolder {
    borne: RequestRate,
    limiter: ConcurrencyLimiter<usize>,
    /// Ends of requests on their way to the holder.
    ends: VecDeque<(Duration, usize, bool)>,
    retry_at: Vec<Duration>,
}

impl Strategy for SingleHolder {
    const NAME: &'static str = "one holder";

    fn new(instances: usize, borne: f64, _: u64) -> Self {
        let borne = RequestRate::try_from_per_second(borne).expect("a rate");
        let retry_at = vec![Duration::ZERO; instances];
        SingleHolder { borne, limiter: ConcurrencyLimiter::default(), ends: VecDeque::new(), retry_at }
    }

    fn may_send(&mut self, instance: usize, now: Duration) -> bool {
        while let Some((at, ended, rejected)) = self.ends.front().copied().filter(|(at, ..)| *at <= now) {
            self.ends.pop_front();
            if rejected {
                self.limiter.record_rejection(at, self.borne, Some(&ended));
            } else {
                self.limiter.end(at, &ended);
            }
        }
        if now < self.retry_at[instance] {
            return false;
        }
        let denied = self.limiter.try_lend(now + LATENCY, self.borne, (instance, SECOND * 5), 0).err();
        self.retry_at[instance] = denied.map_or(now, |retry| now + LATENCY * 2 + retry);
        denied.is_none()
    }

    fn end(&mut self, instance: usize, now: Duration, rejected: bool) {
        self.ends.push_back((now + LATENCY, instance, rejected));
    }
}

/// The most of these times, which ascend, in any second.
fn most_in_a_second(times: &[Duration]) -> usize {
    let before = |end: Duration| times.partition_point(|at| *at < end);
    let counts = times.iter().enumerate().map(|(index, first)| before(*first + SECOND) - index);
    counts.max().unwrap_or_default()
}

/// The most rejections in any second, and the share of the room that is used after its loss.
fn simulate<S: Strategy>(instances: usize, callers: usize, borne: f64) -> (usize, f64) {
    let (mut worst, mut used) = (0, 0.0);
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut strategy = S::new(instances, borne, seed);
        let mut idle_until = vec![Duration::ZERO; callers];
        let mut running: Vec<(Duration, usize)> = Vec::new();
        let (mut rejected, mut accepted) = (Vec::new(), 0);
        let mut now = Duration::ZERO;
        while now < RUN {
            now += STEP;
            running.retain(|(until, caller)| {
                let is_running = now < *until;
                if !is_running {
                    strategy.end(*caller, now, false);
                    idle_until[*caller] = now + PAUSE.mul_f64(rng.random_range(0.0..2.0));
                }
                is_running
            });
            let room = if now < LOSS { SLOTS } else { ROOM };
            let first = rng.random_range(0..callers);
            for caller in (first..callers).chain(0..first) {
                if now < idle_until[caller] || !strategy.may_send(caller, now) {
                    continue;
                }
                if running.len() < room {
                    running.push((now + WORK, caller));
                    accepted += usize::from(now >= LOSS);
                    idle_until[caller] = RUN;
                } else {
                    rejected.push(now);
                    strategy.end(caller, now, true);
                    idle_until[caller] = now + PAUSE;
                }
            }
        }
        worst = worst.max(most_in_a_second(&rejected));
        let possible = ROOM as f64 * (RUN.saturating_sub(LOSS)).as_secs_f64() / WORK.as_secs_f64();
        used += f64::from(accepted as u32) / possible / SEEDS as f64;
    }
    (worst, used)
}

fn print_row<S: Strategy>(is_even: bool) {
    print!("| {} | {} ", S::NAME, if is_even { "all" } else { "a third" });
    for instances in [9, 72, 300, 995] {
        let callers = if is_even { instances } else { instances / 3 };
        for borne in [1.0, 5.0] {
            let (worst, used) = simulate::<S>(instances, callers, borne);
            print!("| {worst}, {used:.2} ");
        }
    }
    println!("|");
}

fn main() {
    println!("| strategy | callers at | 9 instances, 1 borne | 5 | 72, 1 | 5 | 300, 1 | 5 | 995, 1 | 5 |");
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for is_even in [true, false] {
        print_row::<EqualShares>(is_even);
        print_row::<NamedSenders>(is_even);
        print_row::<ByReports>(is_even);
        print_row::<SingleHolder>(is_even);
    }
}
