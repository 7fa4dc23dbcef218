//! Keeps connections to the other control replicas and sends messages to them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::sync::mpsc;

use super::{ControlNodeState, lock};
use crate::{
    core::{
        control::{Command, InstanceName},
        replication::{Envelope, ReplicaId},
    },
    net::{
        mesh::MeshClient,
        wire::{NodeReply, NodeRequest},
    },
    runtime::peers::Peers,
};

/// Connections to other processes, by address.
#[derive(Default)]
pub(super) struct Connections {
    clients: Mutex<BTreeMap<SocketAddr, MeshClient<NodeRequest, NodeReply>>>,
    queues: Mutex<BTreeMap<SocketAddr, mpsc::Sender<Envelope<Command>>>>,
    /// The addresses that replicas last sent messages from.
    last_addresses: Mutex<BTreeMap<ReplicaId, SocketAddr>>,
}

/// The maximum number of messages queued for one replica.
const QUEUE_MAX: usize = 256;
/// The maximum number of messages in one call.
const BATCH_MAX: usize = 64;
/// How long a call with messages waits for its acknowledgement.
const SEND_TIMEOUT: Duration = Duration::from_millis(1200);

impl Connections {
    /// Returns a client for the process at an address.
    pub(super) fn client(&self, address: SocketAddr) -> MeshClient<NodeRequest, NodeReply> {
        let mut clients = lock(&self.clients);
        clients.entry(address).or_insert_with(|| MeshClient::new(address)).clone()
    }

    /// Records the address that a replica sent a message from.
    pub(super) fn record_address(&self, replica: ReplicaId, from: SocketAddr) {
        lock(&self.last_addresses).insert(replica, from);
    }
}

/// Returns the senders of a replica's messages: to the address that is the name
/// of the other replica's instance or, if that isn't known, to the address that
/// the other replica last sent from.
pub(super) fn peers(state: Arc<ControlNodeState>) -> Peers {
    let fallback_state = state.clone();
    Peers::with_senders(
        move |instance: &str, message| {
            if let Ok(address) = instance.parse() {
                send(&state, address, message);
            }
        },
        move |message| {
            let address =
                lock(&fallback_state.connections.last_addresses).get(&message.to).copied();
            if let Some(address) = address {
                send(&fallback_state, address, message);
            }
        },
    )
}

/// Queues a message for the replica at an address.
fn send(state: &Arc<ControlNodeState>, address: SocketAddr, message: Envelope<Command>) {
    let mut queues = lock(&state.connections.queues);
    let queue = queues.entry(address).or_insert_with(|| {
        let (sender, receiver) = mpsc::channel(QUEUE_MAX);
        let from = state.settings.cluster_address();
        tokio::spawn(send_queued(state.connections.client(address), from, receiver));
        sender
    });
    // If the queue is full, the message is dropped; the replication protocol
    // sends it again.
    queue.try_send(message).ok();
}

/// Sends queued messages in batches until the queue is closed.
async fn send_queued(
    client: MeshClient<NodeRequest, NodeReply>,
    from: SocketAddr,
    mut queue: mpsc::Receiver<Envelope<Command>>,
) {
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, BATCH_MAX).await > 0 {
        let request = NodeRequest::Replicate { from, messages: std::mem::take(&mut messages) };
        let client = client.clone();
        // The next batch does not wait for the acknowledgement of this one.
        tokio::spawn(async move { client.call(request, SEND_TIMEOUT).await.ok() });
    }
}

/// Parses the name of a replica's instance, which is its address.
pub(super) fn address_of(instance: &InstanceName) -> Option<SocketAddr> {
    instance.parse().ok()
}
