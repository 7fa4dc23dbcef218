//! Provides a map that can report what changed since an earlier version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Represents a map that counts its changes.
///
/// The count serves as a version: a reader names the count that it has reached
/// and is sent only what changed after it.
#[derive(Clone, Debug)]
pub struct VersionedMap<K, V> {
    version: u64,
    entries: BTreeMap<K, (u64, V)>,
    removed: VecDeque<(u64, K)>,
    /// The count of the newest discarded removal; earlier removals are unknown.
    removals_known_since: u64,
}

/// Represents the changes of a map between two counts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapDelta<K, V> {
    /// The count of the map after the changes.
    #[serde(rename = "count")]
    pub version: u64,
    /// Whether `put` holds all entries and replaces the map.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The new and changed entries.
    pub put: Vec<(K, V)>,
    /// The keys that were removed.
    pub removed: Vec<K>,
}

/// The maximum number of removals kept; older ones are discarded.
const REMOVED_MAX: usize = 1000;

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self {
            version: 0,
            entries: BTreeMap::new(),
            removed: VecDeque::new(),
            removals_known_since: 0,
        }
    }
}

impl<K: Clone + Ord, V: Clone> VersionedMap<K, V> {
    /// Returns the number of changes so far.
    pub fn version(&self) -> u64 {
        self.version
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
        self.version += 1;
        self.entries.insert(key, (self.version, value));
    }

    /// Removes a key and counts a change if the key was present.
    pub fn remove(&mut self, key: &K) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.version += 1;
        self.removed.push_back((self.version, key.clone()));
        while self.removed.len() > REMOVED_MAX {
            if let Some((version, _)) = self.removed.pop_front() {
                self.removals_known_since = version;
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
    pub fn apply_delta(&mut self, delta: MapDelta<K, V>) {
        if delta.is_full {
            let put: BTreeSet<&K> = delta.put.iter().map(|(key, _)| key).collect();
            self.retain(|key| put.contains(key));
        }
        delta.removed.iter().for_each(|key| self.remove(key));
        delta.put.into_iter().for_each(|(key, value)| self.put(key, value));
    }

    /// Returns what changed since `count`, or all entries if `count` is `None`,
    /// is ahead of this map, or is older than a discarded removal.
    pub fn delta_since(&self, version: Option<u64>) -> MapDelta<K, V> {
        let base =
            version.filter(|version| (self.removals_known_since..=self.version).contains(version));
        let after = base.unwrap_or(0);
        let put = self.entries.iter().filter(|(_, (changed, _))| *changed > after);
        let put = put.map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        let removed = self.removed.iter().filter(|(at, _)| base.is_some() && *at > after);
        let removed = removed.map(|(_, key)| key.clone()).collect();
        MapDelta { version: self.version, is_full: base.is_none(), put, removed }
    }
}
