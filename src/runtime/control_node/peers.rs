//! Keeps connections to the other control replicas.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::mpsc;

use super::{ControlState, lock};
use crate::{
    core::{
        control::{Command, InstanceName},
        replication::{Envelope, ReplicaId},
    },
    net::{
        mesh::MeshClient,
        wire::{NodeAnswer, NodeCall},
    },
    runtime::peers::Peers,
};

/// Keeps connections to other processes, by address.
#[derive(Default)]
pub(super) struct Connections {
    clients: Mutex<BTreeMap<SocketAddr, MeshClient<NodeCall, NodeAnswer>>>,
    queues: Mutex<BTreeMap<SocketAddr, mpsc::Sender<Envelope<Command>>>>,
    /// Where replicas were last heard from.
    last_addresses: Mutex<BTreeMap<ReplicaId, SocketAddr>>,
}

/// The most messages that wait for one replica.
const QUEUE_MAX: usize = 256;
/// The most messages in one call.
const BATCH_MAX: usize = 64;
/// How long a call with messages waits for its acknowledgement.
const SEND_TIMEOUT: Duration = Duration::from_millis(1200);

impl Connections {
    /// Returns a client of the process at an address.
    pub(super) fn client(&self, address: SocketAddr) -> MeshClient<NodeCall, NodeAnswer> {
        let mut clients = lock(&self.clients);
        clients.entry(address).or_insert_with(|| MeshClient::new(address)).clone()
    }

    /// Notes where a replica was heard from.
    pub(super) fn record(&self, replica: ReplicaId, from: SocketAddr) {
        lock(&self.last_addresses).insert(replica, from);
    }
}

/// Returns what a replica sends its messages with.
pub(super) fn peers(state: Arc<ControlState>) -> Peers {
    let fallback = state.clone();
    Peers::with_senders(
        move |instance: &str, message| {
            if let Ok(address) = instance.parse() {
                send(&state, address, message);
            }
        },
        move |message| {
            let address = lock(&fallback.connections.last_addresses).get(&message.to).copied();
            if let Some(address) = address {
                send(&fallback, address, message);
            }
        },
    )
}

fn send(state: &Arc<ControlState>, address: SocketAddr, message: Envelope<Command>) {
    let mut queues = lock(&state.connections.queues);
    let queue = queues.entry(address).or_insert_with(|| {
        let (sender, receiver) = mpsc::channel(QUEUE_MAX);
        let from = state.settings.cluster_address();
        tokio::spawn(send_queued(state.connections.client(address), from, receiver));
        sender
    });
    // The protocol sends again by itself what does not fit.
    queue.try_send(message).ok();
}

async fn send_queued(
    client: MeshClient<NodeCall, NodeAnswer>,
    from: SocketAddr,
    mut queue: mpsc::Receiver<Envelope<Command>>,
) {
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, BATCH_MAX).await > 0 {
        let call = NodeCall::Replicate { from, messages: std::mem::take(&mut messages) };
        let client = client.clone();
        // The next messages need not wait for the acknowledgement of these.
        tokio::spawn(async move { client.call(call, SEND_TIMEOUT).await.ok() });
    }
}

/// Turns the name of a replica's instance into its address.
pub(super) fn address_of(instance: &InstanceName) -> Option<SocketAddr> {
    instance.parse().ok()
}
