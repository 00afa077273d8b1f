//! A map that a leader replicates by deltas: the holder of an older version receives what has changed since.
//!
//! A version is the leader's term in the upper half and a counter in the lower. A new leader starts from its own copy, so
//! the holders of an earlier state of that copy need only a delta. The last version of each earlier leader is kept as the
//! lineage, to recognise copies with entries that the new leader never received; they get the whole map.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// A version of a map: the leader's term in the upper half, a counter in the lower.
pub type Version = u64;

/// Most removals kept; a copy that has missed more of them receives the whole map.
const MAX_REMOVALS: usize = 512;
/// Most changes of leader kept; a copy from before them receives the whole map.
const MAX_LINEAGE: usize = 8;

/// An entry in a delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedEntry<K, V> {
    /// Its key.
    pub key: K,
    /// Its value.
    pub value: V,
    /// Version at which it last changed.
    pub changed: Version,
}

/// What the holder of an older version lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta<K, V> {
    /// The version after this delta.
    pub version: Version,
    /// It holds all entries, not only the changed ones.
    pub whole: bool,
    /// New and changed entries.
    pub entries: Vec<VersionedEntry<K, V>>,
    /// Removed keys, each with the version of its removal.
    pub removed: Vec<(K, Version)>,
    /// The version from which each later leader started, oldest first.
    pub lineage: Vec<Version>,
}

