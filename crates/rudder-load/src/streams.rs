//! Many streams open at the same time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use rudder_client::Caller;

use crate::Figures;

/// Stack of a caller's thread.
const STACK: usize = 128 * 1024;
/// Time between two callers' starts.
const GAP: Duration = Duration::from_millis(2);

/// What many streams came to.
#[derive(Debug, Default)]
pub struct Streams {
    /// Answered whole.
    pub whole: u64,
    /// Not answered whole.
    pub failed: u64,
    /// Times to the first token.
    pub first: Figures,
    /// Mean times between tokens.
    pub pace: Figures,
    /// All streams took this long.
    pub length: Duration,
}

/// Opens `count` streams and waits until all have ended.
///
/// # Errors
/// When a thread cannot be started or fails.
pub fn streams(entry: &str, key: &str, model: &str, class: &str, count: u32) -> Result<Streams> {
    let start = Instant::now();
    let open = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for number in 0..count {
        let mut caller = Caller::at(entry, key);
        let (model, class, open) = (model.to_owned(), class.to_owned(), open.clone());
        let body = move || {
            open.fetch_add(1, Ordering::Relaxed);
            let reply = caller.chat(&model, &class, &format!("stream {number}"), None);
            open.fetch_sub(1, Ordering::Relaxed);
            reply
        };
        callers.push(thread::Builder::new().stack_size(STACK).spawn(body)?);
        thread::sleep(GAP);
    }
    eprintln!("{} streams open", open.load(Ordering::Relaxed));
    let mut sum = Streams::default();
    for caller in callers {
        let reply = caller.join().map_err(|_| eyre!("a caller failed"))?;
        if !reply.whole {
            sum.failed += 1;
            continue;
        }
        sum.whole += 1;
        sum.first.add(reply.first);
        if reply.tokens > 1 {
            sum.pace.add(reply.total.saturating_sub(reply.first) / (reply.tokens - 1));
        }
    }
    sum.length = start.elapsed();
    Ok(sum)
}
