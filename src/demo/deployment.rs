//! Starts all instances and upstreams of a deployment on loopback.

use std::{
    collections::BTreeMap,
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use eyre::WrapErr;

use super::StubUpstream;
use crate::{
    core::control::{InstanceName, UpstreamName},
    runtime::Instance,
    settings::Settings,
};

/// Represents a running deployment: all instances and upstreams, in this process.
pub struct Deployment {
    /// The settings in use, with the addresses and files of the demo.
    pub settings: Arc<Settings>,
    /// The stub upstreams.
    pub upstreams: BTreeMap<UpstreamName, StubUpstream>,
    /// The token of the demo's operator.
    pub token: String,
    instances: BTreeMap<InstanceName, Instance>,
    _temp_dir: TempDir,
}

/// Owns a temporary folder and removes it when dropped.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// How long an upstream takes to process a request.
const SERVICE_TIME: Duration = Duration::from_millis(8);

impl Deployment {
    /// Starts a deployment. The addresses of the settings are replaced by free
    /// loopback ones, and their files by files in a temporary folder.
    ///
    /// # Errors
    ///
    /// Returns an error when an address or a file can't be used.
    pub async fn start(mut settings: Settings) -> eyre::Result<Self> {
        let name = format!("bulrushspan-demo-{:016x}", rand::random::<u64>());
        let temp_dir = TempDir(std::env::temp_dir().join(name));
        fs::create_dir_all(&temp_dir.0)
            .wrap_err_with(|| format!("can't create the folder {}", temp_dir.0.display()))?;
        let token = prepare_settings(&mut settings, &temp_dir.0)?;
        let settings = Arc::new(settings);
        let upstreams = start_upstreams(&settings).await?;
        let mut instances = BTreeMap::new();
        for name in settings.instances.keys() {
            let instance = Instance::start(settings.clone(), name).await?;
            instances.insert(name.clone(), instance);
        }
        Ok(Self { settings, upstreams, token, instances, _temp_dir: temp_dir })
    }

    /// Stops all instances, and returns whether each one stopped as planned.
    pub async fn stop(&mut self) -> bool {
        self.instances.values().for_each(Instance::stop);
        let mut all_planned = true;
        for instance in self.instances.values_mut() {
            all_planned &= instance.wait_stopped().await;
        }
        all_planned
    }
}

/// Replaces the addresses and files of the settings, writes a token and a cluster
/// key, and returns the token. The source of the platform's
/// list of upstreams is removed from the settings.
fn prepare_settings(settings: &mut Settings, temp_dir: &Path) -> eyre::Result<String> {
    let mut ports = free_ports()?;
    let mut next_address = || {
        ports.next().ok_or_else(|| io::Error::other("no free port is left; use smaller settings"))
    };
    for (name, instance) in &mut settings.instances {
        instance.caller_address = next_address()?;
        instance.operator_address = next_address()?;
        instance.cluster_address = next_address()?;
        instance.forward_address = next_address()?;
        if instance.data_folder.is_some() {
            instance.data_folder = Some(temp_dir.join(name));
        }
    }
    for service in settings.topology.services.values_mut() {
        for upstream in service.upstreams.values_mut() {
            upstream.address = next_address()?;
        }
    }
    let token = format!("demo-token-{:032x}", rand::random::<u128>());
    let token_file = temp_dir.join("operator.token");
    fs::write(&token_file, &token)?;
    settings.operator_tokens = BTreeMap::from([("demo".to_owned(), token_file)]);
    settings.cluster_key_file = temp_dir.join("cluster.key");
    fs::write(&settings.cluster_key_file, format!("demo-key-{:032x}", rand::random::<u128>()))?;
    settings.platform = None;
    Ok(token)
}

/// Returns free loopback addresses. All ports stay bound until the last one has been
/// chosen, so that all are different.
fn free_ports() -> io::Result<impl Iterator<Item = SocketAddr>> {
    const PORTS: usize = 512;
    let listeners: io::Result<Vec<std::net::TcpListener>> =
        (0..PORTS).map(|_| std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect();
    let addresses: io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(std::net::TcpListener::local_addr).collect();
    Ok(addresses?.into_iter())
}

async fn start_upstreams(settings: &Settings) -> io::Result<BTreeMap<UpstreamName, StubUpstream>> {
    let mut upstreams = BTreeMap::new();
    for (_, name, upstream) in settings.topology.upstreams() {
        let stub = StubUpstream::new(name.clone(), upstream.slots, SERVICE_TIME);
        tokio::spawn(stub.serve(upstream.address).await?);
        upstreams.insert(name.clone(), stub);
    }
    Ok(upstreams)
}
