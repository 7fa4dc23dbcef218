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

use super::StandIn;
use crate::{
    core::control::{InstanceName, UpstreamName},
    runtime::Instance,
    settings::Settings,
};

/// Runs all instances and upstreams of a deployment.
pub struct Deployment {
    /// The settings as they are in use.
    pub settings: Arc<Settings>,
    /// The upstreams.
    pub stand_ins: BTreeMap<UpstreamName, StandIn>,
    /// The operator's token.
    pub token: String,
    instances: BTreeMap<InstanceName, Instance>,
    _folder: Folder,
}

/// Removes a folder when it goes.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

const SERVICE_TIME: Duration = Duration::from_millis(8);

impl Deployment {
    /// Starts a deployment. The settings' addresses and files are replaced by
    /// free ones.
    ///
    /// # Errors
    ///
    /// Returns an error when an address or a file can't be used.
    pub async fn start(mut settings: Settings) -> eyre::Result<Self> {
        let name = format!("bulrushspan-demo-{:016x}", rand::random::<u64>());
        let folder = Folder(std::env::temp_dir().join(name));
        fs::create_dir_all(&folder.0).wrap_err("can't make a folder for the demo")?;
        let token = relocate(&mut settings, &folder.0)?;
        let settings = Arc::new(settings);
        let stand_ins = start_stand_ins(&settings).await?;
        let mut instances = BTreeMap::new();
        for name in settings.instances.keys() {
            let started = Instance::start(settings.clone(), name).await?;
            instances.insert(name.clone(), started);
        }
        Ok(Self { settings, stand_ins, token, instances, _folder: folder })
    }

    /// Stops all instances as planned and tells whether they did.
    pub async fn stop(&mut self) -> bool {
        self.instances.values().for_each(Instance::stop);
        let mut planned = true;
        for instance in self.instances.values_mut() {
            planned &= instance.stopped().await;
        }
        planned
    }
}

fn relocate(settings: &mut Settings, folder: &Path) -> eyre::Result<String> {
    let mut ports = free_ports()?;
    let mut address = || ports.next().ok_or_else(|| io::Error::other("no free port"));
    for (name, instance) in &mut settings.instances {
        instance.caller_address = address()?;
        instance.operator_address = address()?;
        instance.cluster_address = address()?;
        instance.forward_address = address()?;
        if instance.data_folder.is_some() {
            instance.data_folder = Some(folder.join(name));
        }
    }
    for service in settings.topology.services.values_mut() {
        for upstream in service.upstreams.values_mut() {
            upstream.address = address()?;
        }
    }
    let token = format!("demo-token-{:032x}", rand::random::<u128>());
    let token_file = folder.join("operator.token");
    fs::write(&token_file, &token)?;
    settings.operator_tokens = BTreeMap::from([("demo".to_owned(), token_file)]);
    settings.cluster_key_file = folder.join("cluster.key");
    fs::write(&settings.cluster_key_file, format!("demo-key-{:032x}", rand::random::<u128>()))?;
    settings.platform = None;
    Ok(token)
}

/// Lists free ports of loopback. They are all held while they are listed, so
/// that no two are the same.
fn free_ports() -> io::Result<impl Iterator<Item = SocketAddr>> {
    const PORTS: usize = 512;
    let listeners: io::Result<Vec<std::net::TcpListener>> =
        (0..PORTS).map(|_| std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect();
    let addresses: io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(std::net::TcpListener::local_addr).collect();
    Ok(addresses?.into_iter())
}

async fn start_stand_ins(settings: &Settings) -> io::Result<BTreeMap<UpstreamName, StandIn>> {
    let mut stand_ins = BTreeMap::new();
    for (_, name, upstream) in settings.topology.upstreams() {
        let stand_in = StandIn::new(name.clone(), upstream.slots, SERVICE_TIME);
        tokio::spawn(stand_in.serve(upstream.address).await?);
        stand_ins.insert(name.clone(), stand_in);
    }
    Ok(stand_ins)
}
