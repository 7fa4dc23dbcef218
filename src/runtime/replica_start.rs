//! Starts the control replica of an instance, and the listener for calls from other
//! instances.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::{net::TcpListener, sync::oneshot};
use xtra::{Address, Mailbox};

use super::{
    bootstrap::{initial_state, join_until_voter},
    clock::Clock,
    control_client::ControlClient,
    instance::{InstanceError, wait_for_stop},
    metrics::InstanceMetrics,
    peers::Peers,
    replica::{Deliver, Probe, Query, Replica, ReplicaSetup, Submit, TICK_INTERVAL, Tick, Watch},
};
use crate::{
    core::control::{Command, InstanceName},
    net::{ClusterClient, ClusterError, ClusterHandlers, serve_cluster, wire::ProbeReply},
    settings::{InstanceSettings, Settings},
    storage::{Identity, Store},
};

/// Holds the arguments of [`start_replica`].
pub(super) struct ReplicaParts<'a> {
    pub(super) settings: &'a Arc<Settings>,
    pub(super) name: &'a str,
    pub(super) instance: &'a InstanceSettings,
    pub(super) clock: Clock,
    pub(super) metrics: &'a InstanceMetrics,
    pub(super) control: &'a ControlClient,
    pub(super) clients: &'a BTreeMap<InstanceName, ClusterClient>,
    /// The listener for calls from other instances, the cluster key, and the receiver of the
    /// request to stop serving calls.
    pub(super) cluster: (TcpListener, String, oneshot::Receiver<()>),
}

/// Starts the control replica, if the instance has one, and the listener for calls
/// from other instances. Returns a receiver that gets a message when the replica stops
/// because its data folder could not be written or a snapshot could not be decoded.
pub(super) async fn start_replica(
    parts: ReplicaParts<'_>,
) -> Result<Option<oneshot::Receiver<()>>, InstanceError> {
    let (listener, key, stop_receiver) = parts.cluster;
    let limits = parts.settings.resources.cluster_connections();
    let replica_cell: ReplicaCell = Arc::default();
    let Some(folder) = &parts.instance.data_folder else {
        let handlers = handlers(replica_cell, None);
        let stop = wait_for_stop(stop_receiver);
        tokio::spawn(serve_cluster(listener, key, handlers, limits, stop));
        return Ok(None);
    };
    let new_identity = Identity::new(rand::random());
    let store_and_state =
        Store::<Command>::open(folder, new_identity).map_err(InstanceError::Store)?;
    let (mut store, durable) = store_and_state;
    let id = store.identity().replica;
    tokio::spawn(serve_cluster(
        listener,
        key,
        handlers(replica_cell.clone(), Some(id)),
        limits,
        wait_for_stop(stop_receiver),
    ));
    let (failure_sender, failure_receiver) = oneshot::channel();
    let peers: BTreeMap<InstanceName, ClusterClient> = parts
        .clients
        .iter()
        .filter(|(name, _)| *name != parts.name)
        .map(|(name, client)| (name.clone(), client.clone()))
        .collect();
    let senders = Peers::new(&peers);
    let (setup, clock) = (ReplicaSetup::new(parts.settings), parts.clock);
    let (metrics, control) = (parts.metrics.clone(), parts.control.clone());
    let name = parts.name.to_owned();
    if let Some(durable) = durable {
        let is_voter = durable.members().1.is_voter(id);
        let replica = Replica::new(setup, clock, metrics, store, durable, senders, failure_sender)
            .map_err(InstanceError::State)?;
        spawn_replica(replica, &replica_cell);
        if !is_voter {
            tokio::spawn(join_until_voter(control, name, id));
        }
        return Ok(Some(failure_receiver));
    }
    // Without a log, the replica has to wait for replies of its peers, which may
    // start much later. The instance serves what it can in the meantime.
    tokio::spawn(async move {
        let durable = initial_state((&name, id), &peers).await;
        let is_voter = durable.members().1.is_voter(id);
        let is_saved = store.create_log(&durable).is_ok();
        match Replica::new(setup, clock, metrics, store, durable, senders, failure_sender) {
            Ok(replica) if is_saved => spawn_replica(replica, &replica_cell),
            _ => return,
        }
        if !is_voter {
            join_until_voter(control, name, id).await;
        }
    });
    Ok(Some(failure_receiver))
}

/// Holds the address of the replica once it runs.
type ReplicaCell = Arc<std::sync::OnceLock<Address<Replica>>>;

fn spawn_replica(replica: Replica, replica_cell: &ReplicaCell) {
    let address = xtra::spawn_tokio(replica, Mailbox::unbounded());
    replica_cell.set(address.clone()).ok();
    tokio::spawn(tick(address, TICK_INTERVAL, || Tick));
}

/// Sends messages to an actor at a fixed interval until the actor has stopped.
pub(super) async fn tick<A, M>(address: Address<A>, interval: Duration, message: impl Fn() -> M)
where
    A: xtra::Handler<M>,
    M: Send + 'static,
{
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if address.send(message()).await.is_err() {
            return;
        }
    }
}

/// Returns the handlers of calls from other instances. While no replica runs, calls
/// are refused, except for a probe if the replica has an id and is yet to start.
fn handlers(replica_cell: ReplicaCell, id: Option<u64>) -> ClusterHandlers {
    let no_replica = || ClusterError::Refused("there is no control replica here".to_owned());
    let replica = move || replica_cell.get().cloned().ok_or_else(no_replica);
    ClusterHandlers {
        replicate: {
            let replica = replica.clone();
            Arc::new(move |messages| {
                let replica = replica();
                Box::pin(
                    async move { replica?.send(Deliver(messages)).await.map_err(replica_stopped) },
                )
            })
        },
        submit: {
            let replica = replica.clone();
            Arc::new(move |request| {
                Box::pin(send_request(replica(), |reply| Submit(request, reply)))
            })
        },
        watch: {
            let replica = replica.clone();
            Arc::new(move |request| {
                Box::pin(send_request(replica(), |reply| Watch(request, reply)))
            })
        },
        query: {
            let replica = replica.clone();
            Arc::new(move |request| {
                Box::pin(send_request(replica(), |reply| Query(request, reply)))
            })
        },
        probe: Arc::new(move || {
            let replica = replica();
            Box::pin(async move {
                match (replica, id) {
                    (Ok(replica), _) => replica.send(Probe).await.map_err(replica_stopped),
                    (Err(_), Some(replica)) => Ok(ProbeReply { replica, members: None, commit: 0 }),
                    (Err(error), None) => Err(error),
                }
            })
        }),
    }
}

/// Sends a message to the replica and waits for its reply.
async fn send_request<M, T>(
    replica: Result<Address<Replica>, ClusterError>,
    message: impl FnOnce(oneshot::Sender<T>) -> M,
) -> Result<T, ClusterError>
where
    Replica: xtra::Handler<M>,
    M: Send + 'static,
{
    let (reply_sender, reply) = oneshot::channel();
    replica?.send(message(reply_sender)).await.map_err(replica_stopped)?;
    reply.await.map_err(replica_stopped)
}

fn replica_stopped<E>(_: E) -> ClusterError {
    ClusterError::NoReply("the replica stopped".to_owned())
}
