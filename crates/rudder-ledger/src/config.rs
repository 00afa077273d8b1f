//! Configuration objects with their numbers, and the answers that changes got.

use std::collections::{BTreeMap, VecDeque};

use rudder_model::{Kind, Object};
use serde::{Deserialize, Serialize};

/// Counts the changes of one object; 0 stands for "never existed".
pub type Number = u64;

/// Answers to changes kept for operators that ask again; at 35,000 changes a day, about three days.
pub const ANSWERS_KEPT: usize = 100_000;

/// An operator's change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator; the same id sent again gets the first answer again.
    pub id: String,
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// The number that the change replaces.
    pub replaces: Number,
    /// The new content; `None` deletes.
    pub object: Option<Object>,
}

/// One object as it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its number.
    pub number: Number,
    /// Log index of its last change.
    pub index: u64,
    /// Its content; `None` once deleted, so that numbers never start over.
    pub object: Option<Object>,
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Changed {
    /// In force under this number.
    Accepted {
        /// The object's new number.
        number: Number,
        /// Log index from which it is in force.
        index: u64,
    },
    /// Another change came first.
    Conflict {
        /// What stands; number 0 and no content where nothing does.
        standing: Held,
    },
    /// The change id was used before with other content.
    IdReused,
    /// The content cannot be put in force.
    Invalid {
        /// Why.
        fault: String,
    },
}

/// One object's new state, as sent to instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// Its state.
    pub held: Held,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Answered {
    change: u64,
    answer: Changed,
}

/// All configuration, with the log index of its last change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Log index of the last accepted change.
    pub index: u64,
    objects: BTreeMap<(Kind, String), Held>,
    by_index: BTreeMap<u64, (Kind, String)>,
    answers: BTreeMap<String, Answered>,
    order: VecDeque<String>,
}

impl Config {
    /// The object as it stands, deleted ones included.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Held> {
        self.objects.get(&(kind, name.to_owned()))
    }

    /// All objects of one kind that exist, by name.
    pub fn iter_kind(&self, kind: Kind) -> impl Iterator<Item = (&str, &Held)> {
        let first = (kind, String::new());
        let of_kind = self.objects.range(first..).take_while(move |((held, _), _)| *held == kind);
        of_kind.filter(|(_, held)| held.object.is_some()).map(|((_, name), held)| (name.as_str(), held))
    }

    /// Objects changed after log index `after`, oldest change first, at most `limit`.
    pub fn deltas_after(&self, after: u64, limit: usize) -> Vec<Delta> {
        let changed = self.by_index.range(after + 1..).take(limit);
        let to_delta = |key: &(Kind, String)| {
            let held = self.objects.get(key)?.clone();
            Some(Delta { kind: key.0, name: key.1.clone(), held })
        };
        changed.filter_map(|(_, key)| to_delta(key)).collect()
    }

    /// Applies one delta; older ones than what stands are passed over. Returns whether it was taken.
    pub fn take_delta(&mut self, delta: Delta) -> bool {
        let standing = self.get(delta.kind, &delta.name).map_or(0, |held| held.index);
        if delta.held.index <= standing {
            return false;
        }
        self.put(delta.kind, delta.name, delta.held);
        true
    }

    /// Applies a change at log index `index`.
    pub fn apply(&mut self, index: u64, change: Change) -> Changed {
        let print = fingerprint(&change);
        if let Some(earlier) = self.answers.get(&change.id) {
            return if earlier.change == print { earlier.answer.clone() } else { Changed::IdReused };
        }
        let id = change.id.clone();
        let answer = self.decide(index, change);
        self.remember(id, print, answer.clone());
        answer
    }

    fn decide(&mut self, index: u64, change: Change) -> Changed {
        if let Some(fault) = fault_of(&change) {
            return Changed::Invalid { fault: fault.to_owned() };
        }
        let nothing = Held { number: 0, index: 0, object: None };
        let standing = self.get(change.kind, &change.name).cloned().unwrap_or(nothing);
        if standing.number != change.replaces {
            return Changed::Conflict { standing };
        }
        let number = standing.number + 1;
        self.put(change.kind, change.name, Held { number, index, object: change.object });
        Changed::Accepted { number, index }
    }

    fn put(&mut self, kind: Kind, name: String, held: Held) {
        let key = (kind, name);
        if let Some(before) = self.objects.get(&key) {
            self.by_index.remove(&before.index);
        }
        self.index = self.index.max(held.index);
        self.by_index.insert(held.index, key.clone());
        self.objects.insert(key, held);
    }

    fn remember(&mut self, id: String, change: u64, answer: Changed) {
        self.order.push_back(id.clone());
        self.answers.insert(id, Answered { change, answer });
        if self.order.len() <= ANSWERS_KEPT {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.answers.remove(&oldest);
        }
    }
}

fn fault_of(change: &Change) -> Option<&'static str> {
    let object = change.object.as_ref()?;
    if object.kind() != change.kind {
        return Some("the content is of another kind than the change names");
    }
    object.fault()
}

/// Tells a change sent again from another change under the same id.
fn fingerprint(change: &Change) -> u64 {
    let bytes = rmp_serde::to_vec(change).unwrap_or_default();
    let digest = rudder_model::id::digest(&bytes);
    u64::from_le_bytes(digest[..8].try_into().unwrap_or_default())
}
