//! Schedules watch requests and chooses their target: the leader, or a relay of this instance's hall.
//!
//! A request is due one interval after the last one, once that has been answered. A request that is unanswered for
//! `TIMEOUT_INTERVALS` intervals times out, and the next one goes to another instance.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::{InstanceId, id};

use crate::{Me, Options};

/// Number of recent requests whose replies can still be matched.
const MAX_TRACKED_ROUNDS: u64 = 64;
/// Number of request intervals after which an unanswered request times out.
const TIMEOUT_INTERVALS: u32 = 2;
/// Minimum time between two requests for a newer proof, unless the first one was answered. Many callers may need one at once.
const MIN_PROOF_INTERVAL: Duration = Duration::from_millis(50);
/// Number of redirects that are followed at once. Two instances that name each other must not be asked in a loop.
const MAX_REDIRECTS: u32 = 3;

/// The target of a watch request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The leader.
    Leader,
    /// An instance that may know the leader, which this one does not. It can do nothing with reports, so the request
    /// carries none.
    Search,
    /// A relay.
    Relay,
    /// The leader, bypassing the relay that this instance reports its loads to.
    BypassRelay,
}

/// A watch request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// Time of sending.
    pub at: Duration,
    /// Its target.
    pub target: Target,
}

/// Watch requests of this instance and what they have revealed about the leader.
#[derive(Debug, Default)]
pub struct Upstream {
    /// Number of the last request.
    round: u64,
    /// Number of the latest request that was answered.
    answered_round: u64,
    sent: BTreeMap<u64, SentRequest>,
    last_sent: Option<Duration>,
    /// Number of instances tried while the leader is unknown.
    candidate: usize,
    leader: Option<InstanceId>,
    /// The instance that last replied as the leader; kept while a new leader is unknown.
    last_leader: Option<InstanceId>,
    /// This instance leads and sends its requests to itself.
    leading: bool,
    /// The relays of this instance in order of preference; empty if it queries the leader.
    relays: Vec<InstanceId>,
    /// Rotation between targets: even turns select the relays one after the other, odd turns the leader.
    turn: usize,
    /// The next request goes to the leader even if there are relays.
    leader_preferred: bool,
    /// Callers wait for a newer proof than the request under way can give.
    proof_wanted: bool,
    /// Version of this instance's relay group held by the leader.
    group: u64,
    /// Redirects followed since the last reply or timeout.
    redirects: u32,
    /// The leader has asked this instance to send no request before this time.
    deferred_until: Option<Duration>,
    /// Instances named in the settings as first contacts.
    pub seeds: Vec<InstanceId>,
}

