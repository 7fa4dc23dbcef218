//! Knows the upstreams and how busy they are, and chooses among them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use super::affinity::{object_of, rank};
use crate::core::{
    control::{RegionName, ServiceName, ZoneName},
    upstreams::{ListedState, ListedUpstream, UpstreamId},
};

/// Knows the upstreams and how busy they are, and chooses among them.
///
/// All times are measured from one origin that the driver chooses.
#[derive(Clone, Debug)]
pub struct Balancer {
    place: Place,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    evacuated: BTreeSet<ZoneName>,
}

/// Says where an instance is, and how availability zones lie.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// The instance's region.
    pub region: RegionName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The region of every availability zone.
    pub regions_of_zones: BTreeMap<ZoneName, RegionName>,
}

#[derive(Clone, Debug)]
struct Upstream {
    listed: ListedUpstream,
    in_flight: u32,
    /// Until when it is passed over because it failed.
    rests_until: Duration,
}

/// Names the upstream that was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A region's own upstreams go first where it holds at least this part of
/// all slots of a service.
const OWN_REGION_SHARE_MIN: f64 = 0.3;
/// How long an upstream is passed over after it failed.
const REST: Duration = Duration::from_millis(1500);

impl Balancer {
    /// Returns a balancer that knows no upstreams.
    pub fn new(place: Place) -> Self {
        Self { place, upstreams: BTreeMap::new(), evacuated: BTreeSet::new() }
    }

    /// Takes over what changed in the list of upstreams.
    pub fn update(&mut self, whole: bool, put: Vec<ListedUpstream>, removed: &[UpstreamId]) {
        if whole {
            let listed: BTreeSet<&UpstreamId> = put.iter().map(|upstream| &upstream.id).collect();
            self.upstreams.retain(|id, _| listed.contains(id));
        }
        for id in removed {
            self.upstreams.remove(id);
        }
        for listed in put {
            match self.upstreams.get_mut(&listed.id) {
                Some(held) => held.listed = listed,
                None => {
                    let id = listed.id.clone();
                    let upstream = Upstream { listed, in_flight: 0, rests_until: Duration::ZERO };
                    self.upstreams.insert(id, upstream);
                }
            }
        }
    }

    /// Sets the availability zones whose upstreams get no new work.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<ZoneName>) {
        self.evacuated = evacuated;
    }

    /// Counts the upstreams that are known.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Tells whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Chooses an upstream for a request that concerns the object `key` of a
    /// route, other than those already tried.
    pub fn choose(
        &self,
        service: &ServiceName,
        route: &str,
        key: &str,
        homes: &[RegionName],
        tried: &[UpstreamId],
        now: Duration,
    ) -> Option<Choice> {
        let object = object_of(route, key);
        let mut usable: Vec<(&Upstream, f64, bool)> = self
            .upstreams
            .values()
            .filter(|upstream| upstream.listed.service == *service && self.is_usable(upstream, now))
            .filter(|upstream| !tried.contains(&upstream.listed.id))
            .filter(|upstream| homes.is_empty() || self.is_in(upstream, homes))
            .map(|upstream| {
                let rank = rank(&upstream.listed.id, object, f64::from(upstream.listed.slots));
                (upstream, rank, self.is_own_region(upstream))
            })
            .collect();
        let slots = |own: bool| -> f64 {
            let counted = usable.iter().filter(|(_, _, is_own)| *is_own || !own);
            counted.map(|(upstream, ..)| f64::from(upstream.listed.slots)).sum()
        };
        let own_first = slots(true) >= OWN_REGION_SHARE_MIN * slots(false);
        usable.sort_by(|(_, left, left_own), (_, right, right_own)| {
            let own = if own_first { right_own.cmp(left_own) } else { std::cmp::Ordering::Equal };
            own.then(right.total_cmp(left))
        });
        let free = usable.iter().find(|(upstream, ..)| upstream.in_flight < upstream.listed.slots);
        let chosen = free.or_else(|| usable.first());
        chosen.map(|(upstream, ..)| Choice {
            id: upstream.listed.id.clone(),
            address: upstream.listed.address,
        })
    }

    /// Counts a request that is sent to an upstream.
    pub fn begin(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.in_flight += 1;
        }
    }

    /// Counts the end of a request at an upstream.
    pub fn end(&mut self, id: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Notes that an upstream can't be reached or broke off.
    pub fn note_failure(&mut self, id: &UpstreamId, now: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.rests_until = now + REST;
        }
    }

    fn is_usable(&self, upstream: &Upstream, now: Duration) -> bool {
        upstream.listed.state == ListedState::Ready
            && !self.evacuated.contains(&upstream.listed.zone)
            && now >= upstream.rests_until
    }

    fn is_own_region(&self, upstream: &Upstream) -> bool {
        self.region_of(upstream) == Some(&self.place.region)
    }

    fn is_in(&self, upstream: &Upstream, homes: &[RegionName]) -> bool {
        self.region_of(upstream).is_some_and(|region| homes.contains(region))
    }

    fn region_of(&self, upstream: &Upstream) -> Option<&RegionName> {
        self.place.regions_of_zones.get(&upstream.listed.zone)
    }
}
