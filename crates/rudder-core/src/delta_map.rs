//! Entries that a leader keeps and spreads as deltas: whoever holds an older version is told what changed since.
//!
//! Versions are the leader's term in the upper half and a counter in the lower. A new leader goes on from the copy
//! that it has, so those who hold no more than that copy need only what changed after it; the versions at which
//! leaders followed each other are kept to tell them from those who saw entries that the new leader never had.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// A version of the entries: the leader's term in the upper half, a counter in the lower.
pub type Version = u64;

/// Removals remembered; who has missed more of them is told everything.
const REMOVED_MOST: usize = 512;
/// Changes of leader remembered; who holds a copy from before is told everything.
const LINEAGE_MOST: usize = 8;

/// An entry as it is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedEntry<K, V> {
    /// Its key.
    pub key: K,
    /// Its value.
    pub value: V,
    /// Version at which it last changed.
    pub changed: Version,
}

/// What a holder of an older version lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta<K, V> {
    /// The version that this leads to.
    pub version: Version,
    /// All there is, not only what changed.
    pub whole: bool,
    /// Entries that are new or have changed.
    pub entries: Vec<VersionedEntry<K, V>>,
    /// Keys that were removed, each with the version of its removal.
    pub removed: Vec<(K, Version)>,
    /// The last version of each earlier leader that the leaders after it went on from, oldest first.
    pub lineage: Vec<Version>,
}

