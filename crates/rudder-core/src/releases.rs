//! Steps of versions of endpoints' software, at the leader (see [`rudder_ledger::release`]).
//!
//! A version that joins others is announced first, and admitted once every instance that may act on its state holds the
//! announcement: either all live instances have reported so, or a state without it is too old to act on. The very first
//! versions are admitted at once, as an instance without any acts on none. A version without endpoints is retired, and
//! dropped once its streams have ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_ledger::{Releases, Software, Stage, StageChange};

use crate::registry::{Phase, Registry};

/// Interval between scans of the registry.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// How long a version without endpoints stays admitted, and then retired, and how long moves of routes are held; longer than
/// any stream lasts.
const RETENTION: Duration = Duration::from_secs(60);

/// What the leader knows of its followers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leadership {
    /// Start of the leadership.
    pub(crate) since: Duration,
    /// Age of the proof beyond which an instance does not act on its state.
    pub(crate) lease: Duration,
    /// All live instances have reported that they hold the present state.
    pub(crate) is_replicated: bool,
}

/// The stage of a version, and when this leader first saw it there.
#[derive(Clone, Copy, Debug)]
struct Entered {
    stage: Stage,
    at: Duration,
}

/// Versions of endpoints' software as the leader sees them.
#[derive(Debug, Default)]
pub(crate) struct ReleaseTracker {
    /// Log index of the record being committed.
    recording: Option<u64>,
    entered: BTreeMap<Software, Entered>,
    /// When endpoints of each version were last registered.
    last_seen: BTreeMap<Software, Duration>,
    scanned_at: Option<Duration>,
    /// When this leader first saw the moves of routes recorded at a log index.
    moves_seen: BTreeMap<u64, Duration>,
    /// Log index of the versions in service when the moves were last looked through.
    moves_index: u64,
    /// A version that is not admitted has been heard of since the last scan.
    is_due: bool,
}

impl ReleaseTracker {
    /// Returns the steps to record now. There are none while others are being committed.
    pub(crate) fn find_steps(
        &mut self,
        now: Duration,
        leadership: Leadership,
        held: &Releases,
        registry: &Registry,
    ) -> Vec<StageChange> {
        let is_waiting = self.is_due || held.iter().any(|(_, stage)| stage == Stage::Announced);
        let is_recent = self.scanned_at.is_some_and(|at| now < at + SCAN_INTERVAL);
        if is_recent && !is_waiting || self.recording.is_some() {
            return Vec::new();
        }
        (self.scanned_at, self.is_due) = (Some(now), false);
        self.update(now, held, registry);
        let known: BTreeSet<Software> =
            held.iter().map(|(software, _)| software).chain(self.last_seen.keys().cloned()).collect();
        let mut steps = Vec::new();
        for software in known {
            let stage = self.next_stage(now, leadership, held, &software);
            if stage == held.stage(&software) {
                continue;
            }
            steps.push(StageChange { software, stage });
        }
        steps
    }

    /// Returns the log index up to which moves of routes are to be dropped now, if there are any. There are none while
    /// another record is being committed.
    pub(crate) fn find_old_moves(&mut self, now: Duration, held: &Releases) -> Option<u64> {
        if self.moves_index != held.index() {
            self.moves_index = held.index();
            let indexes: BTreeSet<u64> = held.moves().indexes().collect();
            self.moves_seen.retain(|index, _| indexes.contains(index));
            for index in indexes {
                self.moves_seen.entry(index).or_insert(now);
            }
        }
        let old = self.moves_seen.iter().filter(|(_, seen)| now >= **seen + RETENTION);
        old.map(|(index, _)| *index).max().filter(|_| self.recording.is_none())
    }

    fn update(&mut self, now: Duration, held: &Releases, registry: &Registry) {
        // Thousands of endpoints have few versions.
        let live = registry.iter().filter(|known| known.phase < Phase::Gone && !known.service.is_empty());
        let versions: BTreeSet<_> = live.map(|known| (&known.service, &known.version)).collect();
        for (service, version) in versions {
            self.last_seen.insert(Software { service: service.clone(), version: version.clone() }, now);
        }
        self.last_seen.retain(|software, at| *at == now || held.stage(software).is_some());
        self.entered.retain(|software, _| held.stage(software).is_some());
        for (software, stage) in held.iter() {
            let entered = self.entered.entry(software).or_insert(Entered { stage, at: now });
            if entered.stage != stage {
                *entered = Entered { stage, at: now };
            }
        }
    }

    /// Returns the stage that a version should have now; `None` if it should not be held.
    fn next_stage(&self, now: Duration, leadership: Leadership, held: &Releases, software: &Software) -> Option<Stage> {
        let last_seen = self.last_seen.get(software).copied();
        let is_live = last_seen == Some(now);
        let entered = self.entered.get(software).map_or(now, |entered| entered.at);
        let is_past = |since: Duration, span: Duration| now >= since + span;
        let Some(stage) = held.stage(software) else {
            let is_first = held.iter().next().is_none();
            let stage = if is_first { Stage::Admitted } else { Stage::Announced };
            return Some(stage).filter(|_| is_live && !held.is_full(&software.service));
        };
        match stage {
            Stage::Announced if is_live => {
                let Leadership { since, lease, is_replicated } = leadership;
                // Until then an instance may act on what an earlier leader has told it.
                let is_leader_known = is_past(since, lease);
                let may_admit = is_leader_known && (is_replicated || is_past(entered, lease));
                Some(if may_admit { Stage::Admitted } else { stage })
            }
            Stage::Admitted | Stage::Retired if is_live => Some(Stage::Admitted),
            Stage::Announced | Stage::Admitted => {
                let is_over = is_past(last_seen.unwrap_or(leadership.since), RETENTION);
                Some(if is_over { Stage::Retired } else { stage })
            }
            Stage::Retired => Some(stage).filter(|_| !is_past(entered, RETENTION)),
        }
    }

    /// Makes the next scan due at once.
    pub(crate) fn scan_soon(&mut self) {
        self.is_due = true;
    }

    pub(crate) fn set_recording(&mut self, index: Option<u64>) {
        self.recording = index;
    }

    /// Records that the entry at `index` is applied.
    pub(crate) fn on_applied(&mut self, index: u64) {
        if self.recording.is_some_and(|recording| recording <= index) {
            self.recording = None;
        }
    }
}
