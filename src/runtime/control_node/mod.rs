//! Runs a control replica among processes that find each other by themselves:
//! the replicated state, the directory and the operators' calls.

mod calls;
mod directory;
mod list_pages;
mod list_reader;
mod membership;
mod metrics;
mod operators;
mod peers;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{net::TcpListener, sync::oneshot};
use tracing::{error, info, warn};
use xtra::{Address, Mailbox};

use super::{
    clock::Clock,
    http_handler::{HttpHandler, listen, listen_udp, serve_http_handler},
    logs::DroppedLines,
    metrics::Metrics,
    metrics_server::{MetricsConfig, TextFuture, serve_metrics},
    node_error::NodeError,
    replica::{Probe, Replica, ReplicaSetup, TICK_INTERVAL, Tick},
    replica_start::tick,
};
use crate::{
    core::{
        control::{Command, InstanceName},
        placement::{DemandReport, Planner},
        replication::{DurableState, ReplicaId},
        roster::Roster,
        upstreams::UpstreamList,
    },
    net::mesh::serve_mesh,
    settings::{NodeSettings, Timing},
    storage::{Identity, Store, StoreError, move_damaged_files},
};

/// Runs a control replica.
pub struct ControlNode {
    state: Arc<ControlState>,
}

/// Holds what the parts of a control replica share.
pub(super) struct ControlState {
    settings: NodeSettings,
    clock: Clock,
    metrics: Metrics,
    /// The replica, while its disk works.
    replica: Mutex<Option<Address<Replica>>>,
    connections: peers::Connections,
    /// Where control replicas are reached according to the settings.
    seeds: Mutex<Vec<SocketAddr>>,
    roster: Mutex<Roster>,
    list: Mutex<UpstreamList>,
    planner: Mutex<Planner>,
    /// What entry instances reported, for the leader.
    demand: Mutex<BTreeMap<InstanceName, DemandReport>>,
    /// Tells this process's counts of changes from those of others.
    counter_id: u64,
}

/// How long things take among control replicas.
pub(super) const TIMING: Timing = Timing {
    lease: Duration::from_secs(2),
    drift_margin: Duration::from_millis(200),
    election: Duration::from_millis(700),
    heartbeat: Duration::from_millis(150),
    watch_hold: Duration::from_secs(1),
    platform_interval: Duration::from_secs(1),
    stop_limit: Duration::from_secs(5),
    cancel_hold: Duration::from_millis(200),
};

impl ControlNode {
    /// Starts the control replica that the settings describe.
    ///
    /// # Errors
    ///
    /// Returns an error when an address or the data folder can't be used.
    pub async fn start(settings: NodeSettings, exposed: MetricsConfig) -> Result<Self, NodeError> {
        let Some(folder) = settings.data_folder.clone() else {
            return Err(NodeError::Settings("control needs a data folder".to_owned()));
        };
        let clock = Clock::new();
        let metrics = Metrics::new().map_err(NodeError::Metrics)?;
        let cluster = listen(settings.cluster_address()).await?;
        let announcement_socket = listen_udp(settings.cluster_address()).await?;
        let state = Arc::new(ControlState {
            roster: Mutex::new(Roster::new(settings.regions_of_zones.clone(), clock.now())),
            list: Mutex::default(),
            planner: Mutex::new(Planner::new(
                settings.regions_of_zones.clone(),
                settings.bounds.shift_max,
            )),
            demand: Mutex::default(),
            counter_id: rand::random(),
            connections: peers::Connections::default(),
            seeds: Mutex::new(settings.seed_cluster_addresses()),
            replica: Mutex::default(),
            settings,
            clock,
            metrics,
        });
        let opened = open_store(&folder, membership::initial_id(&state.settings));
        let (store, durable) = opened.map_err(NodeError::Store)?;
        let failed = state.clone().start_replica(store, durable)?;
        tokio::spawn(state.clone().supervise_replica(folder, failed));
        tokio::spawn(serve_mesh(cluster, calls::handler(state.clone())));
        tokio::spawn(calls::receive_announcements(state.clone(), announcement_socket));
        tokio::spawn(list_reader::maintain_list(state.clone()));
        let listen_addresses = state.settings.listen;
        serve_if_set(listen_addresses.operators, operators::handler(state.clone())).await?;
        serve_if_set(listen_addresses.directory, directory::handler(state.clone())).await?;
        if let Some(port) = exposed.metrics_port {
            serve_control_metrics(state.clone(), port, exposed.dropped).await?;
        }
        info!(instance = state.settings.instance, "control started");
        Ok(Self { state })
    }

