//! Runs a control replica: the replicated state, the directory for callers and
//! the operators' API.
//!
//! The replicas and the entry instances are separate processes that find each
//! other through the seeds in their settings.

mod calls;
mod directory;
mod list_entries;
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
    net::TcpListener,
    sync::{oneshot, watch},
    task::JoinSet,
    time::timeout,
};
use tracing::{error, info, warn};
use xtra::{Address, Mailbox};

use super::{
    clock::Clock,
    http_handler::{HandlerLimits, HttpHandler, listen, listen_udp, serve_http_handler_until},
    logs::DroppedLines,
    metrics::InstanceMetrics,
    metrics_server::{MetricsConfig, TextFuture, serve_metrics},
    node_error::NodeError,
    replica::{Probe, Replica, ReplicaSetup, TICK_INTERVAL, Tick},
    replica_start::tick,
};
use crate::{
    core::{
        StallDetector, StopPlan,
        control::{Command, InstanceName},
        placement::{DemandReport, Planner},
        replication::{DurableState, ReplicaId},
        roster::Roster,
        upstreams::UpstreamList,
    },
    net::{
        HttpLimits, SharedBudget,
        mesh::{ServerLimits, serve_mesh_with_limits},
    },
    settings::{NodeSettings, Timing},
    storage::{Identity, Store, StoreError, has_identity, move_damaged_files},
};

/// Represents the process of a control replica.
pub struct ControlNode {
    state: Arc<ControlNodeState>,
    /// The servers for operators and for callers of the directory.
    servers: JoinSet<()>,
    stop_sender: watch::Sender<()>,
}

/// Holds the state that the tasks of a control replica's process share.
pub(super) struct ControlNodeState {
    settings: NodeSettings,
    clock: Clock,
    metrics: InstanceMetrics,
    /// The replica; `None` while its disk fails.
    replica: Mutex<Option<Address<Replica>>>,
    connections: peers::Connections,
    configuration_body: operators::ConfigurationBody,
    /// The memory that calls and replies may take together.
    memory: SharedBudget,
    /// The cluster addresses of the seeds in the settings.
    seeds: Mutex<Vec<SocketAddr>>,
    /// The entry instances that announced themselves.
    roster: Mutex<Roster>,
    list: Mutex<UpstreamList>,
    list_counters: metrics::ListCounters,
    planner: Mutex<Planner>,
    /// The last demand report of each entry instance, to be sent to the leader.
    demand: Mutex<BTreeMap<InstanceName, DemandReport>>,
    /// A random number that identifies this process in cursors, since the list versions
    /// of different processes are not comparable.
    process_id: u64,
    /// When this process was last stopped, suspended or starved.
    stalls: Mutex<StallDetector>,
}

/// The intervals and timeouts of the control replicas.
pub(super) const TIMING: Timing = Timing {
    lease: Duration::from_secs(2),
    drift_margin: Duration::from_millis(200),
    election: Duration::from_millis(700),
    heartbeat: Duration::from_millis(150),
    watch_hold: Duration::from_secs(1),
    platform_interval: Duration::from_secs(1),
    stop_timeout: Duration::from_secs(5),
    cancel_hold: Duration::from_millis(200),
};

