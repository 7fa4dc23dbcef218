//! Keeps the list of upstreams as of its newest reading.

use std::time::Duration;

use super::{ListedUpstream, ListedUpstreams, UpstreamId};
use crate::core::{MapDelta, VersionedMap};

/// Keeps the list of upstreams as of its newest reading.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    entries: VersionedMap<UpstreamId, Entry>,
    read_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: ListedUpstream,
    cold_until: Duration,
}

/// Cold times that differ by less count as the same.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

impl UpstreamList {
    /// Returns how many changes were counted.
    pub fn count(&self) -> u64 {
        self.entries.count()
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

    /// Iterates over the upstreams, with whether each is cold at `now`.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (&ListedUpstream, bool)> {
        self.entries.iter().map(move |(_, entry)| (&entry.upstream, now < entry.cold_until))
    }

    /// Replaces the list by one that was read at `read_at`, unless a newer
    /// one is held. Returns whether anything changed.
    pub fn replace(&mut self, listing: ListedUpstreams, read_at: Duration) -> bool {
        if self.read_at.is_some_and(|held| held >= read_at) {
            return false;
        }
        self.read_at = Some(read_at);
        let before = self.count();
        self.entries.retain(|id| listing.contains_key(id));
        listing.into_values().for_each(|upstream| self.put(upstream, read_at));
        self.count() != before
    }

    /// Notes that a list read at `read_at` says the same as the one held.
    pub fn confirm(&mut self, read_at: Duration) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Takes over a change that somebody else counted, as of `read_at`,
    /// unless a newer list is held.
    pub fn apply(&mut self, change: MapDelta<UpstreamId, ListedUpstream>, read_at: Duration) {
        if self.read_at.is_some_and(|held| held > read_at) {
            return;
        }
        if change.whole {
            self.replace(change.put.into_iter().collect(), read_at);
            return;
        }
        self.read_at = Some(read_at);
        change.removed.iter().for_each(|id| self.entries.remove(id));
        change.put.into_iter().for_each(|(_, upstream)| self.put(upstream, read_at));
    }

    /// Returns what changed since `count`, with cold times as of `now`.
    pub fn changes_since(
        &self,
        count: Option<u64>,
        now: Duration,
    ) -> MapDelta<UpstreamId, ListedUpstream> {
        let MapDelta { count, whole, put, removed } = self.entries.changes_since(count);
        let as_of_now = |entry: Entry| ListedUpstream {
            cold_left: entry.cold_until.saturating_sub(now),
            ..entry.upstream
        };
        let put = put.into_iter().map(|(id, entry)| (id, as_of_now(entry))).collect();
        MapDelta { count, whole, put, removed }
    }

    fn put(&mut self, upstream: ListedUpstream, read_at: Duration) {
        let cold_until = read_at + upstream.cold_left;
        let is_unchanged = self.entries.get(&upstream.id).is_some_and(|held| {
            let listed = ListedUpstream { cold_left: upstream.cold_left, ..held.upstream.clone() };
            let cold = !upstream.cold_left.is_zero() || held.cold_until > read_at;
            listed == upstream && (!cold || held.cold_until.abs_diff(cold_until) < COLD_TOLERANCE)
        });
        if !is_unchanged {
            self.entries.put(upstream.id.clone(), Entry { upstream, cold_until });
        }
    }
}
