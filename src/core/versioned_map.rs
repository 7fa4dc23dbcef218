//! Keeps a map with a count of its changes, so that others can be told what
//! changed since a count that they have reached.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

/// Keeps a map with a count of its changes.
#[derive(Clone, Debug)]
pub struct VersionedMap<K, V> {
    count: u64,
    entries: BTreeMap<K, (u64, V)>,
    removed: VecDeque<(u64, K)>,
    /// The count before which removals are no longer known.
    removals_since: u64,
}

/// Says what changed in a map.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapDelta<K, V> {
    /// The count that the change leads to.
    pub count: u64,
    /// Whether the change replaces all that was held.
    pub whole: bool,
    /// What is new or changed.
    pub put: Vec<(K, V)>,
    /// What is gone.
    pub removed: Vec<K>,
}

/// The most removals that are remembered.
const REMOVED_MAX: usize = 1000;

impl<K, V> Default for VersionedMap<K, V> {
    fn default() -> Self {
        Self { count: 0, entries: BTreeMap::new(), removed: VecDeque::new(), removals_since: 0 }
    }
}

impl<K: Clone + Ord, V: Clone> VersionedMap<K, V> {
    /// Returns how many changes were counted.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns how many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Iterates over the entries.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, (_, value))| (key, value))
    }

    /// Sets the value of a key and counts a change.
    pub fn put(&mut self, key: K, value: V) {
        self.count += 1;
        self.entries.insert(key, (self.count, value));
    }

    /// Removes a key and counts a change, if it was there.
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

    /// Removes the keys for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        let removed: Vec<K> = self.entries.keys().filter(|key| !keep(key)).cloned().collect();
        removed.iter().for_each(|key| self.remove(key));
    }

    /// Takes over what somebody else counted.
    pub fn apply(&mut self, change: MapDelta<K, V>) {
        if change.whole {
            let put: BTreeSet<&K> = change.put.iter().map(|(key, _)| key).collect();
            self.retain(|key| put.contains(key));
        }
        change.removed.iter().for_each(|key| self.remove(key));
        change.put.into_iter().for_each(|(key, value)| self.put(key, value));
    }

    /// Returns what changed since `count`, or all there is when that is not
    /// known.
    pub fn changes_since(&self, count: Option<u64>) -> MapDelta<K, V> {
        let known = count.filter(|count| (self.removals_since..=self.count).contains(count));
        let after = known.unwrap_or(0);
        let put = self.entries.iter().filter(|(_, (changed, _))| *changed > after);
        let put = put.map(|(key, (_, value))| (key.clone(), value.clone())).collect();
        let removed = self.removed.iter().filter(|(at, _)| known.is_some() && *at > after);
        let removed = removed.map(|(_, key)| key.clone()).collect();
        MapDelta { count: self.count, whole: known.is_none(), put, removed }
    }
}
