//! Keeps the list of upstreams with a count of its changes, so that others
//! can be told what changed.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{ListedUpstream, Listing, UpstreamId};

/// Keeps the list of upstreams with a count of its changes.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    count: u64,
    entries: BTreeMap<UpstreamId, Entry>,
    removed: VecDeque<(u64, UpstreamId)>,
    /// The count before which removals are no longer known.
    removed_from: u64,
    read_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Entry {
    changed: u64,
    upstream: ListedUpstream,
    cold_until: Duration,
}

/// Says what changed in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LedgerChange {
    /// The count that the change leads to.
    pub count: u64,
    /// Whether the change replaces all that was held.
    pub whole: bool,
    /// The upstreams that are new or changed.
    pub put: Vec<ListedUpstream>,
    /// The upstreams that are gone.
    pub removed: Vec<UpstreamId>,
}

/// The most removals that are remembered.
const REMOVED_MAX: usize = 1000;
/// Cold times that differ by less count as the same.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

impl Ledger {
    /// Returns how many changes were counted.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns when the list that is held was read.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Returns how many upstreams are listed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Replaces the list by one that was read at `read_at`, unless a newer
    /// one is held. Returns whether anything changed.
    pub fn replace(&mut self, listing: Listing, read_at: Duration) -> bool {
        if self.read_at.is_some_and(|held| held >= read_at) {
            return false;
        }
        self.read_at = Some(read_at);
        let before = self.count;
        let gone: Vec<UpstreamId> =
            self.entries.keys().filter(|id| !listing.contains_key(*id)).cloned().collect();
        gone.iter().for_each(|id| self.remove(id));
        listing.into_values().for_each(|upstream| self.put(upstream, read_at));
        self.count != before
    }

    /// Notes that a list read at `read_at` says the same as the one held.
    pub fn confirm(&mut self, read_at: Duration) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Takes over a change that somebody else counted, as of `read_at`,
    /// unless a newer list is held.
    pub fn merge(&mut self, change: LedgerChange, read_at: Duration) {
        if self.read_at.is_some_and(|held| held > read_at) {
            return;
        }
        if change.whole {
            let listing = change.put.into_iter().map(|u| (u.id.clone(), u)).collect();
            self.replace(listing, read_at);
            return;
        }
        self.read_at = Some(read_at);
        change.removed.iter().for_each(|id| self.remove(id));
        change.put.into_iter().for_each(|upstream| self.put(upstream, read_at));
    }

    /// Returns what changed since `count`, with cold times as of `now`.
    pub fn change_since(&self, count: Option<u64>, now: Duration) -> LedgerChange {
        let known = count.filter(|count| *count >= self.removed_from && *count <= self.count);
        let after = known.unwrap_or(0);
        let put = self
            .entries
            .values()
            .filter(|entry| known.is_none() || entry.changed > after)
            .map(|entry| ListedUpstream {
                cold_left: entry.cold_until.saturating_sub(now),
                ..entry.upstream.clone()
            })
            .collect();
        let removed = self.removed.iter().filter(|(at, _)| known.is_some() && *at > after);
        let removed = removed.map(|(_, id)| id.clone()).collect();
        LedgerChange { count: self.count, whole: known.is_none(), put, removed }
    }

    fn put(&mut self, upstream: ListedUpstream, read_at: Duration) {
        let cold_until = read_at + upstream.cold_left;
        let same = self.entries.get(&upstream.id).is_some_and(|held| {
            let listed = ListedUpstream { cold_left: upstream.cold_left, ..held.upstream.clone() };
            let cold = !upstream.cold_left.is_zero() || held.cold_until > read_at;
            listed == upstream && (!cold || held.cold_until.abs_diff(cold_until) < COLD_TOLERANCE)
        });
        if same {
            return;
        }
        self.count += 1;
        let entry = Entry { changed: self.count, upstream, cold_until };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    fn remove(&mut self, id: &UpstreamId) {
        if self.entries.remove(id).is_none() {
            return;
        }
        self.count += 1;
        self.removed.push_back((self.count, id.clone()));
        while self.removed.len() > REMOVED_MAX {
            if let Some((count, _)) = self.removed.pop_front() {
                self.removed_from = count;
            }
        }
    }
}
