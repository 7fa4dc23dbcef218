//! Knows which entry instances are up, and names them to callers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::control::{InstanceName, RegionName, ZoneName};

/// Knows which entry instances are up, from what they announce.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug)]
pub struct Roster {
    regions_of_zones: BTreeMap<ZoneName, RegionName>,
    began: Duration,
    entries: BTreeMap<InstanceName, RosterEntry>,
}

/// Describes one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterEntry {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Whether it wants callers.
    pub is_ready: bool,
    /// When it was last heard.
    pub heard: Duration,
}

/// The time between two announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// An entry instance that was not heard for this long gets no new callers.
const SILENCE_MAX: Duration = Duration::from_millis(2200);
/// An entry instance that was not heard for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// A process that started more recently may not have heard everybody yet.
const WARM_UP: Duration = Duration::from_millis(1200);
/// The most entry instances that one answer names.
const NAMED_MAX: usize = 64;
/// The fewest entry instances that an answer names, where there are as many.
const NAMED_MIN: usize = 2;

impl Roster {
    /// Returns an empty roster of a process that started at `now`.
    pub fn new(regions_of_zones: BTreeMap<ZoneName, RegionName>, now: Duration) -> Self {
        Self { regions_of_zones, began: now, entries: BTreeMap::new() }
    }

    /// Notes that an entry instance was heard.
    pub fn note(&mut self, instance: InstanceName, entry: RosterEntry) {
        self.entries.insert(instance, entry);
    }

    /// Forgets entry instances that were silent for long.
    pub fn forget_silent(&mut self, now: Duration) {
        self.entries.retain(|_, entry| now <= entry.heard + FORGET_AFTER);
    }

    /// Counts the entry instances that are up.
    pub fn count(&self, now: Duration) -> usize {
        self.entries.values().filter(|entry| now <= entry.heard + SILENCE_MAX).count()
    }

    /// Names the entry instances that a caller should use, or nothing while
    /// too few can be known.
    pub fn name_for(&self, region: &str, zone: &str, now: Duration) -> Vec<SocketAddr> {
        if now < self.began + WARM_UP {
            return Vec::new();
        }
        let up = |entry: &&RosterEntry| entry.is_ready && now <= entry.heard + SILENCE_MAX;
        let mut named: Vec<(u8, SocketAddr)> = self
            .entries
            .values()
            .filter(up)
            .map(|entry| (self.distance(entry, region, zone), entry.callers))
            .collect();
        named.sort_unstable();
        let nearest = |within: u8| named.iter().filter(|(distance, _)| *distance <= within).count();
        let enough = (0..=FAR).map(nearest).find(|count| *count >= NAMED_MIN);
        let count = enough.unwrap_or(named.len()).min(NAMED_MAX);
        named.truncate(count);
        named.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns 0 within the availability zone, 1 within the region.
    fn distance(&self, entry: &RosterEntry, region: &str, zone: &str) -> u8 {
        if entry.zone == zone {
            return 0;
        }
        match self.regions_of_zones.get(&entry.zone) {
            Some(held) if held == region => 1,
            _ => FAR,
        }
    }
}

/// The distance of entry instances in other regions.
const FAR: u8 = 2;
