//! The course of the demo and its report.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, bail, eyre};
use rudder_model::{Kind, Mark, Promise, Promises};
use rudder_node::Node;
use rudder_standin::Faults;

use crate::{
    deploy::{Deployment, deploy},
    load::{self, Call, Plan, Stream},
    tally::{self, Figures, Target},
};

/// Callers keep the list of entries this long in the demo.
const KEEP: Duration = Duration::from_secs(2);
/// A leaving endpoint may get new work for this long.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// Calls still open this long after the last arrival count as broken.
const DRAIN: Duration = Duration::from_secs(30);
/// The engine that turns slow, the one marked leaving, and the instance stopped.
const SLOW: &str = "recap-sea-1";
const LEAVING: &str = "recap-pdx-1";
const STOPPED: &str = "boi-3";

/// Settings of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seconds of arrivals.
    pub seconds: u64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Where settings, data folders and event logs go; a temporary folder where none is named.
    pub folder: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Options { seconds: 14, seed: 1, folder: None }
    }
}

/// What a demo found.
#[derive(Debug)]
pub struct Report {
    /// The table to print.
    pub text: String,
    /// All promises held.
    pub held: bool,
}

/// Runs the demo.
///
/// # Errors
/// When the deployment cannot be started or changed.
pub fn demo(options: &Options) -> Result<Report> {
    let temporary = tempfile::tempdir()?;
    let folder = options.folder.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder)?;
    let mut deployment = deploy(folder, KEEP)?;
    let mut promises = Promises::default();
    let calls = run(&mut deployment, options, &mut promises)?;
    tally::check_answers(&calls, &deployment.runs, &mut promises);
    check_every_class(&calls, &mut promises);
    // The planned stop took place amid the calls: none may have been cut off.
    promises.check(Promise::PlannedStop, calls.iter().all(|call| call.reply.whole || call.reply.ran.is_some()));
    let inside = end(&deployment);
    let figures = tally::to_figures(&calls, target);
    Ok(Report { text: to_table(&figures, &inside, &promises), held: promises.all_held() && inside.promises.all_held() })
}

/// What the deployment counted itself.
struct Inside {
    promises: Promises,
    tokens: u64,
}

fn target(class: &str) -> Target {
    let (first, pace) = match class {
        "lock" => (500, 0),
        "rules" => (420, 59),
        _ => (4000, 100),
    };
    Target { first: Duration::from_millis(first), pace: Duration::from_millis(pace) }
}

fn to_streams() -> [Stream; 3] {
    [
        Stream { class: "lock", rate: 8.0, burst: 30.0, keyed: true },
        Stream { class: "rules", rate: 5.0, burst: 10.0, keyed: false },
        Stream { class: "recap", rate: 10.0, burst: 50.0, keyed: false },
    ]
}

fn run(deployment: &mut Deployment, options: &Options, promises: &mut Promises) -> Result<Vec<Call>> {
    let length = Duration::from_secs(options.seconds.max(4));
    let plan = Plan { length, burst: length / 4, burst_length: length / 4, seed: options.seed };
    let entries = deployment.to_addresses();
    let open = Arc::new(AtomicUsize::new(0));
    let (sender, receiver) = mpsc::channel();
    let callers: Vec<_> = to_streams()
        .into_iter()
        .map(|stream| {
            let (entries, sender, open) = (entries.clone(), sender.clone(), open.clone());
            thread::spawn(move || load::run(&stream, &plan, &entries, &sender, &open))
        })
        .collect();
    drop(sender);
    disturb(deployment, length, promises)?;
    for caller in callers {
        caller.join().map_err(|_| eyre!("a caller failed"))?;
    }
    wait_idle(&open)?;
    Ok(receiver.try_iter().collect())
}

