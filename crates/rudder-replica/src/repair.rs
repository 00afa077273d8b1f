//! Membership that repairs itself: silent voters are replaced by spares, one step at a time.
//!
//! A spare is first a learner; it becomes a voter once it has saved all that is committed, and only
//! then the silent voter is removed. So the quorum never counts on a replica that lacks the log.

use std::time::Duration;

use rudder_model::{HallId, InstanceId};

use crate::{Member, Members, Output, Payload, Replica, ReplicaId};

/// A live instance with a disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spare {
    /// Its replica's id.
    pub id: ReplicaId,
    /// Its name.
    pub name: InstanceId,
    /// Its hall.
    pub hall: HallId,
}

impl Replica {
    /// Takes the next step of repair, if one is due. `live` are the instances with a disk that were
    /// heard of lately. Returns the new membership where one was appended.
    pub fn repair(&mut self, now: Duration, live: &[Spare], out: &mut Vec<Output>) -> Option<Members> {
        if !self.may_change() {
            return None;
        }
        let members = self.next_members(now, live)?;
        self.append_own(now, Payload::Members(members.clone()), out);
        Some(members)
    }

    fn next_members(&self, now: Duration, live: &[Spare]) -> Option<Members> {
        let members = self.members();
        let voters = self.voters().count();
        let dead: Vec<ReplicaId> = members.keys().copied().filter(|id| self.is_dead(now, *id, live)).collect();
        let dead_voter = dead.iter().copied().find(|id| members[id].voter);
        let mut next = members.clone();
        if let Some(learner) = dead.iter().find(|id| !members[id].voter) {
            next.remove(learner);
            return Some(next);
        }
        if voters > self.options.voters {
            next.remove(&dead_voter?);
            return Some(next);
        }
        if dead_voter.is_none() && voters >= self.options.voters {
            return None;
        }
        let learners: Vec<ReplicaId> = members.iter().filter(|(_, m)| !m.voter).map(|(id, _)| *id).collect();
        if let Some(ready) = learners.iter().find(|id| self.is_ready(**id)) {
            next.get_mut(ready)?.voter = true;
            return Some(next);
        }
        if !learners.is_empty() {
            return None;
        }
        let spare = self.choose_spare(&dead, live)?;
        next.insert(spare.id, Member { name: spare.name.clone(), voter: false });
        Some(next)
    }

    /// Silent for long, or its instance runs on with a new data folder.
    fn is_dead(&self, now: Duration, id: ReplicaId, live: &[Spare]) -> bool {
        let Some(peer) = self.peers.get(&id) else { return false };
        let name = &self.members()[&id].name;
        let renewed = live.iter().any(|spare| spare.name == *name && spare.id != id);
        renewed || peer.heard + self.options.replace < now
    }

    fn is_ready(&self, id: ReplicaId) -> bool {
        self.peers.get(&id).is_some_and(|peer| peer.matched >= self.commit)
    }

    /// The spare in the hall with the fewest living voters; ties go by name.
    fn choose_spare<'a>(&self, dead: &[ReplicaId], live: &'a [Spare]) -> Option<&'a Spare> {
        let members = self.members();
        let hall_of = |name: &InstanceId| live.iter().find(|spare| spare.name == *name).map(|spare| &spare.hall);
        let voters_in = |hall: &HallId| {
            let living = self.voters().filter(|(id, _)| !dead.contains(id));
            living.filter(|(_, member)| hall_of(&member.name) == Some(hall)).count()
        };
        let spares = live.iter().filter(|spare| !members.contains_key(&spare.id));
        spares.min_by_key(|spare| (voters_in(&spare.hall), spare.name.clone()))
    }
}