impl<K, V> MapDelta<K, V> {
    /// True if it holds anything besides a newer version number.
    pub fn has_changes(&self) -> bool {
        self.whole || !self.entries.is_empty() || !self.removed.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Item<V> {
    value: V,
    /// Version of the last change by a leader; 0 if there is none.
    changed: Version,
    /// Set by this instance, and not yet confirmed by a leader.
    local: bool,
}

/// The map, at the leader or as a copy.
#[derive(Clone, Debug)]
pub struct DeltaMap<K, V> {
    items: BTreeMap<K, Item<V>>,
    removed: BTreeMap<K, Version>,
    version: Version,
    /// Removals up to this version may be missing from `removed`.
    forgotten: Version,
    lineage: VecDeque<Version>,
    /// Keys by the version of their last change by a leader, so that a delta needs no scan of all entries.
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

    /// True if there are no entries.
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

    /// Starts the versions of the leader of `term`. Entries set by this instance are replicated from now on.
    pub fn begin_term(&mut self, term: u64) {
        if self.version != 0 {
            self.lineage.push_back(self.version);
        }
        if self.lineage.len() > MAX_LINEAGE {
            self.lineage.pop_front();
        }
        self.version = term << 32;
        let local: Vec<K> = self.items.iter().filter(|(_, item)| item.local).map(|(key, _)| key.clone()).collect();
        for key in local {
            self.version += 1;
            self.mark(&key, self.version, false);
        }
    }

    /// Sets the version of an entry's last change, and whether it was set by this instance.
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

    /// Drops an entry. Returns whether it existed.
    fn drop_entry(&mut self, key: &K) -> bool {
        let Some(item) = self.items.remove(key) else { return false };
        self.by_change.remove(&(item.changed, key.clone()));
        true
    }

    fn retain(&mut self, keep: impl Fn(&K, &Item<V>) -> bool) {
        let by_change = &mut self.by_change;
        self.items.retain(|key, item| {
            let kept = keep(key, item);
            if !kept {
                by_change.remove(&(item.changed, key.clone()));
            }
            kept
        });
    }

    /// Sets an entry, at the leader. An equal value is no change.
    pub fn set(&mut self, key: K, value: V) {
        if self.items.get(&key).is_some_and(|item| item.value == value && !item.local) {
            return;
        }
        self.version += 1;
        self.removed.remove(&key);
        self.insert(key, value, self.version, false);
    }

    /// Sets the value of an entry at the leader without a new version, so that it isn't replicated.
    pub fn set_unversioned(&mut self, key: &K, value: V) {
        if let Some(item) = self.items.get_mut(key) {
            item.value = value;
        }
    }

    /// Removes an entry, at the leader.
    pub fn remove(&mut self, key: &K) {
        if !self.drop_entry(key) {
            return;
        }
        self.version += 1;
        self.removed.insert(key.clone(), self.version);
        if self.removed.len() > MAX_REMOVALS {
            self.forget_oldest_removal();
        }
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
        let Some((key, version)) = oldest.map(|(key, version)| (key.clone(), *version)) else { return };
        self.removed.remove(&key);
        self.forgotten = self.forgotten.max(version);
    }

    /// Sets an entry at a copy. The leader's next change of it may replace it.
    pub fn set_local(&mut self, key: K, value: V) {
        let changed = self.items.get(&key).map_or(0, |item| item.changed);
        self.insert(key, value, changed, true);
    }

    /// Keeps the entries for which `keep` is true, without replicating the removals; a leader uses [`DeltaMap::remove`].
    pub fn retain_local(&mut self, keep: impl Fn(&K, &V) -> bool) {
        self.retain(|key, item| keep(key, &item.value));
    }

    /// Keeps the entries that came from a leader and for which `keep` is true.
    pub fn retain_replicated(&mut self, keep: impl Fn(&V) -> bool) {
        self.retain(|_, item| item.changed > 0 && keep(&item.value));
    }

    /// Resets the version, so that the leader sends all entries again.
    pub fn reset_version(&mut self) {
        self.version = 0;
    }

    /// The delta for a copy at version `held`; `None` if the copy isn't older than this map.
    pub fn delta_since(&self, held: Version) -> Option<MapDelta<K, V>> {
        self.delta_for(held, usize::MAX, false, |_| Some(0))
    }

    /// The delta for a copy at version `held` that receives only some entries, limited to about `limit` entries with the
    /// oldest changes. `included_since` returns the version since which the copy receives a value, or `None` if it doesn't.
    /// `rescan` must be true if that may be later than `held` for a value that hasn't changed since.
    pub fn delta_for(
        &self,
        held: Version,
        limit: usize,
        rescan: bool,
        included_since: impl Fn(&V) -> Option<Version>,
    ) -> Option<MapDelta<K, V>> {
        if held >= self.version {
            return None;
        }
        // An empty copy lacks no removals.
        let whole = held > 0 && !self.has_prefix(held);
        let to_entry = |(at, key): &(Version, K)| {
            let value = &self.items.get(key)?.value;
            let changed = included_since(value)?.max(*at);
            (whole || changed > held).then(|| VersionedEntry { key: key.clone(), value: value.clone(), changed })
        };
        let all = whole || rescan;
        let first = if all { 0 } else { held };
        let known = self.by_change.iter().rev().take_while(|(changed, _)| *changed > first);
        let mut entries: Vec<VersionedEntry<K, V>> = known.filter_map(to_entry).collect();
        entries.reverse();
        let version = if whole { self.version } else { truncate(&mut entries, limit).unwrap_or(self.version) };
        let removed = self.removed.iter().filter(|(_, at)| !whole && held > 0 && **at > held && **at <= version);
        Some(MapDelta {
            version,
            whole,
            entries,
            removed: removed.map(|(key, version)| (key.clone(), *version)).collect(),
            lineage: self.lineage.iter().copied().collect(),
        })
    }

    /// Starts a new version without a change of an entry.
    pub fn advance(&mut self) -> Version {
        self.version += 1;
        self.version
    }

    /// True if the copy at version `held` is an earlier state of this map and all removals since are known.
    fn has_prefix(&self, held: Version) -> bool {
        let term = |version: Version| version >> 32;
        let same = term(held) == term(self.version);
        let followed = self.lineage.iter().any(|last| term(*last) == term(held) && held <= *last);
        held > 0 && held >= self.forgotten && (same || followed)
    }

    /// Applies a delta, unless it is older than this copy. `accepts` returns whether a received value, its second argument,
    /// replaces the one held; `keeps` returns whether an entry that the leader removed stays. Returns whether it was applied.
    pub fn apply(
        &mut self,
        delta: MapDelta<K, V>,
        accepts: impl Fn(&V, &V) -> bool,
        keeps: impl Fn(&K, &V) -> bool,
    ) -> bool {
        if delta.version <= self.version {
            return false;
        }
        if self.version == 0 {
            // The delta for an empty copy holds no removals.
            self.forgotten = delta.version;
        }
        self.version = delta.version;
        self.lineage = delta.lineage.into();
        if delta.whole {
            self.forgotten = delta.version;
            self.removed.clear();
            let named: BTreeSet<&K> = delta.entries.iter().map(|entry| &entry.key).collect();
            self.retain(|key, item| named.contains(key) || keeps(key, &item.value));
            let kept: Vec<K> = self.items.keys().filter(|key| !named.contains(key)).cloned().collect();
            for key in kept {
                self.mark(&key, 0, true);
            }
        }
        for entry in delta.entries {
            self.take_entry(entry, &accepts);
        }
        for (key, version) in delta.removed {
            match self.items.get(&key) {
                Some(item) if keeps(&key, &item.value) => self.mark(&key, 0, true),
                _ => drop(self.drop_entry(&key)),
            }
            self.removed.insert(key, version);
        }
        while self.removed.len() > MAX_REMOVALS {
            self.forget_oldest_removal();
        }
        true
    }

    fn take_entry(&mut self, entry: VersionedEntry<K, V>, accepts: &impl Fn(&V, &V) -> bool) {
        let VersionedEntry { key, value, changed } = entry;
        self.removed.remove(&key);
        match self.items.get(&key) {
            Some(held) if !accepts(&held.value, &value) => self.mark(&key, changed, true),
            _ => self.insert(key, value, changed, false),
        }
    }
}

/// Keeps the `limit` entries that changed first, and those of the same version as the last of them. Returns that version if
/// entries were left out.
fn truncate<K, V>(entries: &mut Vec<VersionedEntry<K, V>>, limit: usize) -> Option<Version> {
    if entries.len() <= limit {
        return None;
    }
    entries.sort_by_key(|entry| entry.changed);
    let last = entries.get(limit.checked_sub(1)?)?.changed;
    let kept = entries.partition_point(|entry| entry.changed <= last);
    let left_out = kept < entries.len();
    entries.truncate(kept);
    left_out.then_some(last)
}