    /// Takes over settings that changed while the process runs.
    pub fn reload(&self, settings: &NodeSettings) {
        info!(seeds = ?settings.seeds, "settings reloaded");
        *lock(&self.state.seeds) = settings.seed_cluster_addresses();
    }

    /// Says that the process ends.
    pub fn stop(&self) {
        info!(instance = self.state.settings.instance, "control stopped");
    }
}

async fn serve_control_metrics(
    state: Arc<ControlState>,
    port: u16,
    dropped: DroppedLines,
) -> Result<(), NodeError> {
    let gauges = metrics::ControlGauges::new().map_err(NodeError::Metrics)?;
    let address = (state.settings.ip, port).into();
    let text = move || -> TextFuture {
        let (gauges, state, dropped) = (gauges.clone(), state.clone(), dropped.clone());
        Box::pin(async move { gauges.text(&state, &dropped).await })
    };
    serve_metrics(address, text).await
}

/// Opens the data folder. One that is damaged is set aside: its replica gives
/// way to one under a new id.
fn open_store(
    folder: &Path,
    new_id: ReplicaId,
) -> Result<(Store<Command>, Option<DurableState<Command>>), StoreError> {
    match Store::open(folder, Identity::new(new_id)) {
        Err(corrupt @ StoreError::Corrupt { .. }) => {
            error!(error = %corrupt, "the data folder is set aside; the replica joins anew");
            move_damaged_files(folder)?;
            Store::open(folder, Identity::new(rand::random()))
        }
        opened => opened,
    }
}

async fn serve_if_set(address: Option<SocketAddr>, answers: HttpHandler) -> Result<(), NodeError> {
    if let Some(address) = address {
        let listener: TcpListener = listen(address).await?;
        tokio::spawn(serve_http_handler(listener, answers));
    }
    Ok(())
}

impl ControlState {
    /// Starts the replica: from what the disk holds, as one of the founders,
    /// or as one that has to ask its way in.
    fn start_replica(
        self: Arc<Self>,
        mut store: Store<Command>,
        durable: Option<DurableState<Command>>,
    ) -> Result<oneshot::Receiver<()>, NodeError> {
        let durable = match durable {
            Some(durable) => durable,
            None => {
                let first = membership::initial_state(&self.settings, store.identity().replica);
                store.initialize(&first).map_err(NodeError::Store)?;
                first
            }
        };
        let id = store.identity().replica;
        let (failure, failed) = oneshot::channel();
        let peers = peers::peers(self.clone());
        let setup = ReplicaSetup::with_timing(TIMING);
        let (clock, metrics) = (self.clock, self.metrics.clone());
        let replica = Replica::new(setup, clock, metrics, store, durable, peers, failure)
            .map_err(NodeError::State)?;
        let address = xtra::spawn_tokio(replica, Mailbox::unbounded());
        tokio::spawn(tick(address.clone(), TICK_INTERVAL, || Tick));
        lock(&self.replica).replace(address);
        tokio::spawn(membership::join_until_voter(self, id));
        Ok(failed)
    }

    /// Starts the replica again whenever its disk failed and works again.
    async fn supervise_replica(
        self: Arc<Self>,
        folder: std::path::PathBuf,
        mut failed: oneshot::Receiver<()>,
    ) {
        loop {
            (&mut failed).await.ok();
            lock(&self.replica).take();
            failed = loop {
                tokio::time::sleep(REOPEN_DELAY).await;
                match self.clone().restart_replica(&folder) {
                    Ok(failed) => break failed,
                    Err(error) => warn!(%error, "the data folder can't be used yet"),
                }
            };
            info!("the data folder works again");
        }
    }

    fn restart_replica(self: Arc<Self>, folder: &Path) -> Result<oneshot::Receiver<()>, NodeError> {
        let (mut store, durable) = open_store(folder, rand::random()).map_err(NodeError::Store)?;
        if let Some(durable) = &durable {
            store.rewrite_all(durable).map_err(NodeError::Store)?;
        }
        self.start_replica(store, durable)
    }

    /// Tells whether a replica still runs here.
    async fn is_running(&self, id: ReplicaId) -> bool {
        let Some(replica) = self.replica() else { return false };
        replica.send(Probe).await.is_ok_and(|reply| reply.replica == id)
    }

    fn replica(&self) -> Option<Address<Replica>> {
        lock(&self.replica).clone()
    }
}

/// The pause before a data folder that failed is tried again.
const REOPEN_DELAY: Duration = Duration::from_millis(300);

/// Locks what is only ever held for moments.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
