//! One replica: its state, construction and the calls that drive it.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;
use rudder_model::InstanceId;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{Entry, Envelope, Log, Message, Output, Payload, Record, Snapshot};

/// The first elections after a start are spread over this time.
const FIRST_SPREAD: Duration = Duration::from_millis(200);

/// Id of one replica; drawn when its data folder is made.
pub type ReplicaId = u64;
/// All replicas of the log, by id.
pub type Members = BTreeMap<ReplicaId, Member>;

/// One replica of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance it runs in.
    pub name: InstanceId,
    /// Votes; a learner only receives.
    pub voter: bool,
}

/// Times and bounds.
#[derive(Clone, Debug)]
pub struct Options {
    /// A leader sends at least this often.
    pub heartbeat: Duration,
    /// Shortest election time-out; a replica that heard its leader within it grants no vote.
    pub election: Duration,
    /// How long after sending a heartbeat that a quorum answered the leader may act alone.
    pub lease: Duration,
    /// A voter silent for this long is replaced.
    pub replace: Duration,
    /// Voters wanted.
    pub voters: usize,
    /// Entries in one message.
    pub batch: usize,
    /// Bytes of the commands in one message; a larger one is sent alone and awaited, as it may be under way for long.
    pub batch_bytes: usize,
    /// Entries kept before the snapshot, for followers that lag a little.
    pub keep: u64,
    /// Seed of the election time-outs.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(700),
            lease: Duration::from_millis(600),
            replace: Duration::from_secs(10),
            voters: 3,
            batch: 256,
            batch_bytes: 12 << 10,
            keep: 500,
            seed: 0,
        }
    }
}

/// What a data folder held.
#[derive(Clone, Debug, Default)]
pub struct Durable {
    /// Current term.
    pub term: u64,
    /// Who got this term's vote.
    pub vote: Option<ReplicaId>,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
    /// The instances that were to found the log, until there is one.
    pub founders: Vec<InstanceId>,
}

impl Durable {
    /// Adds a record that became durable after what is held.
    pub fn take(&mut self, record: Record) {
        match record {
            Record::Hard { term, vote } => (self.term, self.vote) = (term, vote),
            Record::Entry(entry) => {
                let kept = entry.index.saturating_sub(self.snapshot.index + 1);
                self.entries.truncate(kept as usize);
                self.entries.push(entry);
            }
            Record::Founders(founders) => self.founders = founders,
        }
    }

    /// Returns the record that a start as one of `founders` adds, so that a later start can found the log; `None` if there
    /// is a log, or if nothing is new.
    pub fn to_founding(&self, founders: &[InstanceId]) -> Option<Record> {
        let is_founded = self.snapshot.index > 0 || !self.entries.is_empty();
        let is_new = !founders.is_empty() && founders != self.founders;
        (is_new && !is_founded).then(|| Record::Founders(founders.to_vec()))
    }

    /// Installs a snapshot that replaced all that was held; the records after it follow.
    pub fn replace(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.entries.clear();
        self.founders.clear();
    }
}

/// Part a replica plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, known or not.
    Follower,
    /// Asks whether votes would be given.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) next: u64,
    pub(crate) matched: u64,
    pub(crate) acked: Duration,
    pub(crate) heard: Duration,
    pub(crate) installed: Option<Duration>,
    /// Index of a large entry that it has not saved yet, and when it was sent.
    pub(crate) large: Option<(u64, Duration)>,
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) name: InstanceId,
    pub(crate) options: Options,
    pub(crate) term: u64,
    pub(crate) vote: Option<ReplicaId>,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<(ReplicaId, InstanceId)>,
    /// No vote is granted before this: a leader may be alive.
    pub(crate) loyal: Duration,
    pub(crate) deadline: Duration,
    pub(crate) votes: BTreeSet<ReplicaId>,
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    pub(crate) beat: Duration,
    pub(crate) elected: Duration,
    pub(crate) first_index: u64,
    pub(crate) issued: u64,
    pub(crate) saved: u64,
    pub(crate) saved_index: u64,
    pub(crate) pending: VecDeque<(u64, u64)>,
    pub(crate) held: VecDeque<(u64, InstanceId, Envelope)>,
    pub(crate) muted: bool,
    pub(crate) rng: Pcg32,
}