fn wait_idle(open: &AtomicUsize) -> Result<()> {
    let start = Instant::now();
    while open.load(Ordering::SeqCst) > 0 {
        if start.elapsed() > DRAIN {
            bail!("{} calls had no answer {DRAIN:?} after the last arrival", open.load(Ordering::SeqCst));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Makes an engine slow, marks another leaving, stops an instance, and checks what follows.
fn disturb(deployment: &mut Deployment, length: Duration, promises: &mut Promises) -> Result<()> {
    let operator = deployment.operator()?;
    thread::sleep(length / 8);
    deployment.engines[SLOW].set_faults(Faults { slow: 5.0, ..Faults::default() });
    thread::sleep(length / 8);
    operator.mark(Kind::Endpoint, LEAVING, Mark::Leaving)?;
    operator.mark(Kind::Instance, STOPPED, Mark::Stopping)?;
    let marked = Instant::now();
    let index = deployment.nodes.values().filter_map(Node::status).map(|status| status.index).max();
    thread::sleep(LEAVING_BOUND);
    let started = |deployment: &Deployment| deployment.engines[LEAVING].counts.started.load(Ordering::Relaxed);
    let before = started(deployment);
    // In force everywhere: nobody is behind what the operator was told.
    for node in deployment.nodes.values().filter_map(Node::status) {
        promises.check(Promise::NoRevert, Some(node.index) >= index);
    }
    thread::sleep((length / 4).saturating_sub(marked.elapsed()) + Duration::from_millis(500));
    promises.check(Promise::Leaving, started(deployment) == before);
    deployment.engines[SLOW].set_faults(Faults::default());
    let Some(stopped) = deployment.nodes.remove(STOPPED) else { bail!("{STOPPED} is missing") };
    stopped.join()?;
    deployment.entries.remove(STOPPED);
    Ok(())
}

fn check_every_class(calls: &[Call], promises: &mut Promises) {
    for stream in to_streams() {
        let served = calls.iter().any(|call| call.class == stream.class && call.reply.whole);
        promises.check(Promise::EveryClass, served);
    }
}

/// Reads the deployment's own counts and ends it.
fn end(deployment: &Deployment) -> Inside {
    let mut inside = Inside { promises: Promises::default(), tokens: 0 };
    for status in deployment.nodes.values().filter_map(Node::status) {
        inside.promises.merge(&status.promises);
    }
    for engine in deployment.engines.values() {
        inside.tokens += engine.counts.tokens.load(Ordering::Relaxed);
    }
    for node in deployment.nodes.values() {
        node.halt();
    }
    inside
}

fn to_table(classes: &BTreeMap<&'static str, Figures>, inside: &Inside, promises: &Promises) -> String {
    let mut text = String::from("class    calls  whole  refused  unknown  broken  attained  first p50 ms  p95 ms\n");
    let mut useful = 0;
    for (class, figures) in classes {
        useful += figures.useful;
        let share = f64::from(figures.attained) * 100.0 / f64::from(figures.calls.max(1));
        let (p50, p95) = (tally::quantile(&figures.first, 0.5), tally::quantile(&figures.first, 0.95));
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{class:<8} {:>5}  {:>5}  {:>7}  {:>7}  {:>6}  {share:>7.1}%  {:>12}  {:>6}",
            figures.calls,
            figures.whole,
            figures.refused,
            figures.unknown,
            figures.broken,
            p50.as_millis(),
            p95.as_millis()
        );
    }
    for (class, figures) in classes {
        if !figures.codes.is_empty() {
            let _ = writeln!(text, "{class}, not answered whole: {:?}", figures.codes);
        }
    }
    // A stream that was recalled and went on elsewhere was received, so the engines' own counts of
    // broken-off work would say too much.
    let received: u64 = classes.values().map(|figures| figures.received).sum();
    let wasted = inside.tokens.saturating_sub(received) as f64 * 100.0 / inside.tokens.max(1) as f64;
    let _ = writeln!(
        text,
        "\ngoodput: {useful} useful tokens and answers; wasted work: {wasted:.2}% of {} tokens",
        inside.tokens
    );
    let _ =
        writeln!(text, "\npromise                                                      tested inside  outside  broken");
    for promise in Promise::ALL {
        let broken = inside.promises.broken(promise) + promises.broken(promise);
        let (within, outside) = (inside.promises.tested(promise), promises.tested(promise));
        let _ = writeln!(text, "{:<60} {within:>13}  {outside:>7}  {broken:>6}", promise.text());
    }
    text
}
