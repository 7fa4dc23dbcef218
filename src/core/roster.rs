//! Knows which entry instances are up, and names them to callers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::control::{InstanceName, RegionName, ZoneName};

/// Knows which entry instances are up, from what they announce.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug)]
pub struct Roster {
    regions_of_zones: BTreeMap<ZoneName, RegionName>,
    started_at: Duration,
    entries: BTreeMap<InstanceName, RosterEntry>,
}

/// Describes one entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterEntry {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Whether it wants callers.
    pub is_ready: bool,
    /// When it was last heard.
    pub heard_at: Duration,
}

/// The time between two announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// An entry instance that was not heard for this long gets no new callers.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// An entry instance that was not heard for this long is forgotten.
const RETENTION: Duration = Duration::from_secs(60);
/// A process that started more recently may not have heard everybody yet.
const WARM_UP: Duration = Duration::from_millis(1200);
/// The most entry instances that one answer names.
const ANSWER_MAX: usize = 64;
/// The fewest entry instances that an answer names, where there are as many.
const ANSWER_MIN: usize = 2;

impl Roster {
    /// Returns an empty roster of a process that started at `now`.
    pub fn new(regions_of_zones: BTreeMap<ZoneName, RegionName>, now: Duration) -> Self {
        Self { regions_of_zones, started_at: now, entries: BTreeMap::new() }
    }

    /// Notes that an entry instance was heard.
    pub fn record(&mut self, instance: InstanceName, entry: RosterEntry) {
        self.entries.insert(instance, entry);
    }

    /// Forgets entry instances that were silent for long.
    pub fn remove_silent(&mut self, now: Duration) {
        self.entries.retain(|_, entry| now <= entry.heard_at + RETENTION);
    }

    /// Counts the entry instances that are up.
    pub fn count(&self, now: Duration) -> usize {
        self.entries.values().filter(|entry| now <= entry.heard_at + ANNOUNCE_TIMEOUT).count()
    }

    /// Names the entry instances that a caller should use, or nothing while
    /// too few can be known.
    pub fn addresses_for(&self, region: &str, zone: &str, now: Duration) -> Vec<SocketAddr> {
        if now < self.started_at + WARM_UP {
            return Vec::new();
        }
        let is_up =
            |entry: &&RosterEntry| entry.is_ready && now <= entry.heard_at + ANNOUNCE_TIMEOUT;
        let mut ranked: Vec<(u8, SocketAddr)> = self
            .entries
            .values()
            .filter(is_up)
            .map(|entry| (self.distance(entry, region, zone), entry.address))
            .collect();
        ranked.sort_unstable();
        let count_within =
            |within: u8| ranked.iter().filter(|(distance, _)| *distance <= within).count();
        let nearest = (0..=OTHER_REGION).map(count_within).find(|count| *count >= ANSWER_MIN);
        let count = nearest.unwrap_or(ranked.len()).min(ANSWER_MAX);
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns 0 within the availability zone, 1 within the region.
    fn distance(&self, entry: &RosterEntry, region: &str, zone: &str) -> u8 {
        if entry.zone == zone {
            return 0;
        }
        match self.regions_of_zones.get(&entry.zone) {
            Some(entry_region) if entry_region == region => 1,
            _ => OTHER_REGION,
        }
    }
}

/// The distance of entry instances in other regions.
const OTHER_REGION: u8 = 2;
