//! Short calls: time added against calling the endpoint directly, and calls a second.

use std::{
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, bail, eyre};
use rudder_client::{Caller, Reply};

use crate::Figures;

/// What is called.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of an entry.
    pub entry: String,
    /// Bearer key of an organisation.
    pub key: String,
    /// Name of the plain service.
    pub service: String,
    /// Class of the calls.
    pub class: String,
    /// Each call has an idempotency key of its own.
    pub keyed: bool,
}

/// Times of direct calls and of calls through an entry, made in turn.
#[derive(Debug, Default)]
pub struct Added {
    /// Directly to the endpoint.
    pub direct: Figures,
    /// Through the entry.
    pub through: Figures,
}

/// Makes `count` pairs of calls, one direct and one through the entry.
///
/// # Errors
/// When a call is not answered.
pub fn added(target: &Target, direct: &str, count: u32) -> Result<Added> {
    let mut straight = Caller::at(direct, &target.key);
    let mut through = Caller::at(&target.entry, &target.key);
    let mut added = Added::default();
    for number in 0..count {
        added.direct.add(answered(&straight.send("POST", "/ping", &target.class, None, "{}"))?);
        added.through.add(answered(&call(target, &mut through, &format!("pair-{number}")))?);
    }
    Ok(added)
}

/// Calls made by several threads at once.
#[derive(Debug, Default)]
pub struct Throughput {
    /// Calls answered a second.
    pub rate: f64,
    /// Calls not answered whole.
    pub failed: u64,
    /// Their times.
    pub times: Figures,
}

/// Calls as fast as `threads` callers can for `length`.
///
/// # Errors
/// When a thread fails.
pub fn throughput(target: &Target, threads: u32, length: Duration) -> Result<Throughput> {
    let start = Instant::now();
    let callers: Vec<_> = (0..threads)
        .map(|thread| {
            let target = target.clone();
            thread::spawn(move || {
                let mut caller = Caller::at(&target.entry, &target.key);
                let (mut times, mut failed, mut number) = (Figures::default(), 0, 0_u64);
                while start.elapsed() < length {
                    number += 1;
                    let reply = call(&target, &mut caller, &format!("load-{thread}-{number}"));
                    match answered(&reply) {
                        Ok(time) => times.add(time),
                        Err(_) => failed += 1,
                    }
                }
                (times, failed)
            })
        })
        .collect();
    let mut sum = Throughput::default();
    for caller in callers {
        let (times, failed) = caller.join().map_err(|_| eyre!("a caller failed"))?;
        sum.times.merge(&times);
        sum.failed += failed;
    }
    sum.rate = sum.times.count() as f64 / start.elapsed().as_secs_f64();
    Ok(sum)
}

fn call(target: &Target, caller: &mut Caller, key: &str) -> Reply {
    let key = target.keyed.then_some(key);
    caller.service(&target.service, "ping", &target.class, key, "{}")
}

fn answered(reply: &Reply) -> Result<Duration> {
    if !reply.whole {
        bail!("not answered: status {}, code {:?}, {}", reply.status, reply.code, reply.body);
    }
    Ok(reply.total)
}
