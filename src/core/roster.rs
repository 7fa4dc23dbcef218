//! Tracks which entry instances are up and selects those that callers should use.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    StallDetector,
    control::{InstanceName, RegionName, ZoneName},
    peers::Peer,
};

/// Represents the entry instances that announced themselves recently.
///
/// All times are relative to one origin, which the calling code chooses.
#[derive(Clone, Debug)]
pub struct Roster {
    regions_of_zones: BTreeMap<ZoneName, RegionName>,
    started_at: Duration,
    instances: BTreeMap<InstanceName, AnnouncedInstance>,
    /// Tells when the process did not read announcements for so long that some expired.
    stalls: StallDetector,
}

/// Represents an entry instance as it last announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncedInstance {
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which callers reach it.
    pub address: SocketAddr,
    /// The address at which it takes over requests of other entry instances.
    pub relay_address: SocketAddr,
    /// Whether it accepts callers.
    pub is_ready: bool,
    /// Whether it reaches the upstreams of every service, apart from a short loss.
    pub reaches_upstreams: bool,
    /// Whether it has lost the links to the upstreams of a service just now.
    pub has_lost_links: bool,
    /// When its last announcement arrived.
    pub announced_at: Duration,
}

/// The time between two announcements of an entry instance.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// An entry instance that has not announced itself for this long gets no new callers.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// An entry instance that has not announced itself for this long is removed.
const RETENTION: Duration = Duration::from_secs(60);
/// The warm-up: how long after its start a process may still lack announcements
/// of some instances. It returns no addresses until then.
const WARM_UP: Duration = Duration::from_millis(1200);
/// The maximum number of entry instances that are recorded.
pub const INSTANCES_MAX: usize = 4096;
/// The maximum number of addresses returned to a caller.
const ADDRESSES_MAX: usize = 64;
/// The minimum number of addresses returned to a caller, if that many entry
/// instances are usable.
const ADDRESSES_MIN: usize = 2;
/// The maximum number of peers in one region that an entry instance is told of.
const PEERS_PER_REGION_MAX: usize = 4;

impl Roster {
    /// Returns an empty roster for a process that started at `now`.
    pub fn new(regions_of_zones: BTreeMap<ZoneName, RegionName>, now: Duration) -> Self {
        let stalls = StallDetector::new(ANNOUNCE_TIMEOUT - 2 * ANNOUNCE_INTERVAL, now);
        Self { regions_of_zones, started_at: now, instances: BTreeMap::new(), stalls }
    }

    /// Records an announcement of an entry instance. Returns whether that was done: a further
    /// instance is not recorded beyond [`INSTANCES_MAX`], as anyone can send announcements.
    #[must_use]
    pub fn record_announcement(&mut self, name: InstanceName, instance: AnnouncedInstance) -> bool {
        if self.instances.len() >= INSTANCES_MAX && !self.instances.contains_key(&name) {
            return false;
        }
        self.instances.insert(name, instance);
        true
    }

    /// Records that the process runs, which it is expected to do several times a second.
    pub fn record_beat(&mut self, now: Duration) {
        self.stalls.record_beat(now);
    }

    /// Removes entry instances whose last announcement is older than the retention period.
    pub fn remove_expired(&mut self, now: Duration) {
        self.instances.retain(|_, instance| now <= instance.announced_at + RETENTION);
    }

    /// Returns the number of entry instances that are up, ready or not, or `None` while some may
    /// not have announced themselves to this process yet.
    pub fn up_count(&self, now: Duration) -> Option<usize> {
        let is_known = now >= self.started_at + WARM_UP && self.stalls.is_steady_for(WARM_UP, now);
        is_known.then(|| self.instances.values().filter(|instance| instance.is_up(now)).count())
    }

    /// Returns the rank by name, from 0, that an entry instance has among those that are up.
    pub fn rank_of(&self, name: &str, now: Duration) -> usize {
        let smaller = self.instances.iter().take_while(|(other, _)| other.as_str() < name);
        smaller.filter(|(_, instance)| instance.is_up(now)).count()
    }

    /// Returns the addresses of the entry instances that a caller should use.
    ///
    /// The nearest instances come first. Farther instances are included only as needed
    /// to reach the minimum number. Instances that don't reach upstreams are included only
    /// if no instance does. The list is empty during the warm-up of the process, when some
    /// instances may not have announced themselves yet.
    pub fn addresses_for(&self, region: &str, zone: &str, now: Duration) -> Vec<SocketAddr> {
        if now < self.started_at + WARM_UP {
            return Vec::new();
        }
        let usable = || self.instances.values().filter(|instance| instance.is_usable(now));
        let any_reaches_upstreams = usable().any(|instance| instance.reaches_upstreams);
        let mut ranked: Vec<(u8, SocketAddr)> = usable()
            .filter(|instance| instance.reaches_upstreams || !any_reaches_upstreams)
            .map(|instance| (self.distance(instance, region, zone), instance.address))
            .collect();
        ranked.sort_unstable();
        let count_up_to =
            |limit: u8| ranked.iter().filter(|(distance, _)| *distance <= limit).count();
        let nearest = (0..=OTHER_REGION).map(count_up_to).find(|count| *count >= ADDRESSES_MIN);
        let count = nearest.unwrap_or(ranked.len()).min(ADDRESSES_MAX);
        ranked.truncate(count);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the entry instances that may take over requests of the named one: up to
    /// [`PEERS_PER_REGION_MAX`] in each region, different ones for different instances.
    pub fn peers_of(&self, name: &InstanceName, now: Duration) -> Vec<Peer> {
        let seed = xxh3_64_with_seed(name.as_bytes(), 0);
        let mut by_region: BTreeMap<&RegionName, Vec<(u64, Peer)>> = BTreeMap::new();
        for (other, instance) in &self.instances {
            let Some(region) = self.regions_of_zones.get(&instance.zone) else { continue };
            let takes_over = instance.reaches_upstreams && !instance.has_lost_links;
            if other == name || !instance.is_usable(now) || !takes_over {
                continue;
            }
            let peer = Peer {
                instance: other.clone(),
                address: instance.relay_address,
                region: region.clone(),
            };
            let rank = xxh3_64_with_seed(other.as_bytes(), seed);
            by_region.entry(region).or_default().push((rank, peer));
        }
        let select = |mut ranked: Vec<(u64, Peer)>| {
            ranked.sort_unstable_by_key(|(rank, _)| *rank);
            ranked.into_iter().take(PEERS_PER_REGION_MAX).map(|(_, peer)| peer)
        };
        by_region.into_values().flat_map(select).collect()
    }

    /// Returns 0 for an entry instance in the given availability zone, 1 in the
    /// given region and [`OTHER_REGION`] elsewhere.
    fn distance(&self, instance: &AnnouncedInstance, region: &str, zone: &str) -> u8 {
        if instance.zone == zone {
            return 0;
        }
        match self.regions_of_zones.get(&instance.zone) {
            Some(instance_region) if instance_region == region => 1,
            _ => OTHER_REGION,
        }
    }
}

impl AnnouncedInstance {
    /// Returns whether it announced itself recently.
    fn is_up(&self, now: Duration) -> bool {
        now <= self.announced_at + ANNOUNCE_TIMEOUT
    }

    /// Returns whether it accepts callers, as it said recently.
    fn is_usable(&self, now: Duration) -> bool {
        self.is_ready && self.is_up(now)
    }
}

/// The distance of an entry instance in another region.
const OTHER_REGION: u8 = 2;
