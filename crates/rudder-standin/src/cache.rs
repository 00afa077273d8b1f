//! The prefix cache and its events, published late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A cache of prompt prefixes with limited room.
#[derive(Debug)]
pub struct Cache {
    room: usize,
    held: VecDeque<u64>,
    evicted: VecDeque<(Instant, u64)>,
    /// Number of the first event in `evicted`.
    first: u64,
    /// Events kept for readers; older ones are the gaps that late readers see.
    kept: usize,
}

impl Cache {
    /// A cache of `room` prefixes that keeps `kept` events.
    pub fn new(room: usize, kept: usize) -> Cache {
        Cache { room, held: VecDeque::new(), evicted: VecDeque::new(), first: 0, kept }
    }

    /// Uses a prefix; true when it was held.
    pub fn touch(&mut self, prefix: u64) -> bool {
        let hit = self.held.iter().position(|held| *held == prefix).map(|at| self.held.remove(at)).is_some();
        self.held.push_back(prefix);
        if self.held.len() > self.room {
            let evicted = self.held.pop_front();
            self.evicted.extend(evicted.map(|prefix| (Instant::now(), prefix)));
        }
        while self.evicted.len() > self.kept {
            self.evicted.pop_front();
            self.first += 1;
        }
        hit
    }

    /// Events from number `after` on that are at least `late` old: the number of the first one still
    /// kept, and the prefixes.
    pub fn events(&self, after: u64, late: Duration) -> (u64, Vec<u64>) {
        let from = after.clamp(self.first, self.first + self.evicted.len() as u64);
        let skipped = (from - self.first) as usize;
        let published = self.evicted.iter().skip(skipped).take_while(|(at, _)| at.elapsed() >= late);
        (from, published.map(|(_, prefix)| *prefix).collect())
    }
}
