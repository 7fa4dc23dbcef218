//! Holds checked settings.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

use ipnet::IpNet;

use crate::core::control::{
    InstanceName, Preset, PresetName, RegionName, Seed, Topology, ZoneName,
};

/// Holds checked settings. All instances of a deployment share one file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The key that instances show each other.
    pub cluster_key_file: PathBuf,
    /// The tokens of operators, by name.
    pub operator_tokens: BTreeMap<String, PathBuf>,
    /// The instances, by name.
    pub instances: BTreeMap<InstanceName, InstanceSettings>,
    /// Regions, links, services and upstreams.
    pub topology: Topology,
    /// The region of callers in no block.
    pub default_region: RegionName,
    /// The home regions of client blocks, for the first start.
    pub blocks: BTreeMap<IpNet, RegionName>,
    /// The presets, for the first start.
    pub presets: BTreeMap<PresetName, Preset>,
    /// The preset in force after the first start.
    pub first_preset: PresetName,
    /// Where the platform lists live and leaving instances.
    pub platform: Option<PlatformSource>,
    /// How long things take.
    pub timing: Timing,
}

/// Holds the settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// The availability zone.
    pub zone: ZoneName,
    /// Where callers reach the instance.
    pub caller_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Where other instances reach it for control.
    pub cluster_address: SocketAddr,
    /// Where other instances forward requests to.
    pub forward_address: SocketAddr,
    /// The data folder, for a control replica.
    pub data_folder: Option<PathBuf>,
}

/// Says where the platform lists live and leaving instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformSource {
    /// A file.
    File(PathBuf),
    /// An HTTP address.
    Http(String),
}

/// Says how long things take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// The length of an instance's lease.
    pub lease: Duration,
    /// What is waited beyond a lease for clocks that run at different rates.
    pub drift_margin: Duration,
    /// The shortest time without a leader before an election.
    pub election: Duration,
    /// The time between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// How long a watch is held open when nothing changes.
    pub watch_hold: Duration,
    /// How often the platform's list is read.
    pub platform_interval: Duration,
    /// The longest that a planned stop waits for requests in flight.
    pub stop_timeout: Duration,
    /// How long a slot stays taken after its request was cancelled.
    pub cancel_hold: Duration,
}

impl Settings {
    /// Returns the first state of the deployment.
    pub fn seed(&self) -> Seed {
        Seed {
            presets: self.presets.clone().into_iter().collect(),
            in_force: self.first_preset.clone(),
            blocks: self.blocks.clone().into_iter().collect(),
        }
    }

    /// Lists the instances that run a control replica.
    pub fn control_instances(&self) -> BTreeMap<&InstanceName, &InstanceSettings> {
        self.instances.iter().filter(|(_, settings)| settings.data_folder.is_some()).collect()
    }
}