impl Replica {
    /// A replica with what its data folder held. As it may have heard a leader just before it
    /// stopped, it grants no vote before that leader's lease is over; then it soon asks for votes itself,
    /// as all may have stopped together.
    pub fn new(id: ReplicaId, name: InstanceId, options: Options, durable: Durable, now: Duration) -> Replica {
        let mut log = Log::after(&durable.snapshot);
        for entry in durable.entries {
            log.push(entry);
        }
        let rng = Pcg32::seed_from_u64(options.seed ^ id);
        let index = durable.snapshot.index;
        let mut replica = Replica {
            id,
            name,
            term: durable.term,
            vote: durable.vote,
            saved_index: log.last_index(),
            log,
            snapshot: durable.snapshot,
            commit: index,
            applied: index,
            role: Role::Follower,
            leader: None,
            loyal: now + options.lease,
            deadline: now,
            votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            beat: now,
            elected: now,
            first_index: u64::MAX,
            issued: 0,
            saved: 0,
            pending: VecDeque::new(),
            held: VecDeque::new(),
            muted: false,
            rng,
            options,
        };
        let extra = replica.rng.random_range(0.0..1.0);
        replica.deadline = replica.loyal + FIRST_SPREAD.mul_f64(extra);
        replica
    }

    /// Its id.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Index up to which the log is committed, as far as this replica knows.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Index that the latest snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.index
    }

    /// The leader's name, where one is known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref().map(|(_, name)| name)
    }

    /// The latest membership in the log, committed or not: it counts from when it is appended.
    pub fn members(&self) -> &Members {
        self.log.members_at(u64::MAX).1
    }

    /// True while this replica leads, holds its lease at `now`, and knows what is committed.
    pub fn leads(&self, now: Duration) -> bool {
        self.role == Role::Leader && now < self.lease_end() && self.commit >= self.first_index
    }

    /// When the leader's lease ends: counted from when the heartbeats were sent that a quorum answered.
    pub fn lease_end(&self) -> Duration {
        self.quorum_round() + self.options.lease
    }

    /// Advances time.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.lead_on(now, out);
            return;
        }
        if now >= self.deadline && self.may_campaign() {
            self.ask_pre_votes(now, out);
        }
    }

    /// Appends a command; `None` when this replica does not lead.
    pub fn propose(&mut self, now: Duration, command: Vec<u8>, out: &mut Vec<Output>) -> Option<u64> {
        if self.role != Role::Leader || self.muted {
            return None;
        }
        Some(self.append_own(now, Payload::Command(ByteBuf::from(command)), out))
    }

    /// Handles a message.
    pub fn receive(&mut self, now: Duration, envelope: Envelope, out: &mut Vec<Output>) {
        if envelope.to != self.id {
            return;
        }
        let (from, name) = (envelope.from, envelope.name);
        match envelope.message {
            Message::Ballot { term, index, last_term, pre } => {
                self.on_ballot(now, (from, &name), term, (last_term, index), pre, out);
            }
            Message::Vote { term, granted, pre } => self.on_vote(now, from, term, granted, pre, out),
            Message::Append { term, prev, prev_term, entries, commit, round } => {
                if self.follow(now, term, (from, name.clone()), round, out) {
                    self.on_append(from, &name, (prev, prev_term), entries, commit, round, out);
                }
            }
            Message::Install { term, snapshot, round } => {
                if self.follow(now, term, (from, name.clone()), round, out) {
                    self.on_install(from, &name, snapshot, round, out);
                }
            }
            Message::Appended { term, fits, index, round } => {
                if term > self.term {
                    self.adopt(now, term, out);
                    return;
                }
                if term == self.term && self.role == Role::Leader {
                    self.on_appended(now, from, fits, index, round, out);
                }
            }
        }
    }

    /// Starts the log with its founding members; nothing happens where it has started already.
    pub fn found(&mut self, members: Members, data: Vec<u8>, out: &mut Vec<Output>) {
        if self.commit > 0 {
            return;
        }
        let data = std::sync::Arc::new(ByteBuf::from(data));
        self.restore(Snapshot { index: 1, term: 1, members, data }, out);
    }

    /// Records that all saves up to `number` are durable.
    pub fn on_saved(&mut self, now: Duration, number: u64, out: &mut Vec<Output>) {
        self.saved = self.saved.max(number);
        self.muted = false;
        while let Some((issued, index)) = self.pending.front().copied() {
            if issued > number {
                break;
            }
            self.saved_index = self.saved_index.max(index);
            self.pending.pop_front();
        }
        while self.held.front().is_some_and(|(issued, ..)| *issued <= number) {
            if let Some((_, to, envelope)) = self.held.pop_front() {
                out.push(Output::Send { to, envelope });
            }
        }
        match self.role {
            Role::Candidate if self.saved == self.issued => self.count_vote(now, self.id, out),
            Role::Leader => self.advance(out),
            _ => {}
        }
    }

    /// Records that the disk refuses writes: it neither leads nor campaigns until a save succeeds.
    pub fn on_disk_full(&mut self, now: Duration) {
        self.muted = true;
        self.role = Role::Follower;
        self.rest(now);
    }

    /// Replaces the log up to what is applied by a snapshot of the state machine.
    pub fn compact(&mut self, data: Vec<u8>, out: &mut Vec<Output>) {
        let index = self.applied;
        let Some(term) = self.log.term_at(index) else { return };
        let members = self.log.members_at(index).1.clone();
        let snapshot = Snapshot { index, term, members, data: std::sync::Arc::new(ByteBuf::from(data)) };
        self.log.compact(index.saturating_sub(self.options.keep));
        self.save_snapshot(snapshot, out);
    }

    pub(crate) fn save_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let mut records = vec![Record::Hard { term: self.term, vote: self.vote }];
        let tail = self.log.slice(snapshot.index + 1, usize::MAX, usize::MAX);
        records.extend(tail.into_iter().map(Record::Entry));
        self.snapshot = snapshot.clone();
        self.issued += 1;
        self.pending.push_back((self.issued, self.log.last_index()));
        out.push(Output::SaveSnapshot { number: self.issued, snapshot, records });
    }

    pub(crate) fn save(&mut self, records: Vec<Record>, out: &mut Vec<Output>) {
        self.issued += 1;
        self.pending.push_back((self.issued, self.log.last_index()));
        out.push(Output::Save { number: self.issued, records });
    }

    /// Sends at once.
    pub(crate) fn send(&self, to: ReplicaId, name: &InstanceId, message: Message, out: &mut Vec<Output>) {
        let envelope = Envelope { from: self.id, name: self.name.clone(), to, message };
        out.push(Output::Send { to: name.clone(), envelope });
    }

    /// Sends once all that was handed out for saving is durable.
    pub(crate) fn send_saved(&mut self, to: ReplicaId, name: &InstanceId, message: Message, out: &mut Vec<Output>) {
        if self.saved == self.issued {
            self.send(to, name, message, out);
            return;
        }
        let envelope = Envelope { from: self.id, name: self.name.clone(), to, message };
        self.held.push_back((self.issued, name.clone(), envelope));
    }

    /// Sets the next election time-out: one to two times the shortest.
    pub(crate) fn rest(&mut self, now: Duration) {
        let extra = self.rng.random_range(0.0..1.0);
        self.deadline = now + self.options.election.mul_f64(1.0 + extra);
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = (&ReplicaId, &Member)> {
        self.members().iter().filter(|(_, member)| member.voter)
    }

    pub(crate) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.members().get(&self.id).is_some_and(|member| member.voter)
    }

    fn may_campaign(&self) -> bool {
        !self.muted && self.is_voter()
    }

    /// Hands out what is committed and not yet applied.
    pub(crate) fn apply(&mut self, out: &mut Vec<Output>) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else { return };
            self.applied = entry.index;
            out.push(Output::Apply(entry));
        }
    }
}
