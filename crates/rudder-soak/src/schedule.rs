//! Schedules: which fault begins when. Drawn from a seed, written and read as TOML.

use std::{ops::RangeInclusive, time::Duration};

use eyre::{Context as _, Result, ensure};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// Time without new faults at the start: all processes start and are known.
const CALM_START: u64 = 2_000;
/// Time without faults at the end, in which all has to be served again.
pub const CALM_END: Duration = Duration::from_secs(9);
/// Longest pause between the beginnings of two faults, in milliseconds; many overlap.
const GAP_MOST: u64 = 1_600;
/// Longest time for which something is down, paused or wrong, in milliseconds.
const SPAN_MOST: u64 = 3_500;
/// Time between two losses of a disk: a voter with an empty folder has to be caught up before the next is lost.
const WIPE_GAP: u64 = 9_000;
/// The stream of random numbers that releases are drawn from: the other faults of a seed do not depend on them.
const RELEASE_STREAM: u128 = 1;
/// The first release begins so long after the time without faults at most, in milliseconds.
const RELEASE_FIRST: u64 = 3_000;
/// Time between two releases, in milliseconds.
const RELEASE_GAP: RangeInclusive<u64> = 5_000..=10_000;
/// Time between the replacements of two endpoints in a release, in milliseconds.
const RELEASE_STEP: RangeInclusive<u64> = 100..=800;
/// Time from the beginning of a release to the end of all processes, in milliseconds.
const KILL_ALL_AFTER: RangeInclusive<u64> = 200..=5_000;
/// Time for which all processes are down, in milliseconds.
const KILL_ALL_DOWN: RangeInclusive<u64> = 200..=1_500;
/// Settings with more processes than this are refused: a few dozen are what one machine bears.
const PROCESSES_MOST: usize = 60;
/// Settings with more endpoints than this are refused.
const ENDPOINTS_MOST: usize = 60;
/// The longest soak, in seconds: an hour.
const SECONDS_MOST: u64 = 3_600;
/// The shortest soak that has any faults, in seconds.
const SECONDS_LEAST: u64 = 14;

/// Limits that endpoints name, in requests in a thousand seconds: from none at all to more than come.
const LIMITS: [u64; 6] = [0, 100, 1_000, 1_200, 4_000, 400_000];

/// The zones that the endpoints stand in by turns.
pub const ZONES: [&str; 2] = ["a", "b"];

/// How large a soak is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Instances with a disk; the others have none.
    pub core: usize,
    /// Instances in all.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// How long it lasts, in seconds.
    pub seconds: u64,
}

impl Default for Size {
    fn default() -> Self {
        Size { core: 3, instances: 5, endpoints: 6, seconds: 30 }
    }
}

impl Size {
    /// Checks that such a soak can run on one machine.
    ///
    /// # Errors
    /// Names the option that cannot work.
    pub fn check(&self) -> Result<()> {
        ensure!((3..=self.instances).contains(&self.core), "core: from 3 to the number of instances");
        ensure!(self.instances <= PROCESSES_MOST, "--instances: at most {PROCESSES_MOST}");
        ensure!((4..=ENDPOINTS_MOST).contains(&self.endpoints), "--endpoints: from 4 to {ENDPOINTS_MOST}");
        let seconds = SECONDS_LEAST..=SECONDS_MOST;
        ensure!(seconds.contains(&self.seconds), "--seconds: from {SECONDS_LEAST} to {SECONDS_MOST}");
        Ok(())
    }
}

