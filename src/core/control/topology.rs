//! The deployment as configured: regions, links, services and upstreams.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{InstanceName, RegionName, ServiceName, UpstreamName, ZoneName};

/// Describes the whole deployment.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The regions, by name.
    pub regions: BTreeMap<RegionName, Region>,
    /// The availability zones, by name.
    pub zones: BTreeMap<ZoneName, Zone>,
    /// The directed links between regions.
    pub links: BTreeMap<(RegionName, RegionName), Link>,
    /// The services, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The availability zone of each instance.
    pub instance_zones: BTreeMap<InstanceName, ZoneName>,
    /// How long callers may cache the response to a look-up.
    pub look_up_ttl: Duration,
    /// The duration of an epoch of claims; zero disables claims.
    pub claim_epoch_duration: Duration,
    /// How long a request that may have crashed upstreams is kept as a suspect.
    pub suspect_retention: Duration,
}

/// Describes a region.
#[derive(Clone, Debug, Default)]
pub struct Region {
    /// The availability zones in the region.
    pub zones: Vec<ZoneName>,
}

/// Describes an availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The region that the availability zone is in.
    pub region: RegionName,
}

/// Describes one direction of a link between two regions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// The one-way delay.
    pub delay: Duration,
    /// The bandwidth limit of all traffic together, in Mbit/s.
    pub cap_mbit: u64,
    /// The part of the cap that is reserved for control and other traffic, in
    /// permille.
    pub reserve_permille: u32,
}

/// Describes a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The upstreams, by name.
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// The maximum duration of a request, which is also the default if the
    /// request has no deadline.
    pub request_timeout: Duration,
    /// The maximum expected wait for a slot. Requests that are expected to wait
    /// longer are refused.
    pub wait_max: Duration,
    /// The maximum number of requests that wait at one instance.
    pub queue_max: usize,
    /// The request classes by path prefix, the longest prefix first.
    pub request_classes: Vec<(String, RequestClass)>,
    /// The maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// The number of retries allowed for each hundred requests.
    pub retry_percent: u32,
    /// Whether a 503 response with `Retry-After` means that the request was not run.
    pub shed_means_not_run: bool,
}

/// Describes an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The maximum number of requests that it runs at once.
    pub slots: u32,
    /// The maximum number of connections that it accepts.
    pub connections_max: u32,
}

/// Classifies requests by urgency, the most urgent first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A booking, deposit or release.
    Booking,
    /// A query for data.
    Read,
    /// An upload.
    Upload,
    /// A report.
    Report,
}

impl RequestClass {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 4] = [Self::Booking, Self::Read, Self::Upload, Self::Report];

    /// Returns the name that settings, metrics and responses use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Booking => "booking",
            Self::Read => "read",
            Self::Upload => "upload",
            Self::Report => "report",
        }
    }
}

impl Topology {
    /// Returns the region of an availability zone.
    pub fn region_of_zone(&self, zone: &str) -> Option<&RegionName> {
        self.zones.get(zone).map(|zone| &zone.region)
    }

    /// Returns the region of an instance.
    pub fn region_of_instance(&self, instance: &str) -> Option<&RegionName> {
        self.region_of_zone(self.instance_zones.get(instance)?)
    }

    /// Iterates over all upstreams with their services.
    pub fn upstreams(&self) -> impl Iterator<Item = (&ServiceName, &UpstreamName, &Upstream)> {
        self.services.iter().flat_map(|(service, definition)| {
            definition.upstreams.iter().map(move |(name, upstream)| (service, name, upstream))
        })
    }

    /// Returns an upstream with its service.
    pub fn upstream(&self, name: &str) -> Option<(&Service, &Upstream)> {
        let service =
            self.services.values().find(|service| service.upstreams.contains_key(name))?;
        Some((service, service.upstreams.get(name)?))
    }

    /// Returns the number of slots in each region, summed over all services.
    pub fn slots_by_region(&self) -> BTreeMap<RegionName, u32> {
        let mut slots = BTreeMap::new();
        for (_, _, upstream) in self.upstreams() {
            if let Some(region) = self.region_of_zone(&upstream.zone) {
                *slots.entry(region.clone()).or_insert(0) += upstream.slots;
            }
        }
        slots
    }

    /// Returns the number of instances in a region.
    pub fn instances_in(&self, region: &str) -> usize {
        let in_region =
            |name: &&InstanceName| self.region_of_instance(name).is_some_and(|r| r == region);
        self.instance_zones.keys().filter(in_region).count()
    }
}
