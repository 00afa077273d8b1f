//! The log: one JSON object a line on standard output, bounded and never waited for.
//!
//! A budget of lines a second leaves out routine lines first; lines on failures, refusals and changes of
//! state have a reserve. A writer thread takes lines from a bounded queue, so a full pipe or a reader
//! that has stopped costs lines, never time. What was left out is counted and said once a second.

use std::{
    cell::Cell,
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use rudder_clock::Moment;
use rudder_events::{Line, What};
use rudder_model::InstanceId;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 256;
/// Lines are written together this often.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the budget that routine lines may use.
const ROUTINE_SHARE: f64 = 0.6;

/// Where lines go; every thread has its own with a budget of its own.
#[derive(Debug)]
pub struct Log {
    instance: InstanceId,
    started: Moment,
    lines: Sender<Line>,
    budget: u32,
    second: Cell<u64>,
    used: Cell<u32>,
    over_budget: Cell<u64>,
    blocked: Arc<AtomicU64>,
}

/// True for lines that are left out first.
pub fn is_routine(what: &What) -> bool {
    matches!(what, What::CallTaken { .. } | What::CallSent { .. } | What::CallAnswered { .. } | What::Left { .. })
}

impl Log {
    /// A log of `budget` lines a second that writes to `writer` on a thread of its own.
    pub fn start(instance: InstanceId, budget: u32, writer: impl Write + Send + 'static) -> Log {
        let (lines, receiver) = bounded(QUEUE_LINES);
        thread::spawn(move || run(writer, &receiver));
        Log {
            instance,
            started: Moment::now(),
            lines,
            budget,
            second: Cell::new(0),
            used: Cell::new(0),
            over_budget: Cell::new(0),
            blocked: Arc::default(),
        }
    }

    /// The same log for another thread.
    #[must_use]
    pub fn fork(&self) -> Log {
        Log {
            instance: self.instance.clone(),
            started: self.started,
            lines: self.lines.clone(),
            budget: self.budget,
            second: Cell::new(0),
            used: Cell::new(0),
            over_budget: Cell::new(0),
            blocked: self.blocked.clone(),
        }
    }

    /// Lines left out by this thread's budget in this second, and blocked since the last said.
    pub fn dropped(&self) -> (u64, u64) {
        (self.over_budget.get(), self.blocked.load(Ordering::Relaxed))
    }

    /// Writes a line, or counts it as left out.
    pub fn write(&self, what: What) {
        let uptime = self.started.elapsed();
        self.start_second(uptime);
        let share = if is_routine(&what) { ROUTINE_SHARE } else { 1.0 };
        if f64::from(self.used.get()) >= f64::from(self.budget) * share {
            self.over_budget.set(self.over_budget.get() + 1);
            return;
        }
        self.used.set(self.used.get() + 1);
        self.send(uptime, what);
    }

    fn start_second(&self, uptime: Duration) {
        if self.second.get() == uptime.as_secs() {
            return;
        }
        self.second.set(uptime.as_secs());
        self.used.set(0);
        let (budget, blocked) = (self.over_budget.take(), self.blocked.swap(0, Ordering::Relaxed));
        if budget + blocked > 0 {
            self.send(uptime, What::Dropped { budget, blocked });
        }
    }

    fn send(&self, uptime: Duration, what: What) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let line = Line { at, instance: self.instance.clone(), uptime: uptime.as_micros() as u64, what };
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.blocked.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn run(mut writer: impl Write, lines: &Receiver<Line>) {
    let mut bytes = Vec::new();
    while let Ok(first) = lines.recv() {
        thread::sleep(WRITE_INTERVAL);
        bytes.clear();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            if serde_json::to_writer(&mut bytes, &line).is_ok() {
                bytes.push(b'\n');
            }
        }
        // Nobody may read any more; there is nowhere left to say so.
        let _ = writer.write_all(&bytes).and_then(|()| writer.flush());
    }
}
