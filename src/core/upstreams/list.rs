//! The list of upstreams that a control replica maintains.

use std::time::Duration;

use super::{ListedUpstream, ListedUpstreams, UpstreamId};
use crate::core::{MapDelta, VersionedMap};

/// Represents the newest reading of the list of upstreams, with a version that
/// advances when a reading differs from the previous one.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    entries: VersionedMap<UpstreamId, ListEntry>,
    read_at: Option<Duration>,
}

/// Represents a listed upstream with the end of its cold time. The `cold_left` of
/// `upstream` is as of the reading that set the entry.
#[derive(Clone, Debug)]
struct ListEntry {
    upstream: ListedUpstream,
    cold_until: Duration,
}

/// Cold times whose ends differ by less count as equal. The end is the time at which a reading
/// ended plus the listed duration, so it varies a little between readings.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

impl UpstreamList {
    /// Returns the version, which is the number of changes so far.
    pub fn version(&self) -> u64 {
        self.entries.version()
    }

    /// Returns when the current list was read.
    pub fn read_at(&self) -> Option<Duration> {
        self.read_at
    }

    /// Returns the number of listed upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the upstream with this id as it was listed, with the cold time that it had when its
    /// entry last changed.
    pub fn get(&self, id: &UpstreamId) -> Option<&ListedUpstream> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Returns an iterator over the upstreams and whether each is cold at `now`.
    pub fn iter(&self, now: Duration) -> impl Iterator<Item = (&ListedUpstream, bool)> {
        self.entries.iter().map(move |(_, entry)| (&entry.upstream, now < entry.cold_until))
    }

    /// Replaces the list with one whose reading began at `read_at` and ended at `now`, unless the
    /// current one was read at the same time or later. Returns whether any upstream changed.
    pub fn replace(
        &mut self,
        upstreams: ListedUpstreams,
        read_at: Duration,
        now: Duration,
    ) -> bool {
        if self.read_at.is_some_and(|current| current >= read_at) {
            return false;
        }
        self.read_at = Some(read_at);
        let previous_version = self.version();
        self.entries.retain(|id| upstreams.contains_key(id));
        upstreams.into_values().for_each(|upstream| self.put(upstream, now));
        self.version() != previous_version
    }

    /// Records that the list read at `read_at` equals the current one.
    pub fn record_unchanged(&mut self, read_at: Duration) {
        self.read_at = self.read_at.max(Some(read_at));
    }

    /// Applies a delta of another process's list, which was read at `read_at` and arrives at
    /// `now`, unless the current list is newer. A full delta is also ignored if the current list
    /// is as new.
    ///
    /// Cold times in a delta are relative to its sending, however old the list is.
    pub fn apply_delta(
        &mut self,
        delta: MapDelta<UpstreamId, ListedUpstream>,
        read_at: Duration,
        now: Duration,
    ) {
        if self.read_at.is_some_and(|current| current > read_at) {
            return;
        }
        if delta.is_full {
            self.replace(delta.put.into_iter().collect(), read_at, now);
            return;
        }
        self.read_at = Some(read_at);
        delta.removed.iter().for_each(|id| self.entries.remove(id));
        delta.put.into_iter().for_each(|(_, upstream)| self.put(upstream, now));
    }

    /// Returns what changed since `version`, with cold times relative to `now`.
    pub fn delta_since(
        &self,
        version: Option<u64>,
        now: Duration,
    ) -> MapDelta<UpstreamId, ListedUpstream> {
        let MapDelta { version, is_full, put, removed } = self.entries.delta_since(version);
        let as_of_now = |entry: ListEntry| ListedUpstream {
            cold_left: entry.cold_until.saturating_sub(now),
            ..entry.upstream
        };
        let put = put.into_iter().map(|(id, entry)| (id, as_of_now(entry))).collect();
        MapDelta { version, is_full, put, removed }
    }

    /// Sets an entry whose cold time is relative to `now`, unless it equals the current one,
    /// ignoring small differences in cold time.
    fn put(&mut self, upstream: ListedUpstream, now: Duration) {
        let cold_until = now + upstream.cold_left;
        let is_unchanged = self.entries.get(&upstream.id).is_some_and(|current| {
            let listed =
                ListedUpstream { cold_left: upstream.cold_left, ..current.upstream.clone() };
            let is_cold = !upstream.cold_left.is_zero() || current.cold_until > now;
            listed == upstream
                && (!is_cold || current.cold_until.abs_diff(cold_until) < COLD_TOLERANCE)
        });
        if !is_unchanged {
            self.entries.put(upstream.id.clone(), ListEntry { upstream, cold_until });
        }
    }
}