impl ControlNode {
    /// Starts the control replica that the settings describe.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings name no data folder, if the folder can't
    /// be used, if an address can't be bound, or if the metrics can't be
    /// registered.
    pub async fn start(
        settings: NodeSettings,
        metrics_config: MetricsConfig,
    ) -> Result<Self, NodeError> {
        let Some(folder) = settings.data_folder.clone() else {
            return Err(NodeError::Settings(
                "they name no data folder, which a control replica needs; name one".to_owned(),
            ));
        };
        let clock = Clock::new();
        let metrics = InstanceMetrics::new().map_err(NodeError::Metrics)?;
        let cluster = listen(settings.cluster_address()).await?;
        let announcement_socket = listen_udp(settings.cluster_address()).await?;
        let state = Arc::new(ControlNodeState {
            roster: Mutex::new(Roster::new(settings.regions_of_zones.clone(), clock.now())),
            list: Mutex::default(),
            list_counters: metrics::ListCounters::new().map_err(NodeError::Metrics)?,
            planner: Mutex::new(Planner::new(
                settings.regions_of_zones.clone(),
                settings.bounds.shift_max,
            )),
            demand: Mutex::default(),
            process_id: rand::random(),
            connections: peers::Connections::default(),
            configuration_body: operators::ConfigurationBody::default(),
            memory: SharedBudget::new(settings.control_messages_max_bytes()),
            seeds: Mutex::new(settings.seed_cluster_addresses()),
            replica: Mutex::default(),
            settings,
            clock,
            metrics,
            stalls: Mutex::new(StallDetector::new(STALL_MIN, clock.now())),
        });
        tokio::spawn(record_beats(state.clone()));
        let start_result = open_store(&folder, membership::initial_id(&state.settings))
            .map_err(NodeError::Store)
            .and_then(|(store, durable)| state.clone().start_replica(store, durable));
        let failure_receiver = match start_result {
            // A disk that is full or fails at a restart is treated like one that does later.
            Err(NodeError::Store(error @ StoreError::Io { .. })) if has_identity(&folder) => {
                error!(%error, "can't use the data folder; starting without a replica");
                oneshot::channel().1
            }
            start_result => start_result?,
        };
        tokio::spawn(state.clone().supervise_replica(folder, failure_receiver));
        let mesh_limits = ServerLimits {
            call_max_bytes: state.settings.call_max_bytes(),
            connections: state.settings.instance_connections(),
            memory: state.memory.clone(),
        };
        tokio::spawn(serve_mesh_with_limits(cluster, calls::handler(state.clone()), mesh_limits));
        tokio::spawn(calls::receive_announcements(state.clone(), announcement_socket));
        tokio::spawn(list_reader::maintain_list(state.clone()));
        let listen_addresses = state.settings.listen;
        let (mut servers, stop_sender) = (JoinSet::new(), watch::Sender::new(()));
        let directory_limits = HandlerLimits::without_body(state.settings.control_connections());
        let operator_limits = HandlerLimits {
            http: HttpLimits {
                // An order must not wait behind another request on its connection.
                keep_alive: false,
                connections: state.settings.operator_connections(),
                send_buffer_bytes: HttpLimits::default().send_buffer_bytes,
                ..directory_limits.http
            },
            body_max_bytes: state.settings.operator_body_max_bytes(),
            memory: state.memory.clone(),
        };
        let handlers = [
            (listen_addresses.operators, operators::handler(state.clone()), operator_limits),
            (listen_addresses.directory, directory::handler(state.clone()), directory_limits),
        ];
        for (address, handler, limits) in handlers {
            let Some(address) = address else { continue };
            let listener = listen(address).await?;
            servers.spawn(serve_until_stopped(listener, handler, limits, stop_sender.subscribe()));
        }
        if let Some(port) = metrics_config.metrics_port {
            serve_control_metrics(state.clone(), port, metrics_config.dropped_lines).await?;
        }
        info!(instance = state.settings.instance, "control started");
        Ok(Self { state, servers, stop_sender })
    }

    /// Applies the seeds from settings that were changed while the process runs. Other
    /// changes have no effect.
    pub fn reload(&self, settings: &NodeSettings) {
        info!(seeds = ?settings.seeds, "settings reloaded");
        *lock(&self.state.seeds) = settings.seed_cluster_addresses();
    }

    /// Takes no more calls of operators and callers, and returns when those that were being
    /// read or handled have been answered, or shortly before the end of the stop grace period.
    /// The replica goes on meanwhile.
    pub async fn stop(self) {
        let instance = &self.state.settings.instance;
        info!(instance, "control stops");
        self.stop_sender.send_replace(());
        let grace = self.state.settings.bounds.stop_grace;
        let limit = StopPlan::new(Duration::ZERO, grace).exit_at;
        let complete = timeout(limit, self.servers.join_all()).await.is_ok();
        info!(instance, complete, "control stopped");
    }
}

/// Records the beats of this process for as long as it runs.
async fn record_beats(state: Arc<ControlNodeState>) {
    loop {
        tokio::time::sleep(BEAT_INTERVAL).await;
        let now = state.clock.now();
        lock(&state.roster).record_beat(now);
        if let Some(stall) = lock(&state.stalls).record_beat(now) {
            warn!(stall_ms = stall.as_millis() as u64, "the process was stopped or starved");
        }
    }
}

async fn serve_control_metrics(
    state: Arc<ControlNodeState>,
    port: u16,
    dropped_lines: DroppedLines,
) -> Result<(), NodeError> {
    let gauges = metrics::ControlGauges::new().map_err(NodeError::Metrics)?;
    let address = (state.settings.ip, port).into();
    let connections = state.settings.platform_connections();
    let text = move || -> TextFuture {
        let (gauges, state, dropped_lines) = (gauges.clone(), state.clone(), dropped_lines.clone());
        Box::pin(async move { gauges.text(&state, &dropped_lines).await })
    };
    serve_metrics(address, connections, text).await
}

