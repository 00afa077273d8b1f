//! Whom this instance asks next, when, and what became of its questions.
//!
//! An instance asks the leader, or a relay of its hall. A question is due a period after the last answer; one without an
//! answer for [`SILENCE`] periods makes it turn to another.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;

use crate::{Me, Options};

/// Questions without an answer that are remembered.
const ROUNDS: u64 = 64;
/// Periods without an answer after which another instance is asked.
const SILENCE: u32 = 2;

/// Whom a question goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The leader, or an instance that may know it.
    Leader,
    /// A relay.
    Relay,
    /// The leader, past the relay that is told this instance's work.
    PastRelay,
}

/// A question sent.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// When.
    pub at: Duration,
    /// Whom.
    pub target: Target,
}

/// The state of an instance's questions.
#[derive(Debug, Default)]
pub struct Asking {
    round: u64,
    answered: u64,
    sent: BTreeMap<u64, Asked>,
    asked_at: Option<Duration>,
    /// Counts the instances turned to while the leader is unknown.
    seat: usize,
    leader: Option<InstanceId>,
    /// Who answered as the leader last; kept while another one is looked for.
    led: Option<InstanceId>,
    /// This instance leads, so it asks itself.
    leads: bool,
    /// The relays to ask, the first one first; empty where the leader is asked.
    relays: Vec<InstanceId>,
    /// Counts the turns: even ones are the relays', one after the other, odd ones the leader's.
    turn: usize,
    /// The next question goes to the leader whatever relays there are.
    urgent: bool,
    /// Version of this instance's askers that the leader holds.
    group: u64,
    /// The instances that the settings name.
    pub seeds: Vec<InstanceId>,
}

impl Asking {
    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Who answered as the leader last.
    pub fn last_leader(&self) -> Option<&InstanceId> {
        self.led.as_ref()
    }

    /// Number of the last question.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Version of this instance's askers that the leader holds.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// The relays that this instance asks; none where it asks the leader.
    pub fn relays(&self) -> &[InstanceId] {
        &self.relays
    }

    /// Sets the relays. Returns whether they are others than before.
    pub fn set_relays(&mut self, relays: Vec<InstanceId>) -> bool {
        let changed = relays != self.relays;
        self.relays = relays;
        changed
    }

    /// The question of this round, if it is remembered.
    pub fn sent(&self, round: u64) -> Option<Asked> {
        self.sent.get(&round).copied()
    }

    /// Records whether this instance leads: it need not ask others who does.
    pub fn note_leads(&mut self, me: &InstanceId, leads: bool) {
        self.leads = leads;
        if !leads && self.leader.as_ref() == Some(me) {
            // It led until just now; asked, it would answer itself.
            self.lose_leader();
        }
        if leads && self.leader.as_ref() != Some(me) {
            self.leader = Some(me.clone());
            self.answered = self.round;
        }
    }

    /// Asks again at the next chance rather than at the next turn.
    pub fn ask_soon(&mut self) {
        self.asked_at = None;
    }

    /// Asks the leader itself at the next chance: a relay's copy may be older than this moment.
    pub fn ask_leader_soon(&mut self) {
        self.want_leader();
        self.ask_soon();
    }

    /// Asks the leader itself with the next question, when that is due.
    pub fn want_leader(&mut self) {
        self.urgent = true;
    }

    /// True where it is time for a question: the last one was answered a period ago, or nobody answers it.
    pub fn is_due(&mut self, now: Duration, options: &Options) -> bool {
        let Some(asked) = self.asked_at else { return true };
        let period =
            if self.asks_relay() { options.watch_interval * options.tree.periods } else { options.watch_interval };
        if self.answered >= self.round {
            return now >= asked + period;
        }
        if now < asked + period * SILENCE {
            return false;
        }
        self.pass_over();
        true
    }

    /// Begins the next question; with `past`, one that only the leader can answer. `leader` leads or may know who does.
    /// Returns whom it goes to.
    pub fn begin(
        &mut self,
        now: Duration,
        me: &Me,
        past: bool,
        leader: Option<InstanceId>,
    ) -> (Target, Option<InstanceId>) {
        let (target, to) = self.to_target(me, past, leader);
        self.round += 1;
        self.urgent = false;
        self.asked_at = Some(now);
        self.sent.insert(self.round, Asked { at: now, target });
        self.sent.retain(|round, _| round + ROUNDS > self.round);
        (target, to)
    }

    fn to_target(&self, me: &Me, past: bool, leader: Option<InstanceId>) -> (Target, Option<InstanceId>) {
        if self.leads {
            return (Target::Leader, Some(me.name.clone()));
        }
        match self.relay() {
            Some(relay) if !self.urgent && !past => (Target::Relay, Some(relay.clone())),
            _ if self.relays.is_empty() => (Target::Leader, leader),
            _ => (Target::PastRelay, leader),
        }
    }

    /// The one of `seats` to turn to while the leader is unknown.
    pub fn seat_of(&self, seats: &[InstanceId]) -> Option<InstanceId> {
        seats.get(self.seat % seats.len().max(1)).cloned()
    }

    /// Records that an answer to the question of `round` came from `from`, where `leader` leads. Returns whether it is
    /// the newest answer; an older one tells nothing that may go back.
    pub fn note_answer(&mut self, round: u64, from: &InstanceId, leader: InstanceId, group: u64) -> bool {
        if round < self.answered {
            return false;
        }
        self.answered = round;
        self.group = group;
        if *from == leader && self.is_leaders_turn() {
            self.turn += 1;
        }
        self.led = Some(leader.clone());
        self.leader = Some(leader);
        true
    }

    /// Records that `from` cannot answer, and who leads as far as it knows. Without a leader this counts as silence, so
    /// that another instance is asked next.
    pub fn on_elsewhere(&mut self, from: &InstanceId, leader: Option<InstanceId>) {
        if self.relay() == Some(from) {
            // It is no relay by its own directory, or has nothing to tell yet.
            self.turn += 1;
        }
        let Some(leader) = leader else { return };
        self.answered = self.round;
        self.leader = Some(leader);
        self.group = 0;
        self.asked_at = None;
    }

    /// Turns from the relay whose proof is old to the leader, which knows which relays live.
    pub fn pass_over_relay(&mut self) {
        if self.relay().is_some() {
            self.turn += 1;
        }
    }

    /// Records that whom was asked last does not answer.
    fn pass_over(&mut self) {
        self.turn += 1;
        let target = self.sent.get(&self.round).map(|asked| asked.target);
        if target != Some(Target::Relay) {
            self.lose_leader();
        }
    }

    fn lose_leader(&mut self) {
        self.leader = None;
        self.group = 0;
        self.seat += 1;
    }

    fn is_leaders_turn(&self) -> bool {
        !self.turn.is_multiple_of(2)
    }

    /// The relay whose turn it is; `None` where that is the leader's.
    fn relay(&self) -> Option<&InstanceId> {
        if self.relays.is_empty() || self.is_leaders_turn() {
            return None;
        }
        self.relays.get(self.turn / 2 % self.relays.len())
    }

    fn asks_relay(&self) -> bool {
        !self.leads && self.relay().is_some()
    }
}
