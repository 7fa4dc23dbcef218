//! Provides a map that can report what changed since an earlier version.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Represents a map whose version is the number of its changes.
///
/// A reader passes the version that it already has and gets only the later changes.
#[derive(Clone, Debug)]
pub struct VersionedMap<K, V> {
    version: u64,
    /// The values, each with the version that set it.
    entries: BTreeMap<K, (u64, V)>,
    /// The removed keys, each with the version that removed it, in ascending order.
    removals: VecDeque<(u64, K)>,
    /// The version of the newest discarded removal; removals up to it are unknown.
    removals_known_since: u64,
}

/// Represents the changes of a map between two versions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapDelta<K, V> {
    /// The version of the map after the changes.
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
            removals: VecDeque::new(),
            removals_known_since: 0,
        }
    }
}

impl<K: Clone + Ord, V: Clone> VersionedMap<K, V> {
    /// Returns the version, which is the number of changes so far.
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

    /// Sets the value of a key, which advances the version.
    pub fn put(&mut self, key: K, value: V) {
        self.version += 1;
        self.entries.insert(key, (self.version, value));
    }

    /// Removes a key, which advances the version if the key was present.
    pub fn remove(&mut self, key: &K) {
        if self.entries.remove(key).is_none() {
            return;
        }
        self.version += 1;
        self.removals.push_back((self.version, key.clone()));
        while self.removals.len() > REMOVED_MAX {
            if let Some((version, _)) = self.removals.pop_front() {
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
    /// This map counts the changes itself and does not adopt the other map's
    /// version.
    pub fn apply_delta(&mut self, delta: MapDelta<K, V>) {
        if delta.is_full {
            let put: BTreeSet<&K> = delta.put.iter().map(|(key, _)| key).collect();
            self.retain(|key| put.contains(key));
        }
        delta.removed.iter().for_each(|key| self.remove(key));
        delta.put.into_iter().for_each(|(key, value)| self.put(key, value));
    }

    /// Returns what changed since `version`, or all entries if `version` is
    /// `None`, is ahead of this map, or is older than a discarded removal.
    pub fn delta_since(&self, version: Option<u64>) -> MapDelta<K, V> {
        let base_version =
            version.filter(|version| (self.removals_known_since..=self.version).contains(version));
        let after_version = base_version.unwrap_or(0);
        let put = self.entries.iter().filter(|(_, (set_version, _))| *set_version > after_version);
        let put = put.map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        let removed = self.removals.iter().filter(|(removal_version, _)| {
            base_version.is_some() && *removal_version > after_version
        });
        let removed = removed.map(|(_, key)| key.clone()).collect();
        MapDelta { version: self.version, is_full: base_version.is_none(), put, removed }
    }
}