/// Something that is done to the system from outside. Instances and endpoints are numbers from 0; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// A process is killed and started again.
    Kill {
        /// Which.
        instance: usize,
        /// Until its start.
        down: u64,
    },
    /// All instances with a disk are killed at once.
    KillCore {
        /// Until their start.
        down: u64,
    },
    /// All instances are killed at once.
    KillAll {
        /// Until their start.
        down: u64,
    },
    /// A process is killed, and its data folder is empty when it starts again.
    Wipe {
        /// Which.
        instance: usize,
        /// Until its start.
        down: u64,
    },
    /// A process is stopped for a while, as in a freeze.
    Pause {
        /// Which.
        instance: usize,
        /// For how long.
        span: u64,
    },
    /// Time goes on for a process as if its machine had been suspended.
    Suspend {
        /// Which.
        instance: usize,
        /// For how long.
        span: u64,
    },
    /// A planned stop, and a start afterwards.
    Stop {
        /// Which.
        instance: usize,
    },
    /// Its settings are read anew.
    Reload {
        /// Which.
        instance: usize,
    },
    /// An endpoint ends without a word and starts again under its name.
    Crash {
        /// Which.
        endpoint: usize,
        /// Until its start.
        down: u64,
    },
    /// An endpoint says that it leaves, ends, and starts again under its name.
    Leave {
        /// Which.
        endpoint: usize,
        /// Until its start.
        down: u64,
        /// It says so in its answers alone.
        #[serde(default)]
        unheard: bool,
    },
    /// Endpoints are replaced, one after the other, by ones of a new software version: each starts before the old one leaves.
    Release {
        /// The first.
        endpoint: usize,
        /// How many.
        count: usize,
        /// Time between two.
        gap: u64,
    },
    /// An endpoint runs requests and says nothing.
    Mute {
        /// Which.
        endpoint: usize,
        /// For how long.
        span: u64,
    },
    /// An endpoint runs requests, and its answers are lost.
    Lose {
        /// Which.
        endpoint: usize,
        /// For how long.
        span: u64,
    },
    /// An endpoint breaks answers off.
    Cut {
        /// Which.
        endpoint: usize,
        /// For how long.
        span: u64,
    },
    /// An endpoint turns requests away and asks for rest.
    Shed {
        /// Which.
        endpoint: usize,
        /// For how long.
        span: u64,
        /// The rest that it asks for.
        rest: u64,
    },
    /// An endpoint names a rate limit in its answers.
    Limit {
        /// Which.
        endpoint: usize,
        /// For how long.
        span: u64,
        /// Requests in a thousand seconds.
        milli: u64,
    },
    /// An endpoint goes cold, says so, and bears few requests.
    Cold {
        /// Which.
        endpoint: usize,
        /// For how long.
        span: u64,
    },
    /// A zone is evacuated, and that is taken back.
    Evacuate {
        /// Which of [`ZONES`].
        zone: usize,
        /// For how long.
        span: u64,
    },
    /// An instance has no links to any endpoint.
    Isolate {
        /// Which.
        instance: usize,
        /// For how long.
        span: u64,
        /// How.
        how: Links,
    },
    /// Requests of which no two are alike share a part of their prompts that ends each endpoint that begins to run them.
    DeadlyPart {
        /// How often.
        times: u32,
        /// Time between two.
        gap: u64,
    },
    /// A content that ends each endpoint that begins to run it comes again and again.
    Deadly {
        /// How often.
        times: u32,
        /// Time between two.
        gap: u64,
    },
    /// The configuration changes.
    Change {
        /// How often.
        times: u32,
        /// Time between two.
        gap: u64,
    },
    /// Two operators send different content under one version at the same time.
    Race,
    /// A configuration that cannot be put in force.
    Invalid,
    /// The newest configuration is sent again.
    Resend,
    /// A caller's key is taken away.
    TakeKey,
}

/// How the links of an instance are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Links {
    /// They hang.
    Silent,
    /// They are reset.
    Reset,
    /// Open connections live on, new ones are reset.
    Kept,
}

/// A fault and when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the start.
    pub at: u64,
    /// What is done.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A whole soak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// How large it is.
    pub size: Size,
    /// Its faults, in order.
    pub entries: Vec<Entry>,
}

