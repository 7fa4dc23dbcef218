//! Provides a map that can report what changed since an earlier version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Represents a map that counts its changes.
///
/// The count serves as a version: a reader names the count that it has reached
/// and is sent only what changed after it.
#[derive(Clone, Debug)]
pub struct VersionedMap<K, V> {
    count: u64,
    entries: BTreeMap<K, (u64, V)>,
    removed: VecDeque<(u64, K)>,
    /// The count of the newest discarded removal; earlier removals are unknown.
    removals_since: u64,
}

/// Represents the changes of a map between two counts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapDelta<K, V> {
    /// The count of the map after the changes.
    pub count: u64,
    /// Whether `put` holds all entries and replaces the map.
    pub whole: bool,
    /// The new and changed entries.
    pub put: Vec<(K, V)>,
    /// The keys that were removed.
    pub removed: Vec<K>,
}

/// The maximum number of removals kept; older ones are discarded.
const REMOVED_MAX: usize = 1000;

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self { count: 0, entries: BTreeMap::new(), removed: VecDeque::new(), removals_since: 0 }
    }
}

impl<K: Clone + Ord, V: Clone> VersionedMap<K, V> {
    /// Returns the number of changes so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Returns an iterator over the entries, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, (_, value))| (key, value))
    }

    /// Sets the value of a key and counts a change.
    pub fn put(&mut self, key: K, value: V) {
        self.count += 1;
        self.entries.insert(key, (self.count, value));
    }

    /// Removes a key and counts a change if the key was present.
    pub fn remove(&mut self, key: &K) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.count += 1;
        self.removed.push_back((self.count, key.clone()));
        while self.removed.len() > REMOVED_MAX {
            if let Some((count, _)) = self.removed.pop_front() {
                self.removals_since = count;
            }
        }
    }

    /// Removes the keys for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        let removed: Vec<K> = self.entries.keys().filter(|key| !keep(key)).cloned().collect();
        removed.iter().for_each(|key| self.remove(key));
    }

    /// Applies a delta taken from another map.
    ///
    /// The changes are counted by this map; the other map's count is not
    /// adopted.
    pub fn apply(&mut self, change: MapDelta<K, V>) {
        if change.whole {
            let put: BTreeSet<&K> = change.put.iter().map(|(key, _)| key).collect();
            self.retain(|key| put.contains(key));
        }
        change.removed.iter().for_each(|key| self.remove(key));
        change.put.into_iter().for_each(|(key, value)| self.put(key, value));
    }

    /// Returns what changed since `count`, or all entries if `count` is `None`,
    /// is ahead of this map, or is older than a discarded removal.
    pub fn changes_since(&self, count: Option<u64>) -> MapDelta<K, V> {
        let base = count.filter(|count| (self.removals_since..=self.count).contains(count));
        let after = base.unwrap_or(0);
        let put = self.entries.iter().filter(|(_, (changed, _))| *changed > after);
        let put = put.map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        let removed = self.removed.iter().filter(|(at, _)| base.is_some() && *at > after);
        let removed = removed.map(|(_, key)| key.clone()).collect();
        MapDelta { count: self.count, whole: base.is_none(), put, removed }
    }
}
