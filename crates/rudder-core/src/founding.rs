//! Bootstrap of the replicated log: the founder with the lowest name starts it, once all founders have reported that their
//! data folders are empty.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;
use rudder_replica::{Member, Members, ReplicaId};

use crate::{Effect, Me, Options, PeerMessage};

/// Interval between requests to the other founders.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// State of the bootstrap at a founder.
#[derive(Debug, Default)]
pub(crate) struct Founding {
    founders: BTreeMap<InstanceId, ReplicaId>,
    /// Another founder knows a log, so none is started here.
    log_exists: bool,
    last_asked: Option<Duration>,
    /// The term in which this process started the log.
    started: Option<u64>,
}

impl Founding {
    /// Records the answer of another founder.
    pub(crate) fn note(&mut self, from: InstanceId, replica: ReplicaId, knows_log: bool) {
        self.log_exists |= knows_log;
        self.founders.insert(from, replica);
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
        options: &Options,
        replica: ReplicaId,
        out: &mut Vec<Effect>,
    ) -> Option<Members> {
        let first = options.founders.iter().min() == Some(&me.name);
        if !first || self.log_exists {
            return None;
        }
        self.founders.insert(me.name.clone(), replica);
        let member = |name: &InstanceId| {
            let id = *self.founders.get(name)?;
            Some((id, Member { name: name.clone(), voter: true }))
        };
        if let Some(members) = options.founders.iter().map(member).collect() {
            return Some(members);
        }
        self.ask(now, me, options, replica, out);
        None
    }

    fn ask(&mut self, now: Duration, me: &Me, options: &Options, replica: ReplicaId, out: &mut Vec<Effect>) {
        if self.last_asked.is_some_and(|last| now < last + ASK_INTERVAL) {
            return;
        }
        self.last_asked = Some(now);
        for founder in options.founders.iter().filter(|name| **name != me.name) {
            let message = PeerMessage::Founding { replica, members: None, ask: true };
            out.push(Effect::Send { to: founder.clone(), message });
        }
    }

    /// Records that this process has started the log in `term`.
    pub(crate) fn note_started(&mut self, term: u64) {
        self.started = Some(term);
    }
}