impl Fault {
    /// Its name in reports and options.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::Kill { .. } => "kill",
            Fault::KillCore { .. } => "kill_core",
            Fault::KillAll { .. } => "kill_all",
            Fault::Wipe { .. } => "wipe",
            Fault::Pause { .. } => "pause",
            Fault::Suspend { .. } => "suspend",
            Fault::Stop { .. } => "stop",
            Fault::Reload { .. } => "reload",
            Fault::Crash { .. } => "crash",
            Fault::Leave { .. } => "leave",
            Fault::Release { .. } => "release",
            Fault::Mute { .. } => "mute",
            Fault::Lose { .. } => "lose",
            Fault::Cut { .. } => "cut",
            Fault::Shed { .. } => "shed",
            Fault::Limit { .. } => "limit",
            Fault::Cold { .. } => "cold",
            Fault::Evacuate { .. } => "evacuate",
            Fault::Deadly { .. } => "deadly",
            Fault::DeadlyPart { .. } => "deadly_part",
            Fault::Isolate { .. } => "isolate",
            Fault::Change { .. } => "change",
            Fault::Race => "race",
            Fault::Invalid => "invalid",
            Fault::Resend => "resend",
            Fault::TakeKey => "take_key",
        }
    }
}

/// Draws faults one after the other.
struct Draw {
    rng: Pcg64,
    size: Size,
    /// When the last disk was lost.
    wiped: Option<u64>,
}

impl Draw {
    fn span(&mut self) -> u64 {
        self.rng.random_range(200..=SPAN_MOST)
    }

    fn instance(&mut self) -> usize {
        self.rng.random_range(0..self.size.instances)
    }

    fn endpoint(&mut self) -> usize {
        self.rng.random_range(0..self.size.endpoints)
    }

    fn limit(&mut self) -> u64 {
        LIMITS[self.rng.random_range(0..LIMITS.len())]
    }

    fn links(&mut self) -> Links {
        [Links::Silent, Links::Reset, Links::Kept][self.rng.random_range(0..3)]
    }

    fn times(&mut self) -> u32 {
        self.rng.random_range(2..=10)
    }

    /// A disk is lost only long after the one before.
    fn wipe(&mut self, at: u64) -> Fault {
        let (instance, down) = (self.rng.random_range(0..self.size.core), self.span());
        if self.wiped.is_some_and(|wiped| at < wiped + WIPE_GAP) {
            return Fault::Kill { instance, down };
        }
        self.wiped = Some(at);
        Fault::Wipe { instance, down }
    }

    fn fault(&mut self, at: u64) -> Fault {
        let (instance, endpoint, span) = (self.instance(), self.endpoint(), self.span());
        match self.rng.random_range(0..35) {
            0 | 1 => Fault::Kill { instance, down: span },
            2 => Fault::KillCore { down: span },
            3 => self.wipe(at),
            4 | 5 => Fault::Pause { instance, span },
            6 | 7 => Fault::Suspend { instance, span: span * 3 },
            8 => Fault::Stop { instance },
            9 => Fault::Reload { instance },
            10 | 11 => Fault::Crash { endpoint, down: span },
            12 | 13 => Fault::Leave { endpoint, down: span, unheard: self.rng.random() },
            14 => Fault::Mute { endpoint, span },
            15 => Fault::Lose { endpoint, span },
            16 => Fault::Cut { endpoint, span },
            17 => Fault::Deadly { times: self.times(), gap: span / 4 },
            18 => Fault::Change { times: self.times(), gap: span / 8 },
            19 => {
                if self.rng.random() {
                    Fault::Race
                } else {
                    Fault::Resend
                }
            }
            20 => Fault::Invalid,
            21 | 22 => Fault::Evacuate { zone: self.rng.random_range(0..ZONES.len()), span },
            23 => Fault::Cold { endpoint, span: span * 3 },
            24 | 25 => Fault::Shed { endpoint, span, rest: self.span() },
            26..=28 => Fault::Limit { endpoint, span: span * 4, milli: self.limit() },
            29 | 30 => Fault::TakeKey,
            31 | 32 => Fault::DeadlyPart { times: self.times(), gap: span / 4 },
            _ => Fault::Isolate { instance, span: span * 3, how: self.links() },
        }
    }
}

