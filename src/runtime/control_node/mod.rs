//! Runs a control replica among processes that find each other by themselves:
//! the replicated state, the directory and the operators' calls.

mod calls;
mod directory;
mod list_reader;
mod membership;
mod operators;
mod peers;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::oneshot,
};
use tracing::info;
use xtra::{Address, Mailbox};

use super::{
    clock::Clock,
    http_answers::{HttpAnswers, listen, listen_datagrams, serve_answers},
    metrics::Metrics,
    node_error::NodeError,
    replica::{Replica, ReplicaSetup, TICK, Tick},
    replica_start::tick,
};
use crate::{
    core::{control::Command, replication::Durable, roster::Roster, upstreams::Ledger},
    net::mesh::serve_mesh,
    settings::{NodeSettings, Timing},
    storage::{Identity, Store},
};

/// Runs a control replica.
#[derive(Debug)]
pub struct ControlNode {
    failed: oneshot::Receiver<()>,
}

/// Holds what the parts of a control replica share.
pub(super) struct Shared {
    settings: NodeSettings,
    clock: Clock,
    metrics: Metrics,
    replica: OnceLock<Address<Replica>>,
    links: peers::Links,
    roster: Mutex<Roster>,
    ledger: Mutex<Ledger>,
    /// Tells this process's counts of the list from those of others.
    ledger_counter: u64,
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
    pub async fn start(settings: NodeSettings) -> Result<Self, NodeError> {
        let Some(folder) = settings.data_folder.clone() else {
            return Err(NodeError::Settings("control needs a data folder".to_owned()));
        };
        let clock = Clock::new();
        let metrics = Metrics::new().map_err(NodeError::Metrics)?;
        let cluster = listen(settings.cluster_address()).await?;
        let announcements = listen_datagrams(settings.cluster_address()).await?;
        let shared = Arc::new(Shared {
            roster: Mutex::new(Roster::new(settings.regions_of_zones.clone(), clock.now())),
            ledger: Mutex::default(),
            ledger_counter: rand::random(),
            links: peers::Links::default(),
            replica: OnceLock::new(),
            settings,
            clock,
            metrics,
        });
        let fresh = Identity::new(membership::first_id(&shared.settings));
        let (store, durable) = Store::open(&folder, fresh).map_err(NodeError::Store)?;
        let failed = shared.clone().start_replica(store, durable).await?;
        tokio::spawn(serve_mesh(cluster, calls::handler(shared.clone())));
        tokio::spawn(calls::hear_announcements(shared.clone(), announcements));
        tokio::spawn(list_reader::keep_list(shared.clone()));
        let listen_addresses = shared.settings.listen;
        serve_where(listen_addresses.operators, operators::answers(shared.clone())).await?;
        serve_where(listen_addresses.directory, directory::answers(shared.clone())).await?;
        info!(instance = shared.settings.instance, "control started");
        Ok(Self { failed })
    }

    /// Waits until the replica can't go on.
    pub async fn failed(&mut self) {
        (&mut self.failed).await.ok();
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
    async fn start_replica(
        self: Arc<Self>,
        mut store: Store<Command>,
        durable: Option<Durable<Command>>,
    ) -> Result<oneshot::Receiver<()>, NodeError> {
        let durable = match durable {
            Some(durable) => durable,
            None => {
                let first = membership::first_state(&self.settings);
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
        self.replica.set(address).ok();
        tokio::spawn(membership::join_until_voter(self, id));
        Ok(failed)
    }

    fn replica(&self) -> Option<Address<Replica>> {
        self.replica.get().cloned()
    }
}

/// Locks what is only ever held for moments.
pub(super) fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub(super) type Datagrams = UdpSocket;
