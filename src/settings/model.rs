//! Defines the settings of a deployment.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

use ipnet::IpNet;

use crate::core::control::{
    InitialPolicy, InstanceName, Preset, PresetName, RegionName, Topology, ZoneName,
};

/// Represents the validated settings of a deployment, whose instances all share
/// one settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The file with the key by which instances authenticate to each other.
    pub cluster_key_file: PathBuf,
    /// The token files of operators, by operator name.
    pub operator_tokens: BTreeMap<String, PathBuf>,
    /// The instances, by name.
    pub instances: BTreeMap<InstanceName, InstanceSettings>,
    /// The regions, links, services and upstreams.
    pub topology: Topology,
    /// The region of callers whose address is in no client block.
    pub default_region: RegionName,
    /// The home regions of client blocks. They are used at the first start only.
    pub blocks: BTreeMap<IpNet, RegionName>,
    /// The presets. They are used at the first start only.
    pub presets: BTreeMap<PresetName, Preset>,
    /// The preset in force after the first start.
    pub first_preset: PresetName,
    /// The source of the platform's list of upstreams.
    pub platform: Option<PlatformListSource>,
    /// The intervals and timeouts.
    pub timing: Timing,
    /// What each instance may use of its machine.
    pub resources: InstanceResources,
}

/// Represents the settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// The availability zone.
    pub zone: ZoneName,
    /// The address that callers send requests to.
    pub caller_address: SocketAddr,
    /// The address that operators send requests to.
    pub operator_address: SocketAddr,
    /// The address for control traffic from other instances.
    pub cluster_address: SocketAddr,
    /// The address that other instances forward requests to.
    pub forward_address: SocketAddr,
    /// The data folder. Only instances that run a control replica have one.
    pub data_folder: Option<PathBuf>,
}

/// Represents the source of the platform's list of upstreams, which says which of them
/// are leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformListSource {
    /// A file.
    File(PathBuf),
    /// An HTTP URL.
    Http(String),
}

/// Represents the intervals and timeouts of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// The duration of an instance's lease.
    pub lease: Duration,
    /// The time to wait beyond the end of a lease, since the clocks of instances run at
    /// different rates.
    pub drift_margin: Duration,
    /// The minimum time without a leader before an election starts.
    pub election: Duration,
    /// The interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// How long the leader holds a watch request open while nothing changes.
    pub watch_hold: Duration,
    /// The interval at which the platform's list of upstreams is read.
    pub platform_interval: Duration,
    /// The maximum time that a planned stop waits for requests in flight.
    pub stop_timeout: Duration,
    /// How long a slot stays occupied after its request was cancelled.
    pub cancel_hold: Duration,
}

/// Represents what each instance of a deployment may use of its machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceResources {
    /// The memory, in MiB.
    pub memory_mib: u64,
    /// The maximum number of open file descriptors.
    pub descriptors: u64,
}

impl Default for InstanceResources {
    fn default() -> Self {
        Self { memory_mib: 512, descriptors: 4096 }
    }
}

impl Settings {
    /// Returns the initial control state of the deployment.
    pub fn initial_policy(&self) -> InitialPolicy {
        InitialPolicy {
            presets: self.presets.clone().into_iter().collect(),
            in_force: self.first_preset.clone(),
            blocks: self.blocks.clone().into_iter().collect(),
        }
    }

    /// Returns the instances that run a control replica.
    pub fn control_instances(&self) -> BTreeMap<&InstanceName, &InstanceSettings> {
        self.instances.iter().filter(|(_, settings)| settings.data_folder.is_some()).collect()
    }
}