/// Draws releases, amid some of which all processes are killed.
fn draw_releases(seed: u64, size: Size, end: u64) -> Vec<Entry> {
    let mut rng = Pcg64::new(u128::from(seed), RELEASE_STREAM);
    let mut entries = Vec::new();
    let mut at = CALM_START + rng.random_range(0..=RELEASE_FIRST);
    while at < end {
        let endpoint = rng.random_range(0..size.endpoints);
        let count = rng.random_range(1..size.endpoints);
        entries.push(Entry { at, fault: Fault::Release { endpoint, count, gap: rng.random_range(RELEASE_STEP) } });
        let killed = at + rng.random_range(KILL_ALL_AFTER);
        let down = rng.random_range(KILL_ALL_DOWN);
        if rng.random() && killed < end {
            entries.push(Entry { at: killed, fault: Fault::KillAll { down } });
        }
        at += rng.random_range(RELEASE_GAP);
    }
    entries
}

impl Schedule {
    /// Draws a schedule; `only` names the faults that may stand in it, all where it is empty.
    pub fn draw(seed: u64, size: Size, only: &[String]) -> Schedule {
        let mut draw = Draw { rng: Pcg64::seed_from_u64(seed), size, wiped: None };
        let end = (size.seconds * 1000).saturating_sub(CALM_END.as_millis() as u64);
        let mut at = CALM_START;
        let mut entries = Vec::new();
        while at < end {
            entries.push(Entry { at, fault: draw.fault(at) });
            at += draw.rng.random_range(0..=GAP_MOST);
        }
        entries.extend(draw_releases(seed, size, end));
        entries.retain(|entry| only.is_empty() || only.iter().any(|name| name == entry.fault.name()));
        entries.sort_by_key(|entry| entry.at);
        Schedule { seed, size, entries }
    }

    /// The same with only the faults at these places.
    #[must_use]
    pub fn with_only(&self, places: &[usize]) -> Schedule {
        let kept = self.entries.iter().enumerate().filter(|(place, _)| places.contains(place));
        Schedule { entries: kept.map(|(_, entry)| *entry).collect(), ..self.clone() }
    }

    /// Its text.
    ///
    /// # Errors
    /// None in practice: it holds only plain data.
    pub fn to_toml(&self) -> Result<String> {
        toml::to_string(self).wrap_err("write the schedule")
    }

    /// Reads a schedule.
    ///
    /// # Errors
    /// When it cannot be read, or names a size that cannot run or an instance or endpoint that there is not.
    pub fn from_toml(text: &str) -> Result<Schedule> {
        let schedule: Schedule = toml::from_str(text).wrap_err("read the schedule")?;
        schedule.size.check()?;
        for entry in &schedule.entries {
            schedule.check_entry(entry)?;
        }
        Ok(schedule)
    }

    fn check_entry(&self, entry: &Entry) -> Result<()> {
        let Size { core, instances, endpoints, .. } = self.size;
        let fits = match entry.fault {
            Fault::Wipe { instance, .. } => instance < core,
            Fault::Kill { instance, .. }
            | Fault::Pause { instance, .. }
            | Fault::Suspend { instance, .. }
            | Fault::Stop { instance }
            | Fault::Reload { instance }
            | Fault::Isolate { instance, .. } => instance < instances,
            Fault::Crash { endpoint, .. }
            | Fault::Leave { endpoint, .. }
            | Fault::Release { endpoint, .. }
            | Fault::Mute { endpoint, .. }
            | Fault::Lose { endpoint, .. }
            | Fault::Cut { endpoint, .. }
            | Fault::Shed { endpoint, .. }
            | Fault::Limit { endpoint, .. }
            | Fault::Cold { endpoint, .. } => endpoint < endpoints,
            Fault::Evacuate { zone, .. } => zone < ZONES.len(),
            _ => true,
        };
        ensure!(fits, "the {} at {} ms names an instance or endpoint that there is not", entry.fault.name(), entry.at);
        Ok(())
    }
}
