//! Defines the settings of a single process, which describe only the process itself
//! and name a few control replicas, the seeds.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use crate::core::{
    control::{InstanceName, RegionName, ZoneName},
    replication::StateBudget,
};

/// Represents the settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The IP address of the instance.
    pub ip: IpAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
    /// The region of every availability zone.
    pub regions_of_zones: BTreeMap<ZoneName, RegionName>,
    /// The addresses to listen on.
    pub listen: ListenAddresses,
    /// The first and the last port of the range for traffic between instances.
    pub instance_ports: (u16, u16),
    /// The control replicas to contact first, by the addresses at which operators
    /// reach them. They may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// The folder for durable state, if the instance has a disk.
    pub data_folder: Option<PathBuf>,
    /// The resource limits of the process.
    pub resources: Resources,
    /// The failures that may occur at the same time while all guarantees hold.
    pub tolerated_failures: ToleratedFailures,
    /// The guaranteed time and rate bounds.
    pub bounds: Bounds,
    /// The source of the list of upstreams.
    pub upstream_list: Option<UpstreamListSource>,
    /// The names of the contracts in force.
    pub contracts: BTreeSet<String>,
}

/// Represents the addresses that a process listens on. Each role uses only some
/// of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListenAddresses {
    /// The address that callers send requests to.
    pub callers: Option<SocketAddr>,
    /// The address of the platform's readiness check.
    pub readiness: Option<SocketAddr>,
    /// The address that operators send requests to.
    pub operators: Option<SocketAddr>,
    /// The address at which callers look up the entry instances to use.
    pub directory: Option<SocketAddr>,
}

/// Represents the resource limits of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// The CPU time as a fraction of one core.
    pub cpu_share: f64,
    /// The memory, in MiB.
    pub memory_mib: u64,
    /// The maximum number of open file descriptors.
    pub file_descriptors: u64,
    /// The bandwidth of the instance's own network link, in Mbit/s.
    pub link_mbps: f64,
    /// The disk space, in MiB.
    pub disk_mib: u64,
}

/// Represents the failures that may occur at the same time while all guarantees hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ToleratedFailures {
    /// The number of failed instances with disks.
    pub instances: u32,
    /// The number of failed availability zones.
    pub zones: u32,
    /// The number of failed regions.
    pub regions: u32,
}

/// Represents the guaranteed time and rate bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long the address of an upstream stays unused after the upstream has
    /// terminated.
    pub address_reuse: Duration,
    /// How long an instance must have been free of disturbances before the
    /// guarantees apply to it.
    pub contact_window: Duration,
    /// The maximum time until an operator's change is acknowledged.
    pub acknowledgement: Duration,
    /// The maximum time that an instance takes to catch up after an outage.
    pub catch_up: Duration,
    /// The maximum time for which an upstream that is listed as leaving still
    /// receives new requests.
    pub drain: Duration,
    /// The time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// The maximum time until a configuration is in force everywhere.
    pub config_propagation: Duration,
    /// The maximum ratio of retries, that is, of second and further attempts that
    /// arrive at a service, to requests for it.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// The number of retries in each window that do not count towards the ratio.
    pub retry_slack: f64,
    /// The factor by which the request rate of a cold upstream may be multiplied.
    pub cold_factor: f64,
    /// The requests per second that a cold upstream may get in addition.
    pub cold_slack: f64,
    /// The maximum time until an evacuated availability zone gets no new requests.
    pub evacuation: Duration,
    /// The maximum time until requests are served again after a failure of the
    /// whole system.
    pub recovery: Duration,
    /// The maximum time that callers may cache a response of the directory.
    pub directory_ttl_max: Duration,
    /// The maximum fraction of a region's requests that may be moved to other regions
    /// from one window of 2 s to the next.
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

/// Represents the source of the list of upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamListSource {
    /// The address of the listing service.
    pub address: SocketAddr,
    /// The maximum number of calls per second by all instances together.
    pub calls_per_s: f64,
    /// The maximum time by which the list lags behind the actual state.
    pub lag_max: Duration,
}

/// The number of bytes that may be queued on an instance's own link: a few large
/// request bodies.
const LINK_QUEUE_BYTES: f64 = 256.0 * 1024.0;
/// The maximum queueing time on an instance's own link that timeouts allow for.
/// Callers don't wait longer than this.
const LINK_QUEUE_TIME_MAX: Duration = Duration::from_secs(1);

/// The part of the memory that one response of an upstream may take: 1 of this many.
const RESPONSES_IN_MEMORY: u64 = 32;
/// The part of the memory that one reply of a control replica may take: 1 of this many. The
/// largest replies hold a whole policy.
const REPLIES_IN_MEMORY: u64 = 8;
/// The part of the memory that the deltas kept for followers may take when encoded: 1 of this
/// many.
const DELTAS_IN_MEMORY: u64 = 64;
/// The part of the memory that one call to a control replica may take: 1 of this many. The largest
/// calls hold the entries of a window, or a configuration.
const CALLS_IN_MEMORY: u64 = 8;
/// The part of the memory that one page of the list of upstreams may take: 1 of this many. The
/// pages of all availability zones are read at the same time.
const LIST_PAGES_IN_MEMORY: u64 = 64;
impl NodeSettings {
    /// Returns the maximum size of the body of an upstream's response, in bytes.
    pub fn response_max_bytes(&self) -> usize {
        self.memory_part(RESPONSES_IN_MEMORY)
    }

    /// Returns the maximum size of a reply of a control replica, in bytes.
    pub fn reply_max_bytes(&self) -> usize {
        self.memory_part(REPLIES_IN_MEMORY)
    }

    /// Returns the maximum size of the deltas of the policy that are kept for followers, in bytes
    /// when encoded.
    pub fn deltas_max_bytes(&self) -> usize {
        self.memory_part(DELTAS_IN_MEMORY)
    }

    /// Returns the maximum size of a call that a control replica takes from another process, in
    /// bytes.
    pub fn call_max_bytes(&self) -> usize {
        self.memory_part(CALLS_IN_MEMORY)
    }

    /// Returns the maximum size of a page of the list of upstreams, in bytes.
    pub fn list_page_max_bytes(&self) -> usize {
        self.memory_part(LIST_PAGES_IN_MEMORY)
    }

    /// Returns the limits on the size of the replicated state.
    pub fn state_budget(&self) -> StateBudget {
        let mib = 1024 * 1024;
        StateBudget::new(self.resources.memory_mib * mib, self.resources.disk_mib * mib)
            .with_link(self.link_bytes_per_s())
    }

    /// Returns the bandwidth of the instance's own network link in bytes per second; 0 if it
    /// is not limited.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.resources.link_mbps * 125_000.0
    }

    /// Returns how long sent data may be queued on the instance's own link.
    pub fn link_queue_time(&self) -> Duration {
        Duration::try_from_secs_f64(LINK_QUEUE_BYTES / self.link_bytes_per_s())
            .unwrap_or_default()
            .min(LINK_QUEUE_TIME_MAX)
    }

    /// Returns the address at which other instances reach this one.
    pub fn cluster_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.instance_ports.0)
    }

    /// Returns the addresses at which other instances reach the seeds. All
    /// instances use the same ports.
    pub fn seed_cluster_addresses(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.instance_ports.0)).collect()
    }

    /// Returns whether this process is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.listen.operators.is_some_and(|address| self.seeds.contains(&address))
    }
}
