//! Holds the settings of one process that is told only of itself and of a few
//! control replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use crate::core::control::{InstanceName, RegionName, ZoneName};

/// Holds the settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The instance's name.
    pub instance: InstanceName,
    /// The instance's address.
    pub ip: IpAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
    /// The region of every availability zone.
    pub regions_of_zones: BTreeMap<ZoneName, RegionName>,
    /// Where the process listens.
    pub listen: ListenAddresses,
    /// The first and the last port for traffic between instances.
    pub instance_ports: (u16, u16),
    /// The operators' addresses of some control replicas. They may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The folder for durable state, where there is a disk.
    pub data_folder: Option<PathBuf>,
    /// What the process may use.
    pub resources: Resources,
    /// How much may be lost at once.
    pub tolerated_failures: ToleratedFailures,
    /// The time and rate bounds that are promised.
    pub bounds: Bounds,
    /// Where upstreams are listed.
    pub upstream_list: Option<UpstreamListSource>,
    /// The contracts in force.
    pub contracts: BTreeSet<String>,
}

/// Says where a process listens; a role uses some of the addresses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Where callers send requests.
    pub callers: Option<SocketAddr>,
    /// Where the platform asks whether the instance is ready.
    pub readiness: Option<SocketAddr>,
    /// Where operators reach control.
    pub operators: Option<SocketAddr>,
    /// Where callers ask which entry instances to use.
    pub directory: Option<SocketAddr>,
}

/// Says what a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// The part of a core.
    pub cpu_share: f64,
    /// The memory in MiB.
    pub memory_mib: u64,
    /// The open descriptors.
    pub file_descriptors: u64,
    /// The bandwidth of the instance's own link, in Mbit/s.
    pub link_mbps: f64,
    /// The disk in MiB.
    pub disk_mib: u64,
}

/// Says how much may be lost at once while all promises hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ToleratedFailures {
    /// The instances with disks.
    pub instances: u32,
    /// The availability zones.
    pub zones: u32,
    /// The regions.
    pub regions: u32,
}

/// Holds the time and rate bounds that are promised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long an address stays unused after its upstream ended.
    pub address_reuse: Duration,
    /// How long an instance must have been undisturbed to be bound by
    /// promises.
    pub contact_window: Duration,
    /// The longest that an operator's change waits for its acknowledgement.
    pub acknowledgement: Duration,
    /// How long an instance that came back takes to catch up.
    pub catch_up: Duration,
    /// The longest that new work reaches an upstream listed as leaving.
    pub drain: Duration,
    /// The time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// The longest until a configuration is in force everywhere.
    pub config_propagation: Duration,
    /// Second and further arrivals at a service for each request for it.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// The second and further arrivals that are free in each window.
    pub retry_slack: f64,
    /// What the request rate of a cold upstream may be multiplied with.
    pub cold_factor: f64,
    /// The requests a second that a cold upstream may get beyond that.
    pub cold_slack: f64,
    /// The longest until an evacuated availability zone gets no new work.
    pub evacuation: Duration,
    /// The longest that serving takes to recover after a fault of everything.
    pub recovery: Duration,
    /// The longest that callers keep an answer of the directory.
    pub directory_ttl_max: Duration,
    /// The share of a region's requests that may change the region in which
    /// they run from one window of 2 s to the next.
    pub shift_max: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            address_reuse: Duration::from_secs(2),
            contact_window: Duration::from_secs(4),
            acknowledgement: Duration::from_secs(5),
            catch_up: Duration::from_secs(4),
            drain: Duration::from_secs(3),
            stop_grace: Duration::from_secs(6),
            config_propagation: Duration::from_millis(2500),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 60.0,
            cold_factor: 1.5,
            cold_slack: 5.0,
            evacuation: Duration::from_secs(5),
            recovery: Duration::from_secs(15),
            directory_ttl_max: Duration::from_secs(5),
            shift_max: 0.15,
        }
    }
}

/// Says where upstreams are listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamListSource {
    /// The address.
    pub address: SocketAddr,
    /// The calls a second that all instances together may make.
    pub calls_per_s: f64,
    /// How far the list lags behind.
    pub lag_max: Duration,
}

/// The bytes that may wait on an instance's own link: a few large request
/// bodies.
const LINK_QUEUE_BYTES: f64 = 256.0 * 1024.0;
/// The longest wait that is allowed for on an instance's own link; beyond it,
/// callers have given up.
const LINK_QUEUE_TIME_MAX: Duration = Duration::from_secs(1);

impl NodeSettings {
    /// Returns how long what is sent may wait on the instance's own link.
    pub fn link_queue_time(&self) -> Duration {
        let link_bytes_per_s = self.resources.link_mbps * 125_000.0;
        Duration::try_from_secs_f64(LINK_QUEUE_BYTES / link_bytes_per_s)
            .unwrap_or_default()
            .min(LINK_QUEUE_TIME_MAX)
    }

    /// Returns the address that other instances reach this one at.
    pub fn cluster_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.instance_ports.0)
    }

    /// Returns the addresses of the control replicas that are known from the
    /// start, as other instances reach them. All instances use the same ports.
    pub fn seed_cluster_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.instance_ports.0)).collect()
    }

    /// Tells whether this process is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.listen.operators.is_some_and(|address| self.seeds.contains(&address))
    }
}