impl<K, V> MapDelta<K, V> {
    /// True where it says more than that nothing has changed up to its version.
    pub fn has_changes(&self) -> bool {
        self.whole || !self.entries.is_empty() || !self.removed.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Item<V> {
    value: V,
    /// Version of the last change that a leader made.
    changed: Version,
    /// Learned here and not, or not so, from a leader.
    local: bool,
}

/// The entries, at the leader or as a copy.
#[derive(Clone, Debug)]
pub struct DeltaMap<K, V> {
    items: BTreeMap<K, Item<V>>,
    removed: BTreeMap<K, Version>,
    version: Version,
    /// Removals up to this version may be forgotten.
    forgotten: Version,
    lineage: VecDeque<Version>,
    /// The keys of what leaders told, by the version of its last change: of thousands of entries few have changed since a
    /// question before.
    by_change: BTreeSet<(Version, K)>,
}

impl<K, V> Default for DeltaMap<K, V> {
    fn default() -> Self {
        DeltaMap {
            items: BTreeMap::new(),
            removed: BTreeMap::new(),
            version: 0,
            forgotten: 0,
            lineage: VecDeque::new(),
            by_change: BTreeSet::new(),
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> DeltaMap<K, V> {
    /// The version held.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// True where there are none.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The value of `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.items.get(key).map(|item| &item.value)
    }

    /// All keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.items.keys()
    }

    /// All values, in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &V> + Clone {
        self.items.values().map(|item| &item.value)
    }

    /// Begins the versions of a leader of `term`. What was learned here alone is told to all from now on.
    pub fn begin_term(&mut self, term: u64) {
        if self.version != 0 {
            self.lineage.push_back(self.version);
        }
        if self.lineage.len() > LINEAGE_MOST {
            self.lineage.pop_front();
        }
        self.version = term << 32;
        let local: Vec<K> = self.items.iter().filter(|(_, item)| item.local).map(|(key, _)| key.clone()).collect();
        for key in local {
            self.version += 1;
            self.mark(&key, self.version, false);
        }
    }

    /// Sets the version at which an entry changed last, and whether it was learned here.
    fn mark(&mut self, key: &K, changed: Version, local: bool) {
        let Some(item) = self.items.get_mut(key) else { return };
        self.by_change.remove(&(item.changed, key.clone()));
        (item.changed, item.local) = (changed, local);
        if changed > 0 {
            self.by_change.insert((changed, key.clone()));
        }
    }

    fn insert(&mut self, key: K, value: V, changed: Version, local: bool) {
        self.drop_entry(&key);
        if changed > 0 {
            self.by_change.insert((changed, key.clone()));
        }
        self.items.insert(key, Item { value, changed, local });
    }

    /// Drops an entry. Returns whether there was one.
    fn drop_entry(&mut self, key: &K) -> bool {
        let Some(item) = self.items.remove(key) else { return false };
        self.by_change.remove(&(item.changed, key.clone()));
        true
    }

    fn retain(&mut self, kept: impl Fn(&K, &Item<V>) -> bool) {
        let by_change = &mut self.by_change;
        self.items.retain(|key, item| {
            let keeps = kept(key, item);
            if !keeps {
                by_change.remove(&(item.changed, key.clone()));
            }
            keeps
        });
    }

    /// The leader's own change of an entry; the same value again is none.
    pub fn set(&mut self, key: K, value: V) {
        if self.items.get(&key).is_some_and(|item| item.value == value && !item.local) {
            return;
        }
        self.version += 1;
        self.removed.remove(&key);
        self.insert(key, value, self.version, false);
    }

    /// The leader's change of a value that nobody else needs to know of; there is no new version of it.
    pub fn set_unversioned(&mut self, key: &K, value: V) {
        if let Some(item) = self.items.get_mut(key) {
            item.value = value;
        }
    }

    /// The leader's removal of an entry, where there is one.
    pub fn remove(&mut self, key: &K) {
        if !self.drop_entry(key) {
            return;
        }
        self.version += 1;
        self.removed.insert(key.clone(), self.version);
        if self.removed.len() > REMOVED_MOST {
            self.forget_oldest_removal();
        }
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
        let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else { return };
        self.removed.remove(&key);
        self.forgotten = self.forgotten.max(version);
    }

    /// Puts in what was learned here; the leader's next word on it may replace it.
    pub fn set_local(&mut self, key: K, value: V) {
        let changed = self.items.get(&key).map_or(0, |item| item.changed);
        self.insert(key, value, changed, true);
    }

    /// Drops entries here alone, where `kept` says so; a leader uses [`DeltaMap::remove`].
    pub fn retain_local(&mut self, kept: impl Fn(&K, &V) -> bool) {
        self.retain(|key, item| kept(key, &item.value));
    }

    /// Drops entries here that no leader has told, and those that `kept` does not name.
    pub fn retain_replicated(&mut self, kept: impl Fn(&V) -> bool) {
        self.retain(|_, item| item.changed > 0 && kept(&item.value));
    }

    /// Takes the entries held for none of what the leader holds, so that all is told again.
    pub fn reset_version(&mut self) {
        self.version = 0;
    }

    /// What the holder of `held` lacks; `None` where that is nothing, or where it holds something newer.
    pub fn delta_since(&self, held: Version) -> Option<MapDelta<K, V>> {
        self.delta_for(held, usize::MAX, false, |_| Some(0))
    }

    /// What the holder of `held` lacks of the entries that it is told of, the oldest `most` of it. `told_since` says of a value
    /// since which version it is told of it, if at all; `anew` is true where it may be told since after `held` of what has not
    /// changed since.
    pub fn delta_for(
        &self,
        held: Version,
        most: usize,
        anew: bool,
        told_since: impl Fn(&V) -> Option<Version>,
    ) -> Option<MapDelta<K, V>> {
        if held >= self.version {
            return None;
        }
        // Who holds nothing lacks no removals.
        let whole = held > 0 && !self.has_prefix(held);
        let to_told = |(at, key): &(Version, K)| {
            let value = &self.items.get(key)?.value;
            let changed = told_since(value)?.max(*at);
            (whole || changed > held).then(|| VersionedEntry { key: key.clone(), value: value.clone(), changed })
        };
        let all = whole || anew;
        let first = if all { 0 } else { held };
        let known = self.by_change.iter().rev().take_while(|(changed, _)| *changed > first);
        let mut entries: Vec<VersionedEntry<K, V>> = known.filter_map(to_told).collect();
        entries.reverse();
        let version = if whole { self.version } else { truncate(&mut entries, most).unwrap_or(self.version) };
        let removed = self.removed.iter().filter(|(_, at)| !whole && held > 0 && **at > held && **at <= version);
        Some(MapDelta {
            version,
            whole,
            entries,
            removed: removed.map(|(key, version)| (key.clone(), *version)).collect(),
            lineage: self.lineage.iter().copied().collect(),
        })
    }

    /// A new version, in which no entry has changed.
    pub fn advance(&mut self) -> Version {
        self.version += 1;
        self.version
    }

    /// True where the copy at `held` is an earlier state of this one whose removals since are all known.
    fn has_prefix(&self, held: Version) -> bool {
        let term = |version: Version| version >> 32;
        let same = term(held) == term(self.version);
        let followed = self.lineage.iter().any(|last| term(*last) == term(held) && held <= *last);
        held > 0 && held >= self.forgotten && (same || followed)
    }

    /// Applies news, unless they are older than what is held. `accepts` tells of a held and a told value whether the
    /// told one replaces it; `keeps` tells which entries stay that the news no longer name.
    pub fn apply(
        &mut self,
        news: MapDelta<K, V>,
        accepts: impl Fn(&V, &V) -> bool,
        keeps: impl Fn(&K, &V) -> bool,
    ) -> bool {
        if news.version <= self.version {
            return false;
        }
        if self.version == 0 {
            // What was removed before is not told to who holds nothing.
            self.forgotten = news.version;
        }
        self.version = news.version;
        self.lineage = news.lineage.into();
        if news.whole {
            self.forgotten = news.version;
            self.removed.clear();
            let named: BTreeSet<&K> = news.entries.iter().map(|told| &told.key).collect();
            self.retain(|key, item| named.contains(key) || keeps(key, &item.value));
            let kept: Vec<K> = self.items.keys().filter(|key| !named.contains(key)).cloned().collect();
            for key in kept {
                self.mark(&key, 0, true);
            }
        }
        for told in news.entries {
            self.take_entry(told, &accepts);
        }
        for (key, version) in news.removed {
            match self.items.get(&key) {
                Some(item) if keeps(&key, &item.value) => self.mark(&key, 0, true),
                _ => drop(self.drop_entry(&key)),
            }
            self.removed.insert(key, version);
        }
        while self.removed.len() > REMOVED_MOST {
            self.forget_oldest_removal();
        }
        true
    }

    fn take_entry(&mut self, told: VersionedEntry<K, V>, accepts: &impl Fn(&V, &V) -> bool) {
        let VersionedEntry { key, value, changed } = told;
        self.removed.remove(&key);
        match self.items.get(&key) {
            Some(held) if !accepts(&held.value, &value) => self.mark(&key, changed, true),
            _ => self.insert(key, value, changed, false),
        }
    }
}

/// Leaves the `most` entries that changed first, and those that changed with the last of them. Returns the version up to which
/// they go, where any are left out.
fn truncate<K, V>(entries: &mut Vec<VersionedEntry<K, V>>, most: usize) -> Option<Version> {
    if entries.len() <= most {
        return None;
    }
    entries.sort_by_key(|told| told.changed);
    let last = entries.get(most.checked_sub(1)?)?.changed;
    let kept = entries.partition_point(|told| told.changed <= last);
    let left_out = kept < entries.len();
    entries.truncate(kept);
    left_out.then_some(last)
}
