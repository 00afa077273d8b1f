//! Callers of the demo: open arrivals at a rate that changes over time, one thread for each call.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::Sender,
    },
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_client::{Caller, Reply};

use crate::deploy::{MODEL, ORGS, SERVICE, key_of};

/// Stack of a thread that makes one call.
const STACK: usize = 256 * 1024;

/// One class of calls over time.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Its class.
    pub class: &'static str,
    /// Calls a second at ordinary times.
    pub rate: f64,
    /// Calls a second during the burst.
    pub burst: f64,
    /// It calls the plain service, with a key.
    pub keyed: bool,
}

/// One finished call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub class: &'static str,
    /// Its key.
    pub key: Option<String>,
    /// What came back.
    pub reply: Reply,
}

/// When calls are made.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// How long.
    pub length: Duration,
    /// When the burst begins.
    pub burst: Duration,
    /// How long the burst lasts.
    pub burst_length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Makes the calls of one class until the plan ends; returns once all are made, not answered.
pub fn run(stream: &Stream, plan: &Plan, entries: &[String], calls: &Sender<Call>, open: &Arc<AtomicUsize>) {
    let mut rng = Pcg32::seed_from_u64(plan.seed ^ rudder_model::id::rendezvous(stream.class, ""));
    let mut callers: Vec<Caller> = ORGS.iter().map(|org| Caller::new(entries, &key_of(org))).collect();
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut count = 0_u64;
    while due < plan.length {
        thread::sleep(due.saturating_sub(start.elapsed()));
        let at = rng.random_range(0..callers.len());
        let mut caller = callers[at].clone();
        caller.start_at(rng.random_range(0..entries.len()));
        let (stream_copy, calls, open) = (stream.clone(), calls.clone(), open.clone());
        let number = count;
        open.fetch_add(1, Ordering::SeqCst);
        let made = thread::Builder::new().stack_size(STACK).spawn(move || {
            let call = call(&stream_copy, &mut caller, number);
            let _ = calls.send(call);
            open.fetch_sub(1, Ordering::SeqCst);
        });
        if made.is_err() {
            return;
        }
        // Lists are kept by each organisation's caller, so they age as they would.
        callers[at].start_at(number as usize);
        callers[at].touch();
        count += 1;
        let in_burst = due >= plan.burst && due < plan.burst + plan.burst_length;
        let rate = if in_burst { stream.burst } else { stream.rate };
        let gap = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
        due += Duration::from_secs_f64(gap);
    }
}

fn call(stream: &Stream, caller: &mut Caller, number: u64) -> Call {
    if stream.keyed {
        let key = format!("{}-{number}", stream.class);
        let reply = caller.service(SERVICE, "claims", stream.class, Some(&key), "{\"drop\": 1}");
        return Call { class: stream.class, key: Some(key), reply };
    }
    let prompt = format!("{} of week {} number {number}", stream.class, number % 5);
    let reply = caller.chat(MODEL, stream.class, &prompt, None);
    Call { class: stream.class, key: None, reply }
}
