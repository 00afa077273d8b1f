//! Elections: pre-votes, votes, terms.

use std::time::Duration;

use rudder_model::InstanceId;

use crate::{Member, Message, Output, Payload, Record, Replica, ReplicaId, Role, replica::Progress};

impl Replica {
    pub(crate) fn ask_pre_votes(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes.clear();
        self.rest(now);
        self.ask(self.term + 1, true, out);
        self.count_vote(now, self.id, out);
    }

    fn campaign(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = Some(self.id);
        self.votes.clear();
        self.rest(now);
        self.save(vec![Record::Hard { term: self.term, vote: self.vote }], out);
        // The ballots wait for the save, and the own vote counts from then on.
        self.ask(self.term, false, out);
    }

    fn ask(&mut self, term: u64, pre: bool, out: &mut Vec<Output>) {
        let (index, last_term) = (self.log.last_index(), self.log.last_term());
        let others: Vec<(ReplicaId, Member)> = self.voters().map(|(id, member)| (*id, member.clone())).collect();
        for (id, member) in others {
            if id == self.id {
                continue;
            }
            let ballot = Message::Ballot { term, index, last_term, pre };
            self.send_saved(id, &member.name, ballot, out);
        }
    }

    pub(crate) fn on_ballot(
        &mut self,
        now: Duration,
        from: (ReplicaId, &InstanceId),
        term: u64,
        theirs: (u64, u64),
        pre: bool,
        out: &mut Vec<Output>,
    ) {
        let led = self.role == Role::Leader || now < self.loyal;
        if led {
            return;
        }
        let current = theirs >= (self.log.last_term(), self.log.last_index());
        if pre {
            let granted = term > self.term && current;
            // A refusal tells the own term, so that a candidate left behind can catch up.
            let term = if granted { term } else { self.term };
            self.send(from.0, from.1, Message::Vote { term, granted, pre }, out);
            return;
        }
        if term > self.term {
            self.adopt(now, term, out);
        }
        let free = self.vote.is_none() || self.vote == Some(from.0);
        let granted = term == self.term && free && current && !self.muted;
        if granted && self.vote.is_none() {
            self.vote = Some(from.0);
            self.rest(now);
            self.save(vec![Record::Hard { term, vote: self.vote }], out);
        }
        self.send_saved(from.0, from.1, Message::Vote { term: self.term, granted, pre }, out);
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Duration,
        from: ReplicaId,
        term: u64,
        granted: bool,
        pre: bool,
        out: &mut Vec<Output>,
    ) {
        if !granted && term > self.term {
            self.adopt(now, term, out);
            return;
        }
        let asked = match self.role {
            Role::PreCandidate => pre && term == self.term + 1,
            Role::Candidate => !pre && term == self.term,
            _ => false,
        };
        if asked && granted {
            self.count_vote(now, from, out);
        }
    }

    pub(crate) fn count_vote(&mut self, now: Duration, from: ReplicaId, out: &mut Vec<Output>) {
        if !self.members().get(&from).is_some_and(|member| member.voter) {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() < self.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, out),
            Role::Candidate => self.lead(now, out),
            _ => {}
        }
    }

    fn lead(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some((self.id, self.name.clone()));
        self.peers.clear();
        self.beat = now;
        self.elected = now;
        self.sync_peers(now);
        self.first_index = self.append_own(now, Payload::Noop, out);
    }

    /// Keeps one progress record for each other member.
    pub(crate) fn sync_peers(&mut self, now: Duration) {
        let ids: Vec<ReplicaId> = self.members().keys().copied().filter(|id| *id != self.id).collect();
        self.peers.retain(|id, _| ids.contains(id));
        let next = self.log.last_index() + 1;
        for id in ids {
            let fresh = Progress { next, matched: 0, acked: Duration::ZERO, heard: now, installed: None, large: None };
            self.peers.entry(id).or_insert(fresh);
        }
    }

    /// Moves to a later term as a follower without a leader.
    pub(crate) fn adopt(&mut self, now: Duration, term: u64, out: &mut Vec<Output>) {
        self.term = term;
        self.vote = None;
        self.role = Role::Follower;
        self.leader = None;
        self.rest(now);
        self.save(vec![Record::Hard { term, vote: None }], out);
    }

    /// Takes `from` as the leader of `term`; false when the term is over.
    pub(crate) fn follow(
        &mut self,
        now: Duration,
        term: u64,
        from: (ReplicaId, InstanceId),
        round: Duration,
        out: &mut Vec<Output>,
    ) -> bool {
        if term < self.term {
            let message = Message::Appended { term: self.term, fits: false, index: 0, round };
            self.send_saved(from.0, &from.1, message, out);
            return false;
        }
        if term > self.term {
            self.adopt(now, term, out);
        }
        assert!(self.role != Role::Leader, "two leaders in term {term}");
        self.role = Role::Follower;
        self.leader = Some(from);
        self.loyal = now + self.options.election;
        self.rest(now);
        true
    }
}