/// Opens the data folder. The files of a damaged one are set aside, and a new replica
/// with a random id takes the place of the old one, which may have voted.
fn open_store(
    folder: &Path,
    new_id: ReplicaId,
) -> Result<(Store<Command>, Option<DurableState<Command>>), StoreError> {
    match Store::open(folder, Identity::new(new_id)) {
        Err(damaged @ StoreError::Damaged { .. }) => {
            error!(
                error = %damaged,
                "data folder is damaged; setting its files aside and joining with a new replica id"
            );
            move_damaged_files(folder, Identity::new(rand::random()))?;
            Store::open(folder, Identity::new(rand::random()))
        }
        result => result,
    }
}

/// Serves `handler` until a stop begins, and then what was being read or handled.
async fn serve_until_stopped(
    listener: TcpListener,
    handler: HttpHandler,
    limits: HandlerLimits,
    mut stop_receiver: watch::Receiver<()>,
) {
    let stop = async {
        stop_receiver.changed().await.ok();
    };
    serve_http_handler_until(listener, handler, limits, stop).await;
}

impl ControlNodeState {
    /// Starts the replica from the state on its disk. On an empty disk, the replica
    /// starts as a voter of a new log, or joins an existing one. Returns a receiver
    /// that completes when the disk fails.
    fn start_replica(
        self: Arc<Self>,
        mut store: Store<Command>,
        durable: Option<DurableState<Command>>,
    ) -> Result<oneshot::Receiver<()>, NodeError> {
        let durable = match durable {
            Some(durable) => durable,
            None => {
                let initial = membership::initial_state(&self.settings, store.identity().replica);
                store.create_log(&initial).map_err(NodeError::Store)?;
                initial
            }
        };
        let id = store.identity().replica;
        let (failure_sender, failure_receiver) = oneshot::channel();
        let peers = peers::peers(self.clone());
        let setup = ReplicaSetup::with_timing(TIMING)
            .with_silent_member_timeout(SILENT_MEMBER_TIMEOUT)
            .with_deltas_max_bytes(self.settings.deltas_max_bytes())
            .with_budget(self.settings.state_budget());
        let (clock, metrics) = (self.clock, self.metrics.clone());
        let replica = Replica::new(setup, clock, metrics, store, durable, peers, failure_sender)
            .map_err(NodeError::State)?;
        let address = xtra::spawn_tokio(replica, Mailbox::unbounded());
        tokio::spawn(tick(address.clone(), TICK_INTERVAL, || Tick));
        lock(&self.replica).replace(address);
        tokio::spawn(membership::keep_vote(self, id));
        Ok(failure_receiver)
    }

    /// Restarts the replica each time its disk fails, once the disk works again.
    async fn supervise_replica(
        self: Arc<Self>,
        folder: std::path::PathBuf,
        mut failure_receiver: oneshot::Receiver<()>,
    ) {
        loop {
            (&mut failure_receiver).await.ok();
            lock(&self.replica).take();
            failure_receiver = loop {
                tokio::time::sleep(REOPEN_DELAY).await;
                match self.clone().restart_replica(&folder) {
                    Ok(failure_receiver) => break failure_receiver,
                    Err(error) => warn!(%error, "can't reopen the data folder; retrying"),
                }
            };
            info!("data folder reopened; replica restarted");
        }
    }

    fn restart_replica(self: Arc<Self>, folder: &Path) -> Result<oneshot::Receiver<()>, NodeError> {
        let (store, durable) = open_store(folder, rand::random()).map_err(NodeError::Store)?;
        self.start_replica(store, durable)
    }

    /// Returns whether the replica with this id runs in this process.
    async fn is_running(&self, id: ReplicaId) -> bool {
        let Some(replica) = self.replica() else { return false };
        replica.send(Probe).await.is_ok_and(|reply| reply.replica == id)
    }

    /// Returns the replica, or `None` while its disk fails.
    fn replica(&self) -> Option<Address<Replica>> {
        lock(&self.replica).clone()
    }
}

/// The interval between two beats of the [`StallDetector`].
const BEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The pause between two beats from which on the process counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(150);
/// How long a control replica may not reply before its vote may be removed. A restart takes
/// about as long, and a replica that returns later gets its vote back.
const SILENT_MEMBER_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before a data folder that failed is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(300);

/// Locks a mutex; a poisoned one is locked like any other. No lock is held for long.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
