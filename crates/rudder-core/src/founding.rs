//! The start of the replicated log: the founder with the lowest name begins it, once all founders have said that their
//! folders are empty.

use std::{collections::BTreeMap, time::Duration};

use rudder_model::InstanceId;
use rudder_replica::{Member, Members, ReplicaId};

use crate::{Effect, Me, Options, PeerMessage};

/// Time between questions of founders to each other.
const RETRY: Duration = Duration::from_millis(300);

/// What a founder knows of the others.
#[derive(Debug, Default)]
pub(crate) struct Founding {
    founders: BTreeMap<InstanceId, ReplicaId>,
    /// Another founder knows a log, so none is begun here.
    foreign: bool,
    asked: Option<Duration>,
    /// The term in which this process began the log.
    began: Option<u64>,
}

impl Founding {
    /// Records what another founder says.
    pub(crate) fn note(&mut self, from: InstanceId, replica: ReplicaId, knows_log: bool) {
        self.foreign |= knows_log;
        self.founders.insert(from, replica);
    }

    /// True where this process began the log and `term` is that of the first election after it: nobody has led before.
    pub(crate) fn is_first(&self, term: u64) -> bool {
        self.began.is_some_and(|began| term <= began + 1)
    }

    /// The members to begin the log with where there is none yet, once all founders are known here. A founder that lost its folder hears from the
    /// others that the log exists, and waits to be taken in as a new replica.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        me: &Me,
        options: &Options,
        replica: ReplicaId,
        out: &mut Vec<Effect>,
    ) -> Option<Members> {
        let first = options.founders.iter().min() == Some(&me.name);
        if !first || self.foreign {
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
        if self.asked.is_some_and(|asked| now < asked + RETRY) {
            return;
        }
        self.asked = Some(now);
        for founder in options.founders.iter().filter(|name| **name != me.name) {
            let message = PeerMessage::Founding { replica, members: None, ask: true };
            out.push(Effect::Send { to: founder.clone(), message });
        }
    }

    /// Records that this process has begun the log in `term`.
    pub(crate) fn note_started(&mut self, term: u64) {
        self.began = Some(term);
    }
}
