//! The fake engine: slots, a queue by priority, a pace that falls with the load, a prefix cache.

use std::{collections::VecDeque, time::Duration};

use rudder_model::RequestId;

use crate::scenario::EngineSpec;

/// One request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub request: RequestId,
    /// Its tier; engines honour priorities.
    pub tier: u8,
    /// Prompt prefix.
    pub prefix: u64,
    /// Tokens still to generate.
    pub left: f64,
    /// Seconds of prefill still to do.
    prefill: f64,
    /// Tokens generated here.
    pub made: f64,
    /// Seconds of a slot used.
    pub used: f64,
}

/// What an engine did in one step.
#[derive(Debug, Default)]
pub struct Step {
    /// Requests that got their first token here.
    pub first: Vec<RequestId>,
    /// Requests that ended.
    pub done: Vec<Job>,
    /// Prefixes evicted.
    pub evicted: Vec<u64>,
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    running: Vec<Job>,
    waiting: Vec<Job>,
    cache: VecDeque<u64>,
    /// Times slower; 0 while crashed.
    pub slow: f64,
    /// Seconds of slots used in all.
    pub used: f64,
}

impl Engine {
    /// An idle engine.
    pub fn new(spec: &EngineSpec) -> Engine {
        Engine {
            spec: spec.clone(),
            running: Vec::new(),
            waiting: Vec::new(),
            cache: VecDeque::new(),
            slow: 1.0,
            used: 0.0,
        }
    }

    /// Handles a request.
    pub fn enter(&mut self, request: RequestId, tier: u8, prefix: u64, left: f64) {
        self.waiting.push(Job { request, tier, prefix, left, prefill: 0.0, made: 0.0, used: 0.0 });
    }

    /// Cancels a request.
    pub fn remove(&mut self, request: RequestId) -> Option<Job> {
        for jobs in [&mut self.running, &mut self.waiting] {
            if let Some(at) = jobs.iter().position(|job| job.request == request) {
                return Some(jobs.remove(at));
            }
        }
        None
    }

    /// Loses everything.
    pub fn crash(&mut self) -> Vec<Job> {
        self.cache.clear();
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Requests that it works on or holds.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Works for `step`.
    pub fn step(&mut self, step: Duration) -> Step {
        let mut out = Step::default();
        if self.slow <= 0.0 {
            return out;
        }
        self.admit(&mut out);
        let share = self.running.len() as f64 / f64::from(self.spec.slots);
        let pace = self.spec.pace.as_secs_f64() * (1.0 + self.spec.drag * share) * self.slow;
        let seconds = step.as_secs_f64();
        for job in &mut self.running {
            job.used += seconds;
            self.used += seconds;
            job.prefill -= seconds / self.slow;
            if job.prefill > 0.0 {
                continue;
            }
            if job.made == 0.0 {
                out.first.push(job.request);
            }
            job.made += seconds / pace;
            job.left -= seconds / pace;
        }
        let (done, running) = self.running.drain(..).partition(|job| job.left <= 0.0 && job.made > 0.0);
        self.running = running;
        out.done = done;
        out
    }

    fn admit(&mut self, out: &mut Step) {
        while self.running.len() < self.spec.slots as usize && !self.waiting.is_empty() {
            let next = self.waiting.iter().enumerate().min_by_key(|(at, job)| (job.tier, *at)).map_or(0, |(at, _)| at);
            let mut job = self.waiting.remove(next);
            let hit = self.touch(job.prefix, out);
            let prefill = self.spec.prefill.as_secs_f64();
            job.prefill = if hit { prefill / 4.0 } else { prefill };
            self.running.push(job);
        }
    }

    fn touch(&mut self, prefix: u64, out: &mut Step) -> bool {
        let hit = self.cache.iter().position(|held| *held == prefix).map(|at| self.cache.remove(at)).is_some();
        self.cache.push_back(prefix);
        if self.cache.len() > self.spec.room {
            out.evicted.extend(self.cache.pop_front());
        }
        hit
    }
}
