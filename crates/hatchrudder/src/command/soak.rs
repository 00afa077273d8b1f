//! The soak: real processes under faults drawn from a seed, judged by what callers, endpoints and operators saw.

use std::{
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use eyre::WrapErr as _;
use hatchrudder_bed::{
    instance,
    soak::{self, Report},
};
use pico_args::Arguments;
use rudder_soak::{Schedule, Size, Verdict, shrink::shrink};
use signal_hook::{
    consts::signal::{SIGINT, SIGTERM},
    flag,
};

use super::{Error, no_more, option_or};

/// How this program is called to run as an instance of a soak.
const INSTANCE_ARGUMENTS: [&str; 1] = ["soak"];
/// Broken promises that are printed of one soak.
const PRINTED: usize = 8;

/// What the command is to do.
struct Plan {
    schedule: Schedule,
    /// Soaks, with seeds that follow each other.
    seeds: u64,
    shrinks: bool,
    only: Vec<String>,
    folder: PathBuf,
    write: Option<PathBuf>,
}

fn to_plan(mut arguments: Arguments) -> Result<Plan, Error> {
    let default = Size::default();
    let size = Size {
        core: default.core,
        instances: option_or(&mut arguments, "--instances", default.instances)?,
        endpoints: option_or(&mut arguments, "--endpoints", default.endpoints)?,
        seconds: option_or(&mut arguments, "--seconds", default.seconds)?,
    };
    let seed = option_or(&mut arguments, "--seed", 1)?;
    let faults: String = option_or(&mut arguments, "--faults", String::new())?;
    let only: Vec<String> = faults.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect();
    let read: Option<PathBuf> = arguments.opt_value_from_str("--schedule")?;
    let write = arguments.opt_value_from_str("--write")?;
    let seeds = option_or(&mut arguments, "--seeds", 1)?;
    let folder = option_or(&mut arguments, "--folder", std::env::temp_dir().join("hatchrudder-soak"))?;
    let shrinks = arguments.contains("--shrink");
    no_more(arguments)?;
    let usage = |error: eyre::Report| Error::Usage(format!("{error:#}"));
    size.check().map_err(usage)?;
    let schedule = match read {
        Some(path) => {
            let text =
                std::fs::read_to_string(&path).wrap_err_with(|| format!("read {}", path.display())).map_err(usage)?;
            Schedule::from_toml(&text).wrap_err_with(|| path.display().to_string()).map_err(usage)?
        }
        None => draw(seed, size, &only)?,
    };
    Ok(Plan { schedule, seeds, shrinks, only, folder, write })
}

fn draw(seed: u64, size: Size, only: &[String]) -> Result<Schedule, Error> {
    let schedule = Schedule::draw(seed, size, only);
    if schedule.entries.is_empty() {
        return Err(Error::Usage("no fault of --faults was drawn: see docs/SOAK.md for their names".to_owned()));
    }
    Ok(schedule)
}

/// Runs soaks; true when no promise was broken.
pub(super) fn soak(arguments: Arguments) -> Result<bool, Error> {
    // The processes of a soak are this program once more, with settings in the environment.
    instance::run_if_asked();
    let plan = to_plan(arguments)?;
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        flag::register(signal, interrupted.clone()).wrap_err("listen for signals")?;
    }
    if let Some(path) = &plan.write {
        write_schedule(path, &plan.schedule)?;
    }
    let mut failed = Vec::new();
    for number in 0..plan.seeds {
        let seed = plan.schedule.seed + number;
        let schedule = if number == 0 { plan.schedule.clone() } else { draw(seed, plan.schedule.size, &plan.only)? };
        let folder = plan.folder.join(format!("seed-{seed}"));
        let report = play(&schedule, &folder, &interrupted)?;
        if report.verdict.broken.is_empty() {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            failed.push(seed);
            keep(&schedule, &folder)?;
            if plan.shrinks {
                shorten(&schedule, &folder, &interrupted)?;
            }
        }
        if interrupted.load(Ordering::Relaxed) {
            println!("interrupted: {} of {} soaks played to the end", number, plan.seeds);
            return Ok(false);
        }
    }
    println!("{} soaks, {} with a broken promise{}", plan.seeds, failed.len(), to_list(&failed));
    Ok(failed.is_empty())
}

fn write_schedule(path: &Path, schedule: &Schedule) -> Result<(), Error> {
    std::fs::write(path, schedule.to_toml()?).wrap_err_with(|| format!("write {}", path.display()))?;
    Ok(())
}

fn to_list(seeds: &[u64]) -> String {
    let texts: Vec<String> = seeds.iter().map(u64::to_string).collect();
    if texts.is_empty() { String::new() } else { format!(": seeds {}", texts.join(", ")) }
}

fn play(schedule: &Schedule, folder: &Path, interrupted: &Arc<AtomicBool>) -> Result<Report, Error> {
    let report = soak::run(schedule, folder, &INSTANCE_ARGUMENTS, interrupted)?;
    let faults: Vec<String> = report.faults.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("seed {}: {} calls, {} answered", schedule.seed, report.calls, report.answered);
    println!("  faults: {}; {} skipped, their target was busy", faults.join(", "), report.skipped);
    for (promise, tested) in &report.verdict.tested {
        println!("  {promise:?}: tested {tested} times");
    }
    let Verdict { taken_up, gone_on, .. } = report.verdict;
    println!("  streams: {taken_up} taken up, {gone_on} went on");
    for broken in report.verdict.broken.iter().take(PRINTED) {
        println!("  BROKEN {:?}: {}", broken.promise, broken.what);
    }
    Ok(report)
}

/// Keeps the schedule beside the logs, and says how to go on.
fn keep(schedule: &Schedule, folder: &Path) -> Result<(), Error> {
    let path = folder.join("schedule.toml");
    write_schedule(&path, schedule)?;
    println!("  logs are in {}/*/log; for one call: hatchrudder explain ID {0}/*/log", folder.display());
    println!("  again: hatchrudder soak --schedule {}", path.display());
    Ok(())
}

/// Looks for a shorter schedule that still breaks a promise.
fn shorten(schedule: &Schedule, folder: &Path, interrupted: &Arc<AtomicBool>) -> Result<(), Error> {
    let trial = folder.join("shrink");
    let mut error = None;
    let shorter = shrink(schedule, |shorter| {
        if interrupted.load(Ordering::Relaxed) || error.is_some() {
            return false;
        }
        match soak::run(shorter, &trial, &INSTANCE_ARGUMENTS, interrupted) {
            Ok(report) => !report.verdict.broken.is_empty(),
            Err(failure) => {
                error = Some(failure);
                false
            }
        }
    });
    if let Some(error) = error {
        return Err(Error::Failed(error));
    }
    let path = folder.join("shorter.toml");
    write_schedule(&path, &shorter)?;
    println!(
        "  {} faults of {} still break a promise: {}",
        shorter.entries.len(),
        schedule.entries.len(),
        path.display()
    );
    Ok(())
}
