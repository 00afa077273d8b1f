//! How a case runs: its arguments, its exit code, and the end of all processes that it started.

use std::{
    ffi::c_int,
    io,
    os::unix::process::CommandExt as _,
    panic::{AssertUnwindSafe, catch_unwind},
    process::{Command, Stdio, exit},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

/// Longest time that a case may run.
const LONGEST: Duration = Duration::from_secs(112);

const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: c_int, argument: usize) -> c_int;
}

/// Processes that this one has started and that may still run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// What a case has found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What a case is given.
pub struct Case {
    /// Its record.
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// Runs a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(case: impl FnOnce(&Case) -> Verdict) -> ! {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("the case takes too long");
        end_all();
        exit(2);
    });
    let case_input = Case { record, trouble };
    let verdict = catch_unwind(AssertUnwindSafe(|| case(&case_input)));
    end_all();
    match verdict {
        Ok(Verdict::Held) => {
            case_input.record.say("the rule held");
            exit(0)
        }
        Ok(Verdict::Broken) => {
            case_input.record.say("the rule was broken");
            exit(1)
        }
        Err(_) => {
            case_input.record.say("the case could not run");
            exit(2)
        }
    }
}

/// Lets a process that is about to start end with this one, also where this one is killed. Only for starts by the main
/// thread, whose end counts as the end of its process.
pub fn end_with_parent(command: &mut Command) {
    let prepare = || {
        // SAFETY: a plain system call on integers.
        let result = unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
        if result == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    };
    // SAFETY: between fork and exec only that system call is made.
    unsafe { command.pre_exec(prepare) };
}

/// Notes a process to end with the case.
pub fn note_process(id: u32) {
    PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).push(id);
}

/// Notes that a process has ended and was waited for.
pub fn forget_process(id: u32) {
    PROCESSES.lock().unwrap_or_else(PoisonError::into_inner).retain(|held| *held != id);
}

fn end_all() {
    for id in std::mem::take(&mut *PROCESSES.lock().unwrap_or_else(PoisonError::into_inner)) {
        signal(id, "KILL");
    }
}

/// Sends a signal to a process that this one has started.
pub fn signal(id: u32, name: &str) {
    let sent = Command::new("kill").args([format!("-{name}"), id.to_string()]).stderr(Stdio::null()).status();
    assert!(sent.is_ok(), "kill can be run");
}

/// Waits until `holds` does.
///
/// # Panics
/// After 20 seconds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
