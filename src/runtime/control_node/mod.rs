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

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::oneshot,
};
use tracing::{error, info, warn};
use xtra::{Address, Mailbox};

use super::{
    clock::Clock,
    http_answers::{HttpAnswers, listen, listen_datagrams, serve_answers},
    logs::DroppedLines,
    metrics::Metrics,
    metrics_server::{Exposed, Text, serve_metrics},
    node_error::NodeError,
    replica::{Probe, Replica, ReplicaSetup, TICK, Tick},
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
    storage::{Identity, Store, StoreError, set_aside},
};

/// Runs a control replica.
pub struct ControlNode {
    shared: Arc<Shared>,
}

/// Holds what the parts of a control replica share.
pub(super) struct Shared {
    settings: NodeSettings,
    clock: Clock,
    metrics: Metrics,
    /// The replica, while its disk works.
    replica: Mutex<Option<Address<Replica>>>,
    links: peers::Links,
    /// Where control replicas are reached according to the settings.
    seeds: Mutex<Vec<SocketAddr>>,
    roster: Mutex<Roster>,
    list: Mutex<UpstreamList>,
    planner: Mutex<Planner>,
    /// What entry instances reported, for the leader.
    demand: Mutex<BTreeMap<InstanceName, DemandReport>>,
    /// Tells this process's counts of changes from those of others.
    counter: u64,
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
    pub async fn start(settings: NodeSettings, exposed: Exposed) -> Result<Self, NodeError> {
        let Some(folder) = settings.data_folder.clone() else {
            return Err(NodeError::Settings("control needs a data folder".to_owned()));
        };
        let clock = Clock::new();
        let metrics = Metrics::new().map_err(NodeError::Metrics)?;
        let cluster = listen(settings.cluster_address()).await?;
        let announcements = listen_datagrams(settings.cluster_address()).await?;
        let shared = Arc::new(Shared {
            roster: Mutex::new(Roster::new(settings.regions_of_zones.clone(), clock.now())),
            list: Mutex::default(),
            planner: Mutex::new(Planner::new(
                settings.regions_of_zones.clone(),
                settings.bounds.shift_max,
            )),
            demand: Mutex::default(),
            counter: rand::random(),
            links: peers::Links::default(),
            seeds: Mutex::new(settings.seed_cluster_addresses()),
            replica: Mutex::default(),
            settings,
            clock,
            metrics,
        });
        let opened = open(&folder, membership::first_id(&shared.settings));
        let (store, durable) = opened.map_err(NodeError::Store)?;
        let failed = shared.clone().start_replica(store, durable)?;
        tokio::spawn(shared.clone().keep_replica(folder, failed));
        tokio::spawn(serve_mesh(cluster, calls::handler(shared.clone())));
        tokio::spawn(calls::hear_announcements(shared.clone(), announcements));
        tokio::spawn(list_reader::keep_list(shared.clone()));
        let listen_addresses = shared.settings.listen;
        serve_where(listen_addresses.operators, operators::answers(shared.clone())).await?;
        serve_where(listen_addresses.directory, directory::answers(shared.clone())).await?;
        if let Some(port) = exposed.metrics_port {
            serve_gauges(shared.clone(), port, exposed.dropped).await?;
        }
        info!(instance = shared.settings.instance, "control started");
        Ok(Self { shared })
    }

    /// Takes over settings that changed while the process runs.
    pub fn reload(&self, settings: &NodeSettings) {
        info!(seeds = ?settings.seeds, "settings reloaded");
        *lock(&self.shared.seeds) = settings.seed_cluster_addresses();
    }

    /// Says that the process ends.
    pub fn stop(&self) {
        info!(instance = self.shared.settings.instance, "control stopped");
    }
}

async fn serve_gauges(
    shared: Arc<Shared>,
    port: u16,
    dropped: DroppedLines,
) -> Result<(), NodeError> {
    let gauges = metrics::ControlGauges::new().map_err(NodeError::Metrics)?;
    let address = (shared.settings.ip, port).into();
    let text = move || -> Text {
        let (gauges, shared, dropped) = (gauges.clone(), shared.clone(), dropped.clone());
        Box::pin(async move { gauges.text(&shared, &dropped).await })
    };
    serve_metrics(address, text).await
}

/// Opens the data folder. One that is damaged is set aside: its replica gives
/// way to one under a new id.
fn open(
    folder: &Path,
    fresh: ReplicaId,
) -> Result<(Store<Command>, Option<DurableState<Command>>), StoreError> {
    match Store::open(folder, Identity::new(fresh)) {
        Err(damage @ StoreError::Corrupt { .. }) => {
            error!(error = %damage, "the data folder is set aside; the replica joins anew");
            set_aside(folder)?;
            Store::open(folder, Identity::new(rand::random()))
        }
        opened => opened,
    }
}

async fn serve_where(address: Option<SocketAddr>, answers: HttpAnswers) -> Result<(), NodeError> {
    if let Some(address) = address {
        let listener: TcpListener = listen(address).await?;
        tokio::spawn(serve_answers(listener, answers));
    }
    Ok(())
}

impl Shared {
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
                let first = membership::first_state(&self.settings, store.identity().replica);
                store.found(&first).map_err(NodeError::Store)?;
                first
            }
        };
        let id = store.identity().replica;
        let (fail, failed) = oneshot::channel();
        let peers = peers::peers(self.clone());
        let setup = ReplicaSetup::with_timing(TIMING);
        let (clock, metrics) = (self.clock, self.metrics.clone());
        let replica = Replica::new(setup, clock, metrics, store, durable, peers, fail)
            .map_err(NodeError::State)?;
        let address = xtra::spawn_tokio(replica, Mailbox::unbounded());
        tokio::spawn(tick(address.clone(), TICK, || Tick));
        lock(&self.replica).replace(address);
        tokio::spawn(membership::join_until_voter(self, id));
        Ok(failed)
    }

    /// Starts the replica again whenever its disk failed and works again.
    async fn keep_replica(
        self: Arc<Self>,
        folder: std::path::PathBuf,
        mut failed: oneshot::Receiver<()>,
    ) {
        loop {
            (&mut failed).await.ok();
            lock(&self.replica).take();
            failed = loop {
                tokio::time::sleep(REOPEN_PAUSE).await;
                match self.clone().restart_replica(&folder) {
                    Ok(failed) => break failed,
                    Err(error) => warn!(%error, "the data folder can't be used yet"),
                }
            };
            info!("the data folder works again");
        }
    }

    fn restart_replica(self: Arc<Self>, folder: &Path) -> Result<oneshot::Receiver<()>, NodeError> {
        let (mut store, durable) = open(folder, rand::random()).map_err(NodeError::Store)?;
        if let Some(durable) = &durable {
            store.renew(durable).map_err(NodeError::Store)?;
        }
        self.start_replica(store, durable)
    }

    /// Tells whether a replica still runs here.
    async fn runs(&self, id: ReplicaId) -> bool {
        let Some(replica) = self.replica() else { return false };
        replica.send(Probe).await.is_ok_and(|reply| reply.replica == id)
    }

    fn replica(&self) -> Option<Address<Replica>> {
        lock(&self.replica).clone()
    }
}

/// The pause before a data folder that failed is tried again.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Locks what is only ever held for moments.
pub(super) fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub(super) type Datagrams = UdpSocket;
