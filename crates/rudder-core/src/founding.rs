//! Bootstrap of the replicated log: the founder with the lowest name starts it, once all founders have reported that their
//! data folders are empty. A founder that ends before there is a log takes this up at its next start.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rudder_model::InstanceId;
use rudder_replica::{Durable, Member, Members, ReplicaId};

use crate::{Effect, Me, Options, PeerMessage};

/// Interval between requests to the other founders.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// State of the bootstrap at a founder.
#[derive(Debug, Default)]
pub(crate) struct Founding {
    /// Who founds the log; nobody in a start that is not to found one.
    founders: Vec<InstanceId>,
    /// The founders that have answered.
    replicas: BTreeMap<InstanceId, ReplicaId>,
    /// Another founder knows a log, so none is started here.
    log_exists: bool,
    last_asked: Option<Duration>,
    /// The term in which this process started the log.
    started: Option<u64>,
}

impl Founding {
    /// The founders are those of the settings, or else those of an earlier start before whose end there was no log. Other
    /// seeds than in that start may have founded another log, so that it is not taken up among them.
    pub(crate) fn new(options: &Options, durable: &Durable) -> Founding {
        let is_same = || durable.founders.iter().collect::<BTreeSet<_>>() == options.seeds.iter().collect();
        let founders = if options.founders.is_empty() && is_same() { &durable.founders } else { &options.founders };
        Founding { founders: founders.clone(), ..Founding::default() }
    }

    /// Records the answer of another founder.
    pub(crate) fn note(&mut self, from: InstanceId, replica: ReplicaId, knows_log: bool) {
        self.log_exists |= knows_log;
        self.replicas.insert(from, replica);
    }

    /// True if this process started the log and `term` is that of the first election, so there was no leader before.
    pub(crate) fn is_first(&self, term: u64) -> bool {
        self.started.is_some_and(|started| term <= started + 1)
    }

    /// Returns the members to start the log with, once all founders have answered and none knows a log. A founder that lost
    /// its data folder learns from the others that the log exists, and waits to be added as a new replica.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        me: &Me,
        replica: ReplicaId,
        out: &mut Vec<Effect>,
    ) -> Option<Members> {
        let first = self.founders.iter().min() == Some(&me.name);
        if !first || self.log_exists {
            return None;
        }
        self.replicas.insert(me.name.clone(), replica);
        let member = |name: &InstanceId| {
            let id = *self.replicas.get(name)?;
            Some((id, Member { name: name.clone(), voter: true }))
        };
        if let Some(members) = self.founders.iter().map(member).collect() {
            return Some(members);
        }
        self.ask(now, me, replica, out);
        None
    }

    fn ask(&mut self, now: Duration, me: &Me, replica: ReplicaId, out: &mut Vec<Effect>) {
        if self.last_asked.is_some_and(|last| now < last + ASK_INTERVAL) {
            return;
        }
        self.last_asked = Some(now);
        for founder in self.founders.iter().filter(|name| **name != me.name) {
            let message = PeerMessage::Founding { replica, members: None, ask: true };
            out.push(Effect::Send { to: founder.clone(), message });
        }
    }

    /// Records that this process has started the log in `term`.
    pub(crate) fn note_started(&mut self, term: u64) {
        self.started = Some(term);
    }
}
