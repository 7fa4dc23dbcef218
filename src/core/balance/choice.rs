//! What a request requires of an upstream, and the choice that is made for it.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::notices::Obstacle;
use crate::core::{
    control::{RegionName, ServiceName, ZoneName},
    placement::ObjectId,
    upstreams::UpstreamId,
};

/// Represents the location of an instance and the regions of all availability zones.
#[derive(Clone, Debug, Default)]
pub struct Locality {
    /// The instance's region.
    pub region: RegionName,
    /// The instance's availability zone.
    pub zone: ZoneName,
    /// The region of every availability zone.
    pub regions_of_zones: BTreeMap<ZoneName, RegionName>,
}

impl Locality {
    /// Returns whether an availability zone is in the instance's region.
    pub(super) fn contains(&self, zone: &ZoneName) -> bool {
        self.regions_of_zones.get(zone) == Some(&self.region)
    }
}

/// Represents what a request requires of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The object of the request.
    pub object: ObjectId,
    /// Whether requests of the route have large bodies.
    pub has_large_body: bool,
    /// The regions in which the request may run; empty means all.
    pub home_regions: &'a [RegionName],
    /// The upstreams that are excluded because they were tried before.
    pub tried: &'a [UpstreamId],
}

/// Represents the upstream chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Identifies the start of the upstream, if the list contains it.
    pub started_unix_ms: Option<u64>,
    /// Whether the upstream counts as cold.
    pub is_cold: bool,
    /// How long the request is expected to wait for a slot.
    pub expected_wait: Duration,
    /// The upstream that would have been chosen but for what it said of itself.
    pub passed_over: Option<PassedOver>,
}

/// Represents an upstream that was not chosen for a request because of what it said of
/// itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PassedOver {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// Why it was not chosen.
    pub obstacle: Obstacle,
}
