//! Replication: the leader's sending and counting, the follower's appending.

use std::time::Duration;

use rudder_model::InstanceId;

use crate::{Entry, Log, Message, Options, Output, Payload, Record, Replica, ReplicaId, Role, Snapshot};

/// A snapshot or a large entry under way is sent again after this long without an answer.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Replica {
    /// The leader's part of a tick: heartbeats, and stepping down without a quorum.
    pub(crate) fn lead_on(&mut self, now: Duration, out: &mut Vec<Output>) {
        let heard = self.quorum_round().max(self.elected);
        if heard + self.options.election * 2 < now {
            self.role = Role::Follower;
            self.leader = None;
            self.rest(now);
            return;
        }
        if now >= self.beat + self.options.heartbeat {
            self.broadcast(now, out);
        }
    }

    /// Appends an entry of the leader's own and sends it on.
    pub(crate) fn append_own(&mut self, now: Duration, payload: Payload, out: &mut Vec<Output>) -> u64 {
        let entry = Entry { index: self.log.last_index() + 1, term: self.term, payload };
        let index = entry.index;
        self.log.push(entry.clone());
        self.save(vec![Record::Entry(entry)], out);
        self.sync_peers(now);
        self.broadcast(now, out);
        index
    }

    fn broadcast(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.beat = now;
        let ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
        for id in ids {
            self.send_entries(now, id, out);
        }
    }

    fn send_entries(&mut self, now: Duration, id: ReplicaId, out: &mut Vec<Output>) {
        let Some(name) = self.members().get(&id).map(|member| member.name.clone()) else { return };
        let Options { batch, batch_bytes, .. } = self.options;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if let Some((index, sent)) = peer.large {
            if now < sent + RETRY_INTERVAL {
                self.send_heartbeat(now, (id, &name), index - 1, out);
                return;
            }
            peer.large = None;
            peer.next = index;
        }
        let prev = peer.next - 1;
        let Some(prev_term) = self.log.term_at(prev) else {
            if peer.installed.is_some_and(|sent| now < sent + RETRY_INTERVAL) {
                return;
            }
            peer.installed = Some(now);
            // Without a round the encoding is the same each time, so that a repetition continues a transfer.
            let round = Duration::ZERO;
            let install = Message::Install { term: self.term, snapshot: self.snapshot.clone(), round };
            self.send(id, &name, install, out);
            return;
        };
        let entries = self.log.slice(peer.next, batch, batch_bytes);
        peer.next += entries.len() as u64;
        let large = entries.first().filter(|entry| entry.size() > batch_bytes).map(|entry| entry.index);
        peer.large = large.map(|index| (index, now));
        if large.is_some() {
            // Stable like an install. The heartbeat beside it proves the lease while the entry is under way.
            let append =
                Message::Append { term: self.term, prev, prev_term, entries, commit: 0, round: Duration::ZERO };
            self.send(id, &name, append, out);
            self.send_heartbeat(now, (id, &name), prev, out);
            return;
        }
        let append = Message::Append { term: self.term, prev, prev_term, entries, commit: self.commit, round: now };
        self.send(id, &name, append, out);
    }

    /// Sends a heartbeat to a follower that holds the log up to `prev`.
    fn send_heartbeat(
        &mut self,
        now: Duration,
        (id, name): (ReplicaId, &InstanceId),
        prev: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(prev_term) = self.log.term_at(prev) else { return };
        let (term, entries, commit) = (self.term, Vec::new(), self.commit);
        self.send(id, name, Message::Append { term, prev, prev_term, entries, commit, round: now }, out);
    }

    pub(crate) fn on_appended(
        &mut self,
        now: Duration,
        from: ReplicaId,
        fits: bool,
        index: u64,
        round: Duration,
        out: &mut Vec<Output>,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = now;
        peer.acked = peer.acked.max(round);
        peer.installed = None;
        if !fits {
            peer.large = None;
            peer.next = (index + 1).clamp(peer.matched + 1, last + 1);
            self.send_entries(now, from, out);
            return;
        }
        peer.matched = peer.matched.max(index);
        peer.next = peer.next.max(peer.matched + 1);
        peer.large = peer.large.filter(|(large, _)| *large > peer.matched);
        let behind = peer.next <= last && peer.large.is_none();
        self.advance(out);
        if behind {
            self.send_entries(now, from, out);
        }
    }

    /// Commits what a quorum has saved, if it is of this term.
    pub(crate) fn advance(&mut self, out: &mut Vec<Output>) {
        let saved = |id: &ReplicaId| {
            if *id == self.id { self.saved_index } else { self.peers.get(id).map_or(0, |peer| peer.matched) }
        };
        let mut indexes: Vec<u64> = self.voters().map(|(id, _)| saved(id)).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = indexes.get(self.quorum() - 1).copied() else { return };
        if index <= self.commit || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit = index;
        self.apply(out);
    }

    /// The latest round that a quorum has answered; the leader itself counts as always answering.
    pub(crate) fn quorum_round(&self) -> Duration {
        let acked = |id: &ReplicaId| {
            if *id == self.id {
                Duration::MAX / 4
            } else {
                self.peers.get(id).map_or(Duration::ZERO, |peer| peer.acked)
            }
        };
        let mut rounds: Vec<Duration> = self.voters().map(|(id, _)| acked(id)).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds.get(self.quorum() - 1).copied().unwrap_or_default()
    }

    #[expect(clippy::too_many_arguments, reason = "one argument for each field of the message")]
    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        name: &InstanceId,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
        round: Duration,
        out: &mut Vec<Output>,
    ) {
        let (prev, prev_term) = prev;
        // What lies before the base is committed, so it matches.
        let matches = prev < self.log.base() || self.log.term_at(prev) == Some(prev_term);
        if !matches {
            let index = self.log.last_index().min(prev.saturating_sub(1)).max(self.commit);
            let message = Message::Appended { term: self.term, fits: false, index, round };
            self.send_saved(from, name, message, out);
            return;
        }
        let last = prev + entries.len() as u64;
        self.take_entries(entries, out);
        self.commit = self.commit.max(commit.min(last));
        self.apply(out);
        let message = Message::Appended { term: self.term, fits: true, index: last, round };
        self.send_saved(from, name, message, out);
    }

    fn take_entries(&mut self, entries: Vec<Entry>, out: &mut Vec<Output>) {
        let mut records = Vec::new();
        for entry in entries {
            if entry.index <= self.log.base() || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.cut(entry.index);
            }
            records.push(Record::Entry(entry.clone()));
            self.log.push(entry);
        }
        if !records.is_empty() {
            self.save(records, out);
        }
    }

    /// Removes entries that another leader replaced; what is committed is never among them.
    fn cut(&mut self, index: u64) {
        assert!(index > self.commit, "entry {index} is committed (to {}) and must stay", self.commit);
        self.log.truncate(index);
        self.saved_index = self.saved_index.min(index - 1);
        for (_, pending) in &mut self.pending {
            *pending = (*pending).min(index - 1);
        }
    }

    pub(crate) fn on_install(
        &mut self,
        from: ReplicaId,
        name: &InstanceId,
        snapshot: Snapshot,
        round: Duration,
        out: &mut Vec<Output>,
    ) {
        let index = snapshot.index;
        if index > self.commit {
            self.restore(snapshot, out);
        }
        let message = Message::Appended { term: self.term, fits: true, index, round };
        self.send_saved(from, name, message, out);
    }

    /// Replaces state and log by `snapshot`, keeping the entries after it that fit.
    pub(crate) fn restore(&mut self, snapshot: Snapshot, out: &mut Vec<Output>) {
        let fits = self.log.term_at(snapshot.index) == Some(snapshot.term);
        if fits {
            self.log.compact(snapshot.index);
        } else {
            self.log = Log::after(&snapshot);
            self.saved_index = 0;
            self.pending.clear();
        }
        self.term = self.term.max(snapshot.term);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.save_snapshot(snapshot.clone(), out);
        out.push(Output::Restore(snapshot));
    }

    /// True when this replica leads and has no change of membership under way.
    pub(crate) fn may_change(&self) -> bool {
        let settled = self.log.members_at(u64::MAX).0 <= self.commit;
        self.role == Role::Leader && settled && self.commit >= self.first_index
    }
}
