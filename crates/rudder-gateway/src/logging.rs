//! The log: one JSON object per line on standard output, rate-limited and non-blocking.
//!
//! A budget of lines per second drops routine lines first; failures, refusals and state changes have a reserve. A
//! thread writes the lines from a bounded queue, so a full pipe drops lines but never blocks. Dropped lines are
//! counted, and the count is logged once a second.

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

/// Capacity of the queue in lines.
const QUEUE_LINES: usize = 256;
/// Time over which lines are gathered into one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the budget that routine lines may use.
const ROUTINE_SHARE: f64 = 0.6;

/// Writes log lines; each thread has its own, with its own budget.
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

/// Returns true for lines that are dropped first.
pub fn is_routine(what: &What) -> bool {
    matches!(
        what,
        What::CallTaken { .. }
            | What::CallSent { .. }
            | What::CallAnswered { .. }
            | What::RetryAsked { .. }
            | What::Left { .. }
    )
}

impl Log {
    /// Starts a log of `budget` lines per second, with a thread that writes to `writer`.
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

    /// Creates a log for another thread, with the same writer and its own budget.
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

    /// Lines dropped since the last report: by this thread's budget, and by a full queue.
    pub fn dropped(&self) -> (u64, u64) {
        (self.over_budget.get(), self.blocked.load(Ordering::Relaxed))
    }

    /// Writes a line, or drops and counts it.
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
        // Standard output may be closed, and there is nowhere else to report that.
        let _ = writer.write_all(&bytes).and_then(|()| writer.flush());
    }
}
