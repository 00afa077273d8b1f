//! Scenarios, in TOML.

use std::time::Duration;

use eyre::{Result, WrapErr as _, eyre};
use serde::Deserialize;

/// Scenarios that come with the program, by name.
pub const BUILT_IN: [(&str, &str); 8] = [
    ("kickoff", include_str!("../scenarios/kickoff.toml")),
    ("month-end", include_str!("../scenarios/month-end.toml")),
    ("slow-engine", include_str!("../scenarios/slow-engine.toml")),
    ("crash", include_str!("../scenarios/crash.toml")),
    ("report-lag", include_str!("../scenarios/report-lag.toml")),
    ("large-org", include_str!("../scenarios/large-org.toml")),
    ("cache-gaps", include_str!("../scenarios/cache-gaps.toml")),
    ("hall-cut", include_str!("../scenarios/hall-cut.toml")),
];

/// One scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Length of arrivals; what is open then runs on for a while.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Seeds; figures are means over them.
    pub seeds: Vec<u64>,
    /// Halls.
    pub halls: usize,
    /// Entry instances in each hall.
    pub entries: usize,
    /// Age of engines' load reports.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// Engines of each hall.
    pub engine: EngineSpec,
    /// Classes of calls.
    pub stream: Vec<Stream>,
    /// Faults of engines.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// Engines of one hall.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// How many.
    pub count: usize,
    /// Requests worked on at the same time.
    pub slots: u32,
    /// Time between tokens with one request running.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// How much slower the pace is with all slots taken, as a share.
    pub drag: f64,
    /// Time before the first token of a prompt that is not cached.
    #[serde(with = "humantime_serde")]
    pub prefill: Duration,
    /// Prefixes that the cache holds.
    pub room: usize,
    /// Cache events are lost with this chance.
    #[serde(default)]
    pub gaps: f64,
}

/// One class of calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the class.
    pub class: String,
    /// Its tier.
    pub tier: u8,
    /// First token due.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Mean time between tokens due.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// Longest wait.
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
    /// Calls a second.
    pub rate: f64,
    /// Mean output length, in tokens; lengths spread from a quarter to four times of it.
    pub tokens: f64,
    /// May not be repeated.
    #[serde(default)]
    pub once: bool,
    /// Organisations.
    pub orgs: usize,
    /// Share of the calls that the first organisation makes; 0 for equal shares.
    #[serde(default)]
    pub largest: f64,
    /// Distinct prompt prefixes.
    #[serde(default)]
    pub prefixes: u64,
    /// A burst.
    pub burst: Option<Burst>,
}

/// A time of more calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Calls a second while it lasts.
    pub rate: f64,
}

/// What happens to an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Hall of the engine.
    pub hall: usize,
    /// The engine within its hall; all of the hall where none is named.
    pub engine: Option<usize>,
    /// Times slower; 0 for a crash.
    pub slow: f64,
}

/// Reads a scenario: a built-in one by name, or the text of a file.
///
/// # Errors
/// When there is no such scenario or the text is none.
pub fn scenario(name: &str) -> Result<Scenario> {
    if let Some((_, text)) = BUILT_IN.iter().find(|(known, _)| *known == name) {
        return toml::from_str(text).wrap_err_with(|| format!("built-in scenario {name}"));
    }
    let names: Vec<&str> = BUILT_IN.iter().map(|(known, _)| *known).collect();
    let text = std::fs::read_to_string(name)
        .map_err(|error| eyre!("{name} is neither a file ({error}) nor one of {}", names.join(", ")))?;
    toml::from_str(&text).wrap_err_with(|| format!("scenario {name}"))
}

impl Scenario {
    /// The same scenario with all demand multiplied.
    #[must_use]
    pub fn at_load(&self, factor: f64) -> Scenario {
        let mut scaled = self.clone();
        for stream in &mut scaled.stream {
            stream.rate *= factor;
            if let Some(burst) = &mut stream.burst {
                burst.rate *= factor;
            }
        }
        scaled
    }

    /// The same scenario with the highest tier alone.
    #[must_use]
    pub fn top_alone(&self) -> Scenario {
        let mut alone = self.clone();
        let top = alone.stream.iter().map(|stream| stream.tier).min().unwrap_or_default();
        alone.stream.retain(|stream| stream.tier == top);
        alone
    }
}