impl Upstream {
    /// Creates the state of the instance `me`. Where it begins its search depends on its name, so that instances that start
    /// together do not all ask the same one.
    pub fn new(me: &InstanceId) -> Upstream {
        Upstream { candidate: id::rendezvous("candidate", me) as usize, ..Upstream::default() }
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Returns the instance that last replied as the leader.
    pub fn last_leader(&self) -> Option<&InstanceId> {
        self.last_leader.as_ref()
    }

    /// Returns the number of the last request.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Returns the version of this instance's relay group held by the leader.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Returns the relays of this instance; empty if it queries the leader.
    pub fn relays(&self) -> &[InstanceId] {
        &self.relays
    }

    /// Sets the relays. Returns whether they have changed.
    pub fn set_relays(&mut self, relays: Vec<InstanceId>) -> bool {
        let changed = relays != self.relays;
        self.relays = relays;
        changed
    }

    /// Returns the request of this round, if it is still tracked.
    pub fn sent(&self, round: u64) -> Option<SentRequest> {
        self.sent.get(&round).copied()
    }

    /// Records whether this instance leads.
    pub fn set_leading(&mut self, me: &InstanceId, leading: bool) {
        self.leading = leading;
        if !leading && self.leader.as_ref() == Some(me) {
            // A former leader would otherwise keep sending requests to itself.
            self.forget_leader();
        }
        if leading && self.leader.as_ref() != Some(me) {
            self.leader = Some(me.clone());
            self.answered_round = self.round;
        }
    }

    /// Makes the next request due immediately.
    pub fn request_soon(&mut self) {
        self.last_sent = None;
    }

    /// Makes the next request due as soon as the last one is answered.
    pub fn request_after_reply(&mut self) {
        if self.answered_round >= self.round {
            self.request_soon();
        }
    }

    /// Makes a request to the leader due, because a relay's copy may predate this moment: immediately, or once the one under
    /// way is answered.
    pub fn request_proof(&mut self) {
        self.prefer_leader();
        self.proof_wanted = true;
    }

    /// Returns whether callers wait for a newer proof.
    pub fn wants_proof(&self) -> bool {
        self.proof_wanted
    }

    /// Returns whether a request that may give a proof as of its sending was sent a moment ago and is not answered.
    fn awaits_proof(&self, now: Duration) -> bool {
        let pending = self.sent(self.round).filter(|_| self.answered_round < self.round);
        pending.is_some_and(|request| request.target != Target::Relay && now < request.at + MIN_PROOF_INTERVAL)
    }

    /// Sends the next request, when it is due, to the leader.
    pub fn prefer_leader(&mut self) {
        self.leader_preferred = true;
    }

    /// Returns whether a request is due: the last one was answered and an interval has passed, or it has timed out.
    pub fn is_due(&mut self, now: Duration, options: &Options) -> bool {
        if self.deferred_until.is_some_and(|until| now < until) {
            return false;
        }
        if self.proof_wanted && !self.awaits_proof(now) {
            return true;
        }
        let Some(sent_at) = self.last_sent else { return true };
        let interval =
            if self.targets_relay() { options.watch_interval * options.tree.periods } else { options.watch_interval };
        if self.answered_round >= self.round {
            return now >= sent_at + interval;
        }
        if now < sent_at + interval * TIMEOUT_INTERVALS {
            return false;
        }
        self.on_timeout();
        true
    }

    /// Begins the next request and returns its target. With `bypass`, the request needs the leader's own reply.
    /// `leader` is the leader or an instance that may know it.
    pub fn begin_round(
        &mut self,
        now: Duration,
        me: &Me,
        bypass: bool,
        leader: Option<InstanceId>,
    ) -> (Target, Option<InstanceId>) {
        let (target, to) = self.next_target(me, bypass, leader);
        self.round += 1;
        self.leader_preferred = false;
        self.proof_wanted = false;
        self.deferred_until = None;
        self.last_sent = Some(now);
        self.sent.insert(self.round, SentRequest { at: now, target });
        self.sent.retain(|round, _| round + MAX_TRACKED_ROUNDS > self.round);
        (target, to)
    }

    fn next_target(&self, me: &Me, bypass: bool, leader: Option<InstanceId>) -> (Target, Option<InstanceId>) {
        if self.leading {
            return (Target::Leader, Some(me.name.clone()));
        }
        match self.relay() {
            Some(relay) if !self.leader_preferred && !bypass => (Target::Relay, Some(relay.clone())),
            _ if self.leader.is_none() => (Target::Search, leader),
            _ if self.relays.is_empty() => (Target::Leader, leader),
            _ => (Target::BypassRelay, leader),
        }
    }

    /// Returns the one of `candidates` to query while the leader is unknown.
    pub fn pick_candidate(&self, candidates: &[InstanceId]) -> Option<InstanceId> {
        candidates.get(self.candidate % candidates.len().max(1)).cloned()
    }

    /// Records a reply from `from` to the request of `round`, naming `leader`. Returns whether it is the latest reply;
    /// an older one must not overwrite newer state.
    pub fn on_reply(&mut self, round: u64, from: &InstanceId, leader: InstanceId, group: u64) -> bool {
        if round < self.answered_round {
            return false;
        }
        self.answered_round = round;
        self.redirects = 0;
        self.group = group;
        if *from == leader && self.is_leader_turn() {
            self.turn += 1;
        }
        self.last_leader = Some(leader.clone());
        self.leader = Some(leader);
        true
    }

    /// Records that `from` cannot answer and names `leader` instead. Without a leader the request is left to time out,
    /// so that another instance is tried next.
    pub fn on_redirect(&mut self, from: &InstanceId, leader: Option<InstanceId>) {
        if self.relay() == Some(from) {
            // By its own directory it is no relay, or it has no fresh proof yet.
            self.turn += 1;
        }
        let Some(leader) = leader.filter(|_| self.redirects < MAX_REDIRECTS) else { return };
        self.redirects += 1;
        self.answered_round = self.round;
        self.leader = Some(leader);
        self.group = 0;
        self.last_sent = None;
    }

    /// Records that `leader` has asked this instance to come again at `until`.
    pub fn on_deferred(&mut self, leader: &InstanceId, until: Duration) {
        self.answered_round = self.round;
        self.redirects = 0;
        self.leader = Some(leader.clone());
        self.group = 0;
        self.last_sent = None;
        self.deferred_until = Some(until);
    }

    /// Moves on from a relay with an old proof to the leader, which knows the live relays.
    pub fn skip_relay(&mut self) {
        if self.relay().is_some() {
            self.turn += 1;
        }
    }

    /// Records that the last request has timed out.
    fn on_timeout(&mut self) {
        self.turn += 1;
        self.redirects = 0;
        let target = self.sent.get(&self.round).map(|request| request.target);
        if target != Some(Target::Relay) {
            self.forget_leader();
        }
    }

    fn forget_leader(&mut self) {
        self.leader = None;
        self.group = 0;
        self.candidate += 1;
    }

    fn is_leader_turn(&self) -> bool {
        !self.turn.is_multiple_of(2)
    }

    /// Returns the relay whose turn it is; `None` on the leader's turn.
    fn relay(&self) -> Option<&InstanceId> {
        if self.relays.is_empty() || self.is_leader_turn() {
            return None;
        }
        self.relays.get(self.turn / 2 % self.relays.len())
    }

    fn targets_relay(&self) -> bool {
        !self.leading && self.relay().is_some()
    }
}
